//! Counts of attempts by outcome, from which the platform makes its reports.

use super::parameters::{CLASSES, OUTCOME_REPORT_AGE};
use latchhaven_policy::{AttemptOutcome, Millis, OutcomeReport, Version};
use std::collections::BTreeMap;

/// Outcomes of the attempts at one version in one class.
#[derive(Clone, Copy, Default)]
pub(super) struct OutcomeCounts {
    attempts: u64,
    failures: u64,
    /// Sum of the latencies of the attempts that did not fail.
    total_latency: Millis,
}

/// Outcomes since the last report.
#[derive(Default)]
pub(super) struct UnreportedOutcomes {
    /// Counts by version and index of the class.
    pub(super) counts: BTreeMap<(Version, usize), OutcomeCounts>,
    pub(super) last_reported_at: Millis,
}

impl UnreportedOutcomes {
    pub(super) fn record(
        &mut self, version: Version, class: usize, outcome: AttemptOutcome, elapsed: Millis,
    ) {
        let counts = self.counts.entry((version, class)).or_default();
        counts.attempts += 1;
        match outcome {
            AttemptOutcome::Error => counts.failures += 1,
            _ => counts.total_latency += elapsed,
        }
    }
}

/// The platform's report on one version in one class.
pub(super) fn outcome_report(version: Version, class: usize, counts: OutcomeCounts) -> OutcomeReport {
    let successes = counts.attempts - counts.failures;
    OutcomeReport {
        version,
        class: CLASSES[class].name.to_string(),
        attempts: counts.attempts,
        failures: counts.failures,
        mean_latency: (successes > 0).then(|| counts.total_latency / successes as f64),
        age: OUTCOME_REPORT_AGE,
    }
}
