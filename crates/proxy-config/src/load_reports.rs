//! Load reports of proxies: validated, weighted against each other, and aggregated into outcome reports for the policy.
//!
//! Reports are counts over a period; no outcome is made up that no proxy observed.

mod outcome_sum;
mod validation;

pub use validation::ReportError;

use latchhaven_policy::{EndpointOutcomes, Event, Millis, OutcomeReport, Version};
use outcome_sum::OutcomeSum;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Period in ms over which reports are aggregated: one event for a period, not one for each proxy.
pub const REPORT_PERIOD: Millis = 1_000.0;
/// Time in ms without a report after which the platform's counts are used instead.
const REPORT_TIMEOUT: Millis = 5_000.0;
/// Multiple of the mean over all reporting proxies that one of them counts at most: one that is wrong, or lies, gets
/// no version rejected alone.
const MAX_PROXY_MULTIPLE: f64 = 4.0;
/// Reporting proxies from which on [`MAX_PROXY_MULTIPLE`] applies.
const MIN_PROXIES_TO_LIMIT: usize = 4;
/// Attempts at one endpoint that count at most of one proxy's report: a broken network path from one proxy is no
/// faulty endpoint.
const MAX_ENDPOINT_ATTEMPTS: f64 = 20.0;
/// Weight of the newest report in a proxy's request rate.
const RATE_SMOOTHING: f64 = 0.3;

/// What a proxy counted at one endpoint since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointCounts {
    /// Attempts started; 0 where the proxy does not count them.
    pub started: u64,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Attempts in flight when the report was made.
    pub in_flight: u64,
    /// The sum of the latencies in ms of `latency_samples` succeeded attempts.
    pub total_latency: f64,
    /// Attempts in `total_latency`.
    pub latency_samples: u64,
}

/// What a proxy counted in one cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterReport {
    /// The version that the cluster's endpoints run.
    pub version: Version,
    /// The index of the cluster's request class.
    pub class: usize,
    /// The counts by the address of the endpoint.
    pub endpoints: Vec<(SocketAddr, EndpointCounts)>,
    /// Requests that were rejected without an attempt.
    pub dropped: u64,
}

/// One load report of one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyReport {
    /// The time in ms that it covers.
    pub interval: Millis,
    /// The counts by cluster.
    pub clusters: Vec<ClusterReport>,
}

/// A cluster: the endpoints of one version, for one request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClusterKey {
    version: Version,
    class: usize,
}

impl ClusterReport {
    fn key(&self) -> ClusterKey {
        ClusterKey { version: self.version, class: self.class }
    }
}

/// The requests of one class at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointClassKey {
    endpoint: String,
    class: usize,
}

/// What one proxy reported last.
#[derive(Clone, Debug, Default)]
struct ReportingProxy {
    /// Requests per ms by class, smoothed.
    request_rate: Vec<f64>,
    /// Attempts in flight at each cluster when it last reported.
    in_flight: BTreeMap<ClusterKey, u64>,
}

impl ReportingProxy {
    fn update_request_rate(&mut self, reported: Vec<f64>) {
        if self.request_rate.is_empty() {
            self.request_rate = reported;
            return;
        }
        for (rate, reported) in self.request_rate.iter_mut().zip(&reported) {
            *rate += RATE_SMOOTHING * (reported - *rate);
        }
    }
}

/// Aggregates all reports since the events were last drained.
#[derive(Clone, Debug)]
pub struct LoadReportAggregator {
    class_names: Vec<String>,
    /// The sums of each cluster, by proxy.
    cluster_sums: BTreeMap<ClusterKey, BTreeMap<u64, OutcomeSum>>,
    endpoint_sums: BTreeMap<EndpointClassKey, OutcomeSum>,
    proxies: BTreeMap<u64, ReportingProxy>,
    last_report_at: Option<Millis>,
    last_drained_at: Millis,
    platform_only: bool,
}

impl LoadReportAggregator {
    /// Aggregates by these request classes. With `platform_only` the proxies' counts do not judge versions.
    pub fn new(class_names: Vec<String>, platform_only: bool) -> Self {
        LoadReportAggregator {
            class_names,
            cluster_sums: BTreeMap::new(),
            endpoint_sums: BTreeMap::new(),
            proxies: BTreeMap::new(),
            last_report_at: None,
            last_drained_at: 0.0,
            platform_only,
        }
    }

