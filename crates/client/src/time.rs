//! Points in time and spans.

use std::time::Duration;

/// A span, or a monotonic time, in milliseconds with fractions.
pub type Millis = f64;

/// The longest span that is waited for: a day, in ms.
const MAX_WAIT: Millis = 86_400_000.0;

/// A point in time on two clocks. The monotonic clock of a process stands still while it is suspended, and the wall
/// clock may be set: a span is the longer one of both.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timestamp {
    /// The monotonic clock, in ms.
    pub monotonic: Millis,
    /// The wall clock, in Unix ms.
    pub wall: Millis,
}

impl Timestamp {
    /// The time in ms since an earlier point, by the clock on which more passed; never negative.
    pub fn since(&self, earlier: &Timestamp) -> Millis {
        (self.monotonic - earlier.monotonic).max(self.wall - earlier.wall).max(0.0)
    }
}

/// A span to wait, clamped to `0..=MAX_WAIT`.
pub(crate) fn to_duration(span: Millis) -> Duration {
    Duration::from_secs_f64(span.clamp(0.0, MAX_WAIT) / 1000.0)
}
