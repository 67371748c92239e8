//! The state of a connection to an endpoint, shared by the pool and the connection's task.

use super::call::UpstreamCall;
use bytes::Bytes;
use socket2::SockRef;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::Shutdown;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A query to write, and its write deadline.
pub(super) struct OutgoingQuery {
    pub(super) buffers: Vec<Bytes>,
    /// The last byte may not be written later.
    pub(super) write_deadline: Option<Instant>,
}

/// One connection to an endpoint.
pub struct UpstreamConnection {
    pub(super) endpoint: String,
    pub(super) generation: u64,
    pub(super) stream: OnceCell<TcpStream>,
    /// When TCP connected, before the startup messages: a process that replaced the endpoint later cannot have answered on it.
    pub(super) connected_at: Cell<Option<Instant>>,
    pub(super) is_closed: Cell<bool>,
    /// The last byte of the call was written.
    pub(super) is_written: Cell<bool>,
    pub(super) call: Cell<Option<UpstreamCall>>,
    pub(super) idle_since: Cell<Instant>,
    pub(super) outgoing: RefCell<Option<OutgoingQuery>>,
    /// Wakes the task: there is a query, or the connection is to be closed.
    pub(super) wake: Notify,
}

impl UpstreamConnection {
    pub(super) fn new(endpoint: &str, generation: u64) -> Self {
        UpstreamConnection {
            endpoint: endpoint.to_string(),
            generation,
            stream: OnceCell::new(),
            connected_at: Cell::new(None),
            is_closed: Cell::new(false),
            is_written: Cell::new(false),
            call: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            outgoing: RefCell::new(None),
            wake: Notify::new(),
        }
    }

    /// Shuts the socket down immediately, so that its task cannot write anything more.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        if let Some(stream) = self.stream.get() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Both);
        }
        self.wake.notify_one();
    }

    /// Waits until it is closed.
    pub(super) async fn closed(&self) {
        while !self.is_closed.get() {
            self.wake.notified().await;
        }
    }
}
