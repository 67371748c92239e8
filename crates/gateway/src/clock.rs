//! The gateway's clock, and conversions between [`Duration`] and the policy's [`Millis`].

use latchhaven_policy::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Factor between seconds and milliseconds.
pub const MS_PER_SECOND: Millis = 1000.0;
/// Factor between milliseconds and microseconds.
pub const MICROS_PER_MS: f64 = 1000.0;

/// Converts milliseconds to a [`Duration`].
///
/// # Panics
/// If `ms` is negative or not finite, or exceeds the range of a [`Duration`].
#[must_use]
pub fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms / MS_PER_SECOND)
}

/// Converts a [`Duration`] to milliseconds.
#[must_use]
pub fn millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MS_PER_SECOND
}

/// A monotonic clock that is set to Unix time when it is started. Unix time is needed because the start times in the
/// endpoint list are Unix times.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Millis,
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at the system's current time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: millis(unix), started_at: Instant::now() }
    }

    /// The current Unix time in milliseconds.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.unix_at_start + millis(self.started_at.elapsed())
    }

    /// Converts an instant of the runtime to Unix time. An instant before the start is converted like the start itself.
    pub(crate) fn time_of(&self, instant: Instant) -> Millis {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.unix_at_start + millis(since_start)
    }

    /// Converts Unix time to an instant of the runtime. A time before the start is converted like the start itself.
    pub(crate) fn instant(&self, at: Millis) -> Instant {
        self.started_at + duration((at - self.unix_at_start).max(0.0))
    }
}
