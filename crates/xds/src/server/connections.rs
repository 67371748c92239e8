//! Accepts connections from allowed networks, up to a limit of open ones.

use crate::limits::ACCEPT_RETRY_INTERVAL;
use ipnet::IpNet;
use latchhaven_listener::accept_with_retry;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tonic::transport::server::Connected;

/// Which connections are accepted.
pub(super) struct ConnectionLimits {
    pub(super) allowed_networks: Vec<IpNet>,
    pub(super) max_connections: usize,
}

impl ConnectionLimits {
    fn accepts(&self, from: SocketAddr, open_connections: usize) -> bool {
        // On a dual-stack listener the address of an IPv4 peer is an IPv4-mapped IPv6 address.
        let ip = from.ip().to_canonical();
        if !self.allowed_networks.iter().any(|network| network.contains(&ip)) {
            tracing::debug!(%from, "connection rejected: network not allowed");
            return false;
        }
        if open_connections >= self.max_connections {
            tracing::debug!(%from, "connection rejected: too many connections");
            return false;
        }
        true
    }
}

/// Sends accepted connections to `accepted` until its receiver is closed. A connection is rejected before anything is
/// read from it, so that rejections are cheap.
pub(super) async fn accept(
    listener: TcpListener, limits: ConnectionLimits, accepted: mpsc::Sender<io::Result<CountedConnection>>,
) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let accept = async || listener.accept().await;
        let (stream, from) = accept_with_retry(accept, ACCEPT_RETRY_INTERVAL, |error, scope| {
            tracing::debug!(%error, ?scope, "accept failed");
        })
        .await;
        if !limits.accepts(from, open_connections.load(Ordering::Relaxed)) {
            continue;
        }
        // Without TCP_NODELAY responses may be delayed, but are still correct.
        let _ = stream.set_nodelay(true);
        let connection = CountedConnection::new(stream, open_connections.clone());
        if accepted.send(Ok(connection)).await.is_err() {
            return;
        }
    }
}

/// A connection that counts as open until it is dropped.
pub(super) struct CountedConnection {
    stream: TcpStream,
    open_connections: Arc<AtomicUsize>,
}

impl CountedConnection {
    fn new(stream: TcpStream, open_connections: Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        CountedConnection { stream, open_connections }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
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
