//! Timers of the gateway, with a resolution of one microsecond.

use crate::clock::MICROS_PER_MS;
use crate::net::upstream::UpstreamCall;
use latchhaven_policy::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer triggers. Timers of the same microsecond fire in the order of these variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the policy set. Contains the policy's token.
    Policy(String),
    /// The call is cancelled with the outcome `Timeout`, unless the response was received before.
    CallTimeout(UpstreamCall),
    /// The call is cancelled, unless it was completely written to the connection before.
    WriteDeadline(UpstreamCall),
}

/// The timers that have not fired.
#[derive(Default)]
pub(super) struct Timers {
    /// Times in microseconds, and what the timers trigger.
    heap: BinaryHeap<Reverse<(u64, Timer)>>,
}

impl Timers {
    /// Sets a timer. The time is rounded up to the next microsecond, so that no timer fires early.
    pub(super) fn set(&mut self, at: Millis, timer: Timer) {
        let micros = (at.max(0.0) * MICROS_PER_MS).ceil() as u64;
        self.heap.push(Reverse((micros, timer)));
    }

    /// Returns when the next timer fires. `None` if there is no timer.
    pub(super) fn next_at(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((micros, _))| *micros as f64 / MICROS_PER_MS)
    }

    /// Removes and returns the first timer that is due at `now`. `None` if no timer is due.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        let now = (now * MICROS_PER_MS) as u64;
        let Reverse((micros, _)) = self.heap.peek()?;
        if *micros > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }
}
