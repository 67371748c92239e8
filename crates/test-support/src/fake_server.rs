//! A server that speaks the `PostgreSQL` protocol and whose behavior can be changed while it runs.

use crate::postgres::{
    AUTHENTICATION_OK, READY_FOR_QUERY, TypedMessage, error_response, message, read_message, read_startup,
    row,
};
use crate::response_style::ResponseStyle;
use crate::{lock, serve_connections};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The read timeout of a check whether a connection without handshake was closed.
const HANDSHAKE_POLL_TIMEOUT: Duration = Duration::from_millis(2);
/// The SQLSTATEs of errors that mean "not executed".
const NOT_EXECUTED_SQLSTATES: [&str; 2] = ["53300", "57P03"];
const FLOOD_MESSAGES_PER_WRITE: usize = 10_000;
const ENDLESS_ROW_BYTES: usize = 1 << 20;
/// The last two bytes of a value, and the messages that follow.
const BYTES_AFTER_PAUSE: usize = 22;
const PAUSE_WITHIN_VALUE: Duration = Duration::from_millis(20);
const STOPPED_ROW_BYTES: usize = 400_000;
/// What [`ServerBehavior::StopWithinRow`] sends of its row.
const SENT_ROW_BYTES: usize = 100_000;

/// How a server responds to a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Responds with a row that contains the id of the query.
    Succeed,
    /// As [`ServerBehavior::Succeed`], after a delay in milliseconds.
    SucceedAfter(u64),
    /// Responds with an error of this SQLSTATE, and is ready for the next query.
    Fail(&'static str),
    /// Responds with an error of this SQLSTATE, and closes the connection.
    FailAndClose(&'static str),
    /// Of the queries received so far, fails each whose number is a multiple of this interval, with this SQLSTATE. The
    /// others succeed.
    FailOneIn(usize, &'static str),
    /// Sends no response; the connection stays open.
    NeverRespond,
    /// Closes the connection when it has received the query.
    Reset,
    /// Closes the connection when it has received the query, and changes to [`ServerBehavior::NeverHandshake`].
    ResetThenNeverHandshake,
    /// Writes the first half of a successful response and closes the connection.
    TruncateRow,
    /// Responds with bytes that are not a message.
    RespondGarbage,
    /// Responds, and writes the row again after a delay in milliseconds, before it reads the next query.
    RespondTwice(u64),
    /// Responds with a row whose value has this length in bytes.
    LargeValue(usize),
    /// As [`ServerBehavior::LargeValue`], with a pause before the last two bytes of the value.
    PausedLargeValue(usize),
    /// Responds with an error whose SQLSTATE means "not executed", followed by malformed fields.
    UndecodableError,
    /// Writes a row description, then 1 MiB of a message that declares a length of about 2 GiB.
    EndlessRow,
    /// Writes the first 100,000 bytes of a row of 400,000; the connection stays open.
    StopWithinRow,
    /// Writes parameter messages until the connection is closed.
    FloodParameters,
    /// Responds with a notice and parameter messages before the row, and a parameter message after it.
    SucceedAmongNotices,
    /// Completes no handshake of new connections until the behavior changes. Established connections succeed.
    NeverHandshake,
    /// As [`ServerBehavior::Succeed`], then closes the connection.
    SucceedAndClose,
}

impl ServerBehavior {
    /// Returns `true` if the server closes the connection after the response.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            ServerBehavior::Reset
                | ServerBehavior::ResetThenNeverHandshake
                | ServerBehavior::TruncateRow
                | ServerBehavior::SucceedAndClose
                | ServerBehavior::FailAndClose(_)
        )
    }
}

/// The text of a received query, and its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedQuery {
    /// The number of the connection that carried the query, counted from 0.
    pub connection: usize,
    /// The SQL text, including the comment.
    pub text: String,
}

/// The arrival of a query, and whether it was executed.
#[derive(Clone, Debug)]
pub struct QueryArrival {
    /// The value of `id` in the comment of the query; empty if there is none.
    pub id: String,
    /// When the last byte of the query was received.
    pub at: Instant,
    /// Set when the query may have been executed: always, except for [`ServerBehavior::Fail`] with a SQLSTATE that
    /// means "not executed".
    pub is_executed: bool,
}

/// What a server has recorded since its start.
#[derive(Default)]
pub struct ServerHistory {
    /// The received queries, in order.
    pub queries: Vec<ReceivedQuery>,
    /// The arrivals of the queries, in order.
    pub arrivals: Vec<QueryArrival>,
    /// The number of accepted connections so far.
    pub connections: usize,
    /// The numbers of the connections that are closed, in the order of closing.
    pub closed_connections: Vec<usize>,
    /// The accepted connections, without those closed by [`FakeServer::close_connections`].
    pub open: Vec<TcpStream>,
}

