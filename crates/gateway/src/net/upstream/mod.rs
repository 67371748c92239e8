//! Connections to endpoints. Each connection has a task of its own and carries one call at a time.
//!
//! - [`call`]: calls (attempts and health checks) and their results.
//! - [`pool`]: the endpoints, their idle connections, and the calls that are queued for a connection.
//! - [`connection`]: the state of a connection, shared by the pool and the connection's task.
//! - `connection_task`: opens a connection and carries its calls.
//! - `exchange`: one query and its response.

pub mod call;
pub mod connection;
mod connection_task;
mod exchange;
pub mod pool;

pub use call::{CallResult, CancelResult, UpstreamCall};
pub use connection::UpstreamConnection;
pub use pool::{QueuedCall, UpstreamPool};
