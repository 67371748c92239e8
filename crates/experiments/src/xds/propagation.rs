//! The time until proxies used decisions.

use super::faults::FaultTimes;
use super::rollout_script::Decision;
use super::testbed::{Testbed, millis};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Times from decisions to their use, in ms.
pub(super) struct PropagationTimes {
    /// Without faults.
    pub(super) undisturbed: Histogram<u64>,
    /// Of decisions and proxies that faults affected.
    pub(super) disturbed: Histogram<u64>,
    /// Pairs of a decision and a proxy that never used it.
    pub(super) never_used: u64,
}

impl PropagationTimes {
    /// Measures all decisions at all proxies.
    pub(super) fn measure(decisions: &[Decision], testbed: &Testbed, faults: &FaultTimes) -> Self {
        let mut times = PropagationTimes { undisturbed: histogram(), disturbed: histogram(), never_used: 0 };
        for decision in decisions {
            let affects_control = faults.affected_control_at(decision.at);
            let affects_proxies = faults.affected_proxies_at(decision.at);
            for proxy in 0..testbed.proxies.len() {
                let is_disturbed = affects_control || (affects_proxies && testbed.is_affected(proxy));
                times.record(time_to_use(decision, proxy, testbed), is_disturbed);
            }
        }
        times
    }

    fn record(&mut self, time: Option<u64>, is_disturbed: bool) {
        let Some(time) = time else {
            self.never_used += 1;
            return;
        };
        let histogram = if is_disturbed { &mut self.disturbed } else { &mut self.undisturbed };
        histogram.record(time).unwrap_or(());
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("valid bounds")
}

/// The ms until a proxy used a decision.
fn time_to_use(decision: &Decision, proxy: usize, testbed: &Testbed) -> Option<u64> {
    let history = testbed.history(proxy);
    let mut states = history.iter().filter(|state| state.at >= decision.at);
    let first_use = states.find(|state| state.meets(&decision.expectation))?;
    Some(millis(first_use.at.duration_since(decision.at)))
}

/// The ms after the control service's return until all proxies used the last decision before it; none if one did
/// not, or the service was not killed.
pub(super) fn recovery_time(decisions: &[Decision], testbed: &Testbed, faults: &FaultTimes) -> Option<u64> {
    let back_at = faults.control_restarted?;
    let last_decision = decisions.iter().rfind(|decision| decision.at <= back_at);
    let recovered = |proxy: usize| {
        let history = testbed.history(proxy);
        let mut states = history.iter().filter(|state| state.at >= back_at);
        let state =
            states.find(|state| last_decision.is_none_or(|decision| state.meets(&decision.expectation)))?;
        Some(millis(state.at.duration_since(back_at)))
    };
    let times: Option<Vec<u64>> = (0..testbed.proxies.len()).map(recovered).collect();
    times?.into_iter().max()
}

/// A histogram in the results.
pub(super) fn histogram_results(times: &Histogram<u64>) -> Value {
    json!({"count": times.len(), "p50_ms": times.value_at_quantile(0.5), "p99_ms": times.value_at_quantile(0.99),
        "max_ms": times.max()})
}
