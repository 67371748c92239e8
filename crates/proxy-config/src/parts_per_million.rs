//! Fractions in parts per million: the unit of traffic caps, route weights and drop rates.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;

const MILLION: u32 = 1_000_000;

/// A fraction in parts per million, usually from 0 to 1. A value read from a stored record may exceed 1.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartsPerMillion(u32);

impl PartsPerMillion {
    /// The fraction 0: no requests.
    pub const ZERO: Self = PartsPerMillion(0);
    /// The fraction 1: all requests.
    pub const FULL: Self = PartsPerMillion(MILLION);

    /// Creates a fraction from its parts per million, of which 1,000,000 are the fraction 1. The number is not checked.
    #[must_use]
    pub const fn new(parts: u32) -> Self {
        PartsPerMillion(parts)
    }

    /// Number of parts per million.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Rounds a fraction down to parts per million. The fraction is clamped to `0.0..=1.0`; NaN gives 0.
    #[must_use]
    pub fn from_fraction_floor(fraction: f64) -> Self {
        let parts = fraction.clamp(0.0, 1.0) * f64::from(MILLION);
        PartsPerMillion(parts.floor() as u32)
    }

    /// Rounds a fraction to the nearest part per million. The fraction is clamped to `0.0..=1.0`; NaN gives 0.
    #[must_use]
    pub fn from_fraction_nearest(fraction: f64) -> Self {
        let parts = fraction.clamp(0.0, 1.0) * f64::from(MILLION);
        PartsPerMillion(parts.round() as u32)
    }

    /// This value as a floating-point fraction: 1.0 for [`Self::FULL`].
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        self.of(1.0)
    }

    /// This fraction of an amount, in the unit of the amount. Multiplies first, then divides.
    #[must_use]
    pub fn of(self, amount: f64) -> f64 {
        amount * f64::from(self.0) / f64::from(MILLION)
    }

    /// The largest multiple of `step` that does not exceed this value.
    ///
    /// # Panics
    /// `step` is zero.
    #[must_use]
    pub const fn round_down_to_multiple_of(self, step: Self) -> Self {
        PartsPerMillion(self.0 / step.0 * step.0)
    }

    /// Subtracts another fraction; zero if it is larger than this one.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        PartsPerMillion(self.0.saturating_sub(other.0))
    }
}

impl Sum for PartsPerMillion {
    fn sum<I: Iterator<Item = Self>>(values: I) -> Self {
        PartsPerMillion(values.map(PartsPerMillion::get).sum())
    }
}

impl fmt::Display for PartsPerMillion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Formats the number of parts without the type's name, since log lines have the value in this form.
impl fmt::Debug for PartsPerMillion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}
