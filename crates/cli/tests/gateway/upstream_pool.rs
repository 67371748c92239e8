//! Connections to endpoints: reuse, eviction, cancellation, and requests that are queued for a connection.

use crate::pool_support::{
    ENDPOINT, FIRST_CALL, SECOND_CALL, await_connection_ready, endpoint_at, new_pool, new_pool_with_limit,
    next_call_result, open_idle_connection, pool_with_idle_connection, queued_call, run_local,
    run_until_call_ends,
};
use crate::support::{assert_served, wait_until_connecting, wait_until_received};
use bytes::Bytes;
use latchhaven_gateway::net::upstream::{CancelResult, UpstreamCall};
use latchhaven_gateway::net::{DriverEvent, write_all};
use latchhaven_policy::{AttemptOutcome, LoadReporting};
use latchhaven_test_support::fake_server::{FakeServer, ReceivedQuery, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host, rollout_state};
use latchhaven_test_support::postgres::{Client, insert, query, query_result, row, select};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// A client whose request is queued for the first connection to a server.
fn client_with_queued_request(gateway: &Gateway, server: &FakeServer) -> Client {
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 15_000)));
    wait_until_connecting(server);
    client
}

/// A connection carries one request at a time: two of them could receive each other's response. Opening one for each
/// request would cost a handshake each.
#[test]
fn connection_is_reused_for_one_request_at_a_time() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..5 {
        assert_served(&mut client, &format!("a{n}"), 900);
    }
    assert_eq!(server.history.lock().unwrap().connections, 1);
    server.set_behavior(ServerBehavior::SucceedAfter(100));
    let mut others: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    others
        .iter_mut()
        .enumerate()
        .for_each(|(n, other)| other.send(&query(&select(&format!("b{n}"), "look", 900))));
    let outcomes: Vec<_> = others.iter_mut().map(|other| query_result(&other.read_response())).collect();
    assert_eq!(outcomes, [Ok("b0".to_string()), Ok("b1".to_string())]);
    let (first, second) = (server.queries()[5].connection, server.queries()[6].connection);
    assert_ne!(first, second);
}

/// Bytes that arrive on an idle connection would be read as the response to the next query.
#[test]
fn unsolicited_response_is_not_used_for_a_request() {
    run_local(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut events) = pool_with_idle_connection(&server).await;
        assert!(pool.send(ENDPOINT, queued_call(SECOND_CALL), 0.0));
        // The connection's task has not run yet, so these bytes arrive after the pool has assigned the call to the
        // connection.
        server.history.lock().unwrap().open[0].write_all(&row(b"not asked for")).unwrap();
        thread::sleep(Duration::from_millis(50));
        let result = next_call_result(&mut events).await;
        assert_eq!((result.outcome, result.value.is_none()), (AttemptOutcome::NotSent, true));
        assert!(server.queries().is_empty());
    });
}

/// A query that is written to a connection that the server has closed would be lost with an unknown outcome.
#[test]
fn connection_closed_by_the_server_is_not_reused() {
    run_local(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut events) = pool_with_idle_connection(&server).await;
        server.close_connections();
        wait_until("the connection is closed", || {
            server.history.lock().unwrap().closed_connections.len() == 1
        });
        assert!(pool.send(ENDPOINT, queued_call(SECOND_CALL), 0.0));
        assert_eq!(run_until_call_ends(&mut pool, &mut events).await, AttemptOutcome::Success);
    });
}

