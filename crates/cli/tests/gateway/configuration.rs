//! Start and reload of the configuration, periodic counters, and the log.

use crate::support::{assert_served, wait_until_received};
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, gateway_config, spawn_gateway};
use latchhaven_test_support::platform_messages::{endpoint_list, host, rollout_state, start_feed};
use latchhaven_test_support::postgres::{query, query_result, select};
use latchhaven_test_support::process::{program, read_log};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;

/// Nothing listens at this address.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// Checks that a gateway exits with code 1 and logs one line, which contains `expected_text`.
fn assert_start_fails(config: &str, expected_text: &str) {
    let process = spawn_gateway(config);
    let (mut child, log) = (process.child, process.log);
    assert_eq!(child.wait().unwrap().code(), Some(1));
    wait_until("the reason is logged", || !log.lock().unwrap().is_empty());
    let lines = log.lock().unwrap().clone();
    assert!(lines.len() == 1 && lines[0].contains(expected_text), "{lines:?}");
}

/// A pipe whose reader has stopped fills up, and a write of a log line to it would block the process.
#[test]
fn unread_log_does_not_delay_requests_or_shutdown() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    wait_until("the feed is open", || gateway.platform.count_calls_containing("GET /v1/feed") == 1);
    gateway.log_paused.store(true, SeqCst);
    // More lines than the pipe can store.
    for _ in 0..300 {
        gateway.signal("USR1");
        thread::sleep(Duration::from_millis(1));
    }
    let mut client = gateway.client();
    for n in 0..20 {
        assert_served(&mut client, &format!("a{n}"), 900);
    }
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
    gateway.log_paused.store(false, SeqCst);
}

/// An operator has to find the wrong key from one line, and no gateway may run with a part of its configuration.
#[rstest]
#[case::class("/settings/classes/0/aim-s", json!("soon"), "classes[0].aim-s")]
#[case::effect("/settings/classes/1/effect", json!("sometimes"), "classes[1].effect")]
#[case::unit("/settings/permissions", json!({"dial-timeout-ms": 2}), "dial-timeout-ms: unknown unit")]
#[case::missing("/settings/domain", json!({}), "domain")]
#[case::listen("/listen", json!("nowhere"), "listen")]
#[case::discovery("/discovery", json!(7), "discovery")]
#[case::no_sockets("/limits/sockets", json!(0), "limits.sockets")]
#[case::no_memory("/limits/memory_mb", json!(0), "limits.memory_mb")]
#[case::platform("/pipeline/address", json!("x"), "pipeline.address")]
#[case::news("/pipeline/news/status", json!("ODD"), "pipeline.news: status")]
#[case::known("/known/hosts/0/dial", json!("x"), "known: hosts[0].dial")]
#[case::seed("/seed", json!("xyz"), "seed")]
fn invalid_value_stops_the_start_with_one_line_that_names_its_key(
    #[case] pointer: &str, #[case] value: Value, #[case] expected_text: &str,
) {
    let endpoints = [host("s0", UNUSED_ADDRESS, "up", 1)];
    let mut config = gateway_config(&endpoints, UNUSED_ADDRESS, UNUSED_ADDRESS);
    *config.pointer_mut(pointer).unwrap() = value;
    assert_start_fails(&config.to_string(), expected_text);
}

#[test]
fn missing_variable_or_file_stops_the_start_with_one_line() {
    for (path, expected_text) in
        [(None, "BALANCER_CONFIG: not set"), (Some("/nowhere/at/all"), "BALANCER_CONFIG: /nowhere/at/all")]
    {
        let mut command = std::process::Command::new(program());
        let output = command.env_clear().envs(path.map(|path| ("BALANCER_CONFIG", path))).output().unwrap();
        let lines = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), lines.lines().count()), (Some(1), 1));
        assert!(lines.contains(expected_text), "{lines}");
    }
}

#[test]
fn counters_are_logged_periodically_if_requested() {
    let path = std::env::temp_dir().join(format!("latchhaven-counted-{}.json", std::process::id()));
    std::fs::write(&path, gateway_config(&[], UNUSED_ADDRESS, UNUSED_ADDRESS).to_string()).unwrap();
    let start = |seconds: &str| {
        let mut command = std::process::Command::new(program());
        command.args(["--counters-every", seconds]).env_clear().env("BALANCER_CONFIG", &path);
        command.stderr(std::process::Stdio::piped()).spawn().unwrap()
    };
    let mut gateway = start("1");
    let log = read_log(&mut gateway).log;
    let line_count =
        || log.lock().unwrap().iter().filter(|line| line.contains("counters: requests_total=0")).count();
    wait_until("the counters are logged repeatedly", || line_count() >= 2);
    gateway.kill().unwrap();
    // An interval of 0 is an error of the command line.
    assert_eq!(start("0").wait().unwrap().code(), Some(2));
}

