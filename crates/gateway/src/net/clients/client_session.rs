//! One client's connection, as the other connections and the shutdown see it.

use crate::limits::clients::SessionState;
use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The state of a client's connection.
pub(super) struct ClientSession {
    pub(super) state: Cell<SessionState>,
    /// When it was accepted, or when its last request was answered.
    pub(super) since: Cell<Instant>,
    pub(super) has_requested: Cell<bool>,
    /// Wakes its task after an eviction or the start of the shutdown.
    pub(super) wake: Notify,
}

impl ClientSession {
    pub(super) fn new() -> Self {
        ClientSession {
            state: Cell::new(SessionState::New),
            since: Cell::new(Instant::now()),
            has_requested: Cell::new(false),
            wake: Notify::new(),
        }
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.state.get() == SessionState::Evicted
    }

    pub(super) fn evict(&self) {
        self.state.set(SessionState::Evicted);
        self.wake.notify_one();
    }
}
