//! Parser for messages of endpoints.

use super::error::ParseError;
use super::framing::{LENGTH_FIELD_BYTES, length_field, split_message};
use crate::limits::messages::{MAX_ROW_BYTES, MAX_SMALL_MESSAGE_BYTES};
use bytes::{Bytes, BytesMut};
use std::ops::RangeInclusive;

const AUTHENTICATION: u8 = b'R';
const BACKEND_KEY_DATA: u8 = b'K';
const COMMAND_COMPLETE: u8 = b'C';
const DATA_ROW: u8 = b'D';
const ERROR_RESPONSE: u8 = b'E';
const NOTICE_RESPONSE: u8 = b'N';
const PARAMETER_STATUS: u8 = b'S';
const READY_FOR_QUERY: u8 = b'Z';
const ROW_DESCRIPTION: u8 = b'T';

/// The body of `AuthenticationOk`; any other code requests a password or another form of authentication.
const AUTHENTICATION_OK: [u8; 4] = [0; 4];
/// The body of a `ReadyForQuery` outside of a transaction.
const STATUS_IDLE: &[u8] = b"I";
/// The number of columns of a row or its description, as sent.
const ONE_COLUMN: [u8; 2] = [0, 1];
const BINARY_FORMAT: [u8; 2] = [0, 1];
/// Size in bytes of the description of a column after its name.
const COLUMN_DESCRIPTION_BYTES: usize = 18;
/// Size in bytes of a row with one column before its value, without the type byte: length of the message, number of
/// columns, length of the value.
pub(super) const ROW_HEADER_BYTES: u32 = 10;
/// The shortest `RowDescription`, as the value of its length field: number of columns, and a column with an empty
/// name.
const MIN_ROW_DESCRIPTION: usize = LENGTH_FIELD_BYTES + 2 + 1 + COLUMN_DESCRIPTION_BYTES;

/// A message of an endpoint that affects the query on its connection, or the state of the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendMessage {
    /// `ReadyForQuery`, outside of a transaction: the next query can be sent.
    Ready,
    /// The complete result of a query: `RowDescription`, one `DataRow` with one column, and `CommandComplete`, each
    /// as received. `ReadyForQuery` follows.
    Row([Bytes; 3]),
    /// `ErrorResponse` with its SQLSTATE. `ReadyForQuery` follows, except during the startup.
    Error(String),
    /// `ParameterStatus`; can be received at any time.
    Parameter {
        /// The parameter that was set or has changed.
        name: String,
        /// The current value of the parameter.
        value: String,
    },
}

/// Parses the input of one connection to an endpoint. See the [module](super) for the reaction to each return value.
///
/// Any deviation from the expected messages is an error. Type and length are checked as soon as they are received, so
/// that the gateway never waits for the rest of an invalid message.
#[derive(Default)]
pub struct BackendParser {
    /// Set by the first `ReadyForQuery`.
    is_started: bool,
    /// The `RowDescription` of a result whose `CommandComplete` was not received yet.
    description: Option<Bytes>,
    /// The `DataRow` of that result.
    row: Option<Bytes>,
}

