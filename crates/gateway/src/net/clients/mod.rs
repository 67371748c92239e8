//! Connections of clients: each has a task that reads queries one after another and writes a final response to each.
//!
//! - `accept`: accepts connections, and evicts others above the limit.
//! - `shared_state`: the state of a connection that its task shares with the eviction rule and the shutdown.
//! - `session`: the task of a connection, from the startup message to the close.
//! - `reading`: reads input until a deadline or the close of the connection.
//! - `read_buffer`: input that was read and not yet parsed, and when it arrived.
//! - `requests`: one request, from its query to its final response.
//! - `closing`: closes connections in such a way that the client can read the last message.
//! - `shutdown`: when the shutdown began, and what its schedule requires.
//!
//! The limits and the rules for evictions and the shutdown are in [`limits`](crate::limits).

mod accept;
mod closing;
mod large_messages;
mod read_buffer;
mod reading;
mod requests;
mod session;
mod shared_state;
mod shutdown;

use super::DriverEvent;
use crate::clock::Clock;
use crate::limits::clients::SessionState;
use crate::readiness::Readiness;
use bytes::Bytes;
use large_messages::LargeMessages;
use latchhaven_policy::{Idempotency, RequestClass};
use shared_state::SharedSessionState;
use shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::mpsc;

/// A configured request class; queries with another class are invalid.
struct KnownClass {
    name: String,
    requires_idempotency_key: bool,
}

/// All connections of clients.
pub struct Clients {
    sessions: RefCell<BTreeMap<u64, Rc<SharedSessionState>>>,
    max_sessions: usize,
    classes: Vec<KnownClass>,
    /// The ids of pending requests, as given by clients, and until their deadline those whose client has disconnected;
    /// each is unique.
    pending_ids: Rc<RefCell<BTreeSet<Bytes>>>,
    /// Memory for messages above [`MAX_READ_AHEAD_BYTES`](crate::limits::clients::MAX_READ_AHEAD_BYTES).
    large_messages: LargeMessages,
    next_session_id: Cell<u64>,
    next_request_id: Cell<u32>,
    shutdown: Shutdown,
    clock: Clock,
    readiness: Readiness,
    events: mpsc::Sender<DriverEvent>,
}

/// The arguments of [`Clients::new`].
pub struct ClientsConfig {
    /// Limit of connections, derived from the descriptors that the process may open. A connection above the limit
    /// evicts another one or is rejected with an error.
    pub max_sessions: usize,
    /// Memory in bytes for large messages, until their requests have a response.
    pub large_message_memory: usize,
    /// The configured classes. A query with another class is invalid; the longest timeout determines the shutdown.
    pub classes: Vec<RequestClass>,
    /// The clock of arrival times; the event loop uses the same.
    pub clock: Clock,
    /// Delays the response to an empty query, which is the load balancer's health check, until the gateway is ready.
    pub readiness: Readiness,
    /// The queue of the event loop, which receives requests, disconnects and abandonments.
    pub events: mpsc::Sender<DriverEvent>,
}

impl Clients {
    /// Creates the state of all connections, without any; [`Clients::accept`] adds them.
    #[must_use]
    pub fn new(config: ClientsConfig) -> Rc<Self> {
        let ClientsConfig { max_sessions, large_message_memory, classes, clock, readiness, events } = config;
        let shutdown = Shutdown::new(&classes);
        let known_classes = classes.into_iter().map(|class| KnownClass {
            name: class.name,
            requires_idempotency_key: class.idempotency == Idempotency::IdempotencyKey,
        });
        Rc::new(Clients {
            sessions: RefCell::default(),
            max_sessions,
            classes: known_classes.collect(),
            pending_ids: Rc::default(),
            large_messages: LargeMessages::new(large_message_memory),
            next_session_id: Cell::new(0),
            next_request_id: Cell::new(0),
            shutdown,
            clock,
            readiness,
            events,
        })
    }

    /// Begins the shutdown: each connection closes when its requests are completed. A connection without a request may
    /// still send the first one within [`FIRST_REQUEST_TIMEOUT`](crate::limits::shutdown::FIRST_REQUEST_TIMEOUT). Later
    /// calls do not restart the shutdown.
    pub fn shut_down(&self) {
        self.shutdown.begin(self.clock.now());
        for session in self.sessions.borrow().values() {
            session.wake.notify_one();
        }
    }

    /// The number of open connections, including those that are about to close.
    pub fn open_sessions(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// The number of open connections with a pending request.
    pub fn busy_sessions(&self) -> usize {
        let sessions = self.sessions.borrow();
        sessions.values().filter(|session| session.state.get() == SessionState::Busy).count()
    }
}
