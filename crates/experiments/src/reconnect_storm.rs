//! Simulates, in simulated time, the reconnect storm after the loss of a gateway with many connected clients. The
//! client library is compared with three reconnect styles of applications that do without it. The same seed gives
//! the same clients, calls and loss.
//!
//! - `sizes`: the command line.
//! - `model`: gateways, clients, calls and counts.
//! - `simulation`: the event loop, calls and their outcomes.
//! - `connections`: connection attempts and reconnects of clients.
//! - `gateway_work`: the work queues of gateways, and the loss of one gateway.

mod connections;
mod gateway_work;
mod model;
mod simulation;
mod sizes;

use latchhaven_policy::Millis;
use model::{Counts, GATEWAY_LOST_AT, MILLIS_PER_SECOND, ReconnectStyle};
use serde_json::{Map, Value, json};
use simulation::Simulation;
pub(crate) use sizes::Sizes;
use std::collections::BTreeMap;

/// Seconds from the loss in which connection attempts are counted.
const COUNTED_SECONDS: u64 = 25;
/// Seconds from the loss for which the connection attempts of each second are printed.
const PRINTED_SECONDS: u64 = 12;
/// Required range of the time from the loss until 99 % of the disconnected clients are served again.
const RECOVERY_RANGE: std::ops::RangeInclusive<Millis> = 3_000.0..=10_000.0;
/// The library's peak of connection attempts per second must be below the peak of immediate reconnects divided by
/// this number.
const PEAK_DIVISOR: u64 = 5;

/// The results of one style that are compared with the other styles.
#[derive(Clone, Copy)]
struct Summary {
    /// Share of the requested value that was served within the latency objective.
    value_in_time: f64,
    /// Highest number of connection attempts in one second.
    peak_connects: u64,
    /// Payments that were executed more than once.
    repeated_payments: u64,
    /// Time from the loss until 99 % of the disconnected clients were served again; `None` if fewer were.
    recovered_99: Option<Millis>,
}

/// Runs the simulation once per reconnect style; returns the results, and `true` if the library met all requirements.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let until = sizes.seconds as Millis * MILLIS_PER_SECOND;
    let mut rows = Map::new();
    let mut summaries: BTreeMap<ReconnectStyle, Summary> = BTreeMap::new();
    for style in ReconnectStyle::ALL {
        let mut counts = Simulation::new(style, sizes).run(until);
        counts.recovered_after.sort_by(f64::total_cmp);
        let summary = summarize(&counts);
        rows.insert(style.name().to_string(), style_results(&counts, &summary));
        summaries.insert(style, summary);
    }
    let unmet = unmet_requirements(&summaries);
    let is_passed = unmet.is_empty();
    let results = json!({"experiment": "crowd", "clients": sizes.clients, "gateways": sizes.gateways,
        "seconds": sizes.seconds, "seed": sizes.seed, "load": sizes.load, "ways": rows, "broken": unmet,
        "servers": "simulated, in simulated time"});
    (results, is_passed)
}

/// Connection attempts per second in the first `seconds` from the loss; seconds without attempts are left out.
fn connects_after_loss(counts: &Counts, seconds: u64) -> impl Iterator<Item = u64> {
    let lost_second = (GATEWAY_LOST_AT / MILLIS_PER_SECOND) as u64;
    counts.connects_by_second.range(lost_second..lost_second + seconds).map(|(_, connects)| *connects)
}

/// Time from the loss until `share` of the disconnected clients was served again; `None` if fewer were. Requires that
/// `counts.recovered_after` is sorted.
fn recovered(counts: &Counts, share: f64) -> Option<Millis> {
    let count = (counts.disconnected as f64 * share).ceil() as usize;
    counts.recovered_after.get(count.saturating_sub(1)).copied()
}

fn summarize(counts: &Counts) -> Summary {
    let repeated = counts.executions.values().filter(|executions| **executions > 1);
    Summary {
        value_in_time: counts.value_in_time / counts.value_requested,
        peak_connects: connects_after_loss(counts, COUNTED_SECONDS).max().unwrap_or(0),
        repeated_payments: repeated.count() as u64,
        recovered_99: recovered(counts, 0.99),
    }
}

fn style_results(counts: &Counts, summary: &Summary) -> Value {
    json!({
        "struck": counts.disconnected, "dials_peak_a_second": summary.peak_connects,
        "dials_in_25_s": connects_after_loss(counts, COUNTED_SECONDS).sum::<u64>(),
        "served_again_half_ms": recovered(counts, 0.5), "served_again_99_ms": recovered(counts, 0.99),
        "revenue_in_time": summary.value_in_time, "wasted_work": counts.wasted_work / counts.work,
        "payments_repeated": summary.repeated_payments, "unknown": counts.unknown_outcomes,
        "longest_queue": counts.longest_queue,
        "dials_by_second": connects_after_loss(counts, PRINTED_SECONDS).collect::<Vec<_>>(),
    })
}

fn unmet_requirements(summaries: &BTreeMap<ReconnectStyle, Summary>) -> Vec<&'static str> {
    let library = summaries[&ReconnectStyle::Library];
    let immediate = summaries[&ReconnectStyle::Immediate];
    let others = [ReconnectStyle::Immediate, ReconnectStyle::FixedDelay, ReconnectStyle::Exponential];
    let is_best = others.iter().all(|style| summaries[style].value_in_time < library.value_in_time);
    let has_recovered_in_range = library.recovered_99.is_some_and(|time| RECOVERY_RANGE.contains(&time));
    let requirements = [
        ("no payment twice", library.repeated_payments == 0),
        ("returns spread over 3 to 10 s", has_recovered_in_range),
        (
            "peak below a fifth of the immediate one's",
            library.peak_connects * PEAK_DIVISOR < immediate.peak_connects,
        ),
        ("revenue lost lower than each baseline's", is_best),
    ];
    requirements.iter().filter(|(_, is_met)| !is_met).map(|(name, _)| *name).collect()
}
