//! The unit of time of all decisions.

/// Milliseconds, with fractions.
pub type Millis = f64;
