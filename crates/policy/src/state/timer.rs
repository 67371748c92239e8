//! The timer of ticks: when the next tick is due, and the timer that was requested for it.

use crate::action::Action;
use crate::time::Millis;

/// The token of the timer; part of recorded traces.
const TICK_TOKEN: &str = "look";

/// The timer of ticks.
#[derive(Clone, Copy, Debug)]
pub struct TickTimer {
    /// When the next tick is due, in ms.
    pub next_tick_at: Millis,
    /// When the timer that was requested last fires, in ms.
    pub fires_at: Millis,
}

impl Default for TickTimer {
    fn default() -> Self {
        TickTimer { next_tick_at: 0.0, fires_at: f64::INFINITY }
    }
}

impl TickTimer {
    /// Schedules the next tick after `interval` ms, or at `poll_at` if that is sooner; returns a request for a timer unless
    /// a pending one fires by then. `rounding`: ms that a timer may fire early.
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
