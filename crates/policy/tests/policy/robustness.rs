//! Stalls of the process, invalid events, determinism, and bounds of the retained state.

use crate::support::{TestConfig, TestGateway, fail_every, succeed, with_canary};
use latchhaven_policy::state::{EndpointRegistry, ExposureLimiter, RequestTable};
use latchhaven_policy::{
    Action, AttemptOutcome, CompletedAttempt, EndpointStatus, Event, ExposureConfig, LoadReport,
    OutcomeReport, RequestId, RolloutPhase, Version,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

#[rstest]
fn gateway_ignores_latencies_of_its_own_stall() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(2000.0, 2);
    (0..20).for_each(|_| {
        gateway.request("look", None);
    });
    gateway.step();
    gateway.now += 900.0;
    gateway.serve_for(1000.0, 2);
    assert!(!gateway.actions.iter().any(|(_, action)| matches!(action, Action::Log(_))));
    let resumed_at = gateway.now - 1000.0;
    let rejected = gateway.unserved.values().flatten().filter(|(at, _)| *at > resumed_at + 50.0).count();
    assert_eq!(rejected, 0, "requests rejected because of the stall");
}

#[rstest]
fn same_events_and_seed_give_same_actions() {
    let run = || {
        let mut gateway =
            with_canary(TestConfig::default(), 1, 0.5, |sent| fail_every(7, sent, AttemptOutcome::Error));
        gateway.serve_for(5000.0, 1);
        gateway.actions
    };
    assert_eq!(run(), run());
    let config = TestConfig { seed: 8, ..TestConfig::default() };
    let mut other = with_canary(config, 1, 0.5, |sent| fail_every(7, sent, AttemptOutcome::Error));
    other.serve_for(5000.0, 1);
    assert_ne!(run(), other.actions);
}

#[rstest]
fn invalid_events_stall_no_request() {
    let mut gateway = with_canary(TestConfig::default(), 1, 0.5, succeed);
    let endpoint = "unknown".to_string();
    let (outcome, elapsed) = (AttemptOutcome::Success, -5.0);
    gateway.deliver(Event::AttemptCompleted(CompletedAttempt {
        id: RequestId(9999),
        attempt: 7,
        endpoint,
        outcome,
        is_final: false,
        elapsed,
        load: LoadReport::default(),
        connected_at: None,
    }));
    gateway.deliver(Event::ClientDisconnected { id: RequestId(4242) });
    gateway.deliver(Event::WrongResponseReported {
        endpoint: "unknown".into(),
        class: "none".into(),
        age: -1.0,
    });
    gateway.deliver(Event::OutcomesReported(OutcomeReport {
        version: Version(77),
        class: "none".into(),
        attempts: 0,
        failures: 5,
        mean_latency: None,
        age: 1e9,
    }));
    gateway.deliver(Event::PeerMessage { from: 99, data: vec![255; 256] });
    gateway.deliver(Event::PeerMessage { from: 99, data: vec![255; 4] });
    gateway.report_outcomes(Version(2), u64::MAX, u64::MAX, 1.0);
    gateway.report_outcomes(Version(1), 3, 9, -4.0);
    gateway.update_rollout(Version(9), 40, RolloutPhase::Canary, -3.0);
    gateway.update_rollout(Version(2), 40, RolloutPhase::Canary, 7.0);
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 1e12);
    let unknown = gateway.request("unknown", None);
    let id = gateway.request("pay", None);
    gateway.run_for(300.0);
    assert!(matches!(gateway.unserved[&unknown][..], [(_, Action::Fail { .. })]));
    assert!(gateway.succeeded.contains_key(&id));
}

#[test]
fn retained_state_is_bounded() {
    const MAX_TENANTS: usize = 512;
    const MAX_VERSIONS: usize = 12;
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut registry = EndpointRegistry::default();
    let mut requests = RequestTable::new(vec![50.0], 0.0, 1000.0);
    let mut exposure = ExposureLimiter::new(ExposureConfig { window: 500.0, ..ExposureConfig::default() }, 1);
    let mut entry =
        TestGateway::new(TestConfig::default()).update_endpoint("a", Version(1), EndpointStatus::Ready, 0.0);
    registry.apply(std::slice::from_ref(&entry), false, 2.0, &mut rng, 0.0);
    let first = registry.index_of("a").unwrap();
    for number in 0..5000 {
        entry.endpoint = format!("s{number}");
        entry.version = Version(number);
        entry.status = EndpointStatus::Ready;
        registry.apply(std::slice::from_ref(&entry), false, 2.0, &mut rng, 0.0);
        let index = registry.index_of(&entry.endpoint).unwrap();
        assert_ne!(index, first);
        assert_eq!(registry.endpoints[index].version, Version(number));
        assert_eq!(registry.endpoints[first].version, Version(1));
        entry.status = EndpointStatus::Removed;
        registry.apply(std::slice::from_ref(&entry), false, 2.0, &mut rng, 0.0);
        for service in requests.service_levels(Some(&format!("t{number}"))) {
            service.record(f64::from(number), 1.0, 1.0);
        }
        exposure.record_attempt(Version(number), 0, 100.0 * f64::from(number));
    }
    assert_eq!((registry.endpoints.iter().count(), registry.index_by_id.len()), (2, 2));
    assert!(requests.retained_tenants() <= MAX_TENANTS && exposure.attempt_window_count() <= MAX_VERSIONS);
    // The index of a removed endpoint is not reused while an attempt is in flight there.
    let in_use = registry.index_of(&entry.endpoint).unwrap();
    registry.endpoints[in_use].in_flight = 1;
    entry.endpoint = "another".to_string();
    entry.status = EndpointStatus::Ready;
    registry.apply(std::slice::from_ref(&entry), false, 2.0, &mut rng, 0.0);
    assert_ne!(registry.index_of("another"), Some(in_use));
}
