//! Proxies and the control service that configures them.

use super::model::{EndedAttempt, Vote};
use super::parameters::{
    CLASSES, LOAD_REPORT_INTERVAL, control_plane, host_address, host_at, version_signer,
};
use super::sizes::Sizes;
use latchhaven_control_plane::control_plane::ControlPlane;
use latchhaven_policy::{Action, AttemptOutcome, Millis, Version};
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, EndpointReport, ProxyReport};
use latchhaven_test_support::resource_cache::{CacheRequest, CachedEndpoint, CachedRoute, ResourceCache};
use latchhaven_xds::resources::{ClusterNameParts, ResourceSnapshot, parse_cluster_name};
use latchhaven_xds::stream::Stream;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The sum of all weights of a route.
const TOTAL_WEIGHT: u32 = 1_000_000;

/// One proxy.
pub(super) struct Proxy {
    pub(super) cache: ResourceCache,
    stream: Stream,
    /// Requests to the control service that were not sent yet.
    requests: Vec<CacheRequest>,
    /// Attempts in flight to each host.
    pub(super) in_flight: Vec<u32>,
    /// Counts of the next load report, by cluster and host.
    counts: BTreeMap<(String, usize), EndpointCounts>,
}

impl Proxy {
    /// The less loaded of two random healthy endpoints of a cluster; none if it has no such endpoint.
    pub(super) fn choose_host(&self, cluster: &str, rng: &mut Pcg64Mcg) -> Option<usize> {
        let mut endpoints = self.cache.cluster_endpoints(cluster).endpoints;
        endpoints.retain(|endpoint| endpoint.is_healthy);
        if endpoints.is_empty() {
            return None;
        }
        let first = &endpoints[rng.random_range(0..endpoints.len())];
        let second = &endpoints[rng.random_range(0..endpoints.len())];
        let chosen = if self.load(second) < self.load(first) { second } else { first };
        Some(host_at(chosen.addr))
    }

    fn load(&self, endpoint: &CachedEndpoint) -> f64 {
        f64::from(self.in_flight[host_at(endpoint.addr)] + 1) / f64::from(endpoint.weight)
    }

    /// Counts an attempt that ended.
    pub(super) fn record(&mut self, cluster: &str, ended: &EndedAttempt) {
        let in_flight = &mut self.in_flight[ended.host];
        *in_flight = in_flight.saturating_sub(1);
        let counts = self.counts.entry((cluster.to_string(), ended.host)).or_default();
        counts.started += 1;
        if ended.outcome == AttemptOutcome::Success {
            counts.succeeded += 1;
            counts.latency_samples += 1;
            counts.total_latency += ended.elapsed;
        } else {
            counts.failed += 1;
        }
    }

    /// The load report since the last one.
    fn take_report(&mut self, classes: &[String]) -> ProxyReport {
        let mut clusters: BTreeMap<(Version, usize), ClusterReport> = BTreeMap::new();
        for ((cluster, host), counts) in std::mem::take(&mut self.counts) {
            let Some(ClusterNameParts { version, class }) = parse_cluster_name(&cluster, classes) else {
                continue;
            };
            let report = clusters.entry((version, class)).or_insert_with(|| ClusterReport {
                version,
                class,
                endpoints: Vec::new(),
                dropped: 0,
            });
            report.endpoints.push(EndpointReport { address: host_address(host), counts });
        }
        ProxyReport { interval: LOAD_REPORT_INTERVAL, clusters: clusters.into_values().collect() }
    }
}

/// Draws a cluster by weight; the name is empty if none is drawn.
pub(super) fn draw_cluster(route: &CachedRoute, rng: &mut Pcg64Mcg) -> String {
    let mut draw = rng.random_range(0..TOTAL_WEIGHT);
    for cluster in &route.clusters {
        if draw < cluster.weight {
            return cluster.name.clone();
        }
        draw = draw.saturating_sub(cluster.weight);
    }
    String::new()
}

/// The proxies and their control service.
pub(super) struct ProxyGroup {
    pub(super) control_plane: ControlPlane,
    snapshot: Option<Arc<ResourceSnapshot>>,
    pub(super) proxies: Vec<Proxy>,
}

impl ProxyGroup {
    /// Every second proxy uses incremental streams.
    pub(super) fn new(seed: u64, sizes: &Sizes) -> Self {
        let signer = version_signer();
        let mut control_plane = control_plane(seed, signer.clone());
        let mut proxies = Vec::new();
        for index in 0..sizes.fronts {
            let node = format!("p{index}");
            let is_incremental = index % 2 == 1;
            control_plane.request_discovery_stream(index as u64, &node, 0.0);
            let mut cache = ResourceCache::new(&node, is_incremental);
            proxies.push(Proxy {
                requests: cache.initial_requests(),
                cache,
                stream: Stream::new(is_incremental, None, signer.clone()),
                in_flight: vec![0; sizes.hosts],
                counts: BTreeMap::new(),
            });
        }
        ProxyGroup { control_plane, snapshot: None, proxies }
    }

    /// Sends the load report of each proxy.
    pub(super) fn send_load_reports(&mut self, now: Millis) {
        let classes = CLASSES.map(|class| class.name.to_string());
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let report = proxy.take_report(&classes);
            self.control_plane.on_load_report(index as u64, &report, now).expect("a valid report");
        }
    }

    /// Polls the control service and returns its votes.
    pub(super) fn poll_control_plane(&mut self, now: Millis) -> Vec<Vote> {
        let effects = self.control_plane.poll(now);
        if let Some(publication) = effects.publication {
            self.snapshot = Some(publication.snapshot);
        }
        let votes = effects.actions.into_iter().filter_map(|action| match action {
            Action::CastVote { version, stage, verdict } => Some(Vote { version, stage, verdict }),
            _ => None,
        });
        votes.collect()
    }

    /// Exchanges messages on all streams until none are pending.
    pub(super) fn exchange_messages(&mut self, now: Millis) {
        let Some(snapshot) = &self.snapshot else { return };
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let stream_number = index as u64;
            loop {
                for request in proxy.requests.drain(..) {
                    proxy.stream.on_request(request.into()).expect("a valid request");
                }
                let response = proxy.stream.next_response(snapshot);
                self.control_plane.on_stream_events(stream_number, proxy.stream.take_events(), now);
                let Some(response) = response else { break };
                if let Some(canary_shares) = &response.canary_shares {
                    self.control_plane.on_routes_sent(stream_number, canary_shares, now);
                }
                proxy.requests = proxy.cache.apply_response(&response.chunks.concat(), false);
            }
        }
    }
}
