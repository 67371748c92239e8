//! What the tasks of all streams share: their events, counters, and inputs.

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

/// An event of a stream's task.
pub enum ServerEvent {
    /// A proxy opened a stream, which is pending admission.
    StreamOpened {
        /// The number of the stream.
        stream: u64,
        /// The proxy's node id.
        node: String,
        /// True for load reports, false for discovery.
        reports_loads: bool,
        /// Receives the admission, or the status with which the stream ends.
        admitted: oneshot::Sender<Result<(), Status>>,
    },
    /// Events of a discovery stream.
    StreamEvents {
        /// The number of the stream.
        stream: u64,
        /// The events in order.
        events: Vec<StreamEvent>,
    },
    /// Routes with these shares of the canary are about to be sent.
    RoutesSent {
        /// The number of the stream.
        stream: u64,
        /// The share of each request class.
        canary_shares: CanaryShares,
    },
    /// A load report.
    LoadReport {
        /// The number of the stream.
        stream: u64,
        /// The report.
        report: ProxyReport,
        /// Receives whether the report is valid; the stream ends if not.
        result: oneshot::Sender<Result<(), LoadReportRejected>>,
    },
    /// A stream ended.
    StreamClosed {
        /// The number of the stream.
        stream: u64,
    },
}

/// Why a load report was rejected. The text reaches the proxy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct LoadReportRejected {
    reason: String,
}

impl LoadReportRejected {
    /// A rejection with the text of an error.
    pub fn new(reason: impl Display) -> Self {
        LoadReportRejected { reason: reason.to_string() }
    }
}

/// Counters of sent responses.
#[derive(Debug, Default)]
pub struct SentCounters {
    /// Responses on full streams.
    pub messages: AtomicU64,
    /// Bytes of responses on full streams.
    pub bytes: AtomicU64,
    /// Responses on incremental streams.
    pub incremental_messages: AtomicU64,
    /// Bytes of responses on incremental streams.
    pub incremental_bytes: AtomicU64,
}

/// The inputs and outputs of every stream's task.
#[derive(Clone)]
pub struct ServerContext {
    /// The newest snapshot; none before the first publication.
    pub snapshots: watch::Receiver<Option<Arc<ResourceSnapshot>>>,
    /// Receives the events.
    pub events: mpsc::Sender<ServerEvent>,
    /// Parses the version labels in requests.
    pub signer: VersionSigner,
    /// The names of the request classes.
    pub classes: Arc<Vec<String>>,
    /// Counts sent responses.
    pub counters: Arc<SentCounters>,
}
