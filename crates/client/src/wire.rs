//! The client side of the `PostgreSQL` protocol, version 3, one simple query at a time. Pure: the parser reads
//! bytes that the caller supplies, without sockets and clocks.
//!
//! - [`query`]: the bytes of a query and of the startup message.
//! - [`answer`]: reads answers.

pub mod answer;
pub mod query;

pub use answer::{Answer, AnswerReader, MalformedMessage, ProtocolError};
pub use query::{Query, startup_message};
