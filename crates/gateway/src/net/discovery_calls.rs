//! Calls to the discovery service: a fetch returns the endpoint list once, a watch delivers it and its deltas.

use super::DriverEvent;
use super::http_connection::{HttpConnection, HttpError};
use super::list::{self, List, ListError};
use crate::counters::COUNTERS;
use crate::discovery::calls::CallId;
use crate::limits::SERVICE_CONNECT_TIMEOUT;
use crate::limits::discovery::{CALL_TIMEOUT, WATCH_SILENCE_TIMEOUT, silence_after_missed_keepalive};
use crate::proto::http::{BodyBuffer, ResponsePart};
use crate::proto::json::{JsonFrame, JsonFramer};
use latchhaven_policy::UpdateFailure;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// Why a call for the endpoint list failed. The texts are logged.
#[derive(Debug, thiserror::Error)]
enum ListCallError {
    /// The connection failed, or the response is malformed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The connection was not established in time.
    #[error("no connection in time")]
    NoConnection,
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
        matches!(self, ListCallError::Http(HttpError::Response(_)) | ListCallError::List(_))
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

/// Opens a connection and sends a request for `path`.
async fn start_call(address: SocketAddr, path: &str) -> Result<HttpConnection, ListCallError> {
    COUNTERS.discovery_calls_total.increment();
    let connected = timeout(SERVICE_CONNECT_TIMEOUT, HttpConnection::open(address)).await;
    let connection = connected.map_err(|_| ListCallError::NoConnection)??;
    connection.get(path).await?;
    Ok(connection)
}

/// An open watch.
struct Watch {
    after: u64,
    connection: HttpConnection,
    framer: JsonFramer,
    /// The head of the response was received.
    has_head: bool,
    /// A list or a keepalive was received.
    has_delivered: bool,
    /// When the watch was opened, or last delivered a list or a keepalive.
    last_received_at: Instant,
    silence_timeout: Duration,
}

impl Watch {
    async fn open(address: SocketAddr, after: u64) -> Result<Self, ListCallError> {
        let connection = start_call(address, &format!("/v1/servers?watch=1&after={after}")).await?;
        Ok(Watch {
            after,
            connection,
            framer: JsonFramer::default(),
            has_head: false,
            has_delivered: false,
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
        // A started response without a list, or with a part of one, may have announced a change.
        let may_hide_update = self.has_head && (!self.has_delivered || self.framer.is_within_object());
        UpdateFailure {
            silent_for: silence_after_missed_keepalive(self.has_delivered, self.last_received_at.elapsed()),
            may_have_lost_update: may_hide_update
                || error.is_unreadable()
                || self.connection.has_unparsed_input(),
        }
    }

    /// The next list or delta. None: the watch has ended.
    async fn next_list(&mut self) -> Result<Option<List>, ListCallError> {
        loop {
            while let Some(frame) = self.framer.next_frame().map_err(HttpError::from)? {
                if let Some(list) = self.on_frame(frame)? {
                    return Ok(Some(list));
                }
            }
            match self.next_part().await? {
                Some(ResponsePart::Head { status: 200, .. }) => {
                    self.has_head = true;
                    self.silence_timeout = WATCH_SILENCE_TIMEOUT;
                }
                Some(ResponsePart::Head { status, .. }) => return Err(ListCallError::Status(status)),
                Some(ResponsePart::Body(bytes)) => self.framer.push(&bytes).map_err(HttpError::from)?,
                Some(ResponsePart::End) | None => return Ok(None),
            }
        }
    }

    /// A frame counts as a keepalive when it is complete: an object that never ends must not extend the watch.
    fn on_frame(&mut self, frame: JsonFrame) -> Result<Option<List>, ListError> {
        self.last_received_at = Instant::now();
        let list = match frame {
            JsonFrame::LineEnd if self.has_delivered => return Ok(None),
            // The list has not changed since the version `after`: an empty delta confirms it.
            JsonFrame::LineEnd => List { version: self.after, is_snapshot: false, entries: Vec::new() },
            JsonFrame::Object(text) => list::read(&text)?,
        };
        self.has_delivered = true;
        Ok(Some(list))
    }

    async fn next_part(&mut self) -> Result<Option<ResponsePart>, ListCallError> {
        let deadline = self.last_received_at + self.silence_timeout;
        let part = timeout_at(deadline, self.connection.next_part()).await;
        Ok(part.map_err(|_| ListCallError::Silent)??)
    }
}

async fn fetch_list(address: SocketAddr) -> Result<List, ListCallError> {
    let mut connection = start_call(address, "/v1/servers").await?;
    let mut body = BodyBuffer::default();
    loop {
        match connection.next_part().await? {
            Some(ResponsePart::Head { status: 200, .. }) => {}
            Some(ResponsePart::Head { status, .. }) => return Err(ListCallError::Status(status)),
            Some(ResponsePart::Body(bytes)) => body.push(&bytes).map_err(HttpError::from)?,
            Some(ResponsePart::End) => return Ok(list::read(&body.take())?),
            None if connection.is_complete_at_close() => return Ok(list::read(&body.take())?),
            None => return Err(ListCallError::Truncated),
        }
    }
}
