//! Splits a stream into JSON objects in one pass over its bytes; objects may span lines.

use crate::limits::messages::{MAX_JSON_DEPTH, MAX_JSON_OBJECT_BYTES};
use crate::proto::http::ParseError;
use bytes::{Buf, Bytes, BytesMut};

/// Distance of the character codes of an opening and its closing bracket, for both kinds.
const BRACKET_DISTANCE: u8 = b'}' - b'{';

/// A part of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonFrame {
    /// A complete object; its content is not validated.
    Object(Bytes),
    /// The end of a line outside of any object.
    LineEnd,
}

/// Splits a stream into frames.
#[derive(Default)]
pub struct JsonFramer {
    buffer: BytesMut,
    /// The position up to which the buffer was scanned.
    position: usize,
    /// The opening brackets that are not closed yet.
    open_brackets: Vec<u8>,
    /// The last byte outside of strings that was not blank.
    last_token: u8,
    is_in_string: bool,
    is_escaped: bool,
}

impl JsonFramer {
    /// Adds received bytes.
    ///
    /// # Errors
    /// The buffered bytes exceed [`MAX_JSON_OBJECT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.buffer.len() + bytes.len() > MAX_JSON_OBJECT_BYTES {
            return Err(ParseError::TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// The last object is incomplete.
    #[must_use]
    pub fn is_within_object(&self) -> bool {
        !self.open_brackets.is_empty()
    }

    /// The next frame, if it is complete. A truncated object is detected where the next one begins.
    ///
    /// # Errors
    /// The stream contains anything but objects, or exceeds a bound.
    pub fn next_frame(&mut self) -> Result<Option<JsonFrame>, ParseError> {
        while let Some(byte) = self.buffer.get(self.position).copied() {
            self.position += 1;
            let frame = if self.is_in_string {
                self.scan_string(byte)?;
                None
            } else if self.open_brackets.is_empty() {
                self.scan_between(byte)?
            } else {
                self.scan_within(byte)?
            };
            if frame.is_some() {
                return Ok(frame);
            }
        }
        Ok(None)
    }

    fn scan_string(&mut self, byte: u8) -> Result<(), ParseError> {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.is_in_string = false,
            b'\n' => return Err(ParseError::Malformed("a line ends within a string")),
            _ => {}
        }
        Ok(())
    }

    /// A byte between objects: blanks are dropped.
    fn scan_between(&mut self, byte: u8) -> Result<Option<JsonFrame>, ParseError> {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {
                self.buffer.advance(self.position);
                self.position = 0;
                Ok((byte == b'\n').then_some(JsonFrame::LineEnd))
            }
            b'{' => {
                self.open_brackets.push(byte);
                self.last_token = byte;
                Ok(None)
            }
            _ => Err(ParseError::Malformed("no object")),
        }
    }

    /// A byte within an object, outside of strings.
    fn scan_within(&mut self, byte: u8) -> Result<Option<JsonFrame>, ParseError> {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => return Ok(None),
            b'{' | b'[' => self.open_bracket(byte)?,
            b'}' | b']' => {
                if self.open_brackets.pop() != Some(byte - BRACKET_DISTANCE) {
                    return Err(ParseError::Malformed("a bracket that closes none"));
                }
                if self.open_brackets.is_empty() {
                    return Ok(Some(self.take_object()));
                }
            }
            b'"' => self.is_in_string = true,
            _ => {}
        }
        self.last_token = byte;
        Ok(None)
    }

    fn open_bracket(&mut self, bracket: u8) -> Result<(), ParseError> {
        let is_after_key = self.last_token == b':';
        let is_array_entry =
            self.open_brackets.last() == Some(&b'[') && matches!(self.last_token, b'[' | b',');
        if !is_after_key && !is_array_entry {
            return Err(ParseError::Malformed("an object begins within another"));
        }
        if self.open_brackets.len() >= MAX_JSON_DEPTH {
            return Err(ParseError::TooLong);
        }
        self.open_brackets.push(bracket);
        Ok(())
    }

    fn take_object(&mut self) -> JsonFrame {
        self.last_token = 0;
        self.is_escaped = false;
        let object = self.buffer.split_to(self.position).freeze();
        self.position = 0;
        JsonFrame::Object(object)
    }
}
