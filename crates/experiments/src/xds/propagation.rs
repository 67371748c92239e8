//! The time from a decision of the platform until proxies used it.

use super::faults::FaultTimes;
use super::rollout_script::Decision;
use super::testbed::{Testbed, millis};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Times from each decision until each proxy used it, in milliseconds.
pub(super) struct PropagationTimes {
    /// Times of decisions and proxies that no fault affected.
    pub(super) undisturbed: Histogram<u64>,
    /// Times of decisions and proxies that a fault affected.
    pub(super) disturbed: Histogram<u64>,
    /// Number of pairs of a decision and a proxy that never used the decision.
    pub(super) never_used: u64,
}

impl PropagationTimes {
    /// Computes the times of all decisions at all proxies from the proxies' recorded states.
    pub(super) fn measure(decisions: &[Decision], testbed: &Testbed, faults: &FaultTimes) -> Self {
        let mut times = PropagationTimes { undisturbed: histogram(), disturbed: histogram(), never_used: 0 };
        for decision in decisions {
            let is_near_control_outage = faults.is_near_control_outage(decision.at);
            let is_near_proxy_fault = faults.is_near_proxy_fault(decision.at);
            for proxy in 0..testbed.proxies.len() {
                let is_disturbed =
                    is_near_control_outage || (is_near_proxy_fault && testbed.is_affected(proxy));
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

/// Time in milliseconds from a decision until a proxy used it; `None` if the proxy never did.
fn time_to_use(decision: &Decision, proxy: usize, testbed: &Testbed) -> Option<u64> {
    let history = testbed.history(proxy);
    let mut states = history.iter().filter(|state| state.at >= decision.at);
    let first_use = states.find(|state| state.meets(&decision.expectation))?;
    Some(millis(first_use.at.duration_since(decision.at)))
}

/// Time in milliseconds from the restart of the control service until all proxies used the last decision before the
/// restart; `None` if a proxy did not, or if the service was not killed.
pub(super) fn recovery_time(decisions: &[Decision], testbed: &Testbed, faults: &FaultTimes) -> Option<u64> {
    let restarted_at = faults.control_restarted?;
    let last_decision = decisions.iter().rfind(|decision| decision.at <= restarted_at);
    let recovered = |proxy: usize| {
        let history = testbed.history(proxy);
        let mut states = history.iter().filter(|state| state.at >= restarted_at);
        let state =
            states.find(|state| last_decision.is_none_or(|decision| state.meets(&decision.expectation)))?;
        Some(millis(state.at.duration_since(restarted_at)))
    };
    let times: Option<Vec<u64>> = (0..testbed.proxies.len()).map(recovered).collect();
    times?.into_iter().max()
}

/// Count, percentiles and maximum of a histogram, as printed in the results.
pub(super) fn histogram_results(times: &Histogram<u64>) -> Value {
    json!({"count": times.len(), "p50_ms": times.value_at_quantile(0.5), "p99_ms": times.value_at_quantile(0.99),
        "max_ms": times.max()})
}
