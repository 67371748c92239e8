//! One client's connection, from its first byte to its close.

use super::Clients;
use super::closing::{CloseReason, write};
use super::limits::{LOG_SAMPLING, MAX_BAD_QUERIES};
use super::read_buffer::ReadBuffer;
use super::reading::ReadOutcome;
use crate::counters::{COUNTERS, Metric};
use crate::net::read_some;
use crate::proto::pg::{self, Frontend, FrontendMessage};
use bytes::Bytes;
use latchhaven_policy::Millis;
use std::cell::Cell;
use std::io;
use std::ops::ControlFlow;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a client is told that sends nothing whole in time.
const LATE: &str = "nothing whole was asked in time";
/// What a client is told that is closed before its first request.
const NO_ROOM: &str = "no room, or stopping: come again";

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// No request was ever taken on it.
    New,
    /// A request is pending.
    Busy,
    /// All requests are answered.
    Idle,
    /// It was asked to leave.
    Leaving,
    /// Its last message was written; only its end is waited for.
    Closing,
}

/// One client's connection, as the others see it.
pub(super) struct ClientSession {
    pub(super) state: Cell<SessionState>,
    /// When it was accepted, or when it began to idle.
    pub(super) since: Cell<Instant>,
    pub(super) has_requested: Cell<bool>,
    /// Wakes its task: it was asked to leave, or the process ends.
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

    pub(super) fn ask_to_leave(&self) {
        self.state.set(SessionState::Leaving);
        self.wake.notify_one();
    }
}

/// Whether a session goes on.
type Step = ControlFlow<CloseReason>;

/// The task of a connection.
pub(super) struct SessionTask<'a> {
    pub(super) clients: &'a Clients,
    pub(super) session: &'a ClientSession,
    pub(super) stream: &'a TcpStream,
    /// There are not too many clients.
    has_room: bool,
    frontend: Frontend,
    pub(super) input: ReadBuffer,
    bad_queries: u32,
    /// When a message began to come that is not whole yet.
    pub(super) message_began: Option<Instant>,
}

impl<'a> SessionTask<'a> {
    pub(super) fn new(
        clients: &'a Clients, session: &'a ClientSession, stream: &'a TcpStream, has_room: bool,
    ) -> Self {
        SessionTask {
            clients,
            session,
            stream,
            has_room,
            frontend: Frontend::default(),
            input: ReadBuffer::default(),
            bad_queries: 0,
            message_began: None,
        }
    }

    /// Serves until the connection is to be closed; an error: it is lost.
    pub(super) async fn serve(mut self) -> io::Result<CloseReason> {
        self.stream.set_nodelay(true)?;
        loop {
            self.input.record_arrival(self.stream, self.clients.clock.now());
            let message = match self.frontend.next(&mut self.input.bytes) {
                Ok(message) => message,
                Err(error) => return self.refuse(&error.to_string(), &COUNTERS.protocol_errors_total).await,
            };
            let arrived_at = self.input.consume();
            self.track_message_start(message.is_some());
            let step = match message {
                Some(message) => self.on_message(message, arrived_at).await?,
                None => self.read_on().await?,
            };
            if let ControlFlow::Break(reason) = step {
                return Ok(reason);
            }
        }
    }

    /// A message that comes one byte at a time would never be late if each byte gave it more time.
    fn track_message_start(&mut self, is_complete: bool) {
        if self.input.bytes.is_empty() || is_complete {
            self.message_began = None;
        } else if self.message_began.is_none() {
            self.message_began = Some(Instant::now());
        }
    }

    async fn read_on(&mut self) -> io::Result<Step> {
        let reason = match self.read_more().await? {
            ReadOutcome::Read => return Ok(Step::Continue(())),
            ReadOutcome::Left => CloseReason::Quiet,
            ReadOutcome::Closing => self.close().await?,
            ReadOutcome::Late => self.refuse(LATE, &COUNTERS.clients_timed_out_total).await?,
        };
        Ok(Step::Break(reason))
    }

    /// This gateway wants the connection to end.
    async fn close(&mut self) -> io::Result<CloseReason> {
        if !self.session.has_requested.get() {
            // Closed without a word, it would not know that a retry is harmless.
            return self.reject_client(NO_ROOM).await;
        }
        match self.session.state.get() {
            SessionState::Leaving => Ok(CloseReason::Quiet),
            _ => Ok(CloseReason::Answered),
        }
    }

