//! Requests with an endpoint list that the discovery service no longer confirms.

use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, response};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{Client, SqlState, outcome, select};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// The discovery service assumes that a gateway has applied an update after this time, even if it cannot be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// How long a drained endpoint may still be used, in the configuration of the tests.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// The status of an overloaded discovery service.
const OVERLOADED: u16 = 503;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The SQLSTATE of a request that was not executed.
const REJECTED: &str = "53300";

fn overloaded() -> HttpReply {
    HttpReply::Close(response(OVERLOADED, ""))
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn send_request(client: &mut Client, id: &str) -> Result<String, SqlState> {
    outcome(&client.query(&select(id, "look", 900)))
}

/// A gateway that has served a request of its client, and whose discovery service fails from now on.
fn lose_discovery(server: &FakeServer) -> (Gateway, Client, Instant) {
    let gateway = Gateway::start_watching(&[server], |_| ());
    let mut client = gateway.client();
    assert_eq!(send_request(&mut client, "a0"), Ok("a0".to_string()));
    gateway.discovery.set_reply(|_| overloaded());
    gateway.discovery.close_streams();
    (gateway, client, Instant::now())
}

#[test]
fn endpoint_restarted_since_the_last_list_is_not_used_after_the_update_delay() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, _client, lost_at) = lose_discovery(&server);
    // Another process starts at the address. The gateway cannot be notified that the endpoint was removed.
    server.close_connections();
    sleep_until(lost_at + MAX_UPDATE_DELAY + DRAIN_GRACE);
    let before = server.queries().len();
    assert_eq!(send_request(&mut gateway.client(), "a1"), Err(SqlState::from(REJECTED)));
    assert_eq!(server.queries().len(), before);
}

#[test]
fn new_process_without_a_list_uses_the_configured_one_for_the_grace_only() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let discovery = FakeHttpService::start(|_| overloaded());
    let started_at = Instant::now();
    let gateway = Gateway::start_with(&[&server], |config| {
        config["discovery"] = json!(discovery.addr.to_string());
    });
    sleep_until(started_at + DRAIN_GRACE + Duration::from_secs(1));
    assert_eq!(send_request(&mut gateway.client(), "a1"), Err(SqlState::from(REJECTED)));
    assert!(server.queries().is_empty());
}

#[test]
fn endpoint_that_keeps_answering_is_used_until_its_process_is_replaced() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (_gateway, mut client, lost_at) = lose_discovery(&server);
    while lost_at.elapsed() < MAX_UPDATE_DELAY + DRAIN_GRACE + DRAIN_GRACE {
        assert_eq!(send_request(&mut client, "a1"), Ok("a1".to_string()), "it answers as before the loss");
        thread::sleep(REQUEST_INTERVAL);
    }
    // Another process at the address answers as well, but does not prove that the endpoint is still listed.
    server.close_connections();
    let replaced_at = Instant::now();
    while replaced_at.elapsed() < MAX_UPDATE_DELAY + DRAIN_GRACE {
        let _ = send_request(&mut client, "a2");
        thread::sleep(REQUEST_INTERVAL);
    }
    let before = server.queries().len();
    assert_eq!(send_request(&mut client, "a3"), Err(SqlState::from(REJECTED)));
    assert_eq!(server.queries().len(), before);
}
