//! Client sessions: startup, pipelining, malformed input, deadlines and disconnects.

use crate::support::{
    INVALID_QUERY, PROTOCOL_VIOLATION, REJECTED, assert_served, contains, pause, read_to_end,
    wait_until_connecting, wait_until_received, wait_until_served,
};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::postgres::{
    Client, QueryResponse, SqlState, TypedMessage, insert, message, query, query_result, select, startup,
};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::json;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;

/// The SQLSTATE of a query with the id of a pending request.
const DUPLICATE_ID: &str = "42710";
/// The SQLSTATE of messages of the extended query protocol.
const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// The start of the body of an error after which the connection is closed.
const FATAL_SEVERITY: &[u8] = b"SFATAL\0";
/// Invalid queries after which the gateway closes a connection.
const MAX_INVALID_QUERIES: usize = 8;

/// Messages may arrive in one read or byte by byte, and a startup message may follow requests for encryption.
#[rstest]
#[case::in_one_write(1)]
#[case::byte_by_byte(usize::MAX)]
fn startup_and_pipelined_queries_receive_their_responses_in_order(#[case] parts: usize) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = Client::connect(gateway.addr);
    let ssl_request = [&8u32.to_be_bytes()[..], &80_877_103u32.to_be_bytes()].concat();
    let gss_request = [&8u32.to_be_bytes()[..], &80_877_104u32.to_be_bytes()].concat();
    client.send(&[ssl_request, gss_request].concat());
    let mut encryption_replies = [0; 2];
    client.0.read_exact(&mut encryption_replies).unwrap();
    assert_eq!(&encryption_replies, b"NN");
    let all = [startup(), query(&select("a1", "look", 1900)), query(" "), query(&insert("a2", "book", 1900))]
        .concat();
    all.chunks(all.len().div_ceil(parts)).for_each(|part| client.send(part));
    client.read_response();
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(
        client.read_response(),
        [TypedMessage { kind: b'I', body: vec![] }, TypedMessage { kind: b'Z', body: b"I".to_vec() }]
    );
    assert_eq!(query_result(&client.read_response()), Ok("a2".to_string()));
}

/// Only known statements with complete parameters may reach a server.
#[rstest]
#[case::no_comment("SELECT 1")]
#[case::no_time("SELECT doc FROM items WHERE id = 'a' /* id=a,c=look */")]
#[case::bad_time("SELECT doc FROM items WHERE id = 'a' /* id=a,c=look,d=-5 */")]
#[case::other_statement("DROP TABLE items /* id=a,c=look,d=50 */")]
#[case::unknown_class("SELECT doc FROM items WHERE id = 'a' /* id=a,c=none,d=500 */")]
#[case::no_key("SELECT doc FROM items WHERE id = 'a' /* id=a,c=book,d=500 */")]
#[case::two_statements("SELECT doc FROM items WHERE id = 'a'; DROP TABLE items /* id=a,c=look,d=50 */")]
fn malformed_query_fails_and_the_next_one_is_served(#[case] text: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let response = client.query(text);
    assert_eq!(query_result(&response), Err(SqlState::from(INVALID_QUERY)));
    assert_eq!(response.last(), Some(&TypedMessage { kind: b'Z', body: b"I".to_vec() }));
    assert_served(&mut client, "a2", 900);
    assert_eq!(server.queries().len(), 1);
}

/// After a malformed message the start of the next one is unknown, so the connection cannot be used any longer.
#[rstest]
#[case::too_long(b"Q\x7f\xff\xff\xff".to_vec())]
#[case::too_short(b"Q\0\0\0\x01".to_vec())]
#[case::unknown_type(b"\x01\0\0\0\x04".to_vec())]
#[case::no_terminator(message(b'Q', b"SELECT 1"))]
fn malformed_message_closes_only_its_own_connection(#[case] bytes: Vec<u8>) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let (mut malformed, mut other) = (gateway.client(), gateway.client());
    let response = malformed.query("");
    assert_eq!(response[0].kind, b'I');
    malformed.send(&bytes);
    let response = malformed.read_response();
    assert_eq!(query_result(&response), Err(SqlState::from(PROTOCOL_VIOLATION)));
    assert!(response[0].body.starts_with(FATAL_SEVERITY));
    assert_eq!(malformed.0.read(&mut [0]).unwrap(), 0);
    assert_served(&mut other, "a2", 900);
}

