//! Keeps a feed of the platform open. A lost one is opened again, later each time it brings nothing. One at a new address
//! is open before the earlier one is closed: what is sent while none is open is not sent again.

use super::messages::{FeedMessage, read_feed_line};
use crate::counters::COUNTERS;
use crate::net::call_error::CallError;
use crate::net::{CONNECT_TIMEOUT, DriverEvent, read_some, write_all};
use crate::proto::http::{self, BodyBuffer, ResponsePart, ResponseReader};
use bytes::{Bytes, BytesMut};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// A feed without a sign of life for so long is ended: the platform sends one every 1 s.
const FEED_SILENCE_TIMEOUT: Duration = Duration::from_millis(3000);
/// A lost feed is opened again after this, doubling up to the maximum, each time less a random half.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time after which a lost feed is opened again.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(1600);

/// Keeps a feed open at the address, which may change.
pub async fn feed(
    address: watch::Receiver<Option<SocketAddr>>, rng: Pcg64Mcg, events: mpsc::Sender<DriverEvent>,
) {
    let task = FeedTask { address, rng, events, retry_interval: MIN_RETRY_INTERVAL, open: None };
    task.run().await;
}

struct FeedTask {
    address: watch::Receiver<Option<SocketAddr>>,
    rng: Pcg64Mcg,
    events: mpsc::Sender<DriverEvent>,
    retry_interval: Duration,
    /// The feed that is open.
    open: Option<Feed>,
}

impl FeedTask {
    async fn run(mut self) {
        loop {
            let lines = match self.open_next().await {
                None => {
                    self.retry_interval = MIN_RETRY_INTERVAL;
                    continue;
                }
                Some(Ok(feed)) => {
                    self.open = Some(feed);
                    let Some(lines) = self.deliver_until_lost().await else {
                        self.retry_interval = MIN_RETRY_INTERVAL;
                        continue;
                    };
                    lines
                }
                Some(Err(error)) => {
                    tracing::info!(reason = error.to_string(), "platform: feed not opened");
                    0
                }
            };
            let doubled = (2 * self.retry_interval).min(MAX_RETRY_INTERVAL);
            self.retry_interval = if lines > 0 { MIN_RETRY_INTERVAL } else { doubled };
            self.wait_before_retry().await;
        }
    }

    /// Opens a feed at the present address, and goes on with an open one meanwhile. None: the address has changed.
    async fn open_next(&mut self) -> Option<Result<Feed, CallError>> {
        let FeedTask { address, events, open, .. } = self;
        let present_address = *address.borrow_and_update();
        let mut opening = pin!(Feed::open(present_address));
        loop {
            select! {
                opened = &mut opening => return Some(opened),
                error = deliver(open, events), if open.is_some() => drop_lost(&error, open),
                Ok(()) = address.changed() => return None,
            }
        }
    }

    /// Delivers what the open feed brings. How many lines it brought until it was lost; none: the address has changed.
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

    /// Waits until a feed is to be opened again, at once where the address changes.
    async fn wait_before_retry(&mut self) {
        let delay = self.retry_interval.mul_f64(self.rng.random_range(0.5..1.0));
        let FeedTask { address, events, open, retry_interval, .. } = self;
        let delay = sleep(delay);
        let mut wait = pin!(async {
            select! {
                () = delay => {}
                Ok(()) = address.changed() => *retry_interval = MIN_RETRY_INTERVAL,
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

fn drop_lost(error: &CallError, open: &mut Option<Feed>) {
    COUNTERS.feed_lost_total.increment();
    let lines = open.take().map(|feed| feed.lines);
    tracing::info!(reason = error.to_string(), lines, "platform: feed lost");
}

/// Delivers what a feed brings until it is lost; why that is.
async fn deliver(open: &mut Option<Feed>, events: &mpsc::Sender<DriverEvent>) -> CallError {
    match open {
        Some(feed) => feed.deliver(events).await.err().unwrap_or(CallError::FeedEnded),
        None => CallError::NoFeed,
    }
}

/// An open feed.
struct Feed {
    stream: TcpStream,
    reader: ResponseReader,
    body: BodyBuffer,
    buffer: BytesMut,
    lines: u64,
    last_sign_of_life: Instant,
}

impl Feed {
    /// Opens a feed, up to the head of its response.
    async fn open(address: Option<SocketAddr>) -> Result<Feed, CallError> {
        // No platform is known: until another configuration names one there is none.
        let Some(address) = address else { return std::future::pending().await };
        let opened = timeout(FEED_SILENCE_TIMEOUT, Feed::request(address)).await;
        let feed = opened.unwrap_or(Err(CallError::NoHeadInTime))?;
        COUNTERS.feed_opened_total.increment();
        Ok(feed)
    }

    async fn request(address: SocketAddr) -> Result<Feed, CallError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| CallError::NoConnection)??;
        stream.set_nodelay(true)?;
        write_all(&stream, &[http::get(&address.to_string(), "/v1/feed")]).await?;
        let mut reader = ResponseReader::default();
        let mut buffer = BytesMut::new();
        loop {
            match reader.next(&mut buffer)? {
                Some(ResponsePart::Head { status: 200, .. }) => break,
                Some(ResponsePart::Head { status, .. }) => return Err(CallError::Status(status)),
                Some(_) => return Err(CallError::NoHead),
                None if read_some(&stream, &mut buffer).await? > 0 => {}
                None => return Err(CallError::EndedBeforeHead),
            }
        }
        let last_sign_of_life = Instant::now();
        Ok(Feed { stream, reader, body: BodyBuffer::default(), buffer, lines: 0, last_sign_of_life })
    }

    /// Delivers line by line. Nothing is lost where this is dropped and called again.
    async fn deliver(&mut self, events: &mpsc::Sender<DriverEvent>) -> Result<(), CallError> {
        loop {
            let Ok(permit) = events.reserve().await else { return Ok(()) };
            if let Some(line) = self.body.next_line() {
                if let Some(event) = self.on_line(&line)? {
                    permit.send(event);
                }
                continue;
            }
            match self.reader.next(&mut self.buffer)? {
                Some(ResponsePart::Head { .. } | ResponsePart::End) => return Ok(()),
                Some(ResponsePart::Body(bytes)) => self.body.push(&bytes)?,
                None if self.read().await? == 0 => return Ok(()),
                None => {}
            }
        }
    }

    /// Only whole lines are signs of life: one that never ends is none.
    fn on_line(&mut self, line: &Bytes) -> Result<Option<DriverEvent>, CallError> {
        self.lines += 1;
        self.last_sign_of_life = Instant::now();
        match read_feed_line(line) {
            Ok(FeedMessage::Rollout(state)) => Ok(Some(DriverEvent::Rollout(state))),
            Ok(FeedMessage::Outcomes(counts)) => Ok(Some(DriverEvent::Outcomes(counts))),
            Ok(FeedMessage::Nothing) => Ok(None),
            Err(_) if line.trim_ascii().is_empty() => Ok(None),
            // Where one line is malformed, what follows it may be out of step.
            Err(error) => Err(CallError::Line(error)),
        }
    }

    async fn read(&mut self) -> Result<usize, CallError> {
        let deadline = self.last_sign_of_life + FEED_SILENCE_TIMEOUT;
        let read = timeout_at(deadline, read_some(&self.stream, &mut self.buffer)).await;
        Ok(read.map_err(|_| CallError::Silent)??)
    }
}
