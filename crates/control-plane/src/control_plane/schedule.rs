//! When the decisions are asked again, when a configuration is published, and when a snapshot of the endpoint list is
//! requested.

use latchhaven_policy::Millis;

/// ms in which a burst of updates becomes one publication.
pub(crate) const COALESCING_INTERVAL: Millis = 40.0;
/// ms after which a configuration is built again without an update: hosts warm up, traffic changes, proxies fall silent.
const REFRESH_INTERVAL: Millis = 250.0;
/// ms between two requests for a snapshot of the list while the list is behind what is known.
const SNAPSHOT_RETRY_INTERVAL: Millis = 5_000.0;
/// ms that a timer of the decisions takes at least, lest they be asked without end.
const MIN_TIMER: Millis = 1.0;

/// Points in time, in ms of the owner's clock.
pub(crate) struct Schedule {
    publish_at: Millis,
    published_at: Millis,
    /// The earliest timer of the decisions.
    timer_at: Millis,
    snapshot_requested_at: Millis,
}

impl Schedule {
    /// Everything is due at once.
    pub(crate) fn new() -> Self {
        Schedule {
            publish_at: 0.0,
            published_at: f64::NEG_INFINITY,
            timer_at: 0.0,
            snapshot_requested_at: f64::NEG_INFINITY,
        }
    }

    /// The next time at which something is due.
    pub(crate) fn next_at(&self) -> Millis {
        self.publish_at.min(self.timer_at)
    }

    /// A publication or a timer is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.publish_at || now >= self.timer_at
    }

    /// The first update of a burst is published at once, what follows it together a little later.
    pub(crate) fn schedule_publish(&mut self, now: Millis) {
        let earliest = now.max(self.published_at + COALESCING_INTERVAL);
        self.publish_at = self.publish_at.min(earliest);
    }

    /// True if a publication is due; the next one is then scheduled.
    pub(crate) fn start_publish(&mut self, now: Millis) -> bool {
        if now < self.publish_at {
            return false;
        }
        self.publish_at = now + REFRESH_INTERVAL;
        self.published_at = now;
        true
    }

    /// A timer of the decisions is due.
    pub(crate) fn is_timer_due(&self, now: Millis) -> bool {
        self.timer_at <= now
    }

    /// Replaces the timers by those that the decisions set now; without any they are asked after the refresh interval.
    pub(crate) fn set_timers(&mut self, delays: impl IntoIterator<Item = Millis>, now: Millis) {
        let times = delays.into_iter().map(|delay| now + delay.max(MIN_TIMER));
        let earliest = times.fold(f64::INFINITY, f64::min);
        self.timer_at = if earliest == f64::INFINITY { now + REFRESH_INTERVAL } else { earliest };
    }

    /// True if a snapshot of the list may be requested again; the request is then recorded.
    pub(crate) fn start_snapshot_request(&mut self, now: Millis) -> bool {
        let may_request = now - self.snapshot_requested_at >= SNAPSHOT_RETRY_INTERVAL;
        if may_request {
            self.snapshot_requested_at = now;
        }
        may_request
    }
}
