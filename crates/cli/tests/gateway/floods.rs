//! Clients that send at full speed: those that share the gateway with them get their responses in time.

use crate::support::assert_others_are_served;
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::postgres::{message, query, select, startup};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

/// Connections that flood the gateway at the same time.
const FLOODING_CLIENTS: u64 = 6;
/// Messages of one write.
const MESSAGES_PER_WRITE: u64 = 5000;

/// Floods run one after another: together they would delay the tests that run beside them.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

/// What a flooding client sends; the argument numbers its writes.
type Flood = fn(u64) -> Vec<u8>;

fn empty_queries(_: u64) -> Vec<u8> {
    query("").repeat(MESSAGES_PER_WRITE as usize)
}

fn syncs(_: u64) -> Vec<u8> {
    message(b'S', b"").repeat(MESSAGES_PER_WRITE as usize)
}

/// The parser skips all but the first until a `Sync`.
fn extended_queries(_: u64) -> Vec<u8> {
    message(b'P', b"\0\0\0\0").repeat(MESSAGES_PER_WRITE as usize)
}

fn unknown_classes(number: u64) -> Vec<u8> {
    (0..MESSAGES_PER_WRITE)
        .flat_map(|index| query(&select(&format!("x{number}x{index}"), "none", 500)))
        .collect()
}

fn invalid_lengths(_: u64) -> Vec<u8> {
    [&[b'Q'][..], &62_914_572_u32.to_be_bytes(), &[b'x'; 50_000]].concat()
}

/// Valid requests, each with an id and a tenant of its own.
fn new_tenants(number: u64) -> Vec<u8> {
    let request = |index: u64| {
        let text = select(&format!("x{number}x{index}"), "look", 500);
        query(&text.replace("t=acme", &format!("t=x{number}x{index}")))
    };
    (0..100).flat_map(request).collect()
}

/// `SSLRequest`, to which the response is one byte; in place of a startup message.
fn encryption_requests(_: u64) -> Vec<u8> {
    [8_u32.to_be_bytes(), 80_877_103_u32.to_be_bytes()].concat().repeat(MESSAGES_PER_WRITE as usize)
}

/// Sends until `stop` is set, reads all responses, and connects again whenever the connection is closed.
fn flood(address: SocketAddr, flood: Flood, first_message: Vec<u8>, stop: Arc<AtomicBool>, first: u64) {
    let mut number = first;
    while !stop.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let mut responses = stream.try_clone().unwrap();
        let reading = thread::spawn(move || {
            let mut buffer = vec![0; 1 << 16];
            while matches!(responses.read(&mut buffer), Ok(1..)) {}
        });
        let mut is_open = stream.write_all(&first_message).is_ok();
        while is_open && !stop.load(SeqCst) {
            number += 1;
            is_open = stream.write_all(&flood(number)).is_ok();
        }
        let _ = stream.shutdown(Shutdown::Both);
        reading.join().unwrap();
    }
}

/// Clients that send at full speed until this value is dropped.
struct Flooding {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flooding {
    fn start(address: SocketAddr, sent: Flood, first_message: &[u8]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |client: u64| {
            let (first_message, stop) = (first_message.to_vec(), stop.clone());
            thread::spawn(move || flood(address, sent, first_message, stop, client << 32))
        };
        let clients = (0..FLOODING_CLIENTS).map(start).collect();
        Flooding { stop, clients }
    }
}

impl Drop for Flooding {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        self.clients.drain(..).for_each(|client| client.join().unwrap());
    }
}

/// Guards against requests that get no response in time while a few clients send at full speed.
#[rstest]
#[case::empty_queries(empty_queries, startup())]
#[case::syncs(syncs, startup())]
#[case::extended_queries(extended_queries, startup())]
#[case::unknown_classes(unknown_classes, startup())]
#[case::invalid_lengths(invalid_lengths, startup())]
#[case::new_tenants(new_tenants, startup())]
#[case::encryption_requests(encryption_requests, Vec::new())]
fn clients_at_full_speed_do_not_stop_others(#[case] sent: Flood, #[case] first_message: Vec<u8>) {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    let _flooding = Flooding::start(gateway.addr, sent, &first_message);
    assert_others_are_served(&gateway);
}
