//! The hard cases, one by one, with the service's whole state and proxies that cache as real ones do, under a clock of
//! the test's own.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

use latchhaven_control_plane::control_plane::ControlPlane;
use latchhaven_control_plane::state_store::PersistedState;
use latchhaven_policy::*;
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, ProxyReport};
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::terms;
use latchhaven_test_support::resource_cache::{CacheRequest, ResourceCache};
use latchhaven_xds::resources::{ListenerConfig, ResourceSnapshot, ResourceType};
use latchhaven_xds::stream::{Stream, SubscriptionRequest};
use std::net::SocketAddr;
use std::sync::Arc;

const SETTINGS: &str = r#"{
    "classes": [{"name": "look", "aim-s": 0.6, "hard-limit-s": 2.0, "effect": "idempotent", "gain": 1.0},
        {"name": "pay", "aim-s": 0.6, "hard-limit-s": 2.0, "effect": "at_most_once", "gain": 1.0}],
    "domain": {"allowance": 2.0, "caps": [0.1, 0.5, 1.0], "window-s": 2.0, "counts": "all", "vote-mode": "single",
        "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 4.0, "style": "rolling"},
    "permissions": {"cancelling": true, "second-copies": false, "try-limit": 3},
    "rules": {"ask-within-s": 1.0, "drain-grace-s": 2.0, "cold-from": 0.5, "warm-up-s": 2.0, "tip-multiple": 3.0,
        "fall-s": 1.5},
    "registry-mode": "subscribe", "me": 0, "replicas-of-me": 1}"#;

/// A service under the test's clock.
struct Service {
    core: ControlPlane,
    now: Millis,
    snapshot: Option<Arc<ResourceSnapshot>>,
    kept: Option<PersistedState>,
    labels: VersionSigner,
    streams: u64,
    votes: Vec<(Version, Verdict)>,
}

impl Service {
    fn start(now: Millis, key: &str, kept: Option<PersistedState>) -> Self {
        Service::start_with(now, key, kept, false)
    }

    fn start_with(now: Millis, key: &str, kept: Option<PersistedState>, hosts_apart: bool) -> Self {
        let settings = || terms::read(SETTINGS).unwrap();
        let (exposure, cold, submissions) = settings().bounds();
        let products = settings().products();
        let terms = ProxyConfigSettings {
            classes: products,
            exposure,
            slow_start: cold,
            max_attempts: submissions,
            max_in_flight_per_endpoint: 64,
        };
        let front = ListenerConfig {
            address: SocketAddr::from(([127, 0, 0, 1], 10_000)),
            class_header: "x-product".to_string(),
            key_header: "x-key".to_string(),
            connect_timeout: 250.0,
            separate_endpoints: hosts_apart,
        };
        let labels = VersionSigner::new(Some(key.as_bytes().to_vec()));
        let core = ControlPlane::new(settings().start(7), terms, front, labels.clone(), 100, false, kept);
        Service { core, now, snapshot: None, kept: None, labels, streams: 0, votes: Vec::new() }
    }

    /// Lets time pass.
    fn pass(&mut self, ms: Millis) {
        let until = self.now + ms;
        while self.now < until {
            self.now = (self.now + 10.0).min(until);
            let doings = self.core.poll(self.now);
            for action in doings.actions {
                if let Action::CastVote { version: build, verdict, .. } = action {
                    self.votes.push((build, verdict));
                }
            }
            if let Some((snapshot, kept)) = doings.published {
                (self.snapshot, self.kept) = (Some(snapshot), Some(kept));
            }
        }
    }

    fn news(&mut self, build: Version, stage: u32, phase: RolloutPhase, cap: f64) {
        let news = RolloutState { version: build, stage, phase, traffic_cap: cap, age: 0.0 };
        self.core.on_rollout_state(news, self.now);
    }

