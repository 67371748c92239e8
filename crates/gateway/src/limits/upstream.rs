//! Limits of connections to endpoints and of the answers read from them.

use crate::clock::{MS_PER_SECOND, duration};
use latchhaven_policy::Millis;
use std::time::Duration;

/// Longest time from an answer until the endpoint reports that it is ready for the next query.
pub const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer above this many bytes needs a permit, which is released when the answer was written to the client.
pub const LARGE_RESPONSE_BYTES: usize = 64 * 1024;
/// Most answers above [`LARGE_RESPONSE_BYTES`] that are buffered at a time. Bounds memory.
pub const MAX_LARGE_RESPONSES: usize = 12;

/// Part of the endpoint's idle timeout after which a connection is not reused.
const REUSE_FRACTION: f64 = 0.8;

/// The longest time for which an idle connection is reused. `idle_timeout`: ms after which the endpoint closes it.
#[must_use]
pub fn max_idle_for_reuse(idle_timeout: Millis) -> Duration {
    duration(idle_timeout * REUSE_FRACTION)
}

/// An idle connection is closed after this: midway between [`max_idle_for_reuse`] and `idle_timeout` in ms, after which the
/// endpoint closes it.
#[must_use]
pub fn idle_close_after(idle_timeout: Millis) -> Duration {
    Duration::from_secs_f64(idle_timeout * (1.0 + REUSE_FRACTION) / (2.0 * MS_PER_SECOND))
}

/// When the gateway stops waiting for an attempt's answer. All times in ms: `timeout` is that of the attempt,
/// `request_deadline` that of the request.
#[must_use]
pub fn attempt_deadline(now: Millis, timeout: Option<Millis>, request_deadline: Millis) -> Millis {
    timeout.map_or(request_deadline, |timeout| (now + timeout).min(request_deadline))
}
