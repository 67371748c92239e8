//! When the policy runs its periodic rules, and the adapter's timer that triggers them.

use crate::action::Action;
use crate::time::Millis;

/// Recorded traces contain this token.
const TICK_TOKEN: &str = "look";

/// The time of the next tick, at which the policy runs its periodic rules, and of the timer set for it.
#[derive(Clone, Copy, Debug)]
pub struct TickTimer {
    /// When the next tick is due. A tick sets it to infinity until [`TickTimer::schedule`] sets the time of the next
    /// one.
    pub next_tick_at: Millis,
    /// When the timer that was set last fires; infinity if none was set yet.
    pub fires_at: Millis,
}

impl Default for TickTimer {
    fn default() -> Self {
        TickTimer { next_tick_at: 0.0, fires_at: f64::INFINITY }
    }
}

impl TickTimer {
    /// Schedules the next tick after `interval`, or at `poll_at` if that is sooner. Returns the action that sets a
    /// timer for the tick, or `None` if an earlier timer fires by then. A timer may fire up to `rounding` early, so
    /// that one within `rounding` of `now` counts as fired.
    pub fn schedule(
        &mut self, interval: Millis, poll_at: Option<Millis>, rounding: Millis, now: Millis,
    ) -> Option<Action> {
        let next = now + interval;
        self.next_tick_at = self.next_tick_at.min(next).min(poll_at.unwrap_or(next));
        if self.next_tick_at >= self.fires_at && self.fires_at > now + rounding {
            return None;
        }
        self.fires_at = self.next_tick_at;
        Some(Action::SetTimer { after: self.next_tick_at - now, token: TICK_TOKEN.to_string() })
    }
}
