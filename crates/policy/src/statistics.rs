//! Running moments, comparisons of means by posterior sampling, and Poisson tail probabilities.
//!
//! Problem: outcomes arrive one by one, some versions have few of them, and the recent ones matter most. Method: mean
//! and variance are updated sample by sample (Welford, 1962) and merged pairwise; weights of old samples decay
//! exponentially. Two means are compared by Monte Carlo draws from their Student-t posteriors, counts of rare failures
//! by the lower tail of a Poisson distribution.
//!
//! Thresholds and sample sizes are parameters, which the calling rules define.

use rand_distr::{Distribution, StudentT};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{DiscreteCDF, Poisson};

/// Parameters of the normal model, mean and standard deviation, with uniform priors: their number is subtracted from
/// that of the samples to obtain the degrees of freedom of the Student-t posterior.
const POSTERIOR_PARAMETERS: f64 = 2.0;
/// Probability returned for means that cannot be compared, and share of a draw that a tie counts.
const UNDECIDED: f64 = 0.5;

/// Weighted samples, reduced to the moments from which mean and variance follow. Empty by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMoments {
    /// Sum of the weights of the samples, at least 0: a new sample weighs 1, an old one less.
    pub count: f64,
    /// Weighted mean of the samples, 0 without samples.
    pub mean: f64,
    /// Weighted sum of the squared deviations from the mean, at least 0; the variance is this sum over the count.
    pub sum_squared_deviations: f64,
}

impl RunningMoments {
    /// Adds one sample with weight 1.
    pub fn add(&mut self, sample: f64) {
        self.count += 1.0;
        let deviation = sample - self.mean;
        self.mean += deviation / self.count;
        self.sum_squared_deviations += deviation * (sample - self.mean);
    }

    /// Replaces one sample of 1 by 0, among samples that are all 0 or 1. Without a sample of 1, or with a weight below
    /// 1 in all, nothing changes.
    pub fn replace_one_by_zero(&mut self) {
        if self.count < 1.0 || self.mean <= 0.0 {
            return;
        }
        let mean_before = self.mean;
        self.mean = (mean_before - 1.0 / self.count).max(0.0);
        let squared_mean_change = self.count * (mean_before * mean_before - self.mean * self.mean);
        self.sum_squared_deviations = (self.sum_squared_deviations + squared_mean_change - 1.0).max(0.0);
    }

    /// Adds all samples of `other` with their weights.
    pub fn merge(&mut self, other: &RunningMoments) {
        let count = self.count + other.count;
        if count > 0.0 {
            let distance = other.mean - self.mean;
            self.sum_squared_deviations +=
                other.sum_squared_deviations + distance * distance * self.count * other.count / count;
            self.mean += distance * other.count / count;
            self.count = count;
        }
    }

    /// Multiplies the weight of all samples so far by `factor`, from 0 to 1; the mean stays.
    pub fn scale(&mut self, factor: f64) {
        self.count *= factor;
        self.sum_squared_deviations *= factor;
    }

    /// Multiplies the weight of all samples so far by `factor`, from 0 to 1, then adds `count` samples of the same
    /// value.
    pub fn decay_and_add(&mut self, factor: f64, count: f64, sample: f64) {
        self.scale(factor);
        self.merge(&RunningMoments { count, mean: sample, sum_squared_deviations: 0.0 });
    }

    /// Merges the samples of all `members`; empty without members.
    pub fn pooled<'a>(members: impl IntoIterator<Item = &'a RunningMoments>) -> RunningMoments {
        let mut pool = RunningMoments::default();
        for member in members {
            pool.merge(member);
        }
        pool
    }

    /// Merges the samples of all members but the one that lowers the overall mean most, so that a single faulty
    /// endpoint does not decide on its version. A single member is retained.
    #[must_use]
    pub fn pooled_without_worst(members: &[&RunningMoments]) -> RunningMoments {
        let all = RunningMoments::pooled(members.iter().copied());
        let deficit = |member: &RunningMoments| member.count * (all.mean - member.mean);
        let worst = (0..members.len()).max_by(|a, b| deficit(members[*a]).total_cmp(&deficit(members[*b])));
        let worst = worst.filter(|_| members.len() > 1);
        let rest = members.iter().enumerate().filter(|(index, _)| Some(*index) != worst);
        RunningMoments::pooled(rest.map(|(_, member)| *member))
    }
}

