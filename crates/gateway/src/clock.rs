//! The gateway's clock, and the conversion between durations and the policy's milliseconds.

use latchhaven_policy::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// ms in a second.
pub const MS_PER_SECOND: Millis = 1000.0;
/// Microseconds in a ms.
pub const MICROS_PER_MS: f64 = 1000.0;

/// The duration of so many ms.
///
/// # Panics
/// Where they are negative or exceed the range of a [`Duration`].
#[must_use]
pub fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms / MS_PER_SECOND)
}

/// A duration in ms.
#[must_use]
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MS_PER_SECOND
}

/// Unix time in ms at the start, and monotonic from there. Unix time, because the endpoint list gives start times in it.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Millis,
    started_at: Instant,
}

impl Clock {
    /// A clock that is set to the system's time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: millis(unix), started_at: Instant::now() }
    }

    /// The current time in ms.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.unix_at_start + millis(self.started_at.elapsed())
    }

    /// The time in ms of an instant of the runtime.
    pub(crate) fn time_of(&self, instant: Instant) -> Millis {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.unix_at_start + millis(since_start)
    }

    /// The runtime's instant of a time in ms; a time before the start is mapped to the start.
    pub(crate) fn instant(&self, at: Millis) -> Instant {
        self.started_at + duration((at - self.unix_at_start).max(0.0))
    }
}
