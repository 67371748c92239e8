//! Messages of clients.

use super::error::ParseError;
use super::framing::split_message;
use crate::limits::messages::MAX_CLIENT_MESSAGE_BYTES;
use bytes::{Buf, Bytes, BytesMut};

/// Postgres' limits of a startup packet.
const STARTUP_LENGTHS: std::ops::RangeInclusive<usize> = 8..=10_000;
/// The types of message that a client may send.
const MESSAGE_TYPES: &[u8] = b"QXSPBDECFHdcfp";

/// Codes in place of a version: `SSLRequest`, `GSSENCRequest` and `CancelRequest`.
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
/// The supported major version of the protocol; any minor version is accepted.
const MAJOR_VERSION: u32 = 3;

/// A message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontendMessage {
    /// `SSLRequest` or `GSSENCRequest`.
    EncryptionRequest,
    /// `CancelRequest`.
    Cancel,
    /// `StartupMessage`.
    Startup,
    /// A simple query, without its terminator.
    Query(Bytes),
    /// Sync.
    Sync,
    /// The first message of the extended protocol before a Sync.
    Extended,
    /// Terminate.
    Terminate,
}

/// Parses the input of a client.
#[derive(Default)]
pub struct Frontend {
    is_started: bool,
    /// Messages of the extended protocol are skipped until the next Sync.
    is_skipping: bool,
}

impl Frontend {
    /// The next message that needs an answer, if it is complete.
    ///
    /// # Errors
    /// The stream is out of step.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<FrontendMessage>, ParseError> {
        if !self.is_started {
            return self.next_startup(buffer);
        }
        loop {
            // Checked before the length is received: an unknown type proves that the stream is out of step.
            let Some(kind) = buffer.first().copied() else { return Ok(None) };
            if !MESSAGE_TYPES.contains(&kind) {
                return Err(ParseError::Type(kind));
            }
            let Some(message) = split_message(buffer, MAX_CLIENT_MESSAGE_BYTES)? else { return Ok(None) };
            if let Some(message) = self.on_message(message.kind, message.body)? {
                return Ok(Some(message));
            }
        }
    }

    fn on_message(&mut self, kind: u8, body: Bytes) -> Result<Option<FrontendMessage>, ParseError> {
        match kind {
            b'X' => Ok(Some(FrontendMessage::Terminate)),
            b'S' => {
                self.is_skipping = false;
                Ok(Some(FrontendMessage::Sync))
            }
            _ if self.is_skipping => Ok(None),
            b'Q' => query_text(body).map(|text| Some(FrontendMessage::Query(text))),
            // Passwords, copied data and function calls need no answer.
            b'p' | b'd' | b'c' | b'f' => Ok(None),
            _ => {
                self.is_skipping = true;
                Ok(Some(FrontendMessage::Extended))
            }
        }
    }

    fn next_startup(&mut self, buffer: &mut BytesMut) -> Result<Option<FrontendMessage>, ParseError> {
        let Some(length) = buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !STARTUP_LENGTHS.contains(&length) {
            return Err(ParseError::Length(length));
        }
        if buffer.len() < length {
            return Ok(None);
        }
        let mut packet = buffer.split_to(length);
        packet.advance(4);
        match packet.get_u32() {
            SSL_REQUEST | GSS_REQUEST if packet.is_empty() => Ok(Some(FrontendMessage::EncryptionRequest)),
            CANCEL_REQUEST => Ok(Some(FrontendMessage::Cancel)),
            version if version >> 16 == MAJOR_VERSION => {
                self.is_started = true;
                Ok(Some(FrontendMessage::Startup))
            }
            version => Err(ParseError::Version(version)),
        }
    }
}

fn query_text(mut body: Bytes) -> Result<Bytes, ParseError> {
    match body.iter().position(|byte| *byte == 0) {
        Some(end) if end + 1 == body.len() => {
            body.truncate(end);
            Ok(body)
        }
        _ => Err(ParseError::Malformed("a query ends with its only zero byte")),
    }
}
