//! Limits of client connections: timeouts, descriptors, floods, and the release of state.

use crate::support::{
    PROTOCOL_VIOLATION, REJECTED, assert_others_are_served, assert_served, contains, pause, read_to_end,
    wait_until_received,
};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use latchhaven_test_support::postgres::{Client, SqlState, query, query_result, select, startup};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

/// The fewest descriptors that a gateway can run with.
const MIN_DESCRIPTORS: usize = 64;
/// Client connections with [`MIN_DESCRIPTORS`]: 16 descriptors are not reserved, and half of them are for clients.
const MAX_CLIENTS: usize = 8;

/// A gateway at its limit of client connections, and these clients, each with a pending request.
fn gateway_at_connection_limit(server: &FakeServer) -> (Gateway, Vec<Client>) {
    let gateway = Gateway::start_with(&[server], |config| {
        use_long_timeouts(config);
        config["limits"]["sockets"] = json!(MIN_DESCRIPTORS);
    });
    let mut clients: Vec<Client> = (0..MAX_CLIENTS).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&query(&select(&format!("a{number}"), "look", 15_000)));
    }
    wait_until("all requests are pending", || gateway.counter("requests_total") == MAX_CLIENTS as u64);
    (gateway, clients)
}

/// A write to a client that does not read blocks once the socket buffers are full; only its own session may wait for
/// it.
#[test]
fn client_that_does_not_read_does_not_delay_others() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut not_reading = gateway.client();
    not_reading.0.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let queries = query(&select("a1", "look", 900)).repeat(2000);
    // The responses fill the socket buffers, then the gateway stops reading queries.
    while not_reading.0.write_all(&queries).is_ok() && not_reading.0.peek(&mut [0]).is_err() {}
    assert_served(&mut gateway.client(), "b1", 1900);
}

/// Without a limit, client connections would use up the descriptors that connections to endpoints need. A rejected
/// client has to receive an error, and can connect once another one has disconnected.
#[test]
fn new_client_is_rejected_at_the_connection_limit() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let (gateway, mut busy) = gateway_at_connection_limit(&server);
    let mut more = Client::connect(gateway.addr);
    more.send(&startup());
    assert_eq!(query_result(&more.read_response()), Err(SqlState::from(REJECTED)));
    // A client is accepted once another has disconnected, or has been without a request for 50 ms and is evicted.
    drop(busy.pop());
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
    let _without_request = gateway.client();
    thread::sleep(Duration::from_millis(60));
    gateway.client();
}

/// A connection that never completes a query would count against the limit without end.
#[rstest]
#[case::no_startup(b"", b"")]
#[case::half_a_startup(b"\0\0\0", b"")]
#[case::empty_query_only(b"", b"Q\0\0\0\x05\0")]
#[case::half_a_query(b"", b"Q\0\0\0\x40SELECT")]
fn connection_without_a_complete_query_times_out(#[case] before: &[u8], #[case] after: &[u8]) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut idle = gateway.client();
    assert_served(&mut idle, "a1", 900);
    let mut silent = if after.is_empty() { Client::connect(gateway.addr) } else { gateway.client() };
    silent.send(&[before, after].concat());
    let received = read_to_end(&mut silent).unwrap();
    assert!(contains(&received, PROTOCOL_VIOLATION), "{received:?}");
    // A client that is idle after a request is disconnected without an error; others are served.
    assert_eq!(idle.0.read(&mut [0]).unwrap(), 0);
    assert_served(&mut gateway.client(), "a2", 900);
    assert_eq!(gateway.counter("clients_timed_out_total"), 1);
}

/// The timeout of a message starts at its first byte. If each byte restarted it, a slow client could occupy a
/// connection without end.
#[test]
fn slowly_sent_query_does_not_extend_its_timeout() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    let slow_bytes = query(&select("a2", "look", 900)).into_iter().cycle();
    let mut writer = client.0.try_clone().unwrap();
    thread::spawn(move || {
        for byte in slow_bytes.take(5).chain(std::iter::repeat(b'x')) {
            if writer.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
    wait_until("the connection is closed", || {
        gateway.counter("protocol_errors_total") + gateway.counter("clients_timed_out_total") == 1
    });
    assert_eq!(query_result(&client.read_response()), Err(SqlState::from("08P01")));
}

/// Connections without a request must not use up the limit of client connections.
#[test]
fn silent_connections_do_not_keep_other_clients_out() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway =
        Gateway::start_with(&[&server], |config| config["limits"]["sockets"] = json!(MIN_DESCRIPTORS));
    let mut silent: Vec<Client> = (0..200).map(|_| Client::connect(gateway.addr)).collect();
    silent.iter_mut().for_each(|client| drop(client.0.write_all(b"\0\0\0")));
    // At the limit, a connection without a request for 50 ms is evicted. If all are newer, the client is rejected
    // with an error and connects again.
    let mut client = Client::connect(gateway.addr);
    wait_until("a client that sends requests is served", || {
        client.send(&[startup(), query(&select("a1", "look", 1900))].concat());
        let first = client.read_response();
        let rejected = query_result(&first) == Err(SqlState::from(REJECTED));
        if rejected {
            client = Client::connect(gateway.addr);
        } else {
            assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()), "{first:?}");
        }
        !rejected
    });
    wait_until("silent connections are evicted", || gateway.counter("clients_evicted_total") > 100);
    assert_served(&mut client, "a2", 900);
}

