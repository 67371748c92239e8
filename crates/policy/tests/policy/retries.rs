//! Retries, hedging, and the final status of requests.

use crate::support::{SentAttempt, TestConfig, TestGateway};
use latchhaven_policy::{Action, AttemptOutcome, RequestId};
use rstest::rstest;

#[rstest]
#[case::idempotent_error("look", AttemptOutcome::Error, true, false)]
#[case::idempotency_key_error("book", AttemptOutcome::Error, true, false)]
#[case::non_idempotent_error("pay", AttemptOutcome::Error, false, true)]
#[case::non_idempotent_lost("pay", AttemptOutcome::ConnectionLost, false, true)]
#[case::non_idempotent_rejected("pay", AttemptOutcome::Rejected, true, false)]
#[case::non_idempotent_connect_failed("pay", AttemptOutcome::ConnectFailed, true, false)]
fn retry_is_sent_only_when_class_allows_it(
    #[case] class: &str, #[case] outcome: AttemptOutcome, #[case] is_retried: bool, #[case] is_failed: bool,
) {
    let first_fails = move |sent: &SentAttempt| {
        if sent.number == 0 { (outcome, 20.0) } else { (AttemptOutcome::Success, 20.0) }
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, first_fails);
    let id = gateway.request(class, None);
    gateway.run_for(300.0);
    assert_eq!(gateway.endpoints_tried(id).len(), if is_retried { 2 } else { 1 });
    assert_eq!(gateway.succeeded.contains_key(&id), is_retried);
    assert_eq!(
        matches!(gateway.unserved.get(&id).map(|statuses| &statuses[..]), Some([(_, Action::Fail { .. })])),
        is_failed
    );
}

#[rstest]
fn retry_with_idempotency_key_stays_in_zone_of_first_attempt() {
    let mut gateway =
        TestGateway::with_endpoints(TestConfig::default(), 8, |_| (AttemptOutcome::Error, 20.0));
    let ids: Vec<RequestId> = (0..20).map(|_| gateway.request("book", None)).collect();
    gateway.run_for(1000.0);
    for id in ids {
        let zones: Vec<String> =
            gateway.endpoints_tried(id).iter().map(|name| name[..1].to_string()).collect();
        assert_eq!(zones.len(), 3);
        assert!(zones.iter().all(|zone| *zone == zones[0]), "{zones:?}");
        assert!(matches!(gateway.unserved[&id][..], [(_, Action::Fail { .. })]));
    }
}

#[rstest]
#[case("look", true)]
#[case("book", false)]
#[case("pay", false)]
fn request_to_unresponsive_endpoints_gets_one_final_status_before_its_deadline(
    #[case] class: &str, #[case] rejected: bool,
) {
    let mut gateway =
        TestGateway::with_endpoints(TestConfig::default(), 4, |_| (AttemptOutcome::Success, 1e9));
    let ids: Vec<RequestId> = (0..30).map(|_| gateway.request(class, None)).collect();
    let received_at = gateway.now;
    gateway.run_for(3000.0);
    for id in ids {
        let [(at, status)] = &gateway.unserved[&id][..] else {
            panic!("expected exactly one final status, found {:?}", gateway.unserved[&id])
        };
        assert!(*at <= received_at + 2000.0 + 10.0);
        assert!(
            rejected == matches!(status, Action::Reject { .. }) || gateway.endpoints_tried(id).is_empty()
        );
        assert!(gateway.sent.iter().filter(|sent| sent.id == id).all(|sent| sent.sent_at <= *at));
    }
}

#[rstest]
#[case(true)]
#[case(false)]
fn request_at_unresponsive_endpoint_is_hedged_or_retried(#[case] hedging: bool) {
    let mut config = TestConfig::default();
    config.permissions.hedging = hedging;
    let hang = |sent: &SentAttempt| {
        if sent.endpoint == "a0" { (AttemptOutcome::Success, 1e9) } else { (AttemptOutcome::Success, 50.0) }
    };
    let mut gateway = TestGateway::with_endpoints(config, 4, hang);
    gateway.serve_for(3000.0, 2);
    let unresponsive: Vec<RequestId> =
        gateway.sent.iter().filter(|s| s.endpoint == "a0").map(|s| s.id).collect();
    assert!(
        (1..30).contains(&unresponsive.len()),
        "attempts at the unresponsive endpoint until it is ejected: {}",
        unresponsive.len()
    );
    assert!(
        unresponsive.iter().filter(|id| gateway.succeeded.contains_key(id)).count() * 10
            >= unresponsive.len() * 8
    );
    if !hedging {
        // The second attempt is sent only after the first was cancelled.
        let cancelled = |id: RequestId| {
            gateway.actions.iter().find(|(_, a)| matches!(a, Action::CancelAttempt { id: r, .. } if *r == id))
        };
        for second in gateway.sent.iter().filter(|sent| sent.number == 1) {
            assert!(cancelled(second.id).is_some_and(|(at, _)| *at < second.sent_at));
        }
    }
}
