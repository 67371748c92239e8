//! Requests and responses that need much memory: peers that stop within one and stay do not delay the others.

use crate::support::REJECTED;
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::postgres::{
    Client, SqlState, insert, insert_large, message, query, query_result, select,
};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::thread;
use std::time::Duration;

/// Clients that stop within a large request, with each limit of memory more than may read one at the same time.
const STOPPED_CLIENTS: usize = 80;
/// The value of a client that stops: as long as the protocol allows.
const STOPPED_VALUE_BYTES: usize = 65_536;
/// What a client that stops has sent of its request.
const STOPPED_AFTER_BYTES: usize = 20_000;
/// The value of other clients; a request with it is longer than what is read ahead.
const VALUE_BYTES: usize = 10_000;
/// Interval at which a slow client sends one byte more.
const SLOW_CLIENT_INTERVAL: Duration = Duration::from_millis(20);
/// Clients that wait for the response to a request of maximum length at the same time, and the memory limit of their gateway.
const PENDING_CLIENTS: usize = 245;
const PENDING_MEMORY_MB: u32 = 32;
/// Responses of which only a part is sent: as many as may be buffered at the same time.
const STOPPED_RESPONSES: usize = 12;

fn gateway_with_memory(server: &FakeServer, memory_mb: u32) -> Gateway {
    Gateway::start_with(&[server], |config| {
        use_long_timeouts(config);
        config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024});
    })
}

/// Clients that have sent the first part of a large request.
fn stopped_clients(gateway: &Gateway) -> Vec<Client> {
    let request = query(&insert_large("stopped", "book", 600, STOPPED_VALUE_BYTES));
    let mut clients: Vec<Client> = (0..STOPPED_CLIENTS).map(|_| gateway.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&request[..STOPPED_AFTER_BYTES]));
    clients
}

/// Guards against large requests that wait until the clients that stopped in theirs have timed out.
#[test]
fn clients_that_stop_in_a_large_request_do_not_hold_back_others() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = gateway_with_memory(&server, 192);
    let _stopped = stopped_clients(&gateway);
    let mut client = gateway.client();
    let response = client.query(&insert_large("a1", "book", 15_000, VALUE_BYTES));
    assert_eq!(query_result(&response), Ok("a1".to_string()));
    assert_eq!(gateway.counter("clients_timed_out_total"), 0);
}

/// With little memory, clients that stop, or that send one byte after the other, lose theirs to those that wait.
#[rstest]
#[case::stopping(false)]
#[case::sending_slowly(true)]
fn slow_clients_lose_their_memory_to_waiting_ones(#[case] sends_slowly: bool) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = gateway_with_memory(&server, 1);
    let mut slow = stopped_clients(&gateway);
    if sends_slowly {
        thread::spawn(move || {
            while slow.iter_mut().any(|client| client.0.write_all(b"5").is_ok()) {
                thread::sleep(SLOW_CLIENT_INTERVAL);
            }
        });
    }
    let mut served = Err(SqlState::from(REJECTED));
    while served == Err(SqlState::from(REJECTED)) {
        served = query_result(&gateway.client().query(&insert_large("a1", "book", 15_000, VALUE_BYTES)));
    }
    assert_eq!(served, Ok("a1".to_string()));
    assert!(gateway.counter("large_messages_preempted_total") > 0);
}

/// Guards against memory that is not released: all clients of a burst are served, one round after the other.
#[test]
fn burst_of_large_requests_is_served_with_little_memory() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = gateway_with_memory(&server, 1);
    let mut clients: Vec<Client> = (0..STOPPED_CLIENTS).map(|_| gateway.client()).collect();
    for round in 0..2 {
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("a{round}x{number}");
            client.send(&query(&insert_large(&id, "book", 15_000, VALUE_BYTES)));
        }
        for (number, client) in clients.iter_mut().enumerate() {
            assert_eq!(query_result(&client.read_response()), Ok(format!("a{round}x{number}")));
        }
    }
}

/// Guards against pending requests that together exceed the memory limit, for which the gateway would be killed.
#[test]
fn many_pending_large_requests_stay_within_the_memory_limit() {
    let server = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = gateway_with_memory(&server, PENDING_MEMORY_MB);
    let mut clients = Vec::new();
    for number in 0..PENDING_CLIENTS {
        let mut client = gateway.client();
        client.send(&query(&insert_large(&format!("a{number}"), "book", 15_000, STOPPED_VALUE_BYTES)));
        clients.push(client);
    }
    wait_until("all requests are pending", || gateway.counter("requests_total") as usize == PENDING_CLIENTS);
    let memory = gateway.memory_bytes();
    assert!(memory < (PENDING_MEMORY_MB as usize) << 20, "{memory} bytes");
    server.set_behavior(ServerBehavior::Succeed);
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(query_result(&client.read_response()), Ok(format!("a{number}")));
    }
    // Endpoints get each value as its client has sent it.
    let digits = "5a".repeat(STOPPED_VALUE_BYTES);
    assert!(server.queries().iter().all(|query| query.text.contains(&digits)));
}

/// Guards against large messages that are no requests and retain their memory until their connection closes.
#[test]
fn large_messages_that_are_no_queries_retain_no_memory() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = gateway_with_memory(&server, 1);
    let parse = [message(b'P', &vec![b'x'; 2 * STOPPED_VALUE_BYTES]), message(b'S', b"")].concat();
    let mut clients = Vec::new();
    for _ in 0..STOPPED_CLIENTS {
        let mut client = gateway.client();
        client.send(&parse);
        assert!(query_result(&client.read_response()).is_err());
        clients.push(client);
    }
    assert_eq!(gateway.counter("large_messages_delayed_total"), 0);
}

/// Guards against connections that retain the memory of a large request after its response.
#[test]
fn idle_connections_keep_no_memory_of_large_requests() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = gateway_with_memory(&server, PENDING_MEMORY_MB);
    let mut clients = Vec::new();
    for number in 0..PENDING_CLIENTS {
        let mut client = gateway.client();
        let request = insert_large(&format!("a{number}"), "book", 15_000, STOPPED_VALUE_BYTES);
        assert_eq!(query_result(&client.query(&request)), Ok(format!("a{number}")));
        clients.push(client);
    }
    let memory = gateway.memory_bytes();
    assert!(memory < (PENDING_MEMORY_MB as usize) << 19, "{memory} bytes");
}

/// Guards against responses with the longest valid value that wait for endpoints which stopped in longer ones.
#[test]
fn endpoints_that_stop_in_a_large_response_do_not_hold_back_others() {
    let servers: Vec<FakeServer> =
        (0..STOPPED_RESPONSES).map(|_| FakeServer::start(ServerBehavior::StopWithinRow)).collect();
    let gateway = Gateway::start_with(&servers.iter().collect::<Vec<_>>(), use_long_timeouts);
    let mut stopped: Vec<Client> = (0..STOPPED_RESPONSES).map(|_| gateway.client()).collect();
    for (number, client) in stopped.iter_mut().enumerate() {
        client.send(&query(&insert(&format!("s{number}"), "pay", 60_000)));
    }
    let received = || servers.iter().map(|server| server.queries().len()).sum::<usize>();
    wait_until("the responses have begun", || received() == STOPPED_RESPONSES);
    servers
        .iter()
        .for_each(|server| server.set_behavior(ServerBehavior::PausedLargeValue(STOPPED_VALUE_BYTES)));
    let response = gateway.client().query(&select("a1", "look", 15_000));
    assert_eq!(query_result(&response).map(|value| value.len()), Ok(STOPPED_VALUE_BYTES));
}
