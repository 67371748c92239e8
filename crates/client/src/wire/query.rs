//! The bytes of a query and of the startup message.

use crate::rules::MAX_NAME_LENGTH;
use bytes::Bytes;
use std::fmt::Write;

/// Version 3.0 of the protocol.
const PROTOCOL_VERSION: u32 = 3 << 16;

/// The first message on a connection.
#[must_use]
pub fn startup_message() -> Bytes {
    let parameters = b"user\0app\0database\0shop\0\0";
    let mut bytes = Vec::with_capacity(8 + parameters.len());
    bytes.extend((parameters.len() as u32 + 8).to_be_bytes());
    bytes.extend(PROTOCOL_VERSION.to_be_bytes());
    bytes.extend(parameters);
    Bytes::from(bytes)
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Query<'a> {
    /// The id of the attempt; each attempt has its own.
    pub id: &'a str,
    /// The name of the request class.
    pub class: &'a str,
    /// The tenant, where there is one.
    pub tenant: Option<&'a str>,
    /// The id of the item.
    pub item: &'a str,
    /// The document to write; without one the item is read.
    pub document: Option<&'a [u8]>,
    /// The idempotency key, where there is one.
    pub key: Option<&'a str>,
    /// The time in ms until the request's timeout.
    pub time_remaining: u64,
    /// It is not the first attempt.
    pub is_retry: bool,
}

/// True for names that need no quoting in a statement or its comment.
#[must_use]
pub fn is_plain_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.bytes().all(is_plain)
}

impl Query<'_> {
    /// True if all names are plain.
    #[must_use]
    pub fn has_plain_names(&self) -> bool {
        let names = [Some(self.id), Some(self.class), self.tenant, Some(self.item), self.key];
        names.into_iter().flatten().all(is_plain_name)
    }

    /// The query message; none if a name is not plain.
    #[must_use]
    pub fn encode(&self) -> Option<Bytes> {
        if !self.has_plain_names() {
            return None;
        }
        let text = self.statement() + &self.comment();
        let mut bytes = vec![b'Q'];
        bytes.extend((text.len() as u32 + 5).to_be_bytes());
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

    /// The comment that gateways read.
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
