//! Stories of how things end, over loopback: each brings about the one order of events in which an ending
//! could go wrong, by holding sockets and signals, and bounds no wait by hope.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD, chunk};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::{Gateway, spawn_gateway, use_long_timeouts};
use latchhaven_test_support::platform_messages::{endpoint_list, host};
use latchhaven_test_support::postgres::{Client, SqlState, insert, outcome, query, select, startup};
use latchhaven_test_support::process::wait_for_address;
use latchhaven_test_support::wait::{MAX_WAIT, wait_until};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// All that comes until the connection ends; an error where it is reset.
fn to_the_end(client: &mut Client) -> std::io::Result<Vec<u8>> {
    let mut all = Vec::new();
    client.0.read_to_end(&mut all).map(|_| all)
}

fn holds(all: &[u8], part: &str) -> bool {
    all.windows(part.len()).any(|window| window == part.as_bytes())
}

/// Asks until one is served: after one that went unserved some are declined.
fn served(gateway: &Gateway) {
    let mut n = 0;
    wait_until("one is served", || {
        n += 1;
        outcome(&gateway.client().query(&select(&format!("b{n}"), "look", 15_000))) == Ok(format!("b{n}"))
    });
}

/// Waits until a process has been stopped by a signal.
fn stand_still(gateway: &Gateway) {
    gateway.signal("STOP");
    let stat = format!("/proc/{}/stat", gateway.pid());
    wait_until("it stands still", || std::fs::read_to_string(&stat).unwrap().contains(") T "));
}

#[rstest]
#[case::a_broken_stream(b"!".to_vec(), "08P01")]
#[case::fault_after_fault(query("SELECT 1").repeat(8), "FATAL")]
fn an_error_arrives_though_more_came_behind_what_it_is_about(#[case] bad: Vec<u8>, #[case] told: &str) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    // More than one read takes is there when the gateway looks: closed over the rest, the connection is
    // reset.
    stand_still(&gateway);
    client.send(&[bad, vec![b'Q'; 100_000]].concat());
    gateway.signal("CONT");
    let all = to_the_end(&mut client).expect("an end, and no reset");
    assert!(holds(&all, told), "{}", String::from_utf8_lossy(&all));
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 1900))), Ok("a1".to_string()));
}

#[test]
fn one_that_is_turned_away_is_told_so_though_it_sends_on() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let gateway = Gateway::start_with(&[&server], |config| {
        use_long_timeouts(config);
        config["limits"]["sockets"] = json!(64);
    });
    let mut busy: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
    let asks =
        |(n, client): (usize, &mut Client)| client.send(&query(&select(&format!("a{n}"), "look", 15_000)));
    busy.iter_mut().enumerate().for_each(asks);
    wait_until("all are taken", || gateway.counter("txns") == 8);
    let mut more = Client::connect(gateway.addr);
    stand_still(&gateway);
    more.send(&[startup(), vec![b'Q'; 100_000]].concat());
    gateway.signal("CONT");
    assert!(holds(&to_the_end(&mut more).expect("an end, and no reset"), "53300"));
}

#[test]
fn whoever_makes_room_unasked_is_told_to_come_again() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], |config| config["limits"]["sockets"] = json!(64));
    let mut quiet = gateway.client();
    let mut others: Vec<Client> = (0..8).map(|_| Client::connect(gateway.addr)).collect();
    wait_until("somebody makes room", || {
        others.push(Client::connect(gateway.addr));
        gateway.counter("clients_let_go") > 0
    });
    assert!(holds(&to_the_end(&mut quiet).expect("an end, and no reset"), "53300"));
}