/// The gateway implements simple queries only. Messages of an extended query get one error for all of them, and the
/// connection remains usable.
#[test]
fn extended_query_is_rejected_and_terminate_closes() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(
        &[message(b'P', b"\0SELECT 1\0\0\0"), message(b'B', b"\0\0\0\0\0\0\0\0"), message(b'S', b"")]
            .concat(),
    );
    let response = client.read_response();
    assert_eq!(query_result(&response), Err(SqlState::from(FEATURE_NOT_SUPPORTED)));
    assert_eq!(response.len(), 2);
    client.send(&message(b'X', b""));
    assert_eq!(client.0.read(&mut [0]).unwrap(), 0);
    let mut cancelling = Client::connect(gateway.addr);
    cancelling.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &[0; 8]].concat());
    assert_eq!(cancelling.0.read(&mut [0]).unwrap(), 0);
}

/// Two pending requests with one id could receive each other's outcome.
#[test]
fn id_of_a_pending_request_cannot_be_reused() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(200));
    let gateway = Gateway::start(&[&server]);
    let (mut one, mut other) = (gateway.client(), gateway.client());
    one.send(&query(&insert("a1", "pay", 1900)));
    wait_until_received(&server, 1);
    assert_eq!(query_result(&other.query(&insert("a1", "pay", 1900))), Err(SqlState::from(DUPLICATE_ID)));
    assert_eq!(query_result(&one.read_response()), Ok("a1".to_string()));
    assert_eq!(server.queries().len(), 1);
    // The id can be reused once its request is complete.
    assert_eq!(query_result(&other.query(&insert("a1", "pay", 1900))), Ok("a1".to_string()));
}

/// A client that sends nothing but invalid queries would occupy a connection without end.
#[test]
fn connection_closes_after_repeated_errors() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query("SELECT 1").repeat(200));
    let responses: Vec<QueryResponse> = (0..MAX_INVALID_QUERIES).map(|_| client.read_response()).collect();
    assert!(responses.iter().all(|response| query_result(response) == Err(SqlState::from(INVALID_QUERY))));
    assert!(responses[MAX_INVALID_QUERIES - 1][0].body.starts_with(FATAL_SEVERITY));
    assert!(client.0.read(&mut [0]).map_or(true, |count| count == 0));
    assert_eq!(gateway.counter("invalid_queries_total"), MAX_INVALID_QUERIES as u64);
}

/// If the close were not detected, the request of a client that has exited would be retried until its timeout.
#[test]
fn half_closed_client_counts_as_disconnected() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 60_000)));
    client.0.shutdown(Shutdown::Write).unwrap();
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
}

/// A socket that is closed with unread bytes is reset, and the client loses the error that was written to it.
#[rstest]
#[case::protocol_violation(b"!".to_vec(), PROTOCOL_VIOLATION)]
#[case::repeated_errors(query("SELECT 1").repeat(MAX_INVALID_QUERIES), "FATAL")]
fn error_is_delivered_despite_unread_bytes(#[case] invalid: Vec<u8>, #[case] expected_text: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    // More bytes are in the socket's buffer than one read returns.
    pause(&gateway);
    client.send(&[invalid, vec![b'Q'; 100_000]].concat());
    gateway.signal("CONT");
    let received = read_to_end(&mut client).expect("closed without a reset");
    assert!(contains(&received, expected_text), "{}", String::from_utf8_lossy(&received));
    assert_served(&mut gateway.client(), "a1", 1900);
}

/// A request's timeout counts from its arrival. Counted from the first attempt instead, a queued request would be
/// sent after its client has stopped waiting.
#[test]
fn deadline_of_a_pipelined_request_runs_while_it_waits() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(600));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut client = gateway.client();
    let texts = [select("a1", "look", 20_000), select("a2", "look", 20_000), select("a3", "pay", 900)];
    client.send(&texts.map(|text| query(&text)).concat());
    for n in 1..3 {
        assert_eq!(query_result(&client.read_response()), Ok(format!("a{n}")));
    }
    // The deadline of the third passed while it was queued: it is rejected, and never sent to a server.
    assert_eq!(query_result(&client.read_response()), Err(SqlState::from(REJECTED)));
    let sent = server.queries();
    assert_eq!(sent.len(), 2, "{sent:?}");
    let sent_timeout =
        sent[1].text.split(",d=").nth(1).unwrap().split(' ').next().unwrap().parse::<u32>().unwrap();
    assert!(sent_timeout <= 19_400, "the second was queued for 600 ms: {sent_timeout}");
}

