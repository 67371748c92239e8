//! When a new gateway responds to the load balancer in front, whose readiness probes are empty queries.

use crate::support::assert_served;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{Client, QueryResponse, query, query_result, select, startup};
use latchhaven_test_support::wait::wait_until;
use serde_json::json;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread;

/// The message types of the response to an empty query: `EmptyQueryResponse` and `ReadyForQuery`.
const EMPTY_QUERY_RESPONSE: &[u8] = b"IZ";

/// A gateway whose discovery service accepts calls but never replies.
fn start_without_list(server: &FakeServer) -> (Gateway, FakeHttpService) {
    let discovery = FakeHttpService::start(|_| HttpReply::Nothing);
    let gateway = Gateway::start_with(&[server], |config| {
        config["discovery"] = json!(discovery.addr.to_string());
    });
    wait_until("the list is requested", || discovery.received_calls() > 0);
    (gateway, discovery)
}

fn message_types(response: &QueryResponse) -> Vec<u8> {
    response.iter().map(|message| message.kind).collect()
}

/// A readiness probe that was sent.
struct ReadinessProbe {
    /// Set when its response was received.
    is_complete: Arc<AtomicBool>,
    response: mpsc::Receiver<QueryResponse>,
}

/// Sends a readiness probe and reads its response on another thread.
fn send_readiness_probe(gateway: &Gateway) -> ReadinessProbe {
    let mut client = gateway.client();
    client.send(&query(""));
    let is_complete = Arc::new(AtomicBool::new(false));
    let completed = is_complete.clone();
    let (response_sender, response) = mpsc::channel();
    thread::spawn(move || {
        let received = client.read_response();
        completed.store(true, SeqCst);
        let _ = response_sender.send(received);
    });
    ReadinessProbe { is_complete, response }
}

/// A new gateway has a list of unknown age. If it reported ready immediately, the load balancer would replace a
/// gateway that knows the current list by one that does not. Clients that are already connected are served meanwhile.
#[test]
fn readiness_probe_completes_once_a_list_is_confirmed_and_requests_are_served_before() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, discovery) = start_without_list(&server);
    let readiness_probe = send_readiness_probe(&gateway);
    assert_served(&mut gateway.client(), "a1", 900);
    assert!(!readiness_probe.is_complete.load(SeqCst), "completed without a confirmed list");
    // The discovery service at another address confirms the list immediately.
    let ready = FakeHttpService::start(|_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("\n"))));
    let mut config = gateway.config.clone();
    config["discovery"] = json!(ready.addr.to_string());
    gateway.reconfigure(&config.to_string());
    assert_eq!(message_types(&readiness_probe.response.recv().unwrap()), EMPTY_QUERY_RESPONSE);
    drop(discovery);
}

/// If discovery is down, no list is confirmed: new gateways would never become ready, and a restart of all would stop
/// service.
#[test]
fn readiness_probe_completes_in_bounded_time_without_a_list() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, _discovery) = start_without_list(&server);
    let readiness_probe = send_readiness_probe(&gateway);
    assert_eq!(message_types(&readiness_probe.response.recv().unwrap()), EMPTY_QUERY_RESPONSE);
}

/// A query that is pipelined behind a readiness probe would use up its timeout while the probe waits for a list.
#[test]
fn query_pipelined_behind_a_readiness_probe_completes_it() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, discovery) = start_without_list(&server);
    let mut client = Client::connect(gateway.addr);
    client.send(&[startup(), query(""), query(&select("a1", "look", 900))].concat());
    assert_eq!(client.read_response().last().unwrap().kind, b'Z');
    assert_eq!(message_types(&client.read_response()), EMPTY_QUERY_RESPONSE);
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(discovery.received_calls(), 1, "the first call is still pending");
}
