//! Fakes on loopback for tests, the demonstration and experiments, and the program as a child process.
//!
//! - [`wait`]: bounded waits.
//! - [`postgres`]: messages of the `PostgreSQL` protocol, and a client.
//! - [`fake_server`]: a server on that protocol whose behavior can be changed.
//! - [`response_style`]: the length of a server's values, and late bytes after its responses.
//! - [`link`]: a network link with a delay.
//! - [`fake_http`]: an HTTP service whose replies can be changed and whose streams can be written to.
//! - [`history`]: the records of a run, and the rules that a run must follow.
//! - [`platform_messages`]: the JSON of service discovery and of the platform.
//! - [`fake_platform`]: service discovery and a platform with a common state, which report each change of it.
//! - [`process`]: the program as a child process: its log, counters and resource usage.
//! - [`gateway`]: a gateway process with fakes around it.
//! - [`resource_cache`]: the resources of an xDS proxy, without I/O.
//! - [`fake_proxy`]: an xDS proxy on a socket.
//! - [`fake_load_reports`]: load reports of an xDS proxy.

#![warn(clippy::pedantic)]
#![allow(clippy::must_use_candidate, reason = "a test that ignores a result it needs fails")]
#![allow(clippy::cast_possible_truncation, reason = "lengths and counts in tests are small")]
#![allow(clippy::cast_precision_loss, reason = "counts in tests are small")]
#![allow(clippy::cast_sign_loss, reason = "counts are not negative")]

pub mod fake_http;
pub mod fake_load_reports;
pub mod fake_platform;
pub mod fake_proxy;
pub mod fake_server;
pub mod gateway;
pub mod history;
pub mod link;
pub mod platform_messages;
pub mod postgres;
pub mod process;
pub mod resource_cache;
pub mod response_style;
pub mod wait;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Listens on a free port and serves each connection on a thread of its own. The second argument of `serve` is the
/// connection's number, counted from 0. Returns the listening address.
fn serve_connections(serve: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream, number));
        }
    });
    addr
}

/// Locks a mutex. Panics if another thread panicked in the critical section, so that the failure of that thread
/// is not hidden.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("another thread panicked in the critical section")
}

/// Locks a mutex, even if another thread panicked in the critical section: cleanup and records still need the state.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
