//! Limits of calls to the discovery service.

use crate::clock::millis;
use latchhaven_policy::Millis;
use std::time::Duration;

/// A watch has failed when it delivered neither a keepalive nor an update for this long. Keepalives are due every
/// [`KEEPALIVE_INTERVAL`].
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Maximum interval at which the discovery service sends keepalives.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time of a fetch, and from the opening of a watch until the head of its response. Once the head was received,
/// [`WATCH_SILENCE_TIMEOUT`] applies; until the first keepalive or update, it is counted from the opening as well. The
/// discovery service itself times out after 2 s.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns how long the discovery service was silent before a watch closed, if a keepalive was missed, and 0 otherwise.
/// `silence` is the time since the last keepalive or update; `has_delivered` is set if there was one.
#[must_use]
pub fn silence_after_missed_keepalive(has_delivered: bool, silence: Duration) -> Millis {
    let is_silent = has_delivered && silence > KEEPALIVE_INTERVAL;
    if is_silent { millis(silence) } else { 0.0 }
}
