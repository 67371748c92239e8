//! Proxies, two services and a world that moves on, over random news, lists, losses, refusals and restarts: no proxy's
//! state ever goes back, no reference dangles, and all converge once things are quiet.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]
// Until its turn: docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use latchhaven_policy::*;
use latchhaven_proxy_config::freshness::KnownState;
use latchhaven_proxy_config::proxy_config::{self, ProxyConfigSettings};
use latchhaven_proxy_config::share_ledger::ShareLedger;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_test_support::cache::{Cache, Wanted};
use latchhaven_xds::resources::{ListenerConfig, ResourceSnapshot, ResourceType};
use latchhaven_xds::stream::{Stream, StreamEvent, StreamResponse};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The world at one moment: the newest build's state and the hosts' builds and health.
#[derive(Clone, Debug)]
struct Moment {
    news: RolloutState,
    hosts: Vec<(Version, bool)>,
    version: u64,
    at: Millis,
    /// When the newest build came to stand so.
    since: Millis,
}

fn products() -> Vec<RequestClass> {
    let product = |name: &str, effect| RequestClass {
        name: name.to_string(),
        idempotency: effect,
        dedup_scope: DedupScope::All,
        dedup_window: 5000.0,
        latency_objective: 600.0,
        objective_per_work: 0.0,
        timeout: 2000.0,
        priority_weight: 1.0,
        late_value_share: 0.0,
        streamed: false,
    };
    vec![product("look", Idempotency::Idempotent), product("pay", Idempotency::NonIdempotent)]
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2000 + n as u16))
}

/// The next moment: a new build, a stage on, back, withdrawn, or a host that drains, goes or comes back.
fn next(now: &Moment, kind: u8, pick: usize) -> Moment {
    let mut next = now.clone();
    next.at += 5_000.0;
    let news = &mut next.news;
    let before = *news;
    match (kind % 6, news.phase) {
        (0, RolloutPhase::Promoted | RolloutPhase::RolledBack) => {
            let (build, stage, phase, cap) = (Version(news.version.0 + 1), 0, RolloutPhase::Canary, 0.1);
            *news = RolloutState { version: build, stage, phase, traffic_cap: cap, ..*news };
            let n = pick % next.hosts.len();
            next.hosts[n] = (build, true);
            next.version += 1;
        }
        (1, RolloutPhase::Canary) if news.stage < 2 => (news.stage, news.traffic_cap) = (news.stage + 1, 0.5),
        (1, RolloutPhase::Canary) => {
            (news.phase, news.traffic_cap) = (RolloutPhase::Promoted, 1.0);
            let build = news.version;
            next.hosts.iter_mut().for_each(|host| host.0 = build);
            next.version += 1;
        }
        (2, RolloutPhase::Canary | RolloutPhase::Promoted) => {
            (news.phase, news.traffic_cap) = (RolloutPhase::RollingBack, 0.0)
        }
        (3, RolloutPhase::RollingBack) => {
            news.phase = RolloutPhase::RolledBack;
            let (bad, good) = (news.version, Version(news.version.0 - 1));
            next.hosts.iter_mut().filter(|host| host.0 == bad).for_each(|host| host.0 = good);
            next.version += 1;
        }
        _ => {
            let n = pick % next.hosts.len();
            next.hosts[n].1 = !next.hosts[n].1;
            next.version += 1;
        }
    }
    next.since = if next.news == before { now.since } else { next.at };
    next
}

struct Service {
    world: KnownState,
    snapshot: Option<ResourceSnapshot>,
    /// How far in the moments it has heard.
    heard: usize,
}

impl Service {
    fn new() -> Self {
        Service { world: KnownState::default(), snapshot: None, heard: 0 }
    }

    fn hear(&mut self, moment: &Moment, labels: &VersionSigner, apart: bool) {
        let news = RolloutState { age: moment.at - moment.since, ..moment.news };
        self.world.apply_rollout_state(&news, false, moment.at);
        self.world.apply_endpoint_list(moment.version, true, moment.at);
        self.make(moment, labels, apart);
    }

