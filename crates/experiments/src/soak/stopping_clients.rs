//! Clients that stop within a large request and stay, or send the rest slowly, until the gateway disconnects them.

use super::clients::ClientSetup;
use latchhaven_test_support::postgres::{insert_large, query, startup};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const VALUE_BYTES: usize = 65_536;
const TIMEOUT_MS: u32 = 600;
/// Bytes of its request that a client sends before it stops, by the number of the client.
const STOPPED_AFTER_BYTES: [usize; 4] = [100, 17_000, 20_000, 120_000];
/// Time without input after which a client sends one byte more, if it is one of those that send slowly.
const SLOW_CLIENT_INTERVAL: Duration = Duration::from_millis(50);
/// A gateway disconnects such a client within 3 s.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(4);
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Starts the thread of one client. Every other client sends slowly; the others stop.
pub(super) fn start_stopping_client(setup: ClientSetup, number: usize) -> JoinHandle<()> {
    let request = query(&insert_large("stopped", "book", TIMEOUT_MS, VALUE_BYTES));
    thread::spawn(move || {
        while !setup.stop_requested.load(SeqCst) {
            if send_first_part(&setup, number, &request).is_none() {
                thread::sleep(RECONNECT_DELAY);
            }
        }
    })
}

/// Sends the first part of a request on a new connection, and waits until the gateway disconnects the client.
fn send_first_part(setup: &ClientSetup, number: usize, request: &[u8]) -> Option<()> {
    let mut stream = TcpStream::connect(setup.address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(SLOW_CLIENT_INTERVAL)).ok()?;
    let sends_slowly = number % 2 == 1;
    let stopped_after = STOPPED_AFTER_BYTES[number / 2 % STOPPED_AFTER_BYTES.len()];
    stream.write_all(&startup()).ok()?;
    stream.write_all(&request[..stopped_after]).ok()?;
    let mut sent = stopped_after;
    for _ in 0..MAX_CONNECTION_TIME.as_millis() / SLOW_CLIENT_INTERVAL.as_millis() {
        if matches!(stream.read(&mut [0; 256]), Ok(0)) || setup.stop_requested.load(SeqCst) {
            return Some(());
        }
        if sends_slowly {
            stream.write_all(&request[sent..=sent]).ok()?;
            sent += 1;
        }
    }
    Some(())
}
