//! When configurations are published.

use crate::support::{
    Host, ReportedOutcomes, TestProxy, TestService, draining, host, host_address, load_report, ready,
    service_with_canary,
};
use latchhaven_policy::{RolloutPhase, Version};

/// An update of the endpoint list, and the health of host 2 that proxies then have in the clusters of the baseline
/// and the canary; `None` if the host is not in the cluster.
struct Step {
    /// `None` if host 2 is not on the list.
    host_2: Option<Host>,
    baseline_health: Option<bool>,
    canary_health: Option<bool>,
}

#[test]
fn publication_waits_until_list_and_platform_are_known() {
    let mut service = TestService::start(100_000.0, "site", None);
    service.advance(1_000.0);
    service.update_list(5, &[ready(1, Version(1))]);
    service.advance(1_000.0);
    assert!(service.snapshot.is_none(), "the platform has not reported yet");
    service.report_rollout(Version(1), 0, RolloutPhase::Promoted, 1.0);
    service.advance(20.0);
    assert!(service.snapshot.is_some());
}

#[test]
fn update_burst_is_published_twice_and_a_drain_immediately() {
    let (mut service, _) = service_with_canary(1);
    service.advance(100.0);
    let before = service.snapshot.as_ref().unwrap().number;
    service.update_list(
        100,
        &[draining(1, Version(1)), ready(2, Version(1)), ready(3, Version(2)), ready(4, Version(2))],
    );
    service.advance(10.0);
    assert_eq!(service.snapshot.as_ref().unwrap().number, before + 1, "the drain is published immediately");
    for n in 0..30u64 {
        service.update_list(
            101 + n,
            &[
                host(1, Version(1), n % 2 == 0),
                ready(2, Version(1)),
                host(3, Version(2), n % 3 == 0),
                ready(4, Version(2)),
            ],
        );
        service.now += 1.0;
        service.control_plane.poll(service.now);
    }
    service.advance(60.0);
    assert!(service.snapshot.as_ref().unwrap().number <= before + 3);
    assert_eq!(
        service.snapshot.as_ref().unwrap().version.endpoints.version,
        130,
        "the newest list is published"
    );
}

#[test]
fn health_of_a_host_that_is_drained_removed_and_listed_with_another_version_is_published() {
    let (mut service, mut proxies) = service_with_canary(2);
    let health = |proxy: &TestProxy, cluster: &str| {
        let hosts = proxy.cache.cluster_endpoints(cluster).endpoints;
        hosts.into_iter().find(|host| host.addr == host_address(2)).map(|host| host.is_healthy)
    };
    assert_eq!(health(&proxies[0], "b1/pay"), Some(true));
    let steps = [
        Step { host_2: Some(draining(2, Version(1))), baseline_health: Some(false), canary_health: None },
        Step { host_2: None, baseline_health: None, canary_health: None },
        Step { host_2: Some(ready(2, Version(2))), baseline_health: None, canary_health: Some(true) },
    ];
    for (n, step) in steps.into_iter().enumerate() {
        let hosts: Vec<Host> = [ready(1, Version(1))]
            .into_iter()
            .chain(step.host_2)
            .chain([ready(3, Version(2)), ready(4, Version(2))])
            .collect();
        service.update_list(10 + n as u64, &hosts);
        service.advance(60.0);
        for proxy in &mut proxies {
            proxy.exchange(&mut service);
            assert_eq!(health(proxy, "b1/pay"), step.baseline_health, "step {n}");
            assert_eq!(health(proxy, "b2/pay"), step.canary_health, "step {n}");
        }
    }
    // Late counts of the version that ran on host 2 before are accepted. Counts of a host that was never listed are
    // rejected.
    let stream = proxies[0].stream_id().unwrap();
    let report = |host: u16| load_report([ReportedOutcomes::new(Version(1), host, 1, 0)]);
    assert!(service.control_plane.on_load_report(stream, &report(2), service.now).is_ok());
    let rejected = service.control_plane.on_load_report(stream, &report(9), service.now);
    assert!(rejected.unwrap_err().to_string().contains("not an endpoint of its cluster"));
}

#[test]
fn stale_snapshot_is_fetched_again_at_intervals_until_a_newer_one_arrives() {
    let (mut service, _) = service_with_canary(1);
    let hosts = [ready(1, Version(1)), ready(2, Version(1)), ready(3, Version(2)), ready(4, Version(2))];
    service.update_list(40, &hosts);
    service.advance(300.0);
    let before = service.list_fetches;
    service.update_list(30, &hosts);
    service.advance(300.0);
    assert_eq!(service.list_fetches, before + 1, "requested immediately");
    service.advance(4_000.0);
    assert_eq!(service.list_fetches, before + 1, "not before the interval has passed");
    service.advance(1_000.0);
    assert_eq!(service.list_fetches, before + 2, "requested again after the interval");
    service.update_list(41, &hosts);
    service.advance(6_000.0);
    assert_eq!(service.list_fetches, before + 2, "a newer list ends the requests");
}
