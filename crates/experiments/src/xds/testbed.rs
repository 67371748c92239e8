//! The control service, the platform and the proxies of one experiment.

use super::rollout_script::{Expectation, initial_hosts};
use super::sizes::Sizes;
use latchhaven_proxy_config::version::RolloutVersion;
use latchhaven_test_support::fake_load_reports::{ClusterOutcome, ReportedLoad};
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior, ResponseObserver};
use latchhaven_test_support::lock_ignoring_poison;
use latchhaven_test_support::platform_messages::rollout_state;
use latchhaven_test_support::process::Process;
use latchhaven_test_support::resource_cache::ResourceCache;
use latchhaven_xds::resources::ResourceType;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// Requests of each class that a proxy reports in one second.
const REQUESTS_PER_SECOND: u64 = 20;
/// The mean latency that proxies report, in ms.
const REPORTED_LATENCY: f64 = 20.0;
/// The interval of checks whether all proxies meet an expectation.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The sum of all weights of a route.
const TOTAL_WEIGHT: f64 = 1e6;

/// The state of a proxy from a time on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ProxyState {
    pub(super) at: Instant,
    rollout: Option<RolloutVersion>,
    list_version: u64,
}

impl ProxyState {
    fn of(cache: &ResourceCache, at: Instant) -> Self {
        let list_version = |resource_type| {
            cache.newest_version(resource_type).map_or(0, |version| version.endpoints.version)
        };
        ProxyState {
            at,
            rollout: cache.newest_version(ResourceType::Route).map(|version| version.rollout),
            list_version: list_version(ResourceType::Endpoint).max(list_version(ResourceType::LbEndpoint)),
        }
    }

    fn equals_except_time(&self, other: &ProxyState) -> bool {
        self.rollout == other.rollout && self.list_version == other.list_version
    }

    pub(super) fn meets(&self, expectation: &Expectation) -> bool {
        expectation.is_met(self.rollout, self.list_version)
    }
}

/// The states of all proxies so far, by their numbers.
type Histories = Arc<Vec<Mutex<Vec<ProxyState>>>>;

/// The behavior of a group of proxies.
struct ProxyGroup {
    behavior: watch::Sender<ProxyBehavior>,
    receiver: watch::Receiver<ProxyBehavior>,
}

impl ProxyGroup {
    fn new(service: SocketAddr) -> Self {
        let behavior = ProxyBehavior { service: Some(service), ..ProxyBehavior::default() };
        let (behavior, receiver) = watch::channel(behavior);
        ProxyGroup { behavior, receiver }
    }
}

/// All parts of the experiment.
pub(super) struct Testbed {
    pub(super) platform: FakePlatform,
    pub(super) control: Process,
    pub(super) proxies: Vec<FakeProxy>,
    /// The number of proxies that faults affect: the first ones.
    pub(super) affected_count: usize,
    pub(super) started_at: Instant,
    affected: ProxyGroup,
    unaffected: ProxyGroup,
    histories: Histories,
    config_path: PathBuf,
    folder: PathBuf,
    runtime: Runtime,
}

impl Testbed {
    pub(super) fn start(sizes: &Sizes) -> Self {
        let folder = std::env::temp_dir().join(format!("latchhaven-experiments-{}", std::process::id()));
        let _ = std::fs::create_dir_all(&folder);
        let rollout = rollout_state(1, 0, "COMPLETE", 1.0);
        let platform = FakePlatform::start(1, initial_hosts(sizes.hosts), rollout);
        let config_path = write_config(&folder, &platform);
        let control = Process::start_control(&config_path);
        let runtime = Builder::new_multi_thread().enable_all().build().expect("a runtime");
        let mut rng = Pcg64Mcg::seed_from_u64(sizes.seed);
        let mut new_proxy = |number| FakeProxy::new(number, rng.random::<f64>() < sizes.incremental);
        let proxies: Vec<FakeProxy> = (0..sizes.proxies).map(&mut new_proxy).collect();
        let affected_share = sizes.nack.max(sizes.partition);
        let testbed = Testbed {
            affected_count: (sizes.proxies as f64 * affected_share).round() as usize,
            started_at: Instant::now(),
            affected: ProxyGroup::new(control.addr),
            unaffected: ProxyGroup::new(control.addr),
            histories: Arc::new(proxies.iter().map(|_| Mutex::default()).collect()),
            platform,
            control,
            proxies,
            config_path,
            folder,
            runtime,
        };
        testbed.start_proxies(sizes.seed);
        testbed
    }

