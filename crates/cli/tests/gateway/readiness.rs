//! When a new process answers health checks of the load balancer in front, which are empty queries.

use crate::support::assert_served;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{Client, QueryResponse, outcome, query, select, startup};
use latchhaven_test_support::wait::wait_until;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread;

/// A gateway whose discovery service answers no call.
fn start_without_list(server: &FakeServer) -> (Gateway, FakeHttpService) {
    let discovery = FakeHttpService::start(|_| HttpReply::Nothing);
    let gateway = Gateway::start_with(&[server], |config| {
        config["discovery"] = json!(discovery.addr.to_string());
    });
    wait_until("the list is requested", || discovery.received_calls() > 0);
    (gateway, discovery)
}

fn kinds(response: &QueryResponse) -> Vec<u8> {
    response.iter().map(|message| message.kind).collect()
}

/// Sends a health check and reads its response on another thread. Returns whether it was received, and the response.
fn probe(gateway: &Gateway) -> (Arc<AtomicBool>, mpsc::Receiver<QueryResponse>) {
    let mut client = gateway.client();
    client.send(&query(""));
    let is_answered = Arc::new(AtomicBool::new(false));
    let answered = is_answered.clone();
    let (sender, response) = mpsc::channel();
    thread::spawn(move || {
        let read = client.read_response();
        answered.store(true, SeqCst);
        let _ = sender.send(read);
    });
    (is_answered, response)
}

#[test]
fn probe_is_answered_once_a_list_is_confirmed_and_requests_are_served_before() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, discovery) = start_without_list(&server);
    let (is_answered, response) = probe(&gateway);
    assert_served(&mut gateway.client(), "a1", 900);
    assert!(!is_answered.load(SeqCst), "answered without a confirmed list");
    // Another discovery service immediately confirms the list.
    let ready = FakeHttpService::start(|_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("\n"))));
    let mut config = gateway.config.clone();
    config["discovery"] = json!(ready.addr.to_string());
    gateway.reconfigure(&config.to_string());
    assert_eq!(kinds(&response.recv().unwrap()), b"IZ");
    drop(discovery);
}

#[test]
fn probe_is_answered_in_bounded_time_without_a_list() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, _discovery) = start_without_list(&server);
    let (_, response) = probe(&gateway);
    assert_eq!(kinds(&response.recv().unwrap()), b"IZ");
}

#[test]
fn query_behind_a_probe_ends_its_wait() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, discovery) = start_without_list(&server);
    let mut client = Client::connect(gateway.addr);
    client.send(&[startup(), query(""), query(&select("a1", "look", 900))].concat());
    assert_eq!(client.read_response().last().unwrap().kind, b'Z');
    assert_eq!(kinds(&client.read_response()), b"IZ");
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(discovery.received_calls(), 1, "the first call is still pending");
}
