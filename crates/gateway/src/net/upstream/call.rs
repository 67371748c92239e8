//! Calls to endpoints and their results.

use bytes::Bytes;
use latchhaven_policy::{AttemptOutcome, LoadReport, RequestId};
use std::fmt;
use tokio::time::Instant;

/// What is sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamCall {
    /// An attempt of a request; attempts are numbered from 0.
    Attempt {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// A health check, by its number.
    HealthCheck(u64),
}

impl fmt::Display for UpstreamCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpstreamCall::Attempt { id, attempt } => write!(f, "request {id} attempt {attempt}"),
            UpstreamCall::HealthCheck(number) => write!(f, "health check {number}"),
        }
    }
}

/// How a call ended.
pub struct CallResult {
    /// Whether and how the endpoint answered.
    pub outcome: AttemptOutcome,
    /// The row of a success as received: its description, the row, and its completion.
    pub value: Option<[Bytes; 3]>,
    /// The load that the endpoint reported.
    pub load: LoadReport,
    /// When the connection that carried the call was established.
    pub connected_at: Option<Instant>,
}

impl CallResult {
    /// The call ended without an answer of the endpoint.
    #[must_use]
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        CallResult { outcome, value: None, load: LoadReport::default(), connected_at: None }
    }
}

/// The state of a call when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// Its last byte was never written.
    Unwritten,
    /// It was written, and its connection is closed.
    Written,
    /// There is no such call.
    NotFound,
}
