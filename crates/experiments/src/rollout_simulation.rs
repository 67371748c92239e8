//! Days with rollouts in simulated time: the same clients, hosts and versions, with requests routed by proxy
//! configurations, by gateways that decide on each request, and evenly over all hosts. Messages pass without sockets,
//! between the production code of policy, proxy configuration and xDS streams and the resource cache of the tests.
//! The same seed gives the same day.
//!
//! State:
//! - `sizes`: the flags of the command line.
//! - `parameters`: capacity of hosts, timing of the platform, and settings of the policy.
//! - `model`: hosts, requests, attempts, the rollout, and counts.
//! - `outcomes`: counts of attempts by outcome, from which the platform makes its reports.
//! - `gateway`: one gateway with its policy.
//! - `proxy_group`: the proxies and their control service.
//! - `simulation`: one day, its event loop and its requests.
//!
//! Steps of a simulation:
//! - `platform`: rollouts, their hosts, and the platform's reports.
//! - `attempts`: attempts at hosts and their outcomes.
//! - `proxies`: routing by proxies.
//! - `gateways`: routing by gateways.
//! - `exposure`: the check of the canary's traffic against its cap.

mod attempts;
mod exposure;
mod gateway;
mod gateways;
mod model;
mod outcomes;
mod parameters;
mod platform;
mod proxies;
mod proxy_group;
mod simulation;
mod sizes;

use latchhaven_policy::Millis;
use model::{Counts, RoutingMode};
use parameters::MILLIS_PER_SECOND;
use serde_json::{Map, Value, json};
use simulation::{DayResult, Simulation};
pub(crate) use sizes::Sizes;
use std::collections::BTreeMap;

/// Distance between the seeds of the first days for two adjacent values of `--seed`. Runs of at most 1,000 days share
/// no seed.
const SEED_STRIDE: u64 = 1000;

/// The results by which the routing modes are compared.
#[derive(Clone, Copy)]
struct ModeSummary {
    /// Share of the requested value that was served within the latency objective.
    value_within_objective: f64,
    /// Share of the requests that had an attempt at a bad version.
    reached_bad_version: f64,
}

impl ModeSummary {
    fn new(counts: &Counts) -> Self {
        ModeSummary {
            value_within_objective: counts.value_within_objective / counts.value_requested,
            reached_bad_version: counts.reached_bad_version as f64 / counts.requests as f64,
        }
    }
}

/// Simulates the days in all three modes. Returns the results, and `true` if routing by proxies and by gateways
/// exceeded the canary's cap at no check and repeated no non-idempotent request, and if routing by proxies served more
/// value within the objective than even routing, with fewer requests at bad versions.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let mut mode_results_by_name = Map::new();
    let mut is_passed = true;
    let mut summaries = BTreeMap::new();
    for mode in RoutingMode::ALL {
        let mut total = Counts::default();
        let mut days = Vec::new();
        for day in 0..sizes.days {
            let result = run_day(mode, day, sizes);
            days.push(day_results(&result));
            total.add(&result.counts);
        }
        let is_within_limits = total.exposure_samples_over_cap == 0 && total.repeated_non_idempotent == 0;
        is_passed &= mode == RoutingMode::Even || is_within_limits;
        summaries.insert(mode, ModeSummary::new(&total));
        mode_results_by_name.insert(mode.name().to_string(), mode_results(&total, &days));
    }
    let proxies = summaries[&RoutingMode::Proxies];
    let even = summaries[&RoutingMode::Even];
    let is_better = proxies.value_within_objective > even.value_within_objective
        && proxies.reached_bad_version < even.reached_bad_version;
    let results = json!({
        "experiment": "day", "days": sizes.days, "seed": sizes.seed, "fronts": sizes.routers,
        "hosts": sizes.hosts, "seconds": sizes.seconds, "load": sizes.load, "ways": mode_results_by_name,
        "handout_beats_even": is_better,
        "servers": "simulated, in simulated time",
    });
    (results, is_passed && is_better)
}

fn run_day(mode: RoutingMode, day: u64, sizes: &Sizes) -> DayResult {
    let seed = sizes.seed.wrapping_mul(SEED_STRIDE) + day;
    let until = sizes.seconds as Millis * MILLIS_PER_SECOND;
    Simulation::new(mode, seed, sizes).run(until)
}

fn day_results(result: &DayResult) -> Value {
    let summary = ModeSummary::new(&result.counts);
    let versions = result.rollouts.iter().map(|rollout| {
        let quality = if rollout.is_bad { "bad" } else { "good" };
        json!([rollout.version, quality, rollout.conclusion.name()])
    });
    json!({"in_time": summary.value_within_objective, "met_bad": summary.reached_bad_version,
        "builds": versions.collect::<Vec<_>>()})
}

fn mode_results(total: &Counts, days: &[Value]) -> Value {
    let summary = ModeSummary::new(total);
    json!({
        "revenue_in_time": summary.value_within_objective, "met_bad_build": summary.reached_bad_version,
        "not_settled": total.failed as f64 / total.requests as f64, "txns": total.requests,
        "looks": total.exposure_samples, "looks_over_cap": total.exposure_samples_over_cap,
        "once_only_sent_again": total.repeated_non_idempotent, "days": days,
    })
}