#[test]
fn one_that_has_just_come_is_answered_though_all_stops() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    // It was accepted and greeted, and asks nothing before the signal is heeded.
    let mut new = gateway.client();
    gateway.signal("TERM");
    wait_until("it stops", || gateway.logged("gateway stops"));
    new.send(&query(&select("a1", "look", 1900)));
    assert_eq!(outcome(&new.read_response()), Ok("a1".to_string()));
    assert_eq!(to_the_end(&mut new).expect("an end, and no reset"), b"");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn one_that_says_nothing_holds_up_no_stop_and_is_told_to_come_again() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let (mut greeted, mut silent) = (gateway.client(), Client::connect(gateway.addr));
    gateway.signal("TERM");
    for client in [&mut greeted, &mut silent] {
        assert!(holds(&to_the_end(client).expect("an end, and no reset"), "53300"));
    }
    drop((greeted, silent));
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn what_is_behind_the_txn_in_flight_is_answered_in_order_before_all_stops() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    let mut client = gateway.client();
    client.query(&select("a0", "look", 1900));
    server.set_behavior(ServerBehavior::SucceedAfter(300));
    let texts: Vec<Vec<u8>> = (1..4).map(|n| query(&select(&format!("a{n}"), "look", 1900))).collect();
    let all = texts.concat();
    let (most, rest) = all.split_at(all.len() - 10);
    client.send(most);
    wait_until("the first is out", || server.queries().len() == 2);
    gateway.signal("TERM");
    wait_until("it stops", || gateway.logged("gateway stops"));
    // The last one is half there; its rest comes when the two before it are answered.
    for n in 1..3 {
        assert_eq!(outcome(&client.read_response()), Ok(format!("a{n}")));
    }
    client.send(rest);
    assert_eq!(outcome(&client.read_response()), Ok("a3".to_string()));
    assert_eq!(to_the_end(&mut client).expect("an end, and no reset"), b"");
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_pipeline_without_end_holds_up_no_stop_and_what_is_answered_of_it_is_whole() {
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
    // Up to the end each is answered, in order and whole; behind the last one there is nothing.
    loop {
        let answer = client.read_response();
        if answer.is_empty() {
            break;
        }
        answered += 1;
        assert!(since.elapsed() < MAX_WAIT, "it never ends");
        assert!(answer.last().is_some_and(|message| message.kind == b'Z'), "{answer:?}");
        assert!(outcome(&answer).is_ok_and(|id| id == format!("a{answered}")) || outcome(&answer).is_err());
    }
    drop(client);
    assert_eq!(gateway.wait_for_exit(), Some(0));
    sending.join().unwrap();
}

#[test]
fn the_time_of_a_txn_runs_while_it_waits_behind_another() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(600));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut client = gateway.client();
    let texts = [select("a1", "look", 20_000), select("a2", "look", 20_000), select("a3", "pay", 900)];
    client.send(&texts.map(|text| query(&text)).concat());
    for n in 1..3 {
        assert_eq!(outcome(&client.read_response()), Ok(format!("a{n}")));
    }
    // The time of the third was over before its turn: it is declined, and no server hears of it.
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    let sent = server.queries();
    assert_eq!(sent.len(), 2, "{sent:?}");
    let wait = sent[1].text.split(",d=").nth(1).unwrap().split(' ').next().unwrap().parse::<u32>().unwrap();
    assert!(wait <= 19_400, "the second waited 600 ms for its turn: {wait}");
}

#[test]
fn what_waited_unread_has_its_time_from_its_first_byte() {
    let server = FakeServer::start(ServerBehavior::SucceedAfter(600));
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut client = gateway.client();
    // More is there than is read behind an open txn; the last one is read when the first is answered.
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
fn what_the_machine_has_accepted_when_accepting_ends_is_answered() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut gateway = Gateway::start(&[&server]);
    gateway.signal("TERM");
    wait_until("it stops", || gateway.logged("gateway stops"));
    // It stands still until its time to accept is over: these are there when it looks for the last time.
    stand_still(&gateway);
    let mut late: Vec<Client> = (0..3).map(|_| Client::connect(gateway.addr)).collect();
    for (n, client) in late.iter_mut().enumerate() {
        client.send(&[startup(), query(&select(&format!("a{n}"), "look", 1900))].concat());
    }
    thread::sleep(Duration::from_millis(600));
    gateway.signal("CONT");
    // Read later than 0.6 s after the signal they are declined; before that time they would be served.
    for client in &mut late {
        client.read_response();
        assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    }
    drop(late);
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn what_waits_behind_another_before_the_process_is_killed_is_answered() {
    let server = FakeServer::start(ServerBehavior::NeverRespond);
    let mut gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let (mut client, mut alone) = (gateway.client(), gateway.client());
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until("it is out", || server.queries().len() == 1);
    gateway.signal("TERM");
    wait_until("it stops", || gateway.logged("gateway stops"));
    let since = Instant::now();
    wait_until("it comes late", || since.elapsed() > Duration::from_millis(650));
    client.send(&query(&select("a2", "look", 60_000)));
    // The first may have run, and is given up so that the second gets its answer; the second never was sent
    // on.
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("XX000")));
    assert_eq!(outcome(&client.read_response()), Err(SqlState::from("53300")));
    assert_eq!(to_the_end(&mut client).expect("an end, and no reset"), b"");
    assert!(holds(&to_the_end(&mut alone).unwrap(), "53300"));
    assert_eq!((gateway.wait_for_exit(), server.queries().len()), (Some(0), 1));
}

