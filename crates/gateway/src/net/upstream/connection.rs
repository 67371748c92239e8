//! The state of a connection to an endpoint, shared by the pool and the connection's task.

use super::call::UpstreamCall;
use crate::proto::pg::encode::OutgoingQuery;
use socket2::SockRef;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::Shutdown;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A query that the connection's task is to write.
pub(super) struct AssignedQuery {
    pub(super) query: OutgoingQuery,
    /// The last byte is written before this instant or never; `None` without a limit.
    pub(super) write_deadline: Option<Instant>,
}

/// The state of one connection to an endpoint. The pool assigns calls; the connection's task carries them.
pub struct UpstreamConnection {
    /// The id of the endpoint in the endpoint list.
    pub(super) endpoint: String,
    /// The generation of the endpoint for which the connection was opened. The pool assigns further calls only
    /// while the endpoint has this generation.
    pub(super) generation: u64,
    /// Set when TCP has connected.
    pub(super) stream: OnceCell<TcpStream>,
    /// Set when TCP has connected, before the startup messages: a process that replaced the endpoint after this instant
    /// cannot have sent a response on the connection.
    pub(super) connected_at: Cell<Option<Instant>>,
    /// Time from the startup message until the endpoint was ready; at least the round trip of the network.
    pub(super) round_trip: Cell<Duration>,
    pub(super) is_closed: Cell<bool>,
    /// Set when the last byte of the assigned call was written.
    pub(super) is_written: Cell<bool>,
    /// Set when the connection has carried a response: bytes that belong to it may still arrive.
    pub(super) has_responded: Cell<bool>,
    /// When an idle connection can carry the next call: no bytes of its last response are expected from then on.
    pub(super) settled_at: Cell<Instant>,
    /// Set while a queued call waits until the connection is settled.
    pub(super) is_awaited: Cell<bool>,
    /// The assigned call, until it ends or is cancelled.
    pub(super) call: Cell<Option<UpstreamCall>>,
    /// When the connection became idle; of no meaning while a call is assigned.
    pub(super) idle_since: Cell<Instant>,
    /// The query of the assigned call, until the task takes it.
    pub(super) outgoing: RefCell<Option<AssignedQuery>>,
    /// Wakes the task after `outgoing` or `is_closed` has changed.
    pub(super) wake: Notify,
}

impl UpstreamConnection {
    pub(super) fn new(endpoint: &str, generation: u64) -> Self {
        UpstreamConnection {
            endpoint: endpoint.to_string(),
            generation,
            stream: OnceCell::new(),
            connected_at: Cell::new(None),
            round_trip: Cell::new(Duration::MAX),
            is_closed: Cell::new(false),
            is_written: Cell::new(false),
            has_responded: Cell::new(false),
            settled_at: Cell::new(Instant::now()),
            is_awaited: Cell::new(false),
            call: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            outgoing: RefCell::new(None),
            wake: Notify::new(),
        }
    }

    /// Closes the connection. Shuts the socket down immediately, so that the task cannot write any further byte.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        if let Some(stream) = self.stream.get() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Both);
        }
        self.wake.notify_one();
    }

    pub(super) async fn closed(&self) {
        while !self.is_closed.get() {
            self.wake.notified().await;
        }
    }
}
