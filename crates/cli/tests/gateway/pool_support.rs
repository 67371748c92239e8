//! A pool of connections to endpoints without a gateway process, and the events of its connections.

use latchhaven_gateway::net::DriverEvent;
use latchhaven_gateway::net::list::parse as parse_list;
use latchhaven_gateway::net::upstream::{CallResult, CancelResult, QueuedCall, UpstreamCall, UpstreamPool};
use latchhaven_policy::{AttemptOutcome, EndpointEntry, LoadReporting, RequestId, UpstreamConnectionConfig};
use latchhaven_test_support::fake_server::FakeServer;
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Connections of a pool, if a test does not set another limit.
pub(crate) const MAX_CONNECTIONS: usize = 4;
/// The endpoint of a pool.
pub(crate) const ENDPOINT: &str = "s0";
pub(crate) const FIRST_CALL: UpstreamCall = UpstreamCall::Attempt { id: RequestId(1), attempt: 0 };
pub(crate) const SECOND_CALL: UpstreamCall = UpstreamCall::Attempt { id: RequestId(2), attempt: 0 };

/// The list entry and the address of a healthy endpoint.
pub(crate) fn endpoint_at(addr: SocketAddr) -> (EndpointEntry, SocketAddr) {
    parse_list(endpoint_list(1, true, &[host(ENDPOINT, addr, "up", 1)]).to_string().as_bytes())
        .unwrap()
        .entries
        .remove(0)
}

/// A pool of at most [`MAX_CONNECTIONS`], and the events of its connections.
pub(crate) fn new_pool(reports: LoadReporting) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    new_pool_with_limit(MAX_CONNECTIONS, reports)
}

/// A pool of at most `max_connections`, and the events of its connections.
pub(crate) fn new_pool_with_limit(
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
pub(crate) async fn pool_with_idle_connection(
    server: &FakeServer,
) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    open_idle_connection(new_pool(LoadReporting::Disabled), server).await
}

/// Opens a connection that is idle in the pool: its call is cancelled before the connection is ready.
pub(crate) async fn open_idle_connection(
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
pub(crate) async fn await_connection_ready(
    pool: &mut UpstreamPool, events: &mut mpsc::Receiver<DriverEvent>,
) {
    let Some(DriverEvent::ConnectionReady { connection, is_newly_opened }) = events.recv().await else {
        panic!("no connection is ready")
    };
    assert!(pool.on_connection_ready(connection, is_newly_opened, 0.0, |_| true).is_empty());
}

/// Receives the next event, which has to report that a call has ended. Returns the result of the call.
pub(crate) async fn next_call_result(events: &mut mpsc::Receiver<DriverEvent>) -> CallResult {
    let Some(DriverEvent::CallEnded { result, .. }) = events.recv().await else {
        panic!("no call has ended")
    };
    result
}

/// A call with a health check as its query, and with a timeout of 1 s.
pub(crate) fn queued_call(call: UpstreamCall) -> QueuedCall {
    QueuedCall { call, statement: None, deadline: 1000.0, write_deadline: None }
}

/// Passes events to the pool until a call has ended. Returns the outcome of the call.
pub(crate) async fn run_until_call_ends(
    pool: &mut UpstreamPool, events: &mut mpsc::Receiver<DriverEvent>,
) -> AttemptOutcome {
    loop {
        match events.recv().await.unwrap() {
            DriverEvent::ConnectionReady { connection, is_newly_opened } => {
                assert!(pool.on_connection_ready(connection, is_newly_opened, 0.0, |_| true).is_empty());
            }
            DriverEvent::ConnectionClosed { connection } => {
                if pool.on_connection_closed(&connection).is_some() {
                    return AttemptOutcome::NotSent;
                }
            }
            DriverEvent::CallEnded { connection, result } => {
                pool.on_call_ended(&connection);
                return result.outcome;
            }
            _ => panic!("no connection should fail"),
        }
    }
}

/// Runs a test of the pool on one thread, without a gateway process.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}