    async fn on_message(&mut self, message: FrontendMessage, arrived_at: Option<Millis>) -> io::Result<Step> {
        match message {
            FrontendMessage::EncryptionRequest => {
                self.write(&[Bytes::from_static(pg::encode::NO_ENCRYPTION)]).await?;
            }
            FrontendMessage::Cancel | FrontendMessage::Terminate => {
                return Ok(Step::Break(CloseReason::Answered));
            }
            FrontendMessage::Startup if !self.has_room => {
                return self.reject_client("too many connections").await.map(Step::Break);
            }
            FrontendMessage::Startup => self.write(&[pg::encode::greeting()]).await?,
            FrontendMessage::Sync => self.write(&[Bytes::from_static(pg::encode::READY)]).await?,
            FrontendMessage::Extended => {
                let code = pg::sqlstate::FEATURE_NOT_SUPPORTED;
                return self.on_bad_query(code, "only simple queries are known here", false).await;
            }
            FrontendMessage::Query(text) if text.trim_ascii().is_empty() => {
                self.wait_until_ready().await?;
                let empty = Bytes::from_static(pg::encode::EMPTY_QUERY);
                self.write(&[empty, Bytes::from_static(pg::encode::READY)]).await?;
            }
            FrontendMessage::Query(text) => return self.on_query(text, arrived_at).await,
        }
        Ok(Step::Continue(()))
    }

    /// Waits until the gateway is ready, unless its client goes away, writes on, or is to leave.
    async fn wait_until_ready(&mut self) -> io::Result<()> {
        if !self.input.bytes.is_empty() {
            return Ok(());
        }
        select! {
            biased;
            () = self.clients.readiness.wait() => {}
            () = self.session.wake.notified() => self.session.wake.notify_one(),
            read = read_some(self.stream, &mut self.input.bytes) => {
                if read? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
        Ok(())
    }

    async fn on_query(&mut self, text: Bytes, arrived_at: Option<Millis>) -> io::Result<Step> {
        let statement = match self.clients.admit(text) {
            Ok(statement) => statement,
            Err(error) => return self.on_bad_query(error.sqlstate(), &error.to_string(), true).await,
        };
        self.session.state.set(SessionState::Busy);
        self.session.has_requested.set(true);
        let arrived_at = arrived_at.unwrap_or_else(|| self.clients.clock.now());
        let answered = self.handle_request(statement, arrived_at).await;
        self.session.state.set(SessionState::Idle);
        self.session.since.set(Instant::now());
        answered?;
        Ok(Step::Continue(()))
    }

    /// Answers a query that cannot be taken; after too many of them the connection ends. `is_ready`: the answer ends the
    /// query.
    async fn on_bad_query(&mut self, code: &str, reason: &str, is_ready: bool) -> io::Result<Step> {
        self.bad_queries += 1;
        self.log_bad_input(reason, &COUNTERS.invalid_queries_total);
        let is_fatal = self.bad_queries >= MAX_BAD_QUERIES;
        let error = pg::encode::error(is_fatal, code, reason, None);
        let end: &[u8] = if is_ready && !is_fatal { pg::encode::READY } else { &[] };
        self.write(&[error, Bytes::from_static(end)]).await?;
        Ok(if is_fatal { Step::Break(CloseReason::Refused) } else { Step::Continue(()) })
    }

    /// Ends a connection that does not keep to the protocol.
    async fn refuse(&self, reason: &str, counter: &Metric) -> io::Result<CloseReason> {
        self.log_bad_input(reason, counter);
        self.write(&[pg::encode::error(true, pg::sqlstate::PROTOCOL_VIOLATION, reason, None)]).await?;
        Ok(CloseReason::Refused)
    }

    /// Ends a connection for which there is no room.
    async fn reject_client(&self, reason: &str) -> io::Result<CloseReason> {
        COUNTERS.clients_rejected_total.increment();
        self.write(&[pg::encode::error(true, pg::sqlstate::TOO_MANY_CONNECTIONS, reason, None)]).await?;
        Ok(CloseReason::Refused)
    }

    /// Counts bad input, and logs its peer and the reason; of lines that clients can bring about at will, few are logged.
    fn log_bad_input(&self, reason: &str, counter: &Metric) {
        let peer = self.stream.peer_addr().ok().map(tracing::field::display);
        if counter.value().is_multiple_of(LOG_SAMPLING) {
            tracing::info!(peer, reason, "clients: malformed input");
        } else {
            tracing::debug!(peer, reason, "clients: malformed input");
        }
        counter.increment();
    }

    pub(super) async fn write(&self, buffers: &[Bytes]) -> io::Result<()> {
        write(self.stream, buffers).await
    }
}