/// If no descriptor is free, `accept` fails for as long as a connection is queued. A gateway that exits, or retries
/// without a pause, fails the requests of all other clients.
#[test]
fn exhausted_descriptors_neither_stop_nor_block_the_gateway() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    server.set_behavior(ServerBehavior::SucceedAfter(400));
    client.send(&query(&select("a2", "look", 1900)));
    wait_until_received(&server, 2);
    let limit_descriptors = |count: &str| {
        let pid = gateway.pid().to_string();
        let status = std::process::Command::new("prlimit")
            .args(["--pid", &pid, &format!("--nofile={count}:1024")])
            .status();
        assert!(status.unwrap().success());
    };
    limit_descriptors("3");
    let mut late = Client::connect(gateway.addr);
    late.send(&[startup(), query(&select("b1", "look", 60_000))].concat());
    wait_until("accepting fails", || gateway.logged("accept failed"));
    assert_eq!(query_result(&client.read_response()), Ok("a2".to_string()));
    limit_descriptors("256");
    late.read_response();
    assert_eq!(query_result(&late.read_response()), Ok("b1".to_string()));
    assert!(gateway.is_alive());
}

/// State that remains after its endpoint, client or request would use up the memory of a long-running gateway.
#[test]
fn state_of_removed_endpoints_and_completed_requests_is_freed() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    for n in 0..300 {
        let id = format!("added{n}");
        gateway.discovery.send_line(&endpoint_list(
            6 + 2 * n,
            false,
            &[host(&id, server.addr, "up", 2 + n as u32)],
        ));
        gateway.discovery.send_line(&endpoint_list(
            7 + 2 * n,
            false,
            &[host(&id, server.addr, "removed", 2 + n as u32)],
        ));
        let mut client = gateway.client();
        client.query(&select(&format!("a{n}"), "look", 900).replace("acme", &format!("t{n}")));
    }
    wait_until("all changes are applied", || gateway.counter("endpoint_list_updates_total") >= 600);
    wait_until("all state is freed", || {
        gateway.counter("open_client_connections") == 0 && gateway.counter("pending_timers") < 5
    });
    assert_eq!((gateway.counter("open_requests"), gateway.counter("listed_endpoints")), (0, 1));
    assert!(gateway.counter("open_server_connections") <= 1);
}

/// A socket that is closed with unread bytes is reset, and the client would lose the error.
#[test]
fn rejected_client_that_keeps_sending_receives_the_error() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let (gateway, _busy) = gateway_at_connection_limit(&server);
    let mut more = Client::connect(gateway.addr);
    pause(&gateway);
    more.send(&[startup(), vec![b'Q'; 100_000]].concat());
    gateway.signal("CONT");
    assert!(contains(&read_to_end(&mut more).expect("closed without a reset"), REJECTED));
}

/// Without an error, an evicted client cannot distinguish the close from a lost request.
#[test]
fn evicted_silent_client_receives_a_retryable_error() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway =
        Gateway::start_with(&[&server], |config| config["limits"]["sockets"] = json!(MIN_DESCRIPTORS));
    let mut silent_client = gateway.client();
    let mut others: Vec<Client> = (0..MAX_CLIENTS).map(|_| Client::connect(gateway.addr)).collect();
    wait_until("a client is evicted", || {
        others.push(Client::connect(gateway.addr));
        gateway.counter("clients_evicted_total") > 0
    });
    assert!(contains(&read_to_end(&mut silent_client).expect("closed without a reset"), REJECTED));
}

/// All sessions run on one thread: a session whose input never ends has to yield to others between messages.
#[rstest]
#[case::syncs(b"S\0\0\0\x04".to_vec())]
#[case::empty_queries(query(""))]
fn flooding_client_does_not_delay_others(#[case] command: Vec<u8>) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    // The gateway always has messages to read, and no write to the client blocks.
    let flood = gateway.client();
    let (mut writer, mut reader) = (flood.0.try_clone().unwrap(), flood.0.try_clone().unwrap());
    let messages = command.repeat(100_000);
    let sending = thread::spawn(move || while std::io::Write::write_all(&mut writer, &messages).is_ok() {});
    let reading = thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        let mut total = 0;
        while let Ok(read @ 1..) = reader.read(&mut buffer) {
            total += read;
        }
        total
    });
    assert_others_are_served(&gateway);
    let _ = flood.0.shutdown(Shutdown::Both);
    sending.join().unwrap();
    assert!(reading.join().unwrap() > 0);
}
