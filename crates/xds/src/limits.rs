//! Limits and rules of the xDS server. Each rule is a function of its inputs; streams, resources and tasks have no
//! limits of their own.

use latchhaven_policy::Millis;
use std::time::Duration;

// Admission of streams.

/// Streams admitted per ms. Each is sent a complete state of some tens of KiB: bounds the bytes per second.
const ADMISSION_RATE: f64 = 2.0;
/// Streams that may be admitted in one step after an idle time.
pub(crate) const MAX_ADMISSION_BURST: f64 = 50.0;
/// ms between two requests for streams below which a proxy is reconnecting frequently.
const FREQUENT_REQUEST_INTERVAL: Millis = 1_000.0;
/// Proxies whose last request time is retained: bounds memory.
pub(crate) const MAX_RETAINED_REQUEST_TIMES: usize = 10_000;

// Connections.

/// Time after which an idle connection is pinged: detects proxies that are gone.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a connection without an answer to a ping is closed.
pub(crate) const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Streams on one connection: discovery, load reports, and streams of a single type.
pub(crate) const MAX_STREAMS_PER_CONNECTION: u32 = 16;
/// Connections for each stream that may be open: some have no stream yet.
const CONNECTIONS_PER_STREAM: usize = 2;
/// Accepted connections in the queue to the gRPC server.
pub(crate) const MAX_QUEUED_CONNECTIONS: usize = 64;
/// HTTP/2 flow-control window of each stream in bytes: bounds what a proxy sends before it is read.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Time between two accepts while the process lacks resources such as descriptors.
pub(crate) const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

// Streams.

/// Time for the first request of a stream.
pub(crate) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the admission of a stream.
pub(crate) const ADMISSION_TIMEOUT: Duration = Duration::from_secs(30);
/// Responses in the queue of one stream. With more, a slow reader would receive outdated ones.
pub(crate) const MAX_QUEUED_RESPONSES: usize = 1;
/// Time for a reconnected proxy to subscribe to its endpoints before it is sent clusters.
pub(crate) const ENDPOINT_SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of load reports.
pub(crate) const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

// Requests.

/// Bytes of one request. The first one of a proxy may name all endpoints of a large fleet.
pub(crate) const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Bytes of a node's id.
pub const MAX_NODE_ID_BYTES: usize = 256;
/// Names of one type that a stream may subscribe to.
pub(crate) const MAX_SUBSCRIBED_NAMES: usize = 1_024;
/// Bytes of one resource name.
pub(crate) const MAX_NAME_LENGTH: usize = 512;
/// Resources from an earlier stream that a request may name: clusters and endpoints of several versions.
pub(crate) const MAX_INITIAL_RESOURCES: usize = 20_000;
/// Requests with unknown nonces after which a stream ends.
const MAX_UNKNOWN_NONCES: u32 = 16;
/// Bytes of a proxy's reason for a rejection that are logged.
pub(crate) const MAX_REJECTION_LENGTH: usize = 512;
/// Clusters in one load report.
pub(crate) const MAX_REPORTED_CLUSTERS: usize = 1_024;
/// Endpoints in one load report, over all clusters.
pub(crate) const MAX_REPORTED_ENDPOINTS: usize = 20_000;

// Resources.

/// Removed versions whose clusters a reconnected proxy may retain.
pub(crate) const MAX_RETIRED_VERSIONS: usize = 8;
/// Requests that a proxy may have in flight to a removed version until it has accepted new routes.
pub(crate) const RETIRED_MAX_IN_FLIGHT: u32 = 64;
/// Requests in flight to a cluster for each retry in flight: bounds retry storms.
const REQUESTS_PER_RETRY: u32 = 8;

/// The tokens of the admission rate limiter after `elapsed` ms. One admission takes one token.
pub(crate) fn refilled_tokens(tokens: f64, elapsed: Millis) -> f64 {
    (tokens + ADMISSION_RATE * elapsed.max(0.0)).min(MAX_ADMISSION_BURST)
}

/// True where a proxy that requested a stream at `last_requested_at` reconnects frequently; times in ms.
pub(crate) fn is_frequent_request(now: Millis, last_requested_at: Millis) -> bool {
    now - last_requested_at < FREQUENT_REQUEST_INTERVAL
}

/// Connections that may be open, where `max_streams` streams may be open or pending.
pub(crate) fn max_connections(max_streams: usize) -> usize {
    max_streams * CONNECTIONS_PER_STREAM
}

/// True where a stream with so many requests with unknown nonces ends.
pub(crate) fn has_too_many_unknown_nonces(unknown_nonces: u32) -> bool {
    unknown_nonces >= MAX_UNKNOWN_NONCES
}

/// Retries that a proxy may have in flight to a cluster. None while a traffic cap counts every attempt.
pub(crate) fn max_retries_in_flight(max_in_flight: u32, allows_retries: bool) -> u32 {
    if allows_retries { (max_in_flight / REQUESTS_PER_RETRY).max(1) } else { 0 }
}
