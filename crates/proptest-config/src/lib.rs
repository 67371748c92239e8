//! The configuration of property tests. Used by tests only.

#![warn(clippy::pedantic)]

use proptest::test_runner::{Config, RngSeed};

/// A fixed seed, so that each run generates the same cases, and no files of failed cases.
#[must_use]
pub fn deterministic() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() }
}
