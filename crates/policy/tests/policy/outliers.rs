//! Ejection and connections.

use crate::support::{SentAttempt, TestConfig, TestGateway, succeed};
use latchhaven_policy::{Action, AttemptOutcome, LogEvent, Millis};
use rstest::rstest;
use std::collections::BTreeMap;

#[rstest]
#[case::everywhere(|sent: &SentAttempt| if sent.id.0.is_multiple_of(3) { (AttemptOutcome::ConnectFailed, 1.0) } else { succeed(sent) }, true)]
#[case::at_one_endpoint(|sent: &SentAttempt| if sent.endpoint == "a0" { (AttemptOutcome::ConnectFailed, 1.0) } else { succeed(sent) }, false)]
fn idle_connections_are_closed_where_connects_fail_everywhere(
    #[case] behavior: fn(&SentAttempt) -> (AttemptOutcome, Millis), #[case] closes: bool,
) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 12, behavior);
    gateway.serve_for(8000.0, 2);
    let closed =
        gateway.actions.iter().filter(|(_, a)| matches!(a, Action::CloseIdleConnections { .. })).count();
    assert!(if closes { closed > 100 } else { closed < 200 }, "{closed}");
}

#[rstest]
#[case::isolated(|sent: &SentAttempt| sent.id.0.is_multiple_of(20) && sent.number == 0, false)]
#[case::in_a_row(|sent: &SentAttempt| sent.endpoint == "a0", true)]
fn endpoint_is_ejected_after_two_lost_connections_in_a_row(
    #[case] loses: fn(&SentAttempt) -> bool, #[case] is_ejected: bool,
    #[values(AttemptOutcome::ConnectionLost, AttemptOutcome::ConnectFailed)] how: AttemptOutcome,
) {
    let behavior = move |sent: &SentAttempt| if loses(sent) { (how, 5.0) } else { succeed(sent) };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, behavior);
    gateway.serve_for(3000.0, 5);
    let is_logged = |action: &Action| matches!(action, Action::Log(LogEvent::EndpointEjected { .. }));
    assert_eq!(gateway.actions.iter().any(|(_, action)| is_logged(action)), is_ejected);
    assert!(gateway.succeeded.len() > 50);
}

#[rstest]
#[case::little_traffic(5, 4500.0)]
#[case::much_traffic(1, 1500.0)]
fn healthy_endpoints_stay_in_use_while_others_pause(#[case] every: usize, #[case] longest: Millis) {
    // Four endpoints pause for one second in every two; attempts received then are answered after the pause.
    let pauses = |sent: &SentAttempt| ["a0", "a1", "b5", "b6"].contains(&sent.endpoint.as_str());
    let behavior = move |sent: &SentAttempt| {
        let into = sent.at % 2000.0;
        let rest = if pauses(sent) && into < 1000.0 { 1000.0 - into } else { 0.0 };
        (AttemptOutcome::Success, 50.0 + rest)
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 10, behavior);
    gateway.serve_for(12_000.0, every);
    let mut sent_to: BTreeMap<&str, Vec<&SentAttempt>> = BTreeMap::new();
    for sent in &gateway.sent {
        sent_to.entry(&sent.endpoint).or_default().push(sent);
    }
    assert_eq!(sent_to.len(), 10);
    for (name, sent) in sent_to.iter().filter(|(_, sent)| !pauses(sent[0])) {
        let gap = sent.windows(2).map(|two| two[1].at - two[0].at).fold(0.0, f64::max);
        assert!(gap <= longest, "{name} is ejected for {gap} ms");
        let max = sent.iter().map(|sent| sent.in_flight).max().unwrap_or(0);
        assert!(max <= 6, "{name} has {max} in flight");
    }
    let served = gateway.succeeded.len() as f64 / (1200 / every) as f64;
    assert!(served >= 0.85, "{served} served");
}
