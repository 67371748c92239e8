//! Why a stream of messages cannot be parsed.

/// The stream is out of step: nothing after this can be parsed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// A message of this type cannot have this length.
    #[error("length {0} of a message is out of bounds")]
    Length(usize),
    /// There is no message of this type.
    #[error("message type {0:#04x} is unknown here")]
    Type(u8),
    /// A client requests this version of the protocol.
    #[error("version {0} of the protocol is unknown")]
    Version(u32),
    /// A message violates the protocol, or is not valid at this point.
    #[error("a message is malformed: {0}")]
    Malformed(&'static str),
}
