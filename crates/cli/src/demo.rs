//! `demo`: stand-ins, a gateway and a control service on loopback, and a rollout of a good and a bad build.

use latchhaven_test_support::fake_load_reports::{ClusterOutcome, ClusterOutcomes, ReportedLoad};
use latchhaven_test_support::fake_platform::{FakePlatform, control_config};
use latchhaven_test_support::fake_proxy::{FakeProxy, ProxyBehavior};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{gateway_config, spawn_gateway};
use latchhaven_test_support::platform_messages::{host, rollout_state};
use latchhaven_test_support::postgres::{Client, outcome, select, startup};
use latchhaven_test_support::process::{Process, wait_for_address};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Hosts, proxies and clients of the gateway.
const HOSTS: usize = 6;
const PROXIES: usize = 3;
const CLIENTS: usize = 6;
/// Caps of the stages, and how many hosts have the build in each.
const CAPS: [f64; 2] = [0.3, 1.0];
const PLACES: [usize; 2] = [2, 4];
/// A stage lasts at least so long, and so long does a build take to go back.
const SOAK: Duration = Duration::from_secs(1);
/// Each build is watched for so long at most.
const BUILD_MOST: Duration = Duration::from_secs(25);
/// Between two txns of one client.
const PAUSE: Duration = Duration::from_millis(8);
/// Between two looks at the votes.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Counts {
    settled: AtomicU64,
    declined: AtomicU64,
    failed: AtomicU64,
}

fn born() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn entry(n: usize, server: &FakeServer, build: u32, since: u64) -> Value {
    let mut entry = host(&format!("s{n}"), server.addr, "up", build);
    entry["born_ms"] = json!(since);
    entry
}

/// Has hosts begin anew with a build; a bad one fails every third txn.
fn begin(site: &FakePlatform, servers: &[FakeServer], which: std::ops::Range<usize>, build: u32, bad: bool) {
    let list: Vec<Value> = which.clone().map(|n| entry(n, &servers[n], build, born())).collect();
    for server in &servers[which] {
        server.set_behavior(if bad {
            ServerBehavior::FailOneIn(3, "XX000")
        } else {
            ServerBehavior::SucceedAfter(2)
        });
    }
    site.update_hosts(&list);
}

/// One client: asks one txn after another.
fn client(gateway: SocketAddr, number: usize, counts: &Counts, over: &AtomicBool) {
    let mut asked = 0u64;
    while !over.load(Relaxed) {
        let mut client = Client::connect(gateway);
        client.send(&startup());
        client.read_response();
        while !over.load(Relaxed) {
            asked += 1;
            let answer = client.query(&select(&format!("c{number}n{asked}"), "look", 1500));
            if answer.is_empty() {
                break;
            }
            let count = match outcome(&answer) {
                Ok(_) => &counts.settled,
                Err(code) if code.0 == "53300" || code.0 == "57P03" => &counts.declined,
                Err(_) => &counts.failed,
            };
            count.fetch_add(1, Relaxed);
            thread::sleep(PAUSE);
        }
    }
}

