//! Limits of client connections: how long a client may take, how much is buffered for it, and which connection is
//! evicted when there are too many.

use std::time::Duration;
use tokio::time::Instant;

/// Most bytes that are read while a request is pending, to detect that its client disconnects. A longer message needs
/// one of [`MAX_LARGE_MESSAGES`] permits.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Most connections that read a message above [`MAX_READ_AHEAD_BYTES`] at a time. Bounds memory.
pub const MAX_LARGE_MESSAGES: usize = 24;
/// Longest time to write an answer to a client.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time from the first to the last byte of a message, where the client has sent a request before.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time from the accept until the first valid query is read; empty queries do not count.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// A connection without a request for this long is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2050);
/// An idle connection can be evicted after this.
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// A connection that has never sent a request can be evicted after this: clients usually send one immediately.
pub const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Invalid queries after which a connection is closed.
pub const MAX_INVALID_QUERIES: u32 = 8;
/// Connections above the limit that are accepted in order to be rejected with an error.
pub const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Interval of accepts after an error of the process, such as a lack of descriptors.
pub const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Accept errors after which the final accepts during shutdown end. Each is retried without a pause, since it may concern a
/// single connection.
pub const MAX_FINAL_ACCEPT_FAILURES: usize = 1000;
/// After its last message a connection stays open for this long, so that the client can read that message.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Most bytes that are discarded from a rejected client in that time: a query of the longest value fits.
pub const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Interval of checks whether a client that is not read from has disconnected.
pub const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A write above this counts as slow: input that arrived during it is dated to its start.
pub const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(20);

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// It has not sent a request yet.
    New,
    /// A request is pending.
    Busy,
    /// All requests are answered.
    Idle,
    /// It was evicted and is about to close.
    Evicted,
    /// Its last message was written; the client may still read it.
    Closing,
}

impl SessionState {
    /// The connection is about to end and does not count against the limit.
    #[must_use]
    pub fn is_about_to_close(self) -> bool {
        matches!(self, SessionState::Evicted | SessionState::Closing)
    }
}

/// What the limits of a connection's input depend on.
#[derive(Clone, Copy, Debug)]
pub struct InputProgress {
    /// When the connection was accepted, or when its last request was answered.
    pub idle_since: Instant,
    /// It has sent a valid request.
    pub has_requested: bool,
    /// When the first byte of an incomplete message arrived.
    pub message_began: Option<Instant>,
}

impl InputProgress {
    /// When the wait for more input ends.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        if !self.has_requested {
            return self.idle_since + FIRST_REQUEST_TIMEOUT;
        }
        match self.message_began {
            Some(message_began) => message_began + MESSAGE_TIMEOUT,
            None => self.idle_since + IDLE_TIMEOUT,
        }
    }

    /// The client is between two requests: at the deadline its connection is closed without an error.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.has_requested && self.message_began.is_none()
    }
}

/// A connection as the eviction rule sees it.
#[derive(Clone, Copy, Debug)]
pub struct EvictionCandidate {
    /// The connection.
    pub id: u64,
    /// What it is doing.
    pub state: SessionState,
    /// When it was accepted, or when its last request was answered.
    pub idle_since: Instant,
}

/// The connection to evict, in this order: one that is closing, one that has never sent a request, one that is idle;
/// of each kind the one that has been so for longest. None: each is busy, or has been silent or idle for less than the
/// minimum.
pub fn choose_eviction(
    candidates: &(impl Iterator<Item = EvictionCandidate> + Clone), now: Instant,
) -> Option<EvictionCandidate> {
    let longest_in = |state: SessionState, min_duration: Duration| {
        let is_eligible = |candidate: &EvictionCandidate| {
            candidate.state == state && now.saturating_duration_since(candidate.idle_since) >= min_duration
        };
        candidates.clone().filter(is_eligible).min_by_key(|candidate| candidate.idle_since)
    };
    longest_in(SessionState::Closing, Duration::ZERO)
        .or_else(|| longest_in(SessionState::New, MIN_SILENCE_BEFORE_EVICTION))
        .or_else(|| longest_in(SessionState::Idle, MIN_IDLE_BEFORE_EVICTION))
}
