//! Timeouts after SIGTERM. The earliest SIGKILL follows after the longest timeout of a request class, limited to
//! [`MAX_COUNTED_CLASS_TIMEOUT`], plus 700 ms. Of these 700 ms, [`DRAIN_GRACE_PERIOD`] is for completing pending
//! requests, [`QUEUED_REQUESTS_TIMEOUT`] for the final responses to requests that are queued behind abandoned ones, and
//! the rest for exiting.

use crate::clock::{duration, millis};
use latchhaven_policy::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which connections are still accepted. The load balancer in front may assign new connections to this gateway
/// for another 400 ms.
pub const ACCEPT_TIME: Duration = Duration::from_millis(550);
/// Interval at which the gateway checks whether the last connection has closed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A connection without a request is closed after this time, counted from the start of the shutdown or, if later, from
/// its accept.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection with pipelined queries is closed after this time without input. The delay is needed because another
/// query may be on its way.
pub const PIPELINE_IDLE_TIMEOUT: Duration = Duration::from_millis(10);
/// A request that arrives later than this after the start of the shutdown is rejected immediately, because the process
/// might be killed before the final response.
pub const NEW_REQUEST_WINDOW: Duration = Duration::from_millis(600);
/// Upper bound of the class timeout that is added to the time before SIGKILL.
pub const MAX_COUNTED_CLASS_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after the longest class timeout in which pending requests may still complete.
pub const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(450);
/// Time after the drain time in which requests queued behind abandoned ones may still receive their final response.
pub const QUEUED_REQUESTS_TIMEOUT: Duration = Duration::from_millis(200);

/// When pending requests are abandoned and connections are closed, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From SIGTERM until pending requests are abandoned.
    drain_time: Duration,
}

impl ShutdownSchedule {
    /// Creates the schedule for request classes whose longest timeout is `longest_timeout`.
    #[must_use]
    pub fn new(longest_timeout: Millis) -> Self {
        let drain_ms = longest_timeout.min(millis(MAX_COUNTED_CLASS_TIMEOUT)) + millis(DRAIN_GRACE_PERIOD);
        ShutdownSchedule { drain_time: duration(drain_ms) }
    }

    /// The time from SIGTERM until a pending request is abandoned if other requests are queued on the same connection.
    #[must_use]
    pub fn abandon_after(&self) -> Duration {
        self.drain_time
    }

    /// The time from SIGTERM until all connections are closed, even if they still receive input.
    #[must_use]
    pub fn close_after(&self) -> Duration {
        self.drain_time + QUEUED_REQUESTS_TIMEOUT
    }

    /// Returns `true` if a request is rejected because it arrived after [`NEW_REQUEST_WINDOW`], or is processed only
    /// after the drain time. `arrived_at` is the arrival of the request and `began_at` the start of the shutdown, both
    /// on the gateway's clock. `elapsed` is the time from the start of the shutdown until now.
    #[must_use]
    pub fn rejects_request(&self, arrived_at: Millis, began_at: Millis, elapsed: Duration) -> bool {
        arrived_at >= began_at + millis(NEW_REQUEST_WINDOW) || elapsed >= self.drain_time
    }
}

/// When a connection that waits for input is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseTime {
    /// Immediately.
    Now,
    /// At this instant, unless input arrives before.
    At(Instant),
    /// Not determined until the state of the connection changes.
    Undecided,
}

/// The state of a connection that waits for input, from which its close time follows.
#[derive(Clone, Copy, Debug)]
pub struct WaitingConnection {
    /// Set when the gateway evicted the connection.
    pub is_evicted: bool,
    /// Set when the client has sent a valid request.
    pub has_requested: bool,
    /// Set when the first part of a message has arrived, but not the rest.
    pub has_partial_message: bool,
    /// Set when the client has sent a query before it received the response to an earlier one.
    pub is_pipelined: bool,
    /// When the last request received its final response, or when the connection was accepted if there was no request.
    pub last_activity: Instant,
    /// When the current wait for input began.
    pub waiting_since: Instant,
}

impl WaitingConnection {
    /// Determines when the connection is closed. `shutdown_began` is `None` unless the gateway is shutting down.
    #[must_use]
    pub fn close_time(&self, shutdown_began: Option<Instant>) -> CloseTime {
        if self.is_evicted {
            return CloseTime::Now;
        }
        let Some(shutdown_began) = shutdown_began else { return CloseTime::Undecided };
        if self.has_partial_message {
            return CloseTime::Undecided;
        }
        if !self.has_requested {
            return CloseTime::At(shutdown_began.max(self.last_activity) + FIRST_REQUEST_TIMEOUT);
        }
        if self.is_pipelined {
            return CloseTime::At(self.waiting_since + PIPELINE_IDLE_TIMEOUT);
        }
        CloseTime::Now
    }
}
