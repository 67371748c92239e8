//! One connection to an endpoint, and the task that drives it from its opening to its end.

use super::exchange::{Exchange, NextStep};
use super::{CallResult, IDLE_TIMEOUT_FRACTION, UpstreamCall};
use crate::clock::{MS_PER_SECOND, duration};
use crate::counters::COUNTERS;
use crate::net::{DriverEvent, is_unusable, read_some, write_all};
use crate::proto::pg::{self, Backend, BackendMessage};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::{AttemptOutcome, UpstreamConnectionConfig};
use socket2::SockRef;
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout};

/// An endpoint gets so long to become ready again after its answer.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// What is to be written, and by when.
pub(super) struct OutgoingQuery {
    pub(super) buffers: Vec<Bytes>,
    /// The last byte may not be written later.
    pub(super) write_by: Option<Instant>,
}

/// One connection to an endpoint, as the pool and its task see it.
pub struct UpstreamConnection {
    pub(super) endpoint: String,
    pub(super) incarnation: u64,
    pub(super) stream: OnceCell<TcpStream>,
    /// When it came up.
    pub(super) connected_at: Cell<Option<Instant>>,
    pub(super) is_closed: Cell<bool>,
    /// The last byte of the call was written.
    pub(super) is_written: Cell<bool>,
    pub(super) call: Cell<Option<UpstreamCall>>,
    pub(super) idle_since: Cell<Instant>,
    pub(super) outgoing: RefCell<Option<OutgoingQuery>>,
    /// Wakes the task: there is a query, or the connection is to be closed.
    pub(super) wake: Notify,
}

impl UpstreamConnection {
    pub(super) fn new(endpoint: &str, incarnation: u64) -> Self {
        UpstreamConnection {
            endpoint: endpoint.to_string(),
            incarnation,
            stream: OnceCell::new(),
            connected_at: Cell::new(None),
            is_closed: Cell::new(false),
            is_written: Cell::new(false),
            call: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            outgoing: RefCell::new(None),
            wake: Notify::new(),
        }
    }

    /// Shuts the socket down at once: nothing written later can overtake this.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        if let Some(stream) = self.stream.get() {
            let _ = SockRef::from(stream).shutdown(Shutdown::Both);
        }
        self.wake.notify_one();
    }

    async fn closed(&self) {
        while !self.is_closed.get() {
            self.wake.notified().await;
        }
    }
}

/// Drives one connection from its opening to its end.
pub(super) async fn run(
    connection: Rc<UpstreamConnection>, address: SocketAddr, config: UpstreamConnectionConfig,
    large_answers: Arc<Semaphore>, events: mpsc::Sender<DriverEvent>,
) {
    let mut task = ConnectionTask {
        connection: connection.clone(),
        config,
        large_answers,
        events,
        backend: Backend::default(),
        buffer: BytesMut::new(),
    };
    if let Err(reason) = task.open(address).await {
        COUNTERS.server_connects_failed_total.increment();
        let connected = connection.stream.get().is_some();
        tracing::debug!(endpoint = connection.endpoint, %reason, connected, "upstream: connection failed");
        task.report(DriverEvent::ConnectFailed { connection }).await;
        return;
    }
    let Some(stream) = connection.stream.get() else { return };
    task.serve(stream).await;
    connection.close();
    if connection.call.get().is_some() && !connection.is_written.get() {
        // The call was handed over just as the connection ended.
        task.report_call_ended(CallResult::without_answer(AttemptOutcome::ConnectFailed)).await;
    }
    task.report(DriverEvent::ConnectionClosed { connection }).await;
}

/// The task of a connection.
pub(super) struct ConnectionTask {
    pub(super) connection: Rc<UpstreamConnection>,
    pub(super) config: UpstreamConnectionConfig,
    /// Permits to hold a large answer.
    pub(super) large_answers: Arc<Semaphore>,
    events: mpsc::Sender<DriverEvent>,
    pub(super) backend: Backend,
    pub(super) buffer: BytesMut,
}

