//! Runs gateway processes on loopback under faults drawn from a seed: signals, outages of discovery, and servers that
//! drain, stop and restart at their addresses. Servers are behind links with a delay, some of their values are long and
//! some of their responses are followed by late bytes; other clients stop within large requests. Clients use their connections for as long as these are open, also
//! while a gateway shuts down. The records are checked against the rules of `latchhaven_test_support::history`.
//!
//! - `sizes`: the command line.
//! - `schedule`: the faults and their times, drawn without side effects.
//! - `directory`: the endpoint list, and the discovery service of each gateway.
//! - `gateways`: the gateway processes.
//! - `clients`: client threads and connection floods.
//! - `stopping_clients`: clients that stop within a large request.
//! - `runner`: runs a schedule.

mod clients;
mod directory;
mod gateways;
mod runner;
mod schedule;
mod sizes;
mod stopping_clients;

use runner::SoakRun;
use schedule::Schedule;
use serde_json::{Value, json};
pub(crate) use sizes::Sizes;
use std::time::Duration;

/// Limit of the violations that are printed in full.
const PRINTED_VIOLATIONS: usize = 5;
/// The drain grace period in the gateways' configuration.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Runs the faults of a seed. Returns the results, and `true` if requests were served, no gateway crashed and no rule
/// was violated.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let schedule = Schedule::draw(sizes.seed, sizes.gateways, sizes.servers, sizes.seconds);
    let mut run = SoakRun::start(sizes);
    run.run_schedule(&schedule);
    let records = run.finish();
    let violations = records.history.violations(DRAIN_GRACE_PERIOD);
    let is_passed = violations.is_empty() && records.crashes.is_empty() && records.served > 0;
    let printed: Vec<String> =
        violations.iter().take(PRINTED_VIOLATIONS).map(|violation| format!("{violation:?}")).collect();
    let results = json!({
        "experiment": "soak",
        "seed": sizes.seed,
        "seconds": sizes.seconds,
        "gateways": sizes.gateways,
        "faults": schedule.counts(),
        "requests": records.history.requests.len(),
        "served": records.served,
        "rejected": records.rejected,
        "arrivals": records.history.arrivals.len(),
        "breaks": violations.len(),
        "first_breaks": printed,
        "crashes": records.crashes,
        "passed": is_passed,
    });
    (results, is_passed)
}
