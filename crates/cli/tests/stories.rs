//! Stories over loopback: the gateway's program between stand-ins, one for each failure.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use latchhaven_gateway::net::list::read as read_list;
use latchhaven_gateway::net::upstream::{CancelResult, UpstreamCall, UpstreamPool};
use latchhaven_gateway::net::{DriverEvent, write_all};
use latchhaven_policy::RequestId;
use latchhaven_policy::{AttemptOutcome, EndpointEntry, LoadReporting, UpstreamConnectionConfig};
use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk, response};
use latchhaven_test_support::fake_server::{FakeServer, ReceivedQuery, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, gateway_config, spawn_gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host, rollout_state, start_feed};
use latchhaven_test_support::postgres::{
    Client, QueryResponse, SqlState, TypedMessage, insert, message, outcome, query, row, select, startup,
};
use latchhaven_test_support::process::{program, read_log};
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::Ordering::SeqCst;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

#[rstest]
#[case::settled(ServerBehavior::Succeed, "sub_settled", Ok("a1"))]
#[case::among_notices(ServerBehavior::SucceedAmongNotices, "sub_settled", Ok("a1"))]
#[case::error_response(ServerBehavior::Fail("XX000"), "sub_error", Err("XX000"))]
#[case::queue_full(ServerBehavior::Fail("53300"), "sub_turned_away", Err("53300"))]
#[case::starting(ServerBehavior::FailAndClose("57P03"), "sub_turned_away", Err("53300"))]
#[case::lost_after_the_query(ServerBehavior::Reset, "sub_lost", Err("XX000"))]
#[case::lost_within_the_row(ServerBehavior::TruncateRow, "sub_lost", Err("XX000"))]
#[case::no_message(ServerBehavior::RespondGarbage, "sub_error", Err("XX000"))]
#[case::endless(ServerBehavior::EndlessRow, "sub_error", Err("XX000"))]
#[case::a_code_in_noise(ServerBehavior::UndecodableError, "sub_error", Err("XX000"))]
#[case::silent(ServerBehavior::NeverRespond, "sub_no_answer", Err("XX000"))]
#[case::never_up(ServerBehavior::NeverHandshake, "sub_no_connection", Err("53300"))]
fn each_way_a_submission_ends_is_told_as_what_it_is(
    #[case] does: ServerBehavior, #[case] counter: &str, #[case] told: Result<&str, &str>,
) {
    let server = FakeServer::start(does);
    let gateway = Gateway::start(&[&server]);
    let answer = gateway.client().query(&insert("a1", "pay", 1000));
    assert_eq!(outcome(&answer), told.map(str::to_string).map_err(SqlState::from));
    assert_eq!(answer.iter().filter(|message| message.kind == b'Z').count(), 1);
    assert!(gateway.counter(counter) >= 1, "{counter}");
    // A once-only txn that may have run goes nowhere else; one that provably never ran may.
    let ran = told != Err("53300");
    assert!(!ran || gateway.counter("submissions") == 1);
    assert_eq!(gateway.counter("broken_assertions"), 0);
    let queries = server.queries();
    assert!(queries.iter().all(|query| query.text.starts_with("INSERT INTO items (id, doc) VALUES ('7f',")));
}

#[test]
fn a_refused_connection_never_ran() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gone = server.clone();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    gone.addr = closed.local_addr().unwrap();
    drop(closed);
    let gateway = Gateway::start(&[&gone]);
    assert_eq!(outcome(&gateway.client().query(&insert("a1", "pay", 900))), Err(SqlState::from("53300")));
    assert!(gateway.counter("sub_no_connection") >= 1);
    assert!(server.queries().is_empty());
}

#[test]
fn a_statement_goes_on_byte_for_byte_but_for_the_time_left() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    assert_eq!(outcome(&gateway.client().query(&insert("a1", "pay", 1900))), Ok("a1".to_string()));
    let text = server.queries()[0].text.clone();
    let wait = text.split("d=").nth(1).unwrap().split(',').next().unwrap().parse::<u32>().unwrap();
    assert!((1..=1900).contains(&wait), "{wait}");
    assert_eq!(text, insert("a1", "pay", wait));
}

#[test]
fn a_silent_server_is_left_by_closing_before_another_copy_goes_out() {
    let (silent, other) =
        (FakeServer::start(ServerBehavior::NeverRespond), FakeServer::start(ServerBehavior::NeverRespond));
    let gateway = Gateway::start(&[&silent, &other]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1500)));
    wait_until("both are tried", || silent.queries().len() + other.queries().len() >= 2);
    let first = if silent.queries().is_empty() { &other } else { &silent };
    wait_until("the first connection is ended", || first.seen.lock().unwrap().ended.contains(&0));
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    // What was told to be recalled is over: nothing of it is out any more.
    wait_until("all are ended", || {
        [&silent, &other].iter().all(|server| {
            let seen = server.seen.lock().unwrap();
            seen.ended.len() == seen.connections
        })
    });
    assert_eq!(gateway.counter("broken_assertions"), 0);
}

#[test]
fn an_answer_after_its_recall_goes_nowhere() {
    let (late, good) = (
        FakeServer::start(ServerBehavior::SucceedAfter(450)),
        FakeServer::start(ServerBehavior::SucceedAfter(450)),
    );
    let gateway = Gateway::start(&[&late, &good]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1900)));
    wait_until("one is asked", || late.queries().len() + good.queries().len() == 1);
    let quick = if late.queries().is_empty() { &late } else { &good };
    quick.set_behavior(ServerBehavior::Succeed);
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    thread::sleep(Duration::from_millis(300));
    // Had the late row come through, this would be answered with it.
    assert_eq!(outcome(&client.query(&select("a2", "look", 1900))), Ok("a2".to_string()));
}

