//! Limits of clients: timeouts, descriptors, floods, and state that is freed.

use crate::support::{
    assert_others_are_served, assert_served, contains, pause, read_to_end, wait_until_received,
};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use latchhaven_test_support::postgres::{Client, SqlState, outcome, query, select, startup};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

/// A gateway whose client descriptors are all in use, and the clients, each with a pending request.
fn gateway_without_free_descriptors(server: &FakeServer) -> (Gateway, Vec<Client>) {
    let gateway = Gateway::start_with(&[server], |config| {
        use_long_timeouts(config);
        config["limits"]["sockets"] = json!(64);
    });
    // 16 descriptors are not reserved; 8 of them are for clients.
    let mut clients: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&query(&select(&format!("a{number}"), "look", 15_000)));
    }
    wait_until("all requests are open", || gateway.counter("requests_total") == 8);
    (gateway, clients)
}

#[test]
fn client_that_does_not_read_delays_no_other() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut not_reading = gateway.client();
    not_reading.0.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let many = query(&select("a1", "look", 900)).repeat(2000);
    // Its responses fill the socket buffers; then the gateway stops reading its queries.
    while not_reading.0.write_all(&many).is_ok() && not_reading.0.peek(&mut [0]).is_err() {}
    assert_served(&mut gateway.client(), "b1", 1900);
}

#[test]
fn new_clients_are_rejected_when_descriptors_are_used_up() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let (gateway, mut busy) = gateway_without_free_descriptors(&server);
    let mut more = Client::connect(gateway.addr);
    more.send(&startup());
    assert_eq!(outcome(&more.read_response()), Err(SqlState::from("53300")));
    // A client that disconnects frees a descriptor, and so does an idle one.
    drop(busy.pop());
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
    let _idle = gateway.client();
    thread::sleep(Duration::from_millis(60));
    gateway.client();
}

#[rstest]
#[case::no_startup(b"", b"")]
#[case::half_a_startup(b"\0\0\0", b"")]
#[case::empty_query_only(b"", b"Q\0\0\0\x05\0")]
#[case::half_a_query(b"", b"Q\0\0\0\x40SELECT")]
fn connection_without_a_complete_query_times_out(#[case] before: &[u8], #[case] after: &[u8]) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut usual = gateway.client();
    assert_served(&mut usual, "a1", 900);
    let mut silent = if after.is_empty() { Client::connect(gateway.addr) } else { gateway.client() };
    silent.send(&[before, after].concat());
    let mut all = Vec::new();
    silent.0.read_to_end(&mut all).unwrap();
    assert!(all.windows(5).any(|code| code == b"08P01"), "{all:?}");
    // An idle client is disconnected without an error; others are served.
    assert_eq!(usual.0.read(&mut [0]).unwrap(), 0);
    assert_served(&mut gateway.client(), "a2", 900);
    assert_eq!(gateway.counter("clients_timed_out_total"), 1);
}

#[test]
fn slowly_sent_query_does_not_extend_its_timeout() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    let drips = query(&select("a2", "look", 900)).into_iter().cycle();
    let mut slow = client.0.try_clone().unwrap();
    thread::spawn(move || {
        for byte in drips.take(5).chain(std::iter::repeat(b'x')) {
            if slow.write_all(&[byte]).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
    wait_until("the connection is closed", || {
        gateway.counter("protocol_errors_total") + gateway.counter("clients_timed_out_total") == 1
    });
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("08P01")));
}

#[test]
fn silent_connections_do_not_keep_other_clients_out() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| config["limits"]["sockets"] = json!(64));
    let mut silent: Vec<Client> = (0..200).map(|_| Client::connect(gateway.addr)).collect();
    silent.iter_mut().for_each(|client| drop(client.0.write_all(b"\0\0\0")));
    // Of 8 connections, one that has been silent for 50 ms is evicted. Where all are newer, a client is
    // rejected with an error, and connects again.
    let mut usual = Client::connect(gateway.addr);
    wait_until("a usual client is served", || {
        usual.send(&[startup(), query(&select("a1", "look", 1900))].concat());
        let first = usual.read_response();
        let rejected = outcome(&first) == Err(SqlState::from("53300"));
        if rejected {
            usual = Client::connect(gateway.addr);
        } else {
            assert_eq!(outcome(&usual.read_response()), Ok("a1".to_string()), "{first:?}");
        }
        !rejected
    });
    wait_until("the others are evicted", || gateway.counter("clients_evicted_total") > 100);
    assert_served(&mut usual, "a2", 900);
}

#[test]
fn exhausted_descriptors_neither_stop_nor_block_the_gateway() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    server.set_behavior(ServerBehavior::SucceedAfter(400));
    client.send(&query(&select("a2", "look", 1900)));
    wait_until_received(&server, 2);
    let limit = |files: &str| {
        let pid = gateway.pid().to_string();
        let done = std::process::Command::new("prlimit")
            .args(["--pid", &pid, &format!("--nofile={files}:1024")])
            .status();
        assert!(done.unwrap().success());
    };
    limit("3");
    let mut late = Client::connect(gateway.addr);
    late.send(&[startup(), query(&select("b1", "look", 60_000))].concat());
    wait_until("accepting fails", || gateway.logged("accept failed"));
    assert_eq!(outcome(&client.read_response()), Ok("a2".to_string()));
    limit("256");
    late.read_response();
    assert_eq!(outcome(&late.read_response()), Ok("b1".to_string()));
    assert!(gateway.is_alive());
}

#[test]
fn state_of_removed_endpoints_and_finished_requests_is_freed() {
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

#[test]
fn rejected_client_that_keeps_sending_receives_the_error() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let (gateway, _busy) = gateway_without_free_descriptors(&server);
    let mut more = Client::connect(gateway.addr);
    pause(&gateway);
    more.send(&[startup(), vec![b'Q'; 100_000]].concat());
    gateway.signal("CONT");
    assert!(contains(&read_to_end(&mut more).expect("closed without a reset"), "53300"));
}

#[test]
fn evicted_silent_client_receives_a_retryable_error() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| config["limits"]["sockets"] = json!(64));
    let mut quiet = gateway.client();
    let mut others: Vec<Client> = (0..8).map(|_| Client::connect(gateway.addr)).collect();
    wait_until("a client is evicted", || {
        others.push(Client::connect(gateway.addr));
        gateway.counter("clients_evicted_total") > 0
    });
    assert!(contains(&read_to_end(&mut quiet).expect("closed without a reset"), "53300"));
}

#[rstest]
#[case::syncs(b"S\0\0\0\x04".to_vec())]
#[case::empty_queries(query(""))]
fn flooding_client_delays_no_other(#[case] command: Vec<u8>) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    // The gateway always has commands to read, and all responses are read.
    let flood = gateway.client();
    let (mut sends, mut reads) = (flood.0.try_clone().unwrap(), flood.0.try_clone().unwrap());
    let many = command.repeat(100_000);
    let sending = thread::spawn(move || while std::io::Write::write_all(&mut sends, &many).is_ok() {});
    let reading = thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        let mut all = 0;
        while let Ok(read @ 1..) = reads.read(&mut buffer) {
            all += read;
        }
        all
    });
    assert_others_are_served(&gateway);
    let _ = flood.0.shutdown(Shutdown::Both);
    sending.join().unwrap();
    assert!(reading.join().unwrap() > 0);
}
