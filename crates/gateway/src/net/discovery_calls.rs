//! Calls to the discovery service: a fetch returns the endpoint list once, a watch delivers it and its deltas.

use super::list::{self, List, ListError};
use super::{DriverEvent, read_some, write_all};
use crate::counters::COUNTERS;
use crate::discovery::calls::CallId;
use crate::limits::SERVICE_CONNECT_TIMEOUT;
use crate::limits::discovery::{CALL_TIMEOUT, WATCH_SILENCE_TIMEOUT, missed_keepalive};
use crate::proto::http::{self, BodyBuffer, ResponsePart, ResponseReader};
use crate::proto::json::{JsonFrame, JsonFramer};
use bytes::BytesMut;
use latchhaven_policy::UpdateFailure;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Why a call for the endpoint list failed. The texts are logged.
#[derive(Debug, thiserror::Error)]
enum ListCallError {
    /// The connection could not be opened, or broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The response is not valid HTTP, or not a stream of JSON objects.
    #[error(transparent)]
    Response(#[from] http::ParseError),
    /// The list cannot be read.
    #[error(transparent)]
    List(#[from] ListError),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// A fetch was not answered in time.
    #[error("no response in time")]
    NoResponse,
    /// The connection closed within the response.
    #[error("connection closed within the response")]
    Truncated,
    /// A watch delivered neither an update nor a keepalive in time.
    #[error("no keepalive in time")]
    Silent,
    /// The discovery service closed the watch.
    #[error("the watch ended")]
    WatchEnded,
}

impl ListCallError {
    /// Data arrived that cannot be read.
    fn is_unreadable(&self) -> bool {
        matches!(self, ListCallError::Response(_) | ListCallError::List(_))
    }
}

/// Watches the list from the version `after` on. However the watch ends, it is reported as a failed call.
pub(super) async fn watch(address: SocketAddr, after: u64, call: CallId, events: mpsc::Sender<DriverEvent>) {
    let (error, failure) = match Watch::open(address, after).await {
        Ok(mut watch) => {
            let error = watch.deliver(call, &events).await.err().unwrap_or(ListCallError::WatchEnded);
            let failure = watch.failure(&error);
            (error, failure)
        }
        Err(error) => (error, UpdateFailure::default()),
    };
    tracing::info!(call = call.0, %address, after, reason = error.to_string(), "discovery: watch closed");
    COUNTERS.discovery_failures_total.increment();
    let _ = events.send(DriverEvent::EndpointList { call, list: Err(failure) }).await;
}

/// Fetches a snapshot of the list.
pub(super) async fn fetch(address: SocketAddr, call: CallId, events: mpsc::Sender<DriverEvent>) {
    let fetched = timeout(CALL_TIMEOUT, fetch_list(address)).await;
    let list = fetched.unwrap_or(Err(ListCallError::NoResponse)).map_err(|error| {
        tracing::info!(call = call.0, %address, reason = error.to_string(), "discovery: call failed");
        COUNTERS.discovery_failures_total.increment();
        let may_have_lost_update = error.is_unreadable() || matches!(error, ListCallError::Truncated);
        UpdateFailure { may_have_lost_update, ..UpdateFailure::default() }
    });
    let _ = events.send(DriverEvent::EndpointList { call, list }).await;
}

async fn connect(address: SocketAddr, path: &str) -> io::Result<TcpStream> {
    COUNTERS.discovery_calls_total.increment();
    let stream = timeout(SERVICE_CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    write_all(&stream, &[http::get(&address.to_string(), path)]).await?;
    Ok(stream)
}

/// An open watch.
struct Watch {
    after: u64,
    stream: TcpStream,
    reader: ResponseReader,
    framer: JsonFramer,
    buffer: BytesMut,
    /// The head of the response was received.
    has_head: bool,
    /// A list or a keepalive was received.
    is_answered: bool,
    /// When the watch was opened, or last delivered a list or a keepalive.
    last_received_at: Instant,
    silence_timeout: Duration,
}

impl Watch {
    async fn open(address: SocketAddr, after: u64) -> Result<Self, ListCallError> {
        let stream = connect(address, &format!("/v1/servers?watch=1&after={after}")).await?;
        Ok(Watch {
            after,
            stream,
            reader: ResponseReader::default(),
            framer: JsonFramer::default(),
            buffer: BytesMut::new(),
            has_head: false,
            is_answered: false,
            last_received_at: Instant::now(),
            silence_timeout: CALL_TIMEOUT,
        })
    }

    /// Reports lists and deltas until the watch ends.
    async fn deliver(
        &mut self, call: CallId, events: &mpsc::Sender<DriverEvent>,
    ) -> Result<(), ListCallError> {
        while let Some(list) = self.next_list().await? {
            let _ = events.send(DriverEvent::EndpointList { call, list: Ok(list) }).await;
        }
        Ok(())
    }

    /// What the end of this watch means for the current list.
    fn failure(&self, error: &ListCallError) -> UpdateFailure {
        let is_truncated = self.has_head && (!self.is_answered || self.framer.is_within_object());
        UpdateFailure {
            silent_for: missed_keepalive(self.is_answered, self.last_received_at.elapsed()),
            may_have_lost_update: is_truncated || error.is_unreadable() || !self.buffer.is_empty(),
        }
    }

    /// The next list or delta. None: the watch has ended.
    async fn next_list(&mut self) -> Result<Option<List>, ListCallError> {
        loop {
            while let Some(frame) = self.framer.next_frame()? {
                if let Some(list) = self.on_frame(frame)? {
                    return Ok(Some(list));
                }
            }
            match self.reader.next(&mut self.buffer)? {
                Some(ResponsePart::Head { status: 200, .. }) => {
                    self.has_head = true;
                    self.silence_timeout = WATCH_SILENCE_TIMEOUT;
                }
                Some(ResponsePart::Head { status, .. }) => return Err(ListCallError::Status(status)),
                Some(ResponsePart::End) => return Ok(None),
                Some(ResponsePart::Body(bytes)) => self.framer.push(&bytes)?,
                None if self.read().await? == 0 => return Ok(None),
                None => {}
            }
        }
    }

    /// A frame counts as a keepalive when it is complete: an object that never ends must not extend the watch.
    fn on_frame(&mut self, frame: JsonFrame) -> Result<Option<List>, ListError> {
        self.last_received_at = Instant::now();
        let list = match frame {
            JsonFrame::LineEnd if self.is_answered => return Ok(None),
            // The list has not changed since the version `after`: an empty delta confirms it.
            JsonFrame::LineEnd => List { version: self.after, is_snapshot: false, entries: Vec::new() },
            JsonFrame::Object(text) => list::read(&text)?,
        };
        self.is_answered = true;
        Ok(Some(list))
    }

    async fn read(&mut self) -> Result<usize, ListCallError> {
        let deadline = self.last_received_at + self.silence_timeout;
        let read = timeout_at(deadline, read_some(&self.stream, &mut self.buffer)).await;
        Ok(read.map_err(|_| ListCallError::Silent)??)
    }
}

async fn fetch_list(address: SocketAddr) -> Result<List, ListCallError> {
    let stream = connect(address, "/v1/servers").await?;
    let mut reader = ResponseReader::default();
    let mut body = BodyBuffer::default();
    let mut buffer = BytesMut::new();
    loop {
        match reader.next(&mut buffer)? {
            Some(ResponsePart::Head { status: 200, .. }) => {}
            Some(ResponsePart::Head { status, .. }) => return Err(ListCallError::Status(status)),
            Some(ResponsePart::Body(bytes)) => body.push(&bytes)?,
            Some(ResponsePart::End) => return Ok(list::read(&body.take())?),
            None if read_some(&stream, &mut buffer).await? > 0 => {}
            None if reader.is_complete_at_close() => return Ok(list::read(&body.take())?),
            None => return Err(ListCallError::Truncated),
        }
    }
}
