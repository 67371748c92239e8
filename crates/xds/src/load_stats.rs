//! Parses load reports (LRS). An invalid report is rejected with an error that names the field.

use crate::limits::{MAX_REPORTED_CLUSTERS, MAX_REPORTED_ENDPOINTS};
use crate::pb::envoy::config::core::v3::{Address, address, socket_address};
use crate::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamEndpointStats};
use crate::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use crate::resources::{ClusterNameParts, REJECT_CLUSTER, parse_cluster_name};
use latchhaven_policy::Millis;
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, EndpointReport, ProxyReport};
use std::net::SocketAddr;

/// The custom metric of latencies, in ms for one request.
pub const LATENCY_METRIC: &str = "latency_ms";
/// The interval of a report without clusters, in ms: any valid value, since there is nothing to divide by it.
const DEFAULT_INTERVAL: Millis = 1.0;
/// Milliseconds in one second.
const MILLIS_PER_SECOND: f64 = 1000.0;
/// Nanoseconds in one millisecond.
const NANOS_PER_MILLI: f64 = 1e6;

/// Why a load report is invalid. The texts reach the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LoadReportError {
    /// The report has too many clusters.
    #[error("cluster_stats: more than {}", MAX_REPORTED_CLUSTERS)]
    TooManyClusters,
    /// A cluster has no interval.
    #[error("load_report_interval: missing")]
    MissingInterval,
    /// An interval is not a positive duration.
    #[error("load_report_interval: not positive")]
    InvalidInterval,
    /// No published cluster has this name.
    #[error("cluster_name: unknown cluster")]
    UnknownCluster,
    /// The report has too many endpoints.
    #[error("upstream_endpoint_stats: more than {}", MAX_REPORTED_ENDPOINTS)]
    TooManyEndpoints,
    /// An endpoint has no address and port.
    #[error("upstream_endpoint_stats: address missing or invalid")]
    InvalidAddress,
    /// A cluster has the same endpoint twice.
    #[error("upstream_endpoint_stats: repeated endpoint")]
    DuplicateEndpoint,
    /// The sum over the categories of drops exceeds the total.
    #[error("dropped_requests: sum above total_dropped_requests")]
    InvalidDropCount,
}

/// Parses one report; `classes` are the names of the request classes.
///
/// # Errors
/// The first field that is invalid.
pub fn parse_load_report(
    request: &LoadStatsRequest, classes: &[String],
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
            parse_cluster_name(&stats.cluster_name, classes).ok_or(LoadReportError::UnknownCluster)?;
        let endpoints = parse_endpoints(stats, &mut endpoint_count)?;
        clusters.push(ClusterReport { version, class, endpoints, dropped: parse_dropped(stats)? });
    }
    Ok(ProxyReport { interval: longest_interval.unwrap_or(DEFAULT_INTERVAL), clusters })
}

/// The period of a cluster's counts, in ms.
fn parse_interval(stats: &ClusterStats) -> Result<Millis, LoadReportError> {
    let interval = stats.load_report_interval.as_ref().ok_or(LoadReportError::MissingInterval)?;
    let interval = interval.seconds as f64 * MILLIS_PER_SECOND + f64::from(interval.nanos) / NANOS_PER_MILLI;
    if interval > 0.0 && interval.is_finite() { Ok(interval) } else { Err(LoadReportError::InvalidInterval) }
}

/// The endpoints of a cluster, sorted by address; `endpoint_count` counts the endpoints of all clusters.
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

/// The total of dropped requests, if the sum over the categories does not exceed it.
fn parse_dropped(stats: &ClusterStats) -> Result<u64, LoadReportError> {
    let mut categories = stats.dropped_requests.iter();
    let sum = categories.try_fold(0u64, |sum, category| sum.checked_add(category.dropped_count));
    match sum {
        Some(sum) if sum <= stats.total_dropped_requests => Ok(stats.total_dropped_requests),
        _ => Err(LoadReportError::InvalidDropCount),
    }
}

/// The socket address in an xDS address, if it has an IP address and a port.
#[must_use]
pub fn parse_address(address: &Address) -> Option<SocketAddr> {
    let Some(address::Address::SocketAddress(socket)) = &address.address else { return None };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}
