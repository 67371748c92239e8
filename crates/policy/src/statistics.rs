//! Running moments (Welford, 1962), posterior sampling and tail probabilities.
//!
//! Thresholds and sample sizes are parameters: the rules that use it define them.

use rand_distr::{Distribution, StudentT};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{DiscreteCDF, Poisson};

/// Count, mean and summed squared deviations of weighted samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMoments {
    /// The number of samples; a fraction once old ones have decayed.
    pub count: f64,
    /// Their mean.
    pub mean: f64,
    /// Their summed squared deviations from the mean.
    pub sum_squared_deviations: f64,
}

impl RunningMoments {
    /// Adds one sample.
    pub fn add(&mut self, sample: f64) {
        self.count += 1.0;
        let deviation = sample - self.mean;
        self.mean += deviation / self.count;
        self.sum_squared_deviations += deviation * (sample - self.mean);
    }

    /// Replaces one sample of 1 by 0, among samples that are all 0 or 1.
    pub fn replace_one_by_zero(&mut self) {
        if self.count < 1.0 || self.mean <= 0.0 {
            return;
        }
        let mean_before = self.mean;
        self.mean = (mean_before - 1.0 / self.count).max(0.0);
        let moved = self.count * (mean_before * mean_before - self.mean * self.mean);
        self.sum_squared_deviations = (self.sum_squared_deviations + moved - 1.0).max(0.0);
    }

    /// Adds all samples of another.
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

    /// Scales the weight of all samples so far.
    pub fn scale(&mut self, factor: f64) {
        self.count *= factor;
        self.sum_squared_deviations *= factor;
    }

    /// Scales the weight of all samples so far, then adds `count` samples of one value.
    pub fn follow(&mut self, factor: f64, count: f64, sample: f64) {
        self.scale(factor);
        self.merge(&RunningMoments { count, mean: sample, sum_squared_deviations: 0.0 });
    }

    /// Pools the samples of several.
    pub fn pooled<'a>(members: impl IntoIterator<Item = &'a RunningMoments>) -> RunningMoments {
        let mut pool = RunningMoments::default();
        for member in members {
            pool.merge(member);
        }
        pool
    }

    /// Pools the samples of several, without the one that lowers the mean most; a single one remains.
    #[must_use]
    pub fn pooled_without_worst(members: &[&RunningMoments]) -> RunningMoments {
        let all = RunningMoments::pooled(members.iter().copied());
        let harm = |member: &RunningMoments| member.count * (all.mean - member.mean);
        let worst = (0..members.len()).max_by(|a, b| harm(members[*a]).total_cmp(&harm(members[*b])));
        let worst = worst.filter(|_| members.len() > 1);
        let rest = members.iter().enumerate().filter(|(at, _)| Some(*at) != worst);
        RunningMoments::pooled(rest.map(|(_, member)| *member))
    }
}

/// How two means are compared by draws from their posteriors.
#[derive(Clone, Copy, Debug)]
pub struct MeanComparison {
    /// Minimum of draws.
    pub min_draws: f64,
    /// Maximum of draws, as long as the first has won them all.
    pub max_draws: f64,
    /// Minimum of samples.
    pub min_samples: f64,
    /// Lower bound on the variance.
    pub min_variance: f64,
}

struct Posterior {
    mean: f64,
    scale: f64,
    distribution: StudentT<f64>,
}

impl MeanComparison {
    /// The share of draws in which the first mean, less a handicap, is above the second; ties count half.
    /// One half where either has too few samples.
    pub fn probability_first_is_higher(
        &self, rng: &mut Pcg64Mcg, first: &RunningMoments, second: &RunningMoments, handicap: f64,
    ) -> f64 {
        let (Some(first), Some(second)) = (self.posterior(first), self.posterior(second)) else { return 0.5 };
        let mut wins = 0.0;
        let mut draws = 0.0;
        // While the first wins all draws, more of them refine the share.
        while draws < self.min_draws || (wins >= draws && draws < self.max_draws) {
            let one = first.mean - handicap + first.scale * first.distribution.sample(rng);
            let other = second.mean + second.scale * second.distribution.sample(rng);
            wins += if one > other { 1.0 } else { indicator(one == other) * 0.5 };
            draws += 1.0;
        }
        wins / draws
    }

    fn posterior(&self, moments: &RunningMoments) -> Option<Posterior> {
        if moments.count < self.min_samples {
            return None;
        }
        let freedom = moments.count - 2.0;
        let deviations = moments.sum_squared_deviations.max(self.min_variance * moments.count);
        let scale = (deviations / (moments.count * freedom)).sqrt();
        let distribution = StudentT::new(freedom).ok()?;
        Some(Posterior { mean: moments.mean, scale, distribution })
    }
}

/// The probability of fewer events than were observed, where so many are expected and they are independent.
/// `max_observed`: upper bound on the observed events.
#[must_use]
pub fn poisson_probability_of_fewer(expected: f64, observed: f64, max_observed: f64) -> f64 {
    let observed = observed.clamp(0.0, max_observed).round() as u64;
    let Some(fewer) = observed.checked_sub(1) else { return 0.0 };
    Poisson::new(expected.max(f64::MIN_POSITIVE)).map_or(0.0, |distribution| distribution.cdf(fewer))
}

/// 1 for true, 0 for false.
#[must_use]
pub fn indicator(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// The factor by which a weight decays after some time; both in the same unit.
#[must_use]
pub fn half_life_decay(elapsed: f64, half_life: f64) -> f64 {
    0.5f64.powf(elapsed / half_life)
}
