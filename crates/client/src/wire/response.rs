//! Reads answers from bytes as they arrive.

use crate::rules::{MAX_MESSAGE_LENGTH, MAX_RESPONSE_LENGTH};
use bytes::{Buf, Bytes, BytesMut};

/// Bytes of a message before its body: its kind and its length.
const HEADER_LENGTH: usize = 5;
/// Bytes of a length field, which counts itself.
const LENGTH_FIELD: usize = 4;
/// Bytes of a data row before its only value: the number of values and the value's length.
const ROW_HEADER_LENGTH: usize = 6;
/// SQLSTATEs of errors before execution: too many connections, cannot connect now.
const REJECTED_SQLSTATES: [&str; 2] = ["53300", "57P03"];

/// A protocol error of a gateway: its connection must not be used again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A message, or its answer, is too long; the message's length in bytes.
    #[error("a message of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// A message is malformed, or not allowed at its position.
    #[error("malformed message: {0}")]
    Malformed(#[from] MalformedMessage),
}

/// Why a message is malformed, or not allowed at its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// Its length does not count itself.
    #[error("length field below 4")]
    LengthTooShort,
    /// An answer has one row at most.
    #[error("second row, or row after an error")]
    UnexpectedRow,
    /// A row is shorter than its header.
    #[error("truncated row")]
    ShortRow,
    /// A row has not exactly one value.
    #[error("row without exactly one value")]
    InvalidRow,
    /// The answer ends after a row without the completion of its command.
    #[error("row without command completion")]
    IncompleteRow,
    /// The message is of no kind that a gateway sends.
    #[error("unknown message type")]
    UnknownKind,
    /// The fields of an error are not terminated.
    #[error("unterminated error")]
    UnterminatedError,
    /// A field of an error has no kind.
    #[error("error field without a type")]
    EmptyField,
    /// A field of an error is not UTF-8.
    #[error("error field is not UTF-8")]
    ErrorNotText,
    /// An error has two SQLSTATEs.
    #[error("error with two SQLSTATEs")]
    RepeatedCode,
    /// An error has no SQLSTATE.
    #[error("error without a SQLSTATE")]
    MissingCode,
}

/// An answer up to `ReadyForQuery`, or up to a fatal error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The gateway is ready for a first query.
    Ready,
    /// The value of the only row.
    Value(Bytes),
    /// The query was definitely not executed.
    Rejected {
        /// The minimum time in ms before a retry, where the gateway named one.
        retry_after: Option<u64>,
        /// The gateway closes the connection.
        is_fatal: bool,
    },
    /// Any other error: the query was possibly executed.
    Failed {
        /// Its SQLSTATE.
        code: String,
        /// The gateway closes the connection.
        is_fatal: bool,
    },
}

impl Response {
    fn is_fatal(&self) -> bool {
        matches!(self, Response::Rejected { is_fatal: true, .. } | Response::Failed { is_fatal: true, .. })
    }
}

/// The type and the length of a message.
struct Header {
    kind: u8,
    /// Counts itself and the body.
    length: usize,
}

impl Header {
    fn read(buffer: &BytesMut) -> Option<Header> {
        let &[kind, length @ ..] = buffer.first_chunk::<HEADER_LENGTH>()?;
        Some(Header { kind, length: u32::from_be_bytes(length) as usize })
    }
}

/// Reads one answer after another.
#[derive(Debug, Default)]
pub struct ResponseReader {
    value: Option<Bytes>,
    is_command_complete: bool,
    error: Option<Response>,
    /// The sum of the lengths of the answer's messages so far.
    response_length: usize,
}

