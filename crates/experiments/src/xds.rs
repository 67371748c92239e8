//! Proxies by the thousand on one control service, while builds roll out and hosts come and go: how long a decision
//! takes until every proxy uses it, what it costs, and that nothing goes back, dangles or breaks a cap on the way.

use clap::Args;
use hdrhistogram::Histogram;
use latchhaven_policy::Version;
use latchhaven_proxy_config::version::{RolloutStatus, RolloutVersion};
use latchhaven_test_support::fake_load_reports::{ClusterOutcome, ReportedLoad};
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior, ResponseObserver};
use latchhaven_test_support::platform_messages::{host, rollout_state};
use latchhaven_test_support::process::Process;
use latchhaven_test_support::resource_cache::ResourceCache;
use latchhaven_xds::resources::ResourceType;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A decision comes this often.
const EVERY: Duration = Duration::from_millis(500);
/// Between two looks at what all proxies hold together.
const LOOK: Duration = Duration::from_millis(50);
/// A lower cap binds after this: the drain grace of the plan, and the slack of sockets.
const GRACE: Duration = Duration::from_millis(2_050);
/// Aims of the users: nearly all, and all.
const P99_MS: u64 = 1_000;
const MAX_MS: u64 = 5_000;
/// Txns of each product that a proxy carries in a second.
const TXNS: u64 = 20;
/// Proxies begin and end within this.
const SETTLES: Duration = Duration::from_secs(30);

/// How large, how long, and what goes wrong.
#[derive(Args, Clone, Debug)]
pub struct Sizes {
    #[arg(long, default_value_t = 1000)]
    proxies: usize,
    #[arg(long, default_value_t = 500)]
    hosts: usize,
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Share of the proxies on incremental streams.
    #[arg(long, default_value_t = 0.5)]
    incremental: f64,
    /// SIGKILL for the control service after a third; it is back two seconds later.
    #[arg(long)]
    kill_control: bool,
    /// All proxies lose their streams after a third.
    #[arg(long)]
    reconnect_all: bool,
    /// This share of the proxies refuses routes from the first third on to the second.
    #[arg(long, default_value_t = 0.0)]
    nack: f64,
    /// This share of the proxies is cut off from the first third on to the second.
    #[arg(long, default_value_t = 0.0)]
    partition: f64,
}

/// One decision: when it was told, and how to see that it is used.
#[derive(Clone, Debug)]
struct Decision {
    at: Instant,
    mark: Mark,
}

#[derive(Clone, Copy, Debug)]
enum Mark {
    News { build: u32, way: RolloutStatus, stage: u32 },
    List(u64),
}

impl Mark {
    fn used(&self, news: Option<RolloutVersion>, list: u64) -> bool {
        match self {
            Mark::List(version) => list >= *version,
            Mark::News { build, way, stage } => news.is_some_and(|held| {
                (held.version, held.status, held.stage) >= (Version(*build), *way, *stage)
            }),
        }
    }
}

/// What a proxy uses, and since when: the steps of its state.
#[derive(Clone, Debug, Default)]
struct Track {
    steps: Vec<(Instant, Option<RolloutVersion>, u64)>,
}

/// The site's story: a build comes, goes on, and is taken back or released; hosts drain and return between.
struct Story {
    rng: Pcg64Mcg,
    build: u32,
    stage: u32,
    trial: Vec<usize>,
    drained: Option<usize>,
    turn: u64,
    /// The caps told, and when.
    caps: Vec<(Instant, u32, f64)>,
}

const CAPS: [f64; 3] = [0.1, 0.5, 1.0];

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (1 + n / 200) as u8, (1 + n % 200) as u8], 5432))
}

fn entry(n: usize, health: &str, build: u32) -> Value {
    let mut entry = host(&format!("s{n}"), addr(n), health, build);
    entry["site"] = json!(format!("zone-{}", n % 3));
    entry
}

