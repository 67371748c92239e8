//! Attempts: what their outcomes mean for the response to the client, for retries and for counters.

use crate::support::{
    FAILED, REJECTED, assert_others_are_served, assert_served, wait_until_connecting, wait_until_received,
    wait_until_served,
};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::postgres::{Client, SqlState, insert, query, query_result, select};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The configured deduplication window of one test.
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(700);

/// A request that may have been executed must fail with an error that says so, and must not be retried unless it is
/// idempotent. A request that was certainly not executed is rejected, so that its client can retry it.
#[rstest]
#[case::success(ServerBehavior::Succeed, "attempts_succeeded_total", Ok("a1"))]
#[case::success_among_notices(ServerBehavior::SucceedAmongNotices, "attempts_succeeded_total", Ok("a1"))]
#[case::error_response(ServerBehavior::Fail(FAILED), "attempts_failed_total", Err(FAILED))]
#[case::queue_full(ServerBehavior::Fail(REJECTED), "attempts_rejected_total", Err(REJECTED))]
#[case::server_starting(ServerBehavior::FailAndClose("57P03"), "attempts_rejected_total", Err(REJECTED))]
#[case::lost_after_the_query(ServerBehavior::Reset, "attempts_connection_lost_total", Err(FAILED))]
#[case::lost_within_the_row(ServerBehavior::TruncateRow, "attempts_connection_lost_total", Err(FAILED))]
#[case::garbage(ServerBehavior::RespondGarbage, "attempts_failed_total", Err(FAILED))]
#[case::endless_row(ServerBehavior::EndlessRow, "attempts_failed_total", Err(FAILED))]
#[case::undecodable_error(ServerBehavior::UndecodableError, "attempts_failed_total", Err(FAILED))]
#[case::no_response(ServerBehavior::NeverRespond, "attempts_timed_out_total", Err(FAILED))]
#[case::no_handshake(ServerBehavior::NeverHandshake, "attempts_unconnected_total", Err(REJECTED))]
fn attempt_outcome_decides_response_and_counter(
    #[case] behavior: ServerBehavior, #[case] counter: &str, #[case] expected: Result<&str, &str>,
) {
    let server = FakeServer::start(behavior);
    let gateway = Gateway::start(&[&server]);
    let response = gateway.client().query(&insert("a1", "pay", 1000));
    assert_eq!(query_result(&response), expected.map(str::to_string).map_err(SqlState::from));
    assert_eq!(response.iter().filter(|message| message.kind == b'Z').count(), 1);
    assert!(gateway.counter(counter) >= 1, "{counter}");
    // A non-idempotent request that may have been executed is not retried.
    let may_be_executed = expected != Err(REJECTED);
    assert!(!may_be_executed || gateway.counter("attempts_total") == 1);
    assert_eq!(gateway.counter("invariant_violations_total"), 0);
    let queries = server.queries();
    assert!(queries.iter().all(|query| query.text.starts_with("INSERT INTO items (id, doc) VALUES ('7f',")));
}

/// After a refused connection the request was certainly not executed, so its client must be allowed to retry it.
#[test]
fn refused_connection_never_executes_the_request() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut unreachable = server.clone();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    unreachable.addr = closed.local_addr().unwrap();
    drop(closed);
    let gateway = Gateway::start(&[&unreachable]);
    assert_eq!(
        query_result(&gateway.client().query(&insert("a1", "pay", 900))),
        Err(SqlState::from(REJECTED))
    );
    assert!(gateway.counter("attempts_unconnected_total") >= 1);
    assert!(server.queries().is_empty());
}

/// The server has to stop at the client's deadline, so it receives the time that is left of the timeout.
#[test]
fn statement_is_forwarded_unchanged_except_for_its_remaining_time() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    assert_eq!(query_result(&gateway.client().query(&insert("a1", "pay", 1900))), Ok("a1".to_string()));
    let text = server.queries()[0].text.clone();
    let remaining_ms = text.split("d=").nth(1).unwrap().split(',').next().unwrap().parse::<u32>().unwrap();
    assert!((1..=1900).contains(&remaining_ms), "{remaining_ms}");
    assert_eq!(text, insert("a1", "pay", remaining_ms));
}

/// The connection of a timed-out or cancelled attempt is closed: the server can stop its work, and a late response is
/// not read as the response to another query.
#[test]
fn silent_server_is_disconnected_before_the_next_attempt() {
    let (silent, other) =
        (FakeServer::start(ServerBehavior::NeverRespond), FakeServer::start(ServerBehavior::NeverRespond));
    let gateway = Gateway::start(&[&silent, &other]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1500)));
    wait_until("both servers have the query", || silent.queries().len() + other.queries().len() >= 2);
    let first = if silent.queries().is_empty() { &other } else { &silent };
    wait_until("the first connection is closed", || {
        first.history.lock().unwrap().closed_connections.contains(&0)
    });
    assert_eq!(query_result(&client.read_response()), Err(SqlState::from(REJECTED)));
    wait_until("all connections are closed", || {
        [&silent, &other].iter().all(|server| {
            let history = server.history.lock().unwrap();
            history.closed_connections.len() == history.connections
        })
    });
    assert_eq!(gateway.counter("invariant_violations_total"), 0);
}

