//! Counts and moments that are the evidence on a canary, and the reference values recorded without a canary.
//!
//! `crate::canary` records and compares them, `crate::verdict` tests them; thresholds are parameters.

use crate::statistics::RunningMoments;
use crate::time::Millis;

/// Failures assumed in addition to those counted, so that no failure rate is estimated as 0.
pub(crate) const PRIOR_FAILURES: f64 = 1.0;
/// Attempts in which the assumed failures occur.
const PRIOR_ATTEMPTS: f64 = 1.0;
/// Lower bound on a reported mean latency, relative latencies included, so that its logarithm is finite.
const MIN_MEAN_LATENCY: Millis = 0.001;
/// Lower bound on the reference latency by which latencies are divided.
const MIN_REFERENCE_LATENCY: Millis = 1.0;
/// Lower bound on the number of successes by which a sum of latencies is divided.
const MIN_SUCCESSES: f64 = 1.0;

/// The platform's counts of attempts at one version group in one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// Number of attempts, failed ones included.
    pub attempts: f64,
    /// Number of attempts that failed, at most `attempts`.
    pub failures: f64,
    /// Mean latency of the attempts that succeeded.
    pub mean_latency: Millis,
}

impl OutcomeCounts {
    /// Returns the failure rate, from 0 to 1, with one failed attempt added as a prior.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        (self.failures + PRIOR_FAILURES) / (self.attempts + PRIOR_ATTEMPTS)
    }

    /// Returns the number of attempts that succeeded.
    #[must_use]
    pub fn successes(&self) -> f64 {
        self.attempts - self.failures
    }

    /// Adds the counts of another period or version group; the mean latency is weighted by successes.
    pub fn add(&mut self, other: OutcomeCounts) {
        let latency = other.mean_latency.max(MIN_MEAN_LATENCY);
        let before = self.successes();
        let added = other.successes();
        self.mean_latency =
            (self.mean_latency * before + latency * added) / (before + added).max(MIN_SUCCESSES);
        self.attempts += other.attempts;
        self.failures += other.failures;
    }
}

/// One value for each version group.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByVersionGroup<T> {
    /// Value of the other versions.
    pub baseline: T,
    /// Value of the version that is a canary, or of the last one that was.
    pub canary: T,
}

impl ByVersionGroup<OutcomeCounts> {
    /// Returns the counts of both groups together.
    #[must_use]
    pub fn total(&self) -> OutcomeCounts {
        let mut total = self.baseline;
        total.add(self.canary);
        total
    }
}

/// The reported counts of one request class, and its reference values: running means while no version was a canary,
/// with which later values are compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassEvidence {
    /// Reference for this gateway's own attempts: natural logarithm of expected work divided by latency.
    pub reference_speed: RunningMoments,
    /// The platform's counts since the last analysis.
    pub reported: ByVersionGroup<OutcomeCounts>,
    /// Reference for the reported failure rate, from 0 to 1.
    pub reference_failure_rate: RunningMoments,
    /// Reference for the reported mean latency, in milliseconds.
    pub reference_latency: RunningMoments,
    /// Reference for the reported attempts per ready endpoint and analysis that has reports.
    pub reference_load: RunningMoments,
}

impl ClassEvidence {
    /// Updates the reference values by reports from a time without a canary. `counts` has at least one attempt;
    /// `decay`, from 0 to 1, is the factor on the weight of earlier reports.
    pub fn update_reference(&mut self, counts: &OutcomeCounts, ready_endpoints: f64, decay: f64) {
        self.reference_failure_rate.decay_and_add(decay, counts.attempts, counts.failures / counts.attempts);
        self.reference_latency.decay_and_add(decay, counts.successes(), counts.mean_latency);
        self.reference_load.decay_and_add(decay, 1.0, counts.attempts / ready_endpoints);
    }
}

/// The canary's reported outcomes compared with the baseline's. The weight of a report decays with its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightedEvidence {
    /// Natural logarithm of the baseline's mean latency divided by the canary's; below 0 if the canary is slower.
    pub speed: RunningMoments,
    /// Number of the canary's failures.
    pub failures: f64,
    /// Number of failures expected of the canary at the baseline's failure rate.
    pub expected_failures: f64,
}

impl WeightedEvidence {
    /// Multiplies the weight of the evidence so far by `factor`, from 0 to 1.
    pub fn scale(&mut self, factor: f64) {
        self.speed.scale(factor);
        self.failures *= factor;
        self.expected_failures *= factor;
    }
}

/// Numbers of failures of all versions together, in the newest reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct CommonFailures {
    /// Failures expected at the reference failure rates plus the tolerated excess.
    pub expected: f64,
    /// Failures of all versions that the platform counted.
    pub reported: f64,
}

/// Sum of the newest reported counts, over the request classes whose load per endpoint was not far above the reference
/// load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ComparableCounts {
    /// Counts of all versions; the mean latency is a ratio to each class's reference latency, not a time.
    pub total: OutcomeCounts,
    /// Number of attempts at the canary, included in `total`.
    pub canary_attempts: f64,
    /// Failures of all versions, expected and reported.
    pub failures: CommonFailures,
}

impl ComparableCounts {
    /// Adds the counts of one class. `excess_rate`, from 0 to 1, is added to the reference failure rate to obtain the
    /// expected failures.
    pub fn add(&mut self, reported: &ByVersionGroup<OutcomeCounts>, class: &ClassEvidence, excess_rate: f64) {
        let total = reported.total();
        let mean_latency = total.mean_latency / class.reference_latency.mean.max(MIN_REFERENCE_LATENCY);
        self.total.add(OutcomeCounts { mean_latency, ..total });
        self.canary_attempts += reported.canary.attempts;
        self.failures.expected += (class.reference_failure_rate.mean + excess_rate) * total.attempts;
        self.failures.reported = self.total.failures;
    }
}
