//! The platform: its feed on a connection of its own, and votes, one after another, on another one.

use super::{DIAL, FEED_AGAIN, FEED_AGAIN_MOST, FEED_SILENCE, Note, VOTES_IDLE, read_some, unfit, write_all};
use crate::counters::COUNTERS;
use crate::proto::http::{self, Body, Part, Reader};
use bytes::BytesMut;
use latchhaven::api::{Build, Ms, Phase, StageNews, Verdict};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// What the platform counted over a period.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tally {
    #[serde(rename = "version")]
    pub build: Build,
    #[serde(rename = "kind")]
    pub product: String,
    #[serde(rename = "requests")]
    pub count: u64,
    #[serde(rename = "failures", default)]
    pub failed: u64,
    #[serde(rename = "avgMs")]
    pub took: Option<Ms>,
    #[serde(rename = "observedAgoMs", default)]
    pub age: Ms,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct State {
    version: Build,
    step: u32,
    status: Status,
    max_weight: f64,
    #[serde(default)]
    observed_ago_ms: Ms,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Status {
    InProgress,
    RollingBack,
    Complete,
    RolledBack,
}

#[derive(Deserialize)]
struct Line {
    #[serde(rename = "type")]
    kind: Option<String>,
    object: Option<serde_json::Value>,
}

/// What one line of the feed tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    State(StageNews),
    Tally(Tally),
    /// A sign of life, or something that is not known here.
    Nothing,
}

/// Reads a state of the newest build; the text names the faulty key.
pub fn state(text: &[u8], answer: bool) -> Result<StageNews, String> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let state: State = serde_path_to_error::deserialize(&mut reader).map_err(|fault| fault.to_string())?;
    if !(0.0..=1.0).contains(&state.max_weight) {
        return Err("maxWeight: not from 0 to 1".to_string());
    }
    Ok(StageNews {
        valid: true,
        unsure: false,
        answer,
        build: state.version,
        stage: state.step,
        phase: match state.status {
            Status::InProgress => Phase::OnTrial,
            Status::RollingBack => Phase::GoingBack,
            Status::Complete => Phase::Released,
            Status::RolledBack => Phase::Withdrawn,
        },
        cap: state.max_weight,
        age: state.observed_ago_ms,
    })
}

/// Reads a line of the feed.
pub fn told(line: &[u8]) -> Result<Told, String> {
    let line: Line = serde_json::from_slice(line).map_err(|fault| fault.to_string())?;
    let object = line.object.unwrap_or_default();
    match line.kind.as_deref() {
        Some("ROLLOUT") => state(object.to_string().as_bytes(), false).map(Told::State),
        Some("SAMPLE") => {
            let tally: Tally = serde_json::from_value(object).map_err(|fault| fault.to_string())?;
            let sound = tally.failed <= tally.count && tally.age.is_finite();
            if sound {
                Ok(Told::Tally(tally))
            } else {
                Err("SAMPLE: more failures than requests".to_string())
            }
        }
        _ => Ok(Told::Nothing),
    }
}

/// Keeps a feed open; a lost one is opened again, later each time it brings nothing.
pub async fn feed(addr: SocketAddr, mut rng: Pcg64Mcg, notes: mpsc::Sender<Note>) {
    let mut again = FEED_AGAIN;
    loop {
        let mut lines = 0u64;
        let why = fed(addr, &notes, &mut lines).await.err().unwrap_or_else(|| "it ended".to_string());
        COUNTERS.feed_lost.add();
        tracing::info!(why, lines, "platform: feed lost");
        again = if lines > 0 { FEED_AGAIN } else { (2 * again).min(FEED_AGAIN_MOST) };
        sleep(again.mul_f64(rng.random_range(0.5..1.0))).await;
    }
}

async fn fed(addr: SocketAddr, notes: &mpsc::Sender<Note>, lines: &mut u64) -> Result<(), String> {
    let text = |fault: std::io::Error| fault.to_string();
    let dialed = timeout(DIAL, TcpStream::connect(addr)).await.map_err(|_| "no connection".to_string())?;
    let stream = dialed.map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    write_all(&stream, &[http::get(&addr.to_string(), "/v1/feed")]).await.map_err(text)?;
    COUNTERS.feed_opened.add();
    let (mut reader, mut body, mut buf) = (Reader::default(), Body::default(), BytesMut::new());
    loop {
        match reader.next(&mut buf).map_err(|fault| fault.to_string())? {
            Some(Part::Head { status: 200, .. }) => {}
            Some(Part::Head { status, .. }) => return Err(format!("status {status}")),
            Some(Part::End) => return Ok(()),
            Some(Part::Body(piece)) => {
                body.add(&piece).map_err(|fault| fault.to_string())?;
                while let Some(line) = body.line() {
                    *lines += 1;
                    // A single bad line tells nothing of those that follow.
                    let note = match told(&line) {
                        Ok(Told::State(news)) => Note::Stage(news),
                        Ok(Told::Tally(tally)) => Note::Tally(tally),
                        Ok(Told::Nothing) => continue,
                        Err(_) if line.trim_ascii().is_empty() => continue,
                        Err(why) => {
                            tracing::warn!(why, "platform: a line of the feed cannot be read");
                            continue;
                        }
                    };
                    let _ = notes.send(note).await;
                }
            }
            None => match timeout(FEED_SILENCE, read_some(&stream, &mut buf)).await {
                Err(_) => return Err("no sign of life".to_string()),
                Ok(Ok(0)) => return Ok(()),
                Ok(read) => drop(read.map_err(text)?),
            },
        }
    }
}

