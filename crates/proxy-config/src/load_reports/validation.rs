//! Checks that a load report does not contradict itself or an earlier one.

use super::{ClusterReport, EndpointCounts, ProxyReport, ReportingProxy};
use latchhaven_policy::{Millis, Version};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// No proxy counts more in a period.
const MAX_COUNT: u64 = 1_000_000_000;
/// The shortest and longest periods in ms that a report may cover: 1 ms to 1 h.
const INTERVAL_RANGE: RangeInclusive<Millis> = 1.0..=3_600_000.0;
/// The longest mean latency in ms that is believed: 1 h.
const MAX_MEAN_LATENCY: Millis = 3_600_000.0;

/// Why a load report is not taken over. The text of each is sent to the proxy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReportError {
    /// The period that it covers is too short, too long, or no number.
    #[error("load_report_interval: not from 1 ms to 1 h")]
    InvalidInterval,
    /// A cluster is of no known request class, or is in the report twice.
    #[error("cluster_stats: a cluster that is unknown, or there twice")]
    UnknownOrRepeatedCluster,
    /// A count at this endpoint is too large.
    #[error("{0}: counts that cannot be")]
    InvalidCounts(SocketAddr),
    /// The latency at this endpoint is negative, too large, no number, or without samples.
    #[error("{0}: times that cannot be")]
    InvalidLatency(SocketAddr),
    /// No endpoint of the cluster's version is at this address.
    #[error("{0}: no host of its cluster")]
    UnknownEndpoint(SocketAddr),
    /// More attempts ended in a cluster than had started.
    #[error("cluster_stats: more ended than had begun")]
    MoreEndedThanStarted,
}

/// Attempts of one cluster, over all its endpoints.
#[derive(Default)]
struct AttemptTotals {
    started: u64,
    ended: u64,
}

/// Checks a report of a proxy, given what that proxy reported before.
pub(super) fn validate(
    report: &ProxyReport, class_count: usize, previous: Option<&ReportingProxy>,
    is_known: impl Fn(&SocketAddr, Version) -> bool,
) -> Result<(), ReportError> {
    if !INTERVAL_RANGE.contains(&report.interval) {
        return Err(ReportError::InvalidInterval);
    }
    let mut seen_clusters = BTreeSet::new();
    for cluster in &report.clusters {
        if cluster.class >= class_count || !seen_clusters.insert(cluster.key()) {
            return Err(ReportError::UnknownOrRepeatedCluster);
        }
        let totals = validate_endpoints(cluster, &is_known)?;
        let in_flight_before = previous.and_then(|previous| previous.in_flight.get(&cluster.key()));
        // A proxy that does not count started attempts cannot contradict itself here.
        if let Some(in_flight_before) = in_flight_before
            && totals.started > 0
            && totals.ended > totals.started + in_flight_before
        {
            return Err(ReportError::MoreEndedThanStarted);
        }
    }
    Ok(())
}

fn validate_endpoints(
    cluster: &ClusterReport, is_known: impl Fn(&SocketAddr, Version) -> bool,
) -> Result<AttemptTotals, ReportError> {
    let mut totals = AttemptTotals::default();
    for (address, counts) in &cluster.endpoints {
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
        totals.ended += counts.succeeded + counts.failed;
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