#[test]
fn a_client_that_reads_nothing_holds_up_no_stop() {
    let server = FakeServer::start(ServerBehavior::LargeValue(400_000));
    let mut gateway = Gateway::start(&[&server]);
    let mut lazy = gateway.client();
    lazy.send(&query(&select("a1", "look", 1900)).repeat(40));
    wait_until("nothing more is taken", || {
        let before = server.queries().len();
        thread::sleep(Duration::from_millis(300));
        before > 0 && server.queries().len() == before
    });
    gateway.signal("TERM");
    assert_eq!(gateway.wait_for_exit(), Some(0));
}

#[test]
fn a_client_that_goes_behind_more_than_is_read_ahead_is_noticed() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    // Several queries, more than is read while one is open; then its end.
    let texts: Vec<Vec<u8>> = (0..1000).map(|n| query(&select(&format!("a{n}"), "look", 60_000))).collect();
    client.send(&texts.concat());
    wait_until("a connection is waited for", || stuck.seen.lock().unwrap().connections == 1);
    drop(client);
    wait_until("it is gone", || gateway.counter("clients_gone") == 1);
    assert_eq!((gateway.counter("txns"), gateway.counter("now_txns")), (1, 0));
    wait_until("its submission is taken back", || gateway.counter("sub_not_sent") == 1);
    stuck.set_behavior(ServerBehavior::Succeed);
    served(&gateway);
    assert!(stuck.queries().iter().all(|query| query.text.contains("id=b")));
}

#[rstest]
#[case::recalls_are_allowed(true)]
#[case::recalls_are_not(false)]
fn nothing_is_sent_for_a_client_that_went_while_a_connection_was_opened(#[case] cancelling: bool) {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], |config| {
        use_long_timeouts(config);
        config["settings"]["permissions"]["cancelling"] = json!(cancelling);
    });
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "pay", 60_000)));
    wait_until("a connection is waited for", || stuck.seen.lock().unwrap().connections == 1);
    drop(client);
    wait_until("it is gone", || gateway.counter("clients_gone") == 1);
    wait_until("it is taken back", || gateway.counter("sub_not_sent") == 1);
    stuck.set_behavior(ServerBehavior::Succeed);
    // The connection that it waited for serves others.
    served(&gateway);
    assert!(stuck.queries().iter().all(|query| query.text.contains("id=b")));
    assert_eq!(gateway.counter("broken_assertions"), 0);
}

#[test]
fn a_repeat_that_waits_past_its_window_is_never_written() {
    let server = FakeServer::start(ServerBehavior::ResetForGood);
    let gateway = Gateway::start_with(&[&server], |config| {
        use_long_timeouts(config);
        config["settings"]["classes"][1]["dedup-window-s"] = json!(0.7);
    });
    let mut client = gateway.client();
    client.send(&query(&insert("a1", "book", 20_000)));
    wait_until("it may have run", || server.queries().len() == 1);
    let since = Instant::now();
    wait_until("its repeat waits for a connection", || server.seen.lock().unwrap().connections >= 2);
    wait_until("the window is over", || since.elapsed() > Duration::from_millis(700));
    server.set_behavior(ServerBehavior::Succeed);
    // Whatever its own answer is: it has not gone out again, while what may be sent is.
    let answer = outcome(&client.read_response());
    assert!(answer.is_err(), "{answer:?}");
    served(&gateway);
    let sent = server.queries();
    assert_eq!(sent.iter().filter(|query| query.text.contains("id=a1")).count(), 1, "{sent:?}");
}

/// A list that answers a call for it only when it is let.
fn held_back(answer: String) -> (FakeHttpService, mpsc::Sender<()>) {
    let (let_go, waits) = mpsc::channel();
    let waits = Mutex::new(waits);
    let list = FakeHttpService::start(move |_| {
        let _ = waits.lock().unwrap().recv();
        HttpReply::KeepOpen(answer.clone())
    });
    (list, let_go)
}

fn line(value: &Value) -> String {
    chunk(&format!("{value}\n"))
}

fn move_list(gateway: &Gateway, to: &FakeHttpService) {
    let mut config = gateway.config.clone();
    config["discovery"] = json!(to.addr.to_string());
    gateway.reconfigure(&config.to_string());
}

