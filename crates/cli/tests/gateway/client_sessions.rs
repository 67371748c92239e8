//! Client sessions: startup, pipelining, malformed input, deadlines and disconnects.

use crate::support::{
    assert_served, contains, pause, read_to_end, wait_until_connecting, wait_until_received,
    wait_until_served,
};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, use_long_timeouts};
use latchhaven_test_support::postgres::{
    Client, QueryResponse, SqlState, TypedMessage, insert, message, outcome, query, select, startup,
};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;

#[rstest]
#[case::in_one_write(1)]
#[case::byte_by_byte(usize::MAX)]
fn startup_and_pipelined_queries_are_answered_in_order(#[case] parts: usize) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = Client::connect(gateway.addr);
    let ssl = [&8u32.to_be_bytes()[..], &80_877_103u32.to_be_bytes()].concat();
    let gss = [&8u32.to_be_bytes()[..], &80_877_104u32.to_be_bytes()].concat();
    client.send(&[ssl, gss].concat());
    let mut no = [0; 2];
    client.0.read_exact(&mut no).unwrap();
    assert_eq!(&no, b"NN");
    let all = [startup(), query(&select("a1", "look", 1900)), query(" "), query(&insert("a2", "book", 1900))]
        .concat();
    all.chunks(all.len().div_ceil(parts)).for_each(|part| client.send(part));
    client.read_response();
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(
        client.read_response(),
        [TypedMessage { kind: b'I', body: vec![] }, TypedMessage { kind: b'Z', body: b"I".to_vec() }]
    );
    assert_eq!(outcome(&client.read_response()), Ok("a2".to_string()));
}

#[rstest]
#[case::no_comment("SELECT 1", "42601")]
#[case::no_time("SELECT doc FROM items WHERE id = 'a' /* id=a,c=look */", "42601")]
#[case::bad_time("SELECT doc FROM items WHERE id = 'a' /* id=a,c=look,d=-5 */", "42601")]
#[case::other_statement("DROP TABLE items /* id=a,c=look,d=50 */", "42601")]
#[case::unknown_class("SELECT doc FROM items WHERE id = 'a' /* id=a,c=none,d=500 */", "42601")]
#[case::no_key("SELECT doc FROM items WHERE id = 'a' /* id=a,c=book,d=500 */", "42601")]
#[case::two_statements(
    "SELECT doc FROM items WHERE id = 'a'; DROP TABLE items /* id=a,c=look,d=50 */",
    "42601"
)]
fn malformed_query_fails_and_the_next_one_is_served(#[case] text: &str, #[case] code: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let answer = client.query(text);
    assert_eq!(outcome(&answer), Err(SqlState::from(code)));
    assert_eq!(answer.last(), Some(&TypedMessage { kind: b'Z', body: b"I".to_vec() }));
    assert_served(&mut client, "a2", 900);
    assert_eq!(server.queries().len(), 1);
}

#[rstest]
#[case::too_long(b"Q\x7f\xff\xff\xff".to_vec())]
#[case::too_short(b"Q\0\0\0\x01".to_vec())]
#[case::unknown_type(b"\x01\0\0\0\x04".to_vec())]
#[case::no_terminator(message(b'Q', b"SELECT 1"))]
fn malformed_message_closes_only_its_own_connection(#[case] bytes: Vec<u8>) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let (mut malformed, mut other) = (gateway.client(), gateway.client());
    let answer = malformed.query("");
    assert_eq!(answer[0].kind, b'I');
    malformed.send(&bytes);
    let answer = malformed.read_response();
    assert_eq!(outcome(&answer), Err(SqlState::from("08P01")));
    assert!(answer[0].body.starts_with(b"SFATAL\0"));
    assert_eq!(malformed.0.read(&mut [0]).unwrap(), 0);
    assert_served(&mut other, "a2", 900);
}

#[test]
fn extended_query_is_rejected_and_terminate_closes() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(
        &[message(b'P', b"\0SELECT 1\0\0\0"), message(b'B', b"\0\0\0\0\0\0\0\0"), message(b'S', b"")]
            .concat(),
    );
    let answer = client.read_response();
    assert_eq!(outcome(&answer), Err(SqlState::from("0A000")));
    assert_eq!(answer.len(), 2);
    client.send(&message(b'X', b""));
    assert_eq!(client.0.read(&mut [0]).unwrap(), 0);
    let mut cancel = Client::connect(gateway.addr);
    cancel.send(&[&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), &[0; 8]].concat());
    assert_eq!(cancel.0.read(&mut [0]).unwrap(), 0);
}

#[test]
fn id_of_an_open_request_cannot_be_reused() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(200));
    let gateway = Gateway::start(&[&server]);
    let (mut one, mut other) = (gateway.client(), gateway.client());
    one.send(&query(&insert("a1", "pay", 1900)));
    wait_until_received(&server, 1);
    assert_eq!(outcome(&other.query(&insert("a1", "pay", 1900))), Err(SqlState::from("42710")));
    assert_eq!(outcome(&one.read_response()), Ok("a1".to_string()));
    assert_eq!(server.queries().len(), 1);
    // The id can be reused after its request has ended.
    assert_eq!(outcome(&other.query(&insert("a1", "pay", 1900))), Ok("a1".to_string()));
}

