//! Messages of endpoints.

use super::error::ParseError;
use super::framing::{length_field, split_message};
use crate::limits::messages::{MAX_ROW_BYTES, MAX_SMALL_MESSAGE_BYTES};
use bytes::{Bytes, BytesMut};
use std::ops::RangeInclusive;

/// Bytes that describe a column, after its name.
const COLUMN_DESCRIPTION: usize = 18;
/// Bytes of a row of one column before its value, without the type byte: length, number of columns, length of the value.
pub(super) const ROW_HEADER: u32 = 10;

/// A message of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendMessage {
    /// `ReadyForQuery`.
    Ready,
    /// One row of one column: `RowDescription`, `DataRow` and `CommandComplete` as received.
    Row([Bytes; 3]),
    /// An `ErrorResponse` with this code.
    Error(String),
    /// A `ParameterStatus`.
    Parameter {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
}

/// Parses the input from an endpoint, strictly: a message that violates the protocol is an error. Lengths are checked as
/// soon as they are received, so that the rest of an invalid message is never waited for.
#[derive(Default)]
pub struct Backend {
    is_started: bool,
    description: Option<Bytes>,
    row: Option<Bytes>,
}

impl Backend {
    /// The next message, if it is complete.
    ///
    /// # Errors
    /// The stream is out of step.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<BackendMessage>, ParseError> {
        loop {
            self.check_head(buffer)?;
            let Some(message) = split_message(buffer, MAX_ROW_BYTES)? else { return Ok(None) };
            if let Some(message) = self.on_message(message.kind, &message.body, &message.raw)? {
                return Ok(Some(message));
            }
        }
    }

    /// Checks the part of a message's head that was received.
    fn check_head(&self, buffer: &[u8]) -> Result<(), ParseError> {
        let Some(kind) = buffer.first().copied() else { return Ok(()) };
        let lengths = self.lengths_of(kind).ok_or(ParseError::Type(kind))?;
        let Some(length) = length_field(buffer) else { return Ok(()) };
        if !lengths.contains(&(length as usize)) {
            return Err(ParseError::Length(length as usize));
        }
        if kind == b'D' && buffer.get(5..11).is_some_and(|head| !is_single_column_row(head, length)) {
            return Err(ParseError::Malformed("not one row of one column"));
        }
        Ok(())
    }

    /// The valid lengths of a message of this type. None: the type is not valid now.
    fn lengths_of(&self, kind: u8) -> Option<RangeInclusive<usize>> {
        match kind {
            b'R' | b'K' if !self.is_started => Some(8..=MAX_SMALL_MESSAGE_BYTES),
            b'T' => Some(4 + 2 + 1 + COLUMN_DESCRIPTION..=MAX_SMALL_MESSAGE_BYTES),
            b'D' => Some(ROW_HEADER as usize..=MAX_ROW_BYTES),
            b'C' | b'E' | b'N' | b'S' => Some(5..=MAX_SMALL_MESSAGE_BYTES),
            b'Z' => Some(5..=5),
            _ => None,
        }
    }

    fn on_message(
        &mut self, kind: u8, body: &[u8], raw: &Bytes,
    ) -> Result<Option<BackendMessage>, ParseError> {
        match kind {
            b'R' if *body != [0; 4] => Err(ParseError::Malformed("a password is required")),
            b'T' => self.on_description(body, raw).map(|()| None),
            b'D' => self.on_row(raw).map(|()| None),
            b'C' => self.on_complete(body, raw).map(Some),
            b'E' => self.on_error(body).map(Some),
            b'S' => Ok(parameter(body)),
            b'Z' => self.on_ready(body).map(Some),
            _ => Ok(None),
        }
    }

    fn on_description(&mut self, body: &[u8], raw: &Bytes) -> Result<(), ParseError> {
        if !is_single_column_description(body) || self.description.replace(raw.clone()).is_some() {
            return Err(ParseError::Malformed("not one description of one column"));
        }
        Ok(())
    }

    fn on_row(&mut self, raw: &Bytes) -> Result<(), ParseError> {
        if self.description.is_none() || self.row.replace(raw.clone()).is_some() {
            return Err(ParseError::Malformed("not one row after its description"));
        }
        Ok(())
    }

    fn on_complete(&mut self, body: &[u8], raw: &Bytes) -> Result<BackendMessage, ParseError> {
        match (self.description.take(), self.row.take()) {
            (Some(description), Some(row)) if is_single_row_tag(body) => {
                Ok(BackendMessage::Row([description, row, raw.clone()]))
            }
            _ => Err(ParseError::Malformed("complete without a row, or with an invalid tag")),
        }
    }

    fn on_error(&self, body: &[u8]) -> Result<BackendMessage, ParseError> {
        // The query was executed if a row has begun, whatever the code states.
        if self.description.is_some() {
            return Err(ParseError::Malformed("an error within an answer"));
        }
        let code = error_code(body).ok_or(ParseError::Malformed("an invalid error"))?;
        Ok(BackendMessage::Error(code))
    }

    fn on_ready(&mut self, body: &[u8]) -> Result<BackendMessage, ParseError> {
        if self.description.is_some() {
            return Err(ParseError::Malformed("ready within an answer"));
        }
        if *body != *b"I" {
            return Err(ParseError::Malformed("ready within a transaction"));
        }
        self.is_started = true;
        Ok(BackendMessage::Ready)
    }
}

