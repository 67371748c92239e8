//! The actions that a policy returns to its adapter, and the reasons for which requests end without a result.

use crate::log_event::LogEvent;
use crate::request::{AttemptOutcome, RequestId};
use crate::rollout::{Verdict, Version};
use crate::time::Millis;

/// Why a request ends without a result, with the inputs of the rule that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UnservedReason {
    /// Load shedding rejected the request on arrival, because too few recent requests met their latency objective.
    Overload {
        /// The probability with which the request was rejected; from 1 on, every request is.
        shed_probability: f64,
    },
    /// No endpoint could take the request in time for its latency objective.
    NoEndpoint {
        /// The number of endpoints that the list shows as ready, ejected ones included.
        ready_endpoints: usize,
        /// The expected time from an attempt to its response.
        expected_latency: Millis,
        /// Time left of the latency objective; negative once the objective has passed.
        objective_left: Millis,
    },
    /// The endpoint list was not confirmed within its lease, and no endpoint has given evidence of readiness since.
    ListExpired {
        /// Time since the lease expired.
        expired_for: Millis,
    },
    /// All attempts failed, and another one is not permitted or would miss the latency objective.
    AttemptsFailed {
        /// The number of attempts that were sent.
        attempts: usize,
        /// The outcome of the attempt that completed last.
        last_outcome: AttemptOutcome,
        /// Time left of the latency objective; negative once the objective has passed.
        objective_left: Millis,
    },
    /// The client's timeout expired before a response began.
    Overdue {
        /// The number of attempts that were sent.
        attempts: usize,
        /// Time since the request's deadline.
        overdue_for: Millis,
    },
    /// The adapter demanded a final status, for example during a graceful shutdown.
    Abandoned,
    /// The settings define no class of the request's class name.
    UnknownClass,
}

impl UnservedReason {
    /// The name of the variant as log lines print it, without the rule's inputs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            UnservedReason::Overload { .. } => "Overload",
            UnservedReason::NoEndpoint { .. } => "NoEndpoint",
            UnservedReason::ListExpired { .. } => "ListExpired",
            UnservedReason::AttemptsFailed { .. } => "AttemptsFailed",
            UnservedReason::Overdue { .. } => "Overdue",
            UnservedReason::Abandoned => "Abandoned",
            UnservedReason::UnknownClass => "UnknownClass",
        }
    }
}

/// One instruction to the adapter, which performs actions in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt at a request. [`Event::AttemptCompleted`](crate::Event::AttemptCompleted) follows exactly once.
    SendAttempt {
        /// The id from the request's [`IncomingRequest`](crate::IncomingRequest).
        id: RequestId,
        /// The id of the endpoint on the endpoint list.
        endpoint: String,
        /// How long to wait for the response; `None`: until the client's own timeout.
        timeout: Option<Millis>,
        /// Time within which the attempt must be written completely, or else must not be sent: afterwards the endpoint
        /// may be draining, or may no longer recognise the idempotency key. `None` without such a limit.
        write_timeout: Option<Millis>,
    },
    /// End a request with the final status "rejected": a retry by the client is harmless.
    Reject {
        /// The id from the request's [`IncomingRequest`](crate::IncomingRequest).
        id: RequestId,
        /// How long the client should wait before a retry; `None` if clients honour no Retry-After.
        retry_after: Option<Millis>,
        /// The deciding rule and its inputs, for logs and counters; clients do not receive it.
        reason: UnservedReason,
    },
    /// End a request with the final status "failed": it may have been executed.
    Fail {
        /// The id from the request's [`IncomingRequest`](crate::IncomingRequest).
        id: RequestId,
        /// The deciding rule and its inputs, for logs and counters; clients do not receive it.
        reason: UnservedReason,
    },
    /// Cancel an attempt in flight, which then completes with [`AttemptOutcome::Cancelled`] unless another outcome was
    /// faster.
    CancelAttempt {
        /// The id from the request's [`IncomingRequest`](crate::IncomingRequest).
        id: RequestId,
        /// The position of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Cancel an attempt in flight if its last byte was not written yet: a rule now forbids it. It then completes with
    /// [`AttemptOutcome::NotSent`]. An attempt that was written completely continues. Needs no permission to cancel
    /// attempts, since the endpoint has not begun.
    CancelUnwrittenAttempt {
        /// The id from the request's [`IncomingRequest`](crate::IncomingRequest).
        id: RequestId,
        /// The position of the attempt among those of the request, from 0.
        attempt: u32,
    },
    /// Set a timer that fires once.
    SetTimer {
        /// Time from the action until the timer fires.
        after: Millis,
        /// Identifies the timer; returned in [`Event::TimerFired`](crate::Event::TimerFired).
        token: String,
    },
    /// Send a health check. [`Event::HealthCheckCompleted`](crate::Event::HealthCheckCompleted) follows.
    HealthCheck {
        /// The id of the endpoint on the endpoint list.
        endpoint: String,
    },
    /// Close connections to an endpoint that have no attempt in flight, so that other gateways can connect.
    CloseIdleConnections {
        /// The id of the endpoint on the endpoint list.
        endpoint: String,
    },
    /// Send a message to other gateways, which receive it as [`Event::PeerMessage`](crate::Event::PeerMessage).
    SendPeerMessage {
        /// The index of the receiving gateway; `None` sends the message to all gateways.
        to: Option<u32>,
        /// The content, encoded by the policy and opaque to the adapter.
        data: Vec<u8>,
    },
    /// Open or close the watch that delivers changes of the endpoint list.
    WatchEndpoints {
        /// `true` opens the watch, `false` closes it.
        enabled: bool,
    },
    /// Fetch a snapshot of the endpoint list, without a watch.
    FetchEndpoints,
    /// Vote on the rollout of a version. [`Event::VoteCompleted`](crate::Event::VoteCompleted) follows.
    CastVote {
        /// The version that is voted on.
        version: Version,
        /// The stage of the version's rollout for which the vote counts, from 0.
        stage: u32,
        /// The decision that the gateway votes for.
        verdict: Verdict,
    },
    /// Write an event to the operators' log.
    Log(LogEvent),
}
