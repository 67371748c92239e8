//! Binds the listener, again and again while the address is still held.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep};

/// Connections that the machine accepts before this program does.
const BACKLOG: u32 = 1024;
/// A gateway that was killed starts again under its address, which the one before may hold for a moment yet: binding is
/// retried after this.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// For so long at most, well within the 10 s in which a restart is to be ready.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connections of the one before linger there.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
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
            Err(error) => return Err(io::Error::new(error.kind(), format!("listen: {address}: {error}"))),
        }
    }
}
