//! Single typed messages: a type byte, a length that counts itself, and a body.

use super::ParseError;
use bytes::{Bytes, BytesMut};

/// Bytes of the length field, which counts itself.
pub(super) const LENGTH_FIELD: usize = 4;

/// One typed message.
pub(super) struct Message {
    pub(super) kind: u8,
    pub(super) body: Bytes,
    /// The whole message as it came.
    pub(super) raw: Bytes,
}

/// The length field of the message at the front, if it has come.
pub(super) fn length_field(buffer: &[u8]) -> Option<u32> {
    let field = buffer.get(1..)?.first_chunk::<LENGTH_FIELD>()?;
    Some(u32::from_be_bytes(*field))
}

/// The length of the message whose head has come, all of it; 0 before that.
pub fn message_length(buffer: &[u8]) -> usize {
    length_field(buffer).map_or(0, |length| 1 + length as usize)
}

/// Splits one message off the front, if it has come.
pub(super) fn split_message(buffer: &mut BytesMut, max_length: usize) -> Result<Option<Message>, ParseError> {
    let Some(length) = length_field(buffer) else { return Ok(None) };
    let length = length as usize;
    if !(LENGTH_FIELD..=max_length).contains(&length) {
        return Err(ParseError::Length(length));
    }
    if buffer.len() < 1 + length {
        return Ok(None);
    }
    let raw = buffer.split_to(1 + length).freeze();
    Ok(Some(Message { kind: raw[0], body: raw.slice(1 + LENGTH_FIELD..), raw }))
}
