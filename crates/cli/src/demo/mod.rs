//! The `demo` command: a rollout of a bad and of a good version on loopback, between fakes.
//!
//! - `clients`: clients of the gateway, and the counts of their outcomes.
//! - `rollout`: the platform: one version from its first stage to promotion or rollback.

mod clients;
mod rollout;

use clients::{OutcomeCounters, OutcomeCounts, run_client};
use latchhaven_test_support::fake_load_reports::{ClusterOutcome, ClusterOutcomes, ReportedLoad};
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{GatewayProcess, gateway_config, spawn_gateway};
use latchhaven_test_support::platform_messages::rollout_state;
use latchhaven_test_support::process::{Process, wait_for_address};
use rollout::{DemoVersion, FIRST_VERSION, Rollout, RolloutEnd, STAGE_CAPS, endpoint};
use serde_json::{Value, json};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::thread;
use std::time::Instant;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Servers behind the gateway and the proxies.
const SERVERS: usize = 6;
/// Proxies of the control service.
const PROXIES: usize = 3;
/// Clients of the gateway.
const CLIENTS: usize = 6;
/// The versions that are rolled out, one after the other.
const VERSIONS: [DemoVersion; 2] =
    [DemoVersion { number: 2, is_bad: true }, DemoVersion { number: 3, is_bad: false }];
/// Classes of requests that the proxies report.
const CLASSES: &[&str] = &["look", "book", "pay"];
/// Requests of each class that each proxy reports in one interval.
const REPORTED_REQUESTS: u64 = 200;
/// Failures among the requests that proxies report for a bad version, as a share.
const BAD_VERSION_FAILURE_SHARE: f64 = 0.33;
/// Mean latency that proxies report, in ms.
const REPORTED_LATENCY: f64 = 4.0;

/// The result of one rollout.
struct RolloutSummary {
    version: DemoVersion,
    end: RolloutEnd,
    outcomes: OutcomeCounts,
}

