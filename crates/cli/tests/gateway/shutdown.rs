//! Shutdown and restart: which requests are answered, and which are rejected.

use crate::support::{assert_served, contains, pause, read_to_end, wait_until_received};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, spawn_gateway, use_long_timeouts};
use latchhaven_test_support::postgres::{Client, SqlState, insert, outcome, query, select, startup};
use latchhaven_test_support::process::wait_for_address;
use latchhaven_test_support::wait::{MAX_WAIT, wait_until};
use serde_json::json;
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn accepted_requests_are_answered_before_shutdown() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(300));
    let mut gateway = Gateway::start(&[&server]);
    let (mut busy, mut idle) = (gateway.client(), gateway.client());
    assert_served(&mut idle, "a0", 1900);
    busy.send(&query(&select("a1", "look", 1900)));
    wait_until_received(&server, 2);
    gateway.signal("TERM");
    assert_eq!(idle.0.read(&mut [0]).unwrap(), 0);
    // New connections are still accepted.
    let mut late = gateway.client();
    assert_served(&mut late, "b1", 1900);
    assert_eq!(outcome(&busy.read_response()), Ok("a1".to_string()));
    assert_eq!(busy.0.read(&mut [0]).unwrap(), 0);
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(gateway.logged(" requests_succeeded_total=3 "));
}

#[test]
fn restart_after_a_kill_listens_at_the_same_address() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut first = Gateway::start(&[&server]);
    let addr = first.addr;
    let mut client = first.client();
    client.query(&select("a1", "look", 900));
    first.signal("KILL");
    first.wait_for_exit();
    let second = Gateway::start_with(&[&server], |config| config["listen"] = json!(addr.to_string()));
    assert_served(&mut second.client(), "a2", 900);
}

#[test]
fn new_connection_is_answered_during_shutdown() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    // It has completed its startup, and sends no query before the signal.
    let mut new = gateway.client();
    gateway.signal("TERM");
    wait_until("shutdown has begun", || gateway.logged("shutdown started"));
    new.send(&query(&select("a1", "look", 1900)));
    assert_eq!(outcome(&new.read_response()), Ok("a1".to_string()));
    assert_eq!(read_to_end(&mut new).expect("closed without a reset"), b"");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn silent_connection_receives_a_retryable_error_at_shutdown() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let (mut greeted, mut silent) = (gateway.client(), Client::connect(gateway.addr));
    gateway.signal("TERM");
    for client in [&mut greeted, &mut silent] {
        assert!(contains(&read_to_end(client).expect("closed without a reset"), "53300"));
    }
    drop((greeted, silent));
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn pipelined_requests_are_answered_in_order_before_shutdown() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a0", "look", 1900));
    server.set_behavior(ServerBehavior::SucceedAfter(300));
    let texts: Vec<Vec<u8>> = (1..4).map(|n| query(&select(&format!("a{n}"), "look", 1900))).collect();
    let all = texts.concat();
    let (first_part, rest) = all.split_at(all.len() - 10);
    client.send(first_part);
    wait_until("the first attempt is sent", || server.queries().len() == 2);
    gateway.signal("TERM");
    wait_until("shutdown has begun", || gateway.logged("shutdown started"));
    // Half of the last query has arrived; the rest is sent once the two before it are answered.
    for n in 1..3 {
        assert_eq!(outcome(&client.read_response()), Ok(format!("a{n}")));
    }
    client.send(rest);
    assert_eq!(outcome(&client.read_response()), Ok("a3".to_string()));
    assert_eq!(read_to_end(&mut client).expect("closed without a reset"), b"");
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn endless_pipeline_delays_no_shutdown_and_its_responses_are_complete() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let mut sends = client.0.try_clone().unwrap();
    let sending = thread::spawn(move || {
        for n in 0.. {
            if std::io::Write::write_all(&mut sends, &query(&select(&format!("a{n}"), "look", 1900))).is_err()
            {
                return;
            }
        }
    });
    assert_eq!(outcome(&client.read_response()), Ok("a0".to_string()));
    gateway.signal("TERM");
    let (mut answered, since) = (0, Instant::now());
    // Each response is complete and in order; after the last one there is nothing.
    loop {
        let answer = client.read_response();
        if answer.is_empty() {
            break;
        }
        answered += 1;
        assert!(since.elapsed() < MAX_WAIT, "the pipeline never ends");
        assert!(answer.last().is_some_and(|message| message.kind == b'Z'), "{answer:?}");
        assert!(outcome(&answer).is_ok_and(|id| id == format!("a{answered}")) || outcome(&answer).is_err());
    }
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
    sending.join().unwrap();
}

#[test]
fn connections_in_the_accept_queue_are_answered_at_shutdown() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    gateway.signal("TERM");
    wait_until("shutdown has begun", || gateway.logged("shutdown started"));
    // The process is paused until its accept time is over: these are in the accept queue at the final accept.
    pause(&gateway);
    let mut late: Vec<Client> = (0..3).map(|_| Client::connect(gateway.addr)).collect();
    for (n, client) in late.iter_mut().enumerate() {
        client.send(&[startup(), query(&select(&format!("a{n}"), "look", 1900))].concat());
    }
    thread::sleep(Duration::from_millis(600));
    gateway.signal("CONT");
    // Requests that are read later than 0.6 s after the signal are rejected.
    for client in &mut late {
        client.read_response();
        assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    }
    drop(late);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn request_behind_an_open_one_is_answered_before_the_shutdown_limit() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let mut gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let (mut client, mut alone) = (gateway.client(), gateway.client());
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until_received(&server, 1);
    gateway.signal("TERM");
    wait_until("shutdown has begun", || gateway.logged("shutdown started"));
    let since = Instant::now();
    wait_until("the window for requests has ended", || since.elapsed() > Duration::from_millis(650));
    client.send(&query(&select("a2", "look", 60_000)));
    // The first may have been executed, and is abandoned so that the second gets its response; the second was
    // never sent.
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("XX000")));
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    assert_eq!(read_to_end(&mut client).expect("closed without a reset"), b"");
    assert!(contains(&read_to_end(&mut alone).unwrap(), "53300"));
    assert_eq!((gateway.wait_for_exit(), server.queries().len()), (Some(0), 1));
}

#[test]
fn client_that_does_not_read_delays_no_shutdown() {
    let server = FakeServer::start(ServerBehavior::LargeValue(400_000));
    let mut gateway = Gateway::start(&[&server]);
    let mut not_reading = gateway.client();
    not_reading.send(&query(&select("a1", "look", 1900)).repeat(40));
    wait_until("no more queries are accepted", || {
        let before = server.queries().len();
        thread::sleep(Duration::from_millis(300));
        before > 0 && server.queries().len() == before
    });
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn start_waits_for_an_address_still_in_use() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut first = Gateway::start(&[&server]);
    let mut config = first.config.clone();
    config["listen"] = json!(first.addr.to_string());
    let second = spawn_gateway(&config.to_string());
    let (mut second, log) = (second.child, second.log);
    // The process has started, and the address is still in use.
    let started = format!("/proc/{}/net/tcp", second.id());
    wait_until("the process has started", || std::path::Path::new(&started).exists());
    thread::sleep(Duration::from_millis(100));
    assert!(second.try_wait().unwrap().is_none(), "{:?}", log.lock().unwrap());
    first.signal("KILL");
    first.wait_for_exit();
    let mut client = Client::connect(wait_for_address(&log));
    client.send(&startup());
    client.read_response();
    assert_served(&mut client, "a1", 1900);
    second.kill().unwrap();
    second.wait().unwrap();
}