impl Story {
    /// The next decision at the site; none where it only goes on.
    fn step(&mut self, site: &FakePlatform, hosts: usize) -> Mark {
        self.turn += 1;
        if !self.turn.is_multiple_of(3) {
            // A host drains, or the one that did is back.
            if let Some(n) = self.drained.take() {
                return Mark::List(site.update_hosts(&[entry(n, "up", 1)]));
            }
            let n = self.rng.random_range(self.trial.len()..hosts);
            self.drained = Some(n);
            return Mark::List(site.update_hosts(&[entry(n, "draining", 1)]));
        }
        let (build, stage) = (self.build, self.stage);
        match (self.trial.is_empty(), stage) {
            (true, _) => {
                self.trial = (0..hosts.div_ceil(4)).collect();
                (self.build, self.stage) = (build + 1, 0);
                // The build's state first: its hosts are on trial from the moment that they are listed.
                self.tell(site, "IN_PROGRESS", 0, CAPS[0]);
                let list: Vec<Value> = self.trial.iter().map(|n| entry(*n, "up", build + 1)).collect();
                Mark::List(site.update_hosts(&list))
            }
            (false, 0) => {
                self.stage = 1;
                self.tell(site, "IN_PROGRESS", 1, CAPS[1]);
                Mark::News { build, way: RolloutStatus::Canary, stage: 1 }
            }
            (false, 1) => {
                self.stage = 2;
                self.tell(site, "ROLLING_BACK", 1, 0.0);
                Mark::News { build, way: RolloutStatus::RollingBack, stage: 1 }
            }
            _ => {
                self.tell(site, "ROLLED_BACK", 1, 0.0);
                let list: Vec<Value> =
                    std::mem::take(&mut self.trial).iter().map(|n| entry(*n, "up", 1)).collect();
                Mark::List(site.update_hosts(&list))
            }
        }
    }

    fn tell(&mut self, site: &FakePlatform, status: &str, stage: u32, cap: f64) {
        site.update_rollout(self.build, stage, status, cap);
        self.caps.push((Instant::now(), self.build, cap));
    }

