//! When the policy looks round next, and the timer that it asked for.

use crate::action::Action;
use crate::time::Millis;

/// What the timer of ticks is set with.
const TICK_TOKEN: &str = "look";

/// The timer of ticks.
#[derive(Clone, Copy, Debug)]
pub struct TickTimer {
    /// When the next tick is due.
    pub next_tick_at: Millis,
    /// When the timer fires that was asked for last.
    pub fires_at: Millis,
}

impl Default for TickTimer {
    fn default() -> Self {
        TickTimer { next_tick_at: 0.0, fires_at: f64::INFINITY }
    }
}

impl TickTimer {
    /// Makes the next tick due after an interval, or as the list is to be asked for if that is sooner; asks for a timer
    /// unless one fires by then that has yet to. `rounding`: how early a timer may come.
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