#[test]
fn connections_are_used_again_one_txn_at_a_time() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..5 {
        assert_eq!(outcome(&client.query(&select(&format!("a{n}"), "look", 900))), Ok(format!("a{n}")));
    }
    assert_eq!(server.seen.lock().unwrap().connections, 1);
    server.set_behavior(ServerBehavior::SucceedAfter(100));
    let mut others: Vec<Client> = (0..2).map(|_| gateway.client()).collect();
    others
        .iter_mut()
        .enumerate()
        .for_each(|(n, other)| other.send(&query(&select(&format!("b{n}"), "look", 900))));
    let got: Vec<_> = others.iter_mut().map(|other| outcome(&other.read_response())).collect();
    assert_eq!(got, [Ok("b0".to_string()), Ok("b1".to_string())]);
    let (one, two) = (server.queries()[5].connection, server.queries()[6].connection);
    assert_ne!(one, two);
}

#[rstest]
#[case::at_once(0)]
#[case::a_moment_later(30)]
fn a_second_copy_behind_an_answer_is_nobodys_answer(#[case] pause: u64) {
    let server = FakeServer::start(ServerBehavior::RespondTwice(pause));
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..5 {
        assert_eq!(outcome(&client.query(&insert(&format!("a{n}"), "pay", 1900))), Ok(format!("a{n}")));
        wait_until("the connection is let go", || server.seen.lock().unwrap().ended.len() == n + 1);
    }
    assert_eq!((server.queries().len(), gateway.counter("sub_settled")), (5, 5));
}

#[test]
fn large_values_pass_though_only_some_are_held_at_once() {
    let server = FakeServer::start(ServerBehavior::LargeValue(400_000));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut clients: Vec<Client> = (0..16).map(|_| gateway.client()).collect();
    for round in 0..2 {
        let asks = |(n, client): (usize, &mut Client)| {
            client.send(&query(&select(&format!("a{round}x{n}"), "look", 15_000)));
        };
        clients.iter_mut().enumerate().for_each(asks);
        for client in &mut clients {
            assert_eq!(outcome(&client.read_response()).unwrap().len(), 400_000);
        }
    }
    assert_eq!((gateway.counter("server_spoilt"), gateway.counter("submissions")), (0, 32));
    // One that is said to be far larger is no value, and nobody waits for it.
    server.set_behavior(ServerBehavior::LargeValue(600_000));
    assert_eq!(outcome(&clients[0].query(&insert("b", "pay", 15_000))), Err(SqlState::from("XX000")));
}

#[test]
fn what_comes_unasked_as_a_txn_is_handed_over_is_not_its_answer() {
    alone(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut noted) = idling(&server).await;
        assert!(pool.send("s0", SECOND, None, 1000.0, None, 0.0));
        // The driver has not run since: to it this comes between the choice of the connection and the write.
        server.seen.lock().unwrap().open[0].write_all(&row(b"not asked for")).unwrap();
        thread::sleep(Duration::from_millis(50));
        let Some(DriverEvent::CallEnded { result, .. }) = noted.recv().await else {
            panic!("it never ended")
        };
        assert_eq!((result.outcome, result.value.is_none()), (AttemptOutcome::NotSent, true));
        assert!(server.queries().is_empty());
    });
}

#[test]
fn a_server_that_ends_idle_connections_costs_no_txn() {
    let server = FakeServer::start(ServerBehavior::SucceedAndClose);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    for n in 0..10 {
        assert_eq!(outcome(&client.query(&insert(&format!("a{n}"), "pay", 900))), Ok(format!("a{n}")));
        wait_until("the end is seen", || server.seen.lock().unwrap().ended.len() == n + 1);
    }
    assert_eq!(gateway.counter("sub_lost"), 0);
}

/// An instance that is up at this address.
fn up(addr: SocketAddr) -> (EndpointEntry, SocketAddr) {
    read_list(endpoint_list(1, true, &[host("s0", addr, "up", 1)]).to_string().as_bytes())
        .unwrap()
        .entries
        .remove(0)
}

fn pool(reports: LoadReporting) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    pool_of(4, reports)
}

fn pool_of(most: usize, reports: LoadReporting) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    let (notes, noted) = mpsc::channel(16);
    let (idle, dial_within, vote_within, probes) = (9000.0, 5000.0, 500.0, true);
    let connections = UpstreamConnectionConfig {
        idle_timeout: idle,
        connect_timeout: dial_within,
        vote_timeout: vote_within,
        health_checks: probes,
        load_reporting: reports,
    };
    (UpstreamPool::new(most, connections, notes), noted)
}

const FIRST: UpstreamCall = UpstreamCall::Attempt { id: RequestId(1), attempt: 0 };
const SECOND: UpstreamCall = UpstreamCall::Attempt { id: RequestId(2), attempt: 0 };

/// A pool alone, with one connection to a server that idles; tasks go on only where a story waits.
async fn idling(server: &FakeServer) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    idling_in(pool(LoadReporting::Disabled), server).await
}

async fn idling_in(
    (mut pool, mut noted): (UpstreamPool, mpsc::Receiver<DriverEvent>), server: &FakeServer,
) -> (UpstreamPool, mpsc::Receiver<DriverEvent>) {
    let (listing, addr) = up(server.addr);
    pool.update_endpoint(&listing, addr);
    assert!(pool.send("s0", FIRST, None, 1000.0, None, 0.0));
    assert_eq!(pool.cancel("s0", FIRST), CancelResult::Unwritten);
    let Some(DriverEvent::ConnectionReady { connection, is_first }) = noted.recv().await else {
        panic!("it never came up")
    };
    pool.on_connection_ready(connection, is_first, 0.0);
    (pool, noted)
}

fn alone(story: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, story);
}

#[test]
fn a_connection_that_ended_unseen_is_not_used() {
    alone(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut noted) = idling(&server).await;
        server.close_connections();
        wait_until("the end has come", || server.seen.lock().unwrap().ended.len() == 1);
        assert!(pool.send("s0", SECOND, None, 1000.0, None, 0.0));
        loop {
            match noted.recv().await.unwrap() {
                DriverEvent::ConnectionReady { connection, is_first } => {
                    pool.on_connection_ready(connection, is_first, 0.0)
                }
                DriverEvent::ConnectionClosed { connection } => pool.on_connection_closed(&connection),
                DriverEvent::CallEnded { result, .. } => {
                    return assert_eq!(result.outcome, AttemptOutcome::Success);
                }
                _ => panic!("the txn should not notice"),
            }
        }
    });
}

