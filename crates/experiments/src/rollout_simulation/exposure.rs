//! The limit on the canary's share of all requests.

use super::model::RoutingMode;
use super::parameters::{DRAIN_GRACE, EXPOSURE_ALLOWANCE, EXPOSURE_WINDOW};
use super::simulation::Simulation;
use latchhaven_policy::Millis;
use std::collections::VecDeque;

impl Simulation {
    /// Checks the canary's share over all proxies or gateways in the last window.
    pub(super) fn sample_exposure(&mut self) {
        let window_start = self.now - EXPOSURE_WINDOW;
        remove_until(&mut self.arrivals, window_start);
        remove_until(&mut self.canary_attempts, window_start);
        if !self.rollout.is_canary(self.rollout.state.version) {
            return;
        }
        let cap = self.highest_cap_since(window_start.min(self.now - DRAIN_GRACE));
        // Each gateway has an allowance of its own; the proxies of a control service share one.
        let allowances = if self.mode == RoutingMode::Gateways { self.gateways.len() as f64 } else { 1.0 };
        let limit = EXPOSURE_ALLOWANCE * allowances + cap * self.arrivals.len() as f64;
        self.counts.samples += 1;
        self.counts.samples_over_cap += u64::from(self.canary_attempts.len() as f64 > limit);
    }

    /// The highest cap that applied at or after a time.
    fn highest_cap_since(&self, time: Millis) -> f64 {
        let mut highest = 0.0f64;
        for change in self.rollout.caps.iter().rev() {
            highest = highest.max(change.cap);
            if change.at <= time {
                break;
            }
        }
        highest
    }
}

/// Removes times at or before a time; times are in ascending order.
fn remove_until(times: &mut VecDeque<Millis>, time: Millis) {
    while times.front().is_some_and(|at| *at <= time) {
        times.pop_front();
    }
}