    fn make(&mut self, moment: &Moment, labels: &VersionSigner, apart: bool) {
        let Ok(basis) = self.world.config_version() else { return };
        // What is known of the newest build may be ahead of this moment, by what proxies hold.
        let news = basis.rollout.to_state(moment.at);
        let on =
            news.phase != RolloutPhase::Promoted && moment.hosts.iter().any(|host| host.0 == news.version);
        let trials = if on {
            vec![Canary { version: news.version, traffic_cap: news.traffic_cap, stage: news.stage }]
        } else {
            Vec::new()
        };
        let instances = moment.hosts.iter().enumerate().map(|(n, (build, ready))| EndpointSnapshot {
            endpoint: format!("s{n}"),
            version: *build,
            zone: format!("z{}", n % 2),
            is_ready: *ready,
            is_ejected: false,
            capacity: 1.0,
            is_warming_up: false,
        });
        let share = if news.phase == RolloutPhase::Canary { 0.5 } else { 0.0 };
        let outlook = PolicySnapshot {
            canaries: trials,
            canary_share: share,
            endpoints: instances.collect(),
            ..PolicySnapshot::default()
        };
        let exposure = ExposureConfig {
            allowance: 2.0,
            stage_caps: vec![0.1],
            window: 2000.0,
            ..ExposureConfig::default()
        };
        let cold = SlowStartConfig { overload_multiple: 3.0, ..SlowStartConfig::default() };
        let terms = ProxyConfigSettings {
            classes: products(),
            exposure,
            slow_start: cold,
            max_attempts: 3,
            max_in_flight_per_endpoint: 64,
        };
        let addresses: BTreeMap<_, _> = (0..moment.hosts.len()).map(|n| (format!("s{n}"), addr(n))).collect();
        let mut ledger = ShareLedger::new(10);
        ledger.connected(1);
        ledger.set_request_rate(1, vec![1.0, 1.0]);
        let made = proxy_config::build_proxy_config(
            &outlook,
            &terms,
            self.world.rolled_back_versions(),
            &addresses,
            &ledger,
            moment.at,
        );
        let front = ListenerConfig {
            address: addr(0),
            class_header: "x-product".to_string(),
            key_header: "x-key".to_string(),
            connect_timeout: 250.0,
            separate_endpoints: apart,
        };
        let made_of = std::sync::Arc::new((terms.classes, front));
        let snapshot = ResourceSnapshot::build(&made, basis, &made_of, labels, self.snapshot.as_ref());
        self.snapshot = Some(snapshot);
    }
}

struct Client {
    cache: Cache,
    /// Its stream: to which service, and what is under way in both directions.
    stream: Option<(usize, Stream, VecDeque<Wanted>, VecDeque<StreamResponse>)>,
}

impl Client {
    fn connect(&mut self, to: usize, labels: &VersionSigner) {
        let asks = self.cache.open().into();
        let stream = Stream::new(self.cache.incremental(), None, labels.clone());
        self.stream = Some((to, stream, asks, VecDeque::new()));
    }

    /// One request reaches the service.
    fn ask(&mut self, services: &mut [Service], now: Millis) {
        let Some((to, stream, asks, _)) = &mut self.stream else { return };
        let Some(ask) = asks.pop_front() else { return };
        stream.on_request(ask.into()).expect("a sound proxy");
        for said in stream.take_events() {
            if let StreamEvent::Holds { version: label, .. } = said {
                services[*to].world.apply_proxy_version(&label, now);
            }
        }
    }

    /// The service has room for one answer.
    fn answer(&mut self, services: &[Service]) {
        let Some((to, stream, _, answers)) = &mut self.stream else { return };
        if let Some(answer) =
            services[*to].snapshot.as_ref().and_then(|snapshot| stream.next_response(snapshot))
        {
            answers.push_back(answer);
        }
        assert!(answers.len() <= ResourceType::ALL.len(), "one pending answer a type");
    }

    /// One answer reaches the proxy.
    fn take(&mut self, refuse: bool) {
        let Some((_, _, asks, answers)) = &mut self.stream else { return };
        let Some(answer) = answers.pop_front() else { return };
        asks.extend(self.cache.take(&answer.chunks.concat(), refuse));
        assert_eq!(self.cache.regressions, 0, "a state went back");
        assert_eq!(self.cache.dangling, 0, "{:?} dangles in {:?}", self.cache.dangles(), self.cache);
    }
}