    fn start_proxies(&self, seed: u64) {
        let observer = record_states(self.histories.clone());
        for proxy in &self.proxies {
            let behavior = self.group(proxy.number).receiver.clone();
            self.runtime.spawn(proxy.clone().run(behavior, seed, observer.clone()));
        }
        let outcome = ClusterOutcome { failure_share: 0.0, mean_latency_ms: REPORTED_LATENCY };
        let load = ReportedLoad {
            classes: &["look", "book", "pay"],
            requests_per_second: REQUESTS_PER_SECOND,
            outcomes: Arc::new(move |_| outcome),
        };
        for proxy in &self.proxies {
            let behavior = self.group(proxy.number).receiver.clone();
            self.runtime.spawn(proxy.clone().run_load_reports(behavior, seed, load.clone()));
        }
    }

    fn group(&self, proxy: usize) -> &ProxyGroup {
        if self.is_affected(proxy) { &self.affected } else { &self.unaffected }
    }

    /// True if faults affect a proxy.
    pub(super) fn is_affected(&self, proxy: usize) -> bool {
        proxy < self.affected_count
    }

    /// Changes the behavior of the proxies that faults affect.
    pub(super) fn change_affected(&self, change: impl FnOnce(&mut ProxyBehavior)) {
        self.affected.behavior.send_modify(change);
    }

    /// Changes the behavior of all proxies.
    pub(super) fn change_all(&self, change: impl Fn(&mut ProxyBehavior)) {
        self.unaffected.behavior.send_modify(&change);
        self.affected.behavior.send_modify(&change);
    }

    /// Restarts the control service and connects all proxies to it.
    pub(super) fn restart_control(&mut self) {
        self.control = Process::start_control(&self.config_path);
        let addr = self.control.addr;
        self.change_all(|behavior| behavior.service = Some(addr));
    }

    /// The states of a proxy so far.
    pub(super) fn history(&self, proxy: usize) -> MutexGuard<'_, Vec<ProxyState>> {
        lock_ignoring_poison(&self.histories[proxy])
    }

    /// Waits until all proxies meet an expectation; returns the time in ms, or none after the limit.
    pub(super) fn wait_for_all(&self, expectation: Expectation, limit: Duration) -> Option<u64> {
        let start = Instant::now();
        while start.elapsed() < limit {
            let mut states = (0..self.proxies.len()).map(|proxy| self.history(proxy).last().copied());
            if states.all(|state| state.is_some_and(|state| state.meets(&expectation))) {
                return Some(millis(start.elapsed()));
            }
            sleep(POLL_INTERVAL);
        }
        None
    }

    /// The sum over some proxies of the share of one class that is routed to a version.
    pub(super) fn total_share(&self, proxies: std::ops::Range<usize>, version: u32) -> f64 {
        let proxies = self.proxies[proxies].iter();
        proxies.map(|proxy| f64::from(proxy.cache().version_share("look", version)) / TOTAL_WEIGHT).sum()
    }

    /// A sum over the caches of all proxies.
    pub(super) fn sum(&self, count: fn(&ResourceCache) -> u64) -> u64 {
        self.proxies.iter().map(|proxy| count(&proxy.cache())).sum()
    }

    /// Stops everything and removes its files.
    pub(super) fn stop(self) {
        drop(self.control);
        let _ = std::fs::remove_dir_all(&self.folder);
        self.runtime.shutdown_background();
    }
}

/// A duration in ms, without fractions.
pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Writes the control service's configuration.
fn write_config(folder: &Path, platform: &FakePlatform) -> PathBuf {
    let key_path = folder.join("versions.key");
    let _ = std::fs::write(&key_path, "of the lab");
    let state_path = folder.join("state.redb");
    let extra =
        format!("\"state\": \"{}\", \"shared_key_file\": \"{}\",", state_path.display(), key_path.display());
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = control_config("lab", platform.discovery.addr, platform.feed.addr, listen, true, &extra);
    let config_path = folder.join("control.star");
    let _ = std::fs::write(&config_path, config);
    config_path
}

/// Records each change of a proxy's state.
fn record_states(histories: Histories) -> ResponseObserver {
    Arc::new(move |number, cache, at| {
        let state = ProxyState::of(cache, at);
        let mut history = lock_ignoring_poison(&histories[number]);
        if history.last().is_none_or(|last| !last.equals_except_time(&state)) {
            history.push(state);
        }
    })
}
