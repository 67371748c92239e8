//! Restarted services, services whose state is older than that of their proxies, and proxies that reconnect.

use crate::support::{TestProxy, TestService, draining, exchange_all, ready, service_with_canary};
use latchhaven_policy::{RolloutPhase, Version};
use latchhaven_xds::resources::ResourceType;

#[test]
fn proxy_reconnected_between_rollback_and_next_canary_gets_no_rolled_back_version() {
    let (mut service, mut proxies) = service_with_canary(2);
    proxies.iter_mut().for_each(|proxy| proxy.disconnect(&mut service));
    service.report_rollout(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.advance(500.0);
    service.report_rollout(Version(2), 1, RolloutPhase::RolledBack, 0.0);
    service.advance(500.0);
    for proxy in &mut proxies {
        proxy.connect(&mut service);
        proxy.exchange(&mut service);
        assert_eq!(proxy.share_of(Version(2)), 0.0);
    }
    // The next canary runs while a host of the rolled back version is still listed.
    service.update_list(
        6,
        &[ready(1, Version(1)), ready(2, Version(1)), ready(3, Version(2)), ready(4, Version(3))],
    );
    service.report_rollout(Version(3), 0, RolloutPhase::Canary, 0.1);
    service.advance(500.0);
    for proxy in &mut proxies {
        proxy.exchange(&mut service);
        assert_eq!(proxy.share_of(Version(2)), 0.0, "a rolled back version is not a baseline");
        assert!(proxy.share_of(Version(1)) > 0.8);
    }
}

#[test]
fn restarted_service_with_a_stale_list_publishes_nothing_until_a_newer_one_arrives() {
    let (mut service, mut proxies) = service_with_canary(2);
    service.update_list(
        40,
        &[ready(1, Version(1)), draining(2, Version(1)), ready(3, Version(2)), ready(4, Version(2))],
    );
    service.report_rollout(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.advance(100.0);
    exchange_all(&mut proxies, &mut service);
    // The restarted service has the persisted state, or only the versions that proxies report.
    for persisted in [service.persisted.clone(), None] {
        let mut restarted = TestService::start(service.now, "site", persisted);
        restarted.start_canary(1, 0.5);
        for proxy in &mut proxies {
            proxy.connect(&mut restarted);
            assert_eq!(proxy.exchange(&mut restarted), 0, "no older configuration is published");
            assert_eq!(proxy.share_of(Version(2)), 0.0);
        }
        restarted.advance(1_000.0);
        proxies.iter_mut().for_each(|proxy| assert_eq!(proxy.exchange(&mut restarted), 0));
        restarted.update_list(41, &[ready(1, Version(1)), ready(3, Version(1))]);
        restarted.report_rollout(Version(2), 1, RolloutPhase::RolledBack, 0.0);
        restarted.advance(100.0);
        for proxy in &mut proxies {
            proxy.exchange(&mut restarted);
            assert_eq!((proxy.share_of(Version(2)), proxy.share_of(Version(1))), (0.0, 1.0));
            proxy.disconnect(&mut restarted);
        }
    }
}

#[test]
fn service_cut_off_from_the_platform_applies_a_rollback_reported_by_proxies() {
    let (mut service, mut proxies) = service_with_canary(2);
    let mut cut_off = TestService::start(service.now, "site", None);
    cut_off.start_canary(1, 0.5);
    service.report_rollout(Version(2), 1, RolloutPhase::RolledBack, 0.0);
    service.advance(100.0);
    exchange_all(&mut proxies, &mut service);
    proxies[0].disconnect(&mut service);
    proxies[0].connect(&mut cut_off);
    proxies[0].send_requests(&mut cut_off);
    cut_off.advance(100.0);
    proxies[0].exchange(&mut cut_off);
    assert_eq!(proxies[0].share_of(Version(2)), 0.0);
    // A proxy that has no configuration gets no share of the canary from that service either.
    let mut new_proxy = TestProxy::new("new", false);
    new_proxy.connect(&mut cut_off);
    new_proxy.exchange(&mut cut_off);
    assert_eq!((new_proxy.share_of(Version(2)), new_proxy.share_of(Version(1))), (0.0, 1.0));
    // A version that was signed with another key does not change the state of a service.
    let mut service_with_other_key = TestService::start(service.now, "another", None);
    service_with_other_key.start_canary(1, 0.5);
    proxies[1].connect(&mut service_with_other_key);
    proxies[1].exchange(&mut service_with_other_key);
    assert_eq!(
        (proxies[1].share_of(Version(2)), proxies[1].share_of(Version(1))),
        (0.0, 1.0),
        "a version signed with another key protects the stream that reported it"
    );
    let mut other_proxy = TestProxy::new("other", false);
    other_proxy.connect(&mut service_with_other_key);
    other_proxy.exchange(&mut service_with_other_key);
    let status = |proxy: &TestProxy| {
        proxy.cache.newest_version(ResourceType::Route).map(|newest| newest.rollout.status)
    };
    assert_ne!(status(&other_proxy), status(&proxies[1]), "and no other stream");
}

#[test]
fn service_killed_between_responses_leaves_no_dangling_reference() {
    for steps in 0..12 {
        let mut service = TestService::start(100_000.0, "site", None);
        service.start_canary(1, 0.5);
        let mut proxies = [TestProxy::new("full", false), TestProxy::new("incremental", true)];
        for proxy in &mut proxies {
            proxy.connect(&mut service);
            for _ in 0..steps {
                proxy.exchange_once(&mut service);
            }
        }
        let mut restarted = TestService::start(service.now, "site", service.persisted.clone());
        restarted.update_list(6, &[ready(1, Version(1)), ready(2, Version(1)), ready(5, Version(3))]);
        restarted.report_rollout(Version(3), 0, RolloutPhase::Canary, 0.1);
        restarted.advance(20.0);
        for proxy in &mut proxies {
            proxy.connect(&mut restarted);
            proxy.exchange(&mut restarted);
            assert_eq!(proxy.share_of(Version(2)), 0.0);
            assert!(proxy.cache.route("pay", false).is_some(), "after {steps} steps");
        }
    }
}
