//! A server on the `PostgreSQL` protocol whose behavior can be changed while it runs.

use crate::postgres::{
    AUTHENTICATION_OK, READY_FOR_QUERY, TypedMessage, error_response, message, read_message, read_startup,
    row,
};
use crate::{lock, serve_connections};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two checks whether a connection without handshake was closed.
const HANDSHAKE_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The SQLSTATEs of queries that were not executed.
const NOT_EXECUTED: [&str; 2] = ["53300", "57P03"];
/// Messages in each write of a flooding server.
const FLOOD_MESSAGES: usize = 10_000;
/// Bytes of a row without end that are written.
const ENDLESS_ROW_LENGTH: usize = 1 << 20;

/// The behavior of a server on a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Responds with a row that contains the id of the query.
    Succeed,
    /// The same, after a delay in ms.
    SucceedAfter(u64),
    /// Responds with an error of this SQLSTATE, and stays ready.
    Fail(&'static str),
    /// Responds with an error of this SQLSTATE, and closes the connection.
    FailAndClose(&'static str),
    /// Fails every query of this number with this SQLSTATE; the others succeed.
    FailOneIn(usize, &'static str),
    /// Does not respond.
    NeverRespond,
    /// Closes the connection after it has received the query.
    Reset,
    /// Closes the connection after it has received the query; from then on [`ServerBehavior::NeverHandshake`].
    ResetThenNeverHandshake,
    /// Closes the connection in the middle of the row.
    TruncateRow,
    /// Responds with bytes that are not a message.
    RespondGarbage,
    /// Responds, and writes the row a second time after a delay in ms, before it reads another query.
    RespondTwice(u64),
    /// Responds with a value of this length in bytes.
    LargeValue(usize),
    /// Responds with a malformed error whose SQLSTATE means "not executed".
    UndecodableError,
    /// Responds with a row that never ends.
    EndlessRow,
    /// Writes parameters without end.
    FloodParameters,
    /// Responds with notices and parameters around the row.
    SucceedAmongNotices,
    /// Accepts connections without a handshake until the behavior changes; established connections are served.
    NeverHandshake,
    /// Responds and closes the connection.
    SucceedAndClose,
}

impl ServerBehavior {
    /// True if the connection is closed after the response.
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

/// A query that a server received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedQuery {
    /// The number of its connection.
    pub connection: usize,
    /// Its text.
    pub text: String,
}

/// The arrival of a query, and whether it was executed.
#[derive(Clone, Debug)]
pub struct QueryArrival {
    /// The id of the query.
    pub id: String,
    /// When its last byte was received.
    pub at: Instant,
    /// It was possibly executed.
    pub is_executed: bool,
}

/// The records of a server.
#[derive(Default)]
pub struct ServerHistory {
    /// The queries in order.
    pub queries: Vec<ReceivedQuery>,
    /// When these arrived, in order.
    pub arrivals: Vec<QueryArrival>,
    /// Connections so far.
    pub connections: usize,
    /// Numbers of the connections that have ended.
    pub closed_connections: Vec<usize>,
    /// The connections that were not closed by [`FakeServer::close_connections`].
    pub open: Vec<TcpStream>,
}

/// The server.
#[derive(Clone)]
pub struct FakeServer {
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its behavior on the next query.
    pub behavior: Arc<Mutex<ServerBehavior>>,
    /// Its records.
    pub history: Arc<Mutex<ServerHistory>>,
}

impl FakeServer {
    /// Starts a server.
    ///
    /// # Panics
    /// Its socket cannot be opened.
    pub fn start(behavior: ServerBehavior) -> Self {
        let behavior = Arc::new(Mutex::new(behavior));
        let history = Arc::new(Mutex::new(ServerHistory::default()));
        let connection_behavior = behavior.clone();
        let connection_history = history.clone();
        let addr = serve_connections(move |stream, number| {
            let mut history = lock(&connection_history);
            history.connections += 1;
            history.open.push(stream.try_clone().expect("a second handle of the socket"));
            drop(history);
            let behavior = connection_behavior.clone();
            let mut connection =
                ServerConnection { stream, number, behavior, history: connection_history.clone() };
            connection.serve();
            lock(&connection_history).closed_connections.push(number);
        });
        FakeServer { addr, behavior, history }
    }

    /// Changes its behavior.
    pub fn set_behavior(&self, behavior: ServerBehavior) {
        *lock(&self.behavior) = behavior;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for stream in lock(&self.history).open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// When the queries so far arrived, in order.
    pub fn arrivals(&self) -> Vec<QueryArrival> {
        lock(&self.history).arrivals.clone()
    }

    /// The queries so far, in order.
    pub fn queries(&self) -> Vec<ReceivedQuery> {
        lock(&self.history).queries.clone()
    }
}

/// The response to one query.
enum Response {
    Bytes(Vec<u8>),
    Nothing,
    ConnectionEnded,
}

/// One connection of a server. Its functions return none once the connection has ended.
struct ServerConnection {
    stream: TcpStream,
    number: usize,
    behavior: Arc<Mutex<ServerBehavior>>,
    history: Arc<Mutex<ServerHistory>>,
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
                Response::ConnectionEnded => return None,
            };
            self.stream.write_all(&response).ok()?;
            if behavior.closes_connection() {
                return self.stream.shutdown(Shutdown::Both).ok();
            }
        }
        None
    }

    fn wait_for_handshake(&mut self) -> Option<()> {
        self.stream.set_read_timeout(Some(HANDSHAKE_POLL_INTERVAL)).ok()?;
        while *lock(&self.behavior) == ServerBehavior::NeverHandshake {
            if self.stream.peek(&mut [0]).is_ok() {
                return None;
            }
        }
        self.stream.set_read_timeout(None).ok()
    }

    /// Records a query and returns its id.
    fn record_query(&mut self, message: &TypedMessage) -> String {
        assert_eq!(message.kind, b'Q');
        let text = &message.body[..message.body.len() - 1];
        let text = String::from_utf8(text.to_vec()).expect("a query in UTF-8");
        let id = text.split("id=").nth(1).and_then(|rest| rest.split([',', ' ']).next());
        let id = id.unwrap_or_default().to_string();
        lock(&self.history).queries.push(ReceivedQuery { connection: self.number, text });
        id
    }

    fn record_arrival(&self, id: &str, behavior: ServerBehavior) {
        let is_executed = !matches!(behavior, ServerBehavior::Fail(code) if NOT_EXECUTED.contains(&code));
        let arrival = QueryArrival { id: id.to_string(), at: Instant::now(), is_executed };
        lock(&self.history).arrivals.push(arrival);
    }

    /// The behavior for one query; some are followed by another one.
    fn take_behavior(&self) -> ServerBehavior {
        let mut behavior = lock(&self.behavior);
        let current = *behavior;
        if current == ServerBehavior::ResetThenNeverHandshake {
            *behavior = ServerBehavior::NeverHandshake;
        }
        current
    }

    fn respond(&mut self, behavior: ServerBehavior, id: &str) -> Response {
        let success = [&row(id.as_bytes()), READY_FOR_QUERY].concat();
        let response = match behavior {
            ServerBehavior::Succeed | ServerBehavior::SucceedAndClose | ServerBehavior::NeverHandshake => {
                success
            }
            ServerBehavior::SucceedAfter(delay) => {
                thread::sleep(Duration::from_millis(delay));
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
            ServerBehavior::RespondTwice(delay) => return self.respond_twice(delay, id, success),
            ServerBehavior::LargeValue(length) => [&row(&vec![b'v'; length]), READY_FOR_QUERY].concat(),
            ServerBehavior::UndecodableError => {
                [&message(b'E', b"SERROR\0C53300\0\xff\xfe"), READY_FOR_QUERY].concat()
            }
            ServerBehavior::EndlessRow => {
                [message(b'T', b"\0\x01")[..5].to_vec(), vec![0x7f; ENDLESS_ROW_LENGTH]].concat()
            }
            ServerBehavior::FloodParameters => return self.flood_parameters(),
            ServerBehavior::SucceedAmongNotices => among_notices(&success),
        };
        Response::Bytes(response)
    }

    /// Writes the response immediately if the row is repeated later, and returns the bytes that remain to be written.
    fn respond_twice(&mut self, delay: u64, id: &str, success: Vec<u8>) -> Response {
        let copy = row(id.as_bytes());
        if delay == 0 {
            return Response::Bytes([success, copy].concat());
        }
        if self.stream.write_all(&success).is_err() {
            return Response::ConnectionEnded;
        }
        thread::sleep(Duration::from_millis(delay));
        Response::Bytes(copy)
    }

    /// Writes until the connection ends.
    fn flood_parameters(&mut self) -> Response {
        let parameters = message(b'S', b"a\0b\0").repeat(FLOOD_MESSAGES);
        while self.stream.write_all(&parameters).is_ok() {}
        Response::ConnectionEnded
    }
}

fn among_notices(success: &[u8]) -> Vec<u8> {
    let notice = message(b'N', b"SNOTICE\0C00000\0Mhm\0\0");
    let load = message(b'S', b"load\0inflight=7,util=0.61\0");
    let parameter = message(b'S', b"a\0b\0");
    [&notice[..], &load, success, &parameter].concat()
}
