//! Turns of client connections on the only thread: a client with many messages lets other tasks run.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

use latchhaven_gateway::clock::Clock;
use latchhaven_gateway::net::clients::{Clients, ClientsConfig};
use latchhaven_gateway::readiness::readiness;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// A startup message without parameters.
const STARTUP: &[u8] = b"\0\0\0\x08\0\x03\0\0";
const READY: &[u8] = b"Z\0\0\0\x05I";
/// Fewer messages than one read returns.
const MESSAGES: usize = 2000;
/// Turns of another task while these messages are handled: at least one for every 64 messages.
const MIN_TURNS: usize = MESSAGES / 64;

/// Reads available bytes until there are `expected`, and counts the turns of this task until then.
async fn turns_until_read(client: &mut TcpStream, expected: usize) -> usize {
    let (mut received, mut turns) = (0, 0);
    let mut buffer = vec![0; expected];
    while received < expected {
        turns += 1;
        yield_now().await;
        received += client.read(&mut buffer).unwrap_or(0);
    }
    turns
}

/// Guards against late responses to other clients while one sends small messages: all messages of one read were handled,
/// each with a write of its own, before another connection had its turn.
#[rstest]
#[case::syncs(b"S\0\0\0\x04", READY.len())]
#[case::empty_queries(b"Q\0\0\0\x05\0", 5 + READY.len())]
fn small_messages_take_turns_with_other_tasks(#[case] message: &[u8], #[case] response_bytes: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let message = message.to_vec();
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, _receiver) = mpsc::channel(1);
        let (ready, readiness) = readiness();
        let clients = Clients::new(ClientsConfig {
            max_sessions: 4,
            large_message_memory: 1 << 20,
            classes: Vec::new(),
            clock: Clock::start(),
            readiness,
            events,
        });
        ready.set_ready();
        spawn_local(async move { clients.accept(&listener).await });
        let mut client = TcpStream::connect(address).unwrap();
        client.set_nonblocking(true).unwrap();
        client.write_all(STARTUP).unwrap();
        turns_until_read(&mut client, 1).await;
        client.write_all(&message.repeat(MESSAGES)).unwrap();
        let turns = turns_until_read(&mut client, MESSAGES * response_bytes).await;
        assert!(turns >= MIN_TURNS, "{turns} turns of another task, expected {MIN_TURNS}");
    });
}
