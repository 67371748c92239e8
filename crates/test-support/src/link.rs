//! A network link with a delay, between a gateway and a server on loopback.

use crate::serve_connections;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Bytes on their way; none at the end of the stream.
struct Packet {
    due_at: Instant,
    bytes: Vec<u8>,
}

/// Starts a link to `target` that carries bytes in both directions, in order, with this one-way delay. A close is
/// carried as well. Returns the address of its other end.
pub fn start_link(target: SocketAddr, one_way: Duration) -> SocketAddr {
    serve_connections(move |near, _| {
        let Ok(far) = TcpStream::connect(target) else { return };
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
        }
        let (Ok(from_near), Ok(from_far)) = (near.try_clone(), far.try_clone()) else { return };
        let forward = thread::spawn(move || carry(from_near, far, one_way));
        carry(from_far, near, one_way);
        let _ = forward.join();
    })
}

/// Carries bytes from one stream to the other until either is closed.
fn carry(mut from: TcpStream, mut to: TcpStream, one_way: Duration) {
    let (sender, packets) = mpsc::channel::<Packet>();
    let writer = thread::spawn(move || {
        for packet in packets {
            thread::sleep(packet.due_at.saturating_duration_since(Instant::now()));
            if packet.bytes.is_empty() || to.write_all(&packet.bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let packet = Packet { due_at: Instant::now() + one_way, bytes: buffer[..count].to_vec() };
        if sender.send(packet).is_err() || count == 0 {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
}