#[test]
fn a_list_asked_for_before_a_newer_one_was_told_does_not_replace_it() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let earlier = endpoint_list(6, true, &[host("s0", old.addr, "up", 1)]);
    let (late, let_go) = held_back(format!("{STREAM_HEAD}{}", line(&earlier)));
    move_list(&gateway, &late);
    wait_until("it is asked there", || late.received_calls() == 1);
    gateway.discovery.send_line(&endpoint_list(7, true, &[host("s1", new.addr, "up", 1)]));
    wait_until("the newer one is told", || gateway.counter("list_changes") == 2);
    let_go.send(()).unwrap();
    wait_until("the older one has come", || gateway.logged("not newer than the one held"));
    for n in 0..4 {
        assert_eq!(
            outcome(&gateway.client().query(&select(&format!("a{n}"), "look", 1900))),
            Ok(format!("a{n}"))
        );
    }
    assert_eq!((old.queries().len(), new.queries().len()), (0, 4));
    // It is asked for anew, from the version held.
    drop(let_go);
    wait_until("it is asked anew", || late.count_calls("after=7 ") > 0);
}

#[test]
fn a_list_whose_count_begins_anew_is_taken_over() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let anew = endpoint_list(2, true, &[host("s1", new.addr, "up", 1)]);
    gateway.discovery.set_reply(move |_| HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", line(&anew))));
    gateway.discovery.close_streams();
    wait_until("it is taken over", || gateway.counter("list_changes") == 2);
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 1900))), Ok("a1".to_string()));
    assert_eq!((old.queries().len(), new.queries().len()), (0, 1));
    // Changes to it are counted from there.
    gateway.discovery.send_line(&endpoint_list(
        3,
        false,
        &[host("s1", new.addr, "draining", 1), host("s0", old.addr, "up", 1)],
    ));
    wait_until("the change is told", || gateway.counter("list_changes") == 3);
    assert_eq!(outcome(&gateway.client().query(&select("a2", "look", 1900))), Ok("a2".to_string()));
    assert_eq!((old.queries().len(), new.queries().len()), (1, 1));
}

#[test]
fn changes_to_a_list_that_was_never_held_are_not_taken_over() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let whole = endpoint_list(2, true, &[host("s1", new.addr, "up", 1)]);
    gateway.discovery.set_reply(move |call| match call.contains("after=0 ") {
        true => HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", line(&whole))),
        false => HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", line(&endpoint_list(1, false, &[])))),
    });
    gateway.discovery.close_streams();
    wait_until("the whole one is told", || gateway.counter("list_changes") == 2);
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 1900))), Ok("a1".to_string()));
    assert_eq!((old.queries().len(), new.queries().len()), (0, 1));
}

#[test]
fn moved_twice_the_watch_that_tells_goes_on_until_another_one_does() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    wait_until("it has told", || gateway.counter("list_changes") == 1);
    let mute: Vec<FakeHttpService> = (0..2).map(|_| FakeHttpService::start(|_| HttpReply::Nothing)).collect();
    for service in &mute {
        move_list(&gateway, service);
        wait_until("it is asked there", || service.count_calls("watch") == 1);
    }
    gateway.discovery.send_line(&endpoint_list(6, true, &[host("s1", new.addr, "up", 1)]));
    wait_until("the change is told", || gateway.counter("list_changes") == 2);
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 1900))), Ok("a1".to_string()));
    assert_eq!((old.queries().len(), new.queries().len()), (0, 1));
}

#[test]
fn a_list_may_come_over_many_lines_and_a_cut_off_one_ends_the_watch() {
    let (old, new) = (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_watching(&[&old], |_| ());
    let change = endpoint_list(6, true, &[host("s1", new.addr, "up", 1)]);
    let text = format!("\n{}\n", serde_json::to_string_pretty(&change).unwrap());
    text.lines().for_each(|line| gateway.discovery.write(&chunk(&format!("{line}\r\n"))));
    wait_until("it is told", || gateway.counter("list_changes") == 2);
    assert_eq!(outcome(&gateway.client().query(&select("a1", "look", 1900))), Ok("a1".to_string()));
    assert_eq!((old.queries().len(), new.queries().len()), (0, 1));
    gateway.discovery.write(&chunk(&format!("{}\n{change}\n", &change.to_string()[..40])));
    wait_until("it is asked for anew", || gateway.discovery.count_calls("after=6 ") == 1);
}

#[test]
fn an_address_that_is_held_a_moment_longer_is_waited_for() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let mut first = Gateway::start(&[&server]);
    let mut config = first.config.clone();
    config["listen"] = json!(first.addr.to_string());
    let second = spawn_gateway(&config.to_string());
    let (mut second, log) = (second.child, second.log);
    // It has begun, and the address is not free yet.
    let begun = format!("/proc/{}/net/tcp", second.id());
    wait_until("it has begun", || std::path::Path::new(&begun).exists());
    thread::sleep(Duration::from_millis(100));
    assert!(second.try_wait().unwrap().is_none(), "{:?}", log.lock().unwrap());
    first.signal("KILL");
    first.wait_for_exit();
    let mut client = Client::connect(wait_for_address(&log));
    client.send(&startup());
    client.read_response();
    assert_eq!(outcome(&client.query(&select("a1", "look", 1900))), Ok("a1".to_string()));
    second.kill().unwrap();
    second.wait().unwrap();
}

