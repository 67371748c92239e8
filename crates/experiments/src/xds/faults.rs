//! Faults: when they begin and end, and what they do.

use super::rollout_script::CAP_GRACE;
use super::sizes::Sizes;
use super::testbed::Testbed;
use latchhaven_test_support::fake_proxy::ProxyBehavior;
use std::time::{Duration, Instant};

/// How long a killed control service is down.
const CONTROL_DOWN_TIME: Duration = Duration::from_secs(2);
/// Decisions within this of a time without control service are not measured with the others.
const CONTROL_MARGIN: Duration = Duration::from_secs(5);
/// Decisions within this of a fault are not measured with the others, at the proxies that it affects.
const FAULT_MARGIN: Duration = Duration::from_secs(1);

/// When faults began and ended.
#[derive(Default)]
pub(super) struct FaultTimes {
    begun_at: Option<Instant>,
    ended_at: Option<Instant>,
    control_down_at: Option<Instant>,
    pub(super) control_back_at: Option<Instant>,
}

impl FaultTimes {
    /// Begins and ends faults when it is time: they last from the first third of the experiment on to the second.
    pub(super) fn advance(&mut self, elapsed: Duration, sizes: &Sizes, testbed: &mut Testbed) {
        let third = Duration::from_secs(sizes.seconds) / 3;
        if elapsed >= third && self.begun_at.is_none() {
            self.begun_at = Some(Instant::now());
            self.begin(sizes, testbed);
        }
        let is_down = self.control_back_at.is_none();
        if is_down && self.control_down_at.is_some_and(|at| at.elapsed() >= CONTROL_DOWN_TIME) {
            testbed.restart_control();
            self.control_back_at = Some(Instant::now());
        }
        if elapsed >= 2 * third && self.ended_at.is_none() {
            self.ended_at = Some(Instant::now());
            let service = Some(testbed.control.addr);
            if testbed.affected_count > 0 {
                testbed.change_affected(|behavior| {
                    *behavior = ProxyBehavior { service, ..ProxyBehavior::default() };
                });
            }
        }
    }

    fn begin(&mut self, sizes: &Sizes, testbed: &mut Testbed) {
        if sizes.nack > 0.0 {
            testbed.change_affected(|behavior| behavior.rejects_routes = true);
        }
        if sizes.partition > 0.0 {
            testbed.change_affected(|behavior| behavior.service = None);
        }
        if sizes.reconnect_all {
            testbed.change_all(|behavior| behavior.reconnects += 1);
        }
        if sizes.kill_control {
            testbed.control.kill();
            self.control_down_at = Some(Instant::now());
        }
    }

    /// True while the affected proxies may still hold outdated shares.
    pub(super) fn affects_proxies_now(&self) -> bool {
        self.begun_at.is_some() && self.ended_at.is_none_or(|at| at.elapsed() < CAP_GRACE)
    }

    /// True while proxies may still hold outdated shares because the control service was down.
    pub(super) fn affects_control_now(&self) -> bool {
        self.control_down_at.is_some() && self.control_back_at.is_none_or(|at| at.elapsed() < CAP_GRACE)
    }

    /// True where a decision fell into the time without control service.
    pub(super) fn affected_control_at(&self, decision: Instant) -> bool {
        let Some(down_at) = self.control_down_at else { return false };
        let back_at = self.control_back_at.unwrap_or_else(Instant::now);
        decision + CONTROL_MARGIN >= down_at && decision <= back_at + CONTROL_MARGIN
    }

    /// True where a decision fell into the time in which the affected proxies were.
    pub(super) fn affected_proxies_at(&self, decision: Instant) -> bool {
        self.begun_at.is_some_and(|at| decision + FAULT_MARGIN >= at)
            && self.ended_at.is_none_or(|at| decision <= at + FAULT_MARGIN)
    }
}
