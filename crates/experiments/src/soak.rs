//! Gateways as processes on loopback under faults by seed: signals in series, outages of discovery, servers that drain,
//! vanish and return at their addresses, and clients that use their connections until the kill. What was seen is judged
//! by the rules of `latchhaven_test_support::history`.
//!
//! - `sizes`: the command line.
//! - `schedule`: pure: which faults, and when.
//! - `directory`: the endpoint list, and the discovery service of each gateway.
//! - `fleet`: the gateways' processes.
//! - `clients`: clients, and floods of connections of them.
//! - `runner`: plays a schedule.

mod clients;
mod directory;
mod fleet;
mod runner;
mod schedule;
mod sizes;

use runner::Run;
use schedule::Schedule;
use serde_json::{Value, json};
pub(crate) use sizes::Sizes;
use std::time::Duration;

/// Broken rules that are printed one by one.
const PRINTED_BREAKS: usize = 5;
/// The grace of drains in the gateways' configuration.
const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Plays the faults of a seed; the figures, and whether all rules were kept.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let schedule = Schedule::draw(sizes.seed, sizes.gateways, sizes.servers, sizes.seconds);
    let mut run = Run::start(sizes);
    run.play(&schedule);
    let outcome = run.finish();
    let breaks = outcome.history.breaks(DRAIN_GRACE);
    let is_passed = breaks.is_empty() && outcome.crashes.is_empty() && outcome.served > 0;
    let printed: Vec<String> = breaks.iter().take(PRINTED_BREAKS).map(|found| format!("{found:?}")).collect();
    let figures = json!({
        "experiment": "soak",
        "seed": sizes.seed,
        "seconds": sizes.seconds,
        "gateways": sizes.gateways,
        "faults": schedule.counts(),
        "requests": outcome.history.requests.len(),
        "served": outcome.served,
        "rejected": outcome.rejected,
        "arrivals": outcome.history.arrivals.len(),
        "breaks": breaks.len(),
        "first_breaks": printed,
        "crashes": outcome.crashes,
        "passed": is_passed,
    });
    (figures, is_passed)
}
