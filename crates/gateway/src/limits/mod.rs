//! Time limits and bounds of the gateway, and the rules that follow from them. Drivers take limits from
//! here and from the settings (connect, idle and vote timeouts).
//!
//! Constants are [`Duration`]s, except backoffs, which are in ms; [`millis`](crate::clock::millis) converts them where the policy needs milliseconds.
//!
//! - [`clients`]: how long a client may take, and which connection is evicted.
//! - [`shutdown`]: what happens when after SIGTERM.
//! - [`start`]: descriptors, binding, and the first health check of the load balancer.
//! - [`upstream`]: connections to endpoints and the answers read from them.
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

/// Events that wait for the event loop; a driver with another event waits.
pub const MAX_PENDING_EVENTS: usize = 4096;
/// Votes that wait for the result of the one before them.
pub const MAX_PENDING_VOTES: usize = 64;
/// Longest time to open a connection to the discovery service or the platform.
pub const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of one read from a socket. Bounds how long one connection occupies the thread.
pub const MAX_READ_BYTES: usize = 16 * 1024;
/// Most buffers of one write to a socket.
pub const MAX_BUFFERS_PER_WRITE: usize = 8;
/// Of the log lines that peers can cause at will, one in this many is logged at `info` or above.
pub const LOG_SAMPLING: u64 = 100;
