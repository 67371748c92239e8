//! What a policy requires its adapter to do, and why requests get no result.

use crate::log_event::LogEvent;
use crate::request::{AttemptOutcome, RequestId};
use crate::rollout::{Verdict, Version};
use crate::time::Millis;

/// Why a request gets a final answer without a result, with the inputs of the rule that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UnservedReason {
    /// Load shedding: too few requests are served well.
    Overload {
        /// The probability with which the request was rejected; above 1 it was certain.
        shed_probability: f64,
    },
    /// No endpoint was available to it in time.
    NoEndpoint {
        /// Endpoints that the list shows as ready.
        ready_endpoints: usize,
        /// ms that an answer was expected to take.
        expected_latency: Millis,
        /// ms left of the latency objective; below 0 after it.
        objective_left: Millis,
    },
    /// The endpoint list has not been confirmed for too long, and no endpoint has proven itself since.
    ListExpired {
        /// ms since the list's lease expired.
        expired_for: Millis,
    },
    /// Its attempts failed, and another one is not permitted or would be late.
    AttemptsFailed {
        /// Attempts sent.
        attempts: usize,
        /// How the last attempt to end did so.
        last_outcome: AttemptOutcome,
        /// ms left of the latency objective; below 0 after it.
        objective_left: Millis,
    },
    /// Its deadline has passed.
    Overdue {
        /// Attempts sent.
        attempts: usize,
        /// ms since the deadline.
        overdue_for: Millis,
    },
    /// The adapter required the answer, as in a graceful shutdown.
    Abandoned,
    /// The settings have no class of that name.
    UnknownClass,
}

impl UnservedReason {
    /// The reason's name in logs, without its inputs.
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

/// One thing to do; an adapter performs actions in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: String,
        /// ms to wait for the answer; none: for as long as the client does.
        timeout: Option<Millis>,
        /// ms within which the attempt must be written completely, else it is not sent: after that the endpoint may be
        /// draining, or no longer recognise the idempotency key.
        write_timeout: Option<Millis>,
    },
    /// Final answer: a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After in ms, where clients honour one.
        retry_after: Option<Millis>,
        /// Why, for logs and counters.
        reason: UnservedReason,
    },
    /// Final answer: failed; it may have been executed.
    Fail {
        /// The request.
        id: RequestId,
        /// Why, for logs and counters.
        reason: UnservedReason,
    },
    /// Cancel one attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// ms until it fires.
        after: Millis,
        /// What [`Event::TimerFired`](crate::Event::TimerFired) is to carry.
        token: String,
    },
    /// Check an endpoint's health.
    HealthCheck {
        /// The endpoint.
        endpoint: String,
    },
    /// Close idle connections to an endpoint.
    CloseIdleConnections {
        /// The endpoint.
        endpoint: String,
    },
    /// Send a message to another gateway.
    SendPeerMessage {
        /// The receiver's index; none: all gateways.
        to: Option<u32>,
        /// The content.
        data: Vec<u8>,
    },
    /// Open a watch on the endpoint list, or end it.
    WatchEndpoints {
        /// False: end it.
        enabled: bool,
    },
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Vote on a version.
    CastVote {
        /// The version.
        version: Version,
        /// The stage of its rollout, from 0.
        stage: u32,
        /// The vote.
        verdict: Verdict,
    },
    /// Print an event for the operators.
    Log(LogEvent),
}
