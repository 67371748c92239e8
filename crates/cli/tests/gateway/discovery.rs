//! Service discovery: watches and their retries, versions of the endpoint list, and a new address of the service.

use crate::support::{assert_others_are_served, assert_served};
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk, response};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use latchhaven_test_support::postgres::{Client, query, select};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

/// A line with an endpoint list that contains an unknown health.
const UNKNOWN_HEALTH: &str =
    "{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"a\",\"dial\":\"1.2.3.4:5\",\"health\":\"odd\"}]}\n";

/// A discovery service that delays its reply to each call until a message is sent to the channel, or its sender is
/// dropped.
fn delayed_discovery(reply: String) -> (FakeHttpService, mpsc::Sender<()>) {
    let (release, released) = mpsc::channel();
    let released = Mutex::new(released);
    let service = FakeHttpService::start(move |_| {
        let _ = released.lock().unwrap().recv();
        HttpReply::KeepOpen(reply.clone())
    });
    (service, release)
}

/// One line of a watch, encoded as an HTTP chunk.
fn line_chunk(value: &Value) -> String {
    chunk(&format!("{value}\n"))
}

/// Reloads the configuration with the address of another discovery service.
fn reload_with_discovery(gateway: &Gateway, service: &FakeHttpService) {
    let mut config = gateway.config.clone();
    config["discovery"] = json!(service.addr.to_string());
    gateway.reconfigure(&config.to_string());
}

/// Sends a request, checks that it is served, and checks how many queries each server has received since its start.
#[track_caller]
fn assert_served_by(gateway: &Gateway, id: &str, received: [(&FakeServer, usize); 2]) {
    assert_served(&mut gateway.client(), id, 1900);
    for (server, queries) in received {
        assert_eq!(server.queries().len(), queries);
    }
}

/// If the watch started at another version, changes would be lost, or a full list would be sent without need. A
/// draining endpoint receives no request after its change is applied.
#[test]
fn watch_starts_at_the_current_version_and_changes_apply_immediately() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let changes = [host("s0", old.addr, "draining", 1), host("s1", new.addr, "up", 1)];
    let line = endpoint_list(6, false, &changes).to_string() + "\n";
    // A line may be split into chunks.
    let (first_half, second_half) = line.split_at(line.len() / 2);
    gateway.discovery.write(&chunk(first_half));
    gateway.discovery.write(&chunk(second_half));
    wait_until("the list is applied", || gateway.counter("endpoint_list_updates_total") == 2);
    let mut client = gateway.client();
    for n in 0..4 {
        assert_served(&mut client, &format!("a{n}"), 1900);
    }
    assert_eq!((old.queries().len(), new.queries().len()), (0, 4));
}

/// A connection to the earlier address may lead to another process.
#[test]
fn endpoint_with_a_new_address_is_reached_there() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start(&[&old]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    wait_until("the list is watched", || gateway.discovery.count_calls_containing("watch") == 1);
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", new.addr, "up", 1)]));
    wait_until("the earlier connection is closed", || old.history.lock().unwrap().closed_connections == [0]);
    assert_served(&mut client, "a2", 1900);
    assert_eq!((old.queries().len(), new.queries().len()), (1, 1));
}

/// A failure of the discovery service must affect neither requests nor later attempts to watch it.
#[rstest]
#[case::unavailable(HttpReply::Close(response(503, "")))]
#[case::broken_json(HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("{\"seq\":7,\n"))))]
#[case::unknown_health(HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk(UNKNOWN_HEALTH))))]
#[case::no_http(HttpReply::KeepOpen("220 ready\r\n\r\n".to_string()))]
#[case::cut_off(HttpReply::Close(format!("{STREAM_HEAD}5\r\nab")))]
#[case::silent(HttpReply::Nothing)]
fn failed_watch_is_retried_while_requests_are_served(#[case] reply: HttpReply) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    gateway.discovery.set_reply(move |_| reply.clone());
    gateway.discovery.close_streams();
    wait_until("the watch is retried repeatedly", || {
        gateway.discovery.count_calls_containing("watch") >= 3
            && gateway.counter("discovery_failures_total") >= 2
    });
    assert_served(&mut gateway.client(), "a1", 900);
}