#[test]
fn connection_closes_after_repeated_errors() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query("SELECT 1").repeat(200));
    let answers: Vec<QueryResponse> = (0..8).map(|_| client.read_response()).collect();
    assert!(answers.iter().all(|answer| outcome(answer) == Err(SqlState::from("42601"))));
    assert!(answers[7][0].body.starts_with(b"SFATAL\0"));
    assert!(client.0.read(&mut [0]).map_or(true, |count| count == 0));
    assert_eq!(gateway.counter("invalid_queries_total"), 8);
}

#[test]
fn half_closed_client_counts_as_disconnected() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 60_000)));
    client.0.shutdown(Shutdown::Write).unwrap();
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
}

#[rstest]
#[case::protocol_violation(b"!".to_vec(), "08P01")]
#[case::repeated_errors(query("SELECT 1").repeat(8), "FATAL")]
fn error_is_delivered_despite_unread_bytes(#[case] bad: Vec<u8>, #[case] expected: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    // More is buffered than one read returns: closed with unread bytes, the connection would be reset.
    pause(&gateway);
    client.send(&[bad, vec![b'Q'; 100_000]].concat());
    gateway.signal("CONT");
    let all = read_to_end(&mut client).expect("closed without a reset");
    assert!(contains(&all, expected), "{}", String::from_utf8_lossy(&all));
    assert_served(&mut gateway.client(), "a1", 1900);
}

#[test]
fn deadline_of_a_pipelined_request_runs_while_it_waits() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(600));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut client = gateway.client();
    let texts = [select("a1", "look", 20_000), select("a2", "look", 20_000), select("a3", "pay", 900)];
    client.send(&texts.map(|text| query(&text)).concat());
    for n in 1..3 {
        assert_eq!(outcome(&client.read_response()), Ok(format!("a{n}")));
    }
    // The deadline of the third passed while it waited: it is rejected, and never sent to a server.
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    let sent = server.queries();
    assert_eq!(sent.len(), 2, "{sent:?}");
    let wait = sent[1].text.split(",d=").nth(1).unwrap().split(' ').next().unwrap().parse::<u32>().unwrap();
    assert!(wait <= 19_400, "the second waited 600 ms for its turn: {wait}");
}

#[test]
fn deadline_of_an_unread_request_starts_at_its_first_byte() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(600));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut client = gateway.client();
    // More than the read-ahead limit: the last one is read after the first is answered.
    let many: Vec<Vec<u8>> = (2..200).map(|n| query(&select(&format!("a{n}"), "look", 500))).collect();
    let last = query(&select("b1", "look", 20_000));
    client.send(&[query(&select("a1", "look", 20_000)), many.concat(), last].concat());
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    for n in 2..200 {
        assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")), "a{n}");
    }
    assert!(client.read_response().last().is_some_and(|message| message.kind == b'Z'));
    assert!(
        server.queries().iter().all(|query| ["id=a1,", "id=b1,"].iter().any(|id| query.text.contains(id)))
    );
}

#[test]
fn disconnect_behind_a_long_pipeline_is_detected() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    // Several queries, more than the read-ahead limit; then the end of the stream.
    let texts: Vec<Vec<u8>> = (0..1000).map(|n| query(&select(&format!("a{n}"), "look", 60_000))).collect();
    client.send(&texts.concat());
    wait_until_connecting(&stuck);
    drop(client);
    wait_until("the disconnect is counted", || gateway.counter("clients_disconnected_total") == 1);
    assert_eq!((gateway.counter("requests_total"), gateway.counter("open_requests")), (1, 0));
    wait_until("its attempt is cancelled", || gateway.counter("attempts_not_sent_total") == 1);
    stuck.set_behavior(ServerBehavior::Succeed);
    wait_until_served(&gateway);
    assert!(stuck.queries().iter().all(|query| query.text.contains("id=b")));
}

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

#[test]
fn interleaved_clients_receive_only_their_own_values() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let values: Arc<Vec<String>> = Arc::new(vec!["a".repeat(60), "b".repeat(60)]);
    // Two clients whose queries differ in every byte, interleaved.
    let threads: Vec<_> = (0..2)
        .map(|who| {
            let (addr, values) = (gateway.addr, values.clone());
            thread::spawn(move || {
                let mut client = Client(TcpStream::connect(addr).unwrap());
                client.send(&startup());
                client.read_response();
                for n in 0..50 {
                    let (id, tenant) = (format!("{}{n}", values[who]), ["t", "tt"][who]);
                    let text = select(&id, ["look", "pay"][who], 15_000).replace("acme", tenant);
                    // A SET statement is rejected, and never sent to a server.
                    if n % 10 == who {
                        assert_eq!(
                            outcome(&client.query("SET application_name = 'x'")),
                            Err(SqlState::from("42601"))
                        );
                    }
                    let bytes = query(&text);
                    bytes.chunks(1 + n % 17).for_each(|part| client.send(part));
                    assert_eq!(outcome(&client.read_response()), Ok(id));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert!(server.queries().iter().all(|query| !query.text.contains("SET")));
}
