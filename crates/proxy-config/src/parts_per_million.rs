//! Fractions in parts of a million: the unit of traffic caps, route weights and drop rates.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::iter::Sum;

/// Parts of one whole.
const MILLION: u32 = 1_000_000;

/// A fraction in parts of a million. Values read from a stored record are taken as they are, also above one whole.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartsPerMillion(u32);

impl PartsPerMillion {
    /// Nothing.
    pub const ZERO: Self = PartsPerMillion(0);
    /// One whole.
    pub const FULL: Self = PartsPerMillion(MILLION);

    /// So many parts of a million.
    pub const fn new(parts: u32) -> Self {
        PartsPerMillion(parts)
    }

    /// The number of parts.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The largest number of parts that does not exceed a fraction, which is clamped to `0.0..=1.0`.
    pub fn from_fraction_floor(fraction: f64) -> Self {
        let parts = fraction.clamp(0.0, 1.0) * f64::from(MILLION);
        PartsPerMillion(parts.floor() as u32)
    }

    /// The number of parts nearest to a fraction, which is clamped to `0.0..=1.0`.
    pub fn from_fraction_nearest(fraction: f64) -> Self {
        let parts = fraction.clamp(0.0, 1.0) * f64::from(MILLION);
        PartsPerMillion(parts.round() as u32)
    }

    /// This part of one whole.
    pub fn as_fraction(self) -> f64 {
        self.of(1.0)
    }

    /// This part of an amount. The product is formed first, then divided.
    pub fn of(self, amount: f64) -> f64 {
        amount * f64::from(self.0) / f64::from(MILLION)
    }

    /// The largest multiple of a step that does not exceed this value; the step must not be zero.
    pub const fn floor_to(self, step: Self) -> Self {
        PartsPerMillion(self.0 / step.0 * step.0)
    }

    /// The difference, or zero where the other value is larger.
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

/// The plain number, as logs show it.
impl fmt::Debug for PartsPerMillion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}
