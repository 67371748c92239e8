//! Fractions in parts per million: the unit of traffic caps, route weights and drop rates.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;

/// Parts of the fraction 1.
const MILLION: u32 = 1_000_000;

/// A fraction in parts per million. A value in a stored record may exceed 1.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartsPerMillion(u32);

impl PartsPerMillion {
    /// The fraction 0.
    pub const ZERO: Self = PartsPerMillion(0);
    /// The fraction 1.
    pub const FULL: Self = PartsPerMillion(MILLION);

    /// A number of parts per million.
    #[must_use]
    pub const fn new(parts: u32) -> Self {
        PartsPerMillion(parts)
    }

    /// The number of parts.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The largest number of parts that does not exceed a fraction, which is clamped to `0.0..=1.0`.
    #[must_use]
    pub fn from_fraction_floor(fraction: f64) -> Self {
        let parts = fraction.clamp(0.0, 1.0) * f64::from(MILLION);
        PartsPerMillion(parts.floor() as u32)
    }

    /// The number of parts nearest to a fraction, which is clamped to `0.0..=1.0`.
    #[must_use]
    pub fn from_fraction_nearest(fraction: f64) -> Self {
        let parts = fraction.clamp(0.0, 1.0) * f64::from(MILLION);
        PartsPerMillion(parts.round() as u32)
    }

    /// This value as a fraction.
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        self.of(1.0)
    }

    /// This fraction of an amount. Multiplies first, then divides.
    #[must_use]
    pub fn of(self, amount: f64) -> f64 {
        amount * f64::from(self.0) / f64::from(MILLION)
    }

    /// The largest multiple of a step that does not exceed this value; the step must not be zero.
    #[must_use]
    pub const fn floor_to(self, step: Self) -> Self {
        PartsPerMillion(self.0 / step.0 * step.0)
    }

    /// The difference, or zero where the other value is larger.
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

/// The number of parts, as in logs.
impl fmt::Debug for PartsPerMillion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}
