//! The client side of the `PostgreSQL` protocol, version 3, limited to one simple query at a time. Performs no I/O: the
//! caller writes the encoded messages to a connection, and passes the bytes that it receives to the parser.
//!
//! - [`query`]: encodes queries and the startup message.
//! - [`response`]: parses responses.

pub mod query;
pub mod response;

pub use query::{Query, startup_message};
pub use response::{MalformedMessage, ProtocolError, Response, ResponseReader};
