//! Connections to endpoints: reuse, eviction, cancellation, and requests that wait for one.

use crate::support::{assert_served, wait_until_connecting, wait_until_received};
use bytes::Bytes;
use latchhaven_gateway::net::list::read as read_list;
use latchhaven_gateway::net::upstream::{CallResult, CancelResult, QueuedCall, UpstreamCall, UpstreamPool};
use latchhaven_gateway::net::{DriverEvent, write_all};
use latchhaven_policy::{AttemptOutcome, EndpointEntry, LoadReporting, RequestId, UpstreamConnectionConfig};
use latchhaven_test_support::fake_server::{FakeServer, ReceivedQuery, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host, rollout_state};
use latchhaven_test_support::postgres::{Client, insert, outcome, query, row, select};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// The first call that a test sends.
const FIRST: UpstreamCall = UpstreamCall::Attempt { id: RequestId(1), attempt: 0 };

/// The call that a test sends after [`FIRST`].
const SECOND: UpstreamCall = UpstreamCall::Attempt { id: RequestId(2), attempt: 0 };

/// The list entry of a healthy endpoint at this address.
fn endpoint_at(addr: SocketAddr) -> (EndpointEntry, SocketAddr) {
    read_list(endpoint_list(1, true, &[host("s0", addr, "up", 1)]).to_string().as_bytes())
        .unwrap()
        .entries
        .remove(0)
}

/// A pool of at most four connections, and the events of its drivers.
fn new_pool(reports: LoadReporting) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    new_pool_with_limit(4, reports)
}

/// A pool of at most `max_connections`, and the events of its drivers.
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

/// A pool with one idle connection to a server; its tasks run only where the test awaits.
async fn idle_pool(server: &FakeServer) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    with_idle_connection(new_pool(LoadReporting::Disabled), server).await
}

/// Opens a connection that stays idle in a pool.
async fn with_idle_connection(
    (mut pool, mut events): (UpstreamPool, mpsc::Receiver<DriverEvent>), server: &FakeServer,
) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    let (entry, addr) = endpoint_at(server.addr);
    pool.update_endpoint(&entry, addr);
    assert!(pool.send("s0", queued(FIRST), 0.0));
    assert_eq!(pool.cancel("s0", FIRST), CancelResult::Unwritten);
    on_next_connection_ready(&mut pool, &mut events).await;
    (pool, events)
}

/// Passes the next event, which has to report a ready connection, to the pool.
async fn on_next_connection_ready(pool: &mut UpstreamPool, events: &mut mpsc::Receiver<DriverEvent>) {
    let Some(DriverEvent::ConnectionReady { connection, is_newly_opened }) = events.recv().await else {
        panic!("no connection is ready")
    };
    pool.on_connection_ready(connection, is_newly_opened, 0.0);
}

/// The result of a call, which has to be in the next event.
async fn next_call_result(events: &mut mpsc::Receiver<DriverEvent>) -> CallResult {
    let Some(DriverEvent::CallEnded { result, .. }) = events.recv().await else {
        panic!("no call has ended")
    };
    result
}

/// A call without a statement and with a timeout of 1 s.
fn queued(call: UpstreamCall) -> QueuedCall {
    QueuedCall { call, statement: None, deadline: 1000.0, write_deadline: None }
}

/// Passes events to the pool until a call has ended. Returns its outcome.
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

/// Runs a test on one thread, without a gateway process.
fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A client whose request waits for the first connection to a server.
fn client_with_waiting_request(gateway: &Gateway, server: &FakeServer) -> Client {
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 15_000)));
    wait_until_connecting(server);
    client
}

