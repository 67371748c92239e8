//! The gRPC server: accepts connections from allowed networks and runs one task for each stream.
//!
//! It makes no decisions: streams are [`Stream`](crate::stream::Stream) state machines, and whoever receives the
//! [`ServerEvent`]s decides when a stream may begin and whether a load report is valid.
//!
//! - `connections`: accepts and counts connections.
//! - `services`: maps gRPC paths to streams.
//! - `stream_task`: what all streams share: their task, admission, and the first request.
//! - `discovery`: discovery streams.
//! - `load_reports`: streams of load reports.

mod connections;
mod discovery;
mod load_reports;
mod services;
mod stream_task;

use crate::resources::ResourceSnapshot;
use crate::stream::StreamEvent;
use connections::ConnectionLimits;
use ipnet::IpNet;
use latchhaven_proxy_config::load_reports::ProxyReport;
use latchhaven_proxy_config::share_ledger::CanaryShares;
use latchhaven_proxy_config::version::VersionSigner;
use services::XdsServices;
use std::fmt::Display;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;

/// How often a silent connection is pinged.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Limit for the answer to a ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Streams on one connection at most: discovery, load reports, and single types.
const MAX_STREAMS_PER_CONNECTION: u32 = 16;
/// Connections allowed for each stream that may be open: some have no stream yet.
const CONNECTIONS_PER_STREAM: usize = 2;
/// Accepted connections that may wait to be served.
const MAX_UNSERVED_CONNECTIONS: usize = 64;
/// Bytes that a reader may be behind before nothing more is passed to its connection.
const STREAM_WINDOW: u32 = 1 << 20;

/// What streams report, and ask for.
pub enum ServerEvent {
    /// A proxy opened a stream; it is answered once the stream may begin.
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

/// Counters of what was sent.
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

/// What every stream needs.
#[derive(Clone)]
pub struct ServerContext {
    /// The newest snapshot, once there is one.
    pub snapshots: watch::Receiver<Option<Arc<ResourceSnapshot>>>,
    /// Where events go.
    pub events: mpsc::Sender<ServerEvent>,
    /// Reads the version labels that proxies name.
    pub signer: VersionSigner,
    /// The names of the request classes.
    pub classes: Arc<Vec<String>>,
    /// Counts what is sent.
    pub counters: Arc<SentCounters>,
}

/// Serves proxies from the `allowed` networks until the listener fails for good.
///
/// # Errors
/// The transport error that ended it.
pub async fn serve(
    listener: TcpListener, allowed: Vec<IpNet>, max_streams: usize, context: ServerContext,
) -> io::Result<()> {
    let (accepted, incoming) = mpsc::channel(MAX_UNSERVED_CONNECTIONS);
    let limits = ConnectionLimits { allowed, max_connections: max_streams * CONNECTIONS_PER_STREAM };
    let accepting = connections::accept(listener, limits, accepted);
    let server = tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .initial_stream_window_size(STREAM_WINDOW)
        .serve_with_incoming(XdsServices::new(context), ReceiverStream::new(incoming));
    select! {
        () = accepting => Ok(()),
        served = server => served.map_err(io::Error::other),
    }
}