impl ConnectionTask {
    /// Opens the connection, unless it is closed meanwhile.
    async fn open(&mut self, address: SocketAddr) -> io::Result<()> {
        let connect_timeout = duration(self.config.connect_timeout);
        let connection = self.connection.clone();
        select! {
            opened = timeout(connect_timeout, self.connect(&connection, address)) => opened?,
            () = connection.closed() => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Connects and waits for the endpoint to be ready for a query.
    async fn connect(&mut self, connection: &UpstreamConnection, address: SocketAddr) -> io::Result<()> {
        let stream = TcpStream::connect(address).await?;
        connection.connected_at.set(Some(Instant::now()));
        stream.set_nodelay(true)?;
        let stream = connection.stream.get_or_init(|| stream);
        write_all(stream, &[pg::encode::startup()]).await?;
        loop {
            let message = self.backend.next(&mut self.buffer);
            match message.map_err(|error| invalid_data(&error.to_string()))? {
                Some(BackendMessage::Ready) => return Ok(()),
                Some(BackendMessage::Parameter { .. }) => {}
                Some(BackendMessage::Error(code)) => return Err(invalid_data(&code)),
                Some(BackendMessage::Row(_)) => return Err(invalid_data("a row before any query")),
                None if read_some(stream, &mut self.buffer).await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {}
            }
        }
    }

    /// Carries call after call until the connection ends.
    async fn serve(&mut self, stream: &TcpStream) {
        let connection = self.connection.clone();
        let mut is_first = true;
        loop {
            self.report(DriverEvent::ConnectionReady { connection: connection.clone(), is_first }).await;
            is_first = false;
            let Some(query) = self.next_query(stream).await else { return };
            let exchange = select! {
                exchange = self.exchange(stream, query) => exchange,
                () = connection.closed() => return,
            };
            let Exchange { result, next } = exchange;
            self.report_call_ended(result).await;
            if !self.is_ready_again(stream, next).await {
                return;
            }
            // Another answer or noise behind the answer: the connection is out of step.
            if !self.buffer.is_empty() || is_unusable(stream) {
                COUNTERS.unsolicited_responses_total.increment();
                return;
            }
        }
    }

    async fn is_ready_again(&mut self, stream: &TcpStream, next: NextStep) -> bool {
        match next {
            NextStep::Ready => true,
            NextStep::AwaitReady => timeout(READY_TIMEOUT, self.await_ready(stream)).await == Ok(true),
            NextStep::Close => false,
        }
    }

    /// Idles until there is something to send; none where the connection ends first.
    async fn next_query(&mut self, stream: &TcpStream) -> Option<OutgoingQuery> {
        // Between the time after which the pool uses it no more and the endpoint closes it.
        let idle_seconds = self.config.idle_timeout * (1.0 + IDLE_TIMEOUT_FRACTION) / (2.0 * MS_PER_SECOND);
        let idle_until = Instant::now() + Duration::from_secs_f64(idle_seconds);
        let connection = self.connection.clone();
        while !connection.is_closed.get() {
            if let Some(query) = connection.outgoing.take() {
                return Some(query);
            }
            select! {
                () = connection.wake.notified() => {}
                read = read_some(stream, &mut self.buffer) => {
                    if read.ok()? == 0 || !self.accept_idle_messages() {
                        return None;
                    }
                }
                () = sleep_until(idle_until) => return None,
            }
        }
        None
    }

    /// Between queries only parameters and notices may come, and whole: an answer that has only begun to come would be
    /// taken for the next call's.
    fn accept_idle_messages(&mut self) -> bool {
        loop {
            match self.backend.next(&mut self.buffer) {
                Ok(Some(BackendMessage::Parameter { .. })) => {}
                Ok(None) => return self.buffer.is_empty(),
                _ => return false,
            }
        }
    }

    async fn report_call_ended(&self, mut result: CallResult) {
        result.connected_at = self.connection.connected_at.get();
        self.report(DriverEvent::CallEnded { connection: self.connection.clone(), result }).await;
    }

    async fn report(&self, event: DriverEvent) {
        let _ = self.events.send(event).await;
    }
}

fn invalid_data(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_string())
}
