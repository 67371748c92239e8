//! Days with rollouts in simulated time: the same clients, hosts and versions, with requests routed by proxy
//! configurations, by gateways that decide on each request, and evenly over all hosts. There are no sockets; the
//! policy, configurations, streams and caches are the real ones. The same seed gives the same day.
//!
//! State:
//! - `sizes`: the command line.
//! - `parameters`: sizes of hosts, times of the platform, and settings of the policy.
//! - `model`: hosts, requests, attempts, the rollout, and counts.
//! - `outcomes`: outcomes that the platform has not reported yet.
//! - `gateway`: one gateway with its policy.
//! - `proxy_group`: the proxies and their control service.
//! - `simulation`: one day, its events and its requests.
//!
//! Steps of a simulation:
//! - `platform`: rollouts, their hosts, and the platform's reports.
//! - `attempts`: attempts at hosts and their outcomes.
//! - `proxies`: routing by proxies.
//! - `gateways`: routing by gateways.
//! - `exposure`: the limit on the canary's share of all requests.

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

/// The distance between the seeds of experiments with adjacent seeds.
const SEED_FACTOR: u64 = 1000;

/// The results of one mode that are compared with the other modes.
#[derive(Clone, Copy)]
struct Summary {
    value_in_time: f64,
    met_bad_version: f64,
}

impl Summary {
    fn new(counts: &Counts) -> Self {
        Summary {
            value_in_time: counts.value_in_time / counts.value_requested,
            met_bad_version: counts.met_bad_version as f64 / counts.requests as f64,
        }
    }
}

/// Simulates the days in all three modes; returns the results, and whether they meet all requirements.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let mut rows = Map::new();
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
        let is_within_limits = total.samples_over_cap == 0 && total.repeated_non_idempotent == 0;
        is_passed &= mode == RoutingMode::Even || is_within_limits;
        summaries.insert(mode, Summary::new(&total));
        rows.insert(mode.name().to_string(), mode_results(&total, &days));
    }
    let proxies = summaries[&RoutingMode::Proxies];
    let even = summaries[&RoutingMode::Even];
    let is_better =
        proxies.value_in_time > even.value_in_time && proxies.met_bad_version < even.met_bad_version;
    let results = json!({
        "experiment": "day", "days": sizes.days, "seed": sizes.seed, "fronts": sizes.fronts, "hosts": sizes.hosts,
        "seconds": sizes.seconds, "load": sizes.load, "ways": rows, "handout_beats_even": is_better,
        "servers": "simulated, in simulated time",
    });
    (results, is_passed && is_better)
}

fn run_day(mode: RoutingMode, day: u64, sizes: &Sizes) -> DayResult {
    let seed = sizes.seed.wrapping_mul(SEED_FACTOR) + day;
    let until = sizes.seconds as Millis * MILLIS_PER_SECOND;
    Simulation::new(mode, seed, sizes).run(until)
}

fn day_results(result: &DayResult) -> Value {
    let summary = Summary::new(&result.counts);
    let versions = result.rollouts.iter().map(|rollout| {
        let quality = if rollout.is_bad { "bad" } else { "good" };
        json!([rollout.version, quality, rollout.end])
    });
    json!({"in_time": summary.value_in_time, "met_bad": summary.met_bad_version,
        "builds": versions.collect::<Vec<_>>()})
}

fn mode_results(total: &Counts, days: &[Value]) -> Value {
    let summary = Summary::new(total);
    json!({
        "revenue_in_time": summary.value_in_time, "met_bad_build": summary.met_bad_version,
        "not_settled": total.failed as f64 / total.requests as f64, "txns": total.requests,
        "looks": total.samples, "looks_over_cap": total.samples_over_cap,
        "once_only_sent_again": total.repeated_non_idempotent, "days": days,
    })
}
