//! Counts and moments that are the evidence on a canary.
//!
//! `crate::canary` fills and compares them, `crate::verdict` tests them; thresholds are parameters.

use crate::statistics::RunningMoments;
use crate::time::Millis;

/// Reported attempts of one version and class.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// All attempts.
    pub attempts: f64,
    /// Those that failed.
    pub failures: f64,
    /// Mean latency of the others, in ms.
    pub mean_latency: Millis,
}

impl OutcomeCounts {
    /// The failure rate, with one failed attempt added as a prior.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        (self.failures + 1.0) / (self.attempts + 1.0)
    }

    /// Attempts that succeeded.
    #[must_use]
    pub fn successes(&self) -> f64 {
        self.attempts - self.failures
    }

    /// Adds the counts of another period or side.
    pub fn add(&mut self, other: OutcomeCounts) {
        let latency = other.mean_latency.max(0.001);
        let before = self.successes();
        let added = other.successes();
        self.mean_latency = (self.mean_latency * before + latency * added) / (before + added).max(1.0);
        self.attempts += other.attempts;
        self.failures += other.failures;
    }
}

/// One value for the baseline, and one for the canary.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByVersionGroup<T> {
    /// All other versions.
    pub baseline: T,
    /// The watched version.
    pub canary: T,
}

impl ByVersionGroup<OutcomeCounts> {
    /// Both sides as one.
    #[must_use]
    pub fn total(&self) -> OutcomeCounts {
        let mut total = self.baseline;
        total.add(self.canary);
        total
    }
}

/// The evidence of one class of requests, and what is usual for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassEvidence {
    /// Log of the speed of this gateway's own answers, while there was no canary.
    pub usual_speed: RunningMoments,
    /// Reported counts since the last analysis.
    pub reported: ByVersionGroup<OutcomeCounts>,
    /// Reported failure rate while there was no canary.
    pub usual_failure_rate: RunningMoments,
    /// Reported mean latency in ms while there was no canary.
    pub usual_latency: RunningMoments,
    /// Reported attempts per endpoint and period while there was no canary.
    pub usual_load: RunningMoments,
}

impl ClassEvidence {
    /// Updates what is usual by a period without a canary; `decay`: the weight of earlier periods.
    pub fn record_usual(&mut self, counts: &OutcomeCounts, ready_endpoints: f64, decay: f64) {
        self.usual_failure_rate.follow(decay, counts.attempts, counts.failures / counts.attempts);
        self.usual_latency.follow(decay, counts.successes(), counts.mean_latency);
        self.usual_load.follow(decay, 1.0, counts.attempts / ready_endpoints);
    }
}

/// The canary's reported outcomes compared with the baseline's, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightedEvidence {
    /// Log of its speed relative to the baseline's.
    pub speed: RunningMoments,
    /// Its failures.
    pub failures: f64,
    /// Failures expected of the baseline in its place.
    pub expected_failures: f64,
}

impl WeightedEvidence {
    /// Scales the weight of the evidence so far.
    pub fn scale(&mut self, factor: f64) {
        self.speed.scale(factor);
        self.failures *= factor;
        self.expected_failures *= factor;
    }
}

/// Failures common to all versions.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommonFailures {
    /// Those expected.
    pub expected: f64,
    /// Those reported.
    pub counted: f64,
}

/// Reported counts of all classes in which the load was the usual one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ComparableCounts {
    /// Attempts at all versions; the latency is relative to the usual one.
    pub total: OutcomeCounts,
    /// Attempts at the canary.
    pub canary_attempts: f64,
    /// Failures of all versions.
    pub failures: CommonFailures,
}

impl ComparableCounts {
    /// Adds the counts of one class; `excess_rate`: the failure rate above the usual one that is still expected.
    pub fn add(&mut self, reported: &ByVersionGroup<OutcomeCounts>, class: &ClassEvidence, excess_rate: f64) {
        let total = reported.total();
        let mean_latency = total.mean_latency / class.usual_latency.mean.max(1.0);
        self.total.add(OutcomeCounts { mean_latency, ..total });
        self.canary_attempts += reported.canary.attempts;
        self.failures.expected += (class.usual_failure_rate.mean + excess_rate) * total.attempts;
        self.failures.counted = self.total.failures;
    }
}