/// A connection whose peer has vanished stays open without an error, and no update arrives.
#[test]
fn silent_watch_is_closed_and_retried() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    wait_until("the silent watch is closed", || {
        gateway.logged("no keepalive in time") && gateway.discovery.count_calls_containing("watch") >= 2
    });
}

/// After a suspension, requests and an update wait in the sockets. Requests that are routed first would go to a
/// draining endpoint.
#[test]
fn pending_updates_apply_before_requests_after_a_pause() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let mut clients: Vec<Client> = (0..80).map(|_| gateway.client()).collect();
    gateway.signal("STOP");
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(n, client)| client.send(&query(&select(&format!("a{n}"), "look", 1900))));
    let changes = [host("s0", old.addr, "draining", 1), host("s1", new.addr, "up", 1)];
    gateway.discovery.send_line(&endpoint_list(6, false, &changes));
    thread::sleep(Duration::from_millis(200));
    gateway.signal("CONT");
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().last().unwrap().kind, b'Z'));
    assert!(old.queries().is_empty() && !new.queries().is_empty());
}

/// A retry that waits for its backoff must use the new address, and not one that is no longer configured.
#[test]
fn pending_watch_retry_moves_to_a_new_address_immediately() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    gateway.discovery.set_reply(|_| HttpReply::Nothing);
    gateway.discovery.close_streams();
    wait_until("the watch is retried", || gateway.discovery.count_calls_containing("watch") == 2);
    let new = FakeHttpService::start(|_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("\n"))));
    reload_with_discovery(&gateway, &new);
    wait_until("the new address is called", || new.count_calls_containing("watch") == 1);
    // The close of the aborted call does not count as a failure.
    let failures = gateway.counter("discovery_failures_total");
    gateway.discovery.close_streams();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (gateway.counter("discovery_failures_total"), new.count_calls_containing("watch")),
        (failures, 1)
    );
}

/// A service that sends bytes but never a complete line delivers no update.
#[test]
fn incomplete_line_does_not_keep_a_watch_alive() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    wait_until("the feed is open", || gateway.platform.count_calls_containing("GET /v1/feed") == 1);
    wait_until("both are opened again", || {
        gateway.platform.write(&chunk("x"));
        gateway.discovery.write(&chunk("x"));
        thread::sleep(Duration::from_millis(100));
        gateway.platform.count_calls_containing("GET /v1/feed") >= 2
            && gateway.discovery.count_calls_containing("watch") >= 2
    });
}

/// While the address changes, two watches are open: a delayed list of one may be older than a list of the other.
#[test]
fn older_endpoint_list_does_not_replace_a_newer_one() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let earlier = endpoint_list(6, true, &[host("s0", old.addr, "up", 1)]);
    let (delayed, release) = delayed_discovery(format!("{STREAM_HEAD}{}", line_chunk(&earlier)));
    reload_with_discovery(&gateway, &delayed);
    wait_until("the new address is called", || delayed.received_calls() == 1);
    gateway.discovery.send_line(&endpoint_list(7, true, &[host("s1", new.addr, "up", 1)]));
    wait_until("the newer list is applied", || gateway.counter("endpoint_list_updates_total") == 2);
    release.send(()).unwrap();
    wait_until("the older list is rejected", || gateway.logged("list not newer"));
    for n in 0..4 {
        assert_served(&mut gateway.client(), &format!("a{n}"), 1900);
    }
    assert_eq!((old.queries().len(), new.queries().len()), (0, 4));
    // The list is requested again, from the current version.
    drop(release);
    wait_until("the list is requested again", || delayed.count_calls_containing("after=7 ") > 0);
}

