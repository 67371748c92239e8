//! Proxies and the control service that configures them.

use super::model::{AttemptCompletion, Vote};
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

/// Sum of the cluster weights of a route.
const TOTAL_WEIGHT: u32 = 1_000_000;

/// A proxy with its xDS stream to the control service.
pub(super) struct Proxy {
    pub(super) cache: ResourceCache,
    /// The control service's end of the stream.
    stream: Stream,
    /// Discovery requests that were not delivered to the control service yet.
    unsent_requests: Vec<CacheRequest>,
    /// Number of attempts in flight to each host, by its index.
    pub(super) in_flight: Vec<u32>,
    /// Counts for the next load report, by cluster and host.
    unreported_counts: BTreeMap<(String, usize), EndpointCounts>,
}

impl Proxy {
    /// The less loaded of two healthy endpoints of a cluster that are drawn at random. `None` if no endpoint of the
    /// cluster is healthy.
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

    /// Number of attempts in flight, including the one about to be sent, divided by the weight of the endpoint.
    fn load(&self, endpoint: &CachedEndpoint) -> f64 {
        f64::from(self.in_flight[host_at(endpoint.addr)] + 1) / f64::from(endpoint.weight)
    }

    /// Counts a completed attempt for the next load report.
    pub(super) fn record(&mut self, cluster: &str, completion: &AttemptCompletion) {
        let in_flight = &mut self.in_flight[completion.host];
        *in_flight = in_flight.saturating_sub(1);
        let counts = self.unreported_counts.entry((cluster.to_string(), completion.host)).or_default();
        counts.started += 1;
        if completion.outcome == AttemptOutcome::Success {
            counts.succeeded += 1;
            counts.latency_samples += 1;
            counts.total_latency += completion.elapsed;
        } else {
            counts.failed += 1;
        }
    }

    /// The load report on the attempts since the last one. Clusters whose names no longer parse are left out.
    fn take_load_report(&mut self, classes: &[String]) -> ProxyReport {
        let mut clusters: BTreeMap<(Version, usize), ClusterReport> = BTreeMap::new();
        for ((cluster, host), counts) in std::mem::take(&mut self.unreported_counts) {
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

/// Draws a cluster by weight. `None` if the weights sum to less than [`TOTAL_WEIGHT`] and the draw is not below their
/// sum.
pub(super) fn draw_cluster(route: &CachedRoute, rng: &mut Pcg64Mcg) -> Option<String> {
    let mut draw = rng.random_range(0..TOTAL_WEIGHT);
    for cluster in &route.clusters {
        if draw < cluster.weight {
            return Some(cluster.name.clone());
        }
        draw = draw.saturating_sub(cluster.weight);
    }
    None
}

/// The proxies and their control service.
pub(super) struct ProxyGroup {
    pub(super) control_plane: ControlPlane,
    /// The resources that the control service published last; `None` before the first publication.
    snapshot: Option<Arc<ResourceSnapshot>>,
    pub(super) proxies: Vec<Proxy>,
}

impl ProxyGroup {
    /// Connects all proxies; every second one uses the incremental variant of the xDS protocol.
    pub(super) fn new(seed: u64, sizes: &Sizes) -> Self {
        let signer = version_signer();
        let mut control_plane = control_plane(seed, signer.clone());
        let mut proxies = Vec::new();
        for index in 0..sizes.routers {
            let node = format!("p{index}");
            let is_incremental = index % 2 == 1;
            control_plane.request_discovery_stream(index as u64, &node, 0.0);
            let mut cache = ResourceCache::new(&node, is_incremental);
            proxies.push(Proxy {
                unsent_requests: cache.initial_requests(),
                cache,
                stream: Stream::new(is_incremental, None, signer.clone()),
                in_flight: vec![0; sizes.hosts],
                unreported_counts: BTreeMap::new(),
            });
        }
        ProxyGroup { control_plane, snapshot: None, proxies }
    }

    pub(super) fn send_load_reports(&mut self, now: Millis) {
        let classes = CLASSES.map(|class| class.name.to_string());
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let report = proxy.take_load_report(&classes);
            self.control_plane
                .on_load_report(index as u64, &report, now)
                .expect("the control service accepts the load report");
        }
    }

    /// Polls the control service, stores a published snapshot, and returns the votes cast.
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

    /// Delivers discovery requests and responses on all streams until no stream has another response.
    pub(super) fn exchange_messages(&mut self, now: Millis) {
        let Some(snapshot) = &self.snapshot else { return };
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let stream_number = index as u64;
            loop {
                for request in proxy.unsent_requests.drain(..) {
                    proxy
                        .stream
                        .on_request(request.into())
                        .expect("the stream accepts the discovery request");
                }
                let response = proxy.stream.next_response(snapshot);
                self.control_plane.on_stream_events(stream_number, proxy.stream.take_events(), now);
                let Some(response) = response else { break };
                if let Some(canary_shares) = &response.canary_shares {
                    self.control_plane.on_routes_sent(stream_number, canary_shares, now);
                }
                proxy.unsent_requests = proxy.cache.apply_response(&response.chunks.concat(), false);
            }
        }
    }
}
