//! Casts votes in order, each at most once. The connection of an answered vote is reused for a while.

use super::messages::{MessageError, parse_rollout_state};
use crate::counters::COUNTERS;
use crate::limits::platform::MAX_VOTE_CONNECTION_IDLE;
use crate::net::DriverEvent;
use crate::net::http_connection::{HttpConnection, HttpError};
use crate::proto::http::{BodyBuffer, ResponsePart};
use bytes::Bytes;
use latchhaven_policy::{RolloutState, Verdict, Version, VoteOutcome};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};

/// Why a vote failed. The texts are logged.
#[derive(Debug, thiserror::Error)]
enum VoteError {
    /// The connection failed, or the response is malformed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The rollout state in the response cannot be read.
    #[error(transparent)]
    State(#[from] MessageError),
    /// The platform rejected the vote with this status.
    #[error("status {0}")]
    Status(u16),
    /// The body of a response with this status cannot be read.
    #[error("status {status}: {error}")]
    StatusBody { status: u16, error: serde_json::Error },
    /// The status does not belong to the error in the body.
    #[error("status {0} does not match the error in its body")]
    StatusMismatch(u16),
    /// The vote was not written in time.
    #[error("no connection in time")]
    NoConnectionInTime,
    /// The response had no head.
    #[error("no response head")]
    NoHead,
    /// There was no response in time.
    #[error("no response in time")]
    NoResponseInTime,
    /// The connection closed within the response.
    #[error("connection closed within the response")]
    Truncated,
    /// No platform is configured.
    #[error("no platform is configured")]
    NoPlatform,
}

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

/// The result of a vote.
enum VoteResult {
    Counted(RolloutState),
    NotCounted(VoteError),
    /// The platform may count it.
    Unknown(VoteError),
}

/// A connection on which a vote was answered.
struct VoteConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

impl VoteConnection {
    /// The platform closes idle connections, and a vote written to a closed one would have an unknown result.
    fn is_usable(&self, address: SocketAddr) -> bool {
        self.connection.address() == address
            && self.idle_since.elapsed() < MAX_VOTE_CONNECTION_IDLE
            && !self.connection.is_unusable()
    }
}

/// Casts the votes of a queue, each within `vote_timeout` after [`Vote::cast_at`].
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

/// Counts and logs the result of a vote.
fn record(result: VoteResult, vote: &Vote) -> VoteOutcome {
    let version = vote.version.0;
    let stage = vote.stage;
    match result {
        VoteResult::Counted(rollout) => {
            COUNTERS.votes_counted_total.increment();
            VoteOutcome::Counted(rollout)
        }
        VoteResult::NotCounted(error) => {
            COUNTERS.votes_not_counted_total.increment();
            tracing::info!(reason = error.to_string(), version, stage, "platform: vote not counted");
            VoteOutcome::NotCounted
        }
        VoteResult::Unknown(error) => {
            COUNTERS.votes_unknown_total.increment();
            tracing::info!(reason = error.to_string(), version, stage, "platform: vote outcome unknown");
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
            Err(_) if is_written => VoteResult::Unknown(VoteError::NoResponseInTime),
            Err(_) => VoteResult::NotCounted(VoteError::NoConnectionInTime),
        }
    }

    /// Casts one vote. Sets `is_written` when the platform may have received it: the result is unknown after an error
    /// then.
    async fn cast(
        &mut self, address: Option<SocketAddr>, vote: &Vote, is_written: &mut bool,
    ) -> Result<VoteResult, VoteError> {
        let address = address.ok_or(VoteError::NoPlatform)?;
        let mut connection = self.connect(address).await?;
        connection.post("/v1/ballots", &ballot(vote)).await?;
        *is_written = true;
        let response = Response::read(&mut connection).await?;
        let result = vote_result(response.status, &response.body)?;
        if response.keeps_connection && !connection.is_unusable() {
            self.idle = Some(VoteConnection { connection, idle_since: Instant::now() });
        }
        Ok(result)
    }

    async fn connect(&mut self, address: SocketAddr) -> Result<HttpConnection, HttpError> {
        if let Some(idle) = self.idle.take()
            && idle.is_usable(address)
        {
            return Ok(idle.connection);
        }
        HttpConnection::open(address).await
    }
}

/// A vote as it is sent.
fn ballot(vote: &Vote) -> String {
    let word = match vote.verdict {
        Verdict::Abstain => "clear",
        Verdict::Promote => "approve",
        Verdict::Pause => "wait",
        Verdict::RollBack => "reject",
    };
    serde_json::json!({"version": vote.version, "step": vote.stage, "vote": word}).to_string()
}

/// The complete response to a vote.
struct Response {
    status: u16,
    body: Bytes,
    /// The connection stays open, and there was no data after the response.
    keeps_connection: bool,
}

impl Response {
    async fn read(connection: &mut HttpConnection) -> Result<Self, VoteError> {
        let mut body = BodyBuffer::default();
        let mut head = None;
        loop {
            match connection.next_part().await? {
                Some(ResponsePart::Head { status, closes_connection }) => {
                    head = Some((status, closes_connection));
                }
                Some(ResponsePart::Body(bytes)) => body.push(&bytes).map_err(HttpError::from)?,
                Some(ResponsePart::End) => break,
                None if connection.is_complete_at_close() => break,
                None => return Err(VoteError::Truncated),
            }
        }
        let (status, closes_connection) = head.ok_or(VoteError::NoHead)?;
        Ok(Response {
            status,
            body: body.take(),
            keeps_connection: !closes_connection && !connection.has_unparsed_input(),
        })
    }
}

/// Reads the response to a vote. Only a status together with the error that belongs to it proves that the vote was not
/// counted; after any other response the result is unknown.
fn vote_result(status: u16, body: &[u8]) -> Result<VoteResult, VoteError> {
    #[derive(Deserialize)]
    struct Rejection {
        error: String,
    }
    if status == 200 {
        return Ok(VoteResult::Counted(parse_rollout_state(body)?));
    }
    let rejection: Rejection =
        serde_json::from_slice(body).map_err(|error| VoteError::StatusBody { status, error })?;
    match (status, rejection.error.as_str()) {
        (400, "SYNTAX") | (409, "STALE") | (429, "BUSY") | (500, "FAILED") => {
            Ok(VoteResult::NotCounted(VoteError::Status(status)))
        }
        _ => Err(VoteError::StatusMismatch(status)),
    }
}
