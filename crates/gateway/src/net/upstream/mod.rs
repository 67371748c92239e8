//! Connections to endpoints: one task each, one call at a time on each.
//!
//! - [`call`]: calls and their results.
//! - [`pool`]: the endpoints, their idle connections, and the calls that wait for one.
//! - [`connection`]: the state of a connection, shared by the pool and the connection's task.
//! - `connection_task`: opens a connection and carries its calls.
//! - `exchange`: one query and its answer.

pub mod call;
pub mod connection;
mod connection_task;
mod exchange;
pub mod pool;

pub use call::{CallResult, CancelResult, UpstreamCall};
pub use connection::UpstreamConnection;
pub use pool::{QueuedCall, UpstreamPool};
