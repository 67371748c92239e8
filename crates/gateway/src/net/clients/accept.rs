//! Accepts connections, and evicts others when there are too many.

use super::Clients;
use super::client_session::ClientSession;
use super::closing;
use super::session::SessionTask;
use crate::counters::COUNTERS;
use crate::limits::LOG_SAMPLING;
use crate::limits::clients::{
    ACCEPT_RETRY_INTERVAL, EvictionCandidate, MAX_EXCESS_CONNECTIONS, MAX_FINAL_ACCEPT_FAILURES,
    SessionState, choose_eviction,
};
use latchhaven_listener::{ErrorScope, accept_with_retry};
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

impl Clients {
    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            self.wait_for_capacity().await;
            let accept = async || listener.accept().await;
            let on_error = |error: &io::Error, scope| self.on_accept_error(error, scope);
            let (stream, _) = accept_with_retry(accept, ACCEPT_RETRY_INTERVAL, on_error).await;
            self.clone().open_session(stream);
        }
    }

    async fn wait_for_capacity(&self) {
        while self.open_sessions() >= self.max_sessions + MAX_EXCESS_CONNECTIONS {
            // An evicted connection closes as soon as its task runs.
            if self.evict_one() {
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
        // Most likely out of descriptors: an eviction releases one.
        if scope == ErrorScope::Process {
            self.evict_one();
        }
    }

    /// Accepts the connections that wait in the kernel's queue, then closes the listener. Calls the kernel directly: the
    /// runtime may not have noticed the latest ones.
    ///
    /// # Errors
    /// A connection cannot be registered with the runtime, or too many accepts failed.
    pub fn accept_rest(self: &Rc<Self>, listener: TcpListener) -> io::Result<()> {
        let listener = listener.into_std()?;
        let mut failures = 0;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    self.clone().open_session(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // Further connections may be queued.
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
        let is_admitted = self.lasting_sessions() < self.max_sessions || self.evict_one();
        let session = Rc::new(ClientSession::new());
        let id = self.next_session.replace(self.next_session.get() + 1);
        self.sessions.borrow_mut().insert(id, session.clone());
        COUNTERS.client_connections_max.record_max(self.open_sessions());
        COUNTERS.open_client_connections.set(self.open_sessions());
        let peer = stream.peer_addr().ok().map(tracing::field::display);
        tokio::task::spawn_local(async move {
            match SessionTask::new(&self, &session, &stream, is_admitted).serve().await {
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

    /// How many connections are not about to end.
    fn lasting_sessions(&self) -> usize {
        self.sessions.borrow().values().filter(|session| !session.state.get().is_about_to_close()).count()
    }

    /// Evicts a connection; false if every one is in use.
    fn evict_one(&self) -> bool {
        let sessions = self.sessions.borrow();
        let candidates = sessions.iter().map(|(id, session)| EvictionCandidate {
            id: *id,
            state: session.state.get(),
            idle_since: session.since.get(),
        });
        let Some(evicted) = choose_eviction(&candidates, Instant::now()) else { return false };
        // One that is closing has completed its requests and does not count as evicted.
        if evicted.state != SessionState::Closing {
            COUNTERS.clients_evicted_total.increment();
        }
        if let Some(session) = sessions.get(&evicted.id) {
            session.evict();
        }
        true
    }
}
