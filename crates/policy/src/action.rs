//! What the policy asks its adapter to do.

use crate::request::RequestId;
use crate::rollout::{Verdict, Version};
use crate::time::Millis;

/// Why a request gets a final answer without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// Too few requests are served well: a share is rejected at once.
    Overload,
    /// No endpoint could take it in time.
    NoEndpoint,
    /// The endpoint list has not been confirmed for too long, and no endpoint has proven itself since.
    ListExpired,
    /// Its attempts failed, and another one is not allowed or would be late.
    AttemptsFailed,
    /// Its time is up.
    Overdue,
    /// The adapter asked for the answer.
    Abandoned,
    /// Its class is not known.
    UnknownClass,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint.
    SendAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: String,
        /// How long to wait for the answer; none: for as long as the client does.
        timeout: Option<Millis>,
        /// An attempt that is not written whole by then is not sent at all: the endpoint would no longer recognise it as
        /// a repeat.
        write_within: Option<Millis>,
    },
    /// Final answer: not executed, a retry is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Option<Millis>,
        /// Why, for logs and counters.
        reason: UnservedReason,
    },
    /// Final answer: failed, with no promise as to its effect.
    Fail {
        /// The request.
        id: RequestId,
        /// Why, for logs and counters.
        reason: UnservedReason,
    },
    /// Stop waiting for one attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Set a timer.
    SetTimer {
        /// Time until it fires.
        after: Millis,
        /// What the event is to carry.
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
        /// The receiver's index; none: all of them.
        to: Option<u32>,
        /// The content.
        data: Vec<u8>,
    },
    /// Watch the endpoint list from now on, or stop watching it.
    WatchEndpoints {
        /// False: stop.
        enabled: bool,
    },
    /// Fetch the whole endpoint list once.
    FetchEndpoints,
    /// Vote on a version.
    CastVote {
        /// The version.
        version: Version,
        /// The stage that it is in.
        stage: u32,
        /// The vote.
        verdict: Verdict,
    },
    /// A line for the operators.
    Log(String),
}
