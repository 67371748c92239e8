//! Accepts connections and counts those that are open.

use ipnet::IpNet;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tonic::transport::server::Connected;

/// Delay before the next attempt when no connection can be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Who may connect.
pub(super) struct ConnectionLimits {
    pub(super) allowed: Vec<IpNet>,
    pub(super) max_connections: usize,
}

impl ConnectionLimits {
    fn is_allowed(&self, from: SocketAddr, open: usize) -> bool {
        // Checked before anything is read, so that a connection which is not allowed costs no more than this.
        if !self.allowed.iter().any(|network| network.contains(&from.ip().to_canonical())) {
            tracing::debug!(%from, "connection rejected: network not allowed");
            return false;
        }
        if open >= self.max_connections {
            tracing::debug!(%from, "connection rejected: too many connections");
            return false;
        }
        true
    }
}

/// Accepts connections until nobody receives them any more.
pub(super) async fn accept(
    listener: TcpListener, limits: ConnectionLimits, accepted: mpsc::Sender<io::Result<CountedConnection>>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        if !limits.is_allowed(from, open.load(Ordering::Relaxed)) {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let connection = CountedConnection::new(stream, open.clone());
        if accepted.send(Ok(connection)).await.is_err() {
            return;
        }
    }
}

/// A connection that is counted while it is open.
pub(super) struct CountedConnection {
    stream: TcpStream,
    open: Arc<AtomicUsize>,
}

impl CountedConnection {
    fn new(stream: TcpStream, open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        CountedConnection { stream, open }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Connected for CountedConnection {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for CountedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
