//! Connections to upstream endpoints: one task each, one call at a time on each.
//!
//! - [`pool`]: the endpoints, their idle connections, and the calls that wait for one.
//! - [`connection`]: a connection, and the task that drives it.
//! - `exchange`: one query and its answer.

pub mod connection;
mod exchange;
pub mod pool;

pub use connection::UpstreamConnection;
pub use pool::{QueuedCall, UpstreamPool};

use bytes::Bytes;
use latchhaven_policy::{AttemptOutcome, LoadReport, RequestId};
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

/// How a call ended.
pub struct CallResult {
    /// Whether and how the endpoint answered.
    pub outcome: AttemptOutcome,
    /// The row of a success: its description, the row, and its completion, as they came.
    pub value: Option<[Bytes; 3]>,
    /// What the endpoint reported of its load.
    pub load: LoadReport,
    /// When the connection that carried the call came up.
    pub connected_at: Option<Instant>,
}

impl CallResult {
    /// The call ended without an answer of the endpoint.
    pub fn without_answer(outcome: AttemptOutcome) -> Self {
        CallResult { outcome, value: None, load: LoadReport::default(), connected_at: None }
    }
}

/// Where a call was when it was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// Its last byte was never written.
    Unwritten,
    /// It was written, and its connection is closed.
    Written,
    /// There is no such call.
    NotFound,
}

/// Idle connections are closed at this part of the time after which endpoints close them.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