impl BackendParser {
    /// Removes input from the buffer up to the next message or complete result, and returns it.
    ///
    /// Returns `None` if neither was received completely: append input to the buffer and call again.
    ///
    /// # Errors
    /// The input violates the protocol: close the connection. A query written to it may have been executed.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<BackendMessage>, ParseError> {
        loop {
            self.check_header(buffer)?;
            let Some(message) = split_message(buffer, MAX_ROW_BYTES)? else { return Ok(None) };
            if let Some(message) = self.on_message(message.kind, &message.body, &message.raw)? {
                return Ok(Some(message));
            }
        }
    }

    /// Checks type, length and row header of the first message, as far as they were received.
    fn check_header(&self, buffer: &[u8]) -> Result<(), ParseError> {
        let Some(kind) = buffer.first().copied() else { return Ok(()) };
        let lengths = self.valid_lengths(kind).ok_or(ParseError::Type(kind))?;
        let Some(length) = length_field(buffer) else { return Ok(()) };
        if !lengths.contains(&(length as usize)) {
            return Err(ParseError::Length(length as usize));
        }
        let row_header = buffer.get(1 + LENGTH_FIELD_BYTES..1 + ROW_HEADER_BYTES as usize);
        if kind == DATA_ROW && row_header.is_some_and(|header| !is_single_column_row(header, length)) {
            return Err(ParseError::Malformed("expected DataRow with one value that fills the message"));
        }
        Ok(())
    }

    /// Returns the valid values of the length field for a type, or `None` if the type is not valid in the current
    /// state.
    fn valid_lengths(&self, kind: u8) -> Option<RangeInclusive<usize>> {
        match kind {
            AUTHENTICATION | BACKEND_KEY_DATA if !self.is_started => Some(8..=MAX_SMALL_MESSAGE_BYTES),
            ROW_DESCRIPTION => Some(MIN_ROW_DESCRIPTION..=MAX_SMALL_MESSAGE_BYTES),
            DATA_ROW => Some(ROW_HEADER_BYTES as usize..=MAX_ROW_BYTES),
            COMMAND_COMPLETE | ERROR_RESPONSE | NOTICE_RESPONSE | PARAMETER_STATUS => {
                Some(5..=MAX_SMALL_MESSAGE_BYTES)
            }
            READY_FOR_QUERY => Some(5..=5),
            _ => None,
        }
    }

    fn on_message(
        &mut self, kind: u8, body: &[u8], raw: &Bytes,
    ) -> Result<Option<BackendMessage>, ParseError> {
        match kind {
            AUTHENTICATION if *body != AUTHENTICATION_OK => {
                Err(ParseError::Malformed("expected AuthenticationOk, got a request for authentication"))
            }
            ROW_DESCRIPTION => self.on_description(body, raw).map(|()| None),
            DATA_ROW => self.on_row(raw).map(|()| None),
            COMMAND_COMPLETE => self.on_complete(body, raw).map(Some),
            ERROR_RESPONSE => self.on_error(body).map(Some),
            PARAMETER_STATUS => Ok(parse_parameter(body)),
            READY_FOR_QUERY => self.on_ready(body).map(Some),
            _ => Ok(None),
        }
    }

    fn on_description(&mut self, body: &[u8], raw: &Bytes) -> Result<(), ParseError> {
        if !is_single_column_description(body) || self.description.replace(raw.clone()).is_some() {
            return Err(ParseError::Malformed("expected one RowDescription with one binary column"));
        }
        Ok(())
    }

    fn on_row(&mut self, raw: &Bytes) -> Result<(), ParseError> {
        if self.description.is_none() || self.row.replace(raw.clone()).is_some() {
            return Err(ParseError::Malformed("expected one DataRow after RowDescription"));
        }
        Ok(())
    }

    fn on_complete(&mut self, body: &[u8], raw: &Bytes) -> Result<BackendMessage, ParseError> {
        match (self.description.take(), self.row.take()) {
            (Some(description), Some(row)) if is_single_row_tag(body) => {
                Ok(BackendMessage::Row([description, row, raw.clone()]))
            }
            _ => Err(ParseError::Malformed("expected CommandComplete for one row, after its DataRow")),
        }
    }

    fn on_error(&self, body: &[u8]) -> Result<BackendMessage, ParseError> {
        // The query was executed if its result has begun, whatever the code states: the caller must not treat it as
        // rejected.
        if self.description.is_some() {
            return Err(ParseError::Malformed("expected the rest of a result, got ErrorResponse"));
        }
        let code = error_code(body)
            .ok_or(ParseError::Malformed("expected ErrorResponse with one severity, SQLSTATE and message"))?;
        Ok(BackendMessage::Error(code))
    }

    fn on_ready(&mut self, body: &[u8]) -> Result<BackendMessage, ParseError> {
        if self.description.is_some() {
            return Err(ParseError::Malformed("expected the rest of a result, got ReadyForQuery"));
        }
        if body != STATUS_IDLE {
            return Err(ParseError::Malformed("expected ReadyForQuery with status idle"));
        }
        self.is_started = true;
        Ok(BackendMessage::Ready)
    }
}

/// Returns `true` if the row has one column that is not NULL and whose value fills the message. `header` is the part
/// of the row header after the length field; `length` is the value of the length field.
fn is_single_column_row(header: &[u8], length: u32) -> bool {
    let Some((columns, value_length)) = header.split_first_chunk::<2>() else { return false };
    let Some(value_length) = value_length.first_chunk::<4>() else { return false };
    let value_length = i64::from(i32::from_be_bytes(*value_length));
    *columns == ONE_COLUMN
        && value_length >= 0
        && value_length + i64::from(ROW_HEADER_BYTES) == i64::from(length)
}

fn is_single_column_description(body: &[u8]) -> bool {
    let Some(column) = body.strip_prefix(&ONE_COLUMN) else { return false };
    let Some(name_length) = column.iter().position(|byte| *byte == 0) else { return false };
    let name = &column[..name_length];
    let description = &column[name_length + 1..];
    !name.is_empty()
        && name.iter().all(u8::is_ascii_graphic)
        && description.len() == COLUMN_DESCRIPTION_BYTES
        && description.ends_with(&BINARY_FORMAT)
}

/// Returns `true` if a `CommandComplete` states that one row was read or written.
fn is_single_row_tag(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0")
}

/// Returns the parameter of a `ParameterStatus`, or `None` if it is not UTF-8: the message is ignored then.
fn parse_parameter(body: &[u8]) -> Option<BackendMessage> {
    let mut texts = body.split(|byte| *byte == 0);
    let name = std::str::from_utf8(texts.next()?).ok()?;
    let value = std::str::from_utf8(texts.next()?).ok()?;
    Some(BackendMessage::Parameter { name: name.to_string(), value: value.to_string() })
}

struct ErrorField<'a> {
    kind: u8,
    text: &'a str,
}

/// Returns the SQLSTATE of an `ErrorResponse`, or `None` if the response is invalid: severity, SQLSTATE and message
/// must each occur exactly once.
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

/// Returns the text of the only field of a kind, or `None` if there is no such field or more than one.
fn single_field<'a>(fields: &[ErrorField<'a>], kind: u8) -> Option<&'a str> {
    let mut texts = fields.iter().filter(|field| field.kind == kind).map(|field| field.text);
    let text = texts.next()?;
    texts.next().is_none().then_some(text)
}
