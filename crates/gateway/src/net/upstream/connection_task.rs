//! The task of a connection: opens it, carries one call after another, and reports their results to the event loop.

use super::call::CallResult;
use super::connection::{AssignedQuery, UpstreamConnection};
use super::exchange::{Exchange, NextStep, QueryChannel};
use super::unsolicited::UnsolicitedBytes;
use crate::clock::{duration, millis};
use crate::counters::COUNTERS;
use crate::limits::upstream::{READY_TIMEOUT, idle_close_after};
use crate::net::{DriverEvent, is_unusable, read_some, write_all};
use crate::proto::pg::{self, BackendMessage, ParseError};
use latchhaven_policy::{AttemptOutcome, UpstreamConnectionConfig};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout};

/// Why a connection could not be opened; logged.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    /// The connection was refused, or was lost.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The endpoint violates the protocol.
    #[error(transparent)]
    Protocol(#[from] ParseError),
    #[error("not ready for a query within the connect timeout")]
    Timeout,
    #[error("closed by the gateway before it was ready for a query")]
    ClosedByPool,
    /// The endpoint returned an error with this SQLSTATE.
    #[error("expected ReadyForQuery, got an error with SQLSTATE {0}")]
    ErrorResponse(String),
    #[error("expected ReadyForQuery, got a row")]
    UnexpectedRow,
    #[error("closed by the endpoint before it was ready for a query")]
    ClosedByEndpoint,
}

/// Opens a connection and carries its calls until it is closed. `large_responses`: permits to buffer a large response,
/// shared by all connections.
pub(super) async fn run(
    connection: Rc<UpstreamConnection>, address: SocketAddr, config: UpstreamConnectionConfig,
    large_responses: Arc<Semaphore>, unsolicited: Rc<UnsolicitedBytes>, events: mpsc::Sender<DriverEvent>,
) {
    let channel =
        QueryChannel::new(connection.clone(), config.load_reporting, large_responses, unsolicited.clone());
    let mut task = ConnectionTask { connection: connection.clone(), config, unsolicited, events, channel };
    if let Err(error) = task.open(address).await {
        COUNTERS.server_connects_failed_total.increment();
        let connected = connection.stream.get().is_some();
        let endpoint = &connection.endpoint;
        let pool_generation = connection.generation;
        tracing::debug!(endpoint, pool_generation, reason = %error, connected, "upstream: connection failed");
        task.report(DriverEvent::ConnectFailed { connection }).await;
        return;
    }
    let Some(stream) = connection.stream.get() else { return };
    task.serve(stream).await;
    connection.close();
    if connection.call.get().is_some() && !connection.is_written.get() {
        // The pool assigned the call while the connection was closing.
        task.report_call_ended(CallResult::without_response(AttemptOutcome::ConnectFailed)).await;
    }
    task.report(DriverEvent::ConnectionClosed { connection }).await;
}

struct ConnectionTask {
    connection: Rc<UpstreamConnection>,
    config: UpstreamConnectionConfig,
    unsolicited: Rc<UnsolicitedBytes>,
    events: mpsc::Sender<DriverEvent>,
    channel: QueryChannel,
}

impl ConnectionTask {
    /// Opens the connection within the connect timeout, unless the pool closes the connection meanwhile.
    async fn open(&mut self, address: SocketAddr) -> Result<(), OpenError> {
        let connect_timeout = duration(self.config.connect_timeout);
        let connection = self.connection.clone();
        select! {
            opened = timeout(connect_timeout, self.connect(&connection, address)) => {
                opened.unwrap_or(Err(OpenError::Timeout))
            }
            () = connection.closed() => Err(OpenError::ClosedByPool),
        }
    }

    /// Connects and waits until the endpoint is ready for a query.
    async fn connect(
        &mut self, connection: &UpstreamConnection, address: SocketAddr,
    ) -> Result<(), OpenError> {
        let stream = TcpStream::connect(address).await?;
        connection.connected_at.set(Some(Instant::now()));
        stream.set_nodelay(true)?;
        let stream = connection.stream.get_or_init(|| stream);
        let started_at = Instant::now();
        write_all(stream, &[pg::encode::startup()]).await?;
        loop {
            match self.channel.next_message()? {
                Some(BackendMessage::Ready) => {
                    connection.round_trip.set(started_at.elapsed());
                    return Ok(());
                }
                Some(BackendMessage::Error(code)) => return Err(OpenError::ErrorResponse(code)),
                Some(BackendMessage::Row(_)) => return Err(OpenError::UnexpectedRow),
                None if read_some(stream, &mut self.channel.buffer).await? == 0 => {
                    return Err(OpenError::ClosedByEndpoint);
                }
                Some(BackendMessage::Parameter { .. }) | None => {}
            }
        }
    }

    /// Carries calls until the connection is to be closed.
    async fn serve(&mut self, stream: &TcpStream) {
        let connection = self.connection.clone();
        let mut is_newly_opened = true;
        loop {
            self.report(DriverEvent::ConnectionReady { connection: connection.clone(), is_newly_opened })
                .await;
            is_newly_opened = false;
            let Some(query) = self.next_query(stream).await else { return };
            let exchange = select! {
                exchange = self.channel.exchange(stream, query) => exchange,
                () = connection.closed() => return,
            };
            let Exchange { result, next } = exchange;
            self.report_call_ended(result).await;
            if !self.wait_until_ready(stream, next).await {
                return;
            }
            // Data after a complete response would be read as part of the next one.
            if self.channel.has_unsolicited_bytes(stream) {
                self.unsolicited.record();
                return;
            }
            if is_unusable(stream) {
                return;
            }
        }
    }

    /// Waits until the endpoint is ready for the next query. Returns `false` if the connection has to be closed.
    async fn wait_until_ready(&mut self, stream: &TcpStream, next: NextStep) -> bool {
        match next {
            NextStep::Ready => true,
            NextStep::AwaitReady => {
                timeout(READY_TIMEOUT, self.channel.await_ready(stream)).await == Ok(true)
            }
            NextStep::Close => false,
        }
    }

    /// Waits until the pool assigns a call. `None` if the connection is closed, receives unsolicited data or is idle
    /// for too long before that.
    async fn next_query(&mut self, stream: &TcpStream) -> Option<AssignedQuery> {
        let idle_until = Instant::now() + idle_close_after(self.config.idle_timeout);
        let connection = self.connection.clone();
        while !connection.is_closed.get() {
            if let Some(query) = connection.outgoing.take() {
                return Some(query);
            }
            select! {
                () = connection.wake.notified() => {}
                read = read_some(stream, &mut self.channel.buffer) => {
                    if read.ok()? == 0 {
                        return None;
                    }
                    if !self.channel.parse_idle_messages() {
                        self.record_unsolicited();
                        return None;
                    }
                }
                () = sleep_until(idle_until) => return None,
            }
        }
        None
    }

    fn record_unsolicited(&self) {
        self.unsolicited.record();
        let endpoint = &self.connection.endpoint;
        let idle_ms = millis(self.connection.idle_since.get().elapsed());
        tracing::debug!(endpoint, idle_ms, "upstream: unsolicited response");
    }

    async fn report_call_ended(&self, mut result: CallResult) {
        result.connected_at = self.connection.connected_at.get();
        self.report(DriverEvent::CallEnded { connection: self.connection.clone(), result }).await;
    }

    async fn report(&self, event: DriverEvent) {
        let _ = self.events.send(event).await;
    }
}
