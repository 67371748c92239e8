//! Parser for messages of clients.

use super::error::ParseError;
use super::framing::{LENGTH_FIELD_BYTES, split_message};
use crate::limits::messages::MAX_CLIENT_MESSAGE_BYTES;
use bytes::{Buf, Bytes, BytesMut};

/// The valid lengths of a startup packet in bytes, as in Postgres.
const STARTUP_LENGTHS: std::ops::RangeInclusive<usize> = 8..=10_000;
/// The type bytes of all messages of clients after the startup.
const MESSAGE_TYPES: &[u8] = b"QXSPBDECFHdcfp";
const QUERY: u8 = b'Q';
const SYNC: u8 = b'S';
const TERMINATE: u8 = b'X';
/// `PasswordMessage` and other responses to authentication requests.
const PASSWORD: u8 = b'p';
const COPY_DATA: u8 = b'd';
const COPY_DONE: u8 = b'c';
const COPY_FAIL: u8 = b'f';

// Request codes that are sent in place of a protocol version.
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
/// The supported major version of the protocol. Any minor version is accepted.
const MAJOR_VERSION: u32 = 3;

/// A message of a client to which the gateway has to react.
#[derive(Clone, Debug, PartialEq)]
pub enum FrontendMessage {
    /// `SSLRequest` or `GSSENCRequest`: the client expects one byte in response.
    EncryptionRequest,
    /// `CancelRequest`: the client expects no response, and that the connection is closed.
    CancelRequest,
    /// `StartupMessage`: the client expects the startup response, or an error.
    Startup,
    /// `Query`: the text of a simple query, without the terminating zero byte. May be empty, and may be not UTF-8.
    Query(Bytes),
    /// `Sync`: the client expects `ReadyForQuery`.
    Sync,
    /// The first message of the extended query protocol since the last `Sync`. The client expects an error; the
    /// parser skips further messages until the next `Sync`, as the protocol requires after an error.
    ExtendedQuery,
    /// `Terminate`: the client closes the connection and expects no response.
    Terminate,
}

/// Parses the input of one client connection. See the [module](super) for the reaction to each return value.
#[derive(Default)]
pub struct FrontendParser {
    is_started: bool,
    /// Set after a message of the extended query protocol, until the next `Sync`.
    is_skipping: bool,
}

impl FrontendParser {
    /// Removes input from the buffer up to the next message that requires a reaction, and returns that message.
    ///
    /// Returns `None` if the buffer contains no such message completely: append input to it and call again.
    ///
    /// # Errors
    /// The input violates the protocol: send the error to the client and close the connection.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<FrontendMessage>, ParseError> {
        if !self.is_started {
            return self.next_startup(buffer);
        }
        loop {
            // Checked before the length is received, so that input of another protocol is rejected immediately.
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
            TERMINATE => Ok(Some(FrontendMessage::Terminate)),
            SYNC => {
                self.is_skipping = false;
                Ok(Some(FrontendMessage::Sync))
            }
            _ if self.is_skipping => Ok(None),
            QUERY => query_text(body).map(|text| Some(FrontendMessage::Query(text))),
            // No response: the gateway never requests a password or copied data.
            PASSWORD | COPY_DATA | COPY_DONE | COPY_FAIL => Ok(None),
            _ => {
                self.is_skipping = true;
                Ok(Some(FrontendMessage::ExtendedQuery))
            }
        }
    }

    fn next_startup(&mut self, buffer: &mut BytesMut) -> Result<Option<FrontendMessage>, ParseError> {
        let Some(length) = buffer.first_chunk::<LENGTH_FIELD_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if !STARTUP_LENGTHS.contains(&length) {
            return Err(ParseError::Length(length));
        }
        if buffer.len() < length {
            return Ok(None);
        }
        let mut packet = buffer.split_to(length);
        packet.advance(LENGTH_FIELD_BYTES);
        match packet.get_u32() {
            SSL_REQUEST | GSS_REQUEST if packet.is_empty() => Ok(Some(FrontendMessage::EncryptionRequest)),
            CANCEL_REQUEST => Ok(Some(FrontendMessage::CancelRequest)),
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
        // The client receives this text.
        _ => Err(ParseError::Malformed("a query ends with its only zero byte")),
    }
}
