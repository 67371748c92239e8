//! Calls to the discovery service: a fetch returns a snapshot of the endpoint list, a watch delivers updates until it
//! is closed.

use super::DriverEvent;
use super::http_connection::{HttpConnection, HttpError};
use super::list::{self, ListError, ListUpdate};
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
    #[error("not connected within {SERVICE_CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    #[error(transparent)]
    List(#[from] ListError),
    /// The status of the response.
    #[error("expected status 200, got {0}")]
    Status(u16),
    /// The response to a fetch was not received completely in time.
    #[error("no complete response within {CALL_TIMEOUT:?}")]
    ResponseTimeout,
    #[error("connection closed before the end of the response")]
    Truncated,
    /// A watch received no response head within [`CALL_TIMEOUT`], or afterwards neither an update nor a keepalive
    /// within [`WATCH_SILENCE_TIMEOUT`].
    #[error("no keepalive in time")]
    KeepaliveTimeout,
    #[error("watch closed by the discovery service")]
    WatchClosed,
}

impl ListCallError {
    /// Returns `true` if malformed data was received, which may have been an update.
    fn is_malformed_data(&self) -> bool {
        matches!(self, ListCallError::Http(HttpError::Response(_)) | ListCallError::List(_))
    }
}

/// Watches the list for updates after the version `after`. Sends each update to `events`, and a failure when the
/// watch is closed for whatever reason.
pub(super) async fn watch(address: SocketAddr, after: u64, call: CallId, events: mpsc::Sender<DriverEvent>) {
    let (error, failure) = match Watch::open(address, after).await {
        Ok(mut watch) => {
            let error = watch.deliver(call, &events).await.err().unwrap_or(ListCallError::WatchClosed);
            let failure = watch.failure(&error);
            (error, failure)
        }
        Err(error) => (error, UpdateFailure::default()),
    };
    tracing::info!(call = call.0, %address, after, reason = error.to_string(), "discovery: watch closed");
    COUNTERS.discovery_failures_total.increment();
    let _ = events.send(DriverEvent::EndpointList { call, list: Err(failure) }).await;
}

/// Fetches a snapshot of the list, and sends it or a failure to `events`.
pub(super) async fn fetch(address: SocketAddr, call: CallId, events: mpsc::Sender<DriverEvent>) {
    let fetched = timeout(CALL_TIMEOUT, fetch_list(address)).await;
    let list = fetched.unwrap_or(Err(ListCallError::ResponseTimeout)).map_err(|error| {
        tracing::info!(call = call.0, %address, reason = error.to_string(), "discovery: call failed");
        COUNTERS.discovery_failures_total.increment();
        let may_have_lost_update = error.is_malformed_data() || matches!(error, ListCallError::Truncated);
        UpdateFailure { may_have_lost_update, ..UpdateFailure::default() }
    });
    let _ = events.send(DriverEvent::EndpointList { call, list }).await;
}

/// Connects to the discovery service and sends a GET request for `path`.
async fn start_call(address: SocketAddr, path: &str) -> Result<HttpConnection, ListCallError> {
    COUNTERS.discovery_calls_total.increment();
    let connected = timeout(SERVICE_CONNECT_TIMEOUT, HttpConnection::open(address)).await;
    let connection = connected.map_err(|_| ListCallError::ConnectTimeout)??;
    connection.get(path).await?;
    Ok(connection)
}

struct Watch {
    /// The version after which the watch was requested.
    after: u64,
    connection: HttpConnection,
    framer: JsonFramer,
    /// Set when the head of the response was received.
    has_head: bool,
    /// Set when an update or a keepalive was received.
    has_delivered: bool,
    /// When the latest update or keepalive was received, or the watch was opened.
    last_received_at: Instant,
    /// Longest time from `last_received_at` to the next update or keepalive.
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

    /// Sends each update to `events` until the discovery service closes the watch.
    async fn deliver(
        &mut self, call: CallId, events: &mpsc::Sender<DriverEvent>,
    ) -> Result<(), ListCallError> {
        while let Some(list) = self.next_update().await? {
            let _ = events.send(DriverEvent::EndpointList { call, list: Ok(list) }).await;
        }
        Ok(())
    }

    /// Returns what the error that closes this watch means for the current list.
    fn failure(&self, error: &ListCallError) -> UpdateFailure {
        // The service may have sent an update that was not received: the response has begun without an update or
        // keepalive, or closed within one.
        let may_have_sent_update = self.has_head && (!self.has_delivered || self.framer.is_within_object());
        UpdateFailure {
            silent_for: silence_after_missed_keepalive(self.has_delivered, self.last_received_at.elapsed()),
            may_have_lost_update: may_have_sent_update
                || error.is_malformed_data()
                || self.connection.has_unparsed_input(),
        }
    }

    /// Waits for the next update. Returns `None` when the discovery service has closed the watch.
    async fn next_update(&mut self) -> Result<Option<ListUpdate>, ListCallError> {
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

    /// Handles a complete frame. Only complete frames count as keepalives, so that an object without an end cannot
    /// extend the watch.
    fn on_frame(&mut self, frame: JsonFrame) -> Result<Option<ListUpdate>, ListError> {
        self.last_received_at = Instant::now();
        let list = match frame {
            JsonFrame::LineEnd if self.has_delivered => return Ok(None),
            // A keepalive before any update: the list has not changed since the version `after`, and an empty delta
            // confirms it.
            JsonFrame::LineEnd => ListUpdate { version: self.after, is_snapshot: false, entries: Vec::new() },
            JsonFrame::Object(text) => list::parse(&text)?,
        };
        self.has_delivered = true;
        Ok(Some(list))
    }

    async fn next_part(&mut self) -> Result<Option<ResponsePart>, ListCallError> {
        let deadline = self.last_received_at + self.silence_timeout;
        let part = timeout_at(deadline, self.connection.next_part()).await;
        Ok(part.map_err(|_| ListCallError::KeepaliveTimeout)??)
    }
}

async fn fetch_list(address: SocketAddr) -> Result<ListUpdate, ListCallError> {
    let mut connection = start_call(address, "/v1/servers").await?;
    let mut body = BodyBuffer::default();
    loop {
        match connection.next_part().await? {
            Some(ResponsePart::Head { status: 200, .. }) => {}
            Some(ResponsePart::Head { status, .. }) => return Err(ListCallError::Status(status)),
            Some(ResponsePart::Body(bytes)) => body.push(&bytes).map_err(HttpError::from)?,
            Some(ResponsePart::End) => return Ok(list::parse(&body.take())?),
            None if connection.is_complete_at_close() => return Ok(list::parse(&body.take())?),
            None => return Err(ListCallError::Truncated),
        }
    }
}
