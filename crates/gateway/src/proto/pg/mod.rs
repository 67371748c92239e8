//! PostgreSQL's protocol, version 3, both sides, as far as simple queries go. State machines that are fed bytes; they
//! know no socket and no clock.
//!
//! - [`frontend`]: what clients write.
//! - [`backend`]: what endpoints write.
//! - [`statement`]: the statements that are routed, and the comment that says how.
//! - [`encode`]: messages that are written.
//! - `framing`: single messages and their lengths.

pub mod backend;
pub mod encode;
mod framing;
pub mod frontend;
pub mod load_report;
pub mod sqlstate;
pub mod statement;

pub use backend::{Backend, BackendMessage};
pub use framing::message_length;
pub use frontend::{Frontend, FrontendMessage};
pub use load_report::{parse_load_report, row_text};
pub use statement::{Statement, StatementError};

/// Why a stream is out of step: nothing after this can be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseError {
    /// A message cannot have this length.
    #[error("length {0} of a message is out of bounds")]
    Length(usize),
    /// There is no message of this type.
    #[error("message type {0:#04x} is unknown here")]
    Type(u8),
    /// A client asks for this version of the protocol.
    #[error("version {0} of the protocol is unknown")]
    Version(u32),
    /// A message is not as the protocol has it, or comes where it may not.
    #[error("a message is malformed: {0}")]
    Malformed(&'static str),
}
