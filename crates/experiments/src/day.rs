//! A day in simulated time: the same clients, hosts and builds, routed by handouts, by gateways that decide
//! each txn themselves, and evenly over all hosts. Nothing here is a socket; the decisions, handouts, streams
//! and caches are the project's own. The same seed gives the same day.

use crate::event_queue::EventQueue;
use clap::Args;
use latchhaven_control_plane::control_plane::ControlPlane;
use latchhaven_policy::Policy;
use latchhaven_policy::*;
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, ProxyReport};
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::terms;
use latchhaven_test_support::resource_cache::{CacheRequest, CachedEndpoint, ResourceCache};
use latchhaven_xds::resources::{ListenerConfig, ResourceSnapshot, parse_cluster_name};
use latchhaven_xds::stream::Stream;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// How many days, and how large.
#[derive(Args, Clone, Debug)]
pub struct Sizes {
    #[arg(long, default_value_t = 6)]
    days: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Proxies, or gateways.
    #[arg(long, default_value_t = 10)]
    fronts: usize,
    #[arg(long, default_value_t = 40)]
    hosts: usize,
    /// Length of a day in simulated seconds; two builds come.
    #[arg(long, default_value_t = 90)]
    seconds: u64,
    /// Part of the warm capacity that clients ask for.
    #[arg(long, default_value_t = 0.5)]
    load: f64,
}

const PRODUCTS: [&str; 3] = ["look", "book", "pay"];
const REVENUE: [f64; 3] = [1.0, 3.0, 2.0];
/// Mean work of a txn in ms, and txns that a host works on at once.
const WORK: Millis = 20.0;
const WORKERS: usize = 4;
/// A host turns away what would wait longer.
const QUEUE: Millis = 800.0;
const SLA: Millis = 300.0;
const EXPIRY: Millis = 1500.0;
/// Stages: caps, and the part of the hosts that has the build.
const CAPS: [f64; 3] = [0.12, 0.45, 1.0];
const PLACES: [f64; 3] = [0.1, 0.4, 1.0];
const FREE: f64 = 2.0;
const WINDOW: Millis = 2000.0;
const SOAK: Millis = 2000.0;
const BACK: Millis = 1500.0;
const WARM_UP: Millis = 2000.0;
const GRACE: Millis = 2000.0;
/// A message from one machine to another takes so long.
const WAY: Millis = 2.0;
const TICK: Millis = 10.0;
/// The builds come at these moments.
const COMES: [Millis; 2] = [5_000.0, 45_000.0];
/// Without a judge a stage lasts so long.
const UNJUDGED: Millis = 5_000.0;
/// Tallies cover this span, and this part of the submissions.
const TALLY: Millis = 2000.0;
const SAMPLED: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    Handout,
    Gateways,
    Even,
}

fn settings(me: usize, fronts: usize) -> String {
    let class = |name: &str, effect: &str, gain: f64| {
        json!({"name": name, "aim-s": SLA / 1000.0, "hard-limit-s": EXPIRY / 1000.0, "effect": effect,
            "group": "all", "dedup-window-s": 5.0, "gain": gain})
    };
    let classes = [
        class("look", "idempotent", 1.0),
        class("book", "deduplicated", 3.0),
        class("pay", "at_most_once", 2.0),
    ];
    json!({"classes": classes,
        "domain": {"allowance": FREE, "caps": CAPS, "window-s": WINDOW / 1000.0, "counts": "all",
            "vote-mode": "single", "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 6.0,
            "soak-s": SOAK / 1000.0, "style": "rolling"},
        "permissions": {"cancelling": true, "second-copies": false, "try-limit": 3},
        "rules": {"ask-within-s": 5.0, "drain-grace-s": GRACE / 1000.0, "cold-from": 0.5,
            "warm-up-s": WARM_UP / 1000.0, "tip-multiple": 3.0, "fall-s": 1.5},
        "registry-mode": "automatic", "me": me, "replicas-of-me": fronts})
    .to_string()
}

