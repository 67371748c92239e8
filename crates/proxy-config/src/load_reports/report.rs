//! Load reports of proxies.

use latchhaven_policy::{Millis, Version};
use std::net::SocketAddr;

/// Counts of a proxy at one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointCounts {
    /// Attempts started; 0 where the proxy does not count them.
    pub started: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts in flight at the time of the report.
    pub in_flight: u64,
    /// The sum of the latencies in ms of `latency_samples` succeeded attempts.
    pub total_latency: f64,
    /// Attempts in `total_latency`.
    pub latency_samples: u64,
}

/// The counts at one endpoint, with its address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointReport {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The counts.
    pub counts: EndpointCounts,
}

/// Counts of a proxy in one cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterReport {
    /// The version that the cluster's endpoints run.
    pub version: Version,
    /// The index of the cluster's request class.
    pub class: usize,
    /// The counts by endpoint.
    pub endpoints: Vec<EndpointReport>,
    /// Requests that the proxy rejected without an attempt.
    pub dropped: u64,
}

/// A load report of one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyReport {
    /// The period in ms that the report covers.
    pub interval: Millis,
    /// The counts by cluster.
    pub clusters: Vec<ClusterReport>,
}

/// A cluster: the endpoints of one version, for one request class.
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
