//! Encodes messages to endpoints and clients.

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

/// Encodes a statement as a simple query to an endpoint, in four buffers to be written one after another. The timeout
/// in its comment is replaced by `timeout`, rounded down to full milliseconds, and at least 1.
#[must_use]
pub fn forwarded_query(statement: &Statement, timeout: Millis) -> [Bytes; 4] {
    let digits = format!("{}", timeout.max(1.0).floor());
    let text = &statement.text;
    let replaced = &statement.timeout_digits;
    let length = text.len() - replaced.len() + digits.len() + 5;
    let mut head = BytesMut::with_capacity(5);
    head.put_u8(b'Q');
    head.put_u32(length as u32);
    let mut tail = BytesMut::with_capacity(text.len() - replaced.end + 1);
    tail.put_slice(&text[replaced.end..]);
    tail.put_u8(0);
    [head.freeze(), text.slice(..replaced.start), Bytes::from(digits), tail.freeze()]
}

/// Encodes a simple query (`Query`). `text` contains no zero byte.
#[must_use]
pub fn query(text: &str) -> Bytes {
    let mut message = BytesMut::with_capacity(text.len() + 6);
    message.put_u8(b'Q');
    message.put_u32(text.len() as u32 + 5);
    message.put_slice(text.as_bytes());
    message.put_u8(0);
    message.freeze()
}

/// Encodes the `StartupMessage` to an endpoint.
#[must_use]
pub fn startup() -> Bytes {
    let length = STARTUP_PARAMETERS.len() + 8;
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
        messages.put_u8(b'S');
        messages.put_u32((name.len() + value.len() + 6) as u32);
        for text in [name, value] {
            messages.put_slice(text.as_bytes());
            messages.put_u8(0);
        }
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
    let length = 5 + fields.iter().map(|(_, value)| value.len() + 2).sum::<usize>();
    let mut message = BytesMut::with_capacity(length + 1);
    message.put_u8(b'E');
    message.put_u32(length as u32);
    for (kind, value) in fields {
        message.put_u8(kind);
        message.put_slice(value.as_bytes());
        message.put_u8(0);
    }
    message.put_u8(0);
    message.freeze()
}
