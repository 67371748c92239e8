//! A link that holds what comes back from a service for some time; what was held is passed on in order.

use crate::{now_ms, sleep_until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    /// By how many ms later than usual all that the service tells arrives.
    pub late_by: Arc<Mutex<f64>>,
}

impl Link {
    pub fn start(service: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let addr = listener.local_addr().expect("the address of a listener");
        let late_by = Arc::new(Mutex::new(0.0));
        let shared = late_by.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if let Ok(to) = TcpStream::connect(service) {
                    join(stream, to, &shared);
                }
            }
        });
        Link { addr, late_by }
    }
}

fn join(caller: TcpStream, service: TcpStream, late_by: &Arc<Mutex<f64>>) -> Option<()> {
    caller.set_nodelay(true).ok()?;
    service.set_nodelay(true).ok()?;
    let (mut from_caller, mut to_service) = (caller.try_clone().ok()?, service.try_clone().ok()?);
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = from_caller.read(&mut buffer) {
            if to_service.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = to_service.shutdown(std::net::Shutdown::Both);
    });
    let (held, due) = channel::<(f64, Vec<u8>)>();
    let (late_by, mut from_service) = (late_by.clone(), service);
    std::thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = from_service.read(&mut buffer) {
            let at = now_ms() + *late_by.lock().unwrap();
            if held.send((at, buffer[..count].to_vec())).is_err() {
                break;
            }
        }
    });
    let mut to_caller = caller;
    std::thread::spawn(move || {
        while let Ok((at, bytes)) = due.recv() {
            sleep_until(at);
            if to_caller.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to_caller.shutdown(std::net::Shutdown::Both);
    });
    Some(())
}
