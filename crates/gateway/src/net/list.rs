//! The endpoint list: fetched from the discovery service as a snapshot, or watched.

use super::call_error::CallError;
use super::{CONNECT_TIMEOUT, DriverEvent, read_some, write_all};
use crate::clock::MS_PER_SECOND;
use crate::counters::COUNTERS;
use crate::discovery::calls::CallId;
use crate::proto::http::{self, BodyBuffer, ResponsePart, ResponseReader};
use crate::proto::json::{JsonFrame, JsonFramer};
use bytes::BytesMut;
use latchhaven_policy::{EndpointEntry, EndpointStatus, UpdateFailure, Version};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// A watch without a sign of life for so long is ended: discovery sends one every 2 s.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Discovery sends a line this often, or more often.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(2000);
/// A call that brings nothing by then has failed: discovery gives up after 2 s itself.
const LIST_CALL_TIMEOUT: Duration = Duration::from_millis(3000);

/// The endpoint list or a delta to it, with the address of each endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    /// Its version.
    pub version: u64,
    /// It is a snapshot of all endpoints and not a delta.
    pub is_snapshot: bool,
    /// The entries with their addresses.
    pub entries: Vec<(EndpointEntry, SocketAddr)>,
}

#[derive(Deserialize)]
struct Page {
    seq: u64,
    whole: bool,
    hosts: Vec<Host>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    health: Health,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: f64,
    #[serde(default)]
    release: Version,
}

/// The weight of a host that names none.
fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Up,
    Draining,
    Removed,
}

/// Why a list cannot be read; the text names the faulty key.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is no JSON, or lacks keys.
    #[error(transparent)]
    Malformed(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something stands behind it.
    #[error(transparent)]
    TrailingData(#[from] serde_json::Error),
    /// The host at this position has no name, or a negative figure.
    #[error("hosts[{0}]: no name, or share or born_ms below 0")]
    InvalidHost(usize),
}

impl Host {
    fn is_valid(&self) -> bool {
        !(self.host.is_empty() || self.share < 0.0 || self.born_ms < 0.0)
    }

    fn into_entry(self) -> (EndpointEntry, SocketAddr) {
        let status = match self.health {
            Health::Up => EndpointStatus::Ready,
            Health::Draining => EndpointStatus::Draining,
            Health::Removed => EndpointStatus::Removed,
        };
        let entry = EndpointEntry {
            endpoint: self.host,
            status,
            version: self.release,
            zone: self.site,
            cell: self.block,
            instance_type: self.class,
            weight: self.share,
            started_at: self.born_ms,
        };
        (entry, self.dial)
    }
}

/// Reads the list in its own form.
///
/// # Errors
/// What is wrong with it.
pub fn read(text: &[u8]) -> Result<List, ListError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let page: Page = serde_path_to_error::deserialize(&mut reader)?;
    reader.end()?;
    if let Some(position) = page.hosts.iter().position(|host| !host.is_valid()) {
        return Err(ListError::InvalidHost(position));
    }
    let entries = page.hosts.into_iter().map(Host::into_entry).collect();
    Ok(List { version: page.seq, is_snapshot: page.whole, entries })
}

/// Watches from a version on, until the connection ends. However it ends, it is reported as a failed call.
pub async fn watch(address: SocketAddr, after: u64, call: CallId, events: mpsc::Sender<DriverEvent>) {
    let failure = match Watch::open(address, after).await {
        Ok(mut watch) => {
            let error = watch.deliver(call, &events).await.err().unwrap_or(CallError::WatchEnded);
            log_failed_watch(call, &error);
            watch.failure(&error)
        }
        Err(error) => {
            log_failed_watch(call, &error);
            UpdateFailure::default()
        }
    };
    COUNTERS.discovery_failures_total.increment();
    let _ = events.send(DriverEvent::EndpointList { call, list: Err(failure) }).await;
}

fn log_failed_watch(call: CallId, error: &CallError) {
    tracing::info!(call = call.0, reason = error.to_string(), "discovery: watch closed");
}

/// Fetches a snapshot once.
pub async fn fetch(address: SocketAddr, call: CallId, events: mpsc::Sender<DriverEvent>) {
    let fetched = timeout(LIST_CALL_TIMEOUT, fetch_list(address)).await;
    let list = fetched.unwrap_or(Err(CallError::NoResponse)).map_err(|error| {
        tracing::info!(call = call.0, reason = error.to_string(), "discovery: call failed");
        COUNTERS.discovery_failures_total.increment();
        let may_have_lost_update = is_unreadable(&error) || matches!(error, CallError::CutOff);
        UpdateFailure { may_have_lost_update, ..UpdateFailure::default() }
    });
    let _ = events.send(DriverEvent::EndpointList { call, list }).await;
}

