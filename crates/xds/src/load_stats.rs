//! Parses load reports (LRS). The error of an invalid report names the field.

use crate::limits::{MAX_REPORTED_CLUSTERS, MAX_REPORTED_ENDPOINTS};
use crate::pb::envoy::config::core::v3::{Address, address, socket_address};
use crate::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamEndpointStats};
use crate::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use crate::resources::{ClusterNameParts, REJECT_CLUSTER, parse_cluster_name};
use latchhaven_policy::Millis;
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, EndpointReport, ProxyReport};
use std::net::SocketAddr;

/// The custom metric with which proxies report latencies, in milliseconds. Optional: endpoints without the metric have
/// no latency samples.
pub const LATENCY_METRIC: &str = "latency_ms";
/// The interval of a report without clusters, which has none of its own. The value must be accepted as a valid
/// interval, but has no effect, since there are no counts to divide by it.
const EMPTY_REPORT_INTERVAL: Millis = 1.0;
const MILLIS_PER_SECOND: f64 = 1000.0;
const NANOS_PER_MILLI: f64 = 1e6;

/// Why a load report is invalid. The proxy receives the text as the message of the gRPC status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// The report has more than `MAX_REPORTED_CLUSTERS` clusters.
    #[error("cluster_stats: more than {}", MAX_REPORTED_CLUSTERS)]
    TooManyClusters,
    /// The counts of a cluster have no interval.
    #[error("load_report_interval: missing")]
    MissingInterval,
    /// The interval of a cluster is zero or negative.
    #[error("load_report_interval: not positive")]
    InvalidInterval,
    /// The name does not have the form of a published cluster, or its request class is unknown.
    #[error("cluster_name: unknown cluster")]
    UnknownCluster,
    /// The report has more than `MAX_REPORTED_ENDPOINTS` endpoints in all clusters together.
    #[error("upstream_endpoint_stats: more than {}", MAX_REPORTED_ENDPOINTS)]
    TooManyEndpoints,
    /// An endpoint has no address, or one without an IP address and port.
    #[error("upstream_endpoint_stats: address missing or invalid")]
    InvalidAddress,
    /// A cluster has two entries with the same endpoint address.
    #[error("upstream_endpoint_stats: repeated endpoint")]
    DuplicateEndpoint,
    /// The sum of the dropped requests over the drop categories exceeds the total.
    #[error("dropped_requests: sum above total_dropped_requests")]
    InvalidDropCount,
}

/// Parses one report. Ignores the cluster without endpoints to which rejected requests are routed. `class_names` are
/// the names of the request classes by index.
///
/// # Errors
/// Returns the error of the first invalid field.
pub fn parse_load_report(
    request: &LoadStatsRequest, class_names: &[String],
) -> Result<ProxyReport, LoadReportError> {
    if request.cluster_stats.len() > MAX_REPORTED_CLUSTERS {
        return Err(LoadReportError::TooManyClusters);
    }
    let mut longest_interval: Option<Millis> = None;
    let mut endpoint_count = 0;
    let mut clusters = Vec::new();
    for stats in &request.cluster_stats {
        let interval = parse_interval(stats)?;
        longest_interval = Some(longest_interval.map_or(interval, |longest| longest.max(interval)));
        if stats.cluster_name == REJECT_CLUSTER {
            continue;
        }
        let ClusterNameParts { version, class } =
            parse_cluster_name(&stats.cluster_name, class_names).ok_or(LoadReportError::UnknownCluster)?;
        let endpoints = parse_endpoints(stats, &mut endpoint_count)?;
        clusters.push(ClusterReport { version, class, endpoints, dropped: parse_dropped_requests(stats)? });
    }
    Ok(ProxyReport { interval: longest_interval.unwrap_or(EMPTY_REPORT_INTERVAL), clusters })
}

/// The period in which the counts of a cluster were collected.
fn parse_interval(stats: &ClusterStats) -> Result<Millis, LoadReportError> {
    let interval = stats.load_report_interval.as_ref().ok_or(LoadReportError::MissingInterval)?;
    let interval = interval.seconds as f64 * MILLIS_PER_SECOND + f64::from(interval.nanos) / NANOS_PER_MILLI;
    if interval > 0.0 && interval.is_finite() { Ok(interval) } else { Err(LoadReportError::InvalidInterval) }
}

/// The endpoints of a cluster, sorted by address. Their number is added to `endpoint_count`, the number of endpoints in
/// the report so far.
fn parse_endpoints(
    stats: &ClusterStats, endpoint_count: &mut usize,
) -> Result<Vec<EndpointReport>, LoadReportError> {
    let mut endpoints = Vec::new();
    for locality in &stats.upstream_locality_stats {
        *endpoint_count += locality.upstream_endpoint_stats.len();
        if *endpoint_count > MAX_REPORTED_ENDPOINTS {
            return Err(LoadReportError::TooManyEndpoints);
        }
        for endpoint in &locality.upstream_endpoint_stats {
            let address = endpoint.address.as_ref().and_then(parse_address);
            let address = address.ok_or(LoadReportError::InvalidAddress)?;
            endpoints.push(EndpointReport { address, counts: parse_counts(endpoint) });
        }
    }
    endpoints.sort_by_key(|endpoint| endpoint.address);
    if endpoints.windows(2).any(|pair| pair[0].address == pair[1].address) {
        return Err(LoadReportError::DuplicateEndpoint);
    }
    Ok(endpoints)
}

fn parse_counts(stats: &UpstreamEndpointStats) -> EndpointCounts {
    let mut counts = EndpointCounts {
        started: stats.total_issued_requests,
        succeeded: stats.total_successful_requests,
        failed: stats.total_error_requests,
        in_flight: stats.total_requests_in_progress,
        total_latency: 0.0,
        latency_samples: 0,
    };
    for metric in stats.load_metric_stats.iter().filter(|metric| metric.metric_name == LATENCY_METRIC) {
        counts.total_latency += metric.total_metric_value;
        counts.latency_samples =
            counts.latency_samples.saturating_add(metric.num_requests_finished_with_metric);
    }
    counts
}

/// The total number of dropped requests. May exceed the sum over the categories, since requests
/// that a circuit breaker drops have none.
fn parse_dropped_requests(stats: &ClusterStats) -> Result<u64, LoadReportError> {
    let mut categories = stats.dropped_requests.iter();
    let sum = categories.try_fold(0u64, |sum, category| sum.checked_add(category.dropped_count));
    match sum {
        Some(sum) if sum <= stats.total_dropped_requests => Ok(stats.total_dropped_requests),
        _ => Err(LoadReportError::InvalidDropCount),
    }
}

/// The IP address and port of an xDS address. `None` if either is missing or invalid, such as a host name or a named
/// port.
#[must_use]
pub fn parse_address(address: &Address) -> Option<SocketAddr> {
    let Some(address::Address::SocketAddress(socket)) = &address.address else { return None };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}
