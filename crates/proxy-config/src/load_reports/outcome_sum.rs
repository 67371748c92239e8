//! Weighted sums of the outcomes of attempts.

use super::report::EndpointCounts;
use latchhaven_policy::Millis;

/// A sum of outcomes; fractional, since reports may have a reduced weight.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeSum {
    attempts: f64,
    failures: f64,
    /// The sum of the latencies in ms of `latency_samples` attempts.
    total_latency: f64,
    latency_samples: f64,
}

/// A sum rounded to integers.
pub(super) struct RoundedOutcomes {
    pub(super) attempts: u64,
    /// At most `attempts`.
    pub(super) failures: u64,
    /// In ms; none without a sample.
    pub(super) mean_latency: Option<Millis>,
}

impl OutcomeSum {
    /// The outcomes at one endpoint.
    pub(super) fn from_counts(counts: &EndpointCounts) -> Self {
        OutcomeSum {
            attempts: (counts.succeeded + counts.failed) as f64,
            failures: counts.failed as f64,
            total_latency: counts.total_latency,
            latency_samples: counts.latency_samples as f64,
        }
    }

    /// Completed attempts.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Adds another sum, reduced in weight to at most `max_attempts`.
    pub(super) fn add(&mut self, other: &OutcomeSum, max_attempts: f64) {
        let weight = if other.attempts > max_attempts { max_attempts / other.attempts } else { 1.0 };
        self.attempts += weight * other.attempts;
        self.failures += weight * other.failures;
        self.total_latency += weight * other.total_latency;
        self.latency_samples += weight * other.latency_samples;
    }

    /// This sum rounded to integers.
    pub(super) fn rounded(&self) -> RoundedOutcomes {
        let attempts = self.attempts.round() as u64;
        let failures = self.failures.round() as u64;
        let mean_latency =
            if self.latency_samples > 0.0 { Some(self.total_latency / self.latency_samples) } else { None };
        RoundedOutcomes { attempts, failures: failures.min(attempts), mean_latency }
    }
}
