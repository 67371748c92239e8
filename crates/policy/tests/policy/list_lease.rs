//! How long the endpoint list is used while no watch confirms it. If an endpoint drains meanwhile, it must get no
//! attempt after its drain grace period. Here that period is 1 s, and updates that do not arrive count as delivered
//! after 6 s.

use crate::support::{SentAttempt, TestConfig, TestGateway, succeed};
use latchhaven_policy::{
    Action, AttemptOutcome, EndpointStatus, Event, Millis, UpdateFailure, UpdateKind, Version,
};
use rstest::rstest;

/// The connection of the watch is lost; every update sent over it was received.
const CONNECTION_LOST: UpdateFailure = UpdateFailure { silent_for: 0.0, may_have_lost_update: false };
/// The watch has sent no message for 3.5 s.
const SILENT: UpdateFailure = UpdateFailure { silent_for: 3500.0, may_have_lost_update: false };
/// The watch broke off within a message: an update may be lost.
const TRUNCATED: UpdateFailure = UpdateFailure { silent_for: 0.0, may_have_lost_update: true };
/// Delay between two requests, longer than all timers and retries of the first.
const REQUEST_INTERVAL: Millis = 50.0;

/// Updates are pushed on the watch: when it is lost, earlier ones count as delivered immediately.
fn pushed_updates() -> TestConfig {
    TestConfig { update_delay_after_loss: 0.0, ..TestConfig::default() }
}

fn failed(failure: UpdateFailure) -> Event {
    Event::EndpointUpdateFailed(failure)
}

/// Returns `true` if a request received now is sent; otherwise it must be rejected immediately.
fn is_sent(gateway: &mut TestGateway) -> bool {
    let id = gateway.request("look", None);
    gateway.step();
    let is_sent = !gateway.endpoints_tried(id).is_empty();
    assert_ne!(is_sent, gateway.unserved.contains_key(&id), "sent, or rejected immediately");
    gateway.run_for(REQUEST_INTERVAL);
    is_sent
}

fn run_until(gateway: &mut TestGateway, end: Millis) {
    gateway.run_for(end - gateway.now);
}

#[rstest]
#[case::connection_lost(TestConfig::default(), failed(CONNECTION_LOST), 6750.0)]
#[case::silent(TestConfig::default(), failed(SILENT), 3250.0)]
#[case::truncated(TestConfig::default(), failed(TRUNCATED), 750.0)]
#[case::moved(TestConfig::default(), Event::DiscoveryMoved, 4750.0)]
#[case::pushed_and_connection_lost(pushed_updates(), failed(CONNECTION_LOST), 750.0)]
#[case::pushed_and_silent(pushed_updates(), failed(SILENT), 3250.0)]
#[case::pushed_and_moved(pushed_updates(), Event::DiscoveryMoved, 4750.0)]
fn unconfirmed_list_is_used_until_its_lease_expires(
    #[case] config: TestConfig, #[case] event: Event, #[case] lease: Millis,
) {
    let mut gateway = TestGateway::with_endpoints(config, 4, succeed);
    let lost_at = gateway.now;
    gateway.deliver(event);
    gateway.step();
    run_until(&mut gateway, lost_at + lease - 100.0);
    assert!(is_sent(&mut gateway));
    run_until(&mut gateway, lost_at + lease + 10.0);
    // Further failed calls do not extend the lease.
    gateway.deliver(failed(CONNECTION_LOST));
    assert!(!is_sent(&mut gateway));
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 0.0);
    assert!(is_sent(&mut gateway), "a new list is used immediately");
}

#[rstest]
#[case::connected_before(Some(0.0), true)]
#[case::connected_since(Some(f64::MAX), false)]
#[case::unknown(None, false)]
fn endpoint_is_used_while_it_responds_on_connections_older_than_the_loss(
    #[case] connected_at: Option<Millis>, #[case] is_used: bool,
) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = connected_at;
    gateway.deliver(failed(CONNECTION_LOST));
    gateway.serve_for(30_000.0, 10);
    assert_eq!(is_sent(&mut gateway), is_used);
    let rejected = gateway.unserved.len();
    assert_eq!(rejected == 0, is_used, "{rejected} requests rejected");
}