struct Host {
    build: Version,
    since: Millis,
    free: Vec<Millis>,
}

/// The platform's part: the newest build, its stage, and what hosts have it.
struct Rollout {
    news: RolloutState,
    at: Millis,
    bad: BTreeMap<Version, u8>,
    next: usize,
    version: u64,
    caps: Vec<(Millis, f64)>,
}

#[derive(Clone, Copy, Debug)]
enum What {
    Txn,
    /// A submission ends at its host.
    Done {
        txn: RequestId,
        n: u32,
    },
    Tick,
}

struct Txn {
    front: usize,
    product: usize,
    came: Millis,
    closed: bool,
    met_bad: bool,
    submissions: Vec<Sub>,
    /// Handout: the cluster, and repeats left.
    cluster: String,
    repeats: u32,
    retry_on: String,
}

struct Sub {
    host: usize,
    build: Version,
    at: Millis,
    ending: AttemptOutcome,
    ended: bool,
}

#[derive(Default)]
struct Count {
    asked: f64,
    in_time: f64,
    txns: u64,
    met_bad: u64,
    closed_badly: u64,
    windows: u64,
    over_cap: u64,
    repeated_once_only: u64,
}

struct ProxyState {
    cache: ResourceCache,
    stream: Stream,
    asks: Vec<CacheRequest>,
    in_flight: Vec<u32>,
    reported: BTreeMap<(String, usize), EndpointCounts>,
}

struct Day {
    mode: Mode,
    rng: Pcg64Mcg,
    now: Millis,
    events_queue: EventQueue<What>,
    hosts: Vec<Host>,
    rollout: Rollout,
    txns: BTreeMap<RequestId, Txn>,
    next_id: u32,
    fronts: usize,
    rate: f64,
    core: Option<ControlPlane>,
    snapshot: Option<Arc<ResourceSnapshot>>,
    proxies: Vec<ProxyState>,
    choices: Vec<Policy>,
    events: Vec<Vec<Event>>,
    wakes: Vec<Millis>,
    votes: Vec<(Version, u32, Verdict)>,
    arrivals: VecDeque<Millis>,
    trial_sends: VecDeque<Millis>,
    tallies: BTreeMap<(Version, usize), (u64, u64, f64)>,
    tallied: Millis,
    count: Count,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, (n / 250) as u8], 5000 + (n % 250) as u16))
}

fn listing(n: usize, host: &Host) -> (EndpointEntry, SocketAddr) {
    let (instance, zone, kind) = (format!("s{n}"), "a".to_string(), String::new());
    let (state, build, since) = (EndpointStatus::Ready, host.build, host.since);
    (
        EndpointEntry {
            endpoint: instance,
            status: state,
            version: build,
            zone,
            cell: 0,
            machine_type: kind,
            weight: 1.0,
            started_at: since,
        },
        addr(n),
    )
}

