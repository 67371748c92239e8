//! Responses on single streams.

use crate::support::{TestService, service_with_canary};
use latchhaven_policy::{RolloutPhase, Version};
use latchhaven_test_support::resource_cache::ResourceCache;
use latchhaven_xds::resources::ResourceType;
use latchhaven_xds::stream::{Stream, SubscriptionRequest};

fn subscription(resource_type: ResourceType, names: &[&str]) -> SubscriptionRequest {
    SubscriptionRequest {
        type_url: resource_type.url().to_string(),
        names: names.iter().map(ToString::to_string).collect(),
        ..SubscriptionRequest::default()
    }
}

#[test]
fn unacknowledged_response_is_followed_only_by_the_newest() {
    let (mut service, mut proxies) = service_with_canary(1);
    let proxy = &mut proxies[0];
    // Endpoints with the current shed share are sent first, so that only routes are pending afterwards.
    service.advance(5_000.0);
    proxy.exchange(&mut service);
    service.report_rollout(Version(2), 1, RolloutPhase::Canary, 0.2);
    service.advance(100.0);
    proxy.send_requests(&mut service);
    let stream = &mut proxy.stream.as_mut().unwrap().stream;
    let snapshot = service.snapshot.clone().unwrap();
    while stream
        .next_response(&snapshot)
        .is_some_and(|response| response.resource_type != ResourceType::Route)
    {}
    for cap in [0.15, 0.1, 0.05] {
        service.report_rollout(Version(2), 1, RolloutPhase::Canary, cap);
        service.advance(100.0);
        let next = stream.next_response(service.snapshot.as_ref().unwrap());
        assert!(next.is_none(), "a type has at most one unacknowledged response");
    }
    for nonce in 1..100 {
        let acknowledgement = SubscriptionRequest {
            nonce: nonce.to_string(),
            ..subscription(ResourceType::Route, &["latchhaven"])
        };
        let _ = stream.on_request(acknowledgement);
    }
    let response = stream.next_response(service.snapshot.as_ref().unwrap()).unwrap();
    assert!(response.canary_shares.unwrap()[0].get() <= 50_000, "only the newest routes are sent");
    assert!(stream.next_response(service.snapshot.as_ref().unwrap()).is_none());
}

#[test]
fn single_type_stream_carries_only_its_type() {
    let (service, _) = service_with_canary(1);
    let snapshot = service.snapshot.unwrap();
    let subscriptions: [(ResourceType, &[&str]); 4] = [
        (ResourceType::Cluster, &[]),
        (ResourceType::Endpoint, &["b1"]),
        (ResourceType::Listener, &[]),
        (ResourceType::Route, &["latchhaven"]),
    ];
    for (resource_type, names) in subscriptions {
        for incremental in [false, true] {
            let mut stream = Stream::new(incremental, Some(resource_type), service.signer.clone());
            let node = Some("single".to_string());
            let first = SubscriptionRequest { node, ..subscription(resource_type, names) };
            stream.on_request(first).unwrap();
            let response = stream.next_response(&snapshot).expect("a response of the type");
            assert!(response.resource_type == resource_type && stream.next_response(&snapshot).is_none());
            let nonce = "1".to_string();
            let acknowledgement = SubscriptionRequest { nonce, ..subscription(resource_type, names) };
            stream.on_request(acknowledgement).unwrap();
            if !incremental || names.is_empty() {
                continue;
            }
            // A resource is sent again after the proxy unsubscribed and subscribed again.
            let unsubscription = SubscriptionRequest {
                unsubscribed: names.iter().map(ToString::to_string).collect(),
                ..subscription(resource_type, &[])
            };
            stream.on_request(unsubscription).unwrap();
            assert!(stream.next_response(&snapshot).is_none());
            stream.on_request(subscription(resource_type, names)).unwrap();
            let sent_again = stream.next_response(&snapshot).map(|response| response.resource_type);
            assert_eq!(sent_again, Some(resource_type));
        }
    }
}

#[test]
fn proxy_without_leds_gets_hosts_within_its_endpoints() {
    let mut service = TestService::start_with(100_000.0, "site", None, true);
    service.start_canary(1, 0.5);
    let snapshot = service.snapshot.unwrap();
    for (feature, inline_hosts) in [("latchhaven.whole_endpoints", 2), ("other", 0)] {
        let mut stream = Stream::new(true, None, service.signer.clone());
        let request = SubscriptionRequest {
            node: Some("old".to_string()),
            features: vec![feature.to_string()],
            ..subscription(ResourceType::Endpoint, &["b1"])
        };
        stream.on_request(request).unwrap();
        let bytes = stream.next_response(&snapshot).unwrap().chunks.concat();
        let mut cache = ResourceCache::new("old", true);
        cache.apply_response(&bytes, false);
        assert_eq!(cache.inline_endpoint_count("b1"), inline_hosts);
    }
}