#[test]
fn a_half_closed_client_behind_unread_bytes_is_gone() {
    let stuck = FakeServer::start(ServerBehavior::NeverHandshake);
    let gateway = Gateway::start_with(&[&stuck], use_long_timeouts);
    let mut client = gateway.client();
    client.send(&query(&select("a1", "look", 60_000)));
    wait_until("a connection is waited for", || stuck.seen.lock().unwrap().connections == 1);
    client.send(&vec![b'Q'; 100_000]);
    client.0.shutdown(Shutdown::Write).unwrap();
    wait_until("it is gone", || gateway.counter("clients_gone") == 1);
}

#[test]
fn what_is_kept_for_one_client_is_never_told_another() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let values: Arc<Vec<String>> = Arc::new(vec!["a".repeat(60), "b".repeat(60)]);
    // Two clients whose texts differ in every byte, interleaved over one connection to the server and back.
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
                    // What one sets is its own affair, and no server hears of it.
                    if n % 10 == who {
                        assert_eq!(
                            outcome(&client.query("SET application_name = 'x'")),
                            Err(SqlState::from("42601"))
                        );
                    }
                    let bytes = query(&text);
                    bytes.chunks(1 + n % 17).for_each(|piece| client.send(piece));
                    assert_eq!(outcome(&client.read_response()), Ok(id));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    assert!(server.queries().iter().all(|query| !query.text.contains("SET")));
}

/// Two clients ask in turn while somebody floods; each answer is in time, or the server would not have been
/// asked.
fn all_are_served(gateway: &Gateway) {
    let mut usual = [gateway.client(), gateway.client()];
    for n in 0..20 {
        let id = format!("u{n}");
        assert_eq!(outcome(&usual[n % 2].query(&select(&id, "look", 1900))), Ok(id));
    }
}

#[rstest]
#[case::syncs(b"S\0\0\0\x04".to_vec())]
#[case::empty_queries(query(""))]
fn a_client_that_never_stops_asking_holds_up_no_other(#[case] command: Vec<u8>) {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    // Many a command comes at once, and all answers are taken: it is always ready.
    let flood = gateway.client();
    let (mut sends, mut reads) = (flood.0.try_clone().unwrap(), flood.0.try_clone().unwrap());
    let many = command.repeat(100_000);
    let sending = thread::spawn(move || while std::io::Write::write_all(&mut sends, &many).is_ok() {});
    let reading = thread::spawn(move || {
        let mut piece = vec![0; 1 << 16];
        let mut all = 0;
        while let Ok(read @ 1..) = reads.read(&mut piece) {
            all += read;
        }
        all
    });
    all_are_served(&gateway);
    let _ = flood.0.shutdown(Shutdown::Both);
    sending.join().unwrap();
    assert!(reading.join().unwrap() > 0);
}

#[test]
fn a_server_that_never_stops_telling_holds_up_no_other() {
    let server = FakeServer::start(ServerBehavior::FloodParameters);
    let gateway = Gateway::start_with(&[&server], use_long_timeouts);
    let mut stuck = gateway.client();
    stuck.send(&query(&select("a1", "look", 60_000)));
    wait_until("it is asked", || server.queries().len() == 1);
    server.set_behavior(ServerBehavior::Succeed);
    all_are_served(&gateway);
}

#[test]
fn a_list_that_never_stops_telling_nothing_holds_up_no_client() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start_watching(&[&server], use_long_timeouts);
    let (list, stop) = (gateway.discovery.clone(), Arc::new(Mutex::new(false)));
    let stopped = stop.clone();
    let many = chunk(&" \r\n".repeat(20_000));
    let flood = thread::spawn(move || {
        while !*stopped.lock().unwrap() {
            list.write(&many)
        }
    });
    all_are_served(&gateway);
    *stop.lock().unwrap() = true;
    flood.join().unwrap();
    assert_eq!(gateway.counter("list_failures"), 0);
}
