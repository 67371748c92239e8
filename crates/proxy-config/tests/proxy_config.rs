//! The routes, limits and endpoints of a configuration built from a snapshot of the policy.

use latchhaven_policy::{
    Canary, DedupScope, EndpointSnapshot, ExposureConfig, Idempotency, Millis, PolicySnapshot, RequestClass,
    SlowStartConfig, Version,
};
use latchhaven_proxy_config::canary_share::max_share_within_cap;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::proxy_config::{
    EndpointHealth, ProxyConfig, ProxyConfigSettings, RetryScope, Route, RouteShare, RouteTarget,
    build_proxy_config,
};
use latchhaven_proxy_config::published_shares::PublishedShares;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The fraction of the recent request rate that a window is expected to have at least.
const MIN_TRAFFIC_RATIO: f64 = 0.5;

fn request_class(idempotency: Idempotency, dedup_scope: DedupScope, dedup_window: Millis) -> RequestClass {
    RequestClass {
        name: format!("{idempotency:?}{dedup_scope:?}"),
        idempotency,
        dedup_scope,
        dedup_window,
        latency_objective: 600.0,
        objective_per_work: 0.0,
        timeout: 2000.0,
        priority_weight: 1.0,
        late_value_share: 0.0,
        streamed: false,
    }
}

fn settings_for(classes: Vec<RequestClass>) -> ProxyConfigSettings {
    ProxyConfigSettings {
        classes,
        exposure: ExposureConfig {
            allowance: 2.0,
            stage_caps: vec![0.1, 1.0],
            window: 2000.0,
            per_class: false,
            idempotent_only_stages: 1,
            sticky_keys: true,
        },
        slow_start: SlowStartConfig {
            initial_capacity: 0.4,
            duration: 5000.0,
            overload_multiple: 3.0,
            overload_window: 1500.0,
        },
        max_attempts: 3,
        max_in_flight_per_endpoint: 64,
    }
}

fn settings() -> ProxyConfigSettings {
    settings_for(vec![
        request_class(Idempotency::Idempotent, DedupScope::All, 0.0),
        request_class(Idempotency::IdempotencyKey, DedupScope::All, 1500.0),
        request_class(Idempotency::IdempotencyKey, DedupScope::Zone, 5000.0),
        request_class(Idempotency::NonIdempotent, DedupScope::All, 0.0),
    ])
}

fn endpoint(number: usize, version: Version) -> EndpointSnapshot {
    EndpointSnapshot {
        endpoint: format!("s{number}"),
        version,
        zone: "a".to_string(),
        is_ready: true,
        is_ejected: false,
        capacity: 1.0,
        is_warming_up: false,
    }
}

fn snapshot(canary: Canary, canary_share: f64, endpoints: Vec<EndpointSnapshot>) -> PolicySnapshot {
    PolicySnapshot { canaries: vec![canary], canary_share, endpoints, ..PolicySnapshot::default() }
}

fn addresses(count: usize) -> BTreeMap<String, SocketAddr> {
    let address = |number: usize| SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16));
    (0..count).map(|number| (format!("s{number}"), address(number))).collect()
}

/// One connected proxy that has this request rate of each class, in requests per ms.
fn connected_proxy(request_rate: f64) -> PublishedShares {
    let mut published_shares = PublishedShares::new(10);
    published_shares.on_connected(1);
    published_shares.set_request_rate(1, vec![request_rate; 4]);
    published_shares
}

fn build(snapshot: &PolicySnapshot, rolled_back: &BTreeSet<Version>, request_rate: f64) -> ProxyConfig {
    build_proxy_config(
        snapshot,
        &settings(),
        rolled_back,
        &addresses(12),
        &connected_proxy(request_rate),
        0.0,
    )
}

