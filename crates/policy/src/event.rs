//! Events that an adapter passes to the policy.
//!
//! Requests are identified by the id of their [`IncomingRequest`], endpoints by their id on the endpoint list, classes
//! by their name in the settings. An event that names an unknown one is ignored, but a request of an unknown class is
//! failed.

use crate::endpoint::{EndpointEntry, UpdateFailure, UpdateKind};
use crate::request::{AttemptOutcome, LoadReport, RequestId};
use crate::rollout::{RolloutState, Version, VoteOutcome};
use crate::time::Millis;

/// A request that a client sent, at the time when the adapter received it completely.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingRequest {
    /// Assigned by the adapter; unique among the requests that it has not completed.
    pub id: RequestId,
    /// The name of the request's class; a request of a class that the settings do not define is failed.
    pub class: String,
    /// The tenant that sent the request, whose overload does not affect other tenants; `None` if the client names none.
    pub tenant: Option<String>,
    /// Once a canary has served a request with this key, later ones with the same key may not go to an earlier version.
    pub sticky_key: Option<String>,
    /// Time until the client's timeout expires.
    pub time_remaining: Millis,
    /// Time from the request's arrival until this event, for example behind others on its connection.
    pub queued_for: Millis,
    /// The client's estimate of the execution time that the request requires; `None` if the client gives none.
    pub expected_work: Option<Millis>,
    /// Set when the client has sent the request before; load shedding rejects retries first.
    pub is_retry: bool,
    /// Set when the request changes data. Whether it may be sent again is decided by its class alone.
    pub is_write: bool,
}

/// The outcome of an attempt. One event follows for each [`Action::SendAttempt`](crate::Action::SendAttempt).
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedAttempt {
    /// The id of the request that the attempt belongs to.
    pub id: RequestId,
    /// The position of the attempt among those of the request, from 0.
    pub attempt: u32,
    /// The id of the endpoint that the attempt was sent to.
    pub endpoint: String,
    /// How the attempt ended, which decides whether the request may be executed again.
    pub outcome: AttemptOutcome,
    /// Set when the request now has its final status, or needs none because its client has disconnected.
    pub is_final: bool,
    /// Time from the action that sent the attempt until its outcome.
    pub elapsed: Millis,
    /// The load that the response reported; empty unless the settings have load reports in responses.
    pub load: LoadReport,
    /// When the connection to the endpoint was established; `None` if unknown. A success on a connection older than the
    /// last confirmation of the list is evidence that the listed process is ready.
    pub connected_at: Option<Millis>,
}

/// Counts of attempts at one version, in one class, over a reporting period, as the platform or the proxies report
/// them.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeReport {
    /// The version that the attempts were sent to.
    pub version: Version,
    /// The name of the class that the requests belong to.
    pub class: String,
    /// The number of completed attempts that were counted, which may be a sample.
    pub attempts: u64,
    /// The number of them that failed; a report with more failures than attempts is ignored.
    pub failures: u64,
    /// Mean latency of the attempts that did not fail; `None` if unknown.
    pub mean_latency: Option<Millis>,
    /// How long ago the counted attempts completed, as the sender of the report states it.
    pub age: Millis,
}

/// Counts of attempts that other senders, such as proxies, sent to one endpoint, in one class, over a reporting period.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointOutcomes {
    /// The id of the endpoint that the attempts were sent to.
    pub endpoint: String,
    /// The name of the class that the requests belong to.
    pub class: String,
    /// The number of completed attempts; a report of none is ignored.
    pub attempts: u64,
    /// The number of them that failed; a report with more failures than attempts is ignored.
    pub failures: u64,
    /// Mean latency of the attempts that succeeded; `None` if none did.
    pub mean_latency: Option<Millis>,
}

/// Something that has happened, such as the arrival of a request or the outcome of an attempt. The adapter reports
/// events to the policy in batches.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The discovery service delivered the endpoint list, or changes to it. A [`UpdateKind::Delta`] or
    /// [`UpdateKind::Snapshot`] confirms the list.
    EndpointUpdate {
        /// Whether the entries replace the current list or only change it.
        kind: UpdateKind,
        /// Assigned by the discovery service; a newer list has a higher version.
        list_version: u64,
        /// The entries of the list, or of the change; in any order.
        entries: Vec<EndpointEntry>,
    },
    /// A call for the endpoint list failed, or the watch was closed.
    EndpointUpdateFailed(UpdateFailure),
    /// The adapter now calls the discovery service at another address.
    DiscoveryMoved,
    /// The discovery service at its previous address delivered an update, which is applied but does not confirm the
    /// list.
    EndpointUpdateFromPreviousAddress {
        /// Whether the entries replace the current list or only change it.
        kind: UpdateKind,
        /// The entries of the list, or of the change; in any order.
        entries: Vec<EndpointEntry>,
    },
    /// A client sent a request. Exactly one final status follows, unless the client disconnects before.
    RequestReceived(IncomingRequest),
    /// The adapter began to forward a streamed response: the request is no longer retried, and not failed at
    /// its deadline.
    ResponseStarted {
        /// The id of the request whose response began.
        id: RequestId,
        /// The position of the attempt among those of the request, from 0.
        attempt: u32,
        /// The id of the endpoint that sends the response.
        endpoint: String,
        /// Time from the action that sent the attempt until the first part of the response.
        elapsed: Millis,
    },
    /// An attempt completed, however it ended.
    AttemptCompleted(CompletedAttempt),
    /// The client of a pending request has disconnected: the request needs no final status.
    ClientDisconnected {
        /// The id that the adapter assigned on the request's arrival.
        id: RequestId,
    },
    /// The adapter demands the final status of a pending request, for example because it shuts down; the request is
    /// rejected or failed in the same batch.
    Abandon {
        /// The id that the adapter assigned on the request's arrival.
        id: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) fired.
    TimerFired {
        /// The token of the action that set the timer.
        token: String,
    },
    /// A health check completed, however it ended.
    HealthCheckCompleted {
        /// The id of the endpoint that was checked.
        endpoint: String,
        /// How the check ended, in the terms of an attempt.
        outcome: AttemptOutcome,
        /// Time from the action that sent the check until its outcome.
        elapsed: Millis,
        /// The load that the check reported; empty unless the settings have load reports in health checks.
        load: LoadReport,
    },
    /// Another gateway sent a message by [`Action::SendPeerMessage`](crate::Action::SendPeerMessage).
    PeerMessage {
        /// The index of the sending gateway.
        from: u32,
        /// The content as its policy encoded it; a malformed message is ignored.
        data: Vec<u8>,
    },
    /// The platform reported the state of the newest version's rollout.
    RolloutUpdate(RolloutState),
    /// The platform could not determine the state of the rollout.
    RolloutUnavailable,
    /// The platform replied to a vote, or no reply arrived within its timeout.
    VoteCompleted(VoteOutcome),
    /// A reporting period ended: counts of attempts at one version.
    OutcomesReported(OutcomeReport),
    /// A reporting period ended: counts of attempts that other senders, such as proxies, sent to one endpoint.
    EndpointOutcomesReported(EndpointOutcomes),
    /// A client reported that a response, although successful, was wrong.
    WrongResponseReported {
        /// The id of the endpoint that sent the response.
        endpoint: String,
        /// The name of the class that the request belongs to.
        class: String,
        /// Time from the response until the report.
        age: Millis,
    },
}
