//! Splits a stream into JSON objects in one pass over its bytes. An object may span lines.

use crate::limits::messages::{MAX_JSON_DEPTH, MAX_JSON_OBJECT_BYTES};
use crate::proto::http::ParseError;
use bytes::{Buf, Bytes, BytesMut};

/// Difference between the character codes of a closing bracket and its opening one; the same for `{}` and `[]`.
const BRACKET_DISTANCE: u8 = b'}' - b'{';

/// A complete part of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum JsonFrame {
    /// A JSON object. Only its brackets and strings were checked: parsing it may still fail.
    Object(Bytes),
    /// The end of a line outside of an object. Services send empty lines as keepalives.
    LineEnd,
}

/// Splits the input of one stream into frames.
#[derive(Default)]
pub struct JsonFramer {
    buffer: BytesMut,
    /// Number of bytes of the buffer that were scanned.
    position: usize,
    /// The opening brackets without a closing one, outermost first. Empty between objects.
    open_brackets: Vec<u8>,
    /// The last byte of the current object that is neither white space nor within a string.
    last_token: Option<u8>,
    is_in_string: bool,
    is_escaped: bool,
}

impl JsonFramer {
    /// Appends received bytes. Call [`next_frame`](Self::next_frame) until it returns `None` before appending more.
    ///
    /// # Errors
    /// The buffered bytes would exceed [`MAX_JSON_OBJECT_BYTES`]: close the connection.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), ParseError> {
        if self.buffer.len() + bytes.len() > MAX_JSON_OBJECT_BYTES {
            return Err(ParseError::TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns `true` if an object has begun and is incomplete. At the end of the stream this object is lost.
    #[must_use]
    pub fn is_within_object(&self) -> bool {
        !self.open_brackets.is_empty()
    }

    /// Removes the next frame and returns it, or `None` if it is incomplete: append input with [`push`](Self::push)
    /// and call again.
    ///
    /// # Errors
    /// The stream contains anything but objects and white space, has brackets that do not match, is nested too deeply,
    /// or has a line break in a string or an opening bracket where no value may begin. The last two are signs of a
    /// truncated object that is followed by another. After any of these errors, close the connection.
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
            b'\n' => {
                return Err(ParseError::Malformed(
                    "expected the end of a JSON string, got the end of a line",
                ));
            }
            _ => {}
        }
        Ok(())
    }

    /// Scans a byte between objects. White space is dropped immediately, so that it does not count as buffered.
    fn scan_between(&mut self, byte: u8) -> Result<Option<JsonFrame>, ParseError> {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {
                self.buffer.advance(self.position);
                self.position = 0;
                Ok((byte == b'\n').then_some(JsonFrame::LineEnd))
            }
            b'{' => {
                self.open_brackets.push(byte);
                self.last_token = Some(byte);
                Ok(None)
            }
            _ => Err(ParseError::Malformed("expected a JSON object")),
        }
    }

    /// Scans a byte within an object, outside of strings.
    fn scan_within(&mut self, byte: u8) -> Result<Option<JsonFrame>, ParseError> {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => return Ok(None),
            b'{' | b'[' => self.open_bracket(byte)?,
            b'}' | b']' => {
                if self.open_brackets.pop() != Some(byte - BRACKET_DISTANCE) {
                    return Err(ParseError::Malformed(
                        "expected the closing bracket of the innermost JSON object or array",
                    ));
                }
                if self.open_brackets.is_empty() {
                    return Ok(Some(self.take_object()));
                }
            }
            b'"' => self.is_in_string = true,
            _ => {}
        }
        self.last_token = Some(byte);
        Ok(None)
    }

    /// Checks that an object or array may begin after the last token. Otherwise the current object was truncated and
    /// the next one begins within it.
    fn open_bracket(&mut self, bracket: u8) -> Result<(), ParseError> {
        let is_after_key = self.last_token == Some(b':');
        let is_array_entry =
            self.open_brackets.last() == Some(&b'[') && matches!(self.last_token, Some(b'[' | b','));
        if !is_after_key && !is_array_entry {
            return Err(ParseError::Malformed(
                "expected the rest of a JSON object, got the start of another",
            ));
        }
        if self.open_brackets.len() >= MAX_JSON_DEPTH {
            return Err(ParseError::TooLong);
        }
        self.open_brackets.push(bracket);
        Ok(())
    }

    fn take_object(&mut self) -> JsonFrame {
        self.last_token = None;
        self.is_escaped = false;
        let object = self.buffer.split_to(self.position).freeze();
        self.position = 0;
        JsonFrame::Object(object)
    }
}
