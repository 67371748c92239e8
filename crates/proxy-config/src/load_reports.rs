//! Load reports of proxies: validated, limited per proxy and endpoint, and aggregated into outcome reports for the policy.
//! The aggregate contains only outcomes that a proxy observed.
//!
//! - `report`: the reports.
//! - `validation`: checks a report.
//! - `outcome_sum`: weighted sums of outcomes.

mod outcome_sum;
mod report;
mod validation;

pub use report::{ClusterReport, EndpointCounts, EndpointReport, ProxyReport};
pub use validation::ReportError;

use crate::limits::{self, MAX_ENDPOINT_ATTEMPTS};
use latchhaven_policy::{EndpointOutcomes, Event, Millis, OutcomeReport, Version};
use outcome_sum::OutcomeSum;
use report::ClusterKey;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The requests of one class at one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EndpointClassKey {
    endpoint: String,
    class: usize,
}

/// The state of one reporting proxy.
#[derive(Clone, Debug, Default)]
struct ReportingProxy {
    /// Smoothed request rates, in requests per ms by class.
    request_rate: Vec<f64>,
    /// Attempts in flight at each cluster at the time of the last report.
    in_flight: BTreeMap<ClusterKey, u64>,
}

impl ReportingProxy {
    fn update_request_rate(&mut self, reported: Vec<f64>) {
        if self.request_rate.is_empty() {
            self.request_rate = reported;
            return;
        }
        for (rate, reported) in self.request_rate.iter_mut().zip(&reported) {
            *rate = limits::smoothed_rate(*rate, *reported);
        }
    }
}

/// Aggregates the reports since the events were last drained.
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
    /// Aggregates by these request classes. With `platform_only` proxies' counts are not used to judge versions.
    #[must_use]
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

    /// Adds a report; a rejected one changes nothing. `endpoint_at` returns the endpoint at an address, if it runs or
    /// recently ran the version. Returns the proxy's smoothed request rates, in requests per ms by class.
    ///
    /// # Errors
    /// The report has implausible values, contradicts an earlier one, or names endpoints that are not in their cluster.
    pub fn add_report<'a>(
        &mut self, proxy: u64, report: &ProxyReport,
        endpoint_at: impl Fn(&SocketAddr, Version) -> Option<&'a str>, now: Millis,
    ) -> Result<Vec<f64>, ReportError> {
        let is_known = |address: &SocketAddr, version: Version| endpoint_at(address, version).is_some();
        let in_flight_before = self.proxies.get(&proxy).map(|reporting| &reporting.in_flight);
        validation::validate(report, self.class_names.len(), in_flight_before, is_known)?;
        let mut request_rate = vec![0.0; self.class_names.len()];
        let mut in_flight = BTreeMap::new();
        for cluster in &report.clusters {
            let proxy_sums = self.cluster_sums.entry(cluster.key()).or_default();
            let proxy_sum = proxy_sums.entry(proxy).or_default();
            for EndpointReport { address, counts } in &cluster.endpoints {
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
    pub fn on_disconnected(&mut self, proxy: u64) {
        self.proxies.remove(&proxy);
    }

    /// True where the platform's counts are used. Platform and proxies count the same attempts, so that only one of them
    /// is used at any time.
    #[must_use]
    pub fn uses_platform_counts(&self, now: Millis) -> bool {
        self.platform_only || limits::have_reports_stopped(now, self.last_report_at)
    }

    /// The outcomes of the last period as events for the policy; none before [`limits::REPORT_PERIOD`] has passed.
    pub fn drain_events(&mut self, now: Millis) -> Vec<Event> {
        if !limits::is_report_period_complete(now, self.last_drained_at) {
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

/// The sum over all proxies, each limited to a multiple of their mean.
fn sum_of_proxies(sums: &BTreeMap<u64, OutcomeSum>) -> OutcomeSum {
    let total_attempts = sums.values().map(OutcomeSum::attempts).sum::<f64>();
    let max_attempts = limits::max_attempts_per_proxy(sums.len(), total_attempts);
    let mut total = OutcomeSum::default();
    for sum in sums.values() {
        total.add(sum, max_attempts);
    }
    total
}
