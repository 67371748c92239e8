//! Encodes messages to endpoints and clients.

use super::framing::LENGTH_FIELD_BYTES;
use super::packed_value::PackedValue;
use super::statement::Statement;
use bytes::{BufMut, Bytes, BytesMut};
use latchhaven_policy::Millis;

/// `ReadyForQuery` with the status "idle", outside of a transaction.
pub const READY: &[u8] = b"Z\0\0\0\x05I";
/// `EmptyQueryResponse`: the response to a query without text, before [`READY`].
pub const EMPTY_QUERY: &[u8] = b"I\0\0\0\x04";
/// The response to `SSLRequest` and `GSSENCRequest`: encryption is not supported, and the client may continue
/// without.
pub const NO_ENCRYPTION: &[u8] = b"N";

const QUERY: u8 = b'Q';
const PARAMETER_STATUS: u8 = b'S';
const ERROR_RESPONSE: u8 = b'E';
/// Size in bytes of the type and the length of a message.
const HEADER_BYTES: usize = 1 + LENGTH_FIELD_BYTES;
/// Size of the zero byte that follows each text.
const TERMINATOR_BYTES: usize = 1;

const AUTHENTICATION_OK: &[u8] = b"R\0\0\0\x08\0\0\0\0";
/// Process id and key are 0, as cancel requests are not supported.
const BACKEND_KEY_DATA: &[u8] = b"K\0\0\0\x0c\0\0\0\0\0\0\0\0";
/// Version 3.0: the major version in the upper 16 bits.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// User and database of connections to endpoints, as pairs of zero-terminated strings.
const STARTUP_PARAMETERS: &[u8] = b"user\0app\0database\0shop\0\0";
/// Reported to clients after the startup message, as a Postgres server does.
const SERVER_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// A query to an endpoint, as buffers to be written one after another: in as many groups as the iterator returns, of
/// which one is in memory at a time.
pub struct OutgoingQuery {
    start: Option<Vec<Bytes>>,
    packed_digits: Option<Box<dyn Iterator<Item = Bytes>>>,
    end: Option<Vec<Bytes>>,
}

impl Iterator for OutgoingQuery {
    type Item = Vec<Bytes>;

    fn next(&mut self) -> Option<Vec<Bytes>> {
        if let Some(start) = self.start.take() {
            return Some(start);
        }
        let digits = self.packed_digits.as_mut().and_then(Iterator::next);
        digits.map(|digits| vec![digits]).or_else(|| self.end.take())
    }
}

impl From<Bytes> for OutgoingQuery {
    fn from(message: Bytes) -> Self {
        OutgoingQuery { start: Some(vec![message]), packed_digits: None, end: None }
    }
}

/// Encodes a statement as a simple query to an endpoint. The timeout in its comment is replaced by `timeout`, rounded
/// down to full milliseconds, and at least 1.
#[must_use]
pub fn forwarded_query(statement: &Statement, timeout: Millis) -> OutgoingQuery {
    let digits = format!("{}", timeout.max(1.0).floor());
    let text = &statement.text;
    let replaced = &statement.timeout_digits;
    let packed_value = statement.packed_value.clone();
    let packed_bytes = packed_value.as_ref().map_or(0, PackedValue::digit_count);
    let body_bytes = text.len() + packed_bytes - replaced.len() + digits.len() + TERMINATOR_BYTES;
    let mut head = BytesMut::with_capacity(HEADER_BYTES);
    put_header(&mut head, QUERY, body_bytes);
    let mut tail = BytesMut::with_capacity(text.len() - replaced.end + TERMINATOR_BYTES);
    put_text(&mut tail, &text[replaced.end..]);
    let (head, digits, tail) = (head.freeze(), Bytes::from(digits), tail.freeze());
    let Some(packed_value) = packed_value else {
        let buffers = vec![head, text.slice(..replaced.start), digits, tail];
        return OutgoingQuery { start: Some(buffers), packed_digits: None, end: None };
    };
    let value_at = statement.value_digits.start;
    OutgoingQuery {
        start: Some(vec![head, text.slice(..value_at)]),
        packed_digits: Some(Box::new(packed_value.into_digits())),
        end: Some(vec![text.slice(value_at..replaced.start), digits, tail]),
    }
}

/// Encodes a simple query (`Query`). `text` contains no zero byte.
#[must_use]
pub fn query(text: &str) -> Bytes {
    let body_bytes = text.len() + TERMINATOR_BYTES;
    let mut message = BytesMut::with_capacity(HEADER_BYTES + body_bytes);
    put_header(&mut message, QUERY, body_bytes);
    put_text(&mut message, text.as_bytes());
    message.freeze()
}

/// Encodes the `StartupMessage` to an endpoint.
#[must_use]
pub fn startup() -> Bytes {
    let length = LENGTH_FIELD_BYTES + size_of_val(&PROTOCOL_VERSION) + STARTUP_PARAMETERS.len();
    let mut message = BytesMut::with_capacity(length);
    message.put_u32(length as u32);
    message.put_u32(PROTOCOL_VERSION);
    message.put_slice(STARTUP_PARAMETERS);
    message.freeze()
}

/// Encodes the response to a client's `StartupMessage`: authentication is complete, the server's parameters, and
/// `ReadyForQuery`.
#[must_use]
pub fn startup_response() -> Bytes {
    let mut messages = BytesMut::new();
    messages.put_slice(AUTHENTICATION_OK);
    for (name, value) in SERVER_PARAMETERS {
        put_header(&mut messages, PARAMETER_STATUS, name.len() + value.len() + 2 * TERMINATOR_BYTES);
        put_text(&mut messages, name.as_bytes());
        put_text(&mut messages, value.as_bytes());
    }
    messages.put_slice(BACKEND_KEY_DATA);
    messages.put_slice(READY);
    messages.freeze()
}

/// Encodes an `ErrorResponse` to a client.
///
/// A fatal error announces that the gateway closes the connection. After any other error to a simple query the caller
/// writes [`READY`]. `code` is one of [`sqlstate`](super::sqlstate); `detail` is an optional second text. The texts
/// contain no zero byte.
#[must_use]
pub fn error(is_fatal: bool, code: &str, text: &str, detail: Option<&str>) -> Bytes {
    let severity = if is_fatal { "FATAL" } else { "ERROR" };
    let mut fields = vec![(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)];
    fields.extend(detail.map(|detail| (b'D', detail)));
    // Each field has a type byte and a terminator; a terminator follows the last field.
    let field_bytes = fields.iter().map(|(_, value)| 1 + value.len() + TERMINATOR_BYTES).sum::<usize>();
    let body_bytes = field_bytes + TERMINATOR_BYTES;
    let mut message = BytesMut::with_capacity(HEADER_BYTES + body_bytes);
    put_header(&mut message, ERROR_RESPONSE, body_bytes);
    for (kind, value) in fields {
        message.put_u8(kind);
        put_text(&mut message, value.as_bytes());
    }
    message.put_u8(0);
    message.freeze()
}

/// Writes the type and the length of a message.
fn put_header(message: &mut BytesMut, kind: u8, body_bytes: usize) {
    message.put_u8(kind);
    message.put_u32((LENGTH_FIELD_BYTES + body_bytes) as u32);
}

fn put_text(message: &mut BytesMut, text: &[u8]) {
    message.put_slice(text);
    message.put_u8(0);
}
