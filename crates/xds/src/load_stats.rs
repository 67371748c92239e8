//! Load reports of LRS, read into figures. What does not fit is refused with words that name it.

use crate::pb::envoy::config::core::v3::{Address, address, socket_address};
use crate::pb::envoy::config::endpoint::v3::{ClusterStats, UpstreamLocalityStats};
use crate::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use crate::resources::{REJECT_CLUSTER, parse_cluster_name};
use latchhaven_policy::Millis;
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, ProxyReport};
use std::net::SocketAddr;

/// The named metric in which proxies and hosts report times: milliseconds of one answer.
pub const LATENCY_METRIC: &str = "latency_ms";
/// Clusters and hosts of one report at most.
const CLUSTERS_MOST: usize = 1_024;
const HOSTS_MOST: usize = 20_000;

/// Reads one report.
///
/// # Errors
/// The field that cannot be.
pub fn parse_load_report(request: &LoadStatsRequest, products: &[String]) -> Result<ProxyReport, String> {
    if request.cluster_stats.len() > CLUSTERS_MOST {
        return Err(format!("cluster_stats: more than {CLUSTERS_MOST}"));
    }
    let mut interval: Option<Millis> = None;
    let (mut clusters, mut hosts) = (Vec::new(), 0);
    for stats in &request.cluster_stats {
        let span = stats.load_report_interval.as_ref();
        let span = span.map(|span| span.seconds as f64 * 1000.0 + f64::from(span.nanos) / 1e6);
        let span = span.ok_or("load_report_interval: missing")?;
        if !(span > 0.0 && span.is_finite()) {
            return Err("load_report_interval: not above 0".to_string());
        }
        interval = Some(interval.map_or(span, |longest| longest.max(span)));
        if stats.cluster_name == REJECT_CLUSTER {
            continue;
        }
        let (build, product) =
            parse_cluster_name(&stats.cluster_name, products).ok_or("cluster_name: no cluster of ours")?;
        let mut found = Vec::new();
        for locality in &stats.upstream_locality_stats {
            hosts += locality.upstream_endpoint_stats.len();
            if hosts > HOSTS_MOST {
                return Err(format!("upstream_endpoint_stats: more than {HOSTS_MOST}"));
            }
            endpoints(locality, &mut found)?;
        }
        found.sort_by_key(|(addr, _)| *addr);
        if found.windows(2).any(|pair| pair[0].0 == pair[1].0) {
            return Err("upstream_endpoint_stats: a host twice".to_string());
        }
        clusters.push(ClusterReport {
            version: build,
            class: product,
            endpoints: found,
            dropped: dropped(stats)?,
        });
    }
    Ok(ProxyReport { interval: interval.unwrap_or(1.0), clusters })
}

/// The sum of drops by category cannot be more than all drops.
fn dropped(stats: &ClusterStats) -> Result<u64, String> {
    let named = stats.dropped_requests.iter().try_fold(0u64, |sum, drop| sum.checked_add(drop.dropped_count));
    match named {
        Some(named) if named <= stats.total_dropped_requests => Ok(stats.total_dropped_requests),
        _ => Err("dropped_requests: more than in all".to_string()),
    }
}

fn endpoints(
    stats: &UpstreamLocalityStats, found: &mut Vec<(SocketAddr, EndpointCounts)>,
) -> Result<(), String> {
    for one in &stats.upstream_endpoint_stats {
        let addr =
            one.address.as_ref().and_then(parse_address).ok_or("upstream_endpoint_stats: no address")?;
        let mut figures = EndpointCounts {
            started: one.total_issued_requests,
            succeeded: one.total_successful_requests,
            failed: one.total_error_requests,
            in_flight: one.total_requests_in_progress,
            total_latency: 0.0,
            latency_samples: 0,
        };
        for metric in one.load_metric_stats.iter().filter(|metric| metric.metric_name == LATENCY_METRIC) {
            figures.total_latency += metric.total_metric_value;
            figures.latency_samples =
                figures.latency_samples.saturating_add(metric.num_requests_finished_with_metric);
        }
        found.push((addr, figures));
    }
    Ok(())
}

/// The address and port that an address tells, if it tells these.
pub fn parse_address(told: &Address) -> Option<SocketAddr> {
    let Some(address::Address::SocketAddress(socket)) = &told.address else { return None };
    let Some(socket_address::PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}
