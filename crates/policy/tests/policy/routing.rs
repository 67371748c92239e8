//! Which endpoints get attempts: by status, version group and subset.

use crate::support::{SentAttempt, TestConfig, TestGateway, among_300_gateways, succeed};
use latchhaven_policy::{Action, EndpointStatus, Event, RolloutPhase, UpdateKind, Version};
use rstest::rstest;

#[rstest]
#[case(EndpointStatus::Draining)]
#[case(EndpointStatus::Removed)]
fn draining_or_removed_endpoint_gets_no_attempt(#[case] status: EndpointStatus) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(500.0, 1);
    gateway.update_endpoint("a0", Version(1), status, 0.0);
    let updated_at = gateway.now;
    gateway.serve_for(1000.0, 1);
    assert!(gateway.sent.iter().any(|sent| sent.endpoint == "a0"));
    assert!(gateway.sent.iter().all(|sent| sent.endpoint != "a0" || sent.sent_at < updated_at));
    // The id is listed again with another version: it counts as a new endpoint of that version, which is warming up.
    gateway.update_rollout(Version(2), 0, RolloutPhase::Canary, 0.0);
    gateway.start_endpoints(&["a0"], Version(2));
    gateway.serve_for(1000.0, 1);
    assert!(gateway.sent.iter().all(|sent| sent.endpoint != "a0" || sent.sent_at < updated_at));
}

#[rstest]
fn endpoint_missing_from_snapshot_gets_no_attempt() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.deliver(Event::EndpointUpdate { kind: UpdateKind::Snapshot, list_version: 2, entries: vec![] });
    let id = gateway.request("pay", None);
    gateway.run_for(2000.0);
    assert!(gateway.endpoints_tried(id).is_empty());
    assert!(matches!(gateway.unserved[&id][..], [(_, Action::Reject { .. })]));
}

#[rstest]
fn canary_gets_its_share_with_little_in_flight() {
    let (mut canary, mut all) = (0, 0);
    for seed in 0..20 {
        let mut gateway = among_300_gateways(seed, 1.0, succeed);
        gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5);
        gateway.serve_for(5000.0, 40);
        let measured_from = gateway.now;
        gateway.serve_for(10_000.0, 40);
        let is_measured = |sent: &&SentAttempt| sent.sent_at >= measured_from;
        canary += gateway.sent.iter().filter(is_measured).filter(|sent| sent.version == Version(2)).count();
        all += gateway.sent.iter().filter(is_measured).count();
    }
    // The canary has two of 22 endpoints: a share of 0.09.
    assert!((0.05..0.14).contains(&(canary as f64 / all as f64)), "{canary} of {all} attempts at the canary");
}

#[rstest]
fn gateway_with_little_traffic_uses_its_subset_only() {
    let used = |seed: u64, every: usize| {
        let mut gateway =
            TestGateway::with_endpoints(TestConfig { seed, ..TestConfig::default() }, 60, succeed);
        gateway.serve_for(12_000.0, every);
        let mut names: Vec<String> = gateway.sent.into_iter().map(|sent| sent.endpoint).collect();
        names.sort();
        names.dedup();
        names
    };
    let (few, many) = (used(1, 40).len(), used(1, 1).len());
    assert!(few < 20 && many > 40, "endpoints used: {few} with little traffic, {many} with much");
    assert_ne!(used(1, 40), used(2, 40), "gateways have different subsets");
}
