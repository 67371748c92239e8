//! Thousands of proxies on one control service, while versions roll out and hosts are added and drained: the time
//! from a decision until every proxy uses it, and its cost. No version may go back, no reference may dangle, no cap
//! be exceeded.
//!
//! - `sizes`: the command line.
//! - `testbed`: the control service, the platform and the proxies.
//! - `rollout_script`: the decisions of the platform.
//! - `faults`: faults and their times.
//! - `exposure`: samples of the canary's share.
//! - `propagation`: the time until proxies used a decision.

mod exposure;
mod faults;
mod propagation;
mod rollout_script;
mod sizes;
mod testbed;

use exposure::ExposureSamples;
use faults::FaultTimes;
use latchhaven_test_support::process::ResourceUsage;
use propagation::{PropagationTimes, histogram_results, recovery_time};
use rollout_script::{Decision, Expectation, RolloutScript};
use serde_json::{Map, Value, json};
pub(crate) use sizes::Sizes;
use std::thread::sleep;
use std::time::{Duration, Instant};
use testbed::{Testbed, millis};

/// Interval of the platform's decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of samples of the canary's share.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The limit of the 99th percentile of the time until a proxy uses a decision, in ms.
const MAX_P99_MS: u64 = 1_000;
/// The limit of the time until all proxies use a decision, in ms.
const MAX_MS: u64 = 5_000;
/// The longest time until all proxies have started, and until they converge at the end.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The measurements of one run.
struct Measurements {
    /// The time in ms until all proxies had started.
    begun_after: u64,
    all_began: bool,
    decisions: Vec<Decision>,
    exposure: ExposureSamples,
    /// The times in ms until all proxies used the last decision and the last rollout decision; none after a timeout.
    converged_after: Option<Vec<u64>>,
    propagation: PropagationTimes,
    recovered_after: Option<u64>,
    regressions: u64,
    dangling: u64,
    rejected: u64,
    usage: ResourceUsage,
    counters: Vec<(String, u64)>,
    /// The duration of the experiment, in seconds.
    seconds: f64,
}

/// Runs the experiment; returns its results, and whether they meet all requirements.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let mut testbed = Testbed::start(sizes);
    let measurements = measure(sizes, &mut testbed);
    testbed.stop();
    let broken = broken_requirements(&measurements);
    (results(sizes, measurements, &broken), broken.is_empty())
}

fn measure(sizes: &Sizes, testbed: &mut Testbed) -> Measurements {
    let all_began = testbed.wait_for_all(Expectation::INITIAL, CONVERGENCE_TIMEOUT).is_some();
    let begun_after = millis(testbed.started_at.elapsed());
    let mut script = RolloutScript::new(testbed.platform.clone(), sizes.hosts, sizes.seed);
    let mut faults = FaultTimes::default();
    let mut exposure = ExposureSamples::default();
    let mut decisions = Vec::new();
    let start = Instant::now();
    let mut next_decision = Instant::now();
    while start.elapsed() < Duration::from_secs(sizes.seconds) {
        if Instant::now() >= next_decision {
            next_decision += DECISION_INTERVAL;
            decisions.push(script.step());
        }
        faults.advance(start.elapsed(), sizes, testbed);
        exposure.sample(testbed, &script, &faults);
        sleep(SAMPLE_INTERVAL);
    }
    let converged_after = wait_for_convergence(&decisions, testbed);
    let usage = testbed.control.resource_usage();
    let counters = testbed.control.counters();
    let seconds = testbed.started_at.elapsed().as_secs_f64();
    Measurements {
        begun_after,
        all_began,
        exposure,
        converged_after,
        propagation: PropagationTimes::measure(&decisions, testbed, &faults),
        recovered_after: recovery_time(&decisions, testbed, &faults),
        regressions: testbed.sum(|cache| cache.version_regressions),
        dangling: testbed.sum(|cache| cache.dangling_responses),
        rejected: testbed.sum(|cache| cache.rejected_responses),
        decisions,
        usage,
        counters,
        seconds,
    }
}

/// Waits until all proxies use the last decision, and the last one on the rollout.
fn wait_for_convergence(decisions: &[Decision], testbed: &Testbed) -> Option<Vec<u64>> {
    let is_rollout = |decision: &&Decision| matches!(decision.expectation, Expectation::Rollout { .. });
    let last_rollout = decisions.iter().rev().find(is_rollout);
    let awaited = [decisions.last(), last_rollout].into_iter().flatten();
    awaited.map(|decision| testbed.wait_for_all(decision.expectation, CONVERGENCE_TIMEOUT)).collect()
}

fn broken_requirements(measured: &Measurements) -> Vec<&'static str> {
    let undisturbed = &measured.propagation.undisturbed;
    let has_converged = measured.converged_after.is_some() && measured.propagation.never_used == 0;
    let requirements = [
        ("all proxies began", measured.all_began),
        ("nothing went back", measured.regressions == 0),
        ("no reference dangled", measured.dangling == 0),
        ("the cap was kept", measured.exposure.breaches == 0),
        ("all converged", has_converged),
        ("p99 in time", undisturbed.value_at_quantile(0.99) < MAX_P99_MS),
        ("all in time", undisturbed.max() < MAX_MS),
    ];
    requirements.iter().filter(|(_, is_met)| !is_met).map(|(name, _)| *name).collect()
}

fn results(sizes: &Sizes, measured: Measurements, broken: &[&str]) -> Value {
    let counters = measured.counters.into_iter();
    let counters: Map<String, Value> = counters.map(|(name, value)| (name, json!(value))).collect();
    let usage = measured.usage;
    let exposure = measured.exposure;
    json!({
        "experiment": "xds", "proxies": sizes.proxies, "hosts": sizes.hosts, "seconds": sizes.seconds,
        "seed": sizes.seed, "incremental": sizes.incremental, "kill_control": sizes.kill_control,
        "reconnect_all": sizes.reconnect_all, "nack": sizes.nack, "partition": sizes.partition,
        "decisions": measured.decisions.len(), "all_began_ms": measured.begun_after,
        "to_use": histogram_results(&measured.propagation.undisturbed),
        "to_use_of_those_struck": histogram_results(&measured.propagation.disturbed),
        "recovered_all_ms": measured.recovered_after, "converged_ms": measured.converged_after,
        "never_used": measured.propagation.never_used, "regressions": measured.regressions,
        "dangling": measured.dangling, "refused": measured.rejected, "looks": exposure.count,
        "cap_breaches": exposure.breaches, "worst_over_cap": exposure.worst_excess.max(0.0),
        "held_by_those_out_of_reach": exposure.max_unreachable_share, "cpu_s": usage.cpu_seconds,
        "cpu_share": usage.cpu_seconds / measured.seconds, "peak_mib": usage.peak_memory_mib, "sent": counters,
        "broken": broken, "cores": std::thread::available_parallelism().map_or(0, usize::from),
        "servers": "simulated",
    })
}