#[test]
fn a_connection_that_makes_room_as_it_would_be_picked_carries_nothing() {
    alone(async {
        let (one, other) =
            (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
        let (mut pool, mut noted) = idling_in(pool_of(1, LoadReporting::Disabled), &one).await;
        let (mut listing, _) = up(one.addr);
        listing.endpoint = "s1".to_string();
        pool.update_endpoint(&listing, other.addr);
        // In one moment, before any driver runs: the idle one makes room for the first, and there is none for
        // the next.
        assert!(pool.send("s1", FIRST, None, 1000.0, None, 0.0));
        assert!(!pool.send("s0", SECOND, None, 1000.0, None, 0.0));
        loop {
            match noted.recv().await.unwrap() {
                DriverEvent::ConnectionReady { connection, is_first } => {
                    pool.on_connection_ready(connection, is_first, 0.0)
                }
                DriverEvent::ConnectionClosed { connection } => pool.on_connection_closed(&connection),
                DriverEvent::CallEnded { result, .. } => {
                    break assert_eq!(result.outcome, AttemptOutcome::Success);
                }
                _ => panic!("the other one should come up"),
            }
        }
        wait_until("the idle one is closed", || one.seen.lock().unwrap().ended == [0]);
        assert_eq!((one.queries().len(), other.queries().len()), (0, 1));
    });
}

#[rstest]
#[case::in_answers(LoadReporting::InResponses, "SELECT 1", 2)]
#[case::in_probes(LoadReporting::InHealthChecks, "SHOW load", 0)]
#[case::silent(LoadReporting::Disabled, "SELECT 1", 0)]
fn probes_and_reports_are_as_the_settings_say(
    #[case] reports: LoadReporting, #[case] asked: &'static str, #[case] figures: usize,
) {
    alone(async move {
        let server = FakeServer::start(ServerBehavior::SucceedAmongNotices);
        let (mut pool, mut noted) = pool(reports);
        let (listing, addr) = up(server.addr);
        pool.update_endpoint(&listing, addr);
        assert!(pool.send("s0", UpstreamCall::HealthCheck(1), None, 1000.0, None, 0.0));
        let Some(DriverEvent::ConnectionReady { connection, is_first }) = noted.recv().await else {
            panic!("it never came up")
        };
        pool.on_connection_ready(connection, is_first, 0.0);
        let Some(DriverEvent::CallEnded { result, .. }) = noted.recv().await else {
            panic!("it never ended")
        };
        assert_eq!((result.outcome, result.load.0.len()), (AttemptOutcome::Success, figures));
        assert_eq!(server.queries(), [ReceivedQuery { connection: 0, text: asked.to_string() }]);
    });
}

#[test]
fn a_write_that_breaks_before_its_last_byte_is_told_so() {
    alone(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = tokio::net::TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (peer, _) = listener.accept().unwrap();
        // More than both machines hold for a peer that does not read, in pieces of which some are empty.
        let pieces = [Bytes::from(vec![b'x'; 32 << 20]), Bytes::new(), Bytes::from_static(b"end")];
        let ending = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(peer);
        };
        assert!(tokio::join!(write_all(&stream, &pieces), ending).0.is_err());
    });
}

#[test]
fn a_vote_without_a_connection_was_not_carried_out() {
    let (earlier, trial) =
        (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_with(&[&earlier, &trial], |config| {
        let closed = TcpListener::bind("127.0.0.1:0").unwrap();
        config["known"]["hosts"][1]["release"] = json!(2);
        config["pipeline"]["news"] = rollout_state(2, 0, "IN_PROGRESS", 0.5);
        config["pipeline"]["address"] = json!(closed.local_addr().unwrap().to_string());
    });
    wait_until("its end is told", || gateway.counter("votes_not_counted") >= 1);
    assert_eq!((gateway.counter("votes_counted"), gateway.counter("votes_unsure")), (0, 0));
}

#[test]
fn what_is_stopped_before_its_last_byte_is_told_so_and_never_comes() {
    alone(async {
        let server = FakeServer::start(ServerBehavior::Succeed);
        let (mut pool, mut noted) = idling(&server).await;
        assert!(pool.send("s0", SECOND, None, 1000.0, None, 0.0));
        assert_eq!(pool.cancel("s0", SECOND), CancelResult::Unwritten);
        assert!(matches!(noted.recv().await, Some(DriverEvent::ConnectionClosed { .. })));
        wait_until("it is closed", || server.seen.lock().unwrap().ended == [0]);
        assert!(server.queries().is_empty());
    });
}

#[test]
fn connections_still_opened_to_what_was_there_before_are_not_waited_for() {
    alone(async {
        let (stuck, closed) =
            (FakeServer::start(ServerBehavior::NeverHandshake), TcpListener::bind("127.0.0.1:0").unwrap());
        let (mut pool, mut noted) = pool(LoadReporting::Disabled);
        let (listing, old) = up(stuck.addr);
        let new = closed.local_addr().unwrap();
        drop(closed);
        pool.update_endpoint(&listing, old);
        assert!(pool.send("s0", FIRST, None, 1000.0, None, 0.0));
        assert_eq!(pool.update_endpoint(&listing, new), [FIRST]);
        assert!(pool.send("s0", SECOND, None, 1000.0, None, 0.0));
        let Some(DriverEvent::ConnectFailed { connection }) = noted.recv().await else {
            panic!("it is refused")
        };
        assert_eq!(pool.on_connect_failed(&connection), Some(SECOND));
    });
}

#[test]
fn idle_connections_are_closed_before_the_server_does() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| {
        config["settings"]["permissions"]["conn-idle-s"] = json!(0.3);
    });
    gateway.client().query(&select("a1", "look", 900));
    wait_until("it is closed", || server.seen.lock().unwrap().ended == [0]);
}

