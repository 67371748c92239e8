//! Splits a stream into JSON objects, however they are spread over lines, in one pass over its bytes.

use crate::proto::http::ParseError;
use bytes::{Buf, Bytes, BytesMut};

/// The longest object of a stream: some thousand endpoints.
const MAX_OBJECT: usize = 1024 * 1024;
/// Objects and arrays within each other at most: what is read here needs three.
const MAX_DEPTH: usize = 16;
/// The codes of an opening bracket and its closing one lie so far apart, for both kinds of brackets.
const BRACKET_DISTANCE: u8 = b'}' - b'{';

/// What a stream holds.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonFrame {
    /// An object, whole; whether it makes sense is for others to say.
    Object(Bytes),
    /// The end of a line outside of any object.
    LineEnd,
}

/// Reads the frames of a stream.
#[derive(Default)]
pub struct JsonFramer {
    buffer: BytesMut,
    /// The bytes before this were scanned.
    position: usize,
    /// The opening brackets that have no closing one yet.
    open_brackets: Vec<u8>,
    /// The last byte that was neither blank nor within a text.
    last_token: u8,
    is_in_text: bool,
    is_escaped: bool,
}

impl JsonFramer {
    /// Adds what has come.
    ///
    /// # Errors
    /// An object exceeds its bound.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.buffer.len() + bytes.len() > MAX_OBJECT {
            return Err(ParseError::TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// An object has begun whose end has not come.
    pub fn is_within_object(&self) -> bool {
        !self.open_brackets.is_empty()
    }

    /// The next frame, if its last byte has come. An object that was cut off is noticed where the next one begins.
    ///
    /// # Errors
    /// The stream holds something else than objects, or exceeds a bound.
    pub fn next_frame(&mut self) -> Result<Option<JsonFrame>, ParseError> {
        while let Some(byte) = self.buffer.get(self.position).copied() {
            self.position += 1;
            let frame = if self.is_in_text {
                self.scan_text(byte)?;
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

    fn scan_text(&mut self, byte: u8) -> Result<(), ParseError> {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = true,
            b'"' => self.is_in_text = false,
            b'\n' => return Err(ParseError::Malformed("a line ends within a text")),
            _ => {}
        }
        Ok(())
    }

    /// A byte between objects: what only separates them is not kept.
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

    /// A byte within an object, outside of texts.
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
            b'"' => self.is_in_text = true,
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
        if self.open_brackets.len() >= MAX_DEPTH {
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
