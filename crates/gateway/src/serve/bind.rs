//! Binds the listener.

use crate::limits::start::{BIND_RETRY_INTERVAL, BIND_TIMEOUT, LISTEN_BACKLOG};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Otherwise binding fails while connections of an earlier process are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Binds the listener. While the address is in use, retries until [`BIND_TIMEOUT`].
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
