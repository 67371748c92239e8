//! The faults: their effects on proxies and the control service, and when they begin and end.

use super::rollout_script::CAP_GRACE_PERIOD;
use super::sizes::Sizes;
use super::testbed::Testbed;
use latchhaven_test_support::fake_proxy::ProxyBehavior;
use std::time::{Duration, Instant};

/// Time until the killed control service is restarted.
const CONTROL_DOWN_TIME: Duration = Duration::from_secs(2);
/// Decisions this shortly before or after a time without control service count as disturbed.
const CONTROL_MARGIN: Duration = Duration::from_secs(5);
/// Decisions this shortly before or after a fault count as disturbed at the affected proxies.
const FAULT_MARGIN: Duration = Duration::from_secs(1);

/// When the faults began and ended; `None` before that.
#[derive(Default)]
pub(super) struct FaultTimes {
    /// When the faults of `Sizes` began; set in every run, also in one without faults.
    began: Option<Instant>,
    ended: Option<Instant>,
    control_killed: Option<Instant>,
    pub(super) control_restarted: Option<Instant>,
}

impl FaultTimes {
    /// Begins and ends the faults when they are due. Faults of proxies last for the second third of the experiment; the
    /// control service is restarted `CONTROL_DOWN_TIME` after SIGKILL.
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

    /// Returns `true` while the affected proxies may have outdated shares.
    pub(super) fn affects_proxies_now(&self) -> bool {
        self.began.is_some() && self.ended.is_none_or(|at| at.elapsed() < CAP_GRACE_PERIOD)
    }

    /// Returns `true` while proxies may have outdated shares because the control service was down.
    pub(super) fn affects_control_now(&self) -> bool {
        self.control_killed.is_some()
            && self.control_restarted.is_none_or(|at| at.elapsed() < CAP_GRACE_PERIOD)
    }

    /// Returns `true` if a decision was within `CONTROL_MARGIN` of a time without control service.
    pub(super) fn is_near_control_outage(&self, decision: Instant) -> bool {
        let Some(down_at) = self.control_killed else { return false };
        let restarted_at = self.control_restarted.unwrap_or_else(Instant::now);
        decision + CONTROL_MARGIN >= down_at && decision <= restarted_at + CONTROL_MARGIN
    }

    /// Returns `true` if a decision was within `FAULT_MARGIN` of a fault of the affected proxies.
    pub(super) fn is_near_proxy_fault(&self, decision: Instant) -> bool {
        self.began.is_some_and(|at| decision + FAULT_MARGIN >= at)
            && self.ended.is_none_or(|at| decision <= at + FAULT_MARGIN)
    }
}
