//! When a gateway calls the discovery service for the endpoint list.

use crate::support::{STEP, TestConfig, TestGateway, succeed};
use latchhaven_policy::{
    Action, EndpointEntry, EndpointStatus, Event, Millis, UpdateFailure, UpdateKind, Version,
};
use rstest::rstest;

#[rstest]
fn failed_watch_is_requested_again() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    let watches = |gateway: &TestGateway| {
        gateway.actions.iter().filter(|(_, a)| matches!(a, Action::WatchEndpoints { enabled: true })).count()
    };
    gateway.run_for(2000.0);
    assert_eq!(watches(&gateway), 1);
    gateway.deliver(Event::EndpointUpdateFailed(UpdateFailure::default()));
    gateway.run_for(1000.0);
    assert_eq!(watches(&gateway), 2);
    gateway.run_for(5000.0);
    assert_eq!(watches(&gateway), 3, "the second call got no reply within its timeout");
}

#[rstest]
fn idle_gateway_ticks_once_a_second_and_failed_calls_back_off() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.run_for(3000.0);
    let before = gateway.actions.len();
    gateway.run_for(20_000.0);
    assert!(
        gateway.actions.len() - before <= 30,
        "at most one tick a second: {} actions in 20 s",
        gateway.actions.len() - before
    );
    let watches = |gateway: &TestGateway| {
        gateway.actions.iter().filter(|(_, a)| matches!(a, Action::WatchEndpoints { enabled: true })).count()
    };
    let (before, mut reported) = (watches(&gateway), watches(&gateway) - 1);
    for _ in 0..4000 {
        if watches(&gateway) > reported {
            reported = watches(&gateway);
            gateway.deliver(Event::EndpointUpdateFailed(UpdateFailure::default()));
        }
        gateway.step();
    }
    let calls = watches(&gateway) - before;
    assert!((6..=16).contains(&calls), "{calls} calls in 40 s, where the backoff grows to its maximum");
}

#[rstest]
fn restarted_gateway_serves_from_cached_list_and_opens_a_watch() {
    let mut gateway = TestGateway::new(TestConfig::default());
    let entries: Vec<EndpointEntry> = (0..3)
        .map(|i| gateway.update_endpoint(&format!("a{i}"), Version(1), EndpointStatus::Ready, 0.0))
        .collect();
    gateway.deliver(Event::EndpointUpdate { kind: UpdateKind::CachedSnapshot, list_version: 1, entries });
    let id = gateway.request("pay", None);
    gateway.run_for(2500.0);
    assert!(gateway.succeeded.contains_key(&id));
    assert!(
        gateway.actions.iter().any(|(_, action)| matches!(action, Action::WatchEndpoints { enabled: true }))
    );
}

/// Size of the fleet that starts during an outage of the discovery service.
const GATEWAYS: u32 = 300;
/// Time from the start of the fleet to the end of the outage.
const OUTAGE: Millis = 8000.0;

/// The calls of a fleet that starts while the discovery service is down.
struct OutageCalls {
    /// When each call was made.
    calls: Vec<Millis>,
    /// When each gateway received its endpoint list.
    delivered: Vec<Millis>,
}

impl OutageCalls {
    /// Runs the fleet for `duration` after its start.
    fn simulate(duration: Millis) -> Self {
        let config = |seed| TestConfig { seed, gateway_count: GATEWAYS, ..TestConfig::default() };
        let mut gateways: Vec<TestGateway> =
            (0..u64::from(GATEWAYS)).map(|seed| TestGateway::new(config(seed))).collect();
        let mut outage = OutageCalls { calls: Vec::new(), delivered: Vec::new() };
        for step in 0..(duration / STEP) as usize {
            let at = STEP * step as f64;
            for gateway in &mut gateways {
                // Calls made by the constructor belong to the first step.
                let before = if step == 0 { 0 } else { gateway.actions.len() };
                gateway.step();
                if !gateway.actions[before..].iter().any(is_watch_call) {
                    continue;
                }
                outage.calls.push(at);
                if at < OUTAGE {
                    gateway.deliver(Event::EndpointUpdateFailed(UpdateFailure::default()));
                } else {
                    outage.delivered.push(at);
                    let kind = UpdateKind::Snapshot;
                    gateway.deliver(Event::EndpointUpdate { kind, list_version: 2, entries: vec![] });
                }
            }
        }
        outage
    }

    /// The largest number of calls within one second, over the seconds that begin in the 12 s after `from`.
    fn max_in_a_second(&self, from: Millis) -> usize {
        let within =
            |start: Millis| self.calls.iter().filter(|at| (start..start + 1000.0).contains(*at)).count();
        (0..120).map(|k| within(from + 100.0 * f64::from(k))).max().unwrap_or(0)
    }

    /// Number of gateways that received their list by `duration` after the end of the outage.
    fn delivered_within(&self, duration: Millis) -> usize {
        self.delivered.iter().filter(|at| **at < OUTAGE + duration).count()
    }
}

fn is_watch_call((_, action): &(Millis, Action)) -> bool {
    matches!(action, Action::WatchEndpoints { enabled: true })
}

#[test]
fn hundreds_starting_while_discovery_is_down_back_off_and_all_get_a_list() {
    let outage = OutageCalls::simulate(36_000.0);
    assert_eq!(outage.delivered.len(), 300, "each gateway calls until it has a list, and not again");
    let delivered_soon = outage.delivered_within(12_000.0);
    assert!(delivered_soon >= 270, "only {delivered_soon} of 300 gateways have a list 12 s after the outage");
    let max_at_start = outage.max_in_a_second(10.0);
    assert!(max_at_start <= 80, "{max_at_start} calls within one second soon after the start");
    let max_later = outage.max_in_a_second(4000.0);
    assert!(max_later <= 80, "{max_later} calls within one second, 4 s or more after the start");
    assert!(outage.calls.len() <= 300 * 4, "{} calls by 300 gateways", outage.calls.len());
}

#[test]
fn hundreds_starting_while_discovery_is_down_have_a_list_within_16_seconds() {
    let outage = OutageCalls::simulate(16_000.0);
    assert_eq!(
        outage.delivered.len(),
        300,
        "each gateway has a list 16 s after the start, 8 s after the outage"
    );
}
