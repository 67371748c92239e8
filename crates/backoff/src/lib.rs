//! Exponential backoff with jitter.
//!
//! Problem: callers that fail simultaneously and retry after the same delay fail simultaneously again. Method: the
//! upper bound of the delay doubles with each consecutive failure, up to a maximum, and part of the delay is drawn at
//! random (Marc Brooker, "Exponential Backoff And Jitter", 2015). This crate reads no clock and never sleeps: the
//! caller waits for the delay that it gets.

#![warn(clippy::pedantic)]

use rand::{Rng, RngExt};

/// A time or duration in milliseconds, which may have a fraction.
pub type Millis = f64;

/// More doublings count as this number: the factor has to fit into a `u32`, and reaches any practical maximum before.
const MAX_DOUBLINGS: u32 = u32::BITS - 1;

/// The part of a delay that is drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Jitter {
    /// The delay is the upper bound, and no random number is drawn.
    None,
    /// The delay is between half of the upper bound and the upper bound.
    Half,
    /// The delay is between 0 and the upper bound.
    Full,
}

impl Jitter {
    /// Draws a delay from a uniform distribution up to `upper_bound`; without jitter returns `upper_bound`.
    pub fn draw(self, upper_bound: Millis, rng: &mut impl Rng) -> Millis {
        match self {
            Jitter::None => upper_bound,
            Jitter::Half => rng.random_range(0.5 * upper_bound..=upper_bound),
            Jitter::Full => rng.random_range(0.0..=upper_bound),
        }
    }
}

/// Delays whose upper bound doubles with each consecutive failure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExponentialBackoff {
    initial: Millis,
    max: Millis,
    jitter: Jitter,
}

impl ExponentialBackoff {
    /// A backoff whose upper bound is `initial` without doublings and never exceeds `max`.
    #[must_use]
    pub const fn new(initial: Millis, max: Millis, jitter: Jitter) -> Self {
        ExponentialBackoff { initial, max, jitter }
    }

    /// The longest delay after this number of doublings. Callers pass the number of consecutive failures, or that
    /// number minus one if the first delay is to be `initial`.
    #[must_use]
    pub fn upper_bound(&self, doublings: u32) -> Millis {
        let factor = f64::from(1u32 << doublings.min(MAX_DOUBLINGS));
        (self.initial * factor).min(self.max)
    }

    /// Draws a delay of at most [`Self::upper_bound`].
    pub fn delay(&self, doublings: u32, rng: &mut impl Rng) -> Millis {
        self.jitter.draw(self.upper_bound(doublings), rng)
    }
}