/// The route of the only class of a configuration.
fn route_of(class: RequestClass) -> Route {
    let settings = settings_for(vec![class]);
    let snapshot = PolicySnapshot::default();
    let mut config = build_proxy_config(
        &snapshot,
        &settings,
        &BTreeSet::new(),
        &BTreeMap::new(),
        &connected_proxy(1.0),
        0.0,
    );
    config.routes.remove(0)
}

#[test]
fn closed_stage_and_sticky_keys_leave_canary_only_idempotent_requests() {
    let endpoints = vec![endpoint(0, Version(1)), endpoint(1, Version(2))];
    let canary = Canary { version: Version(2), traffic_cap: 0.1, stage: 0 };
    let config = build(&snapshot(canary, 0.5, endpoints), &BTreeSet::new(), 1.0);
    let shares: Vec<u32> = config.canary_shares.iter().map(|share| share.get()).collect();
    assert!(shares[0] > 30_000 && shares[0] < 100_000, "{shares:?}");
    assert_eq!(shares[1..], [0, 0, 0]);
    let baseline = RouteShare { target: RouteTarget::Version(Version(1)), share: PartsPerMillion::FULL };
    assert!(config.routes.iter().all(|route| route.sticky_shares.as_ref() == Some(&vec![baseline])));
    let allows_retries = |version: Version| version == Version(1);
    assert!(config.clusters.iter().all(|cluster| cluster.allows_retries == allows_retries(cluster.version)));
}

#[test]
fn rolled_back_version_gets_nothing_while_the_next_is_a_canary() {
    let endpoints = vec![endpoint(0, Version(1)), endpoint(1, Version(2)), endpoint(2, Version(3))];
    let canary = Canary { version: Version(3), traffic_cap: 0.1, stage: 1 };
    let config = build(&snapshot(canary, 0.3, endpoints), &BTreeSet::from([Version(2)]), 1.0);
    let gets_requests = |version| {
        let target = RouteTarget::Version(version);
        let sticky_shares = config.routes.iter().flat_map(|route| route.sticky_shares.iter().flatten());
        let mut shares = config.routes.iter().flat_map(|route| &route.shares).chain(sticky_shares);
        shares.any(|share| share.target == target && share.share > PartsPerMillion::ZERO)
    };
    assert!(gets_requests(Version(1)) && gets_requests(Version(3)) && !gets_requests(Version(2)));
}

#[test]
fn retries_follow_idempotency_and_dedup_window_of_the_class() {
    let retries = |idempotency, dedup_scope, dedup_window| {
        let route = route_of(request_class(idempotency, dedup_scope, dedup_window));
        (route.retry_scope, route.max_retries, route.attempt_timeout)
    };
    let non_idempotent = retries(Idempotency::NonIdempotent, DedupScope::All, 9000.0);
    assert_eq!(non_idempotent, (RetryScope::NotExecuted, 2, None));
    let scoped_key = retries(Idempotency::IdempotencyKey, DedupScope::Cell, 9000.0);
    assert_eq!(scoped_key.0, RetryScope::NotExecuted);
    let key = |dedup_window| retries(Idempotency::IdempotencyKey, DedupScope::All, dedup_window);
    assert_eq!(key(9000.0), (RetryScope::Any, 2, Some(600.0)));
    // The deduplication window has time for only one retry, or for none.
    assert_eq!(key(900.0).1, 1);
    assert_eq!(key(700.0).1, 0);
}

prop_compose! {
    fn any_endpoint()(
        version in 1u32..5, is_ready: bool, is_ejected: bool, is_warming_up: bool
    ) -> EndpointSnapshot {
        let capacity = if is_warming_up { 0.4 } else { 1.0 };
        EndpointSnapshot { is_ready, is_ejected, capacity, is_warming_up, ..endpoint(0, Version(version)) }
    }
}

/// The largest share of a canary within its cap, at this request rate of each of the four classes, in requests per ms.
fn max_share(traffic_cap: f64, request_rate: f64) -> PartsPerMillion {
    let min_requests = request_rate * 4.0 * 2000.0 * MIN_TRAFFIC_RATIO;
    PartsPerMillion::from_fraction_floor(max_share_within_cap(traffic_cap, 2.0, min_requests))
}

