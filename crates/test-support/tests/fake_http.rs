//! The fake HTTP service.

use latchhaven_test_support::fake_http::{FakeHttpService, HttpReply, STREAM_HEAD};
use latchhaven_test_support::wait::{MAX_WAIT, wait_until};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// A line could be sent between the choice of the reply and the registration of the stream, and be missing from both.
/// The reply is delayed, so that the line is sent in this interval.
#[test]
fn line_sent_while_a_stream_begins_reaches_the_stream() {
    let (reply_start, reply_started) = mpsc::channel();
    let service = FakeHttpService::start(move |_| {
        reply_start.send(()).unwrap();
        thread::sleep(Duration::from_millis(50));
        HttpReply::KeepOpen(STREAM_HEAD.to_string())
    });
    let mut stream = TcpStream::connect(service.addr).unwrap();
    stream.write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    reply_started.recv().unwrap();
    service.send_line(&json!({"seq": 7}));
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let mut received = Vec::new();
    wait_until("the line arrives", || {
        let mut buffer = [0; 512];
        let count = stream.read(&mut buffer).unwrap();
        received.extend(&buffer[..count]);
        String::from_utf8_lossy(&received).contains("\"seq\":7")
    });
}
