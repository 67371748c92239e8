//! Points in time and spans.

pub use latchhaven_backoff::Millis;

/// A point in time on two clocks. The monotonic clock of a process stops while the process is suspended, and the wall
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
    #[must_use]
    pub fn since(&self, earlier: &Timestamp) -> Millis {
        (self.monotonic - earlier.monotonic).max(self.wall - earlier.wall).max(0.0)
    }
}
