//! An HTTP service whose replies can be changed, and whose open streams can be written to.

use crate::{lock, serve_connections};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The status line and headers of a response that is streamed in chunks.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The read timeout with which a check whether the peer has closed a stream waits for data.
const CLOSE_CHECK_READ_TIMEOUT: Duration = Duration::from_millis(2);

/// Encodes a complete response with headers.
pub fn response(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Encodes one chunk of a streamed response.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The reply of the service to one call.
#[derive(Clone, Debug)]
pub enum HttpReply {
    /// Writes this text; the connection stays open.
    KeepOpen(String),
    /// Writes this text and closes the connection.
    Close(String),
    /// Writes nothing; the connection stays open.
    Nothing,
}

impl HttpReply {
    /// A stream that begins with this line. The service then writes to it, until one side closes the connection.
    pub fn stream(line: &str) -> Self {
        HttpReply::KeepOpen(format!("{STREAM_HEAD}{}", chunk(&format!("{line}\n"))))
    }

    fn text(&self) -> &str {
        match self {
            HttpReply::KeepOpen(text) | HttpReply::Close(text) => text,
            HttpReply::Nothing => "",
        }
    }
}

/// A call that the service received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// The request line: method, path and version.
    pub request_line: String,
    /// The body, empty without a `Content-Length` header.
    pub body: String,
}

type ReplyFunction = Box<dyn Fn(&str) -> HttpReply + Send>;

/// The service, which records calls and chooses each reply by the request line. Clones share one service.
#[derive(Clone)]
pub struct FakeHttpService {
    /// The listening address, on loopback.
    pub addr: SocketAddr,
    /// The calls whose replies were written, in order. Calls with [`HttpReply::Nothing`] are included.
    pub calls: Arc<Mutex<Vec<HttpCall>>>,
    reply: Arc<Mutex<ReplyFunction>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    received: Arc<AtomicU32>,
}

impl FakeHttpService {
    /// Starts a service. `reply` maps a request line to the reply.
    ///
    /// # Panics
    /// The listening socket cannot be opened.
    pub fn start(reply: impl Fn(&str) -> HttpReply + Send + 'static) -> Self {
        let reply: ReplyFunction = Box::new(reply);
        let mut service = FakeHttpService {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            calls: Arc::default(),
            reply: Arc::new(Mutex::new(reply)),
            streams: Arc::default(),
            received: Arc::default(),
        };
        let served = service.clone();
        service.addr = serve_connections(move |stream, _| served.serve(stream));
        service
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(call) = read_call(&mut stream) {
            self.received.fetch_add(1, SeqCst);
            let Some(reply) = self.reply_to(&call, &mut stream) else { return };
            lock(&self.calls).push(call);
            if matches!(reply, HttpReply::Close(_)) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Writes and returns the reply; `None` if the connection is closed.
    fn reply_to(&self, call: &HttpCall, stream: &mut TcpStream) -> Option<HttpReply> {
        // The lock covers the choice of the reply and the registration of the stream: a line sent in between would be
        // missing from both the reply and the stream.
        let mut streams = lock(&self.streams);
        let reply = lock(&self.reply)(&call.request_line);
        stream.write_all(reply.text().as_bytes()).ok()?;
        if reply.text().starts_with(STREAM_HEAD) {
            streams.push(stream.try_clone().expect("the socket handle can be duplicated"));
        }
        Some(reply)
    }

    /// The number of calls received so far. Calls are counted before their replies are written.
    pub fn received_calls(&self) -> u32 {
        self.received.load(SeqCst)
    }

    /// Replaces the function that chooses the replies to later calls.
    pub fn set_reply(&self, reply: impl Fn(&str) -> HttpReply + Send + 'static) {
        *lock(&self.reply) = Box::new(reply);
    }

    /// Writes text to all open streams, without the framing of a chunk.
    pub fn write(&self, text: &str) {
        self.write_with(|| text.to_string());
    }

    /// Writes one line, as a chunk, to all open streams.
    pub fn send_line(&self, line: &Value) {
        self.send_line_with(|| line.clone());
    }

    /// Writes one line, as a chunk, to all open streams. No stream begins while `make_line` runs: if it changes a
    /// state, a stream that begins later starts with the changed state and does not miss the line.
    pub fn send_line_with(&self, make_line: impl FnOnce() -> Value) {
        self.write_with(|| chunk(&format!("{}\n", make_line())));
    }

    fn write_with(&self, make_text: impl FnOnce() -> String) {
        let mut streams = lock(&self.streams);
        let text = make_text();
        streams.retain_mut(|stream| stream.write_all(text.as_bytes()).is_ok());
    }

    /// Returns `true` if the peers have closed all streams.
    ///
    /// # Panics
    /// The read timeout of a socket cannot be set.
    pub fn all_streams_closed(&self) -> bool {
        let mut streams = lock(&self.streams);
        streams.iter_mut().all(|stream| {
            stream.set_read_timeout(Some(CLOSE_CHECK_READ_TIMEOUT)).expect("the read timeout is set");
            matches!(stream.peek(&mut [0]), Ok(0))
        })
    }

    /// Closes the connections of all open streams.
    pub fn close_streams(&self) {
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The number of calls in [`Self::calls`] whose request lines contain `part`.
    pub fn count_calls_containing(&self, part: &str) -> usize {
        lock(&self.calls).iter().filter(|call| call.request_line.contains(part)).count()
    }
}

/// Reads one call; `None` if the connection is closed.
fn read_call(stream: &mut TcpStream) -> Option<HttpCall> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("the head is UTF-8");
    let mut body = vec![0; content_length(&head)];
    stream.read_exact(&mut body).ok()?;
    let request_line = head.lines().next().expect("the head has a request line").to_string();
    Some(HttpCall { request_line, body: String::from_utf8(body).expect("the body is UTF-8") })
}

fn content_length(head: &str) -> usize {
    let Some(rest) = head.split("Content-Length: ").nth(1) else { return 0 };
    let length = rest.lines().next().expect("the header has a value");
    length.parse().expect("the content length is a number")
}
