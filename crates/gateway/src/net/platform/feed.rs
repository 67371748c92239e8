//! Receives the platform's feed. A lost feed is reopened after an exponential backoff. When the platform's address
//! changes, the feed at the new address is opened before the current one is closed: the platform does not repeat
//! messages, so that a gap between the two would lose some.

use super::messages::{FeedMessage, MessageError, parse_feed_line};
use crate::clock::duration;
use crate::counters::COUNTERS;
use crate::limits::SERVICE_CONNECT_TIMEOUT;
use crate::limits::platform::{FEED_BACKOFF, FEED_SILENCE_TIMEOUT};
use crate::net::DriverEvent;
use crate::net::http_connection::{HttpConnection, HttpError};
use crate::proto::http::{BodyBuffer, ResponsePart};
use bytes::Bytes;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::pin::pin;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Why a feed could not be opened or was lost. The texts are logged.
#[derive(Debug, thiserror::Error)]
enum FeedError {
    /// The connection failed, or the response is malformed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A line is malformed, so that the boundaries of later ones are not reliable.
    #[error("malformed feed line: {0}")]
    Line(MessageError),
    /// The status of the response.
    #[error("expected status 200, got {0}")]
    Status(u16),
    #[error("not connected within {SERVICE_CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    #[error("expected a response head")]
    MissingHead,
    #[error("no response head within {FEED_SILENCE_TIMEOUT:?}")]
    HeadTimeout,
    /// The connection closed before the head of the response was complete.
    #[error("connection closed before the end of the response head")]
    ClosedBeforeHead,
    /// No complete line was received within [`FEED_SILENCE_TIMEOUT`].
    #[error("no keepalive in time")]
    KeepaliveTimeout,
    /// The platform completed the response, or the gateway is exiting.
    #[error("feed closed")]
    Closed,
    #[error("no feed is open")]
    NotOpen,
}

/// Receives the feed, and sends its messages to `events`, until the task is aborted.
///
/// `address` is the platform's current address, `None` while no platform is configured. `rng` draws the jitter of the
/// backoff.
pub async fn receive_feed(
    address: watch::Receiver<Option<SocketAddr>>, rng: Pcg64Mcg, events: mpsc::Sender<DriverEvent>,
) {
    let task = FeedTask { address, rng, events, failures: 0, open: None };
    task.run().await;
}

struct FeedTask {
    address: watch::Receiver<Option<SocketAddr>>,
    rng: Pcg64Mcg,
    events: mpsc::Sender<DriverEvent>,
    /// Consecutive feeds that could not be opened or delivered no line; determines the backoff.
    failures: u32,
    /// While a feed is being opened: the feed at the previous address, if that is still open.
    open: Option<Feed>,
}

/// Why the task stops waiting for or receiving a feed.
enum FeedEnd {
    /// The address has changed: the feed there is opened immediately.
    AddressChanged,
    /// The feed could not be opened, or was lost after this number of lines: it is reopened after the backoff.
    Failed { lines: u64 },
}

impl FeedTask {
    async fn run(mut self) {
        loop {
            let end = match self.open_next().await {
                None => FeedEnd::AddressChanged,
                Some(Ok(feed)) => {
                    self.open = Some(feed);
                    self.deliver_until_lost().await
                }
                Some(Err(error)) => {
                    let address = self.address.borrow().map(tracing::field::display);
                    tracing::info!(reason = error.to_string(), address, "platform: feed not opened");
                    FeedEnd::Failed { lines: 0 }
                }
            };
            match end {
                FeedEnd::AddressChanged => self.failures = 0,
                FeedEnd::Failed { lines } => {
                    self.failures = if lines > 0 { 0 } else { self.failures.saturating_add(1) };
                    self.wait_before_retry().await;
                }
            }
        }
    }

    /// Opens a feed at the current address; meanwhile delivers messages of the open feed, if there is one. Returns
    /// `None` when the address has changed.
    async fn open_next(&mut self) -> Option<Result<Feed, FeedError>> {
        let FeedTask { address, events, open, .. } = self;
        let current_address = *address.borrow_and_update();
        let mut opening = pin!(Feed::open(current_address));
        loop {
            select! {
                opened = &mut opening => return Some(opened),
                error = deliver(open, events), if open.is_some() => drop_lost(&error, open),
                Ok(()) = address.changed() => return None,
            }
        }
    }

    /// Delivers messages of the open feed until it is lost or the address has changed.
    async fn deliver_until_lost(&mut self) -> FeedEnd {
        let FeedTask { address, events, open, .. } = self;
        select! {
            error = deliver(open, events) => {
                let lines = open.as_ref().map_or(0, |feed| feed.lines);
                drop_lost(&error, open);
                FeedEnd::Failed { lines }
            }
            Ok(()) = address.changed() => FeedEnd::AddressChanged,
        }
    }