/// Runs the demo; exit code 1 if the bad version was not rolled back or the good one not promoted.
///
/// # Errors
/// A temporary file or the runtime of the fakes cannot be created.
pub(crate) fn demo(seed: u64) -> io::Result<ExitCode> {
    let environment = Environment::start(seed)?;
    let clients = Clients::start(environment.gateway_address);
    let proxies = Proxies::start(environment.control.addr, seed)?;
    let start = Instant::now();
    let mut summaries = Vec::new();
    for version in VERSIONS {
        proxies.set_bad_version(version);
        let outcomes_before = clients.counters.counts();
        let rollout = Rollout {
            platform: &environment.platform,
            servers: &environment.servers,
            proxies: &proxies.fakes,
            counters: &clients.counters,
            version,
            start,
        };
        let end = rollout.run();
        let outcomes = clients.counters.counts().since(outcomes_before);
        summaries.push(RolloutSummary { version, end, outcomes });
    }
    print!("{}", summary_table(&summaries));
    let is_as_expected = summaries.iter().all(|summary| summary.version.expects(summary.end));
    Ok(if is_as_expected { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn summary_table(summaries: &[RolloutSummary]) -> String {
    let mut table = "\nversion  is    ended        requests  succeeded  rejected  failed\n".to_string();
    for RolloutSummary { version, end, outcomes } in summaries {
        let quality = if version.is_bad { "bad" } else { "good" };
        let number = version.number;
        let end = end.to_string();
        let requests = outcomes.total();
        let OutcomeCounts { succeeded, rejected, failed } = outcomes;
        let _ = writeln!(
            table,
            "{number:>7}  {quality:<4}  {end:<11} {requests:>9} {succeeded:>10} {rejected:>9} {failed:>7}"
        );
    }
    table
}

/// A gateway, a control service and the fakes around them. Dropping it ends the processes and removes their files.
struct Environment {
    servers: Vec<FakeServer>,
    platform: FakePlatform,
    gateway: GatewayProcess,
    gateway_address: SocketAddr,
    control: Process,
    control_file: PathBuf,
}

impl Environment {
    fn start(seed: u64) -> io::Result<Self> {
        let servers: Vec<FakeServer> =
            (0..SERVERS).map(|_| FakeServer::start(ServerBehavior::SucceedAfter(2))).collect();
        let hosts: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| endpoint(index, server, FIRST_VERSION, 0))
            .collect();
        let platform =
            FakePlatform::start(5, hosts.clone(), rollout_state(FIRST_VERSION, 0, "COMPLETE", 1.0));
        let mut config = gateway_config(&hosts, platform.discovery.addr, platform.feed.addr);
        config["seed"] = json!(format!("{seed:x}"));
        config["settings"]["domain"]["caps"] = json!(STAGE_CAPS);
        let gateway = spawn_gateway(&config.to_string());
        let gateway_address = wait_for_address(&gateway.log);
        let control_file = write_control_file(&platform)?;
        let control = Process::start_control(&control_file);
        println!(
            "gateway on {gateway_address}, control service on {}, {SERVERS} servers, {PROXIES} proxies",
            control.addr
        );
        Ok(Environment { servers, platform, gateway, gateway_address, control, control_file })
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = self.gateway.child.kill();
        let _ = self.gateway.child.wait();
        self.control.kill();
        let _ = std::fs::remove_file(&self.control_file);
        let _ = std::fs::remove_file(&self.gateway.config_path);
    }
}

fn write_control_file(platform: &FakePlatform) -> io::Result<PathBuf> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = control_config("demo", platform.discovery.addr, platform.feed.addr, listen, false, "");
    let file = std::env::temp_dir().join(format!("latchhaven-demo-{}.star", std::process::id()));
    std::fs::write(&file, text)?;
    Ok(file)
}

/// Threads that send requests to the gateway until they are dropped.
struct Clients {
    counters: Arc<OutcomeCounters>,
    stopped: Arc<AtomicBool>,
}

impl Clients {
    fn start(gateway: SocketAddr) -> Self {
        let clients = Clients { counters: Arc::default(), stopped: Arc::default() };
        for number in 0..CLIENTS {
            let counters = clients.counters.clone();
            let stopped = clients.stopped.clone();
            thread::spawn(move || run_client(gateway, number, &counters, &stopped));
        }
        clients
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stopped.store(true, Relaxed);
    }
}

/// Proxies that subscribe to the control service and report load to it; they stop when dropped.
struct Proxies {
    fakes: Vec<FakeProxy>,
    behavior: watch::Sender<ProxyBehavior>,
    /// The version whose requests fail at the proxies; 0 if there is none.
    bad_version: Arc<AtomicU32>,
    runtime: Option<Runtime>,
}

impl Proxies {
    fn start(control: SocketAddr, seed: u64) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let behavior = ProxyBehavior { service: Some(control), ..ProxyBehavior::default() };
        let (behavior, behavior_receiver) = watch::channel(behavior);
        let bad_version = Arc::new(AtomicU32::new(0));
        let outcomes = reported_outcomes(bad_version.clone());
        let fakes: Vec<FakeProxy> =
            (0..PROXIES).map(|number| FakeProxy::new(number, number % 2 == 1)).collect();
        for proxy in &fakes {
            runtime.spawn(proxy.clone().run(behavior_receiver.clone(), seed, Arc::new(|_, _, _| ())));
            let load =
                ReportedLoad { classes: CLASSES, requests: REPORTED_REQUESTS, outcomes: outcomes.clone() };
            runtime.spawn(proxy.clone().run_load_reports(behavior_receiver.clone(), seed, load));
        }
        Ok(Proxies { fakes, behavior, bad_version, runtime: Some(runtime) })
    }

    fn set_bad_version(&self, version: DemoVersion) {
        let bad_version = if version.is_bad { version.number } else { 0 };
        self.bad_version.store(bad_version, Relaxed);
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        self.behavior.send_modify(|behavior| behavior.stops = true);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The outcomes that proxies report: some requests to clusters of the bad version fail.
fn reported_outcomes(bad_version: Arc<AtomicU32>) -> ClusterOutcomes {
    Arc::new(move |cluster| {
        let is_bad = cluster.starts_with(&format!("b{}/", bad_version.load(Relaxed)));
        let failure_share = if is_bad { BAD_VERSION_FAILURE_SHARE } else { 0.0 };
        ClusterOutcome { failure_share, mean_latency: REPORTED_LATENCY }
    })
}