/// One vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vote {
    pub build: Build,
    pub stage: u32,
    pub verdict: Verdict,
    pub cast: Instant,
}

/// How a vote ended.
enum Outcome {
    Counted(StageNews),
    NotCounted(String),
    /// It may have been carried out, or may yet be.
    Unsure(String),
}

/// Casts votes in order, each at most once; a connection stays open for the next one.
pub async fn votes(
    addr: SocketAddr, within: Duration, mut queue: mpsc::Receiver<Vote>, notes: mpsc::Sender<Note>,
) {
    let mut open = None;
    while let Some(vote) = queue.recv().await {
        COUNTERS.votes.add();
        let mut written = false;
        let cast = timeout_at(vote.cast + within, cast(addr, &vote, &mut open, &mut written)).await;
        let outcome = match cast {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(why)) if written => Outcome::Unsure(why),
            Ok(Err(why)) => Outcome::NotCounted(why),
            Err(_) if written => Outcome::Unsure("no answer in time".to_string()),
            Err(_) => Outcome::NotCounted("no connection in time".to_string()),
        };
        let failed = |unsure| StageNews {
            valid: false,
            unsure,
            answer: true,
            build: vote.build,
            stage: vote.stage,
            phase: Phase::OnTrial,
            cap: 0.0,
            age: 0.0,
        };
        let news = match outcome {
            Outcome::Counted(news) => {
                COUNTERS.votes_counted.add();
                news
            }
            Outcome::NotCounted(why) => {
                COUNTERS.votes_not_counted.add();
                tracing::info!(why, build = vote.build, stage = vote.stage, "platform: vote not counted");
                failed(false)
            }
            Outcome::Unsure(why) => {
                COUNTERS.votes_unsure.add();
                tracing::info!(why, build = vote.build, stage = vote.stage, "platform: vote without answer");
                failed(true)
            }
        };
        let _ = notes.send(Note::Stage(news)).await;
    }
}

/// Casts one vote; an error leaves open what the platform did if `written` is set.
async fn cast(
    addr: SocketAddr, vote: &Vote, open: &mut Option<(TcpStream, Instant)>, written: &mut bool,
) -> Result<Outcome, String> {
    let text = |fault: std::io::Error| fault.to_string();
    let mut buf = BytesMut::new();
    // The platform closes what idles, and what is written to such a connection may have been carried out.
    let alive = |(stream, since): &(TcpStream, Instant)| since.elapsed() < VOTES_IDLE && !unfit(stream);
    let stream = match open.take().filter(alive) {
        Some((stream, _)) => stream,
        None => {
            let stream = TcpStream::connect(addr).await.map_err(text)?;
            stream.set_nodelay(true).map_err(text)?;
            stream
        }
    };
    let word = match vote.verdict {
        Verdict::None => "clear",
        Verdict::On => "approve",
        Verdict::Hold => "wait",
        Verdict::Back => "reject",
    };
    let body = serde_json::json!({"version": vote.build, "step": vote.stage, "vote": word}).to_string();
    write_all(&stream, &[http::post(&addr.to_string(), "/v1/ballots", &body)]).await.map_err(text)?;
    *written = true;
    let (mut reader, mut body, mut answer) = (Reader::default(), Body::default(), None);
    loop {
        match reader.next(&mut buf).map_err(|fault| fault.to_string())? {
            Some(Part::Head { status, last }) => answer = Some((status, last)),
            Some(Part::Body(piece)) => body.add(&piece).map_err(|fault| fault.to_string())?,
            Some(Part::End) => break,
            None if read_some(&stream, &mut buf).await.map_err(text)? > 0 => {}
            None if reader.ends_here() => break,
            None => return Err("the answer is cut off".to_string()),
        }
    }
    let (status, last) = answer.ok_or("no answer")?;
    if !last {
        *open = Some((stream, Instant::now()));
    }
    match status {
        200 => state(&body.take(), true).map(Outcome::Counted),
        400 | 409 | 429 | 500 => Ok(Outcome::NotCounted(format!("status {status}"))),
        _ => Err(format!("status {status}")),
    }
}