    /// Waits until the backoff has elapsed or the address has changed; meanwhile delivers messages of the open feed,
    /// if there is one.
    async fn wait_before_retry(&mut self) {
        let delay = sleep(duration(FEED_BACKOFF.delay(self.failures, &mut self.rng)));
        let FeedTask { address, events, open, failures, .. } = self;
        let mut wait = pin!(async {
            select! {
                () = delay => {}
                Ok(()) = address.changed() => *failures = 0,
            }
        });
        loop {
            select! {
                () = &mut wait => return,
                error = deliver(open, events), if open.is_some() => drop_lost(&error, open),
            }
        }
    }
}

/// Removes a feed that was lost, and logs the reason.
fn drop_lost(error: &FeedError, open: &mut Option<Feed>) {
    COUNTERS.feed_lost_total.increment();
    let lost = open.take();
    let lines = lost.as_ref().map(|feed| feed.lines);
    let address = lost.map(|feed| tracing::field::display(feed.connection.address()));
    tracing::info!(reason = error.to_string(), lines, address, "platform: feed lost");
}

/// Delivers messages of the open feed until it is lost, and returns the reason.
async fn deliver(open: &mut Option<Feed>, events: &mpsc::Sender<DriverEvent>) -> FeedError {
    match open {
        Some(feed) => feed.deliver(events).await.err().unwrap_or(FeedError::Closed),
        None => FeedError::NotOpen,
    }
}

struct Feed {
    connection: HttpConnection,
    body: BodyBuffer,
    /// Number of complete lines received, with keepalives.
    lines: u64,
    /// When the last complete line was processed, or the feed was opened.
    last_line_at: Instant,
}

impl Feed {
    /// Opens a feed. Never completes while no platform is configured (`address` is `None`).
    async fn open(address: Option<SocketAddr>) -> Result<Feed, FeedError> {
        let Some(address) = address else { return std::future::pending().await };
        let opened = timeout(FEED_SILENCE_TIMEOUT, Feed::request(address)).await;
        let feed = opened.unwrap_or(Err(FeedError::HeadTimeout))?;
        COUNTERS.feed_opened_total.increment();
        Ok(feed)
    }

    async fn request(address: SocketAddr) -> Result<Feed, FeedError> {
        let connected = timeout(SERVICE_CONNECT_TIMEOUT, HttpConnection::open(address)).await;
        let mut connection = connected.map_err(|_| FeedError::ConnectTimeout)??;
        connection.get("/v1/feed").await?;
        match connection.next_part().await? {
            Some(ResponsePart::Head { status: 200, .. }) => {}
            Some(ResponsePart::Head { status, .. }) => return Err(FeedError::Status(status)),
            Some(_) => return Err(FeedError::MissingHead),
            None => return Err(FeedError::ClosedBeforeHead),
        }
        Ok(Feed { connection, body: BodyBuffer::default(), lines: 0, last_line_at: Instant::now() })
    }

    /// Sends each message to `events` until the platform closes the feed. Cancel-safe: a message is removed from the
    /// buffer only after a slot of the channel was reserved.
    async fn deliver(&mut self, events: &mpsc::Sender<DriverEvent>) -> Result<(), FeedError> {
        loop {
            let Ok(permit) = events.reserve().await else { return Ok(()) };
            if let Some(line) = self.body.next_line() {
                if let Some(event) = self.on_line(&line)? {
                    permit.send(event);
                }
                continue;
            }
            match self.next_part().await? {
                Some(ResponsePart::Body(bytes)) => self.body.push(&bytes).map_err(HttpError::from)?,
                Some(ResponsePart::Head { .. } | ResponsePart::End) | None => return Ok(()),
            }
        }
    }

    /// Handles a complete line. Only complete lines count as keepalives, so that a line without an end cannot extend
    /// the feed.
    fn on_line(&mut self, line: &Bytes) -> Result<Option<DriverEvent>, FeedError> {
        self.lines += 1;
        self.last_line_at = Instant::now();
        match parse_feed_line(line) {
            Ok(FeedMessage::Rollout(state)) => Ok(Some(DriverEvent::Rollout(state))),
            Ok(FeedMessage::Outcomes(counts)) => Ok(Some(DriverEvent::Outcomes(counts))),
            Ok(FeedMessage::Ignored) => Ok(None),
            // Empty lines are keepalives too.
            Err(_) if line.trim_ascii().is_empty() => Ok(None),
            Err(error) => Err(FeedError::Line(error)),
        }
    }

    async fn next_part(&mut self) -> Result<Option<ResponsePart>, FeedError> {
        let deadline = self.last_line_at + FEED_SILENCE_TIMEOUT;
        let part = timeout_at(deadline, self.connection.next_part()).await;
        Ok(part.map_err(|_| FeedError::KeepaliveTimeout)??)
    }
}
