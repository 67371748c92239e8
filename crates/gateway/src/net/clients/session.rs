//! The task of one client's connection, from the startup message to the close.

use super::Clients;
use super::closing::{OutputBeforeClose, write};
use super::read_buffer::ReadBuffer;
use super::shared_state::SharedSessionState;
use crate::counters::{COUNTERS, Metric};
use crate::limits::LOG_SAMPLING;
use crate::limits::clients::{MAX_INVALID_QUERIES, MAX_MESSAGES_PER_TURN, MAX_OUTPUT_BYTES, SessionState};
use crate::net::read_some;
use crate::proto::pg::{self, FrontendMessage, FrontendParser};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::Millis;
use std::io;
use std::ops::ControlFlow;
use tokio::net::TcpStream;
use tokio::select;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Error text for a client that sends no complete query in time.
const NO_COMPLETE_QUERY: &str = "nothing whole was asked in time";
/// Error text for a client whose connection is closed before its first request.
const CLOSED_BEFORE_FIRST_QUERY: &str = "no room, or stopping: come again";

/// Error text for a client whose large request was not read.
const NO_MEMORY_FOR_REQUEST: &str = "no room for a large request: come again";

/// Why a wait for more input ended.
pub(super) enum ReadOutcome {
    /// Input was read.
    Read,
    /// The client has disconnected, or was idle for too long between two requests.
    ClosedOrIdle,
    /// The connection was evicted, or the gateway is shutting down.
    CloseRequired,
    /// The first request or the rest of a message did not arrive before the deadline.
    TimedOut,
    /// There was no memory to read the rest of a large message.
    OutOfMemory,
}

/// `Break` if the connection is to be closed.
type Step = ControlFlow<OutputBeforeClose>;

/// Serves a connection. `session` is the part of the state that other tasks read or change.
pub(super) struct SessionTask<'a> {
    pub(super) clients: &'a Clients,
    pub(super) session: &'a SharedSessionState,
    pub(super) stream: &'a TcpStream,
    /// If not set, the startup message is rejected with an error: the connection was accepted above the limit.
    is_within_limit: bool,
    frontend: FrontendParser,
    pub(super) input: ReadBuffer,
    /// Responses that are not written yet: those to the messages of one read are written together.
    output: BytesMut,
    /// Messages handled since other tasks had a turn.
    messages_in_turn: u32,
    invalid_queries: u32,
    /// When the first byte of an incomplete message was read; `None` if the buffer has no incomplete message.
    pub(super) message_started_at: Option<Instant>,
}

impl<'a> SessionTask<'a> {
    pub(super) fn new(
        clients: &'a Clients, session: &'a SharedSessionState, stream: &'a TcpStream, is_within_limit: bool,
    ) -> Self {
        SessionTask {
            clients,
            session,
            stream,
            is_within_limit,
            frontend: FrontendParser::default(),
            input: ReadBuffer::default(),
            output: BytesMut::new(),
            messages_in_turn: 0,
            invalid_queries: 0,
            message_started_at: None,
        }
    }