impl ResponseReader {
    /// Reads the next answer, if all of it is in the buffer; messages that were read are removed from the buffer.
    ///
    /// # Errors
    /// The bytes are no answer.
    pub fn read(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, ProtocolError> {
        while let Some(header) = Header::read(buffer) {
            self.check_length(header.length)?;
            if buffer.len() < header.length + 1 {
                return Ok(None);
            }
            let mut body = buffer.split_to(header.length + 1).freeze();
            body.advance(HEADER_LENGTH);
            self.response_length += header.length;
            if let Some(response) = self.read_message(header.kind, &body)? {
                *self = ResponseReader::default();
                return Ok(Some(response));
            }
        }
        Ok(None)
    }

    /// Called as soon as the header is read: no bytes are buffered for a message that is too long.
    fn check_length(&self, length: usize) -> Result<(), ProtocolError> {
        if length < LENGTH_FIELD {
            return Err(MalformedMessage::LengthTooShort.into());
        }
        if length > MAX_MESSAGE_LENGTH || self.response_length + length > MAX_RESPONSE_LENGTH {
            return Err(ProtocolError::TooLong(length));
        }
        Ok(())
    }

    fn read_message(&mut self, kind: u8, body: &Bytes) -> Result<Option<Response>, MalformedMessage> {
        match kind {
            b'D' => {
                if self.value.is_some() || self.error.is_some() {
                    return Err(MalformedMessage::UnexpectedRow);
                }
                self.value = Some(parse_row(body)?);
                Ok(None)
            }
            b'C' => {
                self.is_command_complete = true;
                Ok(None)
            }
            b'E' => {
                let error = parse_error(body)?;
                if error.is_fatal() {
                    return Ok(Some(error));
                }
                self.error.get_or_insert(error);
                Ok(None)
            }
            b'Z' => self.finish().map(Some),
            // Row description, notice, parameter, authentication, key data, end of an empty query.
            b'T' | b'N' | b'S' | b'R' | b'K' | b'I' => Ok(None),
            _ => Err(MalformedMessage::UnknownKind),
        }
    }

    /// The answer at `ReadyForQuery`.
    fn finish(&mut self) -> Result<Response, MalformedMessage> {
        if let Some(error) = self.error.take() {
            return Ok(error);
        }
        match self.value.take() {
            None => Ok(Response::Ready),
            Some(value) if self.is_command_complete => Ok(Response::Value(value)),
            Some(_) => Err(MalformedMessage::IncompleteRow),
        }
    }
}

/// The only value of a data row.
fn parse_row(body: &Bytes) -> Result<Bytes, MalformedMessage> {
    let Some(&[count_high, count_low, length @ ..]) = body.first_chunk::<ROW_HEADER_LENGTH>() else {
        return Err(MalformedMessage::ShortRow);
    };
    let value_count = u16::from_be_bytes([count_high, count_low]);
    let value_length = i32::from_be_bytes(length);
    if value_count != 1 || value_length < 0 || body.len() != ROW_HEADER_LENGTH + value_length as usize {
        return Err(MalformedMessage::InvalidRow);
    }
    Ok(body.slice(ROW_HEADER_LENGTH..))
}

/// Parses an error message. Only a complete one with one SQLSTATE is proof that a query was not executed.
fn parse_error(body: &[u8]) -> Result<Response, MalformedMessage> {
    let mut code = None;
    let mut severity = "";
    let mut retry_after = None;
    let fields = body.strip_suffix(b"\0\0").ok_or(MalformedMessage::UnterminatedError)?;
    for field in fields.split(|byte| *byte == 0) {
        let (kind, text) = field.split_first().ok_or(MalformedMessage::EmptyField)?;
        let text = std::str::from_utf8(text).map_err(|_| MalformedMessage::ErrorNotText)?;
        match kind {
            b'C' if code.is_some() => return Err(MalformedMessage::RepeatedCode),
            b'C' => code = Some(text.to_string()),
            b'S' => severity = text,
            b'D' => retry_after = text.parse::<u64>().ok(),
            _ => {}
        }
    }
    let code = code.ok_or(MalformedMessage::MissingCode)?;
    let is_fatal = severity == "FATAL" || severity == "PANIC";
    if REJECTED_SQLSTATES.contains(&code.as_str()) {
        Ok(Response::Rejected { retry_after, is_fatal })
    } else {
        Ok(Response::Failed { code, is_fatal })
    }
}
