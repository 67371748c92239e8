//! Splits a stream into JSON objects, however they are spread over lines, in one pass over its bytes.

use crate::proto::http::Broken;
use bytes::{Buf, Bytes, BytesMut};

/// The longest object of a stream: some thousand servers.
const LONGEST: usize = 1024 * 1024;
/// Objects and arrays within each other: what is read here needs three.
const DEEPEST: usize = 16;

/// What a stream holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// An object, whole; whether it makes sense is for others to say.
    Object(Bytes),
    /// The end of a line outside of any object.
    LineEnd,
}

/// Reads the pieces of a stream.
#[derive(Default)]
pub struct Pieces {
    held: BytesMut,
    /// So far it was looked at.
    at: usize,
    /// The opening brackets that have no closing one yet.
    open: Vec<u8>,
    /// The last byte that was neither blank nor within a text.
    last: u8,
    text: bool,
    escaped: bool,
}

impl Pieces {
    pub fn add(&mut self, bytes: &[u8]) -> Result<(), Broken> {
        if self.held.len() + bytes.len() > LONGEST {
            return Err(Broken::TooLong);
        }
        self.held.extend_from_slice(bytes);
        Ok(())
    }

    /// The next piece, if its last byte has come. An object that was cut off is seen where the next one
    /// begins.
    pub fn piece(&mut self) -> Result<Option<Piece>, Broken> {
        while let Some(byte) = self.held.get(self.at).copied() {
            self.at += 1;
            if self.text {
                match byte {
                    _ if self.escaped => self.escaped = false,
                    b'\\' => self.escaped = true,
                    b'"' => self.text = false,
                    b'\n' => return Err(Broken::Form("a line ends within a text")),
                    _ => {}
                }
                continue;
            }
            match byte {
                b' ' | b'\t' | b'\r' | b'\n' if self.open.is_empty() => {
                    // Nothing is held of what only sets objects apart.
                    self.held.advance(std::mem::take(&mut self.at));
                    if byte == b'\n' {
                        return Ok(Some(Piece::LineEnd));
                    }
                    continue;
                }
                b' ' | b'\t' | b'\r' | b'\n' => continue,
                _ if self.open.is_empty() && byte != b'{' => return Err(Broken::Form("no object")),
                b'{' | b'[' => {
                    let within =
                        matches!((self.open.last(), self.last), (_, b':') | (Some(b'['), b'[' | b','));
                    if !self.open.is_empty() && !within {
                        return Err(Broken::Form("an object begins within another"));
                    }
                    if self.open.len() >= DEEPEST {
                        return Err(Broken::TooLong);
                    }
                    self.open.push(byte);
                }
                b'}' | b']' => {
                    // The codes of both kinds of brackets lie two apart.
                    if self.open.pop() != Some(byte - 2) {
                        return Err(Broken::Form("a bracket that closes none"));
                    }
                    if self.open.is_empty() {
                        (self.last, self.escaped) = (0, false);
                        let object = self.held.split_to(std::mem::take(&mut self.at)).freeze();
                        return Ok(Some(Piece::Object(object)));
                    }
                }
                b'"' => self.text = true,
                _ => {}
            }
            self.last = byte;
        }
        Ok(None)
    }
}
