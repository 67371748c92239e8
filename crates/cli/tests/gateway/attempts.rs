//! Attempts: what each outcome means for the response, for retries and for the counters.

use crate::support::{
    assert_others_are_served, assert_served, wait_until_connecting, wait_until_received, wait_until_served,
};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::postgres::{Client, SqlState, insert, outcome, query, select};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

#[rstest]
#[case::success(ServerBehavior::Succeed, "attempts_succeeded_total", Ok("a1"))]
#[case::among_notices(ServerBehavior::SucceedAmongNotices, "attempts_succeeded_total", Ok("a1"))]
#[case::error_response(ServerBehavior::Fail("XX000"), "attempts_failed_total", Err("XX000"))]
#[case::queue_full(ServerBehavior::Fail("53300"), "attempts_rejected_total", Err("53300"))]
#[case::starting(ServerBehavior::FailAndClose("57P03"), "attempts_rejected_total", Err("53300"))]
#[case::lost_after_the_query(ServerBehavior::Reset, "attempts_connection_lost_total", Err("XX000"))]
#[case::lost_within_the_row(ServerBehavior::TruncateRow, "attempts_connection_lost_total", Err("XX000"))]
#[case::no_message(ServerBehavior::RespondGarbage, "attempts_failed_total", Err("XX000"))]
#[case::endless(ServerBehavior::EndlessRow, "attempts_failed_total", Err("XX000"))]
#[case::a_code_in_noise(ServerBehavior::UndecodableError, "attempts_failed_total", Err("XX000"))]
#[case::silent(ServerBehavior::NeverRespond, "attempts_timed_out_total", Err("XX000"))]
#[case::never_up(ServerBehavior::NeverHandshake, "attempts_unconnected_total", Err("53300"))]
fn attempt_outcome_decides_response_and_counter(
    #[case] behavior: ServerBehavior, #[case] counter: &str, #[case] expected: Result<&str, &str>,
) {
    let server = FakeServer::start(behavior);
    let gateway = Gateway::start(&[&server]);
    let answer = gateway.client().query(&insert("a1", "pay", 1000));
    assert_eq!(outcome(&answer), expected.map(str::to_string).map_err(SqlState::from));
    assert_eq!(answer.iter().filter(|message| message.kind == b'Z').count(), 1);
    assert!(gateway.counter(counter) >= 1, "{counter}");
    // A non-idempotent request that may have been executed is not retried.
    let executed = expected != Err("53300");
    assert!(!executed || gateway.counter("attempts_total") == 1);
    assert_eq!(gateway.counter("invariant_violations_total"), 0);
    let queries = server.queries();
    assert!(queries.iter().all(|query| query.text.starts_with("INSERT INTO items (id, doc) VALUES ('7f',")));
}

#[test]
fn refused_connection_never_executes_the_request() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut unreachable = server.clone();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    unreachable.addr = closed.local_addr().unwrap();
    drop(closed);
    let gateway = Gateway::start(&[&unreachable]);
    assert_eq!(outcome(&gateway.client().query(&insert("a1", "pay", 900))), Err(SqlState::from("53300")));
    assert!(gateway.counter("attempts_unconnected_total") >= 1);
    assert!(server.queries().is_empty());
}

#[test]
fn statement_is_forwarded_unchanged_except_its_remaining_time() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    assert_eq!(outcome(&gateway.client().query(&insert("a1", "pay", 1900))), Ok("a1".to_string()));
    let text = server.queries()[0].text.clone();
    let wait = text.split("d=").nth(1).unwrap().split(',').next().unwrap().parse::<u32>().unwrap();
    assert!((1..=1900).contains(&wait), "{wait}");
    assert_eq!(text, insert("a1", "pay", wait));
}

#[test]
fn silent_server_is_disconnected_before_the_next_attempt() {
    let (silent, other) =
        (FakeServer::start(ServerBehavior::NeverRespond), FakeServer::start(ServerBehavior::NeverRespond));
    let gateway = Gateway::start(&[&silent, &other]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1500)));
    wait_until("both servers have the query", || silent.queries().len() + other.queries().len() >= 2);
    let first = if silent.queries().is_empty() { &other } else { &silent };
    wait_until("the first connection is ended", || first.seen.lock().unwrap().ended.contains(&0));
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    // The connections of cancelled attempts are closed.
    wait_until("all are ended", || {
        [&silent, &other].iter().all(|server| {
            let seen = server.seen.lock().unwrap();
            seen.ended.len() == seen.connections
        })
    });
    assert_eq!(gateway.counter("invariant_violations_total"), 0);
}

#[test]
fn response_after_cancellation_is_discarded() {
    let (late, good) = (
        FakeServer::start(ServerBehavior::SucceedAfter(450)),
        FakeServer::start(ServerBehavior::SucceedAfter(450)),
    );
    let gateway = Gateway::start(&[&late, &good]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1900)));
    wait_until("one server has the query", || late.queries().len() + good.queries().len() == 1);
    let quick = if late.queries().is_empty() { &late } else { &good };
    quick.set_behavior(ServerBehavior::Succeed);
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    thread::sleep(Duration::from_millis(300));
    // A late row would be returned as the response to this query.
    assert_served(&mut client, "a2", 1900);
}