/// A request that waits in the socket's buffer has arrived as well: its timeout must not start when the gateway reads
/// it.
#[test]
fn deadline_of_an_unread_request_starts_at_its_first_byte() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(600));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut client = gateway.client();
    // More than the read-ahead limit: the last one is read after the first is complete.
    let expiring: Vec<Vec<u8>> = (2..200).map(|n| query(&select(&format!("a{n}"), "look", 500))).collect();
    let last = query(&select("b1", "look", 20_000));
    client.send(&[query(&select("a1", "look", 20_000)), expiring.concat(), last].concat());
    assert_eq!(query_result(&client.read_response()), Ok("a1".to_string()));
    for n in 2..200 {
        assert_eq!(query_result(&client.read_response()), Err(SqlState::from(REJECTED)), "a{n}");
    }
    assert!(client.read_response().last().is_some_and(|message| message.kind == b'Z'));
    assert!(
        server.queries().iter().all(|query| ["id=a1,", "id=b1,"].iter().any(|id| query.text.contains(id)))
    );
}

/// The end of the stream is behind queries that the gateway does not read while a request is pending.
#[test]
fn disconnect_behind_a_long_pipeline_is_detected() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    // More than the read-ahead limit.
    let texts: Vec<Vec<u8>> = (0..1000).map(|n| query(&select(&format!("a{n}"), "look", 60_000))).collect();
    client.send(&texts.concat());
    wait_until_connecting(&stuck);
    drop(client);
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
    assert_eq!((gateway.counter("requests_total"), gateway.counter("open_requests")), (1, 0));
    wait_until("the attempt is cancelled", || gateway.counter("attempts_not_sent_total") == 1);
    stuck.set_behavior(ServerBehavior::Succeed);
    wait_until_served(&gateway);
    assert!(stuck.queries().iter().all(|query| query.text.contains("id=b")));
}

/// A client that has left may have been served: its request would be executed twice if its id was accepted again.
#[rstest]
#[case::attempt_continues(false)]
#[case::attempt_is_cancelled(true)]
fn id_of_a_client_that_left_is_not_accepted_again(#[case] is_cancelled: bool) {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start_with(&[&server], |config| {
        use_long_timeouts(config);
        config["settings"]["permissions"]["cancelling"] = json!(is_cancelled);
    });
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 15_000)));
    wait_until_received(&server, 1);
    drop(client);
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
    server.set_behavior(ServerBehavior::Succeed);
    let again = gateway.client().query(&insert("a1", "pay", 15_000));
    assert_eq!(query_result(&again), Err(SqlState::from(DUPLICATE_ID)));
    wait_until_served(&gateway);
    assert_eq!(server.queries().iter().filter(|query| query.text.contains("id=a1")).count(), 1);
}

/// Requests that are read long after their client has left must not be sent.
#[test]
fn request_behind_many_messages_of_a_client_that_left_is_not_sent() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    assert_served(&mut gateway.client(), "a1", 15_000);
    let mut client = gateway.client();
    pause(&gateway);
    client.send(&message(b'S', b"").repeat(10_000));
    client.send(&query(&insert("a2", "pay", 15_000)));
    client.0.shutdown(Shutdown::Write).unwrap();
    gateway.signal("CONT");
    read_to_end(&mut client).unwrap();
    assert_served(&mut gateway.client(), "a3", 15_000);
    assert!(server.queries().iter().all(|query| !query.text.contains("id=a2")));
    assert_eq!(gateway.counter("requests_total"), 2);
}

/// The end of the stream is behind a part of a message, which the gateway does not read while a request is pending.
#[test]
fn half_closed_client_with_unread_bytes_counts_as_disconnected() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 60_000)));
    wait_until_connecting(&stuck);
    client.send(&vec![b'Q'; 100_000]);
    client.0.shutdown(Shutdown::Write).unwrap();
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
}

/// A buffer or parser state that two sessions share would mix their bytes.
#[test]
fn interleaved_clients_receive_only_their_own_values() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let values: Arc<Vec<String>> = Arc::new(vec!["a".repeat(60), "b".repeat(60)]);
    // Two clients with different ids, tenants and classes, interleaved.
    let threads: Vec<_> = (0..2)
        .map(|index| {
            let (addr, values) = (gateway.addr, values.clone());
            thread::spawn(move || {
                let mut client = Client(TcpStream::connect(addr).unwrap());
                client.send(&startup());
                client.read_response();
                for n in 0..50 {
                    let (id, tenant) = (format!("{}{n}", values[index]), ["t", "tt"][index]);
                    let text = select(&id, ["look", "pay"][index], 15_000).replace("acme", tenant);
                    // A SET statement is rejected, and never sent to a server.
                    if n % 10 == index {
                        assert_eq!(
                            query_result(&client.query("SET application_name = 'x'")),
                            Err(SqlState::from(INVALID_QUERY))
                        );
                    }
                    let bytes = query(&text);
                    bytes.chunks(1 + n % 17).for_each(|part| client.send(part));
                    assert_eq!(query_result(&client.read_response()), Ok(id));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert!(server.queries().iter().all(|query| !query.text.contains("SET")));
}