impl Day {
    fn new(mode: Mode, seed: u64, sizes: &Sizes) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // One of the two builds is bad, in one of three ways.
        let (which, how) = (rng.random_range(0..2u32), rng.random_range(1..=3u8));
        let hosts: Vec<Host> = (0..sizes.hosts)
            .map(|_| Host { build: Version(1), since: 0.0, free: vec![0.0; WORKERS] })
            .collect();
        let news = RolloutState {
            version: Version(1),
            stage: 0,
            phase: RolloutPhase::Promoted,
            traffic_cap: 1.0,
            age: 0.0,
        };
        let bad = BTreeMap::from([(Version(2 + which), how)]);
        let rollout = Rollout { news, at: 0.0, bad, next: 0, version: 1, caps: vec![(0.0, 1.0)] };
        let read = |me: usize, count: usize| terms::read(&settings(me, count)).expect("settings of the lab");
        let mut day = Day {
            mode,
            rng,
            now: 0.0,
            events_queue: EventQueue::new(),
            rate: sizes.load * sizes.hosts as f64 * WORKERS as f64 / WORK,
            hosts,
            rollout,
            txns: BTreeMap::new(),
            next_id: 0,
            fronts: sizes.fronts,
            core: None,
            snapshot: None,
            proxies: Vec::new(),
            choices: Vec::new(),
            events: vec![Vec::new(); sizes.fronts],
            wakes: vec![0.0; sizes.fronts],
            votes: Vec::new(),
            arrivals: VecDeque::new(),
            trial_sends: VecDeque::new(),
            tallies: BTreeMap::new(),
            tallied: 0.0,
            count: Count::default(),
        };
        if mode == Mode::Handout {
            let labels = VersionSigner::new(Some(b"lab".to_vec()));
            let (exposure, cold, submissions) = read(0, 1).bounds();
            let products = read(0, 1).products();
            let terms = ProxyConfigSettings {
                classes: products,
                exposure,
                slow_start: cold,
                max_attempts: submissions,
                max_in_flight_per_endpoint: 64,
            };
            let front = ListenerConfig {
                address: addr(0),
                class_header: "x-product".to_string(),
                key_header: "x-key".to_string(),
                connect_timeout: 250.0,
                separate_endpoints: true,
            };
            let mut core =
                ControlPlane::new(read(0, 1).start(seed), terms, front, labels.clone(), 1000, false, None);
            day.proxies = (0..sizes.fronts)
                .map(|n| {
                    core.request_stream(n as u64, format!("p{n}"), 0.0);
                    let mut cache = ResourceCache::new(&format!("p{n}"), n % 2 == 1);
                    let asks = cache.initial_requests();
                    let stream = Stream::new(n % 2 == 1, None, labels.clone());
                    ProxyState {
                        cache,
                        stream,
                        asks,
                        in_flight: vec![0; sizes.hosts],
                        reported: BTreeMap::new(),
                    }
                })
                .collect();
            day.core = Some(core);
        }
        if mode == Mode::Gateways {
            day.choices = (0..sizes.fronts).map(|n| read(n, sizes.fronts).start(seed ^ n as u64)).collect();
        }
        day.tell_list();
        day.tell_news();
        day.push(0.0, What::Txn);
        day.push(0.0, What::Tick);
        day
    }

    fn push(&mut self, at: Millis, what: What) {
        self.events_queue.push(at, what);
    }

    fn tell_list(&mut self) {
        let entries: Vec<_> = self.hosts.iter().enumerate().map(|(n, host)| listing(n, host)).collect();
        let version = self.rollout.version;
        if let Some(core) = &mut self.core {
            core.on_endpoint_list(version, true, entries.clone(), self.now);
        }
        let entries: Vec<EndpointEntry> = entries.into_iter().map(|(listing, _)| listing).collect();
        for events in &mut self.events {
            events.push(Event::EndpointUpdate {
                kind: UpdateKind::Snapshot,
                list_version: version,
                entries: entries.clone(),
            });
        }
        self.rollout.version += 1;
    }

    fn tell_news(&mut self) {
        let news = RolloutState { age: self.now - self.rollout.at, ..self.rollout.news };
        if let Some(core) = &mut self.core {
            core.on_rollout_state(news, self.now);
        }
        self.events.iter_mut().for_each(|events| events.push(Event::RolloutUpdate(news)));
    }

    fn stand(&mut self, build: Version, stage: u32, phase: RolloutPhase, cap: f64) {
        (self.rollout.news.version, self.rollout.news.stage) = (build, stage);
        (self.rollout.news.phase, self.rollout.news.traffic_cap, self.rollout.at) = (phase, cap, self.now);
        self.rollout.caps.push((self.now, cap));
        self.tell_news();
    }

    /// Hosts up to this part begin anew with a build; the work in hand there is done first.
    fn place(&mut self, part: f64, build: Version) {
        let count = (part * self.hosts.len() as f64).round() as usize;
        for host in self.hosts.iter_mut().take(count).filter(|host| host.build != build) {
            (host.build, host.since) = (build, self.now);
        }
        self.tell_list();
    }

    /// The platform acts on votes, or without a judge on the clock.
    fn platform(&mut self) {
        let RolloutState { version: build, stage, phase, .. } = self.rollout.news;
        let stood = self.now - self.rollout.at;
        match phase {
            RolloutPhase::Promoted | RolloutPhase::RolledBack => {
                if self.rollout.next < COMES.len() && self.now >= COMES[self.rollout.next] {
                    self.rollout.next += 1;
                    let build = Version(1 + self.rollout.next as u32);
                    self.stand(build, 0, RolloutPhase::Canary, CAPS[0]);
                    self.place(PLACES[0], build);
                }
            }
            RolloutPhase::RollingBack => {
                if stood >= BACK {
                    let before = if build == Version(3) && !self.rollout.bad.contains_key(&Version(2)) {
                        2
                    } else {
                        1
                    };
                    self.place(1.0, Version(before));
                    self.stand(build, stage, RolloutPhase::RolledBack, 0.0);
                }
            }
            RolloutPhase::Canary => {
                let voted = |verdict| self.votes.contains(&(build, stage, verdict));
                let unjudged = self.mode == Mode::Even && stood >= UNJUDGED;
                if voted(Verdict::RollBack) {
                    self.stand(build, stage, RolloutPhase::RollingBack, 0.0);
                } else if (voted(Verdict::Promote) && stood >= SOAK) || unjudged {
                    let next = stage as usize + 1;
                    if next == CAPS.len() {
                        self.stand(build, stage, RolloutPhase::Promoted, 1.0);
                    } else {
                        self.stand(build, next as u32, RolloutPhase::Canary, CAPS[next]);
                        self.place(PLACES[next], build);
                    }
                }
            }
        }
        // What was released and found bad goes back as well.
        if phase == RolloutPhase::Promoted
            && self.votes.contains(&(build, stage, Verdict::RollBack))
            && build > Version(1)
        {
            self.stand(build, stage, RolloutPhase::RollingBack, 0.0);
        }
    }

    /// How a build treats a product: share of failures, and times its usual work.
    fn harm(&self, build: Version, product: usize) -> (f64, f64) {
        match self.rollout.bad.get(&build) {
            Some(1) => (0.3, 1.0),
            Some(2) if product == 2 => (0.5, 1.0),
            Some(3) => (0.0, 5.0),
            _ => (0.0, 1.0),
        }
    }

    /// Sends a txn to a host; when and how it will end.
    fn send(&mut self, id: RequestId, n: usize) {
        let (product, now) = (self.txns[&id].product, self.now + WAY);
        let (build, since) = (self.hosts[n].build, self.hosts[n].since);
        let (fails, slower) = self.harm(build, product);
        let way = if since > 0.0 { ((now - since) / WARM_UP).clamp(0.0, 1.0) } else { 1.0 };
        let drawn: f64 = Exp1.sample(&mut self.rng);
        let work = WORK * slower * drawn / (0.5 + 0.5 * way);
        let ends_badly = self.rng.random::<f64>() < fails;
        let free = self.hosts[n].free.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("workers");
        let (ending, ends) = if *free - now > QUEUE {
            (AttemptOutcome::Rejected, now)
        } else {
            *free = free.max(now) + work;
            (if ends_badly { AttemptOutcome::Error } else { AttemptOutcome::Success }, *free)
        };
        let on_trial = self.rollout.news.version == build
            && self.rollout.news.phase != RolloutPhase::Promoted
            && build > Version(1);
        if on_trial {
            self.trial_sends.push_back(self.now);
        }
        let bad = self.rollout.bad.contains_key(&build);
        let at = self.now;
        let txn = self.txns.get_mut(&id).expect("open");
        txn.met_bad |= bad;
        let once = product == 2
            && txn.submissions.iter().any(|sub| !sub.ended || !sub.ending.is_definitely_not_executed());
        txn.submissions.push(Sub { host: n, build, at, ending, ended: false });
        let number = txn.submissions.len() as u32 - 1;
        self.count.repeated_once_only += u64::from(once);
        let ends = (ends + WAY).min(at + EXPIRY * 4.0);
        self.push(ends, What::Done { txn: id, n: number });
    }

    fn close(&mut self, id: RequestId, settled: bool) {
        let Some(txn) = self.txns.get_mut(&id).filter(|txn| !txn.closed) else { return };
        txn.closed = true;
        let in_time = settled && self.now - txn.came <= SLA;
        self.count.in_time += if in_time { REVENUE[txn.product] } else { 0.0 };
        self.count.closed_badly += u64::from(!settled);
        self.count.met_bad += u64::from(txn.met_bad);
    }

    fn forget(&mut self, id: RequestId) {
        if self.txns.get(&id).is_some_and(|txn| txn.closed && txn.submissions.iter().all(|sub| sub.ended)) {
            self.txns.remove(&id);
        }
    }

    fn txn(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.push(self.now + gap / self.rate, What::Txn);
        let product = [0, 0, 0, 1, 1, 2][self.rng.random_range(0..6)];
        let front = self.rng.random_range(0..self.fronts);
        self.next_id += 1;
        let id = self.next_id;
        self.arrivals.push_back(self.now);
        (self.count.txns, self.count.asked) = (self.count.txns + 1, self.count.asked + REVENUE[product]);
        let (submissions, cluster, retry_on) = (Vec::new(), String::new(), String::new());
        let txn = Txn {
            front,
            product,
            came: self.now,
            closed: false,
            met_bad: false,
            submissions,
            cluster,
            repeats: 0,
            retry_on,
        };
        self.txns.insert(RequestId(id), txn);
        match self.mode {
            Mode::Even => {
                let n = self.rng.random_range(0..self.hosts.len());
                self.send(RequestId(id), n);
            }
            Mode::Handout => self.route(RequestId(id)),
            Mode::Gateways => {
                let event = Event::RequestReceived(IncomingRequest {
                    id: RequestId(id),
                    class: PRODUCTS[product].to_string(),
                    tenant: None,
                    sticky_key: None,
                    queued_for: 0.0,
                    time_remaining: EXPIRY,
                    expected_work: None,
                    is_retry: false,
                    is_write: product > 0,
                });
                self.events[front].push(event);
                self.decide(front);
            }
        }
    }

    /// A proxy draws a cluster for a new txn.
    fn route(&mut self, id: RequestId) {
        let (front, product) = (self.txns[&id].front, self.txns[&id].product);
        let Some(way) = self.proxies[front].cache.route(PRODUCTS[product], false).cloned() else {
            return self.close(id, false);
        };
        let mut draw = self.rng.random_range(0..1_000_000u32);
        let drawn = way.clusters.iter().find(|cluster| {
            let here = draw < cluster.weight;
            draw = draw.saturating_sub(cluster.weight);
            here
        });
        let cluster = drawn.map(|cluster| cluster.name.clone()).unwrap_or_default();
        let repeats = self.proxies[front].cache.cluster_endpoints(&cluster).allows_retries;
        let txn = self.txns.get_mut(&id).expect("open");
        (txn.cluster, txn.retry_on) = (cluster, way.retry_on);
        txn.repeats = if repeats { way.max_retries } else { 0 };
        self.pick(id);
    }

    /// Two random choices among the healthy hosts of the cluster that was drawn.
    fn pick(&mut self, id: RequestId) {
        let (front, cluster) = (self.txns[&id].front, self.txns[&id].cluster.clone());
        let hosts = self.proxies[front].cache.cluster_endpoints(&cluster).endpoints;
        let healthy: Vec<_> = hosts.iter().filter(|host| host.is_healthy).collect();
        if healthy.is_empty() {
            return self.close(id, false);
        }
        let number = |addr: SocketAddr| usize::from(addr.port() - 5000) + 250 * usize::from(last_of(addr));
        let mut pick = || healthy[self.rng.random_range(0..healthy.len())];
        let (one, other) = (pick(), pick());
        let load = |host: &CachedEndpoint| {
            f64::from(self.proxies[front].in_flight[number(host.addr)] + 1) / f64::from(host.weight)
        };
        let n = number(if load(other) < load(one) { other.addr } else { one.addr });
        self.proxies[front].in_flight[n] += 1;
        self.send(id, n);
    }

    fn done(&mut self, id: RequestId, n: u32) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        let sub = &mut txn.submissions[n as usize];
        if std::mem::replace(&mut sub.ended, true) {
            return;
        }
        let (host, build, ending, took) = (sub.host, sub.build, sub.ending, self.now - sub.at);
        let (front, product, late) = (txn.front, txn.product, self.now - txn.came > EXPIRY);
        if self.rng.random::<f64>() < SAMPLED && ending != AttemptOutcome::Rejected {
            let tally = self.tallies.entry((build, product)).or_default();
            tally.0 += 1;
            match ending {
                AttemptOutcome::Error => tally.1 += 1,
                _ => tally.2 += took,
            }
        }
        match self.mode {
            Mode::Even => self.close(id, ending == AttemptOutcome::Success && !late),
            Mode::Gateways => {
                let settled = ending == AttemptOutcome::Success && !late;
                if settled {
                    self.close(id, true);
                }
                let closed = self.txns[&id].closed;
                let (instance, load) = (format!("s{host}"), LoadReport::default());
                self.events[front].push(Event::AttemptCompleted(CompletedAttempt {
                    id,
                    attempt: n,
                    endpoint: instance,
                    outcome: ending,
                    is_final: closed,
                    elapsed: took,
                    load,
                }));
                self.decide(front);
            }
            Mode::Handout => {
                let proxy = &mut self.proxies[front];
                proxy.in_flight[host] = proxy.in_flight[host].saturating_sub(1);
                let figures = proxy.reported.entry((self.txns[&id].cluster.clone(), host)).or_default();
                figures.started += 1;
                match ending {
                    AttemptOutcome::Success => {
                        (figures.succeeded, figures.latency_samples) =
                            (figures.succeeded + 1, figures.latency_samples + 1);
                        figures.total_latency += took;
                    }
                    _ => figures.failed += 1,
                }
                let txn = self.txns.get_mut(&id).expect("open");
                let any = txn.retry_on.contains("5xx") || ending.is_definitely_not_executed();
                if !late && ending != AttemptOutcome::Success && any && txn.repeats > 0 && !txn.closed {
                    txn.repeats -= 1;
                    self.pick(id);
                } else {
                    self.close(id, ending == AttemptOutcome::Success && !late);
                }
            }
        }
        self.forget(id);
    }

    /// A gateway decides, and its actions are carried out.
    fn decide(&mut self, front: usize) {
        let events = std::mem::take(&mut self.events[front]);
        let actions = self.choices[front].handle_events(self.now, events);
        let mut again = false;
        for action in actions {
            match action {
                Action::SendAttempt { id, endpoint: instance, .. } => {
                    self.send(id, instance[1..].parse().expect("a host"));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.close(id, false);
                    self.forget(id);
                }
                Action::CancelAttempt { id, attempt: submission } => {
                    let Some(sub) =
                        self.txns.get_mut(&id).and_then(|txn| txn.submissions.get_mut(submission as usize))
                    else {
                        continue;
                    };
                    if !std::mem::replace(&mut sub.ended, true) {
                        let (instance, took, closed) =
                            (format!("s{}", sub.host), self.now - sub.at, self.txns[&id].closed);
                        let (ending, load) = (AttemptOutcome::Cancelled, LoadReport::default());
                        self.events[front].push(Event::AttemptCompleted(CompletedAttempt {
                            id,
                            attempt: submission,
                            endpoint: instance,
                            outcome: ending,
                            is_final: closed,
                            elapsed: took,
                            load,
                        }));
                        again = true;
                    }
                    self.forget(id);
                }
                Action::SetTimer { after, .. } => self.wakes[front] = self.now + after,
                Action::CastVote { version: build, stage, verdict } => {
                    self.votes.push((build, stage, verdict))
                }
                _ => {}
            }
        }
        if again {
            self.decide(front);
        }
    }

    fn tick(&mut self) {
        self.push(self.now + TICK, What::Tick);
        self.platform();
        if self.now - self.tallied >= TALLY {
            self.tallied = self.now;
            for ((build, product), (count, failed, took)) in std::mem::take(&mut self.tallies) {
                let took = (count > failed).then(|| took / (count - failed) as f64);
                let tally = Event::OutcomesReported(OutcomeReport {
                    version: build,
                    class: PRODUCTS[product].to_string(),
                    attempts: count,
                    failures: failed,
                    mean_latency: took,
                    age: 500.0,
                });
                if let Some(core) = &mut self.core {
                    core.on_outcome_report(tally.clone(), self.now);
                }
                self.events.iter_mut().for_each(|events| events.push(tally.clone()));
            }
        }
        match self.mode {
            Mode::Gateways => {
                for front in 0..self.fronts {
                    if self.wakes[front] <= self.now || !self.events[front].is_empty() {
                        self.wakes[front] = f64::INFINITY;
                        self.events[front].push(Event::TimerFired { token: "look".to_string() });
                        self.decide(front);
                    }
                }
            }
            Mode::Handout => self.control(),
            Mode::Even => {}
        }
        self.look();
    }

    /// The control service's turn, and what proxies hear of it.
    fn control(&mut self) {
        let now = self.now;
        let second = ((now / TICK).round() as u64).is_multiple_of(100) && now > 0.0;
        let Some(core) = &mut self.core else { return };
        let names: Vec<String> = PRODUCTS.iter().map(|name| name.to_string()).collect();
        for (n, proxy) in self.proxies.iter_mut().enumerate().filter(|_| second) {
            let mut clusters: BTreeMap<(Version, usize), ClusterReport> = BTreeMap::new();
            for ((cluster, host), figures) in std::mem::take(&mut proxy.reported) {
                let Some((build, product)) = parse_cluster_name(&cluster, &names) else { continue };
                let report = clusters.entry((build, product));
                let report = report.or_insert_with(|| ClusterReport {
                    version: build,
                    class: product,
                    endpoints: Vec::new(),
                    dropped: 0,
                });
                report.endpoints.push((addr(host), figures));
            }
            let clusters = clusters.into_values().collect();
            core.on_load_report(n as u64, &ProxyReport { interval: 1000.0, clusters }, now)
                .expect("sound reports");
        }
        let doings = core.poll(now);
        for action in doings.actions {
            if let Action::CastVote { version: build, stage, verdict } = action {
                self.votes.push((build, stage, verdict));
            }
        }
        if let Some((snapshot, _)) = doings.published {
            self.snapshot = Some(snapshot);
        }
        let Some(snapshot) = &self.snapshot else { return };
        for (n, proxy) in self.proxies.iter_mut().enumerate() {
            loop {
                let stream = &mut proxy.stream;
                proxy.asks.drain(..).for_each(|ask| stream.on_request(ask.into()).expect("sound requests"));
                let answer = proxy.stream.next_response(snapshot);
                core.on_stream_events(n as u64, proxy.stream.take_events(), now);
                let Some(answer) = answer else { break };
                answer.canary_shares.iter().for_each(|trial| core.on_routes_sent(n as u64, trial, now));
                proxy.asks = proxy.cache.apply_response(&answer.chunks.concat(), false);
            }
        }
    }

    /// The rule on exposure over all fronts.
    fn look(&mut self) {
        let since = self.now - WINDOW;
        while self.arrivals.front().is_some_and(|at| *at <= since) {
            self.arrivals.pop_front();
        }
        while self.trial_sends.front().is_some_and(|at| *at <= since) {
            self.trial_sends.pop_front();
        }
        let news = &self.rollout.news;
        if news.version == Version(1) || news.phase == RolloutPhase::Promoted {
            return;
        }
        // The highest cap that stood within the window, or within the grace before now.
        let from = since.min(self.now - GRACE);
        let caps = self.rollout.caps.iter().rev();
        let mut cap = 0.0f64;
        for (at, stood) in caps {
            cap = cap.max(*stood);
            if *at <= from {
                break;
            }
        }
        // Each gateway has its own free number; a control service's proxies share one.
        let free = FREE * if self.mode == Mode::Gateways { self.fronts as f64 } else { 1.0 };
        self.count.windows += 1;
        let over = self.trial_sends.len() as f64 > free + cap * self.arrivals.len() as f64;
        self.count.over_cap += u64::from(over);
    }

    fn play(mut self, until: Millis) -> (Count, Vec<(Version, &'static str, bool)>) {
        while let Some((at, what)) = self.events_queue.pop(until) {
            self.now = at;
            match what {
                What::Txn => self.txn(),
                What::Done { txn, n } => self.done(txn, n),
                What::Tick => self.tick(),
            }
        }
        // What is still open at the end is no answer in time, unless it is young.
        let ends = [2, 3].map(|build| {
            let back = self.votes.iter().any(|vote| vote.0 == Version(build) && vote.2 == Verdict::RollBack);
            let newer = self.rollout.news.version > Version(build);
            let released = newer || self.rollout.news.phase == RolloutPhase::Promoted;
            let end = if back {
                "back"
            } else if released {
                "released"
            } else {
                "undecided"
            };
            (Version(build), end, self.rollout.bad.contains_key(&Version(build)))
        });
        (self.count, ends.to_vec())
    }
}

