//! Load reports of proxies: validated, limited per proxy and endpoint, and aggregated into outcome reports for the
//! policy. The aggregate contains only outcomes that a proxy observed.
//!
//! - `report`: the counts that a report contains.
//! - `validation`: rejects reports that are implausible or contradict an earlier one.
//! - `outcome_sum`: sums of outcomes with a limited weight.

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

/// What is known about a proxy from its load reports.
#[derive(Clone, Debug, Default)]
struct ReportingProxy {
    /// Moving average of the request rate of each class, in requests per ms. Empty before the first report.
    request_rate: Vec<f64>,
    /// Attempts in flight in each cluster at the time of the last report.
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

/// Aggregates load reports into events for the policy, which [`Self::drain_events`] returns once in each period.
#[derive(Clone, Debug)]
pub struct LoadReportAggregator {
    /// The names of the request classes, by their index.
    class_names: Vec<String>,
    /// The sums of each cluster, by proxy, since the events were last drained.
    cluster_sums: BTreeMap<ClusterKey, BTreeMap<u64, OutcomeSum>>,
    endpoint_sums: BTreeMap<EndpointClassKey, OutcomeSum>,
    proxies: BTreeMap<u64, ReportingProxy>,
    last_report_at: Option<Millis>,
    last_drained_at: Millis,
    uses_platform_only: bool,
}

impl LoadReportAggregator {
    /// Creates an aggregator without reports. Clusters refer to the request classes by the index in `class_names`. With
    /// `uses_platform_only` only the platform's counts judge versions; proxies' counts still judge endpoints.
    #[must_use]
    pub fn new(class_names: Vec<String>, uses_platform_only: bool) -> Self {
        LoadReportAggregator {
            class_names,
            cluster_sums: BTreeMap::new(),
            endpoint_sums: BTreeMap::new(),
            proxies: BTreeMap::new(),
            last_report_at: None,
            last_drained_at: 0.0,
            uses_platform_only,
        }
    }

    /// Adds a report of a proxy and returns the moving average of the proxy's request rate of each class, in requests
    /// per ms. `endpoint_at` returns the id of the endpoint at an address, if it runs or recently ran the version.
    ///
    /// # Errors
    /// The report has implausible values, contradicts an earlier one, or names endpoints that are not in their
    /// cluster. Nothing of a rejected report is added.
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
                proxy_sum.add(&outcomes, None);
                if let Some(endpoint) = endpoint_at(address, cluster.version) {
                    let key = EndpointClassKey { endpoint: endpoint.to_string(), class: cluster.class };
                    self.endpoint_sums.entry(key).or_default().add(&outcomes, Some(MAX_ENDPOINT_ATTEMPTS));
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

    /// Forgets a disconnected proxy's request rates and attempts in flight. Its counts of the current period remain.
    pub fn on_disconnected(&mut self, proxy: u64) {
        self.proxies.remove(&proxy);
    }

    /// Returns `true` if the platform's counts are to be used at `now`: by configuration, or since no proxy reports.
    /// Platform and proxies count the same attempts, so that only one of them is used at any time.
    #[must_use]
    pub fn uses_platform_counts(&self, now: Millis) -> bool {
        self.uses_platform_only || limits::have_reports_stopped(now, self.last_report_at)
    }

    /// Returns the outcomes of the last period as events for the policy, and begins a new period. Returns no events,
    /// and continues the period, until it has lasted for [`limits::REPORT_PERIOD`].
    pub fn drain_events(&mut self, now: Millis) -> Vec<Event> {
        if !limits::is_report_period_complete(now, self.last_drained_at) {
            return Vec::new();
        }
        // The mean age of outcomes that are spread evenly over the period.
        let age = (now - self.last_drained_at) / 2.0;
        self.last_drained_at = now;
        let mut events = self.drain_endpoint_outcomes();
        let cluster_sums = std::mem::take(&mut self.cluster_sums);
        if !self.uses_platform_only {
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

/// The sum over all proxies. Each proxy's weight is limited to a multiple of their mean number of attempts.
fn sum_of_proxies(sums: &BTreeMap<u64, OutcomeSum>) -> OutcomeSum {
    let total_attempts = sums.values().map(OutcomeSum::attempts).sum::<f64>();
    let max_attempts = limits::max_attempts_per_proxy(sums.len(), total_attempts);
    let mut total = OutcomeSum::default();
    for sum in sums.values() {
        total.add(sum, max_attempts);
    }
    total
}
