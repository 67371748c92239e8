//! Load reports of proxies.

use super::hosts::host_address;
use latchhaven_policy::{Millis, Version};
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, EndpointReport, ProxyReport};

/// The counts of one request class at one host, in a load report.
pub(crate) struct ReportedOutcomes {
    pub(crate) version: Version,
    /// The index of the request class.
    pub(crate) class: usize,
    pub(crate) host: u16,
    pub(crate) counts: EndpointCounts,
}

impl ReportedOutcomes {
    /// Creates counts of the first class, without latencies.
    pub(crate) fn new(version: Version, host: u16, succeeded: u64, failed: u64) -> Self {
        let counts =
            EndpointCounts { started: succeeded + failed, succeeded, failed, ..EndpointCounts::default() };
        ReportedOutcomes { version, class: 0, host, counts }
    }

    /// Sets the mean latency of the succeeded attempts.
    pub(crate) fn with_latency(mut self, latency: Millis) -> Self {
        self.counts.total_latency = latency * self.counts.succeeded as f64;
        self.counts.latency_samples = self.counts.succeeded;
        self
    }
}

/// Creates a load report about one second.
pub(crate) fn load_report(outcomes: impl IntoIterator<Item = ReportedOutcomes>) -> ProxyReport {
    let clusters = outcomes.into_iter().map(|outcomes| ClusterReport {
        version: outcomes.version,
        class: outcomes.class,
        endpoints: vec![EndpointReport { address: host_address(outcomes.host), counts: outcomes.counts }],
        dropped: 0,
    });
    ProxyReport { interval: 1000.0, clusters: clusters.collect() }
}