fn last_of(addr: SocketAddr) -> u8 {
    match addr {
        SocketAddr::V4(addr) => addr.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}

/// Plays the days in all three ways; the figures, and whether all that must hold did.
pub fn run(sizes: &Sizes) -> (Value, bool) {
    let until = sizes.seconds as Millis * 1000.0;
    let mut rows = serde_json::Map::new();
    let mut held = true;
    let mut shares = BTreeMap::new();
    for (name, mode) in [("handout", Mode::Handout), ("gateways", Mode::Gateways), ("even", Mode::Even)] {
        let (mut sum, mut days) = (Count::default(), Vec::new());
        for day in 0..sizes.days {
            let (count, ends) = Day::new(mode, sizes.seed.wrapping_mul(1000) + day, sizes).play(until);
            days.push(json!({"in_time": count.in_time / count.asked, "met_bad": count.met_bad as f64 / count.txns as f64,
                "builds": ends.iter().map(|(build, end, bad)| json!([build, if *bad { "bad" } else { "good" }, end])).collect::<Vec<_>>()}));
            sum.asked += count.asked;
            sum.in_time += count.in_time;
            sum.txns += count.txns;
            sum.met_bad += count.met_bad;
            sum.closed_badly += count.closed_badly;
            sum.windows += count.windows;
            sum.over_cap += count.over_cap;
            sum.repeated_once_only += count.repeated_once_only;
        }
        held &= mode == Mode::Even || (sum.over_cap == 0 && sum.repeated_once_only == 0);
        shares.insert(name, (sum.in_time / sum.asked, sum.met_bad as f64 / sum.txns as f64));
        rows.insert(name.to_string(), json!({
            "revenue_in_time": sum.in_time / sum.asked, "met_bad_build": sum.met_bad as f64 / sum.txns as f64,
            "not_settled": sum.closed_badly as f64 / sum.txns as f64, "txns": sum.txns, "looks": sum.windows,
            "looks_over_cap": sum.over_cap, "once_only_sent_again": sum.repeated_once_only, "days": days,
        }));
    }
    let better = shares["handout"].0 > shares["even"].0 && shares["handout"].1 < shares["even"].1;
    let figures = json!({
        "experiment": "day", "days": sizes.days, "seed": sizes.seed, "fronts": sizes.fronts, "hosts": sizes.hosts,
        "seconds": sizes.seconds, "load": sizes.load, "ways": rows, "handout_beats_even": better,
        "servers": "simulated, in simulated time",
    });
    (figures, held && better)
}