#[rstest]
#[case::whole(1)]
#[case::byte_by_byte(usize::MAX)]
fn startup_and_queries_in_one_piece_are_answered_in_order(#[case] pieces: usize) {
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
    all.chunks(all.len().div_ceil(pieces)).for_each(|piece| client.send(piece));
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
#[case::unknown_product("SELECT doc FROM items WHERE id = 'a' /* id=a,c=none,d=500 */", "42601")]
#[case::no_key("SELECT doc FROM items WHERE id = 'a' /* id=a,c=book,d=500 */", "42601")]
#[case::two_statements(
    "SELECT doc FROM items WHERE id = 'a'; DROP TABLE items /* id=a,c=look,d=50 */",
    "42601"
)]
fn a_bad_query_gets_an_error_and_the_next_one_is_served(#[case] text: &str, #[case] code: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    let answer = client.query(text);
    assert_eq!(outcome(&answer), Err(SqlState::from(code)));
    assert_eq!(answer.last(), Some(&TypedMessage { kind: b'Z', body: b"I".to_vec() }));
    assert_eq!(outcome(&client.query(&select("a2", "look", 900))), Ok("a2".to_string()));
    assert_eq!(server.queries().len(), 1);
}

#[rstest]
#[case::too_long(b"Q\x7f\xff\xff\xff".to_vec())]
#[case::too_short(b"Q\0\0\0\x01".to_vec())]
#[case::unknown_type(b"\x01\0\0\0\x04".to_vec())]
#[case::no_terminator(message(b'Q', b"SELECT 1"))]
fn a_broken_stream_ends_with_a_fatal_error_and_touches_no_other(#[case] bytes: Vec<u8>) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let (mut broken, mut sound) = (gateway.client(), gateway.client());
    let answer = broken.query("");
    assert_eq!(answer[0].kind, b'I');
    broken.send(&bytes);
    let answer = broken.read_response();
    assert_eq!(outcome(&answer), Err(SqlState::from("08P01")));
    assert!(answer[0].body.starts_with(b"SFATAL\0"));
    assert_eq!(broken.0.read(&mut [0]).unwrap(), 0);
    assert_eq!(outcome(&sound.query(&select("a2", "look", 900))), Ok("a2".to_string()));
}

#[test]
fn extended_queries_are_declined_and_cancels_and_terminates_end() {
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
fn a_client_that_vanishes_is_told_at_once_and_its_submission_is_called_back() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until("it is asked", || server.queries().len() == 1);
    drop(client);
    wait_until("it is called back", || server.seen.lock().unwrap().ended == [0]);
    assert_eq!((gateway.counter("clients_gone"), gateway.counter("sub_recalled")), (1, 1));
}

#[test]
fn a_client_that_reads_nothing_holds_up_no_other() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut lazy = gateway.client();
    lazy.0.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
    let many = query(&select("a1", "look", 900)).repeat(2000);
    // Its answers fill what the machine holds for it; then nothing more of it is read.
    while lazy.0.write_all(&many).is_ok() && lazy.0.peek(&mut [0]).is_err() {}
    assert_eq!(outcome(&gateway.client().query(&select("b1", "look", 1900))), Ok("b1".to_string()));
}

#[test]
fn a_full_set_of_descriptors_turns_new_clients_away_and_serves_the_others() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start_with(&[&server], |config| {
        use_long_timeouts(config);
        config["limits"]["sockets"] = json!(64);
    });
    // Of the 16 descriptors that are left 8 are for clients.
    let mut busy: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    let asks =
        |(n, client): (usize, &mut Client)| client.send(&query(&select(&format!("a{n}"), "look", 15_000)));
    busy.iter_mut().enumerate().for_each(asks);
    wait_until("all are taken", || gateway.counter("txns") == 8);
    let mut more = Client::connect(gateway.addr);
    more.send(&startup());
    assert_eq!(outcome(&more.read_response()), Err(SqlState::from("53300")));
    // One that leaves makes room, and so does one that idles.
    drop(busy.pop());
    wait_until("it is gone", || gateway.counter("clients_gone") == 1);
    let _idle = gateway.client();
    thread::sleep(Duration::from_millis(60));
    gateway.client();
}

#[rstest]
#[case::says_nothing(b"", b"")]
#[case::half_a_startup(b"\0\0\0", b"")]
#[case::asks_nothing(b"", b"Q\0\0\0\x05\0")]
#[case::half_a_query(b"", b"Q\0\0\0\x40SELECT")]
fn a_connection_that_asks_nothing_whole_ends_in_time(#[case] before: &[u8], #[case] after: &[u8]) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut usual = gateway.client();
    assert_eq!(outcome(&usual.query(&select("a1", "look", 900))), Ok("a1".to_string()));
    let mut silent = if after.is_empty() { Client::connect(gateway.addr) } else { gateway.client() };
    silent.send(&[before, after].concat());
    let mut all = Vec::new();
    silent.0.read_to_end(&mut all).unwrap();
    assert!(all.windows(5).any(|code| code == b"08P01"), "{all:?}");
    // One that was answered and stays is let go without a word; others go on.
    assert_eq!(usual.0.read(&mut [0]).unwrap(), 0);
    assert_eq!(outcome(&gateway.client().query(&select("a2", "look", 900))), Ok("a2".to_string()));
    assert_eq!(gateway.counter("clients_late"), 1);
}

#[test]
fn byte_by_byte_a_command_gets_no_more_time() {
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
    wait_until("it is over", || gateway.counter("broken_streams") + gateway.counter("clients_late") == 1);
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("08P01")));
}