/// The expected limits of one configuration.
struct Rules {
    canary_versions: BTreeSet<Version>,
    rolled_back: BTreeSet<Version>,
    /// The largest share of one canary.
    max_share: PartsPerMillion,
    /// Set when canaries get idempotent requests only.
    is_stage_closed: bool,
}

impl Rules {
    fn check_route(&self, config: &ProxyConfig, route: &Route) -> Result<(), TestCaseError> {
        let is_idempotent = settings().classes[route.class].idempotency == Idempotency::Idempotent;
        let is_class_allowed = is_idempotent || !self.is_stage_closed;
        for shares in [Some(&route.shares), route.sticky_shares.as_ref()].into_iter().flatten() {
            let total: PartsPerMillion = shares.iter().map(|share| share.share).sum();
            prop_assert_eq!(total, PartsPerMillion::FULL);
            for RouteShare { target, share } in shares {
                let RouteTarget::Version(version) = target else { continue };
                let is_zero = *share == PartsPerMillion::ZERO;
                let is_canary = self.canary_versions.contains(version);
                prop_assert!(is_zero || !self.rolled_back.contains(version) || is_canary);
                prop_assert!(!is_canary || (*share <= self.max_share && (is_zero || is_class_allowed)));
                prop_assert!(config.endpoints.contains_key(version), "no endpoints of {version}");
            }
        }
        Ok(())
    }
}

fn check_endpoints(config: &ProxyConfig, snapshot: &PolicySnapshot) -> Result<(), TestCaseError> {
    for (version, endpoints) in &config.endpoints {
        for endpoint in endpoints {
            let number: usize = endpoint.endpoint[1..].parse().expect("ids end in their index");
            let listed = &snapshot.endpoints[number];
            prop_assert!(listed.is_ready || endpoint.health == EndpointHealth::Draining);
            prop_assert_eq!(listed.version, *version);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    /// For any fleet: the shares of each route sum to 1, the canary is within its cap and receives only permitted
    /// classes, and a rolled-back version receives nothing.
    #[test]
    fn every_configuration_is_within_its_limits(
        mut endpoints in prop::collection::vec(any_endpoint(), 0..12),
        cap in 0.0f64..=1.0, stage in 0u32..2, canary_share in 0.0f64..=1.0, rate in 0.0f64..10.0,
        rolled_back in prop::collection::btree_set((1u32..3).prop_map(Version), 0..2), shed in 0.0f64..=1.0
    ) {
        for (number, endpoint) in endpoints.iter_mut().enumerate() {
            endpoint.endpoint = format!("s{number}");
        }
        let is_canary = |endpoint: &&EndpointSnapshot| endpoint.is_ready && endpoint.version >= Version(3);
        let canary_versions: BTreeSet<Version> =
            endpoints.iter().filter(is_canary).map(|endpoint| endpoint.version).collect();
        let canary = |version: &Version| Canary { version: *version, traffic_cap: cap, stage };
        let snapshot = PolicySnapshot {
            canaries: canary_versions.iter().map(canary).collect(),
            canary_share,
            shed_probability: shed,
            endpoints,
            ..PolicySnapshot::default()
        };
        let config = build(&snapshot, &rolled_back, rate);
        let rules =
            Rules { canary_versions, rolled_back, max_share: max_share(cap, rate), is_stage_closed: stage < 1 };
        for route in &config.routes {
            rules.check_route(&config, route)?;
        }
        for cluster in &config.clusters {
            prop_assert!(config.endpoints.contains_key(&cluster.version));
            let is_canary = rules.canary_versions.contains(&cluster.version);
            prop_assert!(!cluster.allows_retries || cap >= 1.0 || !is_canary);
        }
        check_endpoints(&config, &snapshot)?;
    }
}