    /// The highest cap that binds a build now: an earlier one counts for the grace.
    fn binds(&self, build: u32) -> f64 {
        let now = Instant::now();
        let mut told = self.caps.iter().filter(|(_, of, _)| *of == build).rev();
        let newest = told.next().map_or(CAPS[0], |(_, _, cap)| *cap);
        let since = self.caps.iter().rev().take_while(|(at, ..)| now.duration_since(*at) < GRACE);
        let lately: Vec<usize> = since.enumerate().map(|(n, _)| self.caps.len() - 1 - n).collect();
        // What stood before the oldest change within the grace binds as well.
        let first = lately.last().copied().unwrap_or(self.caps.len());
        let before = self.caps[..first].iter().rev().find(|(_, of, _)| *of == build).map(|(_, _, cap)| *cap);
        let within = lately.iter().filter(|n| self.caps[**n].1 == build).map(|n| self.caps[*n].2);
        let within = within.fold(newest, f64::max);
        if lately.is_empty() { newest } else { within.max(before.unwrap_or(0.0)) }
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// Plays the experiment; its figures, and whether all that must hold did.
pub fn run(sizes: &Sizes) -> (Value, bool) {
    let folder = std::env::temp_dir().join(format!("latchhaven-experiments-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&folder);
    let list: Vec<Value> = (0..sizes.hosts).map(|n| entry(n, "up", 1)).collect();
    let site = FakePlatform::start(1, list, rollout_state(1, 0, "COMPLETE", 1.0));
    let key = folder.join("versions.key");
    let _ = std::fs::write(&key, "of the lab");
    let more = format!(
        "\"state\": \"{}\", \"shared_key_file\": \"{}\",",
        folder.join("state.redb").display(),
        key.display()
    );
    let file = folder.join("control.star");
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let _ = std::fs::write(
        &file,
        control_config("lab", site.discovery.addr, site.feed.addr, listen, true, &more),
    );
    let mut control = Process::start_control(&file);

    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let tracks: Arc<Vec<Mutex<Track>>> = Arc::new((0..sizes.proxies).map(|_| Mutex::default()).collect());
    let noted = tracks.clone();
    let seen: ResponseObserver = Arc::new(move |number, cache, at| {
        let news = cache.newest_version(ResourceType::Route).map(|basis| basis.rollout);
        let list = [ResourceType::Endpoint, ResourceType::LbEndpoint]
            .map(|kind| cache.newest_version(kind).map_or(0, |basis| basis.endpoints.version));
        let mut track = noted[number].lock().unwrap_or_else(PoisonError::into_inner);
        let list = list[0].max(list[1]);
        if track.steps.last().is_none_or(|last| last.1 != news || last.2 != list) {
            track.steps.push((at, news, list));
        }
    });
    // Two groups: those to which nothing happens, and those that are cut off or refuse.
    let odd = (sizes.proxies as f64 * sizes.nack.max(sizes.partition)).round() as usize;
    let order = ProxyBehavior { service: Some(control.addr), ..ProxyBehavior::default() };
    let (calm, calm_orders) = watch::channel(order.clone());
    let (struck, struck_orders) = watch::channel(order);
    let mut rng = Pcg64Mcg::seed_from_u64(sizes.seed);
    let proxies: Vec<FakeProxy> =
        (0..sizes.proxies).map(|n| FakeProxy::new(n, rng.random::<f64>() < sizes.incremental)).collect();
    let began = Instant::now();
    for proxy in &proxies {
        let orders = if proxy.number < odd { struck_orders.clone() } else { calm_orders.clone() };
        runtime.spawn(proxy.clone().run(orders, sizes.seed, seen.clone()));
    }
    // Txns of each product that a proxy carries in a second; all go well.
    let load = ReportedLoad {
        classes: &["look", "book", "pay"],
        requests: TXNS,
        outcomes: Arc::new(|_| ClusterOutcome { failure_share: 0.0, mean_latency: 20.0 }),
    };
    for proxy in &proxies {
        let orders = if proxy.number < odd { struck_orders.clone() } else { calm_orders.clone() };
        runtime.spawn(proxy.clone().run_load_reports(orders, sizes.seed, load.clone()));
    }
    let holds = |mark: Mark, n: usize| {
        let track = tracks[n].lock().unwrap_or_else(PoisonError::into_inner);
        track.steps.last().is_some_and(|(_, news, list)| mark.used(*news, *list))
    };
    let all_hold = |mark: Mark, within: Duration| {
        let start = Instant::now();
        while start.elapsed() < within {
            if (0..sizes.proxies).all(|n| holds(mark, n)) {
                return Some(millis(start.elapsed()));
            }
            sleep(Duration::from_millis(5));
        }
        None
    };
    let released = Mark::News { build: 1, way: RolloutStatus::Promoted, stage: 0 };
    let first = all_hold(released, SETTLES);
    let connected = millis(began.elapsed());

    let rng = Pcg64Mcg::seed_from_u64(sizes.seed ^ 7);
    let mut story =
        Story { rng, build: 1, stage: 0, trial: Vec::new(), drained: None, turn: 0, caps: Vec::new() };
    let mut decisions: Vec<Decision> = Vec::new();
    let (start, whole) = (Instant::now(), Duration::from_secs(sizes.seconds));
    let third = whole / 3;
    let (mut struck_at, mut mended_at, mut down, mut back) = (None, None, None, None);
    let mut next = Instant::now();
    let (mut looks, mut breaches, mut worst) = (0u64, 0u64, 0.0f64);
    let mut last_stuck = 0.0f64;
    while start.elapsed() < whole {
        if Instant::now() >= next {
            next += EVERY;
            let at = Instant::now();
            let mark = story.step(&site, sizes.hosts);
            decisions.push(Decision { at, mark });
        }
        if start.elapsed() >= third && struck_at.is_none() {
            struck_at = Some(Instant::now());
            if sizes.nack > 0.0 {
                struck.send_modify(|order| order.rejects_routes = true);
            }
            if sizes.partition > 0.0 {
                struck.send_modify(|order| order.service = None);
            }
            if sizes.reconnect_all {
                calm.send_modify(|order| order.reconnects += 1);
                struck.send_modify(|order| order.reconnects += 1);
            }
            if sizes.kill_control {
                control.kill();
                down = Some(Instant::now());
            }
        }
        if back.is_none() && down.is_some_and(|at: Instant| at.elapsed() >= Duration::from_secs(2)) {
            control = Process::start_control(&file);
            back = Some(Instant::now());
            let addr = control.addr;
            for orders in [&calm, &struck] {
                orders.send_modify(|order| order.service = Some(addr));
            }
        }
        if start.elapsed() >= 2 * third && mended_at.is_none() {
            mended_at = Some(Instant::now());
            let addr = control.addr;
            if odd > 0 {
                struck.send_modify(|order| {
                    *order = ProxyBehavior { service: Some(addr), ..ProxyBehavior::default() }
                });
            }
        }
        // What all proxies give to the build on trial, each with the same traffic.
        let build = story.build;
        let part = |n: usize| f64::from(proxies[n].cache().version_share("look", build)) / 1e6;
        let (stuck, rest): (f64, f64) = ((0..odd).map(part).sum(), (odd..sizes.proxies).map(part).sum());
        let count = sizes.proxies as f64;
        let (given, cap) = ((stuck + rest) / count, story.binds(build));
        let away = odd > 0 && struck_at.is_some() && mended_at.is_none_or(|at| at.elapsed() < GRACE);
        let down_now = down.is_some() && back.is_none_or(|at: Instant| at.elapsed() < GRACE);
        looks += 1;
        // What proxies hold that nobody can reach is theirs until they are reached; the others make room for it.
        let room = if away { cap.max(stuck / count) } else { cap };
        last_stuck = last_stuck.max(if away { stuck / count } else { 0.0 });
        if build > 1 && !down_now {
            worst = worst.max(given - room);
            breaches += u64::from(given > room + 1e-9);
        }
        sleep(LOOK);
    }
    let end = decisions.last().map(|decision| decision.mark);
    let newest = decisions.iter().rev().find(|decision| matches!(decision.mark, Mark::News { .. }));
    let converged = [end, newest.map(|decision| decision.mark)].into_iter().flatten();
    let converged: Option<Vec<u64>> = converged.map(|mark| all_hold(mark, SETTLES)).collect();
    let usage = control.resource_usage();
    let (cpu, peak) = (usage.cpu_seconds, usage.peak_memory_mib);
    let counters = control.counters();
    let lasted = began.elapsed().as_secs_f64();
    let (mut within, mut after) =
        (Histogram::<u64>::new(3).expect("bounds"), Histogram::<u64>::new(3).expect("bounds"));
    let mut never = 0u64;
    for decision in &decisions {
        let service_away = down.is_some_and(|down| {
            let back = back.unwrap_or_else(Instant::now) + Duration::from_secs(5);
            decision.at + Duration::from_secs(5) >= down && decision.at <= back
        });
        for (n, track) in tracks.iter().enumerate() {
            let track = track.lock().unwrap_or_else(PoisonError::into_inner);
            let used = track
                .steps
                .iter()
                .find(|(at, news, list)| *at >= decision.at && decision.mark.used(*news, *list));
            let struck = n < odd
                && struck_at.is_some_and(|at| decision.at + Duration::from_secs(1) >= at)
                && mended_at.is_none_or(|at| decision.at <= at + Duration::from_secs(1));
            match used {
                Some((at, ..)) if service_away || struck => {
                    after.record(millis(at.duration_since(decision.at))).unwrap_or(())
                }
                Some((at, ..)) => within.record(millis(at.duration_since(decision.at))).unwrap_or(()),
                None => never += 1,
            }
        }
    }
    let sum =
        |count: fn(&ResourceCache) -> u64| -> u64 { proxies.iter().map(|proxy| count(&proxy.cache())).sum() };
    let (regressions, dangling, refused) =
        (sum(|cache| cache.regressions), sum(|cache| cache.dangling), sum(|cache| cache.rejected));
    let recovered = back.map(|back| {
        let mark = decisions.iter().rfind(|decision| decision.at <= back).map(|decision| decision.mark);
        let first = |n: usize| {
            let track = tracks[n].lock().unwrap_or_else(PoisonError::into_inner);
            let step = track
                .steps
                .iter()
                .find(|(at, news, list)| *at >= back && mark.is_none_or(|m| m.used(*news, *list)));
            step.map(|(at, ..)| millis(at.duration_since(back)))
        };
        (0..sizes.proxies).map(first).collect::<Option<Vec<u64>>>().and_then(|all| all.into_iter().max())
    });
    drop(control);
    let _ = std::fs::remove_dir_all(&folder);
    runtime.shutdown_background();
    let must = [
        ("all proxies began", first.is_some()),
        ("nothing went back", regressions == 0),
        ("no reference dangled", dangling == 0),
        ("the cap was kept", breaches == 0),
        ("all converged", converged.is_some() && never == 0),
        ("p99 in time", within.value_at_quantile(0.99) < P99_MS),
        ("all in time", within.max() < MAX_MS),
    ];
    let broken: Vec<&str> = must.iter().filter(|(_, held)| !held).map(|(what, _)| *what).collect();
    let spread = |times: &Histogram<u64>| {
        json!({"count": times.len(), "p50_ms": times.value_at_quantile(0.5), "p99_ms": times.value_at_quantile(0.99),
            "max_ms": times.max()})
    };
    let counters: serde_json::Map<String, Value> =
        counters.into_iter().map(|(name, figure)| (name, json!(figure))).collect();
    let figures = json!({
        "experiment": "xds", "proxies": sizes.proxies, "hosts": sizes.hosts, "seconds": sizes.seconds,
        "seed": sizes.seed, "incremental": sizes.incremental, "kill_control": sizes.kill_control,
        "reconnect_all": sizes.reconnect_all, "nack": sizes.nack, "partition": sizes.partition,
        "decisions": decisions.len(), "all_began_ms": connected, "to_use": spread(&within),
        "to_use_of_those_struck": spread(&after), "recovered_all_ms": recovered.flatten(),
        "converged_ms": converged, "never_used": never, "regressions": regressions, "dangling": dangling,
        "refused": refused, "looks": looks, "cap_breaches": breaches, "worst_over_cap": worst.max(0.0),
        "held_by_those_out_of_reach": last_stuck, "cpu_s": cpu, "cpu_share": cpu / lasted, "peak_mib": peak,
        "sent": counters, "broken": broken, "cores": std::thread::available_parallelism().map_or(0, usize::from),
        "servers": "simulated",
    });
    (figures, broken.is_empty())
}
