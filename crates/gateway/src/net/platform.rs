//! The platform: its feed on a connection of its own, and votes, one after another, on another one.

use super::{CONNECT_TIMEOUT, DriverEvent, is_unusable, read_some, write_all};
use crate::counters::COUNTERS;
use crate::proto::http::{self, Body, Part, Reader};
use bytes::BytesMut;
use latchhaven_policy::{Millis, OutcomeReport, RolloutPhase, RolloutState, Verdict, Version, VoteOutcome};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::{Map, Value};
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
const FEED_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time after which a lost feed is opened again.
const MAX_FEED_RETRY_INTERVAL: Duration = Duration::from_millis(1600);
/// A connection for votes that idled longer is not used again: the platform closes some before 10 s.
const MAX_VOTE_CONNECTION_IDLE: Duration = Duration::from_secs(3);

/// What the platform counted over a period.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tally {
    #[serde(rename = "version")]
    pub build: Version,
    #[serde(rename = "kind")]
    pub product: String,
    #[serde(rename = "requests")]
    pub count: u64,
    #[serde(rename = "failures", default)]
    pub failed: u64,
    #[serde(rename = "avgMs")]
    pub took: Option<Millis>,
    #[serde(rename = "observedAgoMs", default)]
    pub age: Millis,
}

impl From<Tally> for OutcomeReport {
    fn from(counts: Tally) -> Self {
        OutcomeReport {
            version: counts.build,
            class: counts.product,
            attempts: counts.count,
            failures: counts.failed,
            mean_latency: counts.took,
            age: counts.age,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct State {
    version: Version,
    step: u32,
    status: Status,
    max_weight: f64,
    #[serde(default)]
    observed_ago_ms: Millis,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Status {
    InProgress,
    RollingBack,
    Complete,
    RolledBack,
}

/// The highest age in ms of what is told: a year.
const AGE_MOST: Millis = 365.0 * 86_400_000.0;

/// What one line of the feed tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    State(RolloutState),
    Tally(Tally),
    /// A sign of life, or something that is not known here.
    Nothing,
}

/// Reads a state of the newest build; the text names the faulty key.
pub fn state(text: &[u8]) -> Result<RolloutState, String> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let state: State = serde_path_to_error::deserialize(&mut reader).map_err(|fault| fault.to_string())?;
    reader.end().map_err(|fault| fault.to_string())?;
    if !(0.0..=1.0).contains(&state.max_weight) {
        return Err("maxWeight: not from 0 to 1".to_string());
    }
    if !(0.0..=AGE_MOST).contains(&state.observed_ago_ms) {
        return Err("observedAgoMs: no sensible age".to_string());
    }
    let phase = match state.status {
        Status::InProgress => RolloutPhase::Canary,
        Status::RollingBack => RolloutPhase::RollingBack,
        Status::Complete => RolloutPhase::Promoted,
        Status::RolledBack => RolloutPhase::RolledBack,
    };
    Ok(RolloutState {
        version: state.version,
        stage: state.step,
        phase,
        traffic_cap: state.max_weight,
        age: state.observed_ago_ms,
    })
}

/// Reads a line of the feed.
pub fn told(line: &[u8]) -> Result<Told, String> {
    let mut line: Map<String, Value> = serde_json::from_slice(line).map_err(|fault| fault.to_string())?;
    let (kind, object) = (line.remove("type"), line.remove("object").unwrap_or_default());
    match kind.as_ref().and_then(Value::as_str) {
        Some("ROLLOUT") => state(object.to_string().as_bytes()).map(Told::State),
        Some("SAMPLE") => {
            let tally: Tally = serde_json::from_value(object).map_err(|fault| fault.to_string())?;
            let aged = (0.0..=AGE_MOST).contains(&tally.age);
            let sound = tally.failed <= tally.count && aged && tally.took.is_none_or(|took| took >= 0.0);
            if sound { Ok(Told::Tally(tally)) } else { Err("SAMPLE: figures that cannot be".to_string()) }
        }
        // A sign of life, or a kind that is not known here yet.
        None if !line.is_empty() || !object.is_null() || kind.is_some() => Err("no type".to_string()),
        _ => Ok(Told::Nothing),
    }
}

/// Keeps a feed open; a lost one is opened again, later each time it brings nothing. One at a new address is open
/// before the earlier one is let go: what is told while none stands is not told again.
pub async fn feed(
    mut at: watch::Receiver<Option<SocketAddr>>, mut rng: Pcg64Mcg, notes: mpsc::Sender<DriverEvent>,
) {
    let (mut again, mut held) = (FEED_RETRY_INTERVAL, None::<Feed>);
    loop {
        let addr = *at.borrow_and_update();
        let opened = {
            let mut opening = pin!(Feed::open(addr));
            loop {
                select! {
                    opened = &mut opening => break Some(opened),
                    why = told_by(&mut held, &notes), if held.is_some() => lost(why, &mut held),
                    Ok(()) = at.changed() => break None,
                }
            }
        };
        let mut lines = 0;
        match opened {
            None => {
                again = FEED_RETRY_INTERVAL;
                continue;
            }
            Some(Ok(feed)) => {
                held = Some(feed);
                select! {
                    why = told_by(&mut held, &notes) => {
                        lines = held.as_ref().map_or(0, |feed| feed.lines);
                        lost(why, &mut held);
                    }
                    Ok(()) = at.changed() => {
                        again = FEED_RETRY_INTERVAL;
                        continue;
                    }
                }
            }
            Some(Err(why)) => tracing::info!(why, "platform: feed not opened"),
        }
        again = if lines > 0 { FEED_RETRY_INTERVAL } else { (2 * again).min(MAX_FEED_RETRY_INTERVAL) };
        let wait = sleep(again.mul_f64(rng.random_range(0.5..1.0)));
        let wait = async {
            select! {
                () = wait => {}
                Ok(()) = at.changed() => again = FEED_RETRY_INTERVAL,
            }
        };
        let mut wait = pin!(wait);
        loop {
            select! {
                () = &mut wait => break,
                why = told_by(&mut held, &notes), if held.is_some() => lost(why, &mut held),
            }
        }
    }
}

fn lost(why: String, held: &mut Option<Feed>) {
    COUNTERS.feed_lost.increment();
    tracing::info!(why, lines = held.take().map(|feed| feed.lines), "platform: feed lost");
}

/// Tells what a feed brings until it is lost; why that is.
async fn told_by(held: &mut Option<Feed>, notes: &mpsc::Sender<DriverEvent>) -> String {
    match held {
        Some(feed) => feed.tell(notes).await.err().unwrap_or_else(|| "it ended".to_string()),
        None => "none is open".to_string(),
    }
}

/// An open feed.
struct Feed {
    stream: TcpStream,
    reader: Reader,
    body: Body,
    buf: BytesMut,
    lines: u64,
    heard: Instant,
}

impl Feed {
    /// Opens a feed, up to the head of its answer.
    async fn open(addr: Option<SocketAddr>) -> Result<Feed, String> {
        // No platform is known: until another configuration names one there is none.
        let Some(addr) = addr else { return std::future::pending().await };
        let text = |fault: std::io::Error| fault.to_string();
        let opening = async {
            let stream =
                timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.map_err(|_| "no connection")?;
            let stream = stream.map_err(text)?;
            stream.set_nodelay(true).map_err(text)?;
            write_all(&stream, &[http::get(&addr.to_string(), "/v1/feed")]).await.map_err(text)?;
            let (mut reader, mut buf) = (Reader::default(), BytesMut::new());
            loop {
                match reader.next(&mut buf).map_err(|fault| fault.to_string())? {
                    Some(Part::Head { status: 200, .. }) => {
                        let (body, lines, heard) = (Body::default(), 0, Instant::now());
                        return Ok(Feed { stream, reader, body, buf, lines, heard });
                    }
                    Some(Part::Head { status, .. }) => return Err(format!("status {status}")),
                    Some(_) => return Err("no head".to_string()),
                    None if read_some(&stream, &mut buf).await.map_err(text)? > 0 => {}
                    None => return Err("it ended before its head".to_string()),
                }
            }
        };
        let opened = timeout(FEED_SILENCE_TIMEOUT, opening)
            .await
            .unwrap_or_else(|_| Err("no head in time".to_string()));
        opened.inspect(|_| COUNTERS.feed_opened.increment())
    }

    /// Tells line by line. Nothing is lost where this is dropped and called again.
    async fn tell(&mut self, notes: &mpsc::Sender<DriverEvent>) -> Result<(), String> {
        loop {
            let Ok(place) = notes.reserve().await else { return Ok(()) };
            if let Some(line) = self.body.line() {
                // Only whole lines are signs of life: one that never ends is none.
                (self.lines, self.heard) = (self.lines + 1, Instant::now());
                match told(&line) {
                    Ok(Told::State(news)) => place.send(DriverEvent::Rollout(news)),
                    Ok(Told::Tally(tally)) => place.send(DriverEvent::Outcomes(tally)),
                    Ok(Told::Nothing) => {}
                    Err(_) if line.trim_ascii().is_empty() => {}
                    // Where one line is spoilt, what follows it may be out of step.
                    Err(why) => return Err(format!("a line cannot be read: {why}")),
                }
                continue;
            }
            match self.reader.next(&mut self.buf).map_err(|fault| fault.to_string())? {
                Some(Part::Head { .. } | Part::End) => return Ok(()),
                Some(Part::Body(piece)) => self.body.add(&piece).map_err(|fault| fault.to_string())?,
                None => {
                    let read =
                        timeout_at(self.heard + FEED_SILENCE_TIMEOUT, read_some(&self.stream, &mut self.buf));
                    match read.await.map_err(|_| "no sign of life".to_string())? {
                        Ok(0) => return Ok(()),
                        read => drop(read.map_err(|fault| fault.to_string())?),
                    }
                }
            }
        }
    }
}

/// One vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vote {
    pub build: Version,
    pub stage: u32,
    pub verdict: Verdict,
    pub cast: Instant,
}

/// How a vote ended.
enum Outcome {
    Counted(RolloutState),
    NotCounted(String),
    /// It may have been carried out, or may yet be.
    Unsure(String),
}

/// Casts votes in order, each at most once; a connection stays open for the next one.
pub async fn votes(
    at: watch::Receiver<Option<SocketAddr>>, within: Duration, mut queue: mpsc::Receiver<Vote>,
    notes: mpsc::Sender<DriverEvent>,
) {
    let mut open = None;
    while let Some(vote) = queue.recv().await {
        COUNTERS.votes.increment();
        let (mut written, addr) = (false, *at.borrow());
        let cast = timeout_at(vote.cast + within, cast(addr, &vote, &mut open, &mut written)).await;
        let outcome = match cast {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(why)) if written => Outcome::Unsure(why),
            Ok(Err(why)) => Outcome::NotCounted(why),
            Err(_) if written => Outcome::Unsure("no answer in time".to_string()),
            Err(_) => Outcome::NotCounted("no connection in time".to_string()),
        };
        let completed = match outcome {
            Outcome::Counted(news) => {
                COUNTERS.votes_counted.increment();
                VoteOutcome::Counted(news)
            }
            Outcome::NotCounted(why) => {
                COUNTERS.votes_not_counted.increment();
                tracing::info!(why, build = vote.build.0, stage = vote.stage, "platform: vote not counted");
                VoteOutcome::NotCounted
            }
            Outcome::Unsure(why) => {
                COUNTERS.votes_unsure.increment();
                tracing::info!(
                    why,
                    build = vote.build.0,
                    stage = vote.stage,
                    "platform: vote without answer"
                );
                VoteOutcome::Unknown
            }
        };
        let _ = notes.send(DriverEvent::VoteCompleted(completed)).await;
    }
}

