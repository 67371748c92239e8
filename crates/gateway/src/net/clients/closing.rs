//! Closes connections in such a way that the client can read the last message.

use super::shared_state::SharedSessionState;
use crate::limits::clients::{DISCONNECT_POLL_INTERVAL, LINGER_TIMEOUT, MAX_LINGER_BYTES, WRITE_TIMEOUT};
use crate::net::io::is_closed_by_peer;
use crate::net::{read_some, write_all};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{sleep, timeout};

/// What was sent to a client before its connection is closed. Decides how the rest of the input is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputBeforeClose {
    /// No message can be on its way to the client: the connection is closed immediately.
    NoPendingOutput,
    /// A response may be on its way, or the client is closing the connection. Requests in the rest of the input are not
    /// read and get no response; the client may retry them.
    ResponseSent,
    /// An error may be on its way. The rest of the input is read and discarded.
    ErrorSent,
}

/// Delays the close of a connection until the client has read the last message, at most by [`LINGER_TIMEOUT`]. Closing
/// a socket with unread input resets the connection, and the client would lose what it has not read yet.
pub(super) async fn linger(stream: &TcpStream, session: &SharedSessionState, reason: OutputBeforeClose) {
    if reason == OutputBeforeClose::NoPendingOutput
        || SockRef::from(stream).shutdown(Shutdown::Write).is_err()
    {
        return;
    }
    let client_leaves = async {
        if reason == OutputBeforeClose::ErrorSent {
            discard_input(stream).await;
        } else {
            wait_until_disconnected(stream, || ()).await;
        }
    };
    let evicted = async {
        while !session.is_evicted() {
            session.wake.notified().await;
        }
    };
    select! {
        () = client_leaves => {}
        () = sleep(LINGER_TIMEOUT) => {}
        () = evicted => {}
    }
}

/// Reads and discards input until the client closes its side, up to [`MAX_LINGER_BYTES`].
async fn discard_input(stream: &TcpStream) {
    let mut buffer = BytesMut::new();
    let mut remaining = MAX_LINGER_BYTES;
    while let Ok(read @ 1..) = read_some(stream, &mut buffer).await
        && remaining > 0
    {
        remaining = remaining.saturating_sub(read);
        buffer.clear();
    }
}

/// Waits until a client has closed its side, without reading the input. Calls `on_poll` before each poll interval.
pub(super) async fn wait_until_disconnected(stream: &TcpStream, mut on_poll: impl FnMut()) {
    while !is_closed_by_peer(stream) {
        on_poll();
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

/// Writes all buffers to a client within [`WRITE_TIMEOUT`].
pub(super) async fn write(stream: &TcpStream, buffers: &[Bytes]) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, write_all(stream, buffers)).await.map_err(io::Error::from)?
}
