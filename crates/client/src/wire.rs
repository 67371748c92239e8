//! The client side of the `PostgreSQL` protocol, version 3, one simple query at a time. Pure: the parser reads
//! bytes that the caller supplies, without sockets and clocks.
//!
//! - [`query`]: the bytes of a query and of the startup message.
//! - [`response`]: reads responses.

pub mod query;
pub mod response;

pub use query::{Query, startup_message};
pub use response::{MalformedMessage, ProtocolError, Response, ResponseReader};
