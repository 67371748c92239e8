//! Faults: their effects, and when they begin and end.

use super::rollout_script::CAP_GRACE;
use super::sizes::Sizes;
use super::testbed::Testbed;
use latchhaven_test_support::fake_proxy::ProxyBehavior;
use std::time::{Duration, Instant};

/// The time until a killed control service is restarted.
const CONTROL_DOWN_TIME: Duration = Duration::from_secs(2);
/// Decisions this close to a time without control service count as disturbed.
const CONTROL_MARGIN: Duration = Duration::from_secs(5);
/// Decisions this close to a fault count as disturbed at the proxies that it affects.
const FAULT_MARGIN: Duration = Duration::from_secs(1);

/// When faults began and ended.
#[derive(Default)]
pub(super) struct FaultTimes {
    began: Option<Instant>,
    ended: Option<Instant>,
    control_killed: Option<Instant>,
    pub(super) control_restarted: Option<Instant>,
}

impl FaultTimes {
    /// Begins and ends faults: they last for the second third of the experiment.
    pub(super) fn advance(&mut self, elapsed: Duration, sizes: &Sizes, testbed: &mut Testbed) {
        let third = Duration::from_secs(sizes.seconds) / 3;
        if elapsed >= third && self.began.is_none() {
            self.began = Some(Instant::now());
            self.begin(sizes, testbed);
        }
        let is_down = self.control_restarted.is_none();
        if is_down && self.control_killed.is_some_and(|at| at.elapsed() >= CONTROL_DOWN_TIME) {
            testbed.restart_control();
            self.control_restarted = Some(Instant::now());
        }
        if elapsed >= 2 * third && self.ended.is_none() {
            self.ended = Some(Instant::now());
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
            self.control_killed = Some(Instant::now());
        }
    }

    /// True while the affected proxies may have outdated shares.
    pub(super) fn affects_proxies_now(&self) -> bool {
        self.began.is_some() && self.ended.is_none_or(|at| at.elapsed() < CAP_GRACE)
    }

    /// True while proxies may have outdated shares because the control service was down.
    pub(super) fn affects_control_now(&self) -> bool {
        self.control_killed.is_some() && self.control_restarted.is_none_or(|at| at.elapsed() < CAP_GRACE)
    }

    /// True if a decision was close to a time without control service.
    pub(super) fn affected_control_at(&self, decision: Instant) -> bool {
        let Some(down_at) = self.control_killed else { return false };
        let back_at = self.control_restarted.unwrap_or_else(Instant::now);
        decision + CONTROL_MARGIN >= down_at && decision <= back_at + CONTROL_MARGIN
    }

    /// True if a decision was close to a fault of the affected proxies.
    pub(super) fn affected_proxies_at(&self, decision: Instant) -> bool {
        self.began.is_some_and(|at| decision + FAULT_MARGIN >= at)
            && self.ended.is_none_or(|at| decision <= at + FAULT_MARGIN)
    }
}
