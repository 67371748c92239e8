//! Verdicts on a canary by the outcomes of this gateway's own attempts.

use crate::support::{SentAttempt, TestConfig, TestGateway, fail_every, slowed, succeed, with_canary};
use latchhaven_policy::{AttemptOutcome, EndpointStatus, Millis, RolloutPhase, Verdict, Version};
use rstest::rstest;

const BASELINE: Version = Version(1);
const CANARY: Version = Version(2);
/// Latency of a healthy endpoint.
const LATENCY: Millis = 50.0;

fn is_canary(sent: &SentAttempt) -> bool {
    sent.version == CANARY
}

/// Succeeds after `slow` if `is_slow`, else after the latency of a healthy endpoint.
fn succeed_after(is_slow: bool, slow: Millis) -> (AttemptOutcome, Millis) {
    (AttemptOutcome::Success, if is_slow { slow } else { LATENCY })
}

/// Returns an error for one in `count` requests if `is_faulty`, else succeeds.
fn fail_if(is_faulty: bool, count: u32, sent: &SentAttempt) -> (AttemptOutcome, Millis) {
    if is_faulty { fail_every(count, sent, AttemptOutcome::Error) } else { succeed(sent) }
}

fn age(sent: &SentAttempt) -> Millis {
    sent.sent_at - sent.started_at
}

/// A version that is worse than the baseline is rolled back. A version whose endpoints only warm up, of which a single
/// endpoint is faulty, or whose faults the baseline shares is promoted.
#[rstest]
#[case::fails(|sent: &SentAttempt| fail_if(is_canary(sent), 5, sent), true)]
#[case::too_late(|sent: &SentAttempt| succeed_after(is_canary(sent), 700.0), true)]
#[case::slow_but_in_time(|sent: &SentAttempt| succeed_after(is_canary(sent), 150.0), true)]
#[case::fails_late(|sent: &SentAttempt| fail_if(is_canary(sent) && age(sent) > 6000.0, 3, sent), true)]
#[case::slows_all(slowed, true)]
#[case::good(succeed, false)]
#[case::both_fail(|sent: &SentAttempt| fail_every(10, sent, AttemptOutcome::Error), false)]
#[case::warming_endpoints(
    |sent: &SentAttempt| succeed_after(is_canary(sent) && age(sent) < 4000.0, 110.0),
    false
)]
#[case::one_faulty_endpoint(|sent: &SentAttempt| fail_if(sent.endpoint == "a7", 3, sent), false)]
#[case::one_slow_endpoint(|sent: &SentAttempt| succeed_after(sent.endpoint == "a7", 400.0), false)]
fn verdict_distinguishes_bad_versions_from_outliers(
    #[case] behavior: fn(&SentAttempt) -> (AttemptOutcome, Millis), #[case] is_bad: bool,
) {
    let mut gateway = with_canary(TestConfig::default(), 1, 0.5, behavior);
    gateway.serve_for(15_000.0, 2);
    assert_eq!(gateway.has_voted(CANARY, Verdict::RollBack), is_bad, "{:?}", gateway.logs());
    assert!(is_bad || gateway.has_voted(CANARY, Verdict::Promote));
}

/// All endpoints become slower when the canary starts. If the load per endpoint grows at the same time, the load
/// explains the slowdown, and a rollback would not help.
#[rstest]
#[case::same_load(8, true)]
#[case::four_times_the_load(2, false)]
fn slowdown_under_more_load_is_not_attributed_to_canary(#[case] every: usize, #[case] is_bad: bool) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, slowed);
    gateway.serve_for(4000.0, 8);
    gateway.start_endpoints(&["a7", "b8", "b9"], CANARY);
    gateway.update_rollout(CANARY, 1, RolloutPhase::Canary, 0.5);
    gateway.serve_for(8000.0, every);
    assert_eq!(gateway.has_voted(CANARY, Verdict::RollBack), is_bad);
}

/// The baseline's endpoints are removed, then the canary starts to fail: without a baseline, its failures are compared
/// with those before the canary.
#[rstest]
#[case::fails(12, true)]
#[case::fails_no_more_than_before(1000, false)]
fn canary_without_baseline_is_compared_with_the_time_before(#[case] one_in: u32, #[case] is_bad: bool) {
    let behavior =
        move |sent: &SentAttempt| fail_if(is_canary(sent) && sent.sent_at > 117_000.0, one_in, sent);
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, behavior);
    gateway.update_rollout(BASELINE, 2, RolloutPhase::Promoted, 1.0);
    gateway.serve_for(12_000.0, 2);
    gateway.start_endpoints(&["a7", "b8", "b9"], CANARY);
    gateway.update_rollout(CANARY, 1, RolloutPhase::Canary, 0.5);
    gateway.serve_for(4000.0, 2);
    for name in ["a0", "a1", "b2", "b3"] {
        gateway.update_endpoint(name, BASELINE, EndpointStatus::Removed, 0.0);
    }
    gateway.update_rollout(CANARY, 2, RolloutPhase::Canary, 1.0);
    gateway.serve_for(10_000.0, 2);
    assert_eq!(gateway.has_voted(CANARY, Verdict::RollBack), is_bad);
}

/// All endpoints are slow from 3 s before the canary starts on, and slower still shortly after: a rollback would not
/// restore the earlier latencies.
#[test]
fn canary_is_not_rolled_back_for_earlier_slowness() {
    let elapsed = |sent_at: Millis| match sent_at {
        at if at < 104_000.0 => LATENCY,
        at if at < 107_100.0 => 200.0,
        _ => 420.0,
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, move |sent: &SentAttempt| {
        (AttemptOutcome::Success, elapsed(sent.sent_at))
    });
    gateway.update_rollout(BASELINE, 2, RolloutPhase::Promoted, 1.0);
    gateway.serve_for(7000.0, 2);
    gateway.start_endpoints(&["a7", "b8", "b9"], CANARY);
    gateway.update_rollout(CANARY, 0, RolloutPhase::Canary, 0.5);
    gateway.serve_for(8000.0, 2);
    assert!(!gateway.has_voted(CANARY, Verdict::RollBack));
}