/// A truncated file must not start a gateway; a key that it does not know must not prevent the start.
#[test]
fn invalid_json_stops_the_start_and_unknown_keys_do_not() {
    assert_start_fails("{\"name\": ", "BALANCER_CONFIG");
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| {
        config["colour"] = json!("green");
        config["settings"]["domain"]["mood"] = json!([1]);
    });
    assert_served(&mut gateway.client(), "a1", 900);
}

/// A reload must not interrupt what it does not change: pending requests, connections to endpoints, and the current
/// list. Afterwards the discovery service and the platform are each called at the new address only.
#[test]
fn reload_moves_only_discovery_feed_and_votes() {
    let (baseline, canary) =
        (FakeServer::start(ServerBehavior::SucceedAfter(300)), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&baseline], |_| ());
    wait_until("the feed is open", || gateway.platform.count_calls_containing("GET /v1/feed") == 1);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1900)));
    wait_until_received(&baseline, 1);
    let new_discovery =
        FakeHttpService::start(|_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("\n"))));
    let new_platform = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new_discovery.addr.to_string());
    config["pipeline"]["address"] = json!(new_platform.addr.to_string());
    gateway.reconfigure(&config.to_string());
    wait_until("both new addresses are called", || {
        new_discovery.count_calls_containing("watch=1&after=5 ") == 1
            && new_platform.count_calls_containing("GET /v1/feed") == 1
    });
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    // The earlier streams are closed once the new ones deliver, and stay closed after further signals.
    wait_until("the earlier watch is closed", || gateway.discovery.all_streams_closed());
    wait_until("the earlier feed is closed", || gateway.platform.all_streams_closed());
    (0..3).for_each(|_| gateway.signal("HUP"));
    wait_until("the file is reloaded", || gateway.count_logged("configuration reloaded") >= 2);
    new_discovery.send_line(&endpoint_list(9, false, &[host("s1", canary.addr, "up", 2)]));
    new_platform.send_line(&json!({"type": "ROLLOUT", "object": rollout_state(2, 0, "IN_PROGRESS", 0.5)}));
    wait_until("votes go to the new address", || new_platform.count_calls_containing("POST /v1/ballots") > 0);
    assert_eq!(
        (new_discovery.count_calls_containing("watch"), new_platform.count_calls_containing("GET /v1/feed")),
        (1, 1)
    );
    assert_eq!(
        (gateway.discovery.count_calls_containing("watch"), gateway.platform.count_calls_containing("")),
        (1, 1)
    );
    assert_eq!((baseline.history.lock().unwrap().connections, gateway.counter("feed_lost_total")), (1, 0));
}

/// A file may be read while it is written, or contain an error; the gateway has to continue with its configuration.
#[rstest]
#[case::half_written("{\"name\": \"n0\", \"lis", "BALANCER_CONFIG")]
#[case::wrong("{\"discovery\": \"nowhere\", \"name\": \"n0\", \"listen\": \"127.0.0.1:0\"}", "discovery")]
fn invalid_reload_changes_nothing_and_logs_the_reason(#[case] text: &str, #[case] expected_text: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start_watching(&[&server], |_| ());
    gateway.reconfigure(text);
    wait_until("the reason is logged", || {
        gateway.logged("configuration not reloaded") && gateway.logged(expected_text)
    });
    assert_served(&mut gateway.client(), "a1", 900);
    assert_eq!(
        (gateway.discovery.count_calls_containing("watch"), gateway.platform.count_calls_containing("feed")),
        (1, 1)
    );
    // During shutdown, a reload is ignored and does not end the process.
    server.set_behavior(ServerBehavior::SucceedAfter(400));
    let mut busy = gateway.client();
    busy.send(&query(&select("a2", "look", 1900)));
    wait_until_received(&server, 2);
    gateway.signal("TERM");
    gateway.signal("HUP");
    assert_eq!(query_result(&busy.read_response()), Ok("a2".to_string()));
    assert_eq!(gateway.wait_for_exit(), Some(0));
}
