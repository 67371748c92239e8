//! Events, counters and inputs that the tasks of all streams share.

use crate::resources::ResourceSnapshot;
use crate::stream::StreamEvent;
use latchhaven_proxy_config::load_reports::ProxyReport;
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::VersionSigner;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::sync::{mpsc, oneshot, watch};
use tonic::Status;

/// The protocol of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKind {
    /// A discovery stream (xDS), on which the proxy subscribes to resources.
    Discovery,
    /// A load report stream (LRS), on which the proxy sends load reports.
    LoadReport,
}

/// An event that the task of a stream reports. The events of one stream arrive in order.
pub enum ServerEvent {
    /// A stream has received its first request, and sends no response until it is admitted.
    StreamOpened {
        /// The number of the stream, from 1 and unique within the server. All its events have this number.
        stream: u64,
        /// The id in the `node` of the first request.
        node_id: String,
        /// Whether the proxy subscribes to resources or reports loads.
        kind: StreamKind,
        /// Admits the stream, or rejects it with the status that the proxy receives. The receiver is dropped after
        /// `ADMISSION_TIMEOUT`.
        admitted: oneshot::Sender<Result<(), Status>>,
    },
    /// The state machine of a discovery stream has reported events.
    StreamEvents {
        /// The number of the stream.
        stream: u64,
        /// The events in the order in which they occurred; at least one.
        events: Vec<StreamEvent>,
    },
    /// A discovery stream is about to send routes; the proxy may use them from now on.
    RoutesSent {
        /// The number of the stream.
        stream: u64,
        /// The share of requests that the routes send to the canary, for each request class.
        canary_shares: CanaryShares,
    },
    /// A proxy has sent a report on a load report stream. The next one is not read before `result` is sent.
    LoadReport {
        /// The number of the stream.
        stream: u64,
        /// The counts since the previous report of the stream.
        report: ProxyReport,
        /// Accepts the report, or rejects it, which ends the stream with `INVALID_ARGUMENT`.
        result: oneshot::Sender<Result<(), LoadReportRejected>>,
    },
    /// A stream has ended. Sent once for each stream, including those that were not admitted or had no valid first
    /// request.
    StreamClosed {
        /// The number of the stream.
        stream: u64,
    },
}

/// Why a load report was rejected. The proxy receives the text as the message of the gRPC status.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct LoadReportRejected {
    reason: String,
}

impl LoadReportRejected {
    /// Creates a rejection with the text of `reason`.
    pub fn new(reason: impl Display) -> Self {
        LoadReportRejected { reason: reason.to_string() }
    }
}

/// Counters of the discovery responses sent since the server started.
#[derive(Debug, Default)]
pub struct SentCounters {
    /// Responses on state-of-the-world (`SotW`) streams.
    pub sotw_responses: AtomicU64,
    /// Bytes of the encoded responses on state-of-the-world streams.
    pub sotw_bytes: AtomicU64,
    /// Responses on incremental (delta) streams.
    pub incremental_responses: AtomicU64,
    /// Bytes of the encoded responses on incremental streams.
    pub incremental_bytes: AtomicU64,
}

/// The inputs and outputs of the task of each stream.
#[derive(Clone)]
pub struct ServerContext {
    /// The newest snapshot. `None` before the first publication; discovery streams send no response until then.
    pub snapshots: watch::Receiver<Option<Arc<ResourceSnapshot>>>,
    /// The sender of the events of all streams. Streams end with `UNAVAILABLE` when the receiver is dropped.
    pub events: mpsc::Sender<ServerEvent>,
    /// Parses the version labels in discovery requests, and verifies their signatures.
    pub signer: VersionSigner,
    /// The names of the request classes by index. The names of clusters in load reports contain them.
    pub class_names: Arc<Vec<String>>,
    /// Counts the discovery responses of all streams.
    pub counters: Arc<SentCounters>,
}
