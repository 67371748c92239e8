//! Client threads and connection floods. Each client uses one connection for as long as it is open, also while its
//! gateway shuts down.

use latchhaven_test_support::history::{RequestEnd, RequestRecord};
use latchhaven_test_support::postgres::{
    insert, insert_large, query, query_result, read_message, select, startup,
};
use latchhaven_test_support::response_style::value_of;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const REQUEST_TIMEOUTS_MS: std::ops::Range<u32> = 300..2000;
/// Range of the pauses between two requests of a client; shorter than the gateways' idle timeout, so that idle
/// connections are not closed.
const PAUSES_MS: std::ops::Range<u64> = 5..120;
/// One write in so many has a long value, whose length is drawn from the range.
const LONG_VALUE_ONE_IN: u32 = 10;
const LONG_VALUES_BYTES: std::ops::Range<usize> = 8_000..65_536;
/// How long a client waits for the response after the timeout of its request, and for each message while connecting.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(1500);
/// Delay before the next attempt to connect after a failed one.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const FLOOD_CONNECTIONS: usize = 120;
/// How long the idle connections of a connection flood stay open.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// Timeout of the queries of a connection flood.
const FLOOD_TIMEOUT_MS: u32 = 900;
/// SQLSTATEs of responses to requests that were certainly not executed.
const REJECTION_SQLSTATES: [&str; 2] = ["53300", "57P03"];

/// What a client thread needs to run: its gateway, and where its records go.
#[derive(Clone)]
pub(super) struct ClientSetup {
    pub(super) gateway: usize,
    pub(super) address: SocketAddr,
    /// Start of the run, from which the times of records are counted.
    pub(super) started_at: Instant,
    /// Set at the end of the run: the client exits after its current request.
    pub(super) stop_requested: Arc<AtomicBool>,
    pub(super) records: mpsc::Sender<RequestRecord>,
}

/// Starts a client thread. `number` differs between clients and is part of the ids of the client's requests.
pub(super) fn start_client(setup: ClientSetup, number: usize, seed: u64) -> JoinHandle<()> {
    let rng = Pcg64Mcg::seed_from_u64(seed ^ ((number as u64) << 32));
    let sizes = Pcg64Mcg::seed_from_u64(!seed ^ ((number as u64) << 32));
    let mut client = Client { setup, number, rng, sizes, connection: None, requests: 0 };
    thread::spawn(move || {
        while !client.setup.stop_requested.load(SeqCst) {
            client.send_request();
            let pause = client.rng.random_range(PAUSES_MS);
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
            let messages = [
                startup(),
                query(""),
                query(&select(&format!("{number:x}c{index:x}"), "look", FLOOD_TIMEOUT_MS)),
            ];
            let _ = connection.write_all(&messages.concat());
        }
        thread::sleep(FLOOD_DURATION);
    })
}

struct Client {
    setup: ClientSetup,
    number: usize,
    rng: Pcg64Mcg,
    /// Draws the lengths of values.
    sizes: Pcg64Mcg,
    connection: Option<TcpStream>,
    requests: usize,
}

impl Client {
    /// Sends one request and records how it ended.
    fn send_request(&mut self) {
        let Some(mut connection) = self.connection.take().or_else(|| self.connect()) else {
            return thread::sleep(RECONNECT_DELAY);
        };
        self.requests += 1;
        let id = format!("{:x}a{:x}", self.number, self.requests);
        let timeout = self.rng.random_range(REQUEST_TIMEOUTS_MS);
        let class = ["look", "book", "pay"][self.rng.random_range(0..3)];
        let text = match class {
            "look" => select(&id, class, timeout),
            _ if self.sizes.random_ratio(1, LONG_VALUE_ONE_IN) => {
                insert_large(&id, class, timeout, self.sizes.random_range(LONG_VALUES_BYTES))
            }
            _ => insert(&id, class, timeout),
        };
        let timeout = Duration::from_millis(timeout.into());
        if connection.write_all(&query(&text)).is_err() {
            // The gateway closed the connection between two requests, so it has not read this request.
            return;
        }
        let sent_at = self.setup.started_at.elapsed();
        let _ = connection.set_read_timeout(Some(timeout + RESPONSE_GRACE_PERIOD));
        let end = read_response(&mut connection, &id);
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
        stream.set_read_timeout(Some(RESPONSE_GRACE_PERIOD)).ok()?;
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

/// Reads the response to the request `id` until the gateway is ready for the next query.
fn read_response(connection: &mut TcpStream, id: &str) -> RequestEnd {
    let mut messages = Vec::new();
    let mut has_error = false;
    loop {
        // An incomplete message counts as no message.
        let Some(message) = read_message(connection) else {
            if has_error {
                break;
            }
            return if is_closed(connection) { RequestEnd::Closed } else { RequestEnd::Unanswered };
        };
        let kind = message.kind;
        has_error |= kind == b'E';
        messages.push(message);
        if kind == b'Z' {
            break;
        }
    }
    match query_result(&messages) {
        Ok(value) if value == value_of(id) => RequestEnd::Served,
        Ok(_) => RequestEnd::WrongValue,
        Err(code) if REJECTION_SQLSTATES.contains(&code.0.as_str()) => RequestEnd::Rejected,
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
