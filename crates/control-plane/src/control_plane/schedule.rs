//! When the policy runs, when a configuration is published, and when a snapshot of the endpoint list is requested.

use crate::limits;
use latchhaven_policy::Millis;

/// Times of the last and next actions, on the clock of the caller.
pub(crate) struct Schedule {
    next_publication: Millis,
    last_publication: Option<Millis>,
    /// When the earliest timer of the policy fires.
    next_timer: Millis,
    last_snapshot_request: Option<Millis>,
}

impl Schedule {
    /// A publication and a timer are due immediately.
    pub(crate) fn new() -> Self {
        Schedule {
            next_publication: 0.0,
            last_publication: None,
            next_timer: 0.0,
            last_snapshot_request: None,
        }
    }

    /// Returns when the next publication or timer is due.
    pub(crate) fn next_at(&self) -> Millis {
        self.next_publication.min(self.next_timer)
    }

    /// Returns `true` if a publication or a timer is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_publication || now >= self.next_timer
    }

    /// Schedules a publication: immediately for the first update of a burst, together for the updates that follow.
    pub(crate) fn schedule_publication(&mut self, now: Millis) {
        let due_at = limits::publication_due_at(now, self.last_publication);
        self.next_publication = self.next_publication.min(due_at);
    }

    /// Returns `true` if a publication is due, and schedules the one after it.
    pub(crate) fn start_publication(&mut self, now: Millis) -> bool {
        if now < self.next_publication {
            return false;
        }
        self.next_publication = limits::refresh_due_at(now);
        self.last_publication = Some(now);
        true
    }

    /// Returns `true` if a timer of the policy is due.
    pub(crate) fn is_timer_due(&self, now: Millis) -> bool {
        self.next_timer <= now
    }

    /// Replaces the timers of the policy by timers that fire after these delays from `now`.
    pub(crate) fn set_timers(&mut self, delays: impl IntoIterator<Item = Millis>, now: Millis) {
        self.next_timer = limits::policy_timer_at(now, delays);
    }

    /// Returns `true` if a snapshot of the endpoint list may be requested, and records the request.
    pub(crate) fn start_snapshot_request(&mut self, now: Millis) -> bool {
        let may_request = limits::may_request_snapshot(now, self.last_snapshot_request);
        if may_request {
            self.last_snapshot_request = Some(now);
        }
        may_request
    }
}
