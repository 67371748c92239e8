//! Connects thousands of proxies to one control service while versions roll out and hosts are drained and listed
//! again. Measures the time from a decision of the platform until every proxy uses it, and what the control service
//! consumes. No proxy may get an older version or a reference to a missing resource, and no cap may be exceeded.
//!
//! - `sizes`: the command line.
//! - `testbed`: the control service, the platform and the proxies.
//! - `rollout_script`: the decisions that the platform reports.
//! - `faults`: the faults and when they begin and end.
//! - `exposure`: samples of the canary's traffic share.
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
/// Interval of samples of the canary's traffic share.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The 99th percentile of the time until a proxy uses a decision must be below this.
const MAX_P99_MS: u64 = 1_000;
/// The longest time until a proxy uses a decision must be below this.
const MAX_PROPAGATION_MS: u64 = 5_000;
/// Timeout for the start of all proxies, and for each decision that all proxies must use at the end.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// The measurements of one run.
struct Measurements {
    /// Time in milliseconds until all proxies used the first configuration, or until the timeout.
    started_after: u64,
    /// Set when all proxies used the first configuration before the timeout.
    all_started: bool,
    decisions: Vec<Decision>,
    exposure: ExposureSamples,
    /// Times in milliseconds until all proxies used the last decision and the last rollout decision; `None` after a
    /// timeout.
    converged_after: Option<Vec<u64>>,
    propagation: PropagationTimes,
    /// See [`recovery_time`]; in milliseconds.
    recovered_after: Option<u64>,
    /// Responses or resources that proxies got in an older version than before.
    regressions: u64,
    /// Responses after which a proxy had a reference to a missing resource.
    dangling: u64,
    /// Responses that proxies rejected.
    rejected: u64,
    usage: ResourceUsage,
    /// Counters of the control service, by name.
    counters: Vec<(String, u64)>,
    /// Time since the testbed started, in seconds.
    seconds: f64,
}

/// Runs the experiment. Returns the results, and `true` if they meet all requirements.
pub(crate) fn run(sizes: &Sizes) -> (Value, bool) {
    let mut testbed = Testbed::start(sizes);
    let measurements = measure(sizes, &mut testbed);
    testbed.stop();
    let unmet = unmet_requirements(&measurements);
    (results(sizes, measurements, &unmet), unmet.is_empty())
}

fn measure(sizes: &Sizes, testbed: &mut Testbed) -> Measurements {
    let all_started = testbed.wait_for_all(Expectation::INITIAL, CONVERGENCE_TIMEOUT).is_some();
    let started_after = millis(testbed.started_at.elapsed());
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
        started_after,
        all_started,
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

/// Waits until all proxies use the last decision and the last rollout decision; returns the time in milliseconds for
/// each, or `None` after a timeout.
fn wait_for_convergence(decisions: &[Decision], testbed: &Testbed) -> Option<Vec<u64>> {
    let is_rollout = |decision: &&Decision| matches!(decision.expectation, Expectation::Rollout { .. });
    let last_rollout = decisions.iter().rev().find(is_rollout);
    let expected = [decisions.last(), last_rollout].into_iter().flatten();
    expected.map(|decision| testbed.wait_for_all(decision.expectation, CONVERGENCE_TIMEOUT)).collect()
}

fn unmet_requirements(measured: &Measurements) -> Vec<&'static str> {
    let undisturbed = &measured.propagation.undisturbed;
    let has_converged = measured.converged_after.is_some() && measured.propagation.never_used == 0;
    let requirements = [
        ("all proxies began", measured.all_started),
        ("nothing went back", measured.regressions == 0),
        ("no reference dangled", measured.dangling == 0),
        ("the cap was kept", measured.exposure.breaches == 0),
        ("all converged", has_converged),
        ("p99 in time", undisturbed.value_at_quantile(0.99) < MAX_P99_MS),
        ("all in time", undisturbed.max() < MAX_PROPAGATION_MS),
    ];
    requirements.iter().filter(|(_, is_met)| !is_met).map(|(name, _)| *name).collect()
}

fn results(sizes: &Sizes, measured: Measurements, unmet: &[&str]) -> Value {
    let counters = measured.counters.into_iter();
    let counters: Map<String, Value> = counters.map(|(name, value)| (name, json!(value))).collect();
    let usage = measured.usage;
    let exposure = measured.exposure;
    json!({
        "experiment": "xds", "proxies": sizes.proxies, "hosts": sizes.hosts, "seconds": sizes.seconds,
        "seed": sizes.seed, "incremental": sizes.incremental, "kill_control": sizes.kill_control,
        "reconnect_all": sizes.reconnect_all, "nack": sizes.nack, "partition": sizes.partition,
        "decisions": measured.decisions.len(), "all_began_ms": measured.started_after,
        "to_use": histogram_results(&measured.propagation.undisturbed),
        "to_use_of_those_struck": histogram_results(&measured.propagation.disturbed),
        "recovered_all_ms": measured.recovered_after, "converged_ms": measured.converged_after,
        "never_used": measured.propagation.never_used, "regressions": measured.regressions,
        "dangling": measured.dangling, "refused": measured.rejected, "looks": exposure.count,
        "cap_breaches": exposure.breaches, "worst_over_cap": exposure.worst_excess.max(0.0),
        "held_by_those_out_of_reach": exposure.max_affected_share, "cpu_s": usage.cpu_seconds,
        "cpu_share": usage.cpu_seconds / measured.seconds, "peak_mib": usage.peak_memory_mib, "sent": counters,
        "broken": unmet, "cores": std::thread::available_parallelism().map_or(0, usize::from),
        "servers": "simulated",
    })
}
