//! Casts votes in order, each at most once; a connection stays open for the next one.

use super::messages::read_rollout_state;
use crate::counters::COUNTERS;
use crate::net::call_error::CallError;
use crate::net::{DriverEvent, is_unusable, read_some, write_all};
use crate::proto::http::{self, BodyBuffer, ResponsePart, ResponseReader};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::{RolloutState, Verdict, Version, VoteOutcome};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};

/// A connection that idled longer is not used again: the platform closes some before 10 s.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(3);

/// One vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vote {
    /// The version that is voted on.
    pub version: Version,
    /// The stage of its rollout.
    pub stage: u32,
    /// The vote.
    pub verdict: Verdict,
    /// When it was cast.
    pub cast_at: Instant,
}

/// How a vote ended.
enum VoteResult {
    Counted(RolloutState),
    NotCounted(CallError),
    /// It may have been carried out, or may yet be.
    Unknown(CallError),
}

/// A connection on which a vote was answered.
struct VoteConnection {
    stream: TcpStream,
    address: SocketAddr,
    idle_since: Instant,
}

impl VoteConnection {
    /// The platform closes what idles, and what is written to such a connection may have been carried out.
    fn is_usable(&self, address: SocketAddr) -> bool {
        self.address == address
            && self.idle_since.elapsed() < MAX_CONNECTION_IDLE
            && !is_unusable(&self.stream)
    }
}

/// Casts the votes of a queue, each within `vote_timeout` from its casting.
pub async fn votes(
    address: watch::Receiver<Option<SocketAddr>>, vote_timeout: Duration, mut queue: mpsc::Receiver<Vote>,
    events: mpsc::Sender<DriverEvent>,
) {
    let mut caster = VoteCaster { address, idle: None };
    while let Some(vote) = queue.recv().await {
        COUNTERS.votes_total.increment();
        let result = caster.cast_in_time(&vote, vote_timeout).await;
        let _ = events.send(DriverEvent::VoteCompleted(record(result, &vote))).await;
    }
}

/// Counts and logs how a vote ended.
fn record(result: VoteResult, vote: &Vote) -> VoteOutcome {
    let build = vote.version.0;
    let stage = vote.stage;
    match result {
        VoteResult::Counted(rollout) => {
            COUNTERS.votes_counted_total.increment();
            VoteOutcome::Counted(rollout)
        }
        VoteResult::NotCounted(error) => {
            COUNTERS.votes_not_counted_total.increment();
            tracing::info!(reason = error.to_string(), build, stage, "platform: vote not counted");
            VoteOutcome::NotCounted
        }
        VoteResult::Unknown(error) => {
            COUNTERS.votes_unknown_total.increment();
            tracing::info!(reason = error.to_string(), build, stage, "platform: vote outcome unknown");
            VoteOutcome::Unknown
        }
    }
}

struct VoteCaster {
    address: watch::Receiver<Option<SocketAddr>>,
    idle: Option<VoteConnection>,
}

impl VoteCaster {
    async fn cast_in_time(&mut self, vote: &Vote, vote_timeout: Duration) -> VoteResult {
        let mut is_written = false;
        let address = *self.address.borrow();
        let cast = timeout_at(vote.cast_at + vote_timeout, self.cast(address, vote, &mut is_written)).await;
        match cast {
            Ok(Ok(result)) => result,
            Ok(Err(error)) if is_written => VoteResult::Unknown(error),
            Ok(Err(error)) => VoteResult::NotCounted(error),
            Err(_) if is_written => VoteResult::Unknown(CallError::NoResponseInTime),
            Err(_) => VoteResult::NotCounted(CallError::NoConnectionInTime),
        }
    }

    /// Casts one vote; an error leaves open what the platform did if `is_written` is set.
    async fn cast(
        &mut self, address: Option<SocketAddr>, vote: &Vote, is_written: &mut bool,
    ) -> Result<VoteResult, CallError> {
        let address = address.ok_or(CallError::NoPlatform)?;
        let stream = self.connect(address).await?;
        write_all(&stream, &[http::post(&address.to_string(), "/v1/ballots", &ballot(vote))]).await?;
        *is_written = true;
        let response = Response::read(&stream).await?;
        let result = vote_result(response.status, &response.body)?;
        // Only what was read whole leaves a connection in step.
        if response.keeps_connection && !is_unusable(&stream) {
            self.idle = Some(VoteConnection { stream, address, idle_since: Instant::now() });
        }
        Ok(result)
    }

    async fn connect(&mut self, address: SocketAddr) -> Result<TcpStream, CallError> {
        if let Some(idle) = self.idle.take()
            && idle.is_usable(address)
        {
            return Ok(idle.stream);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// A vote as the platform reads it.
fn ballot(vote: &Vote) -> String {
    let word = match vote.verdict {
        Verdict::Abstain => "clear",
        Verdict::Promote => "approve",
        Verdict::Pause => "wait",
        Verdict::RollBack => "reject",
    };
    serde_json::json!({"version": vote.version, "step": vote.stage, "vote": word}).to_string()
}

/// The whole response to a vote.
struct Response {
    status: u16,
    body: Bytes,
    /// The connection stays open, and nothing has come behind the response.
    keeps_connection: bool,
}

impl Response {
    async fn read(stream: &TcpStream) -> Result<Self, CallError> {
        let mut reader = ResponseReader::default();
        let mut body = BodyBuffer::default();
        let mut buffer = BytesMut::new();
        let mut head = None;
        loop {
            match reader.next(&mut buffer)? {
                Some(ResponsePart::Head { status, is_last }) => head = Some((status, is_last)),
                Some(ResponsePart::Body(bytes)) => body.push(&bytes)?,
                Some(ResponsePart::End) => break,
                None if read_some(stream, &mut buffer).await? > 0 => {}
                None if reader.is_complete_at_close() => break,
                None => return Err(CallError::CutOff),
            }
        }
        let (status, is_last) = head.ok_or(CallError::NoResponse)?;
        Ok(Response { status, body: body.take(), keeps_connection: !is_last && buffer.is_empty() })
    }
}

/// Reads the response to a vote: only status and words together tell what was done.
fn vote_result(status: u16, body: &[u8]) -> Result<VoteResult, CallError> {
    #[derive(Deserialize)]
    struct Refusal {
        error: String,
    }
    if status == 200 {
        return Ok(VoteResult::Counted(read_rollout_state(body)?));
    }
    let refusal: Refusal =
        serde_json::from_slice(body).map_err(|error| CallError::StatusBody { status, error })?;
    match (status, refusal.error.as_str()) {
        (400, "SYNTAX") | (409, "STALE") | (429, "BUSY") | (500, "FAILED") => {
            Ok(VoteResult::NotCounted(CallError::Status(status)))
        }
        _ => Err(CallError::StatusMismatch(status)),
    }
}
