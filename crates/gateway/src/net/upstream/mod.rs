//! Connections to endpoints. Each connection has a task of its own and carries one call at a time.
//!
//! - [`call`]: calls (attempts and health checks) and their results.
//! - [`pool`]: all connections, and the calls assigned to them.
//! - `endpoint`: an endpoint, its idle connections, and the calls that are queued for one.
//! - [`connection`]: the state of a connection, shared by the pool and the connection's task.
//! - `connection_task`: opens a connection and carries its calls.
//! - `exchange`: one query and its response.
//! - `unsolicited`: bytes that belong to no query, and how long connections settle.

pub mod call;
pub mod connection;
mod connection_task;
mod endpoint;
mod exchange;
pub mod pool;
mod unsolicited;

pub use call::{CallResult, CancelResult, UpstreamCall};
pub use connection::UpstreamConnection;
pub use pool::{QueuedCall, UpstreamPool};