    /// A whole list: each host's build, and whether it is ready; host n is at port n.
    fn list(&mut self, version: u64, hosts: &[(u16, Version, bool)]) {
        let entries = hosts.iter().map(|(n, build, ready)| {
            let listing = EndpointEntry {
                endpoint: format!("s{n}"),
                status: if *ready { EndpointStatus::Ready } else { EndpointStatus::Draining },
                version: *build,
                zone: "a".to_string(),
                cell: 0,
                machine_type: String::new(),
                weight: 1.0,
                started_at: 0.0,
            };
            (listing, addr(*n))
        });
        self.core.on_endpoint_list(version, true, entries.collect(), self.now);
    }

    /// Two hosts of build 1, released, and build 2 beside them on trial.
    fn on_trial(&mut self, stage: u32, cap: f64) {
        self.list(
            5,
            &[(1, Version(1), true), (2, Version(1), true), (3, Version(2), true), (4, Version(2), true)],
        );
        self.news(Version(2), stage, RolloutPhase::Canary, cap);
        self.pass(20.0);
    }

    /// Proxies report much traffic, all of it well.
    fn traffic(&mut self, proxies: &[&Proxy]) {
        for proxy in proxies {
            let Some((stream, ..)) = proxy.stream else { continue };
            let figures = EndpointCounts { started: 4000, succeeded: 4000, ..EndpointCounts::default() };
            let cluster = |product| ClusterReport {
                version: Version(1),
                class: product,
                endpoints: vec![(addr(1), figures)],
                dropped: 0,
            };
            let report = ProxyReport { interval: 1000.0, clusters: vec![cluster(0), cluster(1)] };
            self.core.on_load_report(stream, &report, self.now).unwrap();
        }
        self.pass(300.0);
    }
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

struct Proxy {
    cache: ResourceCache,
    node: String,
    stream: Option<(u64, Stream, Vec<CacheRequest>)>,
    refuses: bool,
}

impl Proxy {
    fn new(node: &str, incremental: bool) -> Self {
        Proxy {
            cache: ResourceCache::new(node, incremental),
            node: node.to_string(),
            stream: None,
            refuses: false,
        }
    }

    fn connect(&mut self, service: &mut Service) {
        service.streams += 1;
        let number = service.streams;
        assert!(service.core.request_stream(number, self.node.clone(), service.now));
        service.pass(20.0);
        let stream = Stream::new(self.cache.is_incremental(), None, service.labels.clone());
        self.stream = Some((number, stream, self.cache.initial_requests()));
    }

    fn leave(&mut self, service: &mut Service) {
        if let Some((number, ..)) = self.stream.take() {
            service.core.on_stream_closed(number, service.now);
        }
    }

    /// Asks and is answered until nothing more is said; how many answers there were.
    fn talk(&mut self, service: &mut Service) -> usize {
        let mut answers = 0;
        while self.step(service) {
            answers += 1;
        }
        assert_eq!(
            (self.cache.regressions, self.cache.dangling),
            (0, 0),
            "{:?}",
            self.cache.dangling_reference()
        );
        answers
    }

    fn ask(&mut self, service: &mut Service) {
        let Some((number, stream, asks)) = &mut self.stream else { return };
        asks.drain(..).for_each(|ask| stream.on_request(ask.into()).unwrap());
        let said = stream.take_events();
        service.core.on_stream_events(*number, said, service.now);
    }

    fn step(&mut self, service: &mut Service) -> bool {
        self.ask(service);
        let Some((number, stream, asks)) = &mut self.stream else { return false };
        let answer = service.snapshot.as_ref().and_then(|snapshot| stream.next_response(snapshot));
        let said = stream.take_events();
        service.core.on_stream_events(*number, said, service.now);
        let Some(answer) = answer else { return false };
        if let Some(trial) = &answer.canary_shares {
            service.core.on_routes_sent(*number, trial, service.now);
        }
        *asks = self.cache.apply_response(
            &answer.chunks.concat(),
            self.refuses && answer.resource_type == ResourceType::Route,
        );
        true
    }