#[test]
fn hundreds_that_say_nothing_whole_keep_no_usual_client_out() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| config["limits"]["sockets"] = json!(64));
    let mut rude: Vec<Client> = (0..200).map(|_| Client::connect(gateway.addr)).collect();
    rude.iter_mut().for_each(|client| drop(client.0.write_all(b"\0\0\0")));
    // There are seats for 8: whoever has been there for 50 ms without asking makes room. Where all came just
    // now, a client is turned away, by an error that says so, and comes again.
    let mut usual = Client::connect(gateway.addr);
    wait_until("a usual client is served", || {
        usual.send(&[startup(), query(&select("a1", "look", 1900))].concat());
        let first = usual.read_response();
        let turned_away = outcome(&first) == Err(SqlState::from("53300"));
        if turned_away {
            usual = Client::connect(gateway.addr);
        } else {
            assert_eq!(outcome(&usual.read_response()), Ok("a1".to_string()), "{first:?}");
        }
        !turned_away
    });
    wait_until("the others are let go", || gateway.counter("clients_let_go") > 100);
    assert_eq!(outcome(&usual.query(&select("a2", "look", 900))), Ok("a2".to_string()));
}

#[test]
fn the_id_of_an_open_txn_is_nobody_elses() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(200));
    let gateway = Gateway::start(&[&server]);
    let (mut one, mut other) = (gateway.client(), gateway.client());
    one.send(&query(&insert("a1", "pay", 1900)));
    wait_until("it is asked", || server.queries().len() == 1);
    assert_eq!(outcome(&other.query(&insert("a1", "pay", 1900))), Err(SqlState::from("42710")));
    assert_eq!(outcome(&one.read_response()), Ok("a1".to_string()));
    assert_eq!(server.queries().len(), 1);
    // Ids are held no longer than their txns.
    assert_eq!(outcome(&other.query(&insert("a1", "pay", 1900))), Ok("a1".to_string()));
}

#[test]
fn a_connection_with_fault_after_fault_ends() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query("SELECT 1").repeat(200));
    let answers: Vec<QueryResponse> = (0..8).map(|_| client.read_response()).collect();
    assert!(answers.iter().all(|answer| outcome(answer) == Err(SqlState::from("42601"))));
    assert!(answers[7][0].body.starts_with(b"SFATAL\0"));
    assert!(client.0.read(&mut [0]).map_or(true, |count| count == 0));
    assert_eq!(gateway.counter("bad_queries"), 8);
}

#[test]
fn running_out_of_descriptors_neither_ends_nor_blocks_the_gateway() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    server.set_behavior(ServerBehavior::SucceedAfter(400));
    client.send(&query(&select("a2", "look", 1900)));
    wait_until("it is taken", || server.queries().len() == 2);
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
fn the_list_is_watched_from_the_version_held_and_its_changes_count_at_once() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let changes = [host("s0", old.addr, "draining", 1), host("s1", new.addr, "up", 1)];
    let line = endpoint_list(6, false, &changes).to_string() + "\n";
    // Cut anywhere, also within a chunk.
    let (one, two) = line.split_at(line.len() / 2);
    gateway.discovery.write(&chunk(one));
    gateway.discovery.write(&chunk(two));
    wait_until("it is read", || gateway.counter("list_changes") == 2);
    let mut client = gateway.client();
    for n in 0..4 {
        assert_eq!(outcome(&client.query(&select(&format!("a{n}"), "look", 1900))), Ok(format!("a{n}")));
    }
    assert_eq!((old.queries().len(), new.queries().len()), (0, 4));
}

#[test]
fn an_id_that_returns_at_another_address_is_found_there() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start(&[&old]);
    let mut client = gateway.client();
    client.query(&select("a1", "look", 900));
    wait_until("the list is watched", || gateway.discovery.count_calls("watch") == 1);
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", new.addr, "up", 1)]));
    wait_until("the old connection is dropped", || old.seen.lock().unwrap().ended == [0]);
    assert_eq!(outcome(&client.query(&select("a2", "look", 1900))), Ok("a2".to_string()));
    assert_eq!((old.queries().len(), new.queries().len()), (1, 1));
}

const ODD_HEALTH: &str =
    "{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"a\",\"dial\":\"1.2.3.4:5\",\"health\":\"odd\"}]}\n";

#[rstest]
#[case::unavailable(HttpReply::Close(response(503, "")))]
#[case::broken_json(HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("{\"seq\":7,\n"))))]
#[case::unknown_health(HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk(ODD_HEALTH))))]
#[case::no_http(HttpReply::KeepOpen("220 ready\r\n\r\n".to_string()))]
#[case::cut_off(HttpReply::Close(format!("{STREAM_HEAD}5\r\nab")))]
#[case::silent(HttpReply::Nothing)]
fn a_call_for_the_list_that_fails_is_told_and_made_again_while_txns_are_served(#[case] says: HttpReply) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    gateway.discovery.set_reply(move |_| says.clone());
    gateway.discovery.close_streams();
    wait_until("it is asked again and again", || {
        gateway.discovery.count_calls("watch") >= 3 && gateway.counter("list_failures") >= 2
    });
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 900))), Ok("a1".to_string()));
}

#[test]
fn a_watch_without_a_sign_of_life_is_ended() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    wait_until("silence is noticed", || {
        gateway.logged("no sign of life") && gateway.discovery.count_calls("watch") >= 2
    });
}

#[test]
fn a_lost_feed_is_opened_again_and_a_spoilt_line_ends_it() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    wait_until("the feed is open", || gateway.platform.count_calls("GET /v1/feed") == 1);
    let sample = json!({"version": 1, "kind": "look", "requests": 57, "failures": 2, "avgMs": 18.5});
    let sample = json!({"type": "SAMPLE", "object": sample});
    gateway.platform.write(&chunk(&format!("{{}}\n{sample}\n{{nonsense\n{sample}\n")));
    wait_until("it is open again", || gateway.platform.count_calls("GET /v1/feed") == 2);
    // What stands behind the spoilt line is not taken over.
    assert_eq!(gateway.counter("tallies_told"), 1);
    gateway.platform.close_streams();
    wait_until("it is open again", || gateway.platform.count_calls("GET /v1/feed") == 3);
}

