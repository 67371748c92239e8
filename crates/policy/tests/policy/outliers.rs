//! Ejection of endpoints, and idle connections to them.

use crate::support::{SentAttempt, TestConfig, TestGateway, succeed};
use latchhaven_policy::{Action, AttemptOutcome, LogEvent, Millis};
use rstest::rstest;
use std::collections::BTreeMap;

#[rstest]
#[case::at_all_endpoints(|sent: &SentAttempt| sent.id.0.is_multiple_of(3), true)]
#[case::at_one_endpoint(|sent: &SentAttempt| sent.endpoint == "a0", false)]
fn idle_connections_are_closed_when_connects_fail_at_all_endpoints(
    #[case] connect_fails: fn(&SentAttempt) -> bool, #[case] closes: bool,
) {
    let behavior = move |sent: &SentAttempt| {
        if connect_fails(sent) { (AttemptOutcome::ConnectFailed, 1.0) } else { succeed(sent) }
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 12, behavior);
    gateway.serve_for(8000.0, 2);
    let closed =
        gateway.actions.iter().filter(|(_, a)| matches!(a, Action::CloseIdleConnections { .. })).count();
    assert!(if closes { closed > 100 } else { closed < 200 }, "idle connections closed {closed} times");
}

#[rstest]
#[case::isolated(|sent: &SentAttempt| sent.id.0.is_multiple_of(20) && sent.number == 0, false)]
#[case::consecutive(|sent: &SentAttempt| sent.endpoint == "a0", true)]
fn endpoint_is_ejected_after_two_consecutive_lost_connections(
    #[case] fails: fn(&SentAttempt) -> bool, #[case] is_ejected: bool,
    #[values(AttemptOutcome::ConnectionLost, AttemptOutcome::ConnectFailed)] outcome: AttemptOutcome,
) {
    let behavior = move |sent: &SentAttempt| if fails(sent) { (outcome, 5.0) } else { succeed(sent) };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, behavior);
    gateway.serve_for(3000.0, 5);
    let is_logged = |action: &Action| matches!(action, Action::Log(LogEvent::EndpointEjected { .. }));
    assert_eq!(gateway.actions.iter().any(|(_, action)| is_logged(action)), is_ejected);
    assert!(gateway.succeeded.len() > 50);
}

#[rstest]
#[case::little_traffic(5, 4500.0)]
#[case::much_traffic(1, 1500.0)]
fn healthy_endpoints_stay_in_use_while_others_pause(#[case] every: usize, #[case] max_gap: Millis) {
    // Four endpoints pause for one second in every two; attempts that they receive meanwhile complete after the pause.
    let pauses = |sent: &SentAttempt| ["a0", "a1", "b5", "b6"].contains(&sent.endpoint.as_str());
    let behavior = move |sent: &SentAttempt| {
        let since_pause = sent.sent_at % 2000.0;
        let pause_left = if pauses(sent) && since_pause < 1000.0 { 1000.0 - since_pause } else { 0.0 };
        (AttemptOutcome::Success, 50.0 + pause_left)
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 10, behavior);
    gateway.serve_for(12_000.0, every);
    let mut sent_to: BTreeMap<&str, Vec<&SentAttempt>> = BTreeMap::new();
    for sent in &gateway.sent {
        sent_to.entry(&sent.endpoint).or_default().push(sent);
    }
    assert_eq!(sent_to.len(), 10);
    for (name, sent) in sent_to.iter().filter(|(_, sent)| !pauses(sent[0])) {
        let gap = sent.windows(2).map(|two| two[1].sent_at - two[0].sent_at).fold(0.0, f64::max);
        assert!(gap <= max_gap, "{name} gets no attempt for {gap} ms");
        let max = sent.iter().map(|sent| sent.in_flight).max().unwrap_or(0);
        assert!(max <= 6, "{name} has {max} attempts in flight");
    }
    let success_rate = gateway.succeeded.len() as f64 / (1200 / every) as f64;
    assert!(success_rate >= 0.85, "{success_rate} of the requests succeed");
}
