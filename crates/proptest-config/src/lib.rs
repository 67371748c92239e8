//! How property tests are seeded: for tests only.

#![warn(clippy::pedantic)]

use proptest::test_runner::{Config, RngSeed};

/// The same cases each run, and no files left behind.
#[must_use]
pub fn deterministic() -> Config {
    Config { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() }
}
