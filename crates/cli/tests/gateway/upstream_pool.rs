//! Connections to endpoints: reuse, eviction, cancellation, and requests that are queued for a connection.

use crate::support::{assert_served, wait_until_connecting, wait_until_received};
use bytes::Bytes;
use latchhaven_gateway::net::list::parse as parse_list;
use latchhaven_gateway::net::upstream::{CallResult, CancelResult, QueuedCall, UpstreamCall, UpstreamPool};
use latchhaven_gateway::net::{DriverEvent, write_all};
use latchhaven_policy::{AttemptOutcome, EndpointEntry, LoadReporting, RequestId, UpstreamConnectionConfig};
use latchhaven_test_support::fake_server::{FakeServer, ReceivedQuery, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host, rollout_state};
use latchhaven_test_support::postgres::{Client, insert, query, query_result, row, select};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Connections of a pool, if a test does not set another limit.
const MAX_CONNECTIONS: usize = 4;
/// The endpoint of a pool.
const ENDPOINT: &str = "s0";
const FIRST_CALL: UpstreamCall = UpstreamCall::Attempt { id: RequestId(1), attempt: 0 };
const SECOND_CALL: UpstreamCall = UpstreamCall::Attempt { id: RequestId(2), attempt: 0 };

/// The list entry and the address of a healthy endpoint.
fn endpoint_at(addr: SocketAddr) -> (EndpointEntry, SocketAddr) {
    parse_list(endpoint_list(1, true, &[host(ENDPOINT, addr, "up", 1)]).to_string().as_bytes())
        .unwrap()
        .entries
        .remove(0)
}

/// A pool of at most [`MAX_CONNECTIONS`], and the events of its connections.
fn new_pool(reports: LoadReporting) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    new_pool_with_limit(MAX_CONNECTIONS, reports)
}

/// A pool of at most `max_connections`, and the events of its connections.
fn new_pool_with_limit(
    max_connections: usize, reports: LoadReporting,
) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    let (event_sender, events) = mpsc::channel(16);
    let config = UpstreamConnectionConfig {
        idle_timeout: 9000.0,
        connect_timeout: 5000.0,
        vote_timeout: 500.0,
        health_checks: true,
        load_reporting: reports,
    };
    (UpstreamPool::new(max_connections, config, event_sender), events)
}

/// A pool with one idle connection to a server. The connection's task runs only while the test awaits.
async fn pool_with_idle_connection(server: &FakeServer) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    open_idle_connection(new_pool(LoadReporting::Disabled), server).await
}

/// Opens a connection that is idle in the pool: its call is cancelled before the connection is ready.
async fn open_idle_connection(
    (mut pool, mut events): (UpstreamPool, mpsc::Receiver<DriverEvent>), server: &FakeServer,
) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    let (entry, addr) = endpoint_at(server.addr);
    pool.update_endpoint(&entry, addr);
    assert!(pool.send(ENDPOINT, queued_call(FIRST_CALL), 0.0));
    assert_eq!(pool.cancel(ENDPOINT, FIRST_CALL), CancelResult::Unwritten);
    await_connection_ready(&mut pool, &mut events).await;
    (pool, events)
}

/// Receives the next event, which has to report a ready connection, and passes it to the pool.
async fn await_connection_ready(pool: &mut UpstreamPool, events: &mut mpsc::Receiver<DriverEvent>) {
    let Some(DriverEvent::ConnectionReady { connection, is_newly_opened }) = events.recv().await else {
        panic!("no connection is ready")
    };
    pool.on_connection_ready(connection, is_newly_opened, 0.0);
}

/// Receives the next event, which has to report that a call has ended. Returns the result of the call.
async fn next_call_result(events: &mut mpsc::Receiver<DriverEvent>) -> CallResult {
    let Some(DriverEvent::CallEnded { result, .. }) = events.recv().await else {
        panic!("no call has ended")
    };
    result
}

/// A call with a health check as its query, and with a timeout of 1 s.
fn queued_call(call: UpstreamCall) -> QueuedCall {
    QueuedCall { call, statement: None, deadline: 1000.0, write_deadline: None }
}

/// Passes events to the pool until a call has ended. Returns the outcome of the call.
async fn run_until_call_ends(
    pool: &mut UpstreamPool, events: &mut mpsc::Receiver<DriverEvent>,
) -> AttemptOutcome {
    loop {
        match events.recv().await.unwrap() {
            DriverEvent::ConnectionReady { connection, is_newly_opened } => {
                pool.on_connection_ready(connection, is_newly_opened, 0.0);
            }
            DriverEvent::ConnectionClosed { connection } => pool.on_connection_closed(&connection),
            DriverEvent::CallEnded { result, .. } => return result.outcome,
            _ => panic!("no connection should fail"),
        }
    }
}

/// Runs a test of the pool on one thread, without a gateway process.
fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

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