/// Plays it; ends with 1 where the bad build was not sent back or the good one not released.
///
/// # Errors
/// What keeps the stand-ins from starting.
pub fn demo(seed: u64) -> io::Result<ExitCode> {
    let servers: Vec<FakeServer> =
        (0..HOSTS).map(|_| FakeServer::start(ServerBehavior::SucceedAfter(2))).collect();
    let list: Vec<Value> = servers.iter().enumerate().map(|(n, server)| entry(n, server, 1, 0)).collect();
    let site = FakePlatform::start(5, list.clone(), rollout_state(1, 0, "COMPLETE", 1.0));
    let mut config = gateway_config(&list, site.discovery.addr, site.feed.addr);
    config["seed"] = json!(format!("{seed:x}"));
    config["settings"]["domain"]["caps"] = json!(CAPS);
    let mut gateway = spawn_gateway(&config.to_string());
    let listening = wait_for_address(&gateway.log);
    let file = std::env::temp_dir().join(format!("latchhaven-demo-{}.star", std::process::id()));
    let at = SocketAddr::from(([127, 0, 0, 1], 0));
    std::fs::write(&file, control_config("demo", site.discovery.addr, site.feed.addr, at, false, ""))?;
    let mut control = Process::start_control(&file);
    println!("gateway on {listening}, control service on {}, {HOSTS} hosts, {PROXIES} proxies", control.addr);

    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let (orders, ordered) =
        watch::channel(ProxyBehavior { service: Some(control.addr), ..ProxyBehavior::default() });
    let bad = Arc::new(AtomicU64::new(0));
    let failing = bad.clone();
    let outcomes: ClusterOutcomes = Arc::new(move |cluster| {
        let fails = cluster.starts_with(&format!("b{}/", failing.load(Relaxed)));
        ClusterOutcome { failure_share: if fails { 0.33 } else { 0.0 }, mean_latency: 4.0 }
    });
    let proxies: Vec<FakeProxy> = (0..PROXIES).map(|n| FakeProxy::new(n, n % 2 == 1)).collect();
    for proxy in &proxies {
        runtime.spawn(proxy.clone().run(ordered.clone(), seed, Arc::new(|_, _, _| ())));
        let classes = &["look", "book", "pay"];
        let load = ReportedLoad { classes, requests: 200, outcomes: outcomes.clone() };
        runtime.spawn(proxy.clone().run_load_reports(ordered.clone(), seed, load));
    }
    let (counts, over) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    for number in 0..CLIENTS {
        let (counts, over) = (counts.clone(), over.clone());
        thread::spawn(move || client(listening, number, &counts, &over));
    }

    let start = Instant::now();
    let mut rows = Vec::new();
    for (build, is_bad) in [(2, true), (3, false)] {
        bad.store(if is_bad { u64::from(build) } else { 0 }, Relaxed);
        let before = [&counts.settled, &counts.declined, &counts.failed].map(|count| count.load(Relaxed));
        let end = rollout(&site, &servers, build, is_bad, start, &proxies, &counts);
        let after = [&counts.settled, &counts.declined, &counts.failed].map(|count| count.load(Relaxed));
        rows.push((build, is_bad, end, [0, 1, 2].map(|n| after[n] - before[n])));
    }
    over.store(true, Relaxed);
    orders.send_modify(|order| order.stops = true);
    println!("\nbuild  is    ended            txns  settled  declined  failed");
    for (build, is_bad, end, [settled, declined, failed]) in &rows {
        let (is, all) = (if *is_bad { "bad" } else { "good" }, settled + declined + failed);
        println!("{build:>5}  {is:<4}  {end:<14} {all:>6} {settled:>8} {declined:>9} {failed:>7}");
    }
    let _ = gateway.child.kill();
    let _ = gateway.child.wait();
    control.kill();
    let _ = (std::fs::remove_file(&file), std::fs::remove_file(&gateway.config_path));
    runtime.shutdown_background();
    let held = rows.iter().all(|(_, is_bad, end, _)| (end == "sent back") == *is_bad && end != "undecided");
    Ok(if held { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// One build from its first stage until it is released or withdrawn: the platform's part.
fn rollout(
    site: &FakePlatform, servers: &[FakeServer], build: u32, bad: bool, start: Instant,
    proxies: &[FakeProxy], counts: &Counts,
) -> String {
    let say = |what: &str| {
        let parts = proxies.iter().map(|proxy| f64::from(proxy.cache().version_share("look", build)) / 1e4);
        let parts: Vec<String> = parts.map(|part| format!("{part:.0}%")).collect();
        let (settled, failed) = (counts.settled.load(Relaxed), counts.failed.load(Relaxed));
        let at = start.elapsed().as_secs_f64();
        println!(
            "{at:6.1} s  build {build}: {what:<22} proxies give it {}  settled {settled}, failed {failed}",
            parts.join(" ")
        );
    };
    let (began, mut stage, mut since, mut said) = (Instant::now(), 0, Instant::now(), Instant::now());
    site.update_rollout(build, 0, "IN_PROGRESS", CAPS[0]);
    begin(site, servers, 0..PLACES[0], build, bad);
    say("on trial, stage 0");
    while began.elapsed() < BUILD_MOST {
        thread::sleep(LOOK);
        let votes = site.votes();
        let voted = |word: &str| {
            votes.iter().any(|vote| {
                vote.version == u64::from(build) && vote.stage == stage as u64 && vote.word == word
            })
        };
        if said.elapsed() >= Duration::from_secs(1) {
            said = Instant::now();
            say(&format!("on trial, stage {stage}"));
        }
        if voted("reject") {
            site.update_rollout(build, stage as u32, "ROLLING_BACK", 0.0);
            say("voted back");
            thread::sleep(SOAK);
            begin(site, servers, 0..PLACES[stage], 1, false);
            site.update_rollout(build, stage as u32, "ROLLED_BACK", 0.0);
            thread::sleep(SOAK);
            say("withdrawn");
            return "sent back".to_string();
        }
        if voted("approve") && since.elapsed() >= SOAK {
            if stage + 1 == CAPS.len() {
                site.update_rollout(build, stage as u32, "COMPLETE", 1.0);
                begin(site, servers, PLACES[stage]..HOSTS, build, bad);
                thread::sleep(SOAK);
                say("released");
                return "released".to_string();
            }
            (stage, since) = (stage + 1, Instant::now());
            site.update_rollout(build, stage as u32, "IN_PROGRESS", CAPS[stage]);
            begin(site, servers, PLACES[stage - 1]..PLACES[stage], build, bad);
            say(&format!("on to stage {stage}"));
        }
    }
    "undecided".to_string()
}