async fn connect(address: SocketAddr, path: &str) -> io::Result<TcpStream> {
    COUNTERS.discovery_calls_total.increment();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    write_all(&stream, &[http::get(&address.to_string(), path)]).await?;
    Ok(stream)
}

/// Something came that cannot be read.
fn is_unreadable(error: &CallError) -> bool {
    matches!(error, CallError::Response(_) | CallError::List(_))
}

/// An open watch.
struct Watch {
    after: u64,
    stream: TcpStream,
    reader: ResponseReader,
    framer: JsonFramer,
    buffer: BytesMut,
    /// The head of the answer has come.
    has_head: bool,
    /// A list or a line has come.
    is_answered: bool,
    last_sign_of_life: Instant,
    silence_timeout: Duration,
}

impl Watch {
    async fn open(address: SocketAddr, after: u64) -> Result<Self, CallError> {
        let stream = connect(address, &format!("/v1/servers?watch=1&after={after}")).await?;
        Ok(Watch {
            after,
            stream,
            reader: ResponseReader::default(),
            framer: JsonFramer::default(),
            buffer: BytesMut::new(),
            has_head: false,
            is_answered: false,
            last_sign_of_life: Instant::now(),
            silence_timeout: LIST_CALL_TIMEOUT,
        })
    }

    /// Reports lists and deltas until the watch ends.
    async fn deliver(&mut self, call: CallId, events: &mpsc::Sender<DriverEvent>) -> Result<(), CallError> {
        while let Some(list) = self.next_list().await? {
            let _ = events.send(DriverEvent::EndpointList { call, list: Ok(list) }).await;
        }
        Ok(())
    }

    /// What the end of this watch means for the list that is held.
    fn failure(&self, error: &CallError) -> UpdateFailure {
        let silence = self.last_sign_of_life.elapsed();
        let is_silent = self.is_answered && silence > KEEPALIVE_INTERVAL;
        let is_cut_off = self.has_head && (!self.is_answered || self.framer.is_within_object());
        UpdateFailure {
            silent_for: if is_silent { silence.as_secs_f64() * MS_PER_SECOND } else { 0.0 },
            may_have_lost_update: is_cut_off || is_unreadable(error) || !self.buffer.is_empty(),
        }
    }

    /// The next list or delta; none: the watch has ended.
    async fn next_list(&mut self) -> Result<Option<List>, CallError> {
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
                Some(ResponsePart::Head { status, .. }) => return Err(CallError::Status(status)),
                Some(ResponsePart::End) => return Ok(None),
                Some(ResponsePart::Body(bytes)) => self.framer.push(&bytes)?,
                None if self.read().await? == 0 => return Ok(None),
                None => {}
            }
        }
    }

    /// Only whole lines and lists are signs of life: one that never ends is none.
    fn on_frame(&mut self, frame: JsonFrame) -> Result<Option<List>, ListError> {
        self.last_sign_of_life = Instant::now();
        let list = match frame {
            JsonFrame::LineEnd if self.is_answered => return Ok(None),
            // The call is answered all the same where nothing has changed.
            JsonFrame::LineEnd => List { version: self.after, is_snapshot: false, entries: Vec::new() },
            JsonFrame::Object(text) => read(&text)?,
        };
        self.is_answered = true;
        Ok(Some(list))
    }

    async fn read(&mut self) -> Result<usize, CallError> {
        let deadline = self.last_sign_of_life + self.silence_timeout;
        let read = timeout_at(deadline, read_some(&self.stream, &mut self.buffer)).await;
        Ok(read.map_err(|_| CallError::Silent)??)
    }
}

async fn fetch_list(address: SocketAddr) -> Result<List, CallError> {
    let stream = connect(address, "/v1/servers").await?;
    let mut reader = ResponseReader::default();
    let mut body = BodyBuffer::default();
    let mut buffer = BytesMut::new();
    loop {
        match reader.next(&mut buffer)? {
            Some(ResponsePart::Head { status: 200, .. }) => {}
            Some(ResponsePart::Head { status, .. }) => return Err(CallError::Status(status)),
            Some(ResponsePart::Body(bytes)) => body.push(&bytes)?,
            Some(ResponsePart::End) => return Ok(read(&body.take())?),
            None if read_some(&stream, &mut buffer).await? > 0 => {}
            None if reader.is_complete_at_close() => return Ok(read(&body.take())?),
            None => return Err(CallError::CutOff),
        }
    }
}
