//! Timeouts and limits of the gateway, and the rules that follow from them. Drivers take them from here, except for the
//! connect, idle and vote timeouts, which are in the settings.
//!
//! Times are [`Duration`]s, except for backoffs, which are in milliseconds. [`millis`](crate::clock::millis) converts a
//! duration to the policy's milliseconds.
//!
//! - [`clients`]: timeouts of clients, and the choice of the connection to evict.
//! - [`shutdown`]: the schedule after SIGTERM.
//! - [`start`]: file descriptors, binding of the listener, and the first health check of the load balancer.
//! - [`upstream`]: connections to endpoints and the responses that are read from them.
//! - [`discovery`], [`platform`]: calls to these services.
//! - [`messages`]: sizes of protocol messages.

pub mod clients;
pub mod discovery;
pub mod messages;
pub mod platform;
pub mod shutdown;
pub mod start;
pub mod upstream;

use std::time::Duration;

/// Capacity of the event loop's queue. A driver with another event waits until the queue has space.
pub const MAX_PENDING_EVENTS: usize = 4096;
/// Capacity of the queue of votes. Votes are cast one after the other.
pub const MAX_PENDING_VOTES: usize = 64;
/// Maximum time to open a connection to the discovery service or the platform.
pub const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes of one read from a socket. Bounds how long one connection occupies the thread.
pub const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum number of buffers in one vectored write to a socket.
pub const MAX_BUFFERS_PER_WRITE: usize = 8;
/// One of this many log lines that peers can cause in any number is logged at `info` or above.
pub const LOG_SAMPLING: u64 = 100;
