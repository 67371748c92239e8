//! Limits of client connections, in time and size. None of them decides a request's way.

use latchhaven_policy::Millis;
use std::time::Duration;

/// Bytes that are read behind a pending request, to see its client go away. A message may be longer than that on
/// [`MAX_LARGE_MESSAGES`] connections at once.
pub(super) const MAX_READ_AHEAD: usize = 16 * 1024;
/// Connections that may read a longer message at once: all together fit a small memory.
pub(super) const MAX_LARGE_MESSAGES: usize = 24;
/// A client gets so long to take an answer.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A client gets so long to finish a message that it has begun to write.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection on which no request was taken by then ends: 3 s are allowed from its beginning.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// A client that requests nothing for so long is closed.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(2050);
/// For want of room the connections that have idled longest are closed after this.
pub(super) const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);
/// One that has never requested anything makes room after this: usual clients send a request as soon as they are there.
pub(super) const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Queries that cannot be taken, until the connection ends with them.
pub(super) const MAX_BAD_QUERIES: u32 = 8;
/// Clients above the limit that are told that there are too many; while there are more, none is accepted.
pub(super) const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Of log lines that peers can bring about at will, one of so many is logged at `info` or above.
pub(super) const LOG_SAMPLING: u64 = 100;
/// When no connection can be accepted for want of descriptors, the next try is after this.
pub(super) const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A connection that is closed after an answer or an error is held so long for its client to read it: an answer is under
/// way for some ms.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are read behind an error meanwhile: 64 KiB in hex and a little more fit.
pub(super) const MAX_LINGER_BYTES: usize = 256 * 1024;
/// How often it is checked whether a client has gone away behind bytes that are not read: well within the 0.3 s after
/// which nothing may be sent on for it.
pub(super) const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// ms from which the writing of an answer counts as slow: what comes meanwhile is not read before its end.
pub(super) const SLOW_WRITE: Millis = 20.0;

/// During shutdown a client that has not requested anything yet gets so long: the load balancer in front hands
/// connections out for 0.4 s, and what is requested later than 0.7 s after SIGTERM may not be answered in time.
pub(super) const SHUTDOWN_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// During shutdown a client that pipelines queries gets so long after its last answer: several times what a query is
/// under way within a site.
pub(super) const SHUTDOWN_QUIET_PERIOD: Duration = Duration::from_millis(10);
/// ms after SIGTERM from which a request that comes is rejected at once: one that came later than 0.7 s after it counts
/// as lost where SIGKILL finds it unanswered.
pub(super) const SHUTDOWN_REQUEST_WINDOW: Millis = 600.0;
/// SIGKILL comes no sooner than the longest timeout of a class and 700 ms after SIGTERM; of the longest timeout this
/// counts at most.
pub(super) const MAX_COUNTED_TIMEOUT: Millis = 3000.0;
/// ms of those 700: the other 250 ms are kept to abandon what others wait behind, and to answer them.
pub(super) const SHUTDOWN_MARGIN: Millis = 450.0;
/// Of the kept time so much goes to answering: a connection closes in the first moment in which nothing on it is
/// unanswered.
pub(super) const SHUTDOWN_ANSWER_TIME: Duration = Duration::from_millis(200);