/// Casts one vote; an error leaves open what the platform did if `written` is set.
async fn cast(
    addr: Option<SocketAddr>, vote: &Vote, open: &mut Option<(TcpStream, SocketAddr, Instant)>,
    written: &mut bool,
) -> Result<Outcome, String> {
    let addr = addr.ok_or("no platform is known")?;
    let text = |fault: std::io::Error| fault.to_string();
    let mut buf = BytesMut::new();
    // The platform closes what idles, and what is written to such a connection may have been carried out.
    let alive = |(stream, of, since): &(TcpStream, SocketAddr, Instant)| {
        *of == addr && since.elapsed() < MAX_VOTE_CONNECTION_IDLE && !is_unusable(stream)
    };
    let stream = match open.take().filter(alive) {
        Some((stream, ..)) => stream,
        None => {
            let stream = TcpStream::connect(addr).await.map_err(text)?;
            stream.set_nodelay(true).map_err(text)?;
            stream
        }
    };
    let word = match vote.verdict {
        Verdict::Abstain => "clear",
        Verdict::Promote => "approve",
        Verdict::Pause => "wait",
        Verdict::RollBack => "reject",
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
    let outcome = outcome(status, &body.take())?;
    // Only what was read whole leaves a connection in step.
    if !last && buf.is_empty() && !is_unusable(&stream) {
        *open = Some((stream, addr, Instant::now()));
    }
    Ok(outcome)
}

/// Reads the answer to a vote: only status and words together tell what was done.
fn outcome(status: u16, body: &[u8]) -> Result<Outcome, String> {
    #[derive(Deserialize)]
    struct Refused {
        error: String,
    }
    if status == 200 {
        return state(body).map(Outcome::Counted);
    }
    let refused: Refused =
        serde_json::from_slice(body).map_err(|fault| format!("status {status}: {fault}"))?;
    match (status, refused.error.as_str()) {
        (400, "SYNTAX") | (409, "STALE") | (429, "BUSY") | (500, "FAILED") => {
            Ok(Outcome::NotCounted(format!("status {status}")))
        }
        _ => Err(format!("status {status} with other words")),
    }
}