/// Parameters of the comparison of two means by Monte Carlo draws from their Student-t posteriors.
#[derive(Clone, Copy, Debug)]
pub struct MeanComparison {
    /// Minimum number of draws; an integer.
    pub min_draws: f64,
    /// Limit on the draws while the first mean wins all of them; an integer. 1 / `max_draws` is the resolution of
    /// probabilities near 1.
    pub max_draws: f64,
    /// Summed weights of samples from which a mean is compared; above 2, so that its posterior is defined.
    pub min_samples: f64,
    /// Lower bound on the variance of the samples, in their unit squared: equal samples do not make a mean certain.
    pub min_variance: f64,
}

/// The posterior distribution of a mean: Student-t, shifted and scaled.
struct Posterior {
    mean: f64,
    scale: f64,
    distribution: StudentT<f64>,
}

impl MeanComparison {
    /// Returns the probability, from 0 to 1, that the first mean exceeds the second by more than `margin`: the share of
    /// draws in which it does, ties counting half. Returns 0.5 if either has fewer samples than `min_samples`; then no
    /// random number is drawn.
    pub fn probability_first_is_higher(
        &self, rng: &mut Pcg64Mcg, first: &RunningMoments, second: &RunningMoments, margin: f64,
    ) -> f64 {
        let (Some(first), Some(second)) = (self.posterior(first), self.posterior(second)) else {
            return UNDECIDED;
        };
        let mut wins = 0.0;
        let mut draws = 0.0;
        // As long as the first mean wins every draw, more draws refine a probability close to 1.
        while draws < self.min_draws || (wins >= draws && draws < self.max_draws) {
            let one = first.mean - margin + first.scale * first.distribution.sample(rng);
            let other = second.mean + second.scale * second.distribution.sample(rng);
            wins += if one > other { 1.0 } else { indicator(one == other) * UNDECIDED };
            draws += 1.0;
        }
        wins / draws
    }

    fn posterior(&self, moments: &RunningMoments) -> Option<Posterior> {
        if moments.count < self.min_samples {
            return None;
        }
        let degrees_of_freedom = moments.count - POSTERIOR_PARAMETERS;
        let deviations = moments.sum_squared_deviations.max(self.min_variance * moments.count);
        let scale = (deviations / (moments.count * degrees_of_freedom)).sqrt();
        let distribution = StudentT::new(degrees_of_freedom).ok()?;
        Some(Posterior { mean: moments.mean, scale, distribution })
    }
}

/// Returns the probability, from 0 to 1, that a Poisson distribution with mean `expected` yields fewer events than
/// `observed`: 1 minus the p-value of the one-sided test for an excess of independent events. `observed` is rounded to
/// an integer, at most `max_observed`. Returns 0 if no event was observed.
#[must_use]
pub fn poisson_probability_of_fewer(expected: f64, observed: f64, max_observed: f64) -> f64 {
    let observed = observed.clamp(0.0, max_observed).round() as u64;
    let Some(fewer) = observed.checked_sub(1) else { return 0.0 };
    Poisson::new(expected.max(f64::MIN_POSITIVE)).map_or(0.0, |distribution| distribution.cdf(fewer))
}

/// Returns 1 if `condition` is `true`, else 0.
#[must_use]
pub fn indicator(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// Returns the factor, from 0 to 1, by which exponential decay reduces a weight within `elapsed`, in the unit of
/// `half_life`.
#[must_use]
pub fn half_life_decay(elapsed: f64, half_life: f64) -> f64 {
    0.5f64.powf(elapsed / half_life)
}
