//! How long an endpoint list without a confirming watch is used. Here the drain grace is 1 s, the delay of updates 6 s.

use crate::support::{SentAttempt, TestConfig, TestGateway, succeed};
use latchhaven_policy::{
    Action, AttemptOutcome, EndpointStatus, Event, Millis, UpdateFailure, UpdateKind, Version,
};
use rstest::rstest;

/// The watch is lost; every update on it was received.
const BROKEN: UpdateFailure = UpdateFailure { silent_for: 0.0, may_have_lost_update: false };
/// The watch has been silent for 3.5 s.
const SILENT: UpdateFailure = UpdateFailure { silent_for: 3500.0, may_have_lost_update: false };
/// The watch was truncated within a list.
const CUT_OFF: UpdateFailure = UpdateFailure { silent_for: 0.0, may_have_lost_update: true };
/// ms between two requests, beyond all timers and retries.
const PAUSE: Millis = 50.0;

fn pushed() -> TestConfig {
    TestConfig { update_delay_after_loss: 0.0, ..TestConfig::default() }
}

fn failed(failure: UpdateFailure) -> Event {
    Event::EndpointUpdateFailed(failure)
}

/// True if a request received now is sent; otherwise it must be rejected immediately.
fn is_sent(gateway: &mut TestGateway) -> bool {
    let id = gateway.request("look", None);
    gateway.step();
    let is_sent = !gateway.endpoints_tried(id).is_empty();
    assert_ne!(is_sent, gateway.unserved.contains_key(&id), "sent, or rejected immediately");
    gateway.run_for(PAUSE);
    is_sent
}

fn run_until(gateway: &mut TestGateway, at: Millis) {
    gateway.run_for(at - gateway.now);
}

#[rstest]
#[case::broken(TestConfig::default(), failed(BROKEN), 6750.0)]
#[case::silent(TestConfig::default(), failed(SILENT), 3250.0)]
#[case::cut_off(TestConfig::default(), failed(CUT_OFF), 750.0)]
#[case::moved(TestConfig::default(), Event::DiscoveryMoved, 4750.0)]
#[case::pushed_and_broken(pushed(), failed(BROKEN), 750.0)]
#[case::pushed_and_silent(pushed(), failed(SILENT), 3250.0)]
#[case::pushed_and_moved(pushed(), Event::DiscoveryMoved, 4750.0)]
fn unconfirmed_list_is_used_until_its_lease_ends(
    #[case] config: TestConfig, #[case] event: Event, #[case] lease: Millis,
) {
    let mut gateway = TestGateway::with_endpoints(config, 4, succeed);
    let lost_at = gateway.now;
    gateway.deliver(event);
    gateway.step();
    run_until(&mut gateway, lost_at + lease - 100.0);
    assert!(is_sent(&mut gateway));
    run_until(&mut gateway, lost_at + lease + 10.0);
    // Further failed calls change nothing.
    gateway.deliver(failed(BROKEN));
    assert!(!is_sent(&mut gateway));
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 0.0);
    assert!(is_sent(&mut gateway), "a new list is used immediately");
}

#[rstest]
#[case::connected_before(Some(0.0), true)]
#[case::connected_since(Some(f64::MAX), false)]
#[case::unknown(None, false)]
fn endpoint_is_used_while_it_answers_on_connections_from_before_the_loss(
    #[case] connected_at: Option<Millis>, #[case] is_used: bool,
) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = connected_at;
    gateway.deliver(failed(BROKEN));
    gateway.serve_for(30_000.0, 10);
    assert_eq!(is_sent(&mut gateway), is_used);
    let rejected = gateway.unserved.len();
    assert_eq!(rejected == 0, is_used, "{rejected} rejected");
}

#[rstest]
#[case::rejects(AttemptOutcome::Rejected)]
#[case::fails(AttemptOutcome::Error)]
#[case::resets(AttemptOutcome::ConnectionLost)]
#[case::is_silent(AttemptOutcome::Timeout)]
fn endpoint_without_successful_answers_is_used_no_longer(#[case] outcome: AttemptOutcome) {
    let behavior = move |sent: &SentAttempt| {
        if sent.endpoint == "a0" && sent.at > 100_500.0 { (outcome, 50.0) } else { succeed(sent) }
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, behavior);
    gateway.connected_at = Some(0.0);
    gateway.deliver(failed(BROKEN));
    gateway.serve_for(10_000.0, 5);
    let sent_since = |endpoint: &str, at: Millis| {
        gateway.sent.iter().filter(|sent| sent.endpoint == endpoint && sent.at > at).count()
    };
    assert_eq!(sent_since("a0", 107_100.0), 0, "its last proof is from 100.5 s, its lease ends at 107 s");
    assert!(sent_since("b1", 107_100.0) > 50);
}

#[rstest]
fn proof_from_before_a_lost_update_holds_for_the_grace_only() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = Some(0.0);
    gateway.deliver(failed(BROKEN));
    gateway.serve_for(9000.0, 5);
    let lost_at = gateway.now;
    gateway.deliver(failed(CUT_OFF));
    gateway.step();
    run_until(&mut gateway, lost_at + 760.0);
    assert!(!is_sent(&mut gateway), "no attempt since the update was lost");
}

#[rstest]
fn repeatedly_lost_updates_extend_no_proof() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = Some(0.0);
    gateway.deliver(failed(BROKEN));
    gateway.serve_for(9000.0, 5);
    let lost_at = gateway.now;
    for lost in 0..3 {
        run_until(&mut gateway, lost_at + 250.0 * f64::from(lost));
        gateway.deliver(failed(CUT_OFF));
        gateway.step();
    }
    run_until(&mut gateway, lost_at + 760.0);
    assert!(!is_sent(&mut gateway), "proofs from before the first loss have ended");
}

#[rstest]
#[case::immediately(0.0, false)]
#[case::after_half_of_the_grace(520.0, true)]
fn answer_behind_a_lost_update_is_a_proof_only_once_draining_endpoints_reject(
    #[case] after: Millis, #[case] is_proof: bool,
) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.connected_at = Some(0.0);
    let lost_at = gateway.now;
    gateway.deliver(failed(CUT_OFF));
    gateway.step();
    run_until(&mut gateway, lost_at + after);
    assert!(is_sent(&mut gateway));
    run_until(&mut gateway, lost_at + 1000.0);
    assert_eq!(is_sent(&mut gateway), is_proof);
}

#[rstest]
fn list_from_the_previous_address_is_applied_and_confirms_nothing() {
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
fn attempt_may_not_be_written_past_the_lease() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 2, succeed);
    gateway.deliver(failed(BROKEN));
    gateway.run_for(6000.0);
    assert!(is_sent(&mut gateway));
    let limits = gateway.actions.iter().filter_map(|(_, action)| match action {
        Action::SendAttempt { write_timeout, .. } => *write_timeout,
        _ => None,
    });
    let limits: Vec<Millis> = limits.collect();
    assert!(limits.len() == 1 && (700.0..=750.0).contains(&limits[0]), "{limits:?}");
}

#[rstest]
fn cached_list_is_used_for_the_grace_only() {
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
