//! Limits of client connections: timeouts, buffer sizes, and the rule that selects the connection to evict when there
//! are too many.

use super::messages::MAX_CLIENT_MESSAGE_BYTES;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of bytes that are read ahead while a request is pending. Reading ahead detects that the client
/// disconnects. A longer message is read to its end only once memory is reserved for it.
pub const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Unit in which memory for large messages is reserved.
pub const MEMORY_UNIT_BYTES: usize = 1024;
/// Messages above [`MAX_READ_AHEAD_BYTES`] may occupy this part of the memory limit until their requests have a response:
/// one in so many bytes.
const LARGE_MESSAGE_MEMORY_DIVISOR: usize = 2;
/// Memory in bytes that is left to the process: its program, the endpoint list and the policy.
const PROCESS_MEMORY_BYTES: usize = 8 * 1024 * 1024;
/// Minimum number of messages of maximum length that may be read at the same time, whatever the memory limit is.
const MIN_LARGE_MESSAGES: usize = 24;
/// Maximum time for which a client reserves memory for a large message while others wait for memory. A message of maximum
/// length needs some tens of milliseconds to arrive over a link of 3 ms.
pub const LARGE_MESSAGE_TIME: Duration = Duration::from_millis(100);
/// Maximum time for which a client waits for memory for a large message, which may be complete by then. Below the half
/// second after its deadline in which a request still has to get a final response.
pub const LARGE_MESSAGE_WAIT: Duration = Duration::from_millis(400);
/// Maximum time to write a response to a client.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time from the first to the last byte of a message of a client that has sent a request before. For other
/// clients [`FIRST_REQUEST_TIMEOUT`] applies.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time from the accept of a connection until its first valid query was read. Empty queries do not count.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// A connection is closed when it had no request for this long.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2050);
/// Minimum time without a request after which a connection can be evicted.
pub const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// Minimum time after which a connection that has never sent a request can be evicted. Short, because clients usually
/// send a request immediately.
pub const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Maximum time for which the id of a request stays in use after its client has disconnected. Bounds memory.
pub const MAX_ID_RETENTION: Duration = Duration::from_secs(3);
/// Maximum number of messages of one client that are handled before other tasks have a turn.
pub const MAX_MESSAGES_PER_TURN: u32 = 32;
/// Maximum number of connections that are accepted before other tasks have a turn.
pub const MAX_ACCEPTS_PER_TURN: u64 = 16;
/// Size of the responses to one client at which they are written although more of its messages were read.
pub const MAX_OUTPUT_BYTES: usize = 16 * 1024;
/// Number of invalid queries after which a connection is closed.
pub const MAX_INVALID_QUERIES: u32 = 8;
/// Maximum number of connections above the connection limit that are open at the same time. Each is accepted only to
/// send an error that rejects it.
pub const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Interval at which accepts are retried after an error of the process, such as a lack of file descriptors.
pub const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Number of accept errors after which the gateway stops accepting queued connections during a shutdown. An accept is
/// retried without a delay, because the error may concern a single connection.
pub const MAX_FINAL_ACCEPT_FAILURES: usize = 1000;
/// Maximum time for which a connection stays open after the last message to its client, so that the client can read
/// that message.
pub const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes that are read and discarded from a rejected client within [`LINGER_TIMEOUT`]. A query with
/// the longest value fits.
pub const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Interval at which the gateway checks whether a client has disconnected, in phases in which the gateway does not
/// read from that client.
pub const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The gateway does not read from a client while it writes to the client. Input that is found after a write that took
/// longer than this is treated as if it had arrived at the start of the write, so that no deadline is too late.
pub const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(20);

/// Returns the memory in bytes for large messages and the requests that they contain, for a process with this memory
/// limit in bytes and this limit of client connections, each of which may have a read-ahead beside.
#[must_use]
pub fn large_message_memory(memory_limit: usize, max_sessions: usize) -> usize {
    let other = PROCESS_MEMORY_BYTES + max_sessions * MAX_READ_AHEAD_BYTES;
    (memory_limit / LARGE_MESSAGE_MEMORY_DIVISOR)
        .min(memory_limit.saturating_sub(other))
        .max(MIN_LARGE_MESSAGES * MAX_CLIENT_MESSAGE_BYTES)
}

/// State of a client connection, by which the eviction rule orders connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionState {
    /// The client has not sent a request yet.
    New,
    /// A request is pending.
    Busy,
    /// Each request has its final response.
    Idle,
    /// The connection was evicted and is about to close.
    Evicted,
    /// The last message to the client was written. The connection stays open for up to [`LINGER_TIMEOUT`].
    Closing,
}

impl SessionState {
    /// Returns `true` if the connection is about to close and does not count against the connection limit.
    #[must_use]
    pub fn is_about_to_close(self) -> bool {
        matches!(self, SessionState::Evicted | SessionState::Closing)
    }
}

/// The progress of a connection's input, from which its read deadline follows.
#[derive(Clone, Copy, Debug)]
pub struct InputProgress {
    /// When the last request received its final response, or when the connection was accepted if there was no request.
    pub last_activity: Instant,
    /// Set when the client has sent a valid request.
    pub has_requested: bool,
    /// When the first byte of an incomplete message arrived. `None` if no message is incomplete.
    pub message_began: Option<Instant>,
}

impl InputProgress {
    /// The instant at which the connection is closed unless more input has arrived.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        if !self.has_requested {
            return self.last_activity + FIRST_REQUEST_TIMEOUT;
        }
        match self.message_began {
            Some(message_began) => message_began + MESSAGE_TIMEOUT,
            None => self.last_activity + IDLE_TIMEOUT,
        }
    }

    /// Returns `true` if the client is between two requests. Its connection is then closed at the deadline without an
    /// error.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.has_requested && self.message_began.is_none()
    }
}

/// Input of the eviction rule for one connection.
#[derive(Clone, Copy, Debug)]
pub struct EvictionCandidate {
    /// Identifies the connection among the candidates.
    pub id: u64,
    /// Only [`New`](SessionState::New), [`Idle`](SessionState::Idle) and [`Closing`](SessionState::Closing) connections
    /// can be evicted.
    pub state: SessionState,
    /// When the last request received its final response, or when the connection was accepted if there was no request.
    pub last_activity: Instant,
}

/// Selects the connection to evict: a closing one first, then one that has never sent a request for at least
/// [`MIN_SILENCE_BEFORE_EVICTION`], then one that was idle for at least [`MIN_IDLE_BEFORE_EVICTION`]. Among connections
/// in the same state, selects the one with the earliest [`last_activity`](EvictionCandidate::last_activity). `None` if
/// no connection qualifies.
pub fn choose_eviction(
    candidates: &(impl Iterator<Item = EvictionCandidate> + Clone), now: Instant,
) -> Option<EvictionCandidate> {
    let longest_in = |state: SessionState, min_duration: Duration| {
        let is_eligible = |candidate: &EvictionCandidate| {
            candidate.state == state && now.saturating_duration_since(candidate.last_activity) >= min_duration
        };
        candidates.clone().filter(is_eligible).min_by_key(|candidate| candidate.last_activity)
    };
    longest_in(SessionState::Closing, Duration::ZERO)
        .or_else(|| longest_in(SessionState::New, MIN_SILENCE_BEFORE_EVICTION))
        .or_else(|| longest_in(SessionState::Idle, MIN_IDLE_BEFORE_EVICTION))
}
