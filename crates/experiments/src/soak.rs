//! Gateway processes on loopback under faults drawn by seed: signals, outages of discovery, servers that drain, stop
//! and restart at their addresses, and clients that use their connections until a gateway is killed. The records are
//! checked against the rules of `latchhaven_test_support::history`.
//!
//! - `sizes`: the command line.
//! - `schedule`: the faults and their times; pure.
//! - `directory`: the endpoint list, and the discovery service of each gateway.
//! - `gateways`: the gateway processes.
//! - `clients`: clients and connection floods.
//! - `runner`: runs a schedule.

mod clients;
mod directory;
mod gateways;
mod runner;
mod schedule;
mod sizes;

use runner::Run;
use schedule::Schedule;
use serde_json::{Value, json};
pub(crate) use sizes::Sizes;
use std::time::Duration;

/// Violations that are printed individually.
const PRINTED_VIOLATIONS: usize = 5;
/// The drain grace in the gateways' configuration.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Runs the faults of a seed; returns the results, and whether there were no violations.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let schedule = Schedule::draw(sizes.seed, sizes.gateways, sizes.servers, sizes.seconds);
    let mut run = Run::start(sizes);
    run.play(&schedule);
    let outcome = run.finish();
    let violations = outcome.history.violations(DRAIN_GRACE);
    let is_passed = violations.is_empty() && outcome.crashes.is_empty() && outcome.served > 0;
    let printed: Vec<String> =
        violations.iter().take(PRINTED_VIOLATIONS).map(|found| format!("{found:?}")).collect();
    let results = json!({
        "experiment": "soak",
        "seed": sizes.seed,
        "seconds": sizes.seconds,
        "gateways": sizes.gateways,
        "faults": schedule.counts(),
        "requests": outcome.history.requests.len(),
        "served": outcome.served,
        "rejected": outcome.rejected,
        "arrivals": outcome.history.arrivals.len(),
        "breaks": violations.len(),
        "first_breaks": printed,
        "crashes": outcome.crashes,
        "passed": is_passed,
    });
    (results, is_passed)
}
