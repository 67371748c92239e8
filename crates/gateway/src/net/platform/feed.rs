//! Receives the platform's feed. A lost feed is opened again after an exponential backoff. When the platform's address
//! changes, the new feed is open before the earlier one is closed: the platform does not repeat what it sent meanwhile.

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
    /// A line cannot be read; lines after it may be out of step.
    #[error("a line cannot be read: {0}")]
    Line(MessageError),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// The connection was not established in time.
    #[error("no connection in time")]
    NoConnection,
    /// The response began without a head.
    #[error("no response head")]
    NoHead,
    /// The head of the response was not received in time.
    #[error("no response head in time")]
    NoHeadInTime,
    /// The connection closed before the head of the response was complete.
    #[error("connection closed before the response head")]
    ClosedBeforeHead,
    /// The feed delivered no line in time.
    #[error("no keepalive in time")]
    Silent,
    /// The platform closed the feed.
    #[error("the feed ended")]
    Ended,
    /// There is no open feed.
    #[error("no feed is open")]
    NotOpen,
}

/// Receives the feed at an address, which may change.
pub async fn feed(
    address: watch::Receiver<Option<SocketAddr>>, rng: Pcg64Mcg, events: mpsc::Sender<DriverEvent>,
) {
    let task = FeedTask { address, rng, events, failures: 0, open: None };
    task.run().await;
}

struct FeedTask {
    address: watch::Receiver<Option<SocketAddr>>,
    rng: Pcg64Mcg,
    events: mpsc::Sender<DriverEvent>,
    /// Feeds in a row that could not be opened or delivered no line.
    failures: u32,
    /// The open feed.
    open: Option<Feed>,
}

impl FeedTask {
    async fn run(mut self) {
        loop {
            let lines = match self.open_next().await {
                None => {
                    self.failures = 0;
                    continue;
                }
                Some(Ok(feed)) => {
                    self.open = Some(feed);
                    let Some(lines) = self.deliver_until_lost().await else {
                        self.failures = 0;
                        continue;
                    };
                    lines
                }
                Some(Err(error)) => {
                    let address = self.address.borrow().map(tracing::field::display);
                    tracing::info!(reason = error.to_string(), address, "platform: feed not opened");
                    0
                }
            };
            self.failures = if lines > 0 { 0 } else { self.failures.saturating_add(1) };
            self.wait_before_retry().await;
        }
    }

    /// Opens a feed at the current address, and delivers from an open one meanwhile. None: the address has changed.
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

    /// Delivers the open feed until it is lost. Returns the number of its lines. None: the address has changed.
    async fn deliver_until_lost(&mut self) -> Option<u64> {
        let FeedTask { address, events, open, .. } = self;
        select! {
            error = deliver(open, events) => {
                let lines = open.as_ref().map_or(0, |feed| feed.lines);
                drop_lost(&error, open);
                Some(lines)
            }
            Ok(()) = address.changed() => None,
        }
    }

    /// Waits until a feed is to be opened again: for the backoff, or until the address changes.
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

fn drop_lost(error: &FeedError, open: &mut Option<Feed>) {
    COUNTERS.feed_lost_total.increment();
    let lost = open.take();
    let lines = lost.as_ref().map(|feed| feed.lines);
    let address = lost.map(|feed| tracing::field::display(feed.connection.address()));
    tracing::info!(reason = error.to_string(), lines, address, "platform: feed lost");
}

/// Delivers a feed until it is lost. Returns why.
async fn deliver(open: &mut Option<Feed>, events: &mpsc::Sender<DriverEvent>) -> FeedError {
    match open {
        Some(feed) => feed.deliver(events).await.err().unwrap_or(FeedError::Ended),
        None => FeedError::NotOpen,
    }
}

/// An open feed.
struct Feed {
    connection: HttpConnection,
    body: BodyBuffer,
    lines: u64,
    last_line_at: Instant,
}

impl Feed {
    /// Opens a feed. Pending while no platform is configured.
    async fn open(address: Option<SocketAddr>) -> Result<Feed, FeedError> {
        let Some(address) = address else { return std::future::pending().await };
        let opened = timeout(FEED_SILENCE_TIMEOUT, Feed::request(address)).await;
        let feed = opened.unwrap_or(Err(FeedError::NoHeadInTime))?;
        COUNTERS.feed_opened_total.increment();
        Ok(feed)
    }

    async fn request(address: SocketAddr) -> Result<Feed, FeedError> {
        let connected = timeout(SERVICE_CONNECT_TIMEOUT, HttpConnection::open(address)).await;
        let mut connection = connected.map_err(|_| FeedError::NoConnection)??;
        connection.get("/v1/feed").await?;
        match connection.next_part().await? {
            Some(ResponsePart::Head { status: 200, .. }) => {}
            Some(ResponsePart::Head { status, .. }) => return Err(FeedError::Status(status)),
            Some(_) => return Err(FeedError::NoHead),
            None => return Err(FeedError::ClosedBeforeHead),
        }
        Ok(Feed { connection, body: BodyBuffer::default(), lines: 0, last_line_at: Instant::now() })
    }

    /// Delivers line by line. Can be dropped and called again without loss.
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

    /// A line counts as a keepalive when it is complete: one that never ends must not extend the feed.
    fn on_line(&mut self, line: &Bytes) -> Result<Option<DriverEvent>, FeedError> {
        self.lines += 1;
        self.last_line_at = Instant::now();
        match parse_feed_line(line) {
            Ok(FeedMessage::Rollout(state)) => Ok(Some(DriverEvent::Rollout(state))),
            Ok(FeedMessage::Outcomes(counts)) => Ok(Some(DriverEvent::Outcomes(counts))),
            Ok(FeedMessage::Nothing) => Ok(None),
            Err(_) if line.trim_ascii().is_empty() => Ok(None),
            Err(error) => Err(FeedError::Line(error)),
        }
    }

    async fn next_part(&mut self) -> Result<Option<ResponsePart>, FeedError> {
        let deadline = self.last_line_at + FEED_SILENCE_TIMEOUT;
        let part = timeout_at(deadline, self.connection.next_part()).await;
        Ok(part.map_err(|_| FeedError::Silent)??)
    }
}
