//! A link that holds what goes to a service and what comes back for some time each; what was held is passed on in order.

use crate::{now_ms, sleep_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    /// For how many ms what comes back from the service is held.
    pub late_by: Arc<Mutex<f64>>,
}

impl Link {
    /// What goes to the service is held for `there_ms`, what comes back for `back_ms`.
    pub fn start(service: SocketAddr, there_ms: f64, back_ms: f64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let addr = listener.local_addr().expect("the address of a listener");
        let late_by = Arc::new(Mutex::new(back_ms));
        let shared = late_by.clone();
        let there = Arc::new(Mutex::new(there_ms));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let Ok(to) = TcpStream::connect(service) {
                    join(stream, to, &there, &shared);
                }
            }
        });
        Link { addr, late_by }
    }
}

fn join(caller: TcpStream, service: TcpStream, there: &Arc<Mutex<f64>>, back: &Arc<Mutex<f64>>) -> Option<()> {
    caller.set_nodelay(true).ok()?;
    service.set_nodelay(true).ok()?;
    pass(caller.try_clone().ok()?, service.try_clone().ok()?, there.clone());
    pass(service, caller, back.clone());
    Some(())
}

/// Passes on all bytes from `from` to `to`, each held for `hold` ms, and then the end.
fn pass(mut from: TcpStream, mut to: TcpStream, hold: Arc<Mutex<f64>>) {
    let (held, due) = channel::<(f64, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            let at = now_ms() + *hold.lock().unwrap();
            if held.send((at, buffer[..count].to_vec())).is_err() {
                break;
            }
        }
        // The end is held as long as bytes are.
        let _ = held.send((now_ms() + *hold.lock().unwrap(), Vec::new()));
    });
    std::thread::spawn(move || {
        while let Ok((at, bytes)) = due.recv() {
            sleep_until(at);
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
}
