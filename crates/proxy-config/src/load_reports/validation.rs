//! Checks that a load report is plausible and does not contradict an earlier one.

use super::report::{ClusterKey, ClusterReport, EndpointCounts, EndpointReport, ProxyReport};
use crate::limits::{MAX_COUNT, MAX_MEAN_LATENCY, REPORT_INTERVAL_RANGE};
use latchhaven_policy::Version;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Why a load report is rejected. The text is sent to the proxy in the status that closes its stream.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The period that the report covers is too short, too long, or not a number.
    #[error("load_report_interval: not from 1 ms to 1 h")]
    InvalidInterval,
    /// The request class of a cluster is unknown, or the report has more than one entry for the cluster.
    #[error("cluster_stats: unknown cluster, or the same cluster twice")]
    UnknownOrRepeatedCluster,
    /// A count of this endpoint, or of the requests dropped in its cluster, is larger than any plausible one.
    #[error("{0}: count above the limit")]
    InvalidCounts(SocketAddr),
    /// The mean latency at this endpoint is negative, too large, or not a number, or there is a latency without
    /// samples.
    #[error("{0}: implausible latency")]
    InvalidLatency(SocketAddr),
    /// No endpoint at this address runs or recently ran the cluster's version.
    #[error("{0}: not an endpoint of its cluster")]
    UnknownEndpoint(SocketAddr),
    /// More attempts completed in a cluster than started, including those in flight at the time of the last report.
    #[error("cluster_stats: more attempts completed than started")]
    MoreCompletedThanStarted,
}

/// Attempts of one cluster, over all its endpoints.
#[derive(Default)]
struct AttemptTotals {
    started: u64,
    completed: u64,
}

/// Checks a report of a proxy. `in_flight_before` has the attempts in flight in the proxy's last report, `None` if
/// this is its first one. `is_known` returns `true` if an endpoint at the address runs or recently ran the version.
pub(super) fn validate(
    report: &ProxyReport, class_count: usize, in_flight_before: Option<&BTreeMap<ClusterKey, u64>>,
    is_known: impl Fn(&SocketAddr, Version) -> bool,
) -> Result<(), ReportError> {
    if !REPORT_INTERVAL_RANGE.contains(&report.interval) {
        return Err(ReportError::InvalidInterval);
    }
    let mut seen_clusters = BTreeSet::new();
    for cluster in &report.clusters {
        if cluster.class >= class_count || !seen_clusters.insert(cluster.key()) {
            return Err(ReportError::UnknownOrRepeatedCluster);
        }
        let totals = validate_endpoints(cluster, &is_known)?;
        let in_flight_before = in_flight_before.and_then(|in_flight| in_flight.get(&cluster.key()));
        // Skipped if no attempt started, since some proxies do not count started attempts.
        if let Some(in_flight_before) = in_flight_before
            && totals.started > 0
            && totals.completed > totals.started + in_flight_before
        {
            return Err(ReportError::MoreCompletedThanStarted);
        }
    }
    Ok(())
}

fn validate_endpoints(
    cluster: &ClusterReport, is_known: impl Fn(&SocketAddr, Version) -> bool,
) -> Result<AttemptTotals, ReportError> {
    let mut totals = AttemptTotals::default();
    for EndpointReport { address, counts } in &cluster.endpoints {
        if !are_counts_plausible(counts, cluster.dropped) {
            return Err(ReportError::InvalidCounts(*address));
        }
        if !is_latency_plausible(counts) {
            return Err(ReportError::InvalidLatency(*address));
        }
        if !is_known(address, cluster.version) {
            return Err(ReportError::UnknownEndpoint(*address));
        }
        totals.started += counts.started;
        totals.completed += counts.succeeded + counts.failed;
    }
    Ok(totals)
}

fn are_counts_plausible(counts: &EndpointCounts, dropped: u64) -> bool {
    let EndpointCounts { started, succeeded, failed, in_flight, total_latency: _, latency_samples } = *counts;
    let all_counts = [started, succeeded, failed, in_flight, latency_samples, dropped];
    all_counts.into_iter().all(|count| count <= MAX_COUNT)
}

fn is_latency_plausible(counts: &EndpointCounts) -> bool {
    if counts.latency_samples == 0 {
        return counts.total_latency == 0.0;
    }
    let mean_latency = counts.total_latency / counts.latency_samples as f64;
    (0.0..=MAX_MEAN_LATENCY).contains(&mean_latency)
}
