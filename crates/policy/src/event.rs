//! Events that an adapter passes to the policy. Times are in ms.

use crate::endpoint::{EndpointEntry, UpdateFailure, UpdateKind};
use crate::request::{AttemptOutcome, LoadReport, RequestId};
use crate::rollout::{RolloutState, Version, VoteOutcome};
use crate::time::Millis;

/// A client's request on arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Its id.
    pub id: RequestId,
    /// The name of its class.
    pub class: String,
    /// The tenant that sent it, where requests have tenants.
    pub tenant: Option<String>,
    /// Its sticky key: one that a canary has answered may not go to an earlier version.
    pub sticky_key: Option<String>,
    /// Time left of the client's timeout.
    pub time_remaining: Millis,
    /// Time that it was queued before this event.
    pub queued_for: Millis,
    /// The client's estimate of its work.
    pub expected_work: Option<Millis>,
    /// The client has sent it before.
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
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// The request has its final answer.
    pub is_final: bool,
    /// Time since the attempt was sent.
    pub elapsed: Millis,
    /// The endpoint's load, where answers contain reports.
    pub load: LoadReport,
    /// When its connection was established; none where unknown.
    pub connected_at: Option<Millis>,
}

/// The platform's counts for one version and class over the past period.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The version.
    pub version: Version,
    /// The name of the class.
    pub class: String,
    /// Attempts in the sample.
    pub attempts: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Mean latency of the others.
    pub mean_latency: Option<Millis>,
    /// Time since the end of the period.
    pub age: Millis,
}

/// Other senders' counts at one endpoint over a period.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOutcomes {
    /// The endpoint.
    pub endpoint: String,
    /// The name of the class.
    pub class: String,
    /// Attempts.
    pub attempts: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Mean latency of those that succeeded.
    pub mean_latency: Option<Millis>,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointUpdate {
        /// How it relates to the current list.
        kind: UpdateKind,
        /// The list's version.
        list_version: u64,
        /// Its entries.
        entries: Vec<EndpointEntry>,
    },
    /// A call for the endpoint list failed, or the watch broke.
    EndpointUpdateFailed(UpdateFailure),
    /// The discovery service has moved to another address.
    DiscoveryMoved,
    /// An update from the previous address of the discovery service: it is applied, but does not confirm the list.
    EndpointUpdateFromPreviousAddress {
        /// How it relates to the current list.
        kind: UpdateKind,
        /// Its entries.
        entries: Vec<EndpointEntry>,
    },
    /// A client's request arrived.
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
    /// The client has disconnected: the request needs no answer.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The adapter requires the final answer immediately.
    Abandon {
        /// The request.
        id: RequestId,
    },
    /// A timer fired.
    TimerFired {
        /// Its token.
        token: String,
    },
    /// A health check ended.
    HealthCheckCompleted {
        /// The endpoint.
        endpoint: String,
        /// Its outcome.
        outcome: AttemptOutcome,
        /// Its duration.
        elapsed: Millis,
        /// The endpoint's load, where health checks report it.
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
    /// The platform could not determine the state of the rollout.
    RolloutUnavailable,
    /// A vote was answered, or its answer will not arrive.
    VoteCompleted(VoteOutcome),
    /// The platform's counts for one version and class over the past period.
    OutcomesReported(OutcomeReport),
    /// Other senders' counts at one endpoint over a period.
    EndpointOutcomesReported(EndpointOutcomes),
    /// A client reported a wrong answer.
    WrongResponseReported {
        /// The endpoint that sent it.
        endpoint: String,
        /// The name of the request's class.
        class: String,
        /// Time since the answer.
        age: Millis,
    },
}
