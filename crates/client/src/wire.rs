//! The client side of the protocol: PostgreSQL's, version 3, one simple query at a time. Pure: a parser that is fed
//! bytes, without sockets and clocks.
//!
//! - [`query`]: the bytes of a query and of the startup message.
//! - [`answer`]: reads answers.

pub mod answer;
pub mod query;

pub use answer::{Answer, AnswerReader, MalformedMessage, ProtocolError};
pub use query::{Query, startup_message};
