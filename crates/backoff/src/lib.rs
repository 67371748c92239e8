//! Exponential backoff with jitter.
//!
//! Problem: callers that fail together and retry after the same delay fail together again. Method: the upper bound of
//! the delay doubles with each failure in a row, up to a maximum, and part of it is drawn at random (Marc Brooker,
//! "Exponential Backoff And Jitter", 2015). This crate reads no clock and never sleeps; every interval is the caller's.

#![warn(clippy::pedantic)]

use rand::{Rng, RngExt};

/// Milliseconds, with fractions.
pub type Millis = f64;

/// Doublings that are distinguished: beyond them every bound of practical size has reached its maximum.
const MAX_DOUBLINGS: u32 = u32::BITS - 1;

/// Which part of a delay is drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Jitter {
    /// None of it: the delay is the upper bound, and no random number is drawn.
    None,
    /// One half: the delay is at least half of the upper bound.
    Half,
    /// All of it: the delay is between 0 and the upper bound.
    Full,
}

impl Jitter {
    /// A delay in ms, up to `upper_bound` ms.
    pub fn draw(self, upper_bound: Millis, rng: &mut impl Rng) -> Millis {
        match self {
            Jitter::None => upper_bound,
            Jitter::Half => rng.random_range(0.5 * upper_bound..=upper_bound),
            Jitter::Full => rng.random_range(0.0..=upper_bound),
        }
    }
}

/// A delay that doubles with each failure in a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExponentialBackoff {
    initial: Millis,
    max: Millis,
    jitter: Jitter,
}

impl ExponentialBackoff {
    /// A backoff whose upper bound starts at `initial` ms and doubles up to `max` ms.
    #[must_use]
    pub const fn new(initial: Millis, max: Millis, jitter: Jitter) -> Self {
        ExponentialBackoff { initial, max, jitter }
    }

    /// The longest delay in ms after so many doublings.
    #[must_use]
    pub fn upper_bound(&self, doublings: u32) -> Millis {
        let factor = f64::from(1u32 << doublings.min(MAX_DOUBLINGS));
        (self.initial * factor).min(self.max)
    }

    /// A delay in ms after so many doublings.
    pub fn delay(&self, doublings: u32, rng: &mut impl Rng) -> Millis {
        self.jitter.draw(self.upper_bound(doublings), rng)
    }
}
