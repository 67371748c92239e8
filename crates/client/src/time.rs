//! Timestamps, and the unit of all times and durations.

use std::time::Duration;

pub use latchhaven_backoff::Millis;

pub(crate) const MILLIS_PER_SECOND: Millis = 1_000.0;

pub(crate) fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// A point in time on two clocks. Neither is reliable alone: the monotonic clock may stop while the machine is
/// suspended, and the wall clock may be set. The caller reads both at the same moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timestamp {
    /// The time on the monotonic clock, from any fixed origin that all timestamps of a process share.
    pub monotonic: Millis,
    /// The time on the wall clock, since the Unix epoch.
    pub wall: Millis,
}

impl Timestamp {
    /// The time since an earlier timestamp, by the clock on which more time has passed; 0 if both clocks were set back.
    #[must_use]
    pub fn since(&self, earlier: &Timestamp) -> Millis {
        (self.monotonic - earlier.monotonic).max(self.wall - earlier.wall).max(0.0)
    }
}