#[test]
fn connection_is_reused_for_one_request_at_a_time() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..5 {
        assert_served(&mut client, &format!("a{n}"), 900);
    }
    assert_eq!(server.seen.lock().unwrap().connections, 1);
    server.set_behavior(ServerBehavior::SucceedAfter(100));
    let mut others: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    others
        .iter_mut()
        .enumerate()
        .for_each(|(n, other)| other.send(&query(&select(&format!("b{n}"), "look", 900))));
    let outcomes: Vec<_> = others.iter_mut().map(|other| outcome(&other.read_response())).collect();
    assert_eq!(outcomes, [Ok("b0".to_string()), Ok("b1".to_string())]);
    let (one, two) = (server.queries()[5].connection, server.queries()[6].connection);
    assert_ne!(one, two);
}

#[test]
fn unsolicited_response_is_not_used_for_a_request() {
    run_local(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut events) = idle_pool(&server).await;
        assert!(pool.send("s0", queued(SECOND), 0.0));
        // The connection's task has not run yet: these bytes arrive after the pool chose the connection.
        server.seen.lock().unwrap().open[0].write_all(&row(b"not asked for")).unwrap();
        thread::sleep(Duration::from_millis(50));
        let result = next_call_result(&mut events).await;
        assert_eq!((result.outcome, result.value.is_none()), (AttemptOutcome::NotSent, true));
        assert!(server.queries().is_empty());
    });
}

#[test]
fn connection_closed_by_the_server_is_not_reused() {
    run_local(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut events) = idle_pool(&server).await;
        server.close_connections();
        wait_until("the connection is closed", || server.seen.lock().unwrap().ended.len() == 1);
        assert!(pool.send("s0", queued(SECOND), 0.0));
        assert_eq!(run_until_call_ends(&mut pool, &mut events).await, AttemptOutcome::Success);
    });
}

#[test]
fn evicted_idle_connection_is_not_reused() {
    run_local(async {
        let (one, other) =
            (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
        let (mut pool, mut events) =
            with_idle_connection(new_pool_with_limit(1, LoadReporting::Disabled), &one).await;
        let (mut entry, _) = endpoint_at(one.addr);
        entry.endpoint = "s1".to_string();
        pool.update_endpoint(&entry, other.addr);
        // Before any task runs, the idle connection is evicted for the first call; the second finds none to evict.
        assert!(pool.send("s1", queued(FIRST), 0.0));
        assert!(!pool.send("s0", queued(SECOND), 0.0));
        assert_eq!(run_until_call_ends(&mut pool, &mut events).await, AttemptOutcome::Success);
        wait_until("the idle one is closed", || one.seen.lock().unwrap().ended == [0]);
        assert_eq!((one.queries().len(), other.queries().len()), (0, 1));
    });
}

#[rstest]
#[case::in_responses(LoadReporting::InResponses, "SELECT 1", 2)]
#[case::in_health_checks(LoadReporting::InHealthChecks, "SHOW load", 0)]
#[case::silent(LoadReporting::Disabled, "SELECT 1", 0)]
fn health_checks_and_load_reports_follow_the_settings(
    #[case] reports: LoadReporting, #[case] expected_query: &'static str, #[case] load_values: usize,
) {
    run_local(async move {
        let server = FakeServer::start(ServerBehavior::SucceedAmongNotices);
        let (mut pool, mut events) = new_pool(reports);
        let (entry, addr) = endpoint_at(server.addr);
        pool.update_endpoint(&entry, addr);
        assert!(pool.send("s0", queued(UpstreamCall::HealthCheck(1)), 0.0));
        on_next_connection_ready(&mut pool, &mut events).await;
        let result = next_call_result(&mut events).await;
        assert_eq!((result.outcome, result.load.0.len()), (AttemptOutcome::Success, load_values));
        assert_eq!(server.queries(), [ReceivedQuery { connection: 0, text: expected_query.to_string() }]);
    });
}

#[test]
fn write_interrupted_before_its_last_byte_fails() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (peer, _) = listener.accept().unwrap();
        // More than the capacity of the socket buffers of a peer that does not read, in chunks of which one is empty.
        let parts = [Bytes::from(vec![b'x'; 32 << 20]), Bytes::new(), Bytes::from_static(b"end")];
        let ending = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(peer);
        };
        assert!(tokio::join!(write_all(&stream, &parts), ending).0.is_err());
    });
}