/// The row has one column, whose length matches that of the message.
fn is_single_column_row(head: &[u8], length: u32) -> bool {
    let Some((columns, value_length)) = head.split_first_chunk::<2>() else { return false };
    let Some(value_length) = value_length.first_chunk::<4>() else { return false };
    let value_length = i64::from(i32::from_be_bytes(*value_length));
    *columns == [0, 1] && value_length >= 0 && value_length + i64::from(ROW_HEADER) == i64::from(length)
}

/// The description has one column, in binary format.
fn is_single_column_description(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&[0, 1]) else { return false };
    let Some(name_length) = column.iter().position(|byte| *byte == 0) else { return false };
    let name = &column[..name_length];
    let description = &column[name_length + 1..];
    !name.is_empty()
        && name.iter().all(u8::is_ascii_graphic)
        && description.len() == COLUMN_DESCRIPTION
        && description.ends_with(&[0, 1])
}

/// The tag states that one row was read or written.
fn is_single_row_tag(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0")
}

/// A `ParameterStatus`. None: it is not UTF-8.
fn parameter(body: &[u8]) -> Option<BackendMessage> {
    let mut texts = body.split(|byte| *byte == 0);
    let name = std::str::from_utf8(texts.next()?).ok()?;
    let value = std::str::from_utf8(texts.next()?).ok()?;
    Some(BackendMessage::Parameter { name: name.to_string(), value: value.to_string() })
}

/// A field of an `ErrorResponse`.
struct ErrorField<'a> {
    kind: u8,
    text: &'a str,
}

/// The code of a valid `ErrorResponse`.
fn error_code(body: &[u8]) -> Option<String> {
    let fields = body.strip_suffix(&[0, 0])?.split(|byte| *byte == 0);
    let fields: Vec<ErrorField> = fields.map(error_field).collect::<Option<_>>()?;
    single_field(&fields, b'S')?;
    single_field(&fields, b'M')?;
    let code = single_field(&fields, b'C')?;
    let is_sqlstate = code.len() == 5 && code.bytes().all(|byte| byte.is_ascii_alphanumeric());
    is_sqlstate.then(|| code.to_string())
}

fn error_field(field: &[u8]) -> Option<ErrorField<'_>> {
    let (kind, text) = field.split_first()?;
    let text = std::str::from_utf8(text).ok()?;
    kind.is_ascii_alphabetic().then_some(ErrorField { kind: *kind, text })
}

/// The text of the only field of a kind.
fn single_field<'a>(fields: &[ErrorField<'a>], kind: u8) -> Option<&'a str> {
    let mut texts = fields.iter().filter(|field| field.kind == kind).map(|field| field.text);
    let text = texts.next()?;
    texts.next().is_none().then_some(text)
}
