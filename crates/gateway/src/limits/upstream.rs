//! Limits of connections to endpoints and of the responses that are read from them.

use super::messages::{MAX_SMALL_MESSAGE_BYTES, MAX_VALUE_BYTES};
use crate::clock::{MS_PER_SECOND, duration};
use latchhaven_policy::Millis;
use std::time::Duration;

/// Maximum time from the end of a response until the endpoint reports that it is ready for the next query.
pub const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a response for which its connection carries no further call. An endpoint may send a duplicate of the
/// response some milliseconds late, which would be read as the response to the next query.
pub const SETTLE_TIME: Duration = Duration::from_millis(20);
/// [`SETTLE_TIME`] of connections with a round trip below [`SHORT_ROUND_TRIP`]: a duplicate is under way as the next
/// query is written only if it was sent less than a round trip before.
pub const SHORT_SETTLE_TIME: Duration = Duration::from_millis(5);
/// Time of the startup of a connection below which [`SHORT_SETTLE_TIME`] applies.
pub const SHORT_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Time after unsolicited bytes of an endpoint for which [`SETTLE_TIME`] applies to all connections.
pub const UNSOLICITED_PERIOD: Duration = Duration::from_secs(60);
/// A response above this size needs a permit, which is released when the response was written to the client. Valid
/// responses are smaller.
pub const LARGE_RESPONSE_BYTES: usize = MAX_VALUE_BYTES + MAX_SMALL_MESSAGE_BYTES;
/// Maximum number of responses above [`LARGE_RESPONSE_BYTES`] that are buffered at the same time. Bounds memory.
pub const MAX_LARGE_RESPONSES: usize = 12;

/// Fraction of the endpoint's idle timeout after which an idle connection is no longer reused.
const IDLE_TIMEOUT_REUSE_FRACTION: f64 = 0.8;

/// Returns the time after a response for which its connection carries no further call. `round_trip`: time of the startup
/// of the connection. `since_unsolicited`: time since an endpoint last sent unsolicited bytes; `None` if none did.
#[must_use]
pub fn settle_time(round_trip: Duration, since_unsolicited: Option<Duration>) -> Duration {
    let has_recent = since_unsolicited.is_some_and(|since| since < UNSOLICITED_PERIOD);
    if has_recent || round_trip >= SHORT_ROUND_TRIP { SETTLE_TIME } else { SHORT_SETTLE_TIME }
}

/// Returns the maximum idle time after which a connection is still reused. `idle_timeout` is the idle time after which
/// the endpoint closes a connection.
#[must_use]
pub fn max_idle_for_reuse(idle_timeout: Millis) -> Duration {
    duration(idle_timeout * IDLE_TIMEOUT_REUSE_FRACTION)
}

/// Returns the idle time after which the gateway closes a connection: midway between [`max_idle_for_reuse`] and
/// `idle_timeout`, after which the endpoint closes it.
#[must_use]
pub fn idle_close_after(idle_timeout: Millis) -> Duration {
    Duration::from_secs_f64(idle_timeout * (1.0 + IDLE_TIMEOUT_REUSE_FRACTION) / (2.0 * MS_PER_SECOND))
}

/// Returns when the gateway stops waiting for the response to an attempt that starts at `now`: after the attempt's
/// `timeout`, but not after `request_deadline`.
#[must_use]
pub fn attempt_deadline(now: Millis, timeout: Option<Millis>, request_deadline: Millis) -> Millis {
    timeout.map_or(request_deadline, |timeout| (now + timeout).min(request_deadline))
}
