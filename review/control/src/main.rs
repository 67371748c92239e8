//! A control service condemns a build, is killed and started again. Do the proxies that come back still converge?
//!
//! Stand-ins: discovery, platform and proxies of `crates/test-support`. The platform goes by the majority of three
//! voters: one vote to go back does not suffice, so that the build stays on trial.

use latchhaven_test_support::fake_load_reports::{ClusterOutcome, ReportedLoad};
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior};
use latchhaven_test_support::platform_messages::rollout_state;
use serde_json::{Value, json};
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Within this time every client has to have the latest decision.
const CONVERGENCE: Duration = Duration::from_secs(5);
/// How long the case looks on after that, to say how long it took.
const LOOK_ON: Duration = Duration::from_secs(20);
const MAX_WAIT: Duration = Duration::from_secs(40);
const PROXIES: usize = 4;
const BASELINE_HOSTS: u16 = 4;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

struct Record {
    file: File,
    start: Instant,
}

impl Record {
    fn line(&mut self, text: &str) {
        let _ = writeln!(self.file, "{:8.2} {text}", self.start.elapsed().as_secs_f64());
    }

    fn say(&mut self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

fn could_not_run(reason: &str) -> ! {
    println!("could not run: {reason}");
    std::process::exit(2);
}

fn host(number: u16, health: &str, build: u32, born_ms: f64) -> Value {
    json!({"host": format!("s{number}"), "dial": address(number).to_string(), "site": "malaga", "class": "std-3c",
        "block": 1, "health": health, "share": 1.0, "born_ms": born_ms, "release": build})
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 5000 + number))
}

/// A control service, started by the deploy file's `run` with the word `control` and its file.
struct Control {
    child: Child,
}