#[rstest]
#[case::rejects(AttemptOutcome::Rejected)]
#[case::fails(AttemptOutcome::Error)]
#[case::resets(AttemptOutcome::ConnectionLost)]
#[case::is_silent(AttemptOutcome::Timeout)]
fn endpoint_without_successful_responses_gets_no_attempts_after_its_lease(#[case] outcome: AttemptOutcome) {
    let behavior = move |sent: &SentAttempt| {
        if sent.endpoint == "a0" && sent.sent_at > 100_500.0 { (outcome, 50.0) } else { succeed(sent) }
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, behavior);
    gateway.connected_at = Some(0.0);
    gateway.deliver(failed(CONNECTION_LOST));
    gateway.serve_for(10_000.0, 5);
    let sent_since = |endpoint: &str, since: Millis| {
        gateway.sent.iter().filter(|sent| sent.endpoint == endpoint && sent.sent_at > since).count()
    };
    assert_eq!(
        sent_since("a0", 107_100.0),
        0,
        "last successful response at 100.5 s, so evidence of readiness expires at 107 s"
    );
    assert!(sent_since("b1", 107_100.0) > 50);
}

#[rstest]
fn evidence_older_than_a_lost_update_expires_within_the_grace_period() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = Some(0.0);
    gateway.deliver(failed(CONNECTION_LOST));
    gateway.serve_for(9000.0, 5);
    let lost_at = gateway.now;
    gateway.deliver(failed(TRUNCATED));
    gateway.step();
    run_until(&mut gateway, lost_at + 760.0);
    assert!(!is_sent(&mut gateway), "evidence has expired 760 ms after the loss");
}

#[rstest]
fn repeatedly_lost_updates_do_not_extend_evidence() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = Some(0.0);
    gateway.deliver(failed(CONNECTION_LOST));
    gateway.serve_for(9000.0, 5);
    let lost_at = gateway.now;
    for loss in 0..3 {
        run_until(&mut gateway, lost_at + 250.0 * f64::from(loss));
        gateway.deliver(failed(TRUNCATED));
        gateway.step();
    }
    run_until(&mut gateway, lost_at + 760.0);
    assert!(!is_sent(&mut gateway), "evidence older than the first loss has expired");
}

#[rstest]
#[case::immediately(0.0, false)]
#[case::after_half_of_the_grace_period(520.0, true)]
fn response_after_a_lost_update_is_evidence_only_once_draining_endpoints_reject(
    #[case] delay: Millis, #[case] is_evidence: bool,
) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = Some(0.0);
    let lost_at = gateway.now;
    gateway.deliver(failed(TRUNCATED));
    gateway.step();
    run_until(&mut gateway, lost_at + delay);
    assert!(is_sent(&mut gateway));
    run_until(&mut gateway, lost_at + 1000.0);
    assert_eq!(is_sent(&mut gateway), is_evidence);
}

#[rstest]
fn list_from_the_previous_address_is_applied_but_not_confirmed() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    let entry = gateway.update_endpoint("a0", Version(1), EndpointStatus::Draining, 0.0);
    gateway.step();
    let moved_at = gateway.now;
    gateway.deliver(Event::DiscoveryMoved);
    gateway.run_for(1000.0);
    let ready = latchhaven_policy::EndpointEntry { status: EndpointStatus::Ready, ..entry };
    let update = Event::EndpointUpdateFromPreviousAddress { kind: UpdateKind::Delta, entries: vec![ready] };
    gateway.deliver(update);
    gateway.serve_for(2000.0, 5);
    assert!(gateway.sent.iter().any(|sent| sent.endpoint == "a0"));
    run_until(&mut gateway, moved_at + 4760.0);
    assert!(!is_sent(&mut gateway));
}

#[rstest]
fn attempt_is_not_written_after_the_lease_expires() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.deliver(failed(CONNECTION_LOST));
    gateway.run_for(6000.0);
    assert!(is_sent(&mut gateway));
    let write_timeouts = gateway.actions.iter().filter_map(|(_, action)| match action {
        Action::SendAttempt { write_timeout, .. } => *write_timeout,
        _ => None,
    });
    let write_timeouts: Vec<Millis> = write_timeouts.collect();
    assert!(write_timeouts.len() == 1 && (700.0..=750.0).contains(&write_timeouts[0]), "{write_timeouts:?}");
}

#[rstest]
fn cached_list_is_used_for_the_grace_period_only() {
    let mut gateway = TestGateway::new(TestConfig::default());
    let entries = vec![gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 0.0)];
    gateway.step();
    gateway.deliver(Event::EndpointUpdate { kind: UpdateKind::CachedSnapshot, list_version: 1, entries });
    let started_at = gateway.now;
    gateway.step();
    gateway.run_for(600.0);
    assert!(is_sent(&mut gateway));
    run_until(&mut gateway, started_at + 760.0);
    assert!(!is_sent(&mut gateway));
}
