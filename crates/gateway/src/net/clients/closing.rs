//! Closes connections so that what was written last arrives.

use super::limits::{DISCONNECT_POLL_INTERVAL, LINGER_TIMEOUT, MAX_LINGER_BYTES, WRITE_TIMEOUT};
use super::session::{ClientSession, SessionState};
use crate::net::io::is_closed_by_peer;
use crate::net::{read_some, write_all};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{sleep, timeout};

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Nothing is on its way to the client.
    Quiet,
    /// An answer may be, and requests that were not read are the client's to send again.
    Answered,
    /// An error may be, and nothing behind it counts.
    Refused,
}

/// Holds a connection until the client has read what was written last: closed at once over unread bytes, it would be
/// reset, and a reset takes with it what the client has not read yet.
pub(super) async fn linger(stream: &TcpStream, session: &ClientSession, reason: CloseReason) {
    if reason == CloseReason::Quiet || SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let client_leaves = async {
        if reason == CloseReason::Refused {
            discard_input(stream).await;
        } else {
            // What comes now was not read and never will be: its client sends it again elsewhere.
            client_disconnected(stream, || ()).await;
        }
    };
    let asked_to_leave = async {
        while session.state.get() != SessionState::Leaving {
            session.wake.notified().await;
        }
    };
    select! {
        () = client_leaves => {}
        () = sleep(LINGER_TIMEOUT) => {}
        () = asked_to_leave => {}
    }
}

/// Reads and drops what comes, within bounds.
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

/// Waits until a client has ended its sending, without reading what it sent before that.
pub(super) async fn client_disconnected(stream: &TcpStream, mut on_poll: impl FnMut()) {
    while !is_closed_by_peer(stream) {
        on_poll();
        sleep(DISCONNECT_POLL_INTERVAL).await;
    }
}

/// Writes all to a client, which may not take forever.
pub(super) async fn write(stream: &TcpStream, buffers: &[Bytes]) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, write_all(stream, buffers)).await.map_err(io::Error::from)?
}
