//! Limits and timeouts of the xDS server, and the rules that apply them, as functions of their inputs. Streams,
//! resources and tasks define no limits of their own.

use latchhaven_policy::Millis;
use std::time::Duration;

// Admission of streams.

/// Rate at which new streams are admitted. Each is sent the complete configuration, some tens of KiB, so this bounds
/// the bytes per second.
const ADMISSIONS_PER_MS: f64 = 2.0;
/// Streams that may be admitted together after a time without new streams.
pub(crate) const MAX_ADMISSION_BURST: f64 = 50.0;
/// A proxy that requests two streams within a shorter time reconnects frequently.
const FREQUENT_REQUEST_INTERVAL: Millis = 1_000.0;
/// Proxies for which the time of the last stream request is retained: bounds memory.
pub(crate) const MAX_RETAINED_REQUEST_TIMES: usize = 10_000;

// Connections.

/// Idle connections are pinged at this interval, to detect proxies that have exited or are unreachable.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// A connection is closed if a ping is not acknowledged within this time.
pub(crate) const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of the open streams on one connection: discovery, load reports, and streams of a single resource type.
pub(crate) const MAX_STREAMS_PER_CONNECTION: u32 = 16;
/// Connections that may be open for each stream that may be open or pending. More than one, because some connections
/// have no stream yet.
const CONNECTIONS_PER_STREAM: usize = 2;
/// Limit of the accepted connections that wait in the queue to the gRPC server.
pub(crate) const MAX_QUEUED_CONNECTIONS: usize = 64;
/// HTTP/2 flow-control window of each stream: bounds the bytes that a proxy sends before the server reads them.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Delay after an accept that failed for lack of resources, such as file descriptors.
pub(crate) const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

// Streams.

/// A stream is closed if its first request does not arrive within this time.
pub(crate) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A stream is rejected if it is not admitted within this time.
pub(crate) const ADMISSION_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of the responses queued for one stream. With more, a proxy that reads slowly would receive outdated responses.
pub(crate) const MAX_QUEUED_RESPONSES: usize = 1;
/// After reconnecting on an aggregated state-of-the-world stream, a proxy has this time to subscribe to its endpoints
/// before clusters are sent: the subscription shows which clusters its routes reference.
pub(crate) const ENDPOINT_SUBSCRIPTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between load reports of a proxy, which the response to its first report states.
pub(crate) const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

// Requests of proxies.

/// Limit of the encoded length of one request. Large, because the first request on an incremental stream may list the
/// versions of all endpoints of a large fleet.
pub(crate) const MAX_REQUEST_BYTES: usize = 4 << 20;
/// Limit of the length of a node id, in bytes of UTF-8. A stream whose first request has a longer one is closed.
pub const MAX_NODE_ID_BYTES: usize = 256;
/// Limit of the resource names of one type in a subscription, or in one request.
pub(crate) const MAX_SUBSCRIBED_NAMES: usize = 1_024;
pub(crate) const MAX_RESOURCE_NAME_BYTES: usize = 512;
/// Limit of the initial resource versions, and of the unsubscribed names, in one request. A proxy may have the
/// clusters and endpoints of several versions.
pub(crate) const MAX_INITIAL_VERSIONS: usize = 20_000;
/// Type URLs are truncated to this length in the error for an unsupported type.
pub(crate) const MAX_ERROR_URL_CHARS: usize = 256;
/// A stream is closed at this number of requests with an unknown nonce. Those before are ignored.
const MAX_UNKNOWN_NONCES: u32 = 16;
/// Longer error messages of a NACK are truncated before they are logged.
pub(crate) const MAX_REJECTION_REASON_BYTES: usize = 512;
pub(crate) const MAX_REPORTED_CLUSTERS: usize = 1_024;
/// Limit of the endpoints in one load report, over all clusters.
pub(crate) const MAX_REPORTED_ENDPOINTS: usize = 20_000;

// Resources.

/// Removed versions whose clusters are sent to one reconnected proxy.
pub(crate) const MAX_RETIRED_VERSIONS: usize = 8;
/// Requests that a proxy may have in flight to each cluster of a removed version, until it has acknowledged new routes.
pub(crate) const RETIRED_CLUSTER_MAX_IN_FLIGHT: u32 = 64;
/// Requests in flight to a cluster for which one retry in flight is allowed: bounds retry storms.
const REQUESTS_PER_RETRY: u32 = 8;

/// Returns the tokens that the admission rate limiter has at `elapsed` after it had `tokens`, at most
/// [`MAX_ADMISSION_BURST`]. Each admission uses one token.
pub(crate) fn refilled_tokens(tokens: f64, elapsed: Millis) -> f64 {
    (tokens + ADMISSIONS_PER_MS * elapsed.max(0.0)).min(MAX_ADMISSION_BURST)
}

/// Returns `true` if a proxy that requested a stream at `last_requested_at` and again at `now` reconnects frequently.
pub(crate) fn is_frequent_request(now: Millis, last_requested_at: Millis) -> bool {
    now - last_requested_at < FREQUENT_REQUEST_INTERVAL
}

/// The limit on open connections that goes with a limit of `max_streams` on open and pending streams.
pub(crate) fn max_connections(max_streams: usize) -> usize {
    max_streams * CONNECTIONS_PER_STREAM
}

/// Returns `true` if a stream that has received this number of requests with an unknown nonce is to be closed.
pub(crate) fn has_too_many_unknown_nonces(unknown_nonces: u32) -> bool {
    unknown_nonces >= MAX_UNKNOWN_NONCES
}

/// Returns how many retries a proxy may have in flight to a cluster that allows `max_in_flight` requests. Zero without
/// `allows_retries`, which is the case while a traffic cap counts every attempt.
pub(crate) fn max_retries_in_flight(max_in_flight: u32, allows_retries: bool) -> u32 {
    if allows_retries { (max_in_flight / REQUESTS_PER_RETRY).max(1) } else { 0 }
}
