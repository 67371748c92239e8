//! Verdicts from own outcomes.

use crate::support::{SentAttempt, TestConfig, TestGateway, fail_every, slowed, succeed, with_canary};
use latchhaven_policy::{AttemptOutcome, EndpointStatus, Millis, RolloutPhase, Verdict, Version};
use rstest::rstest;

#[rstest]
#[case::fails(|sent: &SentAttempt| if sent.version == Version(2) { fail_every(5, sent, AttemptOutcome::Error) } else { succeed(sent) }, true)]
#[case::too_late(|sent: &SentAttempt| (AttemptOutcome::Success, if sent.version == Version(2) { 700.0 } else { 50.0 }), true)]
#[case::slow_but_in_time(|sent: &SentAttempt| (AttemptOutcome::Success, if sent.version == Version(2) { 150.0 } else { 50.0 }), true)]
#[case::fails_late(
    |sent: &SentAttempt| if sent.version == Version(2) && sent.at - sent.started_at > 6000.0 { fail_every(3, sent, AttemptOutcome::Error) } else { succeed(sent) },
    true
)]
#[case::slows_all(slowed, true)]
#[case::good(succeed, false)]
#[case::both_fail(|sent: &SentAttempt| fail_every(10, sent, AttemptOutcome::Error), false)]
#[case::warming_endpoints(
    |sent: &SentAttempt| (AttemptOutcome::Success, if sent.version == Version(2) && sent.at - sent.started_at < 4000.0 { 110.0 } else { 50.0 }),
    false
)]
#[case::one_faulty_endpoint(
    |sent: &SentAttempt| if sent.endpoint == "a7" { fail_every(3, sent, AttemptOutcome::Error) } else { succeed(sent) },
    false
)]
#[case::one_slow_endpoint(|sent: &SentAttempt| (AttemptOutcome::Success, if sent.endpoint == "a7" { 400.0 } else { 50.0 }), false)]
fn verdict_distinguishes_bad_versions_from_outliers(
    #[case] behavior: fn(&SentAttempt) -> (AttemptOutcome, Millis), #[case] bad: bool,
) {
    let mut gateway = with_canary(TestConfig::default(), 1, 0.5, behavior);
    gateway.serve_for(15_000.0, 2);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad, "{:?}", gateway.logs());
    assert!(bad || gateway.has_voted(Version(2), Verdict::Promote));
}

#[rstest]
#[case::same_load(8, true)]
#[case::four_times_the_load(2, false)]
fn slowdown_under_more_load_is_not_attributed_to_canary(#[case] every: usize, #[case] bad: bool) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, slowed);
    gateway.serve_for(4000.0, 8);
    gateway.start_endpoints(&["a7", "b8", "b9"], Version(2));
    gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5);
    gateway.serve_for(8000.0, every);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad);
}

#[rstest]
#[case::fails(12, true)]
#[case::fails_no_more_than_before(1000, false)]
fn canary_without_baseline_is_compared_with_the_time_before(#[case] one_in: u32, #[case] bad: bool) {
    let behavior = move |sent: &SentAttempt| match sent.version {
        Version(2) if sent.at > 117_000.0 => fail_every(one_in, sent, AttemptOutcome::Error),
        _ => succeed(sent),
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, behavior);
    gateway.update_rollout(Version(1), 2, RolloutPhase::Promoted, 1.0);
    gateway.serve_for(12_000.0, 2);
    gateway.start_endpoints(&["a7", "b8", "b9"], Version(2));
    gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5);
    gateway.serve_for(4000.0, 2);
    for name in ["a0", "a1", "b2", "b3"] {
        gateway.update_endpoint(name, Version(1), EndpointStatus::Removed, 0.0);
    }
    gateway.update_rollout(Version(2), 2, RolloutPhase::Canary, 1.0);
    gateway.serve_for(10_000.0, 2);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad);
}

#[test]
fn canary_is_not_rolled_back_for_earlier_slowness() {
    let elapsed = |at: Millis| match at {
        at if at < 104_000.0 => 50.0,
        at if at < 107_100.0 => 200.0,
        _ => 420.0,
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, move |sent: &SentAttempt| {
        (AttemptOutcome::Success, elapsed(sent.at))
    });
    gateway.update_rollout(Version(1), 2, RolloutPhase::Promoted, 1.0);
    gateway.serve_for(7000.0, 2);
    gateway.start_endpoints(&["a7", "b8", "b9"], Version(2));
    gateway.update_rollout(Version(2), 0, RolloutPhase::Canary, 0.5);
    gateway.serve_for(8000.0, 2);
    assert!(!gateway.has_voted(Version(2), Verdict::RollBack));
}
