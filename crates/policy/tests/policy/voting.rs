//! Votes.

use crate::support::{
    SentAttempt, TestConfig, TestGateway, among_300_gateways, fail_every, succeed, with_canary,
};
use latchhaven_policy::{Action, AttemptOutcome, Event, Verdict, Version, VoteMode, VoteOutcome};
use rstest::rstest;

#[rstest]
fn few_of_hundreds_of_gateways_vote() {
    let votes = |seed: u64| {
        let mut gateway = among_300_gateways(seed, 0.5, succeed);
        gateway.serve_for(4000.0, 40);
        gateway.report_outcomes(Version(2), 40, 0, 60.0);
        gateway.report_outcomes(Version(1), 100, 2, 60.0);
        gateway.run_for(1000.0);
        gateway.has_voted(Version(2), Verdict::Promote)
    };
    let voted = (0..60).filter(|seed| votes(*seed)).count();
    // 8 of 300 per analysis: about a tenth in four analyses.
    assert!((1..20).contains(&voted), "{voted} of 60");
}

#[rstest]
fn canary_carries_nearly_all_traffic_before_promotion() {
    let mut gateway = with_canary(TestConfig::default(), 2, 1.0, succeed);
    gateway.serve_for(6000.0, 2);
    assert!(!gateway.has_voted(Version(2), Verdict::Promote), "only after full traffic");
    let from = gateway.now;
    gateway.serve_for(4500.0, 2);
    let (new, all): (Vec<_>, Vec<_>) =
        gateway.sent.iter().filter(|s| s.at >= from).partition(|s| s.version == Version(2));
    assert!(new.len() > 4 * all.len(), "{} against {}", new.len(), all.len());
    assert!(gateway.has_voted(Version(2), Verdict::Promote));
}

#[rstest]
#[case::single(VoteMode::Single, Verdict::Promote)]
#[case::majority(VoteMode::Majority, Verdict::Promote)]
#[case::clocked(VoteMode::Clocked, Verdict::Pause)]
fn votes_are_renewed_before_lease_ends_and_repeated_when_not_counted(
    #[case] mode: VoteMode, #[case] verdict: Verdict,
) {
    let mut config = TestConfig::default();
    config.voting.mode = mode;
    // With clocked stages only doubt is voted on: a mild fault is not certain for some time.
    let fault = move |sent: &SentAttempt| {
        let is_doubtful = mode == VoteMode::Clocked && sent.version == Version(2);
        if is_doubtful { fail_every(9, sent, AttemptOutcome::Error) } else { succeed(sent) }
    };
    let mut gateway = with_canary(config, 1, 0.5, fault);
    gateway.serve_for(12_000.0, 2);
    assert!(gateway.has_voted(Version(2), verdict));
    if mode != VoteMode::Clocked {
        let votes = |gateway: &TestGateway| {
            gateway.actions.iter().filter(|(_, a)| matches!(a, Action::CastVote { .. })).count()
        };
        let before = votes(&gateway);
        gateway.serve_for(4100.0, 2);
        assert!((before + 1..before + 4).contains(&votes(&gateway)), "renewed before its lease ends");
        let before = votes(&gateway);
        gateway.deliver(Event::VoteCompleted(VoteOutcome::NotCounted));
        gateway.serve_for(800.0, 2);
        assert!(votes(&gateway) > before, "repeated when it was not counted");
    }
}
