//! Encodes queries and the startup message.

use crate::rules::MAX_NAME_BYTES;
use bytes::Bytes;
use std::fmt::Write;

/// Version 3.0: the major version is in the upper 16 bits.
const PROTOCOL_VERSION: u32 = 3 << 16;
/// Bytes of the startup message before its parameters: the length field and the protocol version.
const STARTUP_HEADER_BYTES: usize = 8;
/// Bytes that the length field of a query counts besides the text: the length field itself and the final zero byte.
const QUERY_OVERHEAD_BYTES: usize = 5;

/// The first message on a connection, with a fixed user and database. Once the gateway's response is
/// [`Response::Ready`](super::Response::Ready), the caller may send queries.
#[must_use]
pub fn startup_message() -> Bytes {
    let parameters = b"user\0app\0database\0shop\0\0";
    let mut bytes = Vec::with_capacity(STARTUP_HEADER_BYTES + parameters.len());
    bytes.extend(((STARTUP_HEADER_BYTES + parameters.len()) as u32).to_be_bytes());
    bytes.extend(PROTOCOL_VERSION.to_be_bytes());
    bytes.extend(parameters);
    Bytes::from(bytes)
}

/// One attempt of a request. Names and ids must be plain, see [`is_plain_name`].
#[derive(Clone, Debug, PartialEq)]
pub struct Query<'a> {
    /// Identifies the attempt; retries of a request have different ids.
    pub id: &'a str,
    /// The name of the request class.
    pub class: &'a str,
    /// The tenant for which the request is made; `None` if the process has none configured.
    pub tenant: Option<&'a str>,
    /// The id of the item.
    pub item: &'a str,
    /// The document to write to the item; `None` to read the item.
    pub document: Option<&'a [u8]>,
    /// The idempotency key by which endpoints drop duplicates; `None` if the request has none.
    pub key: Option<&'a str>,
    /// The time until the deadline of the request, in milliseconds. Gateways reject a value of 0.
    pub time_remaining: u64,
    /// `true` for all attempts of a request but the first.
    pub is_retry: bool,
}

/// Returns `true` if the name needs no quoting in a statement or its comment: 1 to 128 bytes of ASCII letters, digits,
/// `-`, `_`, `.` and `:`.
#[must_use]
pub fn is_plain_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_plain)
}

impl Query<'_> {
    /// Returns `true` if all names, ids and the key are plain. Otherwise the query cannot be sent.
    #[must_use]
    pub fn has_plain_names(&self) -> bool {
        let names = [Some(self.id), Some(self.class), self.tenant, Some(self.item), self.key];
        names.into_iter().flatten().all(is_plain_name)
    }

    /// Encodes the query message; `None` if a name is not plain. Gateways execute an attempt only once its last byte
    /// has arrived: one that was not written completely was not executed.
    #[must_use]
    pub fn encode(&self) -> Option<Bytes> {
        if !self.has_plain_names() {
            return None;
        }
        let text = self.statement() + &self.comment();
        let mut bytes = vec![b'Q'];
        bytes.extend(((text.len() + QUERY_OVERHEAD_BYTES) as u32).to_be_bytes());
        bytes.extend(text.bytes());
        bytes.push(0);
        Some(Bytes::from(bytes))
    }

    fn statement(&self) -> String {
        let item = self.item;
        let Some(document) = self.document else {
            return format!("SELECT doc FROM items WHERE id = '{item}'");
        };
        let mut text = format!(r"INSERT INTO items (id, doc) VALUES ('{item}', '\x");
        for byte in document {
            let _ = write!(text, "{byte:02x}");
        }
        text + "') RETURNING doc"
    }

    /// The comment from which gateways read the parameters of the request.
    fn comment(&self) -> String {
        let mut text = format!(" /* id={},c={}", self.id, self.class);
        if let Some(tenant) = self.tenant {
            let _ = write!(text, ",t={tenant}");
        }
        let _ = write!(text, ",d={}", self.time_remaining);
        if let Some(key) = self.key {
            let _ = write!(text, ",k={key}");
        }
        text.push_str(if self.is_retry { ",r=1 */" } else { " */" });
        text
    }
}
