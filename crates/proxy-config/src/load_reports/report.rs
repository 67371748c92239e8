//! The counts that a proxy's load report contains.

use latchhaven_policy::{Millis, Version};
use std::net::SocketAddr;

/// Counts of one proxy at one endpoint since the proxy's last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointCounts {
    /// Attempts that started since the last report. 0 if the proxy does not count them.
    pub started: u64,
    /// Attempts that succeeded since the last report.
    pub succeeded: u64,
    /// Attempts that failed since the last report.
    pub failed: u64,
    /// Attempts in flight at the time of the report.
    pub in_flight: u64,
    /// The sum of the latencies of `latency_samples` succeeded attempts, in milliseconds.
    pub total_latency: f64,
    /// Number of succeeded attempts whose latency is part of `total_latency`.
    pub latency_samples: u64,
}

/// The part of a load report about one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointReport {
    /// The address at which the proxy connects to the endpoint; identifies it in the report.
    pub address: SocketAddr,
    /// Outcomes and latencies of the proxy's attempts at the endpoint.
    pub counts: EndpointCounts,
}

/// The part of a load report about one cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterReport {
    /// The version that the cluster's endpoints run.
    pub version: Version,
    /// The index of the cluster's request class.
    pub class: usize,
    /// Counts of each endpoint to which the proxy sent attempts.
    pub endpoints: Vec<EndpointReport>,
    /// Requests that the proxy rejected without an attempt since its last report.
    pub dropped: u64,
}

/// A load report of one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyReport {
    /// Time since the proxy's previous report.
    pub interval: Millis,
    /// Counts of each cluster, at most one entry for each.
    pub clusters: Vec<ClusterReport>,
}

/// Identifies a cluster: the endpoints of one version, for the requests of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ClusterKey {
    pub(super) version: Version,
    pub(super) class: usize,
}

impl ClusterReport {
    pub(super) fn key(&self) -> ClusterKey {
        ClusterKey { version: self.version, class: self.class }
    }
}
