//! When a gateway casts, renews and repeats its votes.

use crate::support::{
    SentAttempt, TestConfig, TestGateway, among_300_gateways, fail_every, succeed, with_canary,
};
use latchhaven_policy::{Action, AttemptOutcome, Event, Verdict, Version, VoteMode, VoteOutcome};
use rstest::rstest;

/// The platform accepts few calls: with 300 gateways, a vote that is due at all of them is cast by a few.
#[rstest]
fn few_of_hundreds_of_gateways_vote() {
    let has_voted = |seed: u64| {
        let mut gateway = among_300_gateways(seed, 0.5, succeed);
        gateway.serve_for(4000.0, 40);
        gateway.report_outcomes(Version(2), 40, 0, 60.0);
        gateway.report_outcomes(Version(1), 100, 2, 60.0);
        gateway.run_for(1000.0);
        gateway.has_voted(Version(2), Verdict::Promote)
    };
    let voters = (0..60).filter(|seed| has_voted(*seed)).count();
    // 8 of 300 gateways vote at each analysis on average: about a tenth of them in four analyses.
    assert!((1..20).contains(&voters), "expected 1 to 19 of 60 gateways to vote, found {voters}");
}

/// Before its promotion, a canary without a cap receives nearly all requests for a while.
#[rstest]
fn canary_carries_nearly_all_traffic_before_promotion() {
    let mut gateway = with_canary(TestConfig::default(), 2, 1.0, succeed);
    gateway.serve_for(6000.0, 2);
    assert!(!gateway.has_voted(Version(2), Verdict::Promote), "promoted before full traffic");
    let from = gateway.now;
    gateway.serve_for(4500.0, 2);
    let (canary, baseline): (Vec<_>, Vec<_>) =
        gateway.sent.iter().filter(|sent| sent.sent_at >= from).partition(|sent| sent.version == Version(2));
    let (canary, baseline) = (canary.len(), baseline.len());
    assert!(canary > 4 * baseline, "{canary} attempts at the canary, {baseline} at the baseline");
    assert!(gateway.has_voted(Version(2), Verdict::Promote));
}

/// A vote counts for its lease only, and the platform may reply that it does not count.
#[rstest]
#[case::single(VoteMode::Single, Verdict::Promote)]
#[case::majority(VoteMode::Majority, Verdict::Promote)]
#[case::clocked(VoteMode::Clocked, Verdict::Pause)]
fn votes_are_renewed_before_lease_ends_and_repeated_when_not_counted(
    #[case] mode: VoteMode, #[case] verdict: Verdict,
) {
    let mut config = TestConfig::default();
    config.voting.mode = mode;
    // If stages pass by time, only a canary that is probably worse is voted on. With a mild fault, the canary is not
    // rejected for some time.
    let fault = move |sent: &SentAttempt| {
        let is_faulty = mode == VoteMode::Clocked && sent.version == Version(2);
        if is_faulty { fail_every(9, sent, AttemptOutcome::Error) } else { succeed(sent) }
    };
    let mut gateway = with_canary(config, 1, 0.5, fault);
    gateway.serve_for(12_000.0, 2);
    assert!(gateway.has_voted(Version(2), verdict));
    if mode != VoteMode::Clocked {
        let votes = |gateway: &TestGateway| {
            let is_vote = |action: &Action| matches!(action, Action::CastVote { .. });
            gateway.actions.iter().filter(|(_, action)| is_vote(action)).count()
        };
        let before = votes(&gateway);
        gateway.serve_for(4100.0, 2);
        assert!((before + 1..before + 4).contains(&votes(&gateway)), "not renewed before its lease ends");
        let before = votes(&gateway);
        gateway.deliver(Event::VoteCompleted(VoteOutcome::NotCounted));
        gateway.serve_for(800.0, 2);
        assert!(votes(&gateway) > before, "not repeated after a reply that it does not count");
    }
}
