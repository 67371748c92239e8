//! The stand-ins themselves.

use latchhaven_test_support::wire::{LONG, STREAM, Says, Service, until};
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// The stream's place is taken slowly here, so that the line is told while its answer is being made.
#[test]
fn a_line_told_while_a_stream_begins_reaches_it() {
    let (answering, answered) = mpsc::channel();
    let service = Service::start(move |_| {
        answering.send(()).unwrap();
        thread::sleep(Duration::from_millis(50));
        Says::Bytes(STREAM.to_string())
    });
    let mut stream = TcpStream::connect(service.addr).unwrap();
    stream.write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    answered.recv().unwrap();
    service.tell(&json!({"seq": 7}));
    stream.set_read_timeout(Some(LONG)).unwrap();
    let mut read = Vec::new();
    until("the line comes", || {
        let mut piece = [0; 512];
        let count = stream.read(&mut piece).unwrap();
        read.extend(&piece[..count]);
        String::from_utf8_lossy(&read).contains("\"seq\":7")
    });
}
