//! The check of the canary's traffic against its cap.

use super::model::RoutingMode;
use super::parameters::{DRAIN_GRACE_PERIOD, EXPOSURE_ALLOWANCE_PER_WINDOW, EXPOSURE_WINDOW};
use super::simulation::Simulation;
use latchhaven_policy::Millis;
use std::collections::VecDeque;

impl Simulation {
    /// Counts a check of the canary's cap, and whether it is exceeded: compares the attempts at the canary within the
    /// last exposure window with the requests that arrived in it, over all proxies or gateways.
    pub(super) fn check_exposure(&mut self) {
        let window_start = self.now - EXPOSURE_WINDOW;
        remove_until(&mut self.recent_arrivals, window_start);
        remove_until(&mut self.recent_canary_attempts, window_start);
        if !self.rollout.is_canary(self.rollout.state.version) {
            return;
        }
        let cap = self.highest_cap_since(window_start.min(self.now - DRAIN_GRACE_PERIOD));
        // Each gateway enforces the cap with its own allowance; the proxies of a control service share one allowance.
        let allowances = if self.mode == RoutingMode::Gateways { self.gateways.len() as f64 } else { 1.0 };
        let limit = EXPOSURE_ALLOWANCE_PER_WINDOW * allowances + cap * self.recent_arrivals.len() as f64;
        self.counts.exposure_samples += 1;
        self.counts.exposure_samples_over_cap += u64::from(self.recent_canary_attempts.len() as f64 > limit);
    }

    /// The highest cap in force at `time` or later.
    fn highest_cap_since(&self, time: Millis) -> f64 {
        let mut highest = 0.0f64;
        for change in self.rollout.cap_history.iter().rev() {
            highest = highest.max(change.cap);
            if change.at <= time {
                break;
            }
        }
        highest
    }
}

/// Removes the times up to and including `time`; `times` is in ascending order.
fn remove_until(times: &mut VecDeque<Millis>, time: Millis) {
    while times.front().is_some_and(|at| *at <= time) {
        times.pop_front();
    }
}
