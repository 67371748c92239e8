//! Requests while the discovery service does not confirm the endpoint list, which may be outdated.

use crate::support::REJECTED;
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, response};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{Client, SqlState, query_result, select};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// The discovery service assumes that each gateway has applied an update after this, even one that it cannot reach.
const MAX_UPDATE_DELAY: Duration = Duration::from_secs(6);
/// How long a draining endpoint may still be used, as configured by `drain-grace-s`.
const DRAIN_GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Time from the start of the process until it has read its configuration, at most.
const START_TOLERANCE: Duration = Duration::from_secs(1);
/// The HTTP status of an overloaded discovery service.
const OVERLOADED_STATUS: u16 = 503;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

fn overloaded() -> HttpReply {
    HttpReply::Close(response(OVERLOADED_STATUS, ""))
}

fn sleep_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

fn send_request(client: &mut Client, id: &str) -> Result<String, SqlState> {
    query_result(&client.query(&select(id, "look", 900)))
}

/// A gateway that has served a request of this client, and whose discovery service has failed since the returned time.
fn lose_discovery(server: &FakeServer) -> (Gateway, Client, Instant) {
    let gateway = Gateway::start_watching(&[server], |_| ());
    let mut client = gateway.client();
    assert_eq!(send_request(&mut client, "a0"), Ok("a0".to_string()));
    gateway.discovery.set_reply(|_| overloaded());
    gateway.discovery.close_streams();
    (gateway, client, Instant::now())
}

/// The address of a removed endpoint may be given to a process that must not receive this gateway's requests. A gateway
/// without discovery cannot learn of the removal, so its list has to expire.
#[test]
fn endpoint_restarted_since_the_last_list_is_not_used_after_the_update_delay() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (gateway, _client, lost_at) = lose_discovery(&server);
    // Another process starts at the address.
    server.close_connections();
    sleep_until(lost_at + MAX_UPDATE_DELAY + DRAIN_GRACE_PERIOD);
    let before = server.queries().len();
    assert_eq!(send_request(&mut gateway.client(), "a1"), Err(SqlState::from(REJECTED)));
    assert_eq!(server.queries().len(), before);
}

/// The list in the configuration may have been outdated before the gateway started.
#[test]
fn new_gateway_without_discovery_uses_the_configured_list_for_the_grace_period_only() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let discovery = FakeHttpService::start(|_| overloaded());
    let started_at = Instant::now();
    let gateway = Gateway::start_with(&[&server], |config| {
        config["discovery"] = json!(discovery.addr.to_string());
    });
    sleep_until(started_at + DRAIN_GRACE_PERIOD + START_TOLERANCE);
    assert_eq!(send_request(&mut gateway.client(), "a1"), Err(SqlState::from(REJECTED)));
    assert!(server.queries().is_empty());
}

/// While discovery is down, an endpoint that still responds on a connection from before is the same process and may
/// be used. A connection that was opened later may lead to another process, so its responses must not extend the use.
#[test]
fn endpoint_that_keeps_responding_is_used_until_its_process_is_replaced() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let (_gateway, mut client, lost_at) = lose_discovery(&server);
    while lost_at.elapsed() < MAX_UPDATE_DELAY + DRAIN_GRACE_PERIOD + DRAIN_GRACE_PERIOD {
        assert_eq!(send_request(&mut client, "a1"), Ok("a1".to_string()), "the endpoint is still in use");
        thread::sleep(REQUEST_INTERVAL);
    }
    // Another process at the address responds as well.
    server.close_connections();
    let replaced_at = Instant::now();
    while replaced_at.elapsed() < MAX_UPDATE_DELAY + DRAIN_GRACE_PERIOD {
        let _ = send_request(&mut client, "a2");
        thread::sleep(REQUEST_INTERVAL);
    }
    let before = server.queries().len();
    assert_eq!(send_request(&mut client, "a3"), Err(SqlState::from(REJECTED)));
    assert_eq!(server.queries().len(), before);
}