#[rstest]
#[case::counts(HttpReply::KeepOpen(response(200, &rollout_state(2, 1, "IN_PROGRESS", 1.0).to_string())), "votes_counted")]
#[case::busy(HttpReply::KeepOpen(response(429, r#"{"error":"BUSY"}"#)), "votes_not_counted")]
#[case::stale(HttpReply::KeepOpen(response(409, r#"{"error":"STALE"}"#)), "votes_not_counted")]
#[case::failed(HttpReply::KeepOpen(response(500, r#"{"error":"FAILED"}"#)), "votes_not_counted")]
#[case::syntax(HttpReply::KeepOpen(response(400, r#"{"error":"SYNTAX"}"#)), "votes_not_counted")]
#[case::cut_off(HttpReply::Close("HTTP/1.1 200 OK\r\nContent-Le".to_string()), "votes_unsure")]
#[case::unreadable(HttpReply::KeepOpen(response(200, "{}")), "votes_unsure")]
#[case::noise_behind(HttpReply::KeepOpen(response(200, &(rollout_state(2, 1, "IN_PROGRESS", 1.0).to_string() + "x"))), "votes_unsure")]
#[case::words_cut_off(HttpReply::KeepOpen(response(429, "{\"error\":\"BU")), "votes_unsure")]
#[case::other_words(HttpReply::KeepOpen(response(409, "{\"error\":\"BUSY\"}")), "votes_unsure")]
#[case::silent(HttpReply::Nothing, "votes_unsure")]
fn each_way_a_vote_ends_is_told_as_what_it_is(#[case] says: HttpReply, #[case] counter: &str) {
    let (earlier, trial) =
        (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let platform = start_feed(&rollout_state(2, 0, "IN_PROGRESS", 0.5), move |_| says.clone());
    let gateway = Gateway::start_with_platform(&[&earlier, &trial], platform, |config| {
        config["known"]["hosts"][1]["release"] = json!(2);
        config["pipeline"]["news"] = rollout_state(2, 0, "IN_PROGRESS", 0.5);
    });
    wait_until("it is voted on", || gateway.platform.count_calls("POST /v1/ballots") > 0);
    wait_until("its end is told", || gateway.counter(counter) >= 1);
    let calls = gateway.platform.calls.lock().unwrap().clone();
    let body = &calls.iter().find(|call| call.request_line.contains("ballots")).unwrap().body;
    let vote: Value = serde_json::from_str(body).unwrap();
    assert_eq!(vote, json!({"version": 2, "step": 0, "vote": "approve"}));
    let others =
        ["votes_counted", "votes_not_counted", "votes_unsure"].into_iter().filter(|other| *other != counter);
    let others: Vec<(&str, u64)> = others.map(|other| (other, gateway.counter(other))).collect();
    assert!(others.iter().all(|(_, figure)| *figure == 0), "{others:?}");
}

#[test]
fn what_was_taken_before_a_stop_is_answered_and_the_exit_is_clean() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(300));
    let mut gateway = Gateway::start(&[&server]);
    let (mut busy, mut idle) = (gateway.client(), gateway.client());
    assert_eq!(outcome(&idle.query(&select("a0", "look", 1900))), Ok("a0".to_string()));
    busy.send(&query(&select("a1", "look", 1900)));
    wait_until("it is taken", || server.queries().len() == 2);
    gateway.signal("TERM");
    assert_eq!(idle.0.read(&mut [0]).unwrap(), 0);
    // The front hands out connections for a while yet.
    let mut late = gateway.client();
    assert_eq!(outcome(&late.query(&select("b1", "look", 1900))), Ok("b1".to_string()));
    assert_eq!(outcome(&busy.read_response()), Ok("a1".to_string()));
    assert_eq!(busy.0.read(&mut [0]).unwrap(), 0);
    assert_eq!(gateway.wait_for_exit(), Some(0));
    assert!(gateway.logged(" settled=3 "));
}

#[test]
fn after_a_kill_it_starts_again_at_its_address_from_what_is_known() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut first = Gateway::start(&[&server]);
    let addr = first.addr;
    let mut client = first.client();
    client.query(&select("a1", "look", 900));
    first.signal("KILL");
    first.wait_for_exit();
    let second = Gateway::start_with(&[&server], |config| config["listen"] = json!(addr.to_string()));
    assert_eq!(outcome(&second.client().query(&select("a2", "look", 900))), Ok("a2".to_string()));
}

#[test]
fn a_log_that_nobody_reads_stalls_nothing() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    wait_until("the feed is open", || gateway.platform.count_calls("GET /v1/feed") == 1);
    gateway.log_paused.store(true, SeqCst);
    // More than the pipe holds.
    for _ in 0..300 {
        gateway.signal("USR1");
        thread::sleep(Duration::from_millis(1));
    }
    let mut client = gateway.client();
    for n in 0..20 {
        assert_eq!(outcome(&client.query(&select(&format!("a{n}"), "look", 900))), Ok(format!("a{n}")));
    }
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
    gateway.log_paused.store(false, SeqCst);
}

#[test]
fn of_two_states_that_cross_the_later_one_stands() {
    let (earlier, trial) =
        (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    // The feed tells of stage 1; the answer to a vote comes after it and was written before it.
    let mut old = rollout_state(2, 0, "IN_PROGRESS", 0.5);
    old["observedAgoMs"] = json!(60_000);
    let platform = start_feed(&rollout_state(2, 1, "IN_PROGRESS", 1.0), move |_| {
        HttpReply::KeepOpen(response(200, &old.to_string()))
    });
    let gateway = Gateway::start_with_platform(&[&earlier, &trial], platform, |config| {
        config["known"]["hosts"][1]["release"] = json!(2);
        config["pipeline"]["news"] = rollout_state(2, 1, "IN_PROGRESS", 1.0);
        config["settings"]["domain"]["vote-ttl-s"] = json!(1.0);
    });
    let mut client = gateway.client();
    let mut n = 0;
    wait_until("it is voted on twice", || {
        n += 1;
        client.query(&select(&format!("a{n}"), "look", 900));
        gateway.counter("votes_counted") >= 2
    });
    let calls = gateway.platform.calls.lock().unwrap().clone();
    let votes = calls.iter().filter(|call| call.request_line.contains("ballots"));
    assert!(votes.map(|call| &call.body).all(|body| body.contains("\"step\":1")), "{calls:?}");
}

#[test]
fn what_waits_for_a_connection_is_decided_anew_when_the_list_changes() {
    let (stuck, good) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 15_000)));
    wait_until("a connection is waited for", || stuck.seen.lock().unwrap().connections == 1);
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", good.addr, "up", 1)]));
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    assert_eq!(gateway.counter("sub_not_sent"), 1);
}

