//! Casts votes in order, each at most once: a vote that may have been received is never sent again. After a complete
//! response the connection is reused for the next vote, if it was not idle for too long.

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
    /// The rollout state in the response is invalid.
    #[error(transparent)]
    State(#[from] MessageError),
    /// The status with which the platform rejected the vote.
    #[error("status {0}")]
    Rejected(u16),
    /// The body of a rejection is malformed.
    #[error("status {status}: malformed body: {error}")]
    StatusBody { status: u16, error: serde_json::Error },
    /// The body of a rejection has another error than the one of this status.
    #[error("status {0}: expected the error code of this status in the body")]
    StatusMismatch(u16),
    /// The vote was not written completely within the timeout.
    #[error("vote not sent before its timeout")]
    SendTimeout,
    #[error("expected a response head")]
    MissingHead,
    /// The vote was written, and its response was not received completely within the timeout.
    #[error("no complete response before the timeout of the vote")]
    ResponseTimeout,
    #[error("connection closed before the end of the response")]
    Truncated,
    #[error("no platform is configured")]
    NoPlatform,
}

/// A vote of this gateway on a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vote {
    /// The version that is being rolled out.
    pub version: Version,
    /// The stage of the rollout to which the verdict applies.
    pub stage: u32,
    /// What the gateway recommends: promotion, a pause or a rollback; or that it abstains.
    pub verdict: Verdict,
    /// When the policy cast the vote; its timeout starts here, and includes the time in the queue.
    pub cast_at: Instant,
}

enum VoteResult {
    /// The state of the rollout after the vote.
    Counted(RolloutState),
    /// The platform has not received the vote, or has rejected it.
    NotCounted(VoteError),
    /// The platform may have counted the vote.
    Unknown(VoteError),
}

/// An idle connection, on which the response to an earlier vote was complete.
struct VoteConnection {
    connection: HttpConnection,
    idle_since: Instant,
}

impl VoteConnection {
    /// Returns `true` if the next vote can be written to this connection. The platform closes idle connections, and
    /// the result of a vote written to a closed one would be unknown.
    fn is_usable(&self, address: SocketAddr) -> bool {
        self.connection.address() == address
            && self.idle_since.elapsed() < MAX_VOTE_CONNECTION_IDLE
            && !self.connection.is_unusable()
    }
}

/// Casts the votes of `queue`, and sends the outcome of each to `events`, until the queue is closed.
///
/// `address` is the platform's current address, `None` while no platform is configured. A vote without a result
/// `vote_timeout` after [`Vote::cast_at`] has failed.
pub async fn cast_votes(
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

/// Updates the counters, and logs the reason of a failed vote.
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
            Err(_) if is_written => VoteResult::Unknown(VoteError::ResponseTimeout),
            Err(_) => VoteResult::NotCounted(VoteError::SendTimeout),
        }
    }

    /// Sends one vote and reads the response. Sets `is_written` when the platform may have received the vote: after a
    /// later error the result is unknown.
    async fn cast(
        &mut self, address: Option<SocketAddr>, vote: &Vote, is_written: &mut bool,
    ) -> Result<VoteResult, VoteError> {
        let address = address.ok_or(VoteError::NoPlatform)?;
        let mut connection = self.connect(address).await?;
        connection.post("/v1/ballots", &encode_vote(vote)).await?;
        *is_written = true;
        let response = Response::read(&mut connection).await?;
        let result = parse_vote_response(response.status, &response.body)?;
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

/// Encodes a vote as the JSON body of its request.
fn encode_vote(vote: &Vote) -> String {
    let verdict = match vote.verdict {
        Verdict::Abstain => "clear",
        Verdict::Promote => "approve",
        Verdict::Pause => "wait",
        Verdict::RollBack => "reject",
    };
    serde_json::json!({"version": vote.version, "step": vote.stage, "vote": verdict}).to_string()
}

/// The complete response to a vote.
struct Response {
    status: u16,
    body: Bytes,
    /// Set when the connection stays open and no data followed the response.
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
        let (status, closes_connection) = head.ok_or(VoteError::MissingHead)?;
        Ok(Response {
            status,
            body: body.take(),
            keeps_connection: !closes_connection && !connection.has_unparsed_input(),
        })
    }
}

/// Parses the response to a vote. Only a status together with the error code of this status shows that the vote was
/// not counted. After an error of this function the result is unknown.
fn parse_vote_response(status: u16, body: &[u8]) -> Result<VoteResult, VoteError> {
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
            Ok(VoteResult::NotCounted(VoteError::Rejected(status)))
        }
        _ => Err(VoteError::StatusMismatch(status)),
    }
}