/// A running server. Clones share one server.
#[derive(Clone)]
pub struct FakeServer {
    /// The listening address, on loopback.
    pub addr: SocketAddr,
    /// The behavior on later queries, which [`FakeServer::set_behavior`] changes.
    pub behavior: Arc<Mutex<ServerBehavior>>,
    /// What the server has recorded.
    pub history: Arc<Mutex<ServerHistory>>,
}

impl FakeServer {
    /// Starts a server with this behavior.
    ///
    /// # Panics
    /// The listening socket cannot be opened.
    pub fn start(behavior: ServerBehavior) -> Self {
        Self::start_with_style(behavior, ResponseStyle::default())
    }

    /// As [`Self::start`], with successful responses in this style.
    ///
    /// # Panics
    /// The listening socket cannot be opened.
    pub fn start_with_style(behavior: ServerBehavior, style: ResponseStyle) -> Self {
        let behavior = Arc::new(Mutex::new(behavior));
        let history = Arc::new(Mutex::new(ServerHistory::default()));
        let connection_behavior = behavior.clone();
        let connection_history = history.clone();
        let addr = serve_connections(move |stream, number| {
            let mut history = lock(&connection_history);
            history.connections += 1;
            history.open.push(stream.try_clone().expect("the socket handle can be duplicated"));
            drop(history);
            let behavior = connection_behavior.clone();
            let history = connection_history.clone();
            let mut connection = ServerConnection { stream, number, behavior, history, style, responses: 0 };
            connection.serve();
            lock(&connection_history).closed_connections.push(number);
        });
        FakeServer { addr, behavior, history }
    }

    /// Changes the behavior on later queries, on all connections.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        *lock(&self.behavior) = behavior;
    }

    /// Closes all open connections; the server continues to accept new ones.
    pub fn close_connections(&self) {
        for stream in lock(&self.history).open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The arrivals of the queries so far, in order.
    pub fn arrivals(&self) -> Vec<QueryArrival> {
        lock(&self.history).arrivals.clone()
    }

    /// The queries received so far, in order.
    pub fn queries(&self) -> Vec<ReceivedQuery> {
        lock(&self.history).queries.clone()
    }
}

/// What remains to be written as the response to a query.
enum Response {
    Bytes(Vec<u8>),
    Nothing,
    ConnectionClosed,
}

/// One connection of a server. Methods that return an `Option` return `None` when the connection is closed.
struct ServerConnection {
    stream: TcpStream,
    number: usize,
    behavior: Arc<Mutex<ServerBehavior>>,
    history: Arc<Mutex<ServerHistory>>,
    style: ResponseStyle,
    /// The number of responses written so far.
    responses: usize,
}

impl ServerConnection {
    fn serve(&mut self) -> Option<()> {
        read_startup(&mut self.stream)?;
        self.wait_for_handshake()?;
        self.stream.write_all(&[AUTHENTICATION_OK, READY_FOR_QUERY].concat()).ok()?;
        while let Some(message) = read_message(&mut self.stream) {
            let id = self.record_query(&message);
            let behavior = self.take_behavior();
            self.record_arrival(&id, behavior);
            let response = match self.respond(behavior, &id) {
                Response::Bytes(bytes) => bytes,
                Response::Nothing => continue,
                Response::ConnectionClosed => return None,
            };
            self.stream.write_all(&response).ok()?;
            if behavior.closes_connection() {
                return self.stream.shutdown(Shutdown::Both).ok();
            }
            if behavior == ServerBehavior::Succeed {
                self.send_late_bytes(&id)?;
            }
        }
        None
    }

