//! Parses responses from bytes as they arrive.

use crate::rules::{MAX_MESSAGE_BYTES, MAX_RESPONSE_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// The kind of a message is its first byte.
const KIND_BYTES: usize = 1;
/// Bytes of a message before its body.
const HEADER_BYTES: usize = KIND_BYTES + LENGTH_FIELD_BYTES;
/// The least value of a length field, which counts its own bytes.
const LENGTH_FIELD_BYTES: usize = 4;
/// Bytes of a data row before its only value: the number of values and the length of the value.
const ROW_HEADER_BYTES: usize = 6;
/// SQLSTATEs of requests that were rejected before execution: too many connections, cannot connect now.
const REJECTED_SQLSTATES: [&str; 2] = ["53300", "57P03"];

/// A violation of the protocol by a gateway. The caller must close the connection, and treat the query as possibly
/// executed if all of its bytes were written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The length of the message, in bytes, exceeds the limit of a message, or that of a response together with the
    /// messages before it.
    #[error(
        "a message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes, \
         or {MAX_RESPONSE_BYTES} for a response"
    )]
    TooLong(usize),
    /// A message is malformed, or not allowed at its position.
    #[error("malformed message: {0}")]
    Malformed(#[from] MalformedMessage),
}

/// Why a message is malformed, or not allowed at its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The value of a length field is below 4, although the field counts its own bytes.
    #[error("length field below 4")]
    LengthTooShort,
    /// A second row, or a row after an error: a response has at most one row.
    #[error("second row, or row after an error")]
    UnexpectedRow,
    /// A row is shorter than its header.
    #[error("truncated row")]
    ShortRow,
    /// The number of values of a row is not 1, or the length of the value does not match that of the row.
    #[error("row without exactly one value")]
    InvalidRow,
    /// A row is not followed by `CommandComplete` before `ReadyForQuery`.
    #[error("row without command completion")]
    IncompleteRow,
    /// Gateways do not send messages of this kind.
    #[error("unknown message type")]
    UnknownKind,
    /// An error does not end with two zero bytes.
    #[error("unterminated error")]
    UnterminatedError,
    /// A field of an error is empty, and so has no kind.
    #[error("error field without a type")]
    EmptyField,
    /// A field of an error is not UTF-8.
    #[error("error field is not UTF-8")]
    ErrorNotUtf8,
    /// An error has two SQLSTATEs.
    #[error("error with two SQLSTATEs")]
    RepeatedCode,
    /// An error has no SQLSTATE.
    #[error("error without a SQLSTATE")]
    MissingCode,
}

/// A response of a gateway, complete with `ReadyForQuery` or with a fatal error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// No row and no error: after the startup message, the gateway is ready for queries.
    Ready,
    /// The query was executed: the value of the only row.
    Value(Bytes),
    /// The query was not executed: any request may be retried.
    Rejected {
        /// The minimum time before a retry, in milliseconds; `None` if the gateway sent none.
        retry_after: Option<u64>,
        /// `true` if the gateway closes the connection.
        is_fatal: bool,
    },
    /// Any other error: the query was possibly executed, so that only an idempotent request may be retried.
    Failed {
        /// The SQLSTATE of the error.
        code: String,
        /// `true` if the gateway closes the connection.
        is_fatal: bool,
    },
}

impl Response {
    fn is_fatal(&self) -> bool {
        matches!(self, Response::Rejected { is_fatal: true, .. } | Response::Failed { is_fatal: true, .. })
    }
}

struct Header {
    kind: u8,
    /// The value of the length field: the bytes of the field itself and of the body.
    length: usize,
}

impl Header {
    fn read(buffer: &BytesMut) -> Option<Header> {
        let &[kind, length @ ..] = buffer.first_chunk::<HEADER_BYTES>()?;
        Some(Header { kind, length: u32::from_be_bytes(length) as usize })
    }

    /// Bytes of the complete message; the length field does not count the kind.
    fn message_bytes(&self) -> usize {
        KIND_BYTES + self.length
    }
}

/// Parses the responses of one connection, one after another.
#[derive(Debug, Default)]
pub struct ResponseReader {
    value: Option<Bytes>,
    is_command_complete: bool,
    error: Option<Response>,
    /// The sum of the length fields of the messages read so far, in bytes.
    response_length: usize,
}

impl ResponseReader {
    /// Reads the next response and removes complete messages from the buffer. `None` if the response is incomplete: the
    /// caller appends further bytes to the buffer and calls this again.
    ///
    /// # Errors
    /// The bytes violate the protocol. The caller must close the connection.
    pub fn read(&mut self, buffer: &mut BytesMut) -> Result<Option<Response>, ProtocolError> {
        while let Some(header) = Header::read(buffer) {
            self.check_length(header.length)?;
            if buffer.len() < header.message_bytes() {
                return Ok(None);
            }
            let mut body = buffer.split_to(header.message_bytes()).freeze();
            body.advance(HEADER_BYTES);
            self.response_length += header.length;
            if let Some(response) = self.read_message(header.kind, &body)? {
                *self = ResponseReader::default();
                return Ok(Some(response));
            }
        }
        Ok(None)
    }

    /// Called as soon as the header has arrived, so that no body of a message that is too long is buffered.
    fn check_length(&self, length: usize) -> Result<(), ProtocolError> {
        if length < LENGTH_FIELD_BYTES {
            return Err(MalformedMessage::LengthTooShort.into());
        }
        if length > MAX_MESSAGE_BYTES || self.response_length + length > MAX_RESPONSE_BYTES {
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
            // RowDescription, NoticeResponse, ParameterStatus, Authentication, BackendKeyData, EmptyQueryResponse.
            b'T' | b'N' | b'S' | b'R' | b'K' | b'I' => Ok(None),
            _ => Err(MalformedMessage::UnknownKind),
        }
    }

    /// The response that `ReadyForQuery` completes.
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

/// Returns the only value of a data row.
fn parse_row(body: &Bytes) -> Result<Bytes, MalformedMessage> {
    let Some(&[count_high, count_low, length @ ..]) = body.first_chunk::<ROW_HEADER_BYTES>() else {
        return Err(MalformedMessage::ShortRow);
    };
    let value_count = u16::from_be_bytes([count_high, count_low]);
    let value_length = i32::from_be_bytes(length);
    if value_count != 1 || value_length < 0 || body.len() != ROW_HEADER_BYTES + value_length as usize {
        return Err(MalformedMessage::InvalidRow);
    }
    Ok(body.slice(ROW_HEADER_BYTES..))
}

/// Parses an error message. An error that is truncated, or has no or two SQLSTATEs, is malformed and never counts as a
/// rejection: a rejection allows a retry of any query, also of one that must not be executed twice.
fn parse_error(body: &[u8]) -> Result<Response, MalformedMessage> {
    let mut code = None;
    let mut severity = "";
    let mut retry_after = None;
    let fields = body.strip_suffix(b"\0\0").ok_or(MalformedMessage::UnterminatedError)?;
    for field in fields.split(|byte| *byte == 0) {
        let (kind, text) = field.split_first().ok_or(MalformedMessage::EmptyField)?;
        let text = std::str::from_utf8(text).map_err(|_| MalformedMessage::ErrorNotUtf8)?;
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
