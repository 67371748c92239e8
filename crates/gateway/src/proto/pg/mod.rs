//! Postgres' protocol, version 3, both sides, for simple queries. State machines that are fed bytes, without sockets
//! or clocks.
//!
//! - [`frontend`]: messages of clients.
//! - [`backend`]: messages of endpoints.
//! - [`statement`]: the statements that are routed, and the comment with their parameters.
//! - [`encode`]: messages that the gateway writes.
//! - [`error`], [`framing`]: parse errors, and single messages with their lengths.

pub mod backend;
pub mod encode;
pub mod error;
pub mod framing;
pub mod frontend;
pub mod load_report;
pub mod sqlstate;
pub mod statement;

pub use backend::{BackendMessage, BackendParser};
pub use error::ParseError;
pub use framing::message_length;
pub use frontend::{FrontendMessage, FrontendParser};
pub use load_report::{parse_load_report, row_text};
pub use statement::{Statement, StatementError};
