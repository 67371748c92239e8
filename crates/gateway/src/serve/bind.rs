//! Binds the listener, and retries while the address is in use.

use crate::limits::start::{BIND_RETRY_INTERVAL, BIND_TIMEOUT, LISTEN_BACKLOG};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connections of an earlier process may still be closing.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Binds, and retries while the address is in use.
pub(super) async fn bind_with_retry(address: SocketAddr) -> io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match bind(address) {
            Ok(listener) => return Ok(listener),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && start.elapsed() < BIND_TIMEOUT => {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error),
        }
    }
}
