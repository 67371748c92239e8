//! Sums of the outcomes of attempts, with a limited weight of each addend.

use super::report::EndpointCounts;
use latchhaven_policy::Millis;

/// A sum of outcomes. The counts are fractional, since an addend may have a reduced weight.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutcomeSum {
    attempts: f64,
    failures: f64,
    /// The sum of the latencies of `latency_samples` attempts, in milliseconds.
    total_latency: f64,
    latency_samples: f64,
}

/// A sum rounded to integers.
pub(super) struct RoundedOutcomes {
    pub(super) attempts: u64,
    /// Attempts that failed; at most `attempts`.
    pub(super) failures: u64,
    /// `None` if no attempt has a known latency.
    pub(super) mean_latency: Option<Millis>,
}

impl OutcomeSum {
    /// Returns the outcomes that a proxy counted at one endpoint, with full weight.
    pub(super) fn from_counts(counts: &EndpointCounts) -> Self {
        OutcomeSum {
            attempts: (counts.succeeded + counts.failed) as f64,
            failures: counts.failed as f64,
            total_latency: counts.total_latency,
            latency_samples: counts.latency_samples as f64,
        }
    }

    /// Number of attempts that completed: succeeded or failed.
    pub(super) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Adds another sum. If it has more than `max_attempts`, all its counts are scaled down so that it has
    /// `max_attempts`. With `None` there is no limit.
    pub(super) fn add(&mut self, other: &OutcomeSum, max_attempts: Option<f64>) {
        let weight = match max_attempts {
            Some(max_attempts) if other.attempts > max_attempts => max_attempts / other.attempts,
            _ => 1.0,
        };
        self.attempts += weight * other.attempts;
        self.failures += weight * other.failures;
        self.total_latency += weight * other.total_latency;
        self.latency_samples += weight * other.latency_samples;
    }

    pub(super) fn rounded(&self) -> RoundedOutcomes {
        let attempts = self.attempts.round() as u64;
        let failures = self.failures.round() as u64;
        let mean_latency =
            if self.latency_samples > 0.0 { Some(self.total_latency / self.latency_samples) } else { None };
        RoundedOutcomes { attempts, failures: failures.min(attempts), mean_latency }
    }
}
