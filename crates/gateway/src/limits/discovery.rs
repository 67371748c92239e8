//! Limits of calls to the discovery service.

use crate::clock::millis;
use latchhaven_policy::Millis;
use std::time::Duration;

/// A watch without a keepalive or update for this long has failed. Keepalives are due every [`KEEPALIVE_INTERVAL`].
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Longest interval at which the discovery service sends keepalives.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time of a fetch, and from opening a watch to its response head; then [`WATCH_SILENCE_TIMEOUT`] applies, at first
/// also counted from the opening. The discovery service itself times out after 2 s.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How long in ms the service has been silent when a watch ends; 0 where no keepalive was missed. `silence`: the time
/// since the last keepalive or update. `has_delivered`: there has been one.
#[must_use]
pub fn silence_after_missed_keepalive(has_delivered: bool, silence: Duration) -> Millis {
    let is_silent = has_delivered && silence > KEEPALIVE_INTERVAL;
    if is_silent { millis(silence) } else { 0.0 }
}
