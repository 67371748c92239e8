//! The clock, and durations of ms.

use latchhaven_policy::Millis;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// ms in a second.
pub const MS_PER_SECOND: Millis = 1000.0;

/// The duration of so many ms.
///
/// # Panics
/// Where they are negative or beyond all reason.
pub fn duration(ms: Millis) -> Duration {
    Duration::from_secs_f64(ms / MS_PER_SECOND)
}

/// Unix time in ms at the start, and monotonic from there: the list gives the starts of endpoints in Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_at_start: Millis,
    started_at: Instant,
}

impl Clock {
    /// A clock that is set by the system's time now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_at_start: unix.as_secs_f64() * MS_PER_SECOND, started_at: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.unix_at_start + self.started_at.elapsed().as_secs_f64() * MS_PER_SECOND
    }

    /// The time of an instant of the runtime.
    pub(crate) fn time_of(&self, instant: Instant) -> Millis {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.unix_at_start + since_start.as_secs_f64() * MS_PER_SECOND
    }

    /// The runtime's instant of a time; times before the start count as the start.
    pub(crate) fn instant(&self, at: Millis) -> Instant {
        self.started_at + duration((at - self.unix_at_start).max(0.0))
    }
}
