//! Calls to endpoints and their results.

use bytes::Bytes;
use latchhaven_policy::{AttemptOutcome, LoadReport, RequestId};
use std::fmt;
use tokio::time::Instant;

/// Identifies what is sent to an endpoint with one query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpstreamCall {
    /// An attempt to serve a request.
    Attempt {
        /// The request that is attempted.
        id: RequestId,
        /// Index among the attempts of the request, from 0.
        attempt: u32,
    },
    /// A health check with its number, which is unique within the process.
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
    /// Success, or why there is no valid response.
    pub outcome: AttemptOutcome,
    /// `RowDescription`, `DataRow` and `CommandComplete` as received; `None` unless the call succeeded.
    pub value: Option<[Bytes; 3]>,
    /// The load that the endpoint reported with its response; empty unless load reports in responses are enabled.
    pub load: LoadReport,
    /// When the connection that carried the call was established. Set by the connection's task; `None` if the call
    /// ended otherwise, such as by a timeout.
    pub connected_at: Option<Instant>,
}

impl CallResult {
    /// The result of a call that was not sent, was cancelled, or got no complete response.
    #[must_use]
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        CallResult { outcome, value: None, load: LoadReport::default(), connected_at: None }
    }
}

/// How far a call had proceeded when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The last byte of the query was not written, so the endpoint does not execute it.
    Unwritten,
    /// The complete query was written. The connection is closed, but the endpoint may execute the query.
    Written,
    /// The pool has no such call: it is completed or was never sent.
    NotFound,
}
