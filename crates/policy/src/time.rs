//! The type of all times and durations in this crate.

/// A duration in milliseconds, or a time in milliseconds since the epoch of the adapter's clock; fractions are
/// significant.
pub type Millis = f64;
