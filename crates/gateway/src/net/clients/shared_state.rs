//! The state of a client's connection that its task shares with the eviction rule and the shutdown.

use crate::limits::clients::SessionState;
use std::cell::Cell;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The shared state of a client's connection. The connection is served by a
/// [`SessionTask`](super::session::SessionTask).
pub(super) struct SharedSessionState {
    pub(super) state: Cell<SessionState>,
    /// When the connection was accepted or, after the first request, when the last request completed.
    pub(super) last_activity: Cell<Instant>,
    /// Set when the first valid request was received.
    pub(super) has_requested: Cell<bool>,
    /// Wakes the task after an eviction or the start of the shutdown.
    pub(super) wake: Notify,
}

impl SharedSessionState {
    pub(super) fn new() -> Self {
        SharedSessionState {
            state: Cell::new(SessionState::New),
            last_activity: Cell::new(Instant::now()),
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