/// If the connection of a cancelled attempt were reused, the late row would be returned for the next request.
#[test]
fn response_after_cancellation_is_discarded() {
    let (first, second) = (
        FakeServer::start(ServerBehavior::SucceedAfter(450)),
        FakeServer::start(ServerBehavior::SucceedAfter(450)),
    );
    let gateway = Gateway::start(&[&first, &second]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1900)));
    wait_until("one server has the query", || first.queries().len() + second.queries().len() == 1);
    let unused = if first.queries().is_empty() { &first } else { &second };
    unused.set_behavior(ServerBehavior::Succeed);
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    // The late row arrives meanwhile.
    thread::sleep(Duration::from_millis(300));
    assert_served(&mut client, "a2", 1900);
}

/// A row that arrives after the response is complete must not become the response to the next query on the connection.
#[rstest]
#[case::immediately(0)]
#[case::a_moment_later(30)]
fn duplicate_response_is_not_used_for_the_next_request(#[case] delay_ms: u64) {
    let server = FakeServer::start(ServerBehavior::RespondTwice(delay_ms));
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..5 {
        assert_eq!(query_result(&client.query(&insert(&format!("a{n}"), "pay", 1900))), Ok(format!("a{n}")));
        wait_until("the connection is closed", || {
            server.history.lock().unwrap().closed_connections.len() == n + 1
        });
    }
    assert_eq!((server.queries().len(), gateway.counter("attempts_succeeded_total")), (5, 5));
}

/// Each large response needs one of 12 permits, which bounds memory. If a permit were not released after its response
/// was written, later responses would wait for it without end.
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
            assert_eq!(query_result(&client.read_response()).unwrap().len(), 400_000);
        }
    }
    assert_eq!((gateway.counter("malformed_responses_total"), gateway.counter("attempts_total")), (0, 32));
    // A length above the limit is rejected before the data is received.
    server.set_behavior(ServerBehavior::LargeValue(600_000));
    assert_eq!(query_result(&clients[0].query(&insert("b", "pay", 15_000))), Err(SqlState::from("XX000")));
}

/// A request that is written to a connection that the server has closed would be lost with an unknown outcome.
#[test]
fn server_that_closes_idle_connections_fails_no_request() {
    let server = FakeServer::start(ServerBehavior::SucceedAndClose);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..10 {
        assert_eq!(query_result(&client.query(&insert(&format!("a{n}"), "pay", 900))), Ok(format!("a{n}")));
        wait_until("the connection is closed", || {
            server.history.lock().unwrap().closed_connections.len() == n + 1
        });
    }
    assert_eq!(gateway.counter("attempts_connection_lost_total"), 0);
}

/// The server would otherwise work on a request whose client no longer waits.
#[test]
fn attempt_is_cancelled_when_its_client_disconnects() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until_received(&server, 1);
    drop(client);
    wait_until("the attempt is cancelled", || server.history.lock().unwrap().closed_connections == [0]);
    assert_eq!(
        (gateway.counter("clients_disconnected_total"), gateway.counter("attempts_cancelled_total")),
        (1, 1)
    );
}

/// The request waits for a connection when its client disconnects: it must not be sent later, whether or not attempts
/// that were sent may be cancelled.
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
    wait_until("the attempt is cancelled", || gateway.counter("attempts_not_sent_total") == 1);
    stuck.set_behavior(ServerBehavior::Succeed);
    // The connection is used for other requests.
    wait_until_served(&gateway);
    assert!(stuck.queries().iter().all(|query| query.text.contains("id=b")));
    assert_eq!(gateway.counter("invariant_violations_total"), 0);
}

/// The server recognises a retry only within its deduplication window; later it would execute the request a second
/// time. The retry is allowed in time here but waits for a connection beyond the window.
#[test]
fn retry_is_not_sent_after_its_deduplication_window() {
    let server = FakeServer::start(ServerBehavior::ResetThenNeverHandshake);
    let gateway = Gateway::start_with(&[&server], |config| {
        use_long_timeouts(config);
        config["settings"]["classes"][1]["dedup-window-s"] = json!(DEDUPLICATION_WINDOW.as_secs_f64());
    });
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "book", 20_000)));
    wait_until_received(&server, 1);
    let sent_at = Instant::now();
    wait_until("the retry waits for a connection", || server.history.lock().unwrap().connections >= 2);
    wait_until("the window is over", || sent_at.elapsed() > DEDUPLICATION_WINDOW);
    server.set_behavior(ServerBehavior::Succeed);
    // Any error is valid, as long as the request is not sent again and other requests are.
    let outcome = query_result(&client.read_response());
    assert!(outcome.is_err(), "{outcome:?}");
    wait_until_served(&gateway);
    let sent = server.queries();
    assert_eq!(sent.iter().filter(|query| query.text.contains("id=a1")).count(), 1, "{sent:?}");
}

/// All connections are read on one thread: one whose input never ends has to yield to others.
#[test]
fn flooding_server_does_not_delay_other_requests() {
    let server = FakeServer::start(ServerBehavior::FloodParameters);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut stuck = gateway.client();
    stuck.send(&query(&select("a1", "look", 60_000)));
    wait_until_received(&server, 1);
    server.set_behavior(ServerBehavior::Succeed);
    assert_others_are_served(&gateway);
}
