//! Time limits after SIGTERM. SIGKILL follows no sooner than the longest timeout of a class, of which
//! [`MAX_COUNTED_TIMEOUT`] counts at most, plus 700 ms: [`DRAIN_GRACE_PERIOD`] to complete pending requests, [`QUEUED_REQUESTS_TIMEOUT`] to answer
//! those queued behind abandoned ones, and the rest to exit.

use crate::clock::{duration, millis};
use latchhaven_policy::Millis;
use std::time::Duration;
use tokio::time::Instant;

/// Connections are accepted for this long: the load balancer in front may hand some out for 400 ms.
pub const ACCEPT_TIME: Duration = Duration::from_millis(550);
/// Interval of checks whether the last connection has closed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A connection that has not sent a request yet is closed after this.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection with pipelined queries is closed after this long without input: another query may be on its way.
pub const PIPELINE_IDLE_TIMEOUT: Duration = Duration::from_millis(10);
/// A request that arrives later than this is rejected immediately: SIGKILL might leave it without an answer.
pub const REQUEST_WINDOW: Duration = Duration::from_millis(600);
/// The longest class timeout that extends the time before SIGKILL.
pub const MAX_COUNTED_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of the 700 ms in which pending requests may still complete.
pub const DRAIN_GRACE_PERIOD: Duration = Duration::from_millis(450);
/// After the drain time: how long the requests that were queued behind abandoned ones may take to be answered.
pub const QUEUED_REQUESTS_TIMEOUT: Duration = Duration::from_millis(200);

/// What happens when after the start of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// From SIGTERM until pending requests are abandoned.
    drain_time: Duration,
}

impl ShutdownSchedule {
    /// A schedule for classes whose longest timeout is `longest_timeout` ms.
    #[must_use]
    pub fn new(longest_timeout: Millis) -> Self {
        let drain_ms = longest_timeout.min(millis(MAX_COUNTED_TIMEOUT)) + millis(DRAIN_GRACE_PERIOD);
        ShutdownSchedule { drain_time: duration(drain_ms) }
    }

    /// Pending requests are abandoned after this if others are queued behind them on their connection.
    #[must_use]
    pub fn abandon_after(&self) -> Duration {
        self.drain_time
    }

    /// Connections are closed after this whatever input arrives.
    #[must_use]
    pub fn close_after(&self) -> Duration {
        self.drain_time + QUEUED_REQUESTS_TIMEOUT
    }

    /// A request that arrived at `arrived_at` is rejected: it arrived after [`REQUEST_WINDOW`], or its turn is after the
    /// drain time. `began_at`: when the shutdown began; both in ms of one
    /// clock. `elapsed`: the time since then.
    #[must_use]
    pub fn rejects_request(&self, arrived_at: Millis, began_at: Millis, elapsed: Duration) -> bool {
        arrived_at >= began_at + millis(REQUEST_WINDOW) || elapsed >= self.drain_time
    }
}

/// When a connection that waits for input is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseTime {
    /// Immediately.
    Now,
    /// At this time.
    At(Instant),
    /// Not before its state changes.
    Undecided,
}

/// What the close time of a waiting connection depends on.
#[derive(Clone, Copy, Debug)]
pub struct WaitingConnection {
    /// It was evicted.
    pub is_evicted: bool,
    /// It has sent a valid request.
    pub has_requested: bool,
    /// Part of a message has arrived.
    pub has_partial_message: bool,
    /// The client sends queries before earlier ones are answered.
    pub is_pipelined: bool,
    /// When it was accepted, or when its last request was answered.
    pub idle_since: Instant,
    /// When the wait began.
    pub waiting_since: Instant,
}

impl WaitingConnection {
    /// When it is closed. `shutdown_began`: none while the gateway is not shutting down.
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
            return CloseTime::At(shutdown_began.max(self.idle_since) + FIRST_REQUEST_TIMEOUT);
        }
        if self.is_pipelined {
            return CloseTime::At(self.waiting_since + PIPELINE_IDLE_TIMEOUT);
        }
        CloseTime::Now
    }
}