impl Control {
    fn start(folder: &PathBuf, number: u32) -> Self {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("started from the repository's root");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let command_line = format!("{} control {}/control.star", run.expect("`run`"), folder.display());
        let log = File::create(folder.join(format!("control-{number}.log"))).expect("a log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(command_line).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // The service ends with the case, whatever ends the case.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        Control { child: command.spawn().expect("the control service can be started") }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a proxy would do now: the share of build 42, and the baseline hosts that it would send new requests to.
fn usable_hosts(proxy: &FakeProxy) -> Vec<String> {
    let cache = proxy.cache();
    let endpoints = cache.cluster_endpoints("b41/look").endpoints;
    endpoints.iter().filter(|host| host.is_healthy).map(|host| format!("s{}", host.addr.port() - 5000)).collect()
}

fn has_host(proxy: &FakeProxy, number: u16) -> bool {
    usable_hosts(proxy).contains(&format!("s{number}"))
}

fn share_of_42(proxy: &FakeProxy) -> u32 {
    let cache = proxy.cache();
    cache.version_share("look", 42)
}

fn write_state(record: &mut Record, proxies: &[FakeProxy]) {
    for proxy in proxies {
        let (share, hosts) = (share_of_42(proxy), usable_hosts(proxy).join(" "));
        record.line(&format!("proxy {}: share of 42 {share} ppm, sends to baseline hosts {hosts}", proxy.number));
    }
}

/// Waits until `condition` holds for all proxies, for at most `wait`. Returns the time it took, `None` if it never did.
fn wait_for(proxies: &[FakeProxy], wait: Duration, condition: impl Fn(&FakeProxy) -> bool) -> Option<Duration> {
    let began = Instant::now();
    while began.elapsed() < wait {
        if proxies.iter().all(&condition) {
            return Some(began.elapsed());
        }
        sleep(Duration::from_millis(20));
    }
    None
}

/// Discovery tells that a host drains. Returns when the last proxy had stopped sending to it.
fn drain(record: &mut Record, platform: &FakePlatform, proxies: &[FakeProxy], number: u16) -> Option<Duration> {
    platform.update_hosts(&[host(number, "draining", 41, 0.0)]);
    record.line(&format!("discovery: s{number} drains"));
    let took = wait_for(proxies, LOOK_ON, |proxy| !has_host(proxy, number));
    write_state(record, proxies);
    took
}

fn main() {
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let path = std::env::args().nth(1).unwrap_or("record.txt".to_string());
    let file = File::create(path).expect("record.txt can be written");
    let mut record = Record { file, start: Instant::now() };
    let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("run.sh sets CASE_FOLDER"));

    let hosts = (0..BASELINE_HOSTS).map(|number| host(number, "up", 41, 0.0)).collect();
    let platform = FakePlatform::start(5, hosts, rollout_state(41, 2, "COMPLETE", 1.0));
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port");
    let config = control_config("control-a", platform.discovery.addr, platform.feed.addr, listen, false, "");
    let config = config
        .replace("\"vote-mode\": \"single\"", "\"vote-mode\": \"majority\"")
        .replace("\"votes-to-go\": 1, \"votes-to-revert\": 1", "\"votes-to-go\": 2, \"votes-to-revert\": 2")
        .replace("\"replicas-of-me\": 1", "\"replicas-of-me\": 3");
    std::fs::write(folder.join("control.star"), config).expect("the temporary folder can be written");
    let mut control = Control::start(&folder, 1);

    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let load = ReportedLoad {
        classes: &["look", "book", "pay"],
        requests_per_second: 60,
        outcomes: Arc::new(|cluster: &str| {
            let failure_share = if cluster.starts_with("b42") { 0.3 } else { 0.002 };
            ClusterOutcome { failure_share, mean_latency_ms: 20.0 }
        }),
    };
    let (_behavior, behavior) = watch::channel(ProxyBehavior { service: Some(listen), ..ProxyBehavior::default() });
    let start_proxy = |number: usize| {
        let proxy = FakeProxy::new(number, number % 2 == 1);
        runtime.spawn(proxy.clone().run(behavior.clone(), 1, Arc::new(|_, _, _| ())));
        runtime.spawn(proxy.clone().run_load_reports(behavior.clone(), 1, load.clone()));
        proxy
    };
    let proxies: Vec<FakeProxy> = (0..PROXIES).map(start_proxy).collect();
    let all_hosts = |proxy: &FakeProxy| usable_hosts(proxy).len() == usize::from(BASELINE_HOSTS);
    if wait_for(&proxies, MAX_WAIT, all_hosts).is_none() {
        could_not_run("the proxies get no configuration");
    }
    sleep(Duration::from_secs(3));

    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as f64;
    platform.update_hosts(&[host(9, "up", 42, born)]);
    platform.update_rollout(42, 1, "IN_PROGRESS", 0.5);
    record.say("build 42 is on trial with a cap of 0.5; it fails three in ten requests");
    if wait_for(&proxies, MAX_WAIT, |proxy| share_of_42(proxy) > 0).is_none() {
        could_not_run("build 42 gets no share");
    }
    write_state(&mut record, &proxies);
    let is_condemned = || platform.votes().iter().any(|vote| vote.version == 42 && vote.decision == "reject");
    let began = Instant::now();
    while !is_condemned() && began.elapsed() < MAX_WAIT {
        sleep(Duration::from_millis(20));
    }
    if !is_condemned() || wait_for(&proxies, MAX_WAIT, |proxy| share_of_42(proxy) == 0).is_none() {
        could_not_run("build 42 is not condemned");
    }
    record.say("the control service votes back, and every proxy has a share of 0 for build 42");
    let before = drain(&mut record, &platform, &proxies, 3);
    record.say(&format!("s3 drains: the last proxy stops sending to it after {before:?}"));
    if before.is_none_or(|took| took > CONVERGENCE) {
        could_not_run("the proxies did not converge before the disruption");
    }

    if is_troubled {
        control.kill();
        record.say("the control service is killed");
        sleep(Duration::from_secs(1));
        control = Control::start(&folder, 2);
        record.say("the control service is started again with the same file");
        sleep(Duration::from_secs(8));
        write_state(&mut record, &proxies);
    }
    let after = drain(&mut record, &platform, &proxies, 0);
    let text = match after {
        Some(took) => format!("the last proxy stops sending to it after {took:?}"),
        None => format!("after {LOOK_ON:?} proxies still send to it"),
    };
    record.say(&format!("s0 drains: {text}"));
    // Not judged: what the service hands to a proxy that has no earlier configuration.
    let newcomer = [start_proxy(PROXIES)];
    let readmitted = wait_for(&newcomer, CONVERGENCE, |proxy| share_of_42(proxy) > 0);
    let share = share_of_42(&newcomer[0]);
    let text = if readmitted.is_some() { "gets a share of the condemned build 42" } else { "gets no share of build 42" };
    record.say(&format!("a proxy that comes now {text}: {share} ppm"));
    write_state(&mut record, &newcomer);
    for vote in platform.votes() {
        record.line(&format!("vote received: build {} step {} {}", vote.version, vote.stage, vote.decision));
    }
    drop(control);
    for number in 1..=2 {
        let log = std::fs::read_to_string(folder.join(format!("control-{number}.log"))).unwrap_or_default();
        log.lines().for_each(|line| record.line(&format!("log of service {number}: {line}")));
    }
    let is_kept = after.is_some_and(|took| took <= CONVERGENCE);
    std::process::exit(i32::from(!is_kept));
}
