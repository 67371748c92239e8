//! Samples of the canary's traffic share: the mean over all proxies, which have the same traffic.

use super::faults::FaultTimes;
use super::rollout_script::RolloutScript;
use super::testbed::Testbed;

/// Rounding error by which a share may exceed its cap.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// What the samples so far showed.
#[derive(Default)]
pub(super) struct ExposureSamples {
    pub(super) count: u64,
    /// Samples above the cap.
    pub(super) breaches: u64,
    /// Highest excess of a sample over the cap; 0 if none exceeded the cap.
    pub(super) worst_excess: f64,
    /// Highest part of a sample that is due to proxies under a fault.
    pub(super) max_affected_share: f64,
}

impl ExposureSamples {
    /// Samples the traffic share of the newest version. Samples are not checked against the cap while the baseline is
    /// the newest version, or while proxies may have outdated shares because the control service was down.
    pub(super) fn sample(&mut self, testbed: &Testbed, script: &RolloutScript, faults: &FaultTimes) {
        let proxy_count = testbed.proxies.len();
        let affected_count = testbed.affected_count;
        let affected = testbed.total_share(0..affected_count, script.version);
        let unaffected = testbed.total_share(affected_count..proxy_count, script.version);
        let share = (affected + unaffected) / proxy_count as f64;
        let mut limit = script.binding_cap();
        self.count += 1;
        // The control service cannot lower the share of proxies under a fault: the limit is at least their share.
        if affected_count > 0 && faults.affects_proxies_now() {
            let affected_share = affected / proxy_count as f64;
            limit = limit.max(affected_share);
            self.max_affected_share = self.max_affected_share.max(affected_share);
        }
        let is_canary = script.version > 1;
        if is_canary && !faults.affects_control_now() {
            self.worst_excess = self.worst_excess.max(share - limit);
            self.breaches += u64::from(share > limit + ROUNDING_TOLERANCE);
        }
    }
}