#[test]
fn what_waits_for_a_connection_is_decided_anew_when_the_platform_tells_of_a_change() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 15_000)));
    wait_until("a connection is waited for", || stuck.seen.lock().unwrap().connections == 1);
    let told = json!({"type": "ROLLOUT", "object": rollout_state(2, 0, "IN_PROGRESS", 0.1)});
    gateway.platform.send_line(&told);
    wait_until("it is sent anew", || stuck.seen.lock().unwrap().connections == 2);
    stuck.set_behavior(ServerBehavior::Succeed);
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
}

#[test]
fn a_connection_that_comes_up_with_news_of_its_server_carries_nothing() {
    let (stuck, good) =
        (FakeServer::start(ServerBehavior::NeverHandshake), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 15_000)));
    wait_until("a connection is waited for", || stuck.seen.lock().unwrap().connections == 1);
    gateway.signal("STOP");
    stuck.set_behavior(ServerBehavior::Succeed);
    thread::sleep(Duration::from_millis(100));
    gateway.discovery.send_line(&endpoint_list(9, true, &[host("s0", good.addr, "up", 1)]));
    gateway.signal("CONT");
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    assert_eq!((stuck.queries().len(), good.queries().len()), (0, 1));
}

#[test]
fn what_waits_for_a_connection_takes_one_that_is_ready_again() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let (mut one, mut two) = (gateway.client(), gateway.client());
    assert_eq!(outcome(&one.query(&select("a1", "look", 15_000))), Ok("a1".to_string()));
    server.set_behavior(ServerBehavior::SucceedAfter(150));
    one.send(&query(&insert("a2", "pay", 15_000)));
    wait_until("it is asked", || server.queries().len() == 2);
    server.set_behavior(ServerBehavior::NeverHandshake);
    two.send(&query(&insert("a3", "pay", 15_000)));
    assert_eq!(outcome(&one.read_response()), Ok("a2".to_string()));
    assert_eq!(outcome(&two.read_response()), Ok("a3".to_string()));
}

#[test]
fn after_standing_still_all_that_came_is_heard_before_anything_is_sent() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let mut clients: Vec<Client> = (0..80).map(|_| gateway.client()).collect();
    gateway.signal("STOP");
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(n, client)| client.send(&query(&select(&format!("a{n}"), "look", 1900))));
    let changes = [host("s0", old.addr, "draining", 1), host("s1", new.addr, "up", 1)];
    gateway.discovery.send_line(&endpoint_list(6, false, &changes));
    thread::sleep(Duration::from_millis(200));
    gateway.signal("CONT");
    clients.iter_mut().for_each(|client| assert_eq!(client.read_response().last().unwrap().kind, b'Z'));
    assert!(old.queries().is_empty() && !new.queries().is_empty());
}

#[rstest]
#[case::class("/settings/classes/0/aim-s", json!("soon"), "classes[0].aim-s")]
#[case::effect("/settings/classes/1/effect", json!("sometimes"), "classes[1].effect")]
#[case::unit("/settings/permissions", json!({"dial-timeout-ms": 2}), "dial-timeout-ms: unknown unit")]
#[case::missing("/settings/domain", json!({}), "domain")]
#[case::listen("/listen", json!("nowhere"), "listen")]
#[case::discovery("/discovery", json!(7), "discovery")]
#[case::no_sockets("/limits/sockets", json!(0), "limits.sockets")]
#[case::no_memory("/limits/memory_mb", json!(0), "limits.memory_mb")]
#[case::platform("/pipeline/address", json!("x"), "pipeline.address")]
#[case::news("/pipeline/news/status", json!("ODD"), "pipeline.news: status")]
#[case::known("/known/hosts/0/dial", json!("x"), "known: hosts[0].dial")]
#[case::seed("/seed", json!("xyz"), "seed")]
fn a_faulty_key_ends_the_start_with_one_line_that_names_it(
    #[case] at: &str, #[case] value: Value, #[case] named: &str,
) {
    let nobody = "127.0.0.1:9".parse().unwrap();
    let mut faulty = gateway_config(&[host("s0", nobody, "up", 1)], nobody, nobody);
    *faulty.pointer_mut(at).unwrap() = value;
    ends_with(&faulty.to_string(), named);
}

fn ends_with(config: &str, named: &str) {
    let process = spawn_gateway(config);
    let (mut child, log) = (process.child, process.log);
    assert_eq!(child.wait().unwrap().code(), Some(1));
    wait_until("it says why", || !log.lock().unwrap().is_empty());
    let lines = log.lock().unwrap().clone();
    assert!(lines.len() == 1 && lines[0].contains(named), "{lines:?}");
}

#[test]
fn without_its_variable_or_its_file_it_ends_with_one_line() {
    for (path, said) in
        [(None, "BALANCER_CONFIG: not set"), (Some("/nowhere/at/all"), "BALANCER_CONFIG: /nowhere/at/all")]
    {
        let mut command = std::process::Command::new(program());
        let out = command.env_clear().envs(path.map(|path| ("BALANCER_CONFIG", path))).output().unwrap();
        let lines = String::from_utf8(out.stderr).unwrap();
        assert_eq!((out.status.code(), lines.lines().count()), (Some(1), 1));
        assert!(lines.contains(said), "{lines}");
    }
}

#[test]
fn counters_are_logged_unasked_where_wanted() {
    let nobody = "127.0.0.1:9".parse().unwrap();
    let path = std::env::temp_dir().join(format!("latchhaven-counted-{}.json", std::process::id()));
    std::fs::write(&path, gateway_config(&[], nobody, nobody).to_string()).unwrap();
    let start = |every: &str| {
        let mut command = std::process::Command::new(program());
        command.args(["--counters-every", every]).env_clear().env("BALANCER_CONFIG", &path);
        command.stderr(std::process::Stdio::piped()).spawn().unwrap()
    };
    let mut counted = start("1");
    let log = read_log(&mut counted).log;
    let lines = || log.lock().unwrap().iter().filter(|line| line.contains("counters: txns=0")).count();
    wait_until("they are logged again and again", || lines() >= 2);
    counted.kill().unwrap();
    assert_eq!(start("0").wait().unwrap().code(), Some(2));
}

