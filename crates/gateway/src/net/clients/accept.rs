//! Accepts connections, and closes others for want of room.

use super::Clients;
use super::closing;
use super::limits::{
    ACCEPT_RETRY_INTERVAL, LOG_SAMPLING, MAX_EXCESS_CONNECTIONS, MIN_IDLE_BEFORE_EVICTION,
    MIN_SILENCE_BEFORE_EVICTION,
};
use super::session::{ClientSession, SessionState, SessionTask};
use crate::counters::COUNTERS;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

/// Accepts that may fail at the end of the listener: each may have been of one connection only.
const MAX_FINAL_ACCEPT_FAILURES: usize = 1000;

/// The error is of the connection that was to be accepted, or of the moment; the next accept may succeed at once.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

impl Clients {
    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            if self.open_sessions() >= self.max_sessions + MAX_EXCESS_CONNECTIONS {
                // Those that were asked to leave do so as soon as others run.
                if self.evict_one() {
                    yield_now().await;
                } else {
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().open_session(stream),
                Err(error) => {
                    // Out of descriptors, or a client that was gone again: neither ends nor spins.
                    if COUNTERS.accept_errors_total.value().is_multiple_of(LOG_SAMPLING) {
                        tracing::warn!(%error, "clients: accept failed");
                    }
                    COUNTERS.accept_errors_total.increment();
                    if !concerns_one_connection(&error) {
                        self.evict_one();
                        sleep(ACCEPT_RETRY_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Takes the connections that the machine has accepted already: a request on one of them counts as taken. The
    /// machine is asked itself, for the runtime may not have looked at it since.
    ///
    /// # Errors
    /// A connection that the runtime cannot take.
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
                // Others wait behind it.
                Err(error) if failures < MAX_FINAL_ACCEPT_FAILURES => {
                    tracing::debug!(%error, "clients: final accept failed, tried again");
                    failures += 1;
                }
                Err(error) => return Err(error),
            }
        }
    }

    fn open_session(self: Rc<Self>, stream: TcpStream) {
        COUNTERS.client_connections_total.increment();
        let has_room = self.staying_sessions() < self.max_sessions || self.evict_one();
        let session = Rc::new(ClientSession::new());
        let id = self.next_session.replace(self.next_session.get() + 1);
        self.sessions.borrow_mut().insert(id, session.clone());
        COUNTERS.client_connections_max.record_max(self.open_sessions());
        COUNTERS.open_client_connections.set(self.open_sessions());
        let peer = stream.peer_addr().ok().map(tracing::field::display);
        tokio::task::spawn_local(async move {
            match SessionTask::new(&self, &session, &stream, has_room).serve().await {
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

    /// How many sessions are not about to end.
    fn staying_sessions(&self) -> usize {
        let sessions = self.sessions.borrow();
        let is_leaving = |state| matches!(state, SessionState::Leaving | SessionState::Closing);
        sessions.values().filter(|session| !is_leaving(session.state.get())).count()
    }

    /// Asks a client to leave: one that is closing already, else the one that has never requested anything for longest,
    /// else the one that has idled longest; true if there was one.
    fn evict_one(&self) -> bool {
        if let Some(session) = self.longest_in(SessionState::Closing, Duration::ZERO) {
            session.ask_to_leave();
            return true;
        }
        let candidate = self
            .longest_in(SessionState::New, MIN_SILENCE_BEFORE_EVICTION)
            .or_else(|| self.longest_in(SessionState::Idle, MIN_IDLE_BEFORE_EVICTION));
        let Some(session) = candidate else { return false };
        COUNTERS.clients_evicted_total.increment();
        session.ask_to_leave();
        true
    }

    /// The session that has been in a state for longest, and for this time at least.
    fn longest_in(&self, state: SessionState, min_duration: Duration) -> Option<Rc<ClientSession>> {
        let sessions = self.sessions.borrow();
        let candidates = sessions
            .values()
            .filter(|session| session.state.get() == state && session.since.get().elapsed() >= min_duration);
        candidates.min_by_key(|session| session.since.get()).cloned()
    }
}
