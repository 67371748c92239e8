//! Clients: each uses one connection for as long as it is open, also while its gateway shuts down.

use latchhaven_test_support::history::{RequestEnd, RequestRecord};
use latchhaven_test_support::postgres::{insert, query, query_result, read_message, select, startup};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The range of request timeouts, in ms.
const TIMEOUTS: std::ops::Range<u32> = 300..2000;
/// The range of pauses between two requests of a client, in ms; shorter than the gateways' idle timeout.
const PAUSES: std::ops::Range<u64> = 5..120;
/// How long a client waits for an answer after the timeout of its request.
const EXTRA_WAIT: Duration = Duration::from_millis(1500);
/// The delay of a reconnect after a refused connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Connections of a connection flood.
const FLOOD_CONNECTIONS: usize = 120;
/// How long the idle connections of a connection flood stay open.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// The SQLSTATEs of a request that was definitely not executed.
const REJECTIONS: [&str; 2] = ["53300", "57P03"];

/// The inputs of a client thread.
#[derive(Clone)]
pub(super) struct ClientSetup {
    pub(super) gateway: usize,
    pub(super) address: SocketAddr,
    pub(super) started_at: Instant,
    pub(super) is_over: Arc<AtomicBool>,
    pub(super) records: mpsc::Sender<RequestRecord>,
}

/// Starts a client; `number` is part of the ids of its requests.
pub(super) fn start_client(setup: ClientSetup, number: usize, seed: u64) -> JoinHandle<()> {
    let rng = Pcg64Mcg::seed_from_u64(seed ^ ((number as u64) << 32));
    let mut client = Client { setup, number, rng, connection: None, requests: 0 };
    thread::spawn(move || {
        while !client.setup.is_over.load(SeqCst) {
            client.send_request();
            let pause = client.rng.random_range(PAUSES);
            thread::sleep(Duration::from_millis(pause));
        }
    })
}

/// Opens many connections concurrently; half of them send a query, the others stay idle.
pub(super) fn start_connection_flood(setup: &ClientSetup, number: usize) -> JoinHandle<()> {
    let setup = setup.clone();
    thread::spawn(move || {
        let connections: Vec<TcpStream> =
            (0..FLOOD_CONNECTIONS).filter_map(|_| TcpStream::connect(setup.address).ok()).collect();
        for (index, mut connection) in connections.iter().enumerate().filter(|(index, _)| index % 2 == 0) {
            let messages =
                [startup(), query(""), query(&select(&format!("{number:x}c{index:x}"), "look", 900))];
            let _ = connection.write_all(&messages.concat());
        }
        thread::sleep(FLOOD_DURATION);
    })
}

struct Client {
    setup: ClientSetup,
    number: usize,
    rng: Pcg64Mcg,
    connection: Option<TcpStream>,
    requests: usize,
}

impl Client {
    /// Sends one request and records its end.
    fn send_request(&mut self) {
        let Some(mut connection) = self.connection.take().or_else(|| self.connect()) else {
            return thread::sleep(RECONNECT_DELAY);
        };
        self.requests += 1;
        let id = format!("{:x}a{:x}", self.number, self.requests);
        let timeout = self.rng.random_range(TIMEOUTS);
        let class = ["look", "book", "pay"][self.rng.random_range(0..3)];
        let text = if class == "look" { select(&id, class, timeout) } else { insert(&id, class, timeout) };
        let timeout = Duration::from_millis(timeout.into());
        if connection.write_all(&query(&text)).is_err() {
            // The gateway closed the connection between requests: it did not read this one.
            return;
        }
        let sent_at = self.setup.started_at.elapsed();
        let _ = connection.set_read_timeout(Some(timeout + EXTRA_WAIT));
        let end = read_end(&mut connection, &id);
        let record = RequestRecord {
            id,
            gateway: self.setup.gateway,
            is_non_idempotent: class == "pay",
            sent_at,
            timeout,
            end,
            ended_at: self.setup.started_at.elapsed(),
        };
        let _ = self.setup.records.send(record);
        if matches!(end, RequestEnd::Served | RequestEnd::Rejected | RequestEnd::Failed) {
            self.connection = Some(connection);
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(self.setup.address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(EXTRA_WAIT)).ok()?;
        stream.write_all(&startup()).ok()?;
        loop {
            match read_message(&mut stream)?.kind {
                b'Z' => return Some(stream),
                b'E' => return None,
                _ => {}
            }
        }
    }
}

/// Reads the answer to a request up to its end.
fn read_end(connection: &mut TcpStream, id: &str) -> RequestEnd {
    let mut messages = Vec::new();
    let mut is_fatal = false;
    loop {
        // An incomplete message counts as none.
        let Some(message) = read_message(connection) else {
            if is_fatal {
                break;
            }
            return if is_closed(connection) { RequestEnd::Closed } else { RequestEnd::Unanswered };
        };
        let kind = message.kind;
        is_fatal |= kind == b'E';
        messages.push(message);
        if kind == b'Z' {
            break;
        }
    }
    match query_result(&messages) {
        Ok(value) if value == id => RequestEnd::Served,
        Ok(_) => RequestEnd::WrongValue,
        Err(code) if REJECTIONS.contains(&code.0.as_str()) => RequestEnd::Rejected,
        Err(_) => RequestEnd::Failed,
    }
}

fn is_closed(connection: &TcpStream) -> bool {
    let _ = connection.set_nonblocking(true);
    match connection.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
