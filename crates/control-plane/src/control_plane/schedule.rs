//! When the decisions run, when a configuration is published, and when a snapshot of the endpoint list is requested.

use crate::limits;
use latchhaven_policy::Millis;

/// Points in time, in ms of the owner's clock.
pub(crate) struct Schedule {
    next_publish: Millis,
    last_publish: Millis,
    /// The earliest timer of the decisions.
    next_timer: Millis,
    last_snapshot_request: Millis,
}

impl Schedule {
    /// Everything is due immediately.
    pub(crate) fn new() -> Self {
        Schedule {
            next_publish: 0.0,
            last_publish: f64::NEG_INFINITY,
            next_timer: 0.0,
            last_snapshot_request: f64::NEG_INFINITY,
        }
    }

    /// The next time at which something is due.
    pub(crate) fn next_at(&self) -> Millis {
        self.next_publish.min(self.next_timer)
    }

    /// True where a publication or a timer is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_publish || now >= self.next_timer
    }

    /// Schedules a publication: the first update of a burst immediately, those that follow together.
    pub(crate) fn schedule_publish(&mut self, now: Millis) {
        let due_at = limits::publication_due_at(now, self.last_publish);
        self.next_publish = self.next_publish.min(due_at);
    }

    /// True if a publication is due; the next one is then scheduled.
    pub(crate) fn start_publish(&mut self, now: Millis) -> bool {
        if now < self.next_publish {
            return false;
        }
        self.next_publish = limits::refresh_due_at(now);
        self.last_publish = now;
        true
    }

    /// True where a timer of the decisions is due.
    pub(crate) fn is_timer_due(&self, now: Millis) -> bool {
        self.next_timer <= now
    }

    /// Replaces the timers of the decisions by these, in ms from `now`.
    pub(crate) fn set_timers(&mut self, delays: impl IntoIterator<Item = Millis>, now: Millis) {
        self.next_timer = limits::decision_timer_at(now, delays);
    }

    /// True if a snapshot of the list may be requested again; the request is then recorded.
    pub(crate) fn start_snapshot_request(&mut self, now: Millis) -> bool {
        let may_request = limits::may_request_snapshot(now, self.last_snapshot_request);
        if may_request {
            self.last_snapshot_request = now;
        }
        may_request
    }
}
