//! Samples of the canary's share over all proxies, which have the same traffic.

use super::faults::FaultTimes;
use super::rollout_script::RolloutScript;
use super::testbed::Testbed;

/// The rounding error by which a share may exceed its cap.
const TOLERANCE: f64 = 1e-9;

/// The samples so far.
#[derive(Default)]
pub(super) struct ExposureSamples {
    pub(super) count: u64,
    /// Samples above the cap.
    pub(super) breaches: u64,
    /// The highest excess over the cap.
    pub(super) worst_excess: f64,
    /// The highest share of unreachable proxies.
    pub(super) max_unreachable_share: f64,
}

impl ExposureSamples {
    /// Samples the newest version's share.
    pub(super) fn sample(&mut self, testbed: &Testbed, script: &RolloutScript, faults: &FaultTimes) {
        let proxy_count = testbed.proxies.len();
        let affected_count = testbed.affected_count;
        let affected = testbed.total_share(0..affected_count, script.version);
        let unaffected = testbed.total_share(affected_count..proxy_count, script.version);
        let share = (affected + unaffected) / proxy_count as f64;
        let mut limit = script.binding_cap();
        self.count += 1;
        // The share of unreachable proxies cannot be lowered; the limit is at least that.
        if affected_count > 0 && faults.affects_proxies_now() {
            let unreachable_share = affected / proxy_count as f64;
            limit = limit.max(unreachable_share);
            self.max_unreachable_share = self.max_unreachable_share.max(unreachable_share);
        }
        let is_canary = script.version > 1;
        if is_canary && !faults.affects_control_now() {
            self.worst_excess = self.worst_excess.max(share - limit);
            self.breaches += u64::from(share > limit + TOLERANCE);
        }
    }
}
