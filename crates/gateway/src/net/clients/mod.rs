//! Clients: accepts connections, reads queries one after another, and writes each one's answer.
//!
//! - `accept`: accepts connections and closes others for want of room.
//! - `session`: one connection, from its first byte to its close.
//! - `reading`: waits for input within limits of time and room.
//! - `requests`: one request, from its query to its answer.
//! - `closing`: closes connections so that what was written last arrives.
//! - `shutdown`, `read_buffer`, `limits`: state and figures of these.

mod accept;
mod closing;
mod limits;
mod read_buffer;
mod reading;
mod requests;
mod session;
mod shutdown;

use super::DriverEvent;
use crate::clock::Clock;
use crate::readiness::Readiness;
use bytes::Bytes;
use latchhaven_policy::{Idempotency, RequestClass};
use limits::MAX_LARGE_MESSAGES;
use session::{ClientSession, SessionState};
use shutdown::Shutdown;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::{Semaphore, mpsc};

/// A class that clients may name.
struct KnownClass {
    name: String,
    /// Its requests carry an idempotency key.
    needs_idempotency_key: bool,
}

/// All connections of clients.
pub struct Clients {
    sessions: RefCell<BTreeMap<u64, Rc<ClientSession>>>,
    max_sessions: usize,
    classes: Vec<KnownClass>,
    /// The ids of open requests, as clients named them.
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

/// What clients are served with.
pub struct ClientsConfig {
    /// Connections at most.
    pub max_sessions: usize,
    /// The classes that clients may name.
    pub classes: Vec<RequestClass>,
    /// The gateway's clock.
    pub clock: Clock,
    /// When probes are answered.
    pub readiness: Readiness,
    /// The gateway's events.
    pub events: mpsc::Sender<DriverEvent>,
}

impl Clients {
    /// No connections yet.
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

    /// From now on a connection ends after its answer, or at once where nothing more is requested; one that has not
    /// requested anything yet gets a moment to do so.
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
