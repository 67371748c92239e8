//! What the policy is told.

use crate::endpoint::{EndpointEntry, UpdateFailure, UpdateKind};
use crate::request::{AttemptOutcome, LoadReport, RequestId};
use crate::rollout::{RolloutState, Version, VoteOutcome};
use crate::time::Millis;

/// A client's request as it came in.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// The name of its class.
    pub class: String,
    /// The tenant that sent it, where there are any.
    pub tenant: Option<String>,
    /// The key that may not return to an earlier version, where it has one.
    pub sticky_key: Option<String>,
    /// Time until the client gives up.
    pub time_remaining: Millis,
    /// How long it had been queued by now.
    pub queued_for: Millis,
    /// The client's guess at its work.
    pub expected_work: Option<Millis>,
    /// The client sent it before.
    pub is_retry: bool,
    /// It writes data.
    pub is_write: bool,
}

/// An attempt that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// The request.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The endpoint that it was sent to.
    pub endpoint: String,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The request has its final answer.
    pub is_final: bool,
    /// Time since the attempt was sent.
    pub elapsed: Millis,
    /// The endpoint's load, where answers hold reports.
    pub load: LoadReport,
    /// When the connection that carried it came up; none where that is not known.
    pub connected_at: Option<Millis>,
}

/// What the platform counted for one version and class over the past period.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The version.
    pub version: Version,
    /// The name of the class.
    pub class: String,
    /// Attempts in the sample.
    pub attempts: u64,
    /// Those of them that failed.
    pub failures: u64,
    /// Mean time of the others.
    pub mean_latency: Option<Millis>,
    /// Age of the end of the period.
    pub age: Millis,
}

/// What other senders counted at one endpoint over a period.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOutcomes {
    /// The endpoint.
    pub endpoint: String,
    /// The name of the class.
    pub class: String,
    /// Attempts counted.
    pub attempts: u64,
    /// Those of them that failed.
    pub failures: u64,
    /// Mean time of those that succeeded.
    pub mean_latency: Option<Millis>,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointUpdate {
        /// How it relates to the list held so far.
        kind: UpdateKind,
        /// The list's version.
        list_version: u64,
        /// What it holds.
        entries: Vec<EndpointEntry>,
    },
    /// A call for the endpoint list failed, or the watch broke.
    EndpointUpdateFailed(UpdateFailure),
    /// The discovery service is at another address from now on.
    DiscoveryMoved,
    /// An update from the address that the discovery service had before: it holds, but does not confirm the list.
    EndpointUpdateFromPreviousAddress {
        /// How it relates to the list held so far.
        kind: UpdateKind,
        /// What it holds.
        entries: Vec<EndpointEntry>,
    },
    /// A client's request came in.
    RequestReceived(IncomingRequest),
    /// A streamed response has begun: the attempt now belongs to the client.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The endpoint that answers.
        endpoint: String,
        /// Time since the attempt was sent.
        elapsed: Millis,
    },
    /// An attempt ended.
    AttemptCompleted(CompletedAttempt),
    /// The client went away: nothing is owed any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The adapter needs the final answer now.
    Abandon {
        /// The request.
        id: RequestId,
    },
    /// A timer came due.
    TimerFired {
        /// What it was set with.
        token: String,
    },
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: String,
        /// How the check ended.
        outcome: AttemptOutcome,
        /// How long it took.
        elapsed: Millis,
        /// The endpoint's load, where checks report it.
        load: LoadReport,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The sender's index.
        from: u32,
        /// Its content.
        data: Vec<u8>,
    },
    /// The state of the newest version's rollout.
    RolloutUpdate(RolloutState),
    /// The platform could not tell the state of the rollout.
    RolloutUnavailable,
    /// A vote was answered, or will not be.
    VoteCompleted(VoteOutcome),
    /// What the platform counted for one version and class over the past period.
    OutcomesReported(OutcomeReport),
    /// What other senders counted at one endpoint over a period.
    EndpointOutcomesReported(EndpointOutcomes),
    /// A client found an answer wrong.
    WrongAnswerReported {
        /// The endpoint that gave it.
        endpoint: String,
        /// The name of the request's class.
        class: String,
        /// Time since the answer.
        age: Millis,
    },
}