    /// Serves the connection until it is to be closed. Returns how to close it.
    ///
    /// # Errors
    /// The connection is lost.
    pub(super) async fn serve(mut self) -> io::Result<OutputBeforeClose> {
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
            self.input.release_if_empty();
            self.track_message_start(message.is_some());
            let step = match message {
                Some(message) => self.on_message(message, arrived_at).await?,
                None => self.read_or_close().await?,
            };
            self.let_others_run().await;
            if let ControlFlow::Break(reason) = step {
                return Ok(reason);
            }
        }
    }

    /// Lets other tasks run after [`MAX_MESSAGES_PER_TURN`] messages: many short ones arrive with one read.
    async fn let_others_run(&mut self) {
        self.messages_in_turn += 1;
        if self.messages_in_turn >= MAX_MESSAGES_PER_TURN {
            self.messages_in_turn = 0;
            yield_now().await;
        }
    }

    /// Records when an incomplete message started. The timeout of a message does not start again with each byte.
    fn track_message_start(&mut self, is_complete: bool) {
        if self.input.bytes.is_empty() || is_complete {
            self.message_started_at = None;
        } else if self.message_started_at.is_none() {
            self.message_started_at = Some(Instant::now());
        }
    }

    async fn read_or_close(&mut self) -> io::Result<Step> {
        self.flush().await?;
        let reason = match self.read_more().await? {
            ReadOutcome::Read => return Ok(Step::Continue(())),
            ReadOutcome::ClosedOrIdle => OutputBeforeClose::NoPendingOutput,
            ReadOutcome::CloseRequired => self.close().await?,
            ReadOutcome::TimedOut => {
                self.close_with_violation(NO_COMPLETE_QUERY, &COUNTERS.clients_timed_out_total).await?
            }
            ReadOutcome::OutOfMemory => self.close_with_rejection(NO_MEMORY_FOR_REQUEST).await?,
        };
        Ok(Step::Break(reason))
    }

    /// Closes the connection on the gateway's initiative.
    async fn close(&mut self) -> io::Result<OutputBeforeClose> {
        if !self.session.has_requested.get() {
            // Without an error the client would not know that its request was not executed and can be retried.
            return self.close_with_rejection(CLOSED_BEFORE_FIRST_QUERY).await;
        }
        Ok(if self.session.is_evicted() {
            OutputBeforeClose::NoPendingOutput
        } else {
            OutputBeforeClose::ResponseSent
        })
    }

    async fn on_message(&mut self, message: FrontendMessage, arrived_at: Option<Millis>) -> io::Result<Step> {
        match message {
            FrontendMessage::EncryptionRequest => {
                self.respond(pg::encode::NO_ENCRYPTION).await?;
            }
            FrontendMessage::CancelRequest | FrontendMessage::Terminate => {
                return Ok(Step::Break(OutputBeforeClose::ResponseSent));
            }
            FrontendMessage::Startup if !self.is_within_limit => {
                return self.close_with_rejection("too many connections").await.map(Step::Break);
            }
            FrontendMessage::Startup => self.write(&[pg::encode::startup_response()]).await?,
            FrontendMessage::Sync => self.respond(pg::encode::READY).await?,
            FrontendMessage::ExtendedQuery => {
                let code = pg::sqlstate::FEATURE_NOT_SUPPORTED;
                return self.on_invalid_query(code, "only simple queries are known here", false).await;
            }
            FrontendMessage::Query(text) if text.trim_ascii().is_empty() => {
                self.wait_until_ready().await?;
                self.respond(pg::encode::EMPTY_QUERY).await?;
                self.respond(pg::encode::READY).await?;
            }
            FrontendMessage::Query(text) => return self.on_query(text, arrived_at).await,
        }
        Ok(Step::Continue(()))
    }

    /// Delays the response to an empty query until the gateway is ready. Returns earlier if more input arrives or the
    /// connection is to be closed.
    ///
    /// # Errors
    /// The client has disconnected.
    async fn wait_until_ready(&mut self) -> io::Result<()> {
        if !self.input.bytes.is_empty() {
            return Ok(());
        }
        self.flush().await?;
        select! {
            biased;
            () = self.clients.readiness.wait() => {}
            // The notification is passed on to the next wait for input.
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
        let memory = self.input.large_message_memory.take();
        let statement = match self.clients.parse_query(text, memory) {
            Ok(statement) => statement,
            Err(error) => return self.on_invalid_query(error.sqlstate(), &error.to_string(), true).await,
        };
        self.flush().await?;
        self.session.state.set(SessionState::Busy);
        self.session.has_requested.set(true);
        let arrived_at = arrived_at.unwrap_or_else(|| self.clients.clock.now());
        let completed = self.handle_request(statement, arrived_at).await;
        self.session.state.set(SessionState::Idle);
        self.session.last_activity.set(Instant::now());
        completed?;
        Ok(Step::Continue(()))
    }

    /// Sends an error for an invalid query, followed by `ReadyForQuery` if `completes_query`. Closes the connection at
    /// the [`MAX_INVALID_QUERIES`]th one.
    async fn on_invalid_query(
        &mut self, code: &str, reason: &str, completes_query: bool,
    ) -> io::Result<Step> {
        self.invalid_queries += 1;
        self.log_malformed_input(reason, &COUNTERS.invalid_queries_total);
        let is_fatal = self.invalid_queries >= MAX_INVALID_QUERIES;
        let error = pg::encode::error(is_fatal, code, reason, None);
        let end: &[u8] = if completes_query && !is_fatal { pg::encode::READY } else { &[] };
        self.write(&[error, Bytes::from_static(end)]).await?;
        Ok(if is_fatal { Step::Break(OutputBeforeClose::ErrorSent) } else { Step::Continue(()) })
    }

    /// Closes a connection that violates the protocol or exceeds a time limit, with an error.
    async fn close_with_violation(
        &mut self, reason: &str, counter: &Metric,
    ) -> io::Result<OutputBeforeClose> {
        self.log_malformed_input(reason, counter);
        self.write(&[pg::encode::error(true, pg::sqlstate::PROTOCOL_VIOLATION, reason, None)]).await?;
        Ok(OutputBeforeClose::ErrorSent)
    }

    /// Closes a connection above the limit, or before its first request, with an error that permits a retry.
    async fn close_with_rejection(&mut self, reason: &str) -> io::Result<OutputBeforeClose> {
        COUNTERS.clients_rejected_total.increment();
        self.write(&[pg::encode::error(true, pg::sqlstate::TOO_MANY_CONNECTIONS, reason, None)]).await?;
        Ok(OutputBeforeClose::ErrorSent)
    }

    /// Counts and logs malformed input. Only a sample has level info, because clients can cause any number of lines.
    fn log_malformed_input(&self, reason: &str, counter: &Metric) {
        let peer = self.stream.peer_addr().ok().map(tracing::field::display);
        if counter.value().is_multiple_of(LOG_SAMPLING) {
            tracing::info!(peer, reason, "clients: malformed input");
        } else {
            tracing::debug!(peer, reason, "clients: malformed input");
        }
        counter.increment();
    }

    /// Adds a response to the output that is written before the next wait for input.
    async fn respond(&mut self, response: &[u8]) -> io::Result<()> {
        self.output.extend_from_slice(response);
        if self.output.len() >= MAX_OUTPUT_BYTES { self.flush().await } else { Ok(()) }
    }

    async fn flush(&mut self) -> io::Result<()> {
        if self.output.is_empty() { Ok(()) } else { self.write(&[]).await }
    }

    /// Writes the pending output, then these buffers.
    pub(super) async fn write(&mut self, buffers: &[Bytes]) -> io::Result<()> {
        if self.output.is_empty() {
            return write(self.stream, buffers).await;
        }
        let output = std::mem::take(&mut self.output).freeze();
        write(self.stream, &[&[output], buffers].concat()).await
    }
}