/// An evicted connection closes only when its task runs; until then the pool must not choose it.
#[test]
fn evicted_idle_connection_is_not_reused() {
    run_local(async {
        let (one, other) =
            (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
        let (mut pool, mut events) =
            open_idle_connection(new_pool_with_limit(1, LoadReporting::Disabled), &one).await;
        let (mut entry, _) = endpoint_at(one.addr);
        entry.endpoint = "s1".to_string();
        pool.update_endpoint(&entry, other.addr);
        // Before any task runs, the idle connection is evicted for the first call; the second finds none to evict.
        assert!(pool.send("s1", queued_call(FIRST_CALL), 0.0));
        assert!(!pool.send(ENDPOINT, queued_call(SECOND_CALL), 0.0));
        assert_eq!(run_until_call_ends(&mut pool, &mut events).await, AttemptOutcome::Success);
        wait_until("the evicted connection is closed", || {
            one.history.lock().unwrap().closed_connections == [0]
        });
        assert_eq!((one.queries().len(), other.queries().len()), (0, 1));
    });
}

/// The server reports its load in `ParameterStatus` messages, whatever the query is. The pool reads them only with
/// `InResponses`. With `InHealthChecks`, the event loop reads the load from the result of `SHOW load` instead.
#[rstest]
#[case::in_responses(LoadReporting::InResponses, "SELECT 1", 2)]
#[case::in_health_checks(LoadReporting::InHealthChecks, "SHOW load", 0)]
#[case::disabled(LoadReporting::Disabled, "SELECT 1", 0)]
fn health_checks_and_load_reports_follow_the_settings(
    #[case] reports: LoadReporting, #[case] expected_query: &'static str, #[case] load_values: usize,
) {
    run_local(async move {
        let server = FakeServer::start(ServerBehavior::SucceedAmongNotices);
        let (mut pool, mut events) = new_pool(reports);
        let (entry, addr) = endpoint_at(server.addr);
        pool.update_endpoint(&entry, addr);
        assert!(pool.send(ENDPOINT, queued_call(UpstreamCall::HealthCheck(1)), 0.0));
        await_connection_ready(&mut pool, &mut events).await;
        let result = next_call_result(&mut events).await;
        assert_eq!((result.outcome, result.load.0.len()), (AttemptOutcome::Success, load_values));
        assert_eq!(server.queries(), [ReceivedQuery { connection: 0, text: expected_query.to_string() }]);
    });
}

/// A request counts as possibly executed only once its last byte was written. An empty chunk must not end the write.
#[test]
fn write_interrupted_before_its_last_byte_fails() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (peer, _) = listener.accept().unwrap();
        // More than the socket buffers of a peer that does not read can store.
        let chunks = [Bytes::from(vec![b'x'; 32 << 20]), Bytes::new(), Bytes::from_static(b"end")];
        let close_peer = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(peer);
        };
        assert!(tokio::join!(write_all(&stream, &chunks), close_peer).0.is_err());
    });
}

/// A call that was reported as unwritten may be sent elsewhere; if its connection still wrote it, it would be
/// executed twice.
#[test]
fn call_cancelled_before_its_last_byte_is_never_received() {
    run_local(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut events) = pool_with_idle_connection(&server).await;
        assert!(pool.send(ENDPOINT, queued_call(SECOND_CALL), 0.0));
        assert_eq!(pool.cancel(ENDPOINT, SECOND_CALL), CancelResult::Unwritten);
        assert!(matches!(events.recv().await, Some(DriverEvent::ConnectionClosed { .. })));
        wait_until("the connection is closed", || server.history.lock().unwrap().closed_connections == [0]);
        assert!(server.queries().is_empty());
    });
}

/// A connection to an earlier address is never used. If it counted as one that is being opened, a call would stay
/// queued for it after the connection to the new address has failed.
#[test]
fn connection_to_an_earlier_address_is_not_awaited() {
    run_local(async {
        let (stuck, closed) =
            (FakeServer::start(ServerBehavior::NeverHandshake), TcpListener::bind("127.0.0.1:0").unwrap());
        let (mut pool, mut events) = new_pool(LoadReporting::Disabled);
        let (entry, old_addr) = endpoint_at(stuck.addr);
        let new_addr = closed.local_addr().unwrap();
        drop(closed);
        pool.update_endpoint(&entry, old_addr);
        assert!(pool.send(ENDPOINT, queued_call(FIRST_CALL), 0.0));
        assert_eq!(pool.update_endpoint(&entry, new_addr), [FIRST_CALL]);
        assert!(pool.send(ENDPOINT, queued_call(SECOND_CALL), 0.0));
        let Some(DriverEvent::ConnectFailed { connection }) = events.recv().await else {
            panic!("the connection is not refused")
        };
        assert_eq!(pool.on_connect_failed(&connection), Some(SECOND_CALL));
    });
}

