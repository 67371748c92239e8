//! Single typed messages: a type byte, a length that counts itself, and a body.

use super::error::ParseError;
use bytes::{Bytes, BytesMut};

/// Bytes of the length field, which counts itself.
pub(super) const LENGTH_FIELD: usize = 4;

/// One typed message.
pub(super) struct Message {
    pub(super) kind: u8,
    pub(super) body: Bytes,
    /// The complete message as received.
    pub(super) raw: Bytes,
}

/// The length field of the first message, if it was received.
pub(super) fn length_field(buffer: &[u8]) -> Option<u32> {
    let field = buffer.get(1..)?.first_chunk::<LENGTH_FIELD>()?;
    Some(u32::from_be_bytes(*field))
}

/// The length in bytes of the first message, including its type; 0 if its length field was not received yet.
#[must_use]
pub fn message_length(buffer: &[u8]) -> usize {
    length_field(buffer).map_or(0, |length| 1 + length as usize)
}

/// Splits off the first message, if it is complete. `max_length`: the highest valid value of its length field.
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
