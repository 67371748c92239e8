//! The `demo` command: rolls out a bad and then a good version on loopback. Gateway and control service are processes;
//! their clients, servers, proxies, discovery service and platform are fakes.
//!
//! - `clients`: sends requests to the gateway, and counts their outcomes.
//! - `rollout`: acts as the platform for one version, from the first stage to promotion or rollback.

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
use rollout::{DemoVersion, FIRST_VERSION, Rollout, RolloutEnd, SERVER_LATENCY_MS, STAGE_CAPS, endpoint};
use serde_json::{Value, json};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::Instant;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Servers behind the gateway; their endpoints are published to the proxies as well.
const SERVER_COUNT: usize = 6;
const PROXY_COUNT: usize = 3;
const CLIENT_COUNT: usize = 6;
/// The versions that are rolled out, in this order.
const VERSIONS: [DemoVersion; 2] =
    [DemoVersion { number: 2, is_bad: true }, DemoVersion { number: 3, is_bad: false }];
/// The request classes in the load reports of the proxies.
const REPORTED_CLASSES: &[&str] = &["look", "book", "pay"];
/// Requests of one class that one proxy reports.
const REPORTED_REQUESTS_PER_SECOND: u64 = 200;
/// The share of failures, from 0 to 1, among the requests that proxies report for a bad version.
const BAD_VERSION_FAILURE_SHARE: f64 = 0.33;
/// The mean latency that proxies report.
const REPORTED_LATENCY_MS: f64 = 4.0;
/// The version of the first endpoint list: that of the list in the gateway's configuration.
const FIRST_LIST_VERSION: u64 = 5;

/// How the rollout of a version ended, and the requests to the gateway during that rollout.
struct RolloutSummary {
    version: DemoVersion,
    end: RolloutEnd,
    outcomes: OutcomeCounts,
}

/// Runs the demo. The exit code is 1 if the bad version was not rolled back or the good one was not promoted.
///
/// # Errors
/// A temporary file cannot be written, or the runtime of the fake proxies cannot be created.
pub(crate) fn demo(seed: u64) -> io::Result<ExitCode> {
    let environment = Environment::start(seed)?;
    let clients = Clients::start(environment.gateway_address);
    let proxies = Proxies::start(environment.control.addr, seed)?;
    let demo_started_at = Instant::now();
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
            demo_started_at,
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

/// A gateway process, a control service process, and their fake servers and platform. Kills the processes and removes
/// their files when dropped.
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
        let servers: Vec<FakeServer> = (0..SERVER_COUNT)
            .map(|_| FakeServer::start(ServerBehavior::SucceedAfter(SERVER_LATENCY_MS)))
            .collect();
        let hosts: Vec<Value> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| endpoint(index, server, FIRST_VERSION, 0))
            .collect();
        let platform = FakePlatform::start(
            FIRST_LIST_VERSION,
            hosts.clone(),
            rollout_state(FIRST_VERSION, 0, "COMPLETE", 1.0),
        );
        let mut config = gateway_config(&hosts, platform.discovery.addr, platform.feed.addr);
        config["seed"] = json!(format!("{seed:x}"));
        config["settings"]["domain"]["caps"] = json!(STAGE_CAPS);
        let gateway = spawn_gateway(&config.to_string());
        let gateway_address = wait_for_address(&gateway.log);
        let control_file = write_control_file(&platform)?;
        let control = Process::start_control(&control_file);
        println!(
            "gateway on {gateway_address}, control service on {}, {} servers, {} proxies",
            control.addr, SERVER_COUNT, PROXY_COUNT
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

/// Threads that send requests to the gateway; they stop after this is dropped.
struct Clients {
    counters: Arc<OutcomeCounters>,
    stopped: Arc<AtomicBool>,
}

impl Clients {
    fn start(gateway: SocketAddr) -> Self {
        let clients = Clients { counters: Arc::default(), stopped: Arc::default() };
        for number in 0..CLIENT_COUNT {
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

/// Fake proxies that subscribe to the control service and report load to it; they stop when this is dropped.
struct Proxies {
    fakes: Vec<FakeProxy>,
    behavior: watch::Sender<ProxyBehavior>,
    /// The version of which the proxies report failures.
    bad_version: watch::Sender<Option<u32>>,
    runtime: Option<Runtime>,
}

impl Proxies {
    fn start(control: SocketAddr, seed: u64) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let behavior = ProxyBehavior { service: Some(control), ..ProxyBehavior::default() };
        let (behavior, behavior_receiver) = watch::channel(behavior);
        let (bad_version, bad_version_receiver) = watch::channel(None);
        let outcomes = reported_outcomes(bad_version_receiver);
        let fakes: Vec<FakeProxy> =
            (0..PROXY_COUNT).map(|number| FakeProxy::new(number, number % 2 == 1)).collect();
        for proxy in &fakes {
            runtime.spawn(proxy.clone().run(behavior_receiver.clone(), seed, Arc::new(|_, _, _| ())));
            let load = ReportedLoad {
                classes: REPORTED_CLASSES,
                requests_per_second: REPORTED_REQUESTS_PER_SECOND,
                outcomes: outcomes.clone(),
            };
            runtime.spawn(proxy.clone().run_load_reports(behavior_receiver.clone(), seed, load));
        }
        Ok(Proxies { fakes, behavior, bad_version, runtime: Some(runtime) })
    }

    fn set_bad_version(&self, version: DemoVersion) {
        self.bad_version.send_replace(version.is_bad.then_some(version.number));
    }
}

impl Drop for Proxies {
    fn drop(&mut self) {
        self.behavior.send_modify(|behavior| behavior.is_stopped = true);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The outcomes that proxies report. In clusters of the bad version, which are named `b<version>/<class>`, a share of
/// the requests fails.
fn reported_outcomes(bad_version: watch::Receiver<Option<u32>>) -> ClusterOutcomes {
    Arc::new(move |cluster| {
        let bad_version = *bad_version.borrow();
        let is_bad = bad_version.is_some_and(|version| cluster.starts_with(&format!("b{version}/")));
        let failure_share = if is_bad { BAD_VERSION_FAILURE_SHARE } else { 0.0 };
        ClusterOutcome { failure_share, mean_latency_ms: REPORTED_LATENCY_MS }
    })
}