#[test]
fn call_cancelled_before_its_last_byte_is_never_received() {
    run_local(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut events) = idle_pool(&server).await;
        assert!(pool.send("s0", queued(SECOND), 0.0));
        assert_eq!(pool.cancel("s0", SECOND), CancelResult::Unwritten);
        assert!(matches!(events.recv().await, Some(DriverEvent::ConnectionClosed { .. })));
        wait_until("it is closed", || server.seen.lock().unwrap().ended == [0]);
        assert!(server.queries().is_empty());
    });
}

#[test]
fn connection_to_an_earlier_address_is_not_awaited() {
    run_local(async {
        let (stuck, closed) =
            (FakeServer::start(ServerBehavior::NeverHandshake), TcpListener::bind("127.0.0.1:0").unwrap());
        let (mut pool, mut events) = new_pool(LoadReporting::Disabled);
        let (entry, old) = endpoint_at(stuck.addr);
        let new = closed.local_addr().unwrap();
        drop(closed);
        pool.update_endpoint(&entry, old);
        assert!(pool.send("s0", queued(FIRST), 0.0));
        assert_eq!(pool.update_endpoint(&entry, new), [FIRST]);
        assert!(pool.send("s0", queued(SECOND), 0.0));
        let Some(DriverEvent::ConnectFailed { connection }) = events.recv().await else {
            panic!("the connection is not refused")
        };
        assert_eq!(pool.on_connect_failed(&connection), Some(SECOND));
    });
}

#[test]
fn idle_connection_is_closed_after_its_timeout() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| {
        config["settings"]["permissions"]["conn-idle-s"] = json!(0.3);
    });
    gateway.client().query(&select("a1", "look", 900));
    wait_until("it is closed", || server.seen.lock().unwrap().ended == [0]);
}

#[test]
fn waiting_request_is_rerouted_when_the_endpoint_list_changes() {
    let (stuck, good) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&stuck], use_long_timeouts);
    let mut client = client_with_waiting_request(&gateway, &stuck);
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", good.addr, "up", 1)]));
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(gateway.counter("attempts_not_sent_total"), 1);
}

#[test]
fn waiting_request_is_rerouted_when_the_rollout_state_changes() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = client_with_waiting_request(&gateway, &stuck);
    let line = json!({"type": "ROLLOUT", "object": rollout_state(2, 0, "IN_PROGRESS", 0.1)});
    gateway.platform.send_line(&line);
    wait_until("it is sent again", || stuck.seen.lock().unwrap().connections == 2);
    stuck.set_behavior(ServerBehavior::Succeed);
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
}

#[test]
fn connection_to_a_replaced_endpoint_is_not_used() {
    let (stuck, good) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&stuck], use_long_timeouts);
    let mut client = client_with_waiting_request(&gateway, &stuck);
    gateway.signal("STOP");
    stuck.set_behavior(ServerBehavior::Succeed);
    thread::sleep(Duration::from_millis(100));
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", good.addr, "up", 1)]));
    gateway.signal("CONT");
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    assert_eq!((stuck.queries().len(), good.queries().len()), (0, 1));
}

#[test]
fn waiting_request_takes_a_connection_that_becomes_idle() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let (mut one, mut two) = (gateway.client(), gateway.client());
    assert_served(&mut one, "a1", 15_000);
    server.set_behavior(ServerBehavior::SucceedAfter(150));
    one.send(&query(&insert("a2", "pay", 15_000)));
    wait_until_received(&server, 2);
    server.set_behavior(ServerBehavior::NeverHandshake);
    two.send(&query(&insert("a3", "pay", 15_000)));
    assert_eq!(outcome(&one.read_response()), Ok("a2".to_string()));
    assert_eq!(outcome(&two.read_response()), Ok("a3".to_string()));
}