#[rstest]
#[case::immediately(0)]
#[case::a_moment_later(30)]
fn duplicate_response_is_not_used_for_the_next_request(#[case] pause: u64) {
    let server = FakeServer::start(ServerBehavior::RespondTwice(pause));
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..5 {
        assert_eq!(outcome(&client.query(&insert(&format!("a{n}"), "pay", 1900))), Ok(format!("a{n}")));
        wait_until("the connection is closed", || server.seen.lock().unwrap().ended.len() == n + 1);
    }
    assert_eq!((server.queries().len(), gateway.counter("attempts_succeeded_total")), (5, 5));
}

#[test]
fn large_values_pass_with_bounded_buffers() {
    let server = FakeServer::start(ServerBehavior::LargeValue(400_000));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut clients: Vec<Client> = (0..16).map(|_| gateway.client()).collect();
    for round in 0..2 {
        let send = |(n, client): (usize, &mut Client)| {
            client.send(&query(&select(&format!("a{round}x{n}"), "look", 15_000)));
        };
        clients.iter_mut().enumerate().for_each(send);
        for client in &mut clients {
            assert_eq!(outcome(&client.read_response()).unwrap().len(), 400_000);
        }
    }
    assert_eq!((gateway.counter("malformed_responses_total"), gateway.counter("attempts_total")), (0, 32));
    // A length above the limit is an error before its data is received.
    server.set_behavior(ServerBehavior::LargeValue(600_000));
    assert_eq!(outcome(&clients[0].query(&insert("b", "pay", 15_000))), Err(SqlState::from("XX000")));
}

#[test]
fn server_that_closes_idle_connections_fails_no_request() {
    let server = FakeServer::start(ServerBehavior::SucceedAndClose);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..10 {
        assert_eq!(outcome(&client.query(&insert(&format!("a{n}"), "pay", 900))), Ok(format!("a{n}")));
        wait_until("the end is noticed", || server.seen.lock().unwrap().ended.len() == n + 1);
    }
    assert_eq!(gateway.counter("attempts_connection_lost_total"), 0);
}

#[test]
fn attempt_is_cancelled_when_its_client_disconnects() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until_received(&server, 1);
    drop(client);
    wait_until("the attempt is cancelled", || server.seen.lock().unwrap().ended == [0]);
    assert_eq!(
        (gateway.counter("clients_disconnected_total"), gateway.counter("attempts_cancelled_total")),
        (1, 1)
    );
}

#[rstest]
#[case::cancelling_is_permitted(true)]
#[case::cancelling_is_not_permitted(false)]
fn request_of_a_disconnected_client_is_not_sent_once_connected(#[case] cancelling: bool) {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], |config| {
        use_long_timeouts(config);
        config["settings"]["permissions"]["cancelling"] = json!(cancelling);
    });
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until_connecting(&stuck);
    drop(client);
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
    wait_until("its attempt is cancelled", || gateway.counter("attempts_not_sent_total") == 1);
    stuck.set_behavior(ServerBehavior::Succeed);
    // The connection then serves other requests.
    wait_until_served(&gateway);
    assert!(stuck.queries().iter().all(|query| query.text.contains("id=b")));
    assert_eq!(gateway.counter("invariant_violations_total"), 0);
}

#[test]
fn retry_is_not_sent_after_its_deduplication_window() {
    let server = FakeServer::start(ServerBehavior::ResetForGood);
    let gateway = Gateway::start_with(&[&server], |config| {
        use_long_timeouts(config);
        config["settings"]["classes"][1]["dedup-window-s"] = json!(0.7);
    });
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "book", 20_000)));
    wait_until_received(&server, 1);
    let since = Instant::now();
    wait_until("its retry waits for a connection", || server.seen.lock().unwrap().connections >= 2);
    wait_until("the window is over", || since.elapsed() > Duration::from_millis(700));
    server.set_behavior(ServerBehavior::Succeed);
    // Its error does not matter: it is not sent again, and other requests are.
    let answer = outcome(&client.read_response());
    assert!(answer.is_err(), "{answer:?}");
    wait_until_served(&gateway);
    let sent = server.queries();
    assert_eq!(sent.iter().filter(|query| query.text.contains("id=a1")).count(), 1, "{sent:?}");
}

#[test]
fn flooding_server_delays_no_other_request() {
    let server = FakeServer::start(ServerBehavior::FloodParameters);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut stuck = gateway.client();
    stuck.send(&query(&select("a1", "look", 60_000)));
    wait_until_received(&server, 1);
    server.set_behavior(ServerBehavior::Succeed);
    assert_others_are_served(&gateway);
}