fn play(steps: Vec<(u8, u8, usize, bool)>, apart: bool) {
    let labels = VersionSigner::new(Some(b"site".to_vec()));
    let news = RolloutState {
        version: Version(1),
        stage: 0,
        phase: RolloutPhase::Promoted,
        traffic_cap: 1.0,
        age: 0.0,
    };
    let mut moments =
        vec![Moment { news, hosts: vec![(Version(1), true); 4], version: 1, at: 10_000.0, since: 9_000.0 }];
    let mut services = [Service::new(), Service::new()];
    let clients = (0..4).map(|n| Client { cache: Cache::new(&format!("p{n}"), n % 2 == 0), stream: None });
    let mut clients: Vec<Client> = clients.collect();
    for (kind, what, pick, refuse) in steps {
        let now = moments.last().unwrap().at;
        let client = pick % clients.len();
        let service = pick / 7 % 2;
        match kind % 10 {
            0 => {
                let next = next(&moments[moments.len() - 1], what, pick);
                moments.push(next);
            }
            // A service hears more, but perhaps not all: its list and news may be old.
            1 | 2 => {
                let heard = &mut services[service].heard;
                *heard = (*heard + 1 + usize::from(what) % 3).min(moments.len() - 1);
                let moment = moments[*heard].clone();
                services[service].hear(&moment, &labels, apart);
            }
            3 if what % 4 == 0 => {
                // Restarted, with a list that may be older than what it had handed out.
                services[service] = Service { heard: pick % moments.len(), ..Service::new() };
                let moment = moments[services[service].heard].clone();
                services[service].hear(&moment, &labels, apart);
                for client in clients.iter_mut().filter(|c| c.stream.as_ref().is_some_and(|s| s.0 == service))
                {
                    client.stream = None;
                }
            }
            3 => clients[client].stream = None,
            4 => clients[client].connect(service, &labels),
            5 => clients[client].ask(&mut services, now),
            6 => clients[client].answer(&services),
            7 => clients[client].take(refuse && what % 3 == 0),
            // For a while all goes well there.
            _ => {
                for _ in 0..12 {
                    clients[client].ask(&mut services, now);
                    clients[client].answer(&services);
                    clients[client].take(false);
                }
            }
        }
    }
    // Quiet: both hear all, every proxy is connected, everything arrives.
    let last = moments.last().unwrap().clone();
    for service in &mut services {
        service.hear(&last, &labels, apart);
    }
    for (n, client) in clients.iter_mut().enumerate() {
        if client.stream.is_none() || client.cache.refused > 0 {
            client.connect(n % 2, &labels);
        }
    }
    for round in 0..80 {
        for client in &mut clients {
            if round > 20 {
                client.stream.iter_mut().for_each(|(_, stream, ..)| stream.end_naming_grace());
            }
            client.ask(&mut services, last.at);
            client.answer(&services);
            client.take(false);
        }
        // As the control service does, the list is asked for whole while it is behind what is known.
        for service in &mut services {
            service.hear(&last, &labels, apart);
        }
    }
    for client in &clients {
        let (to, stream, ..) = client.stream.as_ref().unwrap();
        let snapshot = services[*to].snapshot.as_ref().expect("all was heard");
        assert_eq!(
            stream.first_pending_type(snapshot),
            None,
            "it holds what the service has: {:?}\n {:?}\n{:?} {:?}",
            client.cache,
            services[*to].world,
            snapshot.version,
            last
        );
        assert!(client.cache.dangles().is_none() && client.cache.way("look", false).is_some());
        let way = client.cache.way("pay", false).unwrap();
        assert!(way.retry_on == "connect-failure,refused-stream" || way.repeats == 0, "never a blind repeat");
        if last.news.phase == RolloutPhase::RolledBack || last.news.phase == RolloutPhase::RollingBack {
            assert_eq!(client.cache.part("look", last.news.version.0), 0);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..latchhaven_proptest_config::deterministic() })]

    #[test]
    fn nothing_goes_back_or_dangles_and_all_converge(
        steps in prop::collection::vec((any::<u8>(), any::<u8>(), any::<usize>(), any::<bool>()), 0..250),
        apart: bool
    ) {
        play(steps, apart);
    }
}