    fn part(&self, build: Version) -> f64 {
        f64::from(self.cache.version_share("look", build.0)) / 1e6
    }
}

fn talk_all(proxies: &mut [Proxy], service: &mut Service) {
    for proxy in proxies {
        proxy.talk(service);
    }
}

/// A service with build 2 on trial at half, and proxies that hold it.
fn settled(proxies: usize) -> (Service, Vec<Proxy>) {
    let mut service = Service::start(100_000.0, "site", None);
    service.on_trial(1, 0.5);
    let mut all: Vec<Proxy> = (0..proxies).map(|n| Proxy::new(&format!("p{n}"), n % 2 == 1)).collect();
    for proxy in &mut all {
        proxy.connect(&mut service);
        proxy.talk(&mut service);
    }
    let refs: Vec<&Proxy> = all.iter().collect();
    service.traffic(&refs);
    service.pass(1_000.0);
    talk_all(&mut all, &mut service);
    assert!(all.iter().all(|proxy| proxy.part(Version(2)) > 0.4), "{:?}", all[0].part(Version(2)));
    (service, all)
}

#[test]
fn nothing_is_handed_out_before_list_and_platform_are_known() {
    let mut service = Service::start(100_000.0, "site", None);
    service.pass(1_000.0);
    service.list(5, &[(1, Version(1), true)]);
    service.pass(1_000.0);
    assert!(service.snapshot.is_none(), "the platform has told nothing");
    service.news(Version(1), 0, RolloutPhase::Promoted, 1.0);
    service.pass(20.0);
    assert!(service.snapshot.is_some());
}

#[test]
fn a_proxy_that_comes_back_between_withdrawal_and_the_next_build_gets_neither() {
    let (mut service, mut proxies) = settled(2);
    proxies.iter_mut().for_each(|proxy| proxy.leave(&mut service));
    service.news(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.pass(500.0);
    service.news(Version(2), 1, RolloutPhase::RolledBack, 0.0);
    service.pass(500.0);
    for proxy in &mut proxies {
        proxy.connect(&mut service);
        proxy.talk(&mut service);
        assert_eq!(proxy.part(Version(2)), 0.0);
    }
    // The next one is on trial while a host of the withdrawn one is still listed.
    service.list(
        6,
        &[(1, Version(1), true), (2, Version(1), true), (3, Version(2), true), (4, Version(3), true)],
    );
    service.news(Version(3), 0, RolloutPhase::Canary, 0.1);
    service.pass(500.0);
    for proxy in &mut proxies {
        proxy.talk(&mut service);
        assert_eq!(proxy.part(Version(2)), 0.0, "a withdrawn build is no earlier one");
        assert!(proxy.part(Version(1)) > 0.8);
    }
}

#[test]
fn a_restarted_service_with_an_old_list_says_nothing_until_it_has_caught_up() {
    let (mut service, mut proxies) = settled(2);
    service.list(
        40,
        &[(1, Version(1), true), (2, Version(1), false), (3, Version(2), true), (4, Version(2), true)],
    );
    service.news(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.pass(100.0);
    talk_all(&mut proxies, &mut service);
    // With what was kept, and without it by what proxies hold.
    for kept in [service.kept.clone(), None] {
        let mut again = Service::start(service.now, "site", kept);
        again.on_trial(1, 0.5);
        for proxy in &mut proxies {
            proxy.connect(&mut again);
            assert_eq!(proxy.talk(&mut again), 0, "nothing older");
            assert_eq!(proxy.part(Version(2)), 0.0);
        }
        again.pass(1_000.0);
        proxies.iter_mut().for_each(|proxy| assert_eq!(proxy.talk(&mut again), 0));
        again.list(41, &[(1, Version(1), true), (3, Version(1), true)]);
        again.news(Version(2), 1, RolloutPhase::RolledBack, 0.0);
        again.pass(100.0);
        for proxy in &mut proxies {
            proxy.talk(&mut again);
            assert_eq!((proxy.part(Version(2)), proxy.part(Version(1))), (0.0, 1.0));
            proxy.leave(&mut again);
        }
    }
}

#[test]
fn a_service_cut_off_from_the_platform_learns_from_proxies_that_the_build_is_back() {
    let (mut service, mut proxies) = settled(2);
    let mut cut_off = Service::start(service.now, "site", None);
    cut_off.on_trial(1, 0.5);
    service.news(Version(2), 1, RolloutPhase::RolledBack, 0.0);
    service.pass(100.0);
    talk_all(&mut proxies, &mut service);
    proxies[0].leave(&mut service);
    proxies[0].connect(&mut cut_off);
    proxies[0].ask(&mut cut_off);
    cut_off.pass(100.0);
    proxies[0].talk(&mut cut_off);
    assert_eq!(proxies[0].part(Version(2)), 0.0);
    // One that knows nothing gets no share of it there either.
    let mut fresh = Proxy::new("fresh", false);
    fresh.connect(&mut cut_off);
    fresh.talk(&mut cut_off);
    assert_eq!((fresh.part(Version(2)), fresh.part(Version(1))), (0.0, 1.0));
    // What is not signed by the site moves nobody.
    let mut foreign = Service::start(service.now, "another", None);
    foreign.on_trial(1, 0.5);
    proxies[1].connect(&mut foreign);
    proxies[1].talk(&mut foreign);
    assert_eq!(
        (proxies[1].part(Version(2)), proxies[1].part(Version(1))),
        (0.0, 1.0),
        "what it holds guards its own stream"
    );
    let mut other = Proxy::new("other", false);
    other.connect(&mut foreign);
    other.talk(&mut foreign);
    let basis =
        |proxy: &Proxy| proxy.cache.newest_version(ResourceType::Route).map(|basis| basis.rollout.status);
    assert_ne!(basis(&other), basis(&proxies[1]), "and moves nobody else");
}

#[test]
fn while_an_answer_is_not_accepted_only_the_newest_waits_behind_it() {
    let (mut service, mut proxies) = settled(1);
    let proxy = &mut proxies[0];
    // Endpoints tell the share declined: it has faded and is told before anything waits.
    service.pass(5_000.0);
    proxy.talk(&mut service);
    service.news(Version(2), 1, RolloutPhase::Canary, 0.2);
    service.pass(100.0);
    proxy.ask(&mut service);
    let (_, stream, _) = proxy.stream.as_mut().unwrap();
    let snapshot = service.snapshot.clone().unwrap();
    while stream.next_response(&snapshot).is_some_and(|answer| answer.resource_type != ResourceType::Route) {}
    for cap in [0.15, 0.1, 0.05] {
        service.news(Version(2), 1, RolloutPhase::Canary, cap);
        service.pass(100.0);
        assert!(
            stream.next_response(service.snapshot.as_ref().unwrap()).is_none(),
            "one pending answer a type"
        );
    }
    let routes = ResourceType::Route.url().to_string();
    let nonce = (1..100).map(|nonce| nonce.to_string());
    for nonce in nonce {
        let names = vec!["latchhaven".to_string()];
        let _ = stream.on_request(SubscriptionRequest {
            type_url: routes.clone(),
            names,
            nonce,
            ..SubscriptionRequest::default()
        });
    }
    let answer = stream.next_response(service.snapshot.as_ref().unwrap()).unwrap();
    assert!(answer.canary_shares.unwrap()[0] <= 50_000, "the newest, none between");
    assert!(stream.next_response(service.snapshot.as_ref().unwrap()).is_none());
}

#[test]
fn proxies_that_refuse_stay_where_they_are_and_the_others_make_room() {
    let (mut service, mut proxies) = settled(4);
    let held = proxies[0].part(Version(2));
    proxies.iter_mut().take(2).for_each(|proxy| proxy.refuses = true);
    service.news(Version(2), 1, RolloutPhase::Canary, 0.3);
    service.pass(20.0);
    for _ in 0..10 {
        let mut answers: Vec<usize> = proxies.iter_mut().map(|proxy| proxy.talk(&mut service)).collect();
        service.pass(300.0);
        answers.retain(|answers| *answers > 3);
        assert!(answers.is_empty(), "what was refused is not sent in a loop");
    }
    assert!(proxies[..2].iter().all(|proxy| proxy.part(Version(2)) == held && proxy.cache.rejected >= 1));
    let sum: f64 = proxies.iter().map(|proxy| proxy.part(Version(2))).sum::<f64>() / 4.0;
    assert!(sum <= 0.3, "{sum}");
    assert!(proxies[2].part(Version(2)) < 0.15 && proxies[3].part(Version(2)) < 0.15);
}

#[test]
fn a_tenth_that_is_cut_off_keeps_its_share_and_the_sum_keeps_the_cap() {
    let (mut service, mut proxies) = settled(10);
    let held = proxies[4].part(Version(2));
    proxies[4].leave(&mut service);
    for cap in [0.4, 0.2, 0.06] {
        service.news(Version(2), 1, RolloutPhase::Canary, cap);
        service.pass(60.0);
        talk_all(&mut proxies, &mut service);
        let sum = proxies.iter().map(|proxy| proxy.part(Version(2))).sum::<f64>() / 10.0;
        assert!(sum <= cap && proxies[4].part(Version(2)) == held, "{sum} of {cap}");
    }
    service.news(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.pass(60.0);
    talk_all(&mut proxies, &mut service);
    assert!(
        proxies.iter().enumerate().all(|(n, proxy)| n == 4 || proxy.part(Version(2)) == 0.0),
        "at once, to all who hear"
    );
    proxies[4].connect(&mut service);
    proxies[4].talk(&mut service);
    assert_eq!(proxies[4].part(Version(2)), 0.0);
}

#[test]
fn a_burst_of_news_is_two_handouts_and_a_drain_waits_for_nothing() {
    let (mut service, _) = settled(1);
    service.pass(100.0);
    let before = service.snapshot.as_ref().unwrap().number;
    service.list(
        100,
        &[(1, Version(1), false), (2, Version(1), true), (3, Version(2), true), (4, Version(2), true)],
    );
    service.pass(10.0);
    assert_eq!(service.snapshot.as_ref().unwrap().number, before + 1, "at once");
    for n in 0..30u64 {
        service.list(
            101 + n,
            &[
                (1, Version(1), n % 2 == 0),
                (2, Version(1), true),
                (3, Version(2), n % 3 == 0),
                (4, Version(2), true),
            ],
        );
        service.now += 1.0;
        service.core.poll(service.now);
    }
    service.pass(60.0);
    assert!(service.snapshot.as_ref().unwrap().number <= before + 3);
    assert_eq!(service.snapshot.as_ref().unwrap().version.endpoints.version, 130, "the newest");
}

#[test]
fn killed_between_clusters_and_endpoints_nothing_dangles() {
    for steps in 0..12 {
        let mut service = Service::start(100_000.0, "site", None);
        service.on_trial(1, 0.5);
        let mut proxies = [Proxy::new("whole", false), Proxy::new("apart", true)];
        for proxy in &mut proxies {
            proxy.connect(&mut service);
            for _ in 0..steps {
                proxy.step(&mut service);
            }
        }
        let mut again = Service::start(service.now, "site", service.kept.clone());
        again.list(6, &[(1, Version(1), true), (2, Version(1), true), (5, Version(3), true)]);
        again.news(Version(3), 0, RolloutPhase::Canary, 0.1);
        again.pass(20.0);
        for proxy in &mut proxies {
            proxy.connect(&mut again);
            proxy.talk(&mut again);
            assert_eq!(proxy.part(Version(2)), 0.0);
            assert!(proxy.cache.route("pay", false).is_some(), "after {steps} steps");
        }
    }
}

#[test]
fn streams_of_a_single_type_carry_that_type_alone() {
    let (service, _) = settled(1);
    let snapshot = service.snapshot.unwrap();
    for (kind, name) in [
        (ResourceType::Cluster, ""),
        (ResourceType::Endpoint, "b1"),
        (ResourceType::Listener, ""),
        (ResourceType::Route, "latchhaven"),
    ] {
        for incremental in [false, true] {
            let mut stream = Stream::new(incremental, Some(kind), service.labels.clone());
            let names: Vec<String> =
                Some(name.to_string()).filter(|name| !name.is_empty()).into_iter().collect();
            let node = Some("single".to_string());
            let ask = SubscriptionRequest {
                type_url: kind.url().to_string(),
                node,
                names: names.clone(),
                ..SubscriptionRequest::default()
            };
            stream.on_request(ask).unwrap();
            let answer = stream.next_response(&snapshot).expect("its type");
            assert!(answer.resource_type == kind && stream.next_response(&snapshot).is_none());
            // Let go and asked for again, it is sent again.
            let url = kind.url().to_string();
            let ask = SubscriptionRequest {
                type_url: url.clone(),
                nonce: "1".to_string(),
                names: names.clone(),
                ..SubscriptionRequest::default()
            };
            stream.on_request(ask).unwrap();
            if incremental && !names.is_empty() {
                let ask = SubscriptionRequest {
                    type_url: url.clone(),
                    unsubscribed: names.clone(),
                    ..SubscriptionRequest::default()
                };
                stream.on_request(ask).unwrap();
                assert!(stream.next_response(&snapshot).is_none());
                stream
                    .on_request(SubscriptionRequest {
                        type_url: url,
                        names,
                        ..SubscriptionRequest::default()
                    })
                    .unwrap();
                assert_eq!(stream.next_response(&snapshot).map(|answer| answer.resource_type), Some(kind));
            }
        }
    }
}

#[test]
fn a_proxy_that_does_not_know_leds_gets_hosts_within_its_endpoints() {
    let mut service = Service::start_with(100_000.0, "site", None, true);
    service.on_trial(1, 0.5);
    let snapshot = service.snapshot.unwrap();
    for (feature, within) in [("latchhaven.whole_endpoints", true), ("other", false)] {
        let mut stream = Stream::new(true, None, service.labels.clone());
        let (node, features) = (Some("old".to_string()), vec![feature.to_string()]);
        let names = vec!["b1".to_string()];
        let url = ResourceType::Endpoint.url().to_string();
        stream
            .on_request(SubscriptionRequest {
                type_url: url,
                node,
                features,
                names,
                ..SubscriptionRequest::default()
            })
            .unwrap();
        let bytes = stream.next_response(&snapshot).unwrap().chunks.concat();
        let mut cache = ResourceCache::new("old", true);
        cache.apply_response(&bytes, false);
        assert_eq!(cache.inline_endpoint_count("b1"), if within { 2 } else { 0 });
    }
}

#[test]
fn a_host_drains_goes_and_is_back_at_its_address_with_another_build() {
    let (mut service, mut proxies) = settled(2);
    let health = |proxy: &Proxy, cluster: &str| {
        let hosts = proxy.cache.cluster_endpoints(cluster).endpoints;
        hosts.into_iter().find(|host| host.addr == addr(2)).map(|host| host.is_healthy)
    };
    assert_eq!(health(&proxies[0], "b1/pay"), Some(true));
    type Step<'a> = (&'a [(u16, Version, bool)], Option<bool>, Option<bool>);
    let steps: [Step; 3] = [
        (
            &[(1, Version(1), true), (2, Version(1), false), (3, Version(2), true), (4, Version(2), true)],
            Some(false),
            None,
        ),
        (&[(1, Version(1), true), (3, Version(2), true), (4, Version(2), true)], None, None),
        (
            &[(1, Version(1), true), (2, Version(2), true), (3, Version(2), true), (4, Version(2), true)],
            None,
            Some(true),
        ),
    ];
    for (n, (hosts, earlier, trial)) in steps.into_iter().enumerate() {
        service.list(10 + n as u64, hosts);
        service.pass(60.0);
        for proxy in &mut proxies {
            proxy.talk(&mut service);
            assert_eq!(health(proxy, "b1/pay"), earlier, "step {n}");
            assert_eq!(health(proxy, "b2/pay"), trial, "step {n}");
        }
    }
    // Late counts of its earlier life are taken, those of a host that never was are refused.
    let stream = proxies[0].stream.as_ref().unwrap().0;
    let of = |host: u16| {
        let hosts =
            vec![(addr(host), EndpointCounts { succeeded: 1, started: 1, ..EndpointCounts::default() })];
        ProxyReport {
            interval: 1000.0,
            clusters: vec![ClusterReport { version: Version(1), class: 0, endpoints: hosts, dropped: 0 }],
        }
    };
    assert!(service.core.on_load_report(stream, &of(2), service.now).is_ok());
    assert!(
        service
            .core
            .on_load_report(stream, &of(9), service.now)
            .unwrap_err()
            .contains("no host of its cluster")
    );
}

#[test]
fn a_build_after_one_that_was_found_bad_here_gets_its_share() {
    let (mut service, mut proxies) = settled(3);
    let report =
        |service: &mut Service, proxy: &Proxy, build: Version, host: u16, settled: u64, failed: u64| {
            let figures = EndpointCounts {
                started: settled + failed,
                succeeded: settled,
                failed,
                ..EndpointCounts::default()
            };
            let cluster = |build, host, figures| ClusterReport {
                version: build,
                class: 0,
                endpoints: vec![(addr(host), figures)],
                dropped: 0,
            };
            let fine = EndpointCounts { started: 500, succeeded: 500, ..EndpointCounts::default() };
            let clusters = vec![cluster(Version(1), 1, fine), cluster(build, host, figures)];
            let stream = proxy.stream.as_ref().unwrap().0;
            service
                .core
                .on_load_report(stream, &ProxyReport { interval: 1000.0, clusters }, service.now)
                .unwrap();
        };
    for _ in 0..20 {
        proxies.iter().for_each(|proxy| report(&mut service, proxy, Version(2), 3, 150, 150));
        service.pass(1_000.0);
        talk_all(&mut proxies, &mut service);
    }
    assert_eq!(service.votes.last(), Some(&(Version(2), Verdict::RollBack)));
    service.news(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.pass(1_000.0);
    service.news(Version(2), 1, RolloutPhase::RolledBack, 0.0);
    service.list(
        6,
        &[(1, Version(1), true), (2, Version(1), true), (3, Version(1), true), (4, Version(3), true)],
    );
    service.pass(1_000.0);
    service.news(Version(3), 1, RolloutPhase::Canary, 0.5);
    for _ in 0..4 {
        proxies.iter().for_each(|proxy| report(&mut service, proxy, Version(3), 4, 100, 0));
        service.pass(1_000.0);
        talk_all(&mut proxies, &mut service);
    }
    assert!(proxies.iter().all(|proxy| proxy.part(Version(3)) > 0.1), "{}", proxies[0].part(Version(3)));
}

#[test]
fn reports_of_proxies_condemn_a_bad_build_and_pass_a_good_one() {
    for (fails, wanted) in [(0.0, Verdict::Promote), (0.5, Verdict::RollBack)] {
        let (mut service, mut proxies) = settled(3);
        for _ in 0..40 {
            for proxy in &mut proxies {
                let cluster = |build, count: f64, fails: f64, host| {
                    let failed = (count * fails) as u64;
                    let settled = count as u64 - failed;
                    let (took, timed) = (20.0 * settled as f64, settled);
                    let figures = EndpointCounts {
                        started: settled + failed,
                        succeeded: settled,
                        failed,
                        in_flight: 0,
                        total_latency: took,
                        latency_samples: timed,
                    };
                    ClusterReport {
                        version: build,
                        class: 0,
                        endpoints: vec![(addr(host), figures)],
                        dropped: 0,
                    }
                };
                let clusters =
                    vec![cluster(Version(1), 500.0, 0.002, 1), cluster(Version(2), 300.0, fails, 3)];
                let stream = proxy.stream.as_ref().unwrap().0;
                let now = service.now;
                service
                    .core
                    .on_load_report(stream, &ProxyReport { interval: 1000.0, clusters }, now)
                    .unwrap();
            }
            service.pass(1_000.0);
            talk_all(&mut proxies, &mut service);
        }
        assert_eq!(service.votes.last(), Some(&(Version(2), wanted)), "{:?}", service.votes);
        assert_eq!(proxies[0].part(Version(2)) == 0.0, wanted == Verdict::RollBack);
    }
}