#[test]
fn a_file_that_is_no_json_ends_the_start_and_unknown_keys_do_not() {
    ends_with("{\"name\": ", "BALANCER_CONFIG");
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| {
        config["colour"] = json!("green");
        config["settings"]["domain"]["mood"] = json!([1]);
    });
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 900))), Ok("a1".to_string()));
}

#[test]
fn a_half_closed_client_is_gone() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 60_000)));
    client.0.shutdown(Shutdown::Write).unwrap();
    wait_until("it is gone", || gateway.counter("clients_gone") == 1);
}

#[test]
fn a_new_configuration_moves_the_list_the_feed_and_votes_and_nothing_else() {
    let (earlier, trial) =
        (FakeServer::start(ServerBehavior::SucceedAfter(300)), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&earlier], |_| ());
    wait_until("the feed is open", || gateway.platform.count_calls("GET /v1/feed") == 1);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 1900)));
    wait_until("it is asked", || earlier.queries().len() == 1);
    let new_list = FakeHttpService::start(|_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("\n"))));
    let new = start_feed(&rollout_state(1, 0, "COMPLETE", 1.0), |_| HttpReply::Nothing);
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new_list.addr.to_string());
    config["pipeline"]["address"] = json!(new.addr.to_string());
    gateway.reconfigure(&config.to_string());
    wait_until("both are called", || {
        new_list.count_calls("watch=1&after=5 ") == 1 && new.count_calls("GET /v1/feed") == 1
    });
    assert_eq!(outcome(&client.read_response()), Ok("a1".to_string()));
    // The earlier ones are let go once the new ones tell, and are not called again; more signals harm
    // nothing.
    wait_until("the earlier watch is let go", || gateway.discovery.all_streams_closed());
    wait_until("the earlier feed is let go", || gateway.platform.all_streams_closed());
    (0..3).for_each(|_| gateway.signal("HUP"));
    wait_until("it is read again", || gateway.count_logged("configuration read anew") >= 2);
    new_list.send_line(&endpoint_list(9, false, &[host("s1", trial.addr, "up", 2)]));
    new.send_line(&json!({"type": "ROLLOUT", "object": rollout_state(2, 0, "IN_PROGRESS", 0.5)}));
    wait_until("votes go to the new address", || new.count_calls("POST /v1/ballots") > 0);
    assert_eq!((new_list.count_calls("watch"), new.count_calls("GET /v1/feed")), (1, 1));
    assert_eq!((gateway.discovery.count_calls("watch"), gateway.platform.count_calls("")), (1, 1));
    assert_eq!((earlier.seen.lock().unwrap().connections, gateway.counter("feed_lost")), (1, 0));
}

#[test]
fn a_watch_that_is_being_asked_for_again_is_asked_for_at_the_new_address_at_once() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    gateway.discovery.set_reply(|_| HttpReply::Nothing);
    gateway.discovery.close_streams();
    wait_until("it is asked again", || gateway.discovery.count_calls("watch") == 2);
    let new = FakeHttpService::start(|_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk("\n"))));
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new.addr.to_string());
    gateway.reconfigure(&config.to_string());
    wait_until("it is asked there", || new.count_calls("watch") == 1);
    // The earlier call comes to its end without a word: this is no failure of the new one.
    let failures = gateway.counter("list_failures");
    gateway.discovery.close_streams();
    thread::sleep(Duration::from_millis(300));
    assert_eq!((gateway.counter("list_failures"), new.count_calls("watch")), (failures, 1));
}

#[rstest]
#[case::half_written("{\"name\": \"n0\", \"lis", "BALANCER_CONFIG")]
#[case::wrong("{\"discovery\": \"nowhere\", \"name\": \"n0\", \"listen\": \"127.0.0.1:0\"}", "discovery")]
fn an_unfit_new_configuration_changes_nothing_and_says_why(#[case] text: &str, #[case] named: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start_watching(&[&server], |_| ());
    gateway.reconfigure(text);
    wait_until("it says why", || gateway.logged("configuration unfit") && gateway.logged(named));
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 900))), Ok("a1".to_string()));
    assert_eq!((gateway.discovery.count_calls("watch"), gateway.platform.count_calls("feed")), (1, 1));
    // While it stops a signal more changes nothing either.
    server.set_behavior(ServerBehavior::SucceedAfter(400));
    let mut busy = gateway.client();
    busy.send(&query(&select("a2", "look", 1900)));
    wait_until("it is asked", || server.queries().len() == 2);
    gateway.signal("TERM");
    gateway.signal("HUP");
    assert_eq!(outcome(&busy.read_response()), Ok("a2".to_string()));
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_line_that_never_ends_is_no_sign_of_life() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    wait_until("the feed is open", || gateway.platform.count_calls("GET /v1/feed") == 1);
    wait_until("both are opened anew", || {
        gateway.platform.write(&chunk("x"));
        gateway.discovery.write(&chunk("x"));
        thread::sleep(Duration::from_millis(100));
        gateway.platform.count_calls("GET /v1/feed") >= 2 && gateway.discovery.count_calls("watch") >= 2
    });
}

#[test]
fn many_lives_leave_nothing_behind() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], |_| ());
    for n in 0..300 {
        let id = format!("life{n}");
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
    wait_until("all are told", || gateway.counter("list_changes") >= 600);
    wait_until("all is over", || {
        gateway.counter("now_client_connections") == 0 && gateway.counter("now_timers") < 5
    });
    assert_eq!((gateway.counter("now_txns"), gateway.counter("now_servers")), (0, 1));
    assert!(gateway.counter("now_server_connections") <= 1);
}
