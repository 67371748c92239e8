//! Framing of typed messages: a type byte, a length field that includes itself, and a body.

use super::error::ParseError;
use bytes::{Bytes, BytesMut};

/// Size of the length field in bytes.
pub(super) const LENGTH_FIELD_BYTES: usize = 4;

pub(super) struct Message {
    pub(super) kind: u8,
    pub(super) body: Bytes,
    /// The complete message as received, with type and length.
    pub(super) raw: Bytes,
}

/// Returns the length field of the first message, or `None` while it is incomplete. The length includes the field
/// itself, but not the type byte.
pub(super) fn length_field(buffer: &[u8]) -> Option<u32> {
    let field = buffer.get(1..)?.first_chunk::<LENGTH_FIELD_BYTES>()?;
    Some(u32::from_be_bytes(*field))
}

/// Returns the length of the first message in bytes, including its type byte, or 0 while its length field is
/// incomplete.
///
/// The length is as the peer stated it and may exceed every limit; `next` of the parser checks it.
#[must_use]
pub fn message_length(buffer: &[u8]) -> usize {
    length_field(buffer).map_or(0, |length| 1 + length as usize)
}

/// Removes the first message from the buffer. Returns `None`, and leaves the buffer as it is, while the message is
/// incomplete. `max_length` is the highest valid value of the length field.
pub(super) fn split_message(buffer: &mut BytesMut, max_length: usize) -> Result<Option<Message>, ParseError> {
    let Some(length) = length_field(buffer) else { return Ok(None) };
    let length = length as usize;
    if !(LENGTH_FIELD_BYTES..=max_length).contains(&length) {
        return Err(ParseError::Length(length));
    }
    if buffer.len() < 1 + length {
        return Ok(None);
    }
    let raw = buffer.split_to(1 + length).freeze();
    Ok(Some(Message { kind: raw[0], body: raw.slice(1 + LENGTH_FIELD_BYTES..), raw }))
}