/// The endpoint closes idle connections by itself; a request that is written at that moment is lost.
#[test]
fn idle_connection_is_closed_after_its_timeout() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| {
        config["settings"]["permissions"]["conn-idle-s"] = json!(0.3);
    });
    gateway.client().query(&select("a1", "look", 900));
    wait_until("the connection is closed", || server.history.lock().unwrap().closed_connections == [0]);
}

/// A request that stays queued for an address that is no longer listed would wait until its timeout.
#[test]
fn queued_request_is_rerouted_when_the_endpoint_list_changes() {
    let (stuck, good) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&stuck], use_long_timeouts);
    let mut client = client_with_queued_request(&gateway, &stuck);
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", good.addr, "up", 1)]));
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(gateway.counter("attempts_not_sent_total"), 1);
}

/// A queued request was routed by the shares of an earlier stage.
#[test]
fn queued_request_is_rerouted_when_the_rollout_state_changes() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = client_with_queued_request(&gateway, &stuck);
    let line = json!({"type": "ROLLOUT", "object": rollout_state(2, 0, "IN_PROGRESS", 0.1)});
    gateway.platform.send_line(&line);
    wait_until("a connection is opened for the rerouted request", || {
        stuck.history.lock().unwrap().connections == 2
    });
    stuck.set_behavior(ServerBehavior::Succeed);
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
}

/// A request that is queued for a connection to the earlier version was routed before the canary served its key; sent
/// there afterwards, its key would return to the earlier version.
#[test]
fn queued_request_goes_to_the_canary_once_that_has_served_its_key() {
    let (baseline, canary) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&baseline], |config| {
        use_long_timeouts(config);
        config["settings"]["domain"]["no-return"] = json!(true);
        config["settings"]["domain"]["caps"] = json!([1.0, 1.0]);
    });
    let mut queued = client_with_queued_request(&gateway, &baseline);
    gateway.discovery.send_line(&endpoint_list(9, false, &[host("s1", canary.addr, "up", 2)]));
    let mut number = 1;
    // All requests have the same key; those for the baseline are queued behind the first one.
    let mut others = Vec::new();
    while canary.queries().is_empty() {
        number += 1;
        let mut client = gateway.client();
        client.send(&query(&insert(&format!("a{number}"), "pay", 15_000)));
        others.push(client);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(query_result(&queued.read_response()), Ok("a1".to_string()));
    baseline.set_behavior(ServerBehavior::Succeed);
    for client in &mut others {
        assert!(query_result(&client.read_response()).is_ok());
    }
    assert_eq!((baseline.queries().len(), canary.queries().len()), (0, number));
}

/// After a suspension, the end of a handshake and the update that replaces its endpoint are both pending: the update
/// applies first.
#[test]
fn connection_to_a_replaced_endpoint_is_not_used() {
    let (stuck, good) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&stuck], use_long_timeouts);
    let mut client = client_with_queued_request(&gateway, &stuck);
    gateway.signal("STOP");
    stuck.set_behavior(ServerBehavior::Succeed);
    thread::sleep(Duration::from_millis(100));
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", good.addr, "up", 1)]));
    gateway.signal("CONT");
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    assert_eq!((stuck.queries().len(), good.queries().len()), (0, 1));
}

/// A request that is queued for a connection that is being opened must not wait for that one if another becomes idle.
#[test]
fn queued_request_uses_a_connection_that_becomes_idle() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let (mut first, mut second) = (gateway.client(), gateway.client());
    assert_served(&mut first, "a1", 15_000);
    server.set_behavior(ServerBehavior::SucceedAfter(150));
    first.send(&query(&insert("a2", "pay", 15_000)));
    wait_until_received(&server, 2);
    server.set_behavior(ServerBehavior::NeverHandshake);
    second.send(&query(&insert("a3", "pay", 15_000)));
    assert_eq!(query_result(&first.read_response()), Ok("a2".to_string()));
    assert_eq!(query_result(&second.read_response()), Ok("a3".to_string()));
}
