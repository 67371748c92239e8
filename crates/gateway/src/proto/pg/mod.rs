//! The Postgres protocol, version 3, limited to simple queries: parsers for messages of clients (frontends) and of
//! endpoints (backends), and encoders for both.
//!
//! After each call of a parser's `next`: with `Ok(Some(_))`, handle the message and call `next` again before reading
//! from the socket; with `Ok(None)`, append more input to the buffer and call again; with `Err(_)`, close the
//! connection, because the boundary of the next message is unknown.
//!
//! - [`frontend`]: messages of clients.
//! - [`backend`]: messages of endpoints.
//! - [`statement`]: the supported statements, and the comment with the parameters of the request.
//! - [`packed_value`]: values of pending statements, in less memory than their text.
//! - [`encode`]: messages that the gateway writes.
//! - [`load_report`]: load reports of endpoints.
//! - [`sqlstate`]: error codes.
//! - [`error`], [`framing`]: parse errors, and splitting the input into messages.

pub mod backend;
pub mod encode;
pub mod error;
pub mod framing;
pub mod frontend;
pub mod load_report;
pub mod packed_value;
pub mod sqlstate;
pub mod statement;

pub use backend::{BackendMessage, BackendParser};
pub use error::ParseError;
pub use framing::message_length;
pub use frontend::{FrontendMessage, FrontendParser};
pub use load_report::{parse_load_report, row_text};
pub use statement::{Statement, StatementError};
