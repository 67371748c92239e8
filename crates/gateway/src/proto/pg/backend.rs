//! What endpoints write.

use super::ParseError;
use super::framing::{length_field, split_message};
use bytes::{Bytes, BytesMut};
use std::ops::RangeInclusive;

/// The longest row: values of 400,000 bytes were met, and what is said to be far longer is noise.
const MAX_ROW: usize = 512 * 1024;
/// The longest message that is no row.
const MAX_SMALL: usize = 8192;
/// Bytes that describe a column, after its name.
const COLUMN_DESCRIPTION: usize = 18;
/// Bytes of a row of one column before its value, without the type byte: length, number of columns, length of the value.
const ROW_HEADER: u32 = 10;

/// What an endpoint says.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendMessage {
    /// ReadyForQuery.
    Ready,
    /// One row of one column, whole: RowDescription, DataRow and CommandComplete as they came.
    Row([Bytes; 3]),
    /// An ErrorResponse with this code.
    Error(String),
    /// A ParameterStatus.
    Parameter {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
}

/// Reads what an endpoint writes, strictly: whatever is not as the protocol has it is no answer, and nothing behind it
/// can be read. Lengths are checked as soon as they are there, so that no rest is waited for that may never come.
#[derive(Default)]
pub struct Backend {
    is_started: bool,
    description: Option<Bytes>,
    row: Option<Bytes>,
}

impl Backend {
    /// The next message, if its last byte has come.
    ///
    /// # Errors
    /// The stream is out of step.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<BackendMessage>, ParseError> {
        loop {
            self.check_head(buffer)?;
            let Some(message) = split_message(buffer, MAX_ROW)? else { return Ok(None) };
            if let Some(message) = self.on_message(message.kind, &message.body, &message.raw)? {
                return Ok(Some(message));
            }
        }
    }

    /// Checks as much of a message's head as has come.
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

    /// The lengths that a message of this type may have; none: it may not come.
    fn lengths_of(&self, kind: u8) -> Option<RangeInclusive<usize>> {
        match kind {
            b'R' | b'K' if !self.is_started => Some(8..=MAX_SMALL),
            b'T' => Some(4 + 2 + 1 + COLUMN_DESCRIPTION..=MAX_SMALL),
            b'D' => Some(ROW_HEADER as usize..=MAX_ROW),
            b'C' | b'E' | b'N' | b'S' => Some(5..=MAX_SMALL),
            b'Z' => Some(5..=5),
            _ => None,
        }
    }

    fn on_message(
        &mut self, kind: u8, body: &[u8], raw: &Bytes,
    ) -> Result<Option<BackendMessage>, ParseError> {
        match kind {
            b'R' if *body != [0; 4] => Err(ParseError::Malformed("a password is asked for")),
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
            _ => Err(ParseError::Malformed("complete without a row, or not as it should read")),
        }
    }

    fn on_error(&self, body: &[u8]) -> Result<BackendMessage, ParseError> {
        // What has begun a row was executed: no code says otherwise.
        if self.description.is_some() {
            return Err(ParseError::Malformed("an error within an answer"));
        }
        let code = error_code(body).ok_or(ParseError::Malformed("an error that cannot be read"))?;
        Ok(BackendMessage::Error(code))
    }

    fn on_ready(&mut self, body: &[u8]) -> Result<BackendMessage, ParseError> {
        if self.description.is_some() {
            return Err(ParseError::Malformed("ready within an answer"));
        }
        if *body != *b"I" {
            return Err(ParseError::Malformed("not ready for a query of its own"));
        }
        self.is_started = true;
        Ok(BackendMessage::Ready)
    }
}

/// The head of a row has one column, whose length fits the message's.
fn is_single_column_row(head: &[u8], length: u32) -> bool {
    let Some((columns, value_length)) = head.split_first_chunk::<2>() else { return false };
    let Some(value_length) = value_length.first_chunk::<4>() else { return false };
    let value_length = i64::from(i32::from_be_bytes(*value_length));
    *columns == [0, 1] && value_length >= 0 && value_length + i64::from(ROW_HEADER) == i64::from(length)
}

/// One column is described, given in binary.
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

/// One row was read or written.
fn is_single_row_tag(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0")
}

/// A ParameterStatus; none where it is no text.
fn parameter(body: &[u8]) -> Option<BackendMessage> {
    let mut texts = body.split(|byte| *byte == 0);
    let name = std::str::from_utf8(texts.next()?).ok()?;
    let value = std::str::from_utf8(texts.next()?).ok()?;
    Some(BackendMessage::Parameter { name: name.to_string(), value: value.to_string() })
}

/// A field of an ErrorResponse.
struct ErrorField<'a> {
    kind: u8,
    text: &'a str,
}

/// The code of an ErrorResponse that can be read whole.
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
