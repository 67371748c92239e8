//! Clients: accepts connections, reads queries one after another, and writes each one's answer.
//!
//! - `accept`: accepts connections, and evicts others when there are too many.
//! - `session`: the task of one connection, from the startup message to the close.
//! - `reading`: reads input within its limits.
//! - `requests`: one request, from its query to its answer.
//! - `closing`: closes connections so that the client can read the last message.
//! - `client_session`, `read_buffer`, `shutdown`: the state of these.
//!
//! The limits and the rules for evictions and the shutdown are in [`limits`](crate::limits).

mod accept;
mod client_session;
mod closing;
mod read_buffer;
mod reading;
mod requests;
mod session;
mod shutdown;

use super::DriverEvent;
use crate::clock::Clock;
use crate::limits::clients::{MAX_LARGE_MESSAGES, SessionState};
use crate::readiness::Readiness;
use bytes::Bytes;
use client_session::ClientSession;
use latchhaven_policy::{Idempotency, RequestClass};
use shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{Semaphore, mpsc};

/// A class that requests may belong to.
struct KnownClass {
    name: String,
    /// Its requests must carry an idempotency key.
    needs_idempotency_key: bool,
}

/// All connections of clients.
pub struct Clients {
    sessions: RefCell<BTreeMap<u64, Rc<ClientSession>>>,
    max_sessions: usize,
    classes: Vec<KnownClass>,
    /// The ids of pending requests, as given by clients.
    open_ids: RefCell<BTreeSet<Bytes>>,
    /// Permits to read a large message.
    large_messages: Semaphore,
    next_session: Cell<u64>,
    next_request: Cell<u32>,
    shutdown: Shutdown,
    clock: Clock,
    readiness: Readiness,
    events: mpsc::Sender<DriverEvent>,
}

/// What [`Clients`] need.
pub struct ClientsConfig {
    /// Most connections at a time.
    pub max_sessions: usize,
    /// The classes that requests may belong to.
    pub classes: Vec<RequestClass>,
    /// The gateway's clock.
    pub clock: Clock,
    /// When health checks of the load balancer are answered.
    pub readiness: Readiness,
    /// The event loop.
    pub events: mpsc::Sender<DriverEvent>,
}

impl Clients {
    /// Clients without connections.
    #[must_use]
    pub fn new(config: ClientsConfig) -> Rc<Self> {
        let ClientsConfig { max_sessions, classes, clock, readiness, events } = config;
        let shutdown = Shutdown::new(&classes);
        let known_classes = classes.into_iter().map(|class| KnownClass {
            name: class.name,
            needs_idempotency_key: class.idempotency == Idempotency::IdempotencyKey,
        });
        Rc::new(Clients {
            sessions: RefCell::default(),
            max_sessions,
            classes: known_classes.collect(),
            open_ids: RefCell::default(),
            large_messages: Semaphore::new(MAX_LARGE_MESSAGES),
            next_session: Cell::new(0),
            next_request: Cell::new(0),
            shutdown,
            clock,
            readiness,
            events,
        })
    }

    /// Begins the shutdown: each connection closes when its requests are answered. One that has not sent a request yet
    /// may still do so for [`FIRST_REQUEST_TIMEOUT`](crate::limits::shutdown::FIRST_REQUEST_TIMEOUT).
    pub fn shut_down(&self) {
        self.shutdown.begin(self.clock.now());
        for session in self.sessions.borrow().values() {
            session.wake.notify_one();
        }
    }

    /// How many connections are open.
    pub fn open_sessions(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// How many of them have a pending request.
    pub fn busy_sessions(&self) -> usize {
        let sessions = self.sessions.borrow();
        sessions.values().filter(|session| session.state.get() == SessionState::Busy).count()
    }
}