/// A discovery service that is restarted may count versions from the beginning. If these counted as old, no list
/// would be applied any more.
#[test]
fn endpoint_list_with_restarted_versions_is_accepted() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let restarted = endpoint_list(2, true, &[host("s1", new.addr, "up", 1)]);
    gateway
        .discovery
        .set_reply(move |_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", line_chunk(&restarted))));
    gateway.discovery.close_streams();
    wait_until("the list is applied", || gateway.counter("endpoint_list_updates_total") == 2);
    assert_served_by(&gateway, "a1", [(&old, 0), (&new, 1)]);
    // Changes continue from the version of the new list.
    gateway.discovery.send_line(&endpoint_list(
        3,
        false,
        &[host("s1", new.addr, "draining", 1), host("s0", old.addr, "up", 1)],
    ));
    wait_until("the change is applied", || gateway.counter("endpoint_list_updates_total") == 3);
    assert_served_by(&gateway, "a2", [(&old, 1), (&new, 1)]);
}

/// A delta that starts from a list that the gateway never received would yield a list that never existed. The full
/// list has to be requested.
#[test]
fn changes_to_an_unknown_endpoint_list_are_ignored() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let full = endpoint_list(2, true, &[host("s1", new.addr, "up", 1)]);
    gateway.discovery.set_reply(move |call| match call.contains("after=0 ") {
        true => HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", line_chunk(&full))),
        false => HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", line_chunk(&endpoint_list(1, false, &[])))),
    });
    gateway.discovery.close_streams();
    wait_until("the full list is applied", || gateway.counter("endpoint_list_updates_total") == 2);
    assert_served_by(&gateway, "a1", [(&old, 0), (&new, 1)]);
}

/// A new address may be wrong: until it delivers a list, the gateway needs the updates of the earlier watch, also
/// when the address changes twice.
#[test]
fn watch_stays_open_until_a_new_one_delivers_a_list() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    wait_until("the first list is applied", || gateway.counter("endpoint_list_updates_total") == 1);
    let silent: Vec<FakeHttpService> =
        (0..2).map(|_| FakeHttpService::start(|_| HttpReply::Nothing)).collect();
    for service in &silent {
        reload_with_discovery(&gateway, service);
        wait_until("the new address is called", || service.count_calls_containing("watch") == 1);
    }
    gateway.discovery.send_line(&endpoint_list(6, true, &[host("s1", new.addr, "up", 1)]));
    wait_until("the change is applied", || gateway.counter("endpoint_list_updates_total") == 2);
    assert_served_by(&gateway, "a1", [(&old, 0), (&new, 1)]);
}

/// Lists are JSON objects and may span lines; after a truncated one, the start of the next is uncertain.
#[test]
fn multi_line_list_is_read_and_a_truncated_one_closes_the_watch() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let change = endpoint_list(6, true, &[host("s1", new.addr, "up", 1)]);
    let text = format!("\n{}\n", serde_json::to_string_pretty(&change).unwrap());
    text.lines().for_each(|line| gateway.discovery.write(&chunk(&format!("{line}\r\n"))));
    wait_until("the list is applied", || gateway.counter("endpoint_list_updates_total") == 2);
    assert_served_by(&gateway, "a1", [(&old, 0), (&new, 1)]);
    gateway.discovery.write(&chunk(&format!("{}\n{change}\n", &change.to_string()[..40])));
    wait_until("the watch is restarted", || gateway.discovery.count_calls_containing("after=6 ") == 1);
}

/// The watch and the sessions share a thread: a watch whose input never ends has to yield to them.
#[test]
fn flooding_watch_does_not_delay_clients() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], use_long_timeouts);
    let (service, stop) = (gateway.discovery.clone(), Arc::new(Mutex::new(false)));
    let stopped = stop.clone();
    let empty_lines = chunk(&" \r\n".repeat(20_000));
    let flood = thread::spawn(move || {
        while !*stopped.lock().unwrap() {
            service.write(&empty_lines)
        }
    });
    assert_others_are_served(&gateway);
    *stop.lock().unwrap() = true;
    flood.join().unwrap();
    assert_eq!(gateway.counter("discovery_failures_total"), 0);
}
