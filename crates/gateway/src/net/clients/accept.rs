//! Accepts connections, and evicts others above the limit.

use super::Clients;
use super::closing;
use super::session::SessionTask;
use super::shared_state::SharedSessionState;
use crate::counters::COUNTERS;
use crate::limits::LOG_SAMPLING;
use crate::limits::clients::{
    ACCEPT_RETRY_INTERVAL, EvictionCandidate, MAX_ACCEPTS_PER_TURN, MAX_EXCESS_CONNECTIONS,
    MAX_FINAL_ACCEPT_FAILURES, SessionState, choose_eviction,
};
use latchhaven_listener::{ErrorScope, accept_with_retry};
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

impl Clients {
    /// Accepts connections until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        for number in 1_u64.. {
            self.wait_for_capacity().await;
            let accept = async || listener.accept().await;
            let on_error = |error: &io::Error, scope| self.on_accept_error(error, scope);
            let (stream, _) = accept_with_retry(accept, ACCEPT_RETRY_INTERVAL, on_error).await;
            self.clone().open_session(stream);
            // Hundreds of connections may be queued, and those that are open have requests.
            if number.is_multiple_of(MAX_ACCEPTS_PER_TURN) {
                yield_now().await;
            }
        }
    }

    async fn wait_for_capacity(&self) {
        while self.open_sessions() >= self.max_sessions + MAX_EXCESS_CONNECTIONS {
            // The task of an evicted connection closes the connection the next time that the task runs.
            if self.evict_session() {
                yield_now().await;
            } else {
                sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }

    fn on_accept_error(&self, error: &io::Error, scope: ErrorScope) {
        if COUNTERS.accept_errors_total.value().is_multiple_of(LOG_SAMPLING) {
            tracing::warn!(%error, "clients: accept failed");
        }
        COUNTERS.accept_errors_total.increment();
        // The process most likely lacks file descriptors: an eviction releases one.
        if scope == ErrorScope::Process {
            self.evict_session();
        }
    }

    /// Accepts the connections in the kernel's queue, then closes the listener. Calls the kernel directly, because the
    /// runtime may not have been notified of the latest connections.
    ///
    /// # Errors
    /// A connection cannot be registered with the runtime, or more than [`MAX_FINAL_ACCEPT_FAILURES`] calls failed.
    pub fn accept_queued(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let listener = listener.into_std()?;
        let mut failures = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    self.clone().open_session(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // The error may concern a single connection, and others may be queued.
                Err(error) if failures < MAX_FINAL_ACCEPT_FAILURES => {
                    tracing::debug!(%error, "clients: final accept failed, retrying");
                    failures += 1;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn open_session(self: Rc<Self>, stream: TcpStream) {
        COUNTERS.client_connections_total.increment();
        let is_within_limit = self.counted_sessions() < self.max_sessions || self.evict_session();
        let session = Rc::new(SharedSessionState::new());
        let id = self.next_session_id.replace(self.next_session_id.get() + 1);
        self.sessions.borrow_mut().insert(id, session.clone());
        COUNTERS.client_connections_max.record_max(self.open_sessions());
        COUNTERS.open_client_connections.set(self.open_sessions());
        let peer = stream.peer_addr().ok().map(tracing::field::display);
        tokio::task::spawn_local(async move {
            match SessionTask::new(&self, &session, &stream, is_within_limit).serve().await {
                Ok(reason) => {
                    session.state.set(SessionState::Closing);
                    closing::linger(&stream, &session, reason).await;
                }
                Err(error) => tracing::debug!(peer, %error, "clients: connection lost"),
            }
            self.sessions.borrow_mut().remove(&id);
            COUNTERS.open_client_connections.set(self.open_sessions());
        });
    }

    /// The number of connections that count against the limit: those that are not about to close.
    fn counted_sessions(&self) -> usize {
        self.sessions.borrow().values().filter(|session| !session.state.get().is_about_to_close()).count()
    }

    /// Evicts the connection that [`choose_eviction`] selects. Returns `false` if none may be evicted now.
    fn evict_session(&self) -> bool {
        let sessions = self.sessions.borrow();
        let candidates = sessions.iter().map(|(id, session)| EvictionCandidate {
            id: *id,
            state: session.state.get(),
            last_activity: session.last_activity.get(),
        });
        let Some(evicted) = choose_eviction(&candidates, Instant::now()) else { return false };
        // A connection that is closing has completed its requests and does not count as evicted.
        if evicted.state != SessionState::Closing {
            COUNTERS.clients_evicted_total.increment();
        }
        if let Some(session) = sessions.get(&evicted.id) {
            session.evict();
        }
        true
    }
}