    /// Sends the late bytes of the response to a query, unless a byte of another query arrives before.
    fn send_late_bytes(&mut self, id: &str) -> Option<()> {
        self.responses += 1;
        let Some(late) = self.style.late_bytes(self.responses, id) else { return Some(()) };
        self.stream.set_read_timeout(Some(late.after)).ok()?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_read_timeout(None).ok()?;
        match peeked {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                self.stream.write_all(&late.bytes).ok()
            }
            _ => Some(()),
        }
    }

    fn wait_for_handshake(&mut self) -> Option<()> {
        self.stream.set_read_timeout(Some(HANDSHAKE_POLL_TIMEOUT)).ok()?;
        while *lock(&self.behavior) == ServerBehavior::NeverHandshake {
            if self.stream.peek(&mut [0]).is_ok() {
                return None;
            }
        }
        self.stream.set_read_timeout(None).ok()
    }

    /// Records a query and returns its id, which is empty if the query has none.
    fn record_query(&mut self, message: &TypedMessage) -> String {
        assert_eq!(message.kind, b'Q');
        let text = &message.body[..message.body.len() - 1];
        let text = String::from_utf8(text.to_vec()).expect("the query is UTF-8");
        let id = text.split("id=").nth(1).and_then(|rest| rest.split([',', ' ']).next());
        let id = id.unwrap_or_default().to_string();
        lock(&self.history).queries.push(ReceivedQuery { connection: self.number, text });
        id
    }

    fn record_arrival(&self, id: &str, behavior: ServerBehavior) {
        let is_executed =
            !matches!(behavior, ServerBehavior::Fail(code) if NOT_EXECUTED_SQLSTATES.contains(&code));
        let arrival = QueryArrival { id: id.to_string(), at: Instant::now(), is_executed };
        lock(&self.history).arrivals.push(arrival);
    }

    /// Returns the behavior for one query. [`ServerBehavior::ResetThenNeverHandshake`] applies to one query only and
    /// then changes.
    fn take_behavior(&self) -> ServerBehavior {
        let mut behavior = lock(&self.behavior);
        let current = *behavior;
        if current == ServerBehavior::ResetThenNeverHandshake {
            *behavior = ServerBehavior::NeverHandshake;
        }
        current
    }

    fn respond(&mut self, behavior: ServerBehavior, id: &str) -> Response {
        let success = [&row(self.style.value(id).as_bytes()), READY_FOR_QUERY].concat();
        let response = match behavior {
            ServerBehavior::Succeed | ServerBehavior::SucceedAndClose | ServerBehavior::NeverHandshake => {
                success
            }
            ServerBehavior::SucceedAfter(delay_ms) => {
                thread::sleep(Duration::from_millis(delay_ms));
                success
            }
            ServerBehavior::Fail(code) => [&error_response(code), READY_FOR_QUERY].concat(),
            ServerBehavior::FailAndClose(code) => error_response(code),
            ServerBehavior::FailOneIn(interval, code) => {
                let received = lock(&self.history).queries.len();
                if received.is_multiple_of(interval.max(1)) {
                    [&error_response(code), READY_FOR_QUERY].concat()
                } else {
                    success
                }
            }
            ServerBehavior::NeverRespond => return Response::Nothing,
            ServerBehavior::Reset | ServerBehavior::ResetThenNeverHandshake => Vec::new(),
            ServerBehavior::TruncateRow => success[..success.len() / 2].to_vec(),
            ServerBehavior::RespondGarbage => b"HTTP/1.1 400 Bad Request\r\n\r\n".to_vec(),
            ServerBehavior::RespondTwice(delay_ms) => return self.respond_twice(delay_ms, id, success),
            ServerBehavior::LargeValue(length) => [&row(&vec![b'v'; length]), READY_FOR_QUERY].concat(),
            ServerBehavior::PausedLargeValue(length) => return self.pause_within_value(length),
            ServerBehavior::UndecodableError => {
                [&message(b'E', b"SERROR\0C53300\0\xff\xfe"), READY_FOR_QUERY].concat()
            }
            ServerBehavior::EndlessRow => {
                [message(b'T', b"\0\x01")[..5].to_vec(), vec![0x7f; ENDLESS_ROW_BYTES]].concat()
            }
            ServerBehavior::StopWithinRow => row(&vec![b'v'; STOPPED_ROW_BYTES])[..SENT_ROW_BYTES].to_vec(),
            ServerBehavior::FloodParameters => return self.flood_parameters(),
            ServerBehavior::SucceedAmongNotices => among_notices(&success),
        };
        Response::Bytes(response)
    }

    /// Returns the response and the repeated row in one piece if the delay is 0. Otherwise writes the response, waits,
    /// and returns the repeated row.
    fn respond_twice(&mut self, delay_ms: u64, id: &str, success: Vec<u8>) -> Response {
        let repeated_row = row(id.as_bytes());
        if delay_ms == 0 {
            return Response::Bytes([success, repeated_row].concat());
        }
        if self.stream.write_all(&success).is_err() {
            return Response::ConnectionClosed;
        }
        thread::sleep(Duration::from_millis(delay_ms));
        Response::Bytes(repeated_row)
    }

    /// Writes a response except for its end, pauses, and returns the end.
    fn pause_within_value(&mut self, length: usize) -> Response {
        let response = [&row(&vec![b'v'; length]), READY_FOR_QUERY].concat();
        let (start, end) = response.split_at(response.len() - BYTES_AFTER_PAUSE);
        if self.stream.write_all(start).is_err() {
            return Response::ConnectionClosed;
        }
        thread::sleep(PAUSE_WITHIN_VALUE);
        Response::Bytes(end.to_vec())
    }

    /// Writes until the connection is closed.
    fn flood_parameters(&mut self) -> Response {
        let parameters = message(b'S', b"a\0b\0").repeat(FLOOD_MESSAGES_PER_WRITE);
        while self.stream.write_all(&parameters).is_ok() {}
        Response::ConnectionClosed
    }
}

fn among_notices(success: &[u8]) -> Vec<u8> {
    let notice = message(b'N', b"SNOTICE\0C00000\0Mhm\0\0");
    let load = message(b'S', b"load\0inflight=7,util=0.61\0");
    let parameter = message(b'S', b"a\0b\0");
    [&notice[..], &load, success, &parameter].concat()
}