    /// Adds a report, all of it or nothing. `endpoint_at` names the endpoint at an address that runs, or lately ran, a
    /// version. Returns the proxy's smoothed request rates, in requests per ms by class.
    ///
    /// # Errors
    /// The report contradicts itself, holds impossible times, or names endpoints that are not in their cluster.
    pub fn add_report<'a>(
        &mut self, proxy: u64, report: &ProxyReport,
        endpoint_at: impl Fn(&SocketAddr, Version) -> Option<&'a str>, now: Millis,
    ) -> Result<Vec<f64>, ReportError> {
        let is_known = |address: &SocketAddr, version: Version| endpoint_at(address, version).is_some();
        validation::validate(report, self.class_names.len(), self.proxies.get(&proxy), is_known)?;
        let mut request_rate = vec![0.0; self.class_names.len()];
        let mut in_flight = BTreeMap::new();
        for cluster in &report.clusters {
            let proxy_sums = self.cluster_sums.entry(cluster.key()).or_default();
            let proxy_sum = proxy_sums.entry(proxy).or_default();
            for (address, counts) in &cluster.endpoints {
                let outcomes = OutcomeSum::from_counts(counts);
                proxy_sum.add(&outcomes, f64::INFINITY);
                if let Some(endpoint) = endpoint_at(address, cluster.version) {
                    let key = EndpointClassKey { endpoint: endpoint.to_string(), class: cluster.class };
                    self.endpoint_sums.entry(key).or_default().add(&outcomes, MAX_ENDPOINT_ATTEMPTS);
                }
                let requests = outcomes.attempts().max(counts.started as f64);
                request_rate[cluster.class] += requests / report.interval;
                *in_flight.entry(cluster.key()).or_default() += counts.in_flight;
            }
            request_rate[cluster.class] += cluster.dropped as f64 / report.interval;
        }
        let reporting = self.proxies.entry(proxy).or_default();
        reporting.update_request_rate(request_rate);
        reporting.in_flight = in_flight;
        self.last_report_at = Some(now);
        Ok(reporting.request_rate.clone())
    }

    /// A proxy disconnected.
    pub fn disconnected(&mut self, proxy: u64) {
        self.proxies.remove(&proxy);
    }

    /// Whether the platform's counts are used now. They and the proxies' are never used both: they count the same
    /// attempts.
    pub fn uses_platform_counts(&self, now: Millis) -> bool {
        self.platform_only || self.last_report_at.is_none_or(|reported_at| now - reported_at > REPORT_TIMEOUT)
    }

    /// The outcomes of the last period as events for the policy; none before [`REPORT_PERIOD`] has passed.
    pub fn drain_events(&mut self, now: Millis) -> Vec<Event> {
        if now - self.last_drained_at < REPORT_PERIOD {
            return Vec::new();
        }
        let age = (now - self.last_drained_at) / 2.0;
        self.last_drained_at = now;
        let mut events = self.drain_endpoint_outcomes();
        let cluster_sums = std::mem::take(&mut self.cluster_sums);
        if !self.platform_only {
            let reports = cluster_sums.iter().map(|(key, sums)| self.outcome_report(*key, sums, age));
            events.extend(reports);
        }
        events
    }

    fn drain_endpoint_outcomes(&mut self) -> Vec<Event> {
        let endpoint_sums = std::mem::take(&mut self.endpoint_sums);
        let to_event = |(key, sum): (EndpointClassKey, OutcomeSum)| {
            let outcomes = sum.rounded();
            Event::EndpointOutcomesReported(EndpointOutcomes {
                endpoint: key.endpoint,
                class: self.class_names[key.class].clone(),
                attempts: outcomes.attempts,
                failures: outcomes.failures,
                mean_latency: outcomes.mean_latency,
            })
        };
        endpoint_sums.into_iter().map(to_event).collect()
    }

    fn outcome_report(&self, key: ClusterKey, sums: &BTreeMap<u64, OutcomeSum>, age: Millis) -> Event {
        let outcomes = sum_of_proxies(sums).rounded();
        Event::OutcomesReported(OutcomeReport {
            version: key.version,
            class: self.class_names[key.class].clone(),
            attempts: outcomes.attempts,
            failures: outcomes.failures,
            mean_latency: outcomes.mean_latency,
            age,
        })
    }
}

/// The sum over all proxies, in which each counts for a limited multiple of their mean.
fn sum_of_proxies(sums: &BTreeMap<u64, OutcomeSum>) -> OutcomeSum {
    let total_attempts = sums.values().map(OutcomeSum::attempts).sum::<f64>();
    let mean_attempts = total_attempts / sums.len().max(1) as f64;
    let max_attempts =
        if sums.len() >= MIN_PROXIES_TO_LIMIT { MAX_PROXY_MULTIPLE * mean_attempts } else { f64::INFINITY };
    let mut total = OutcomeSum::default();
    for sum in sums.values() {
        total.add(sum, max_attempts);
    }
    total
}
