//! The list of instances: read from the service in whole, or watched.

use super::{CONNECT_TIMEOUT, DriverEvent, read_some, write_all};
use crate::counters::COUNTERS;
use crate::discovery::calls::CallId;
use crate::proto::http::{self, Body, Part, Reader};
use crate::proto::json::{Piece, Pieces};
use bytes::BytesMut;
use latchhaven_policy::{EndpointEntry, EndpointStatus, Version};
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// A watch without a sign of life for so long is ended: discovery sends one every 2 s.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// A call that brings nothing by then has failed: discovery gives up after 2 s itself.
const LIST_CALL_TIMEOUT: Duration = Duration::from_millis(3000);

/// The list, or changes to it, with the address of each instance.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub version: u64,
    pub whole: bool,
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

/// Reads the list in its own form; the text names the faulty key.
pub fn read(text: &[u8]) -> Result<List, String> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let page: Page = serde_path_to_error::deserialize(&mut reader).map_err(|fault| fault.to_string())?;
    reader.end().map_err(|fault| fault.to_string())?;
    let odd = |host: &Host| host.host.is_empty() || host.share < 0.0 || host.born_ms < 0.0;
    if let Some(at) = page.hosts.iter().position(odd) {
        return Err(format!("hosts[{at}]: no name, or share or born_ms below 0"));
    }
    let entries = page.hosts.into_iter().map(|host| {
        let state = match host.health {
            Health::Up => EndpointStatus::Ready,
            Health::Draining => EndpointStatus::Draining,
            Health::Removed => EndpointStatus::Removed,
        };
        let listing = EndpointEntry {
            endpoint: host.host,
            status: state,
            version: host.release,
            zone: host.site,
            cell: host.block,
            machine_type: host.class,
            weight: host.share,
            started_at: host.born_ms,
        };
        (listing, host.dial)
    });
    Ok(List { version: page.seq, whole: page.whole, entries: entries.collect() })
}

/// Watches from a version on, until the connection ends. Every way out is told as a failed call.
pub async fn watch(addr: SocketAddr, after: u64, call_id: CallId, notes: mpsc::Sender<DriverEvent>) {
    let path = format!("/v1/servers?watch=1&after={after}");
    let why = watched(addr, &path, after, call_id, &notes)
        .await
        .err()
        .unwrap_or_else(|| "the watch ended".to_string());
    tracing::info!(why, "list: watch over");
    COUNTERS.list_failures.increment();
    let _ = notes.send(DriverEvent::EndpointList { call: call_id, list: None }).await;
}

/// Asks for the whole list once.
pub async fn fetch(addr: SocketAddr, call_id: CallId, notes: mpsc::Sender<DriverEvent>) {
    let list =
        timeout(LIST_CALL_TIMEOUT, fetched(addr)).await.unwrap_or_else(|_| Err("no answer".to_string()));
    if let Err(why) = &list {
        tracing::info!(why, "list: call failed");
        COUNTERS.list_failures.increment();
    }
    let _ = notes.send(DriverEvent::EndpointList { call: call_id, list: list.ok() }).await;
}

async fn call(addr: SocketAddr, path: &str) -> io::Result<TcpStream> {
    COUNTERS.list_calls.increment();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    write_all(&stream, &[http::get(&addr.to_string(), path)]).await?;
    Ok(stream)
}

async fn watched(
    addr: SocketAddr, path: &str, after: u64, call_id: CallId, notes: &mpsc::Sender<DriverEvent>,
) -> Result<(), String> {
    let stream = call(addr, path).await.map_err(|fault| fault.to_string())?;
    let (mut reader, mut pieces, mut buf) = (Reader::default(), Pieces::default(), BytesMut::new());
    let (mut answered, mut silence, mut heard) = (false, LIST_CALL_TIMEOUT, Instant::now());
    loop {
        let part = reader.next(&mut buf).map_err(|fault| fault.to_string())?;
        match part {
            Some(Part::Head { status: 200, .. }) => silence = WATCH_SILENCE_TIMEOUT,
            Some(Part::Head { status, .. }) => return Err(format!("status {status}")),
            Some(Part::End) => return Ok(()),
            Some(Part::Body(piece)) => {
                pieces.add(&piece).map_err(|fault| fault.to_string())?;
                while let Some(piece) = pieces.piece().map_err(|fault| fault.to_string())? {
                    // Only whole lines and lists are signs of life: one that never ends is none.
                    heard = Instant::now();
                    let list = match piece {
                        // The call is answered all the same where nothing has changed.
                        Piece::LineEnd if answered => continue,
                        Piece::LineEnd => List { version: after, whole: false, entries: Vec::new() },
                        Piece::Object(list) => read(&list)?,
                    };
                    answered = true;
                    let _ = notes.send(DriverEvent::EndpointList { call: call_id, list: Some(list) }).await;
                }
            }
            None => match timeout_at(heard + silence, read_some(&stream, &mut buf)).await {
                Err(_) => return Err("no sign of life".to_string()),
                Ok(Ok(0)) => return Ok(()),
                Ok(read) => drop(read.map_err(|fault| fault.to_string())?),
            },
        }
    }
}

async fn fetched(addr: SocketAddr) -> Result<List, String> {
    let stream = call(addr, "/v1/servers").await.map_err(|fault| fault.to_string())?;
    let (mut reader, mut body, mut buf) = (Reader::default(), Body::default(), BytesMut::new());
    loop {
        match reader.next(&mut buf).map_err(|fault| fault.to_string())? {
            Some(Part::Head { status: 200, .. }) => {}
            Some(Part::Head { status, .. }) => return Err(format!("status {status}")),
            Some(Part::Body(piece)) => body.add(&piece).map_err(|fault| fault.to_string())?,
            Some(Part::End) => return read(&body.take()),
            None => match read_some(&stream, &mut buf).await.map_err(|fault| fault.to_string())? {
                0 if reader.ends_here() => return read(&body.take()),
                0 => return Err("the answer is cut off".to_string()),
                _ => {}
            },
        }
    }
}
