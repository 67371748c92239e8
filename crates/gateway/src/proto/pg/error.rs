//! Protocol violations in a stream of messages.

/// A protocol violation. The boundary of the next message is unknown, so the connection has to be closed.
///
/// Clients receive the text of errors in their own messages.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// The length field of a message, in bytes, is outside of the limits of the message's type.
    #[error("length {0} of a message is out of bounds")]
    Length(usize),
    /// The peer may not send a message with this type byte in the current state.
    #[error("message type {0:#04x} is unknown here")]
    Type(u8),
    /// The client requests an unsupported protocol version: the major version in the upper 16 bits, the minor version
    /// in the lower 16.
    #[error("version {0} of the protocol is unknown")]
    Version(u32),
    /// The content of a message is invalid, or its type is valid only in another state.
    #[error("a message is malformed: {0}")]
    Malformed(&'static str),
}
