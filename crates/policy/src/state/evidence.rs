//! What is counted for the verdict on a canary.

use crate::statistics::RunningMoments;
use crate::time::Millis;

/// Attempts that the platform counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// All of them.
    pub attempts: f64,
    /// Those that failed.
    pub failures: f64,
    /// Mean time of the others.
    pub mean_latency: Millis,
}

impl OutcomeCounts {
    /// Share of failures, one taken for granted.
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
pub struct BySide<T> {
    /// All other versions.
    pub baseline: T,
    /// The watched version.
    pub canary: T,
}

impl BySide<OutcomeCounts> {
    /// Both sides as one.
    #[must_use]
    pub fn total(&self) -> OutcomeCounts {
        let mut total = self.baseline;
        total.add(self.canary);
        total
    }
}

/// What is known of one class of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassEvidence {
    /// Log of the speed of this gateway's own answers, while there was no canary.
    pub usual_speed: RunningMoments,
    /// What the platform counted and was not weighed yet.
    pub reported: BySide<OutcomeCounts>,
    /// Share of failures that the platform counted while there was no canary.
    pub usual_failure_rate: RunningMoments,
    /// Mean time of an answer that it counted then.
    pub usual_latency: RunningMoments,
    /// Attempts that it counted at each endpoint in a period then.
    pub usual_load: RunningMoments,
}

impl ClassEvidence {
    /// Learns what is usual from a period without a canary.
    pub fn record_usual(&mut self, counts: &OutcomeCounts, ready_endpoints: f64, decay: f64) {
        self.usual_failure_rate.follow(decay, counts.attempts, counts.failures / counts.attempts);
        self.usual_latency.follow(decay, counts.successes(), counts.mean_latency);
        self.usual_load.follow(decay, 1.0, counts.attempts / ready_endpoints);
    }
}

/// The canary's reported outcomes, weighed against the baseline's.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightedEvidence {
    /// Its speed beside the baseline's.
    pub speed: RunningMoments,
    /// Its failures.
    pub failures: f64,
    /// Failures that were to be expected of the baseline.
    pub expected_failures: f64,
}

impl WeightedEvidence {
    /// Scales the weight of what came so far.
    pub fn scale(&mut self, factor: f64) {
        self.speed.scale(factor);
        self.failures *= factor;
        self.expected_failures *= factor;
    }
}

/// Failures that old and new versions have in common.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommonFailures {
    /// Those that were to be expected.
    pub expected: f64,
    /// Those that were counted.
    pub counted: f64,
}

/// Reported counts of all classes, where the load was the usual one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ComparableCounts {
    /// Attempts at all versions; the latency is in multiples of the usual one.
    pub total: OutcomeCounts,
    /// Those of them at the canary.
    pub canary_attempts: f64,
    /// Failures of all versions.
    pub failures: CommonFailures,
}

impl ComparableCounts {
    /// Adds the counts of one class; `excess_rate`: the share of failures that is expected beyond the usual one.
    pub fn add(&mut self, reported: &BySide<OutcomeCounts>, class: &ClassEvidence, excess_rate: f64) {
        let total = reported.total();
        let mean_latency = total.mean_latency / class.usual_latency.mean.max(1.0);
        self.total.add(OutcomeCounts { mean_latency, ..total });
        self.canary_attempts += reported.canary.attempts;
        self.failures.expected += (class.usual_failure_rate.mean + excess_rate) * total.attempts;
        self.failures.counted = self.total.failures;
    }
}
