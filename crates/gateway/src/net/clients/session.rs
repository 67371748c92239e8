//! The task of one client's connection, from the startup message to the close.

use super::Clients;
use super::client_session::ClientSession;
use super::closing::{CloseReason, write};
use super::read_buffer::ReadBuffer;
use crate::counters::{COUNTERS, Metric};
use crate::limits::LOG_SAMPLING;
use crate::limits::clients::{MAX_INVALID_QUERIES, SessionState};
use crate::net::read_some;
use crate::proto::pg::{self, FrontendMessage, FrontendParser};
use bytes::Bytes;
use latchhaven_policy::Millis;
use std::io;
use std::ops::ControlFlow;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::Instant;

/// Error text for a client that sends no complete query in time.
const NO_COMPLETE_QUERY: &str = "nothing whole was asked in time";
/// Error text for a client whose connection is closed before its first request.
const CLOSED_BEFORE_FIRST_QUERY: &str = "no room, or stopping: come again";

/// How an attempt to read more input ended.
pub(super) enum ReadOutcome {
    /// There is more input.
    Read,
    /// The client has disconnected, or was idle for too long.
    Ended,
    /// The connection was evicted, or the gateway is shutting down.
    Closing,
    /// No complete message arrived in time.
    TimedOut,
}

/// Whether a connection is served further.
type Step = ControlFlow<CloseReason>;

/// The task of a connection.
pub(super) struct SessionTask<'a> {
    pub(super) clients: &'a Clients,
    pub(super) session: &'a ClientSession,
    pub(super) stream: &'a TcpStream,
    /// It is within the limit of connections.
    is_admitted: bool,
    frontend: FrontendParser,
    pub(super) input: ReadBuffer,
    invalid_queries: u32,
    /// When the first byte of an incomplete message arrived.
    pub(super) message_began: Option<Instant>,
}

impl<'a> SessionTask<'a> {
    pub(super) fn new(
        clients: &'a Clients, session: &'a ClientSession, stream: &'a TcpStream, is_admitted: bool,
    ) -> Self {
        SessionTask {
            clients,
            session,
            stream,
            is_admitted,
            frontend: FrontendParser::default(),
            input: ReadBuffer::default(),
            invalid_queries: 0,
            message_began: None,
        }
    }

    /// Serves until the connection is to be closed. Returns why.
    ///
    /// # Errors
    /// The connection is lost.
    pub(super) async fn serve(mut self) -> io::Result<CloseReason> {
        self.stream.set_nodelay(true)?;
        loop {
            self.input.record_arrival(self.stream, self.clients.clock.now());
            let message = match self.frontend.next(&mut self.input.bytes) {
                Ok(message) => message,
                Err(error) => {
                    return self
                        .close_with_violation(&error.to_string(), &COUNTERS.protocol_errors_total)
                        .await;
                }
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

    /// Records the start of an incomplete message once: its timeout does not start again with each byte.
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
            ReadOutcome::Ended => CloseReason::Quiet,
            ReadOutcome::Closing => self.close().await?,
            ReadOutcome::TimedOut => {
                self.close_with_violation(NO_COMPLETE_QUERY, &COUNTERS.clients_timed_out_total).await?
            }
        };
        Ok(Step::Break(reason))
    }

    /// The gateway closes the connection.
    async fn close(&mut self) -> io::Result<CloseReason> {
        if !self.session.has_requested.get() {
            // Without an error the client would not know that a retry is safe.
            return self.close_with_rejection(CLOSED_BEFORE_FIRST_QUERY).await;
        }
        Ok(if self.session.is_evicted() { CloseReason::Quiet } else { CloseReason::Answered })
    }

    async fn on_message(&mut self, message: FrontendMessage, arrived_at: Option<Millis>) -> io::Result<Step> {
        match message {
            FrontendMessage::EncryptionRequest => {
                self.write(&[Bytes::from_static(pg::encode::NO_ENCRYPTION)]).await?;
            }
            FrontendMessage::CancelRequest | FrontendMessage::Terminate => {
                return Ok(Step::Break(CloseReason::Answered));
            }
            FrontendMessage::Startup if !self.is_admitted => {
                return self.close_with_rejection("too many connections").await.map(Step::Break);
            }
            FrontendMessage::Startup => self.write(&[pg::encode::startup_response()]).await?,
            FrontendMessage::Sync => self.write(&[Bytes::from_static(pg::encode::READY)]).await?,
            FrontendMessage::ExtendedQuery => {
                let code = pg::sqlstate::FEATURE_NOT_SUPPORTED;
                return self.on_invalid_query(code, "only simple queries are known here", false).await;
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

    /// Waits until the gateway is ready, or until more input arrives or the connection is to be closed.
    ///
    /// # Errors
    /// The client has disconnected.
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
            Err(error) => return self.on_invalid_query(error.sqlstate(), &error.to_string(), true).await,
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

    /// Answers an invalid query; after too many of them the connection is closed. `is_ready`: the answer completes the
    /// query.
    async fn on_invalid_query(&mut self, code: &str, reason: &str, is_ready: bool) -> io::Result<Step> {
        self.invalid_queries += 1;
        self.log_malformed_input(reason, &COUNTERS.invalid_queries_total);
        let is_fatal = self.invalid_queries >= MAX_INVALID_QUERIES;
        let error = pg::encode::error(is_fatal, code, reason, None);
        let end: &[u8] = if is_ready && !is_fatal { pg::encode::READY } else { &[] };
        self.write(&[error, Bytes::from_static(end)]).await?;
        Ok(if is_fatal { Step::Break(CloseReason::Rejected) } else { Step::Continue(()) })
    }

    /// Closes a connection that violates the protocol.
    async fn close_with_violation(&self, reason: &str, counter: &Metric) -> io::Result<CloseReason> {
        self.log_malformed_input(reason, counter);
        self.write(&[pg::encode::error(true, pg::sqlstate::PROTOCOL_VIOLATION, reason, None)]).await?;
        Ok(CloseReason::Rejected)
    }

    /// Closes a connection above the limit, or before its first request.
    async fn close_with_rejection(&self, reason: &str) -> io::Result<CloseReason> {
        COUNTERS.clients_rejected_total.increment();
        self.write(&[pg::encode::error(true, pg::sqlstate::TOO_MANY_CONNECTIONS, reason, None)]).await?;
        Ok(CloseReason::Rejected)
    }

    /// Counts and logs malformed input; sampled, because clients can cause it at will.
    fn log_malformed_input(&self, reason: &str, counter: &Metric) {
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
