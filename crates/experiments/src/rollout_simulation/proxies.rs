//! Routing by proxies, and the control service that configures them.

use super::Sizes;
use super::attempts::EndedAttempt;
use super::model::Vote;
use super::parameters::{
    CLASSES, LOAD_REPORT_INTERVAL, TICK, TICKS_PER_LOAD_REPORT, control_plane, host_address, host_at,
    version_signer,
};
use super::simulation::Simulation;
use latchhaven_control_plane::control_plane::ControlPlane;
use latchhaven_policy::{Action, AttemptOutcome, Millis, RequestId, Version};
use latchhaven_proxy_config::load_reports::{ClusterReport, EndpointCounts, EndpointReport, ProxyReport};
use latchhaven_test_support::resource_cache::{CacheRequest, CachedEndpoint, CachedRoute, ResourceCache};
use latchhaven_xds::resources::{ResourceSnapshot, parse_cluster_name};
use latchhaven_xds::stream::Stream;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The sum of all weights of a route.
const TOTAL_WEIGHT: u32 = 1_000_000;
/// The retry condition that covers failures after which a request may have been executed.
const RETRY_ON_FAILURE: &str = "5xx";

/// One proxy.
struct Proxy {
    cache: ResourceCache,
    stream: Stream,
    /// Requests on their way to the control service.
    requests: Vec<CacheRequest>,
    /// Attempts in flight to each host.
    in_flight: Vec<u32>,
    /// Counts of the next load report, by cluster and host.
    counts: BTreeMap<(String, usize), EndpointCounts>,
}

impl Proxy {
    /// Two random choices among the healthy endpoints of a cluster; none: it has no such endpoint.
    fn choose_host(&self, cluster: &str, rng: &mut Pcg64Mcg) -> Option<usize> {
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

    fn record(&mut self, cluster: &str, ended: &EndedAttempt) {
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
            let Some((version, class)) = parse_cluster_name(&cluster, classes) else { continue };
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

/// Draws a cluster by weight; an empty name where none is drawn.
fn draw_cluster(route: &CachedRoute, rng: &mut Pcg64Mcg) -> String {
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
    proxies: Vec<Proxy>,
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
            control_plane.request_stream(index as u64, node.clone(), 0.0);
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

    /// Every proxy reports its load.
    fn send_load_reports(&mut self, now: Millis) {
        let classes = CLASSES.map(|class| class.name.to_string());
        for (index, proxy) in self.proxies.iter_mut().enumerate() {
            let report = proxy.take_report(&classes);
            self.control_plane.on_load_report(index as u64, &report, now).expect("a valid report");
        }
    }

    /// The control service acts; its votes.
    fn poll_control_plane(&mut self, now: Millis) -> Vec<Vote> {
        let effects = self.control_plane.poll(now);
        if let Some(publication) = effects.published {
            self.snapshot = Some(publication.snapshot);
        }
        let votes = effects.actions.into_iter().filter_map(|action| match action {
            Action::CastVote { version, stage, verdict } => Some(Vote { version, stage, verdict }),
            _ => None,
        });
        votes.collect()
    }

    /// Exchanges messages on all streams until there is nothing to send.
    fn exchange_messages(&mut self, now: Millis) {
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

impl Simulation {
    /// Load reports once a second, then the control service, then its messages to proxies.
    pub(super) fn run_control_plane(&mut self) {
        let now = self.now;
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let tick = (now / TICK).round() as u64;
        if tick.is_multiple_of(TICKS_PER_LOAD_REPORT) && now > 0.0 {
            proxy_group.send_load_reports(now);
        }
        self.votes.extend(proxy_group.poll_control_plane(now));
        proxy_group.exchange_messages(now);
    }

    /// A proxy draws a cluster for a new request.
    pub(super) fn route_by_proxy(&mut self, id: RequestId) {
        let Some(proxy_group) = &self.proxy_group else { return };
        let request = self.requests.get_mut(&id).expect("an open request");
        let cache = &proxy_group.proxies[request.router].cache;
        let Some(route) = cache.route(CLASSES[request.class].name, false) else {
            return self.close_request(id, false);
        };
        request.cluster = draw_cluster(route, &mut self.rng);
        let allows_retries = cache.cluster_endpoints(&request.cluster).allows_retries;
        request.retries_left = if allows_retries { route.max_retries } else { 0 };
        request.retry_on.clone_from(&route.retry_on);
        self.attempt_by_proxy(id);
    }

    /// Sends an attempt to a host of the cluster that was drawn.
    fn attempt_by_proxy(&mut self, id: RequestId) {
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let request = &self.requests[&id];
        let proxy = &mut proxy_group.proxies[request.router];
        let Some(host) = proxy.choose_host(&request.cluster, &mut self.rng) else {
            return self.close_request(id, false);
        };
        proxy.in_flight[host] += 1;
        self.send_attempt(id, host);
    }

    /// An attempt that a proxy sent has ended.
    pub(super) fn on_proxy_attempt_ended(&mut self, id: RequestId, index: usize, ended: &EndedAttempt) {
        let Some(proxy_group) = &mut self.proxy_group else { return };
        let request = self.requests.get_mut(&id).expect("an open request");
        proxy_group.proxies[index].record(&request.cluster, ended);
        let is_retryable =
            request.retry_on.contains(RETRY_ON_FAILURE) || ended.outcome.is_definitely_not_executed();
        let has_failed = ended.outcome != AttemptOutcome::Success && !ended.is_late;
        if has_failed && is_retryable && request.retries_left > 0 && !request.is_closed {
            request.retries_left -= 1;
            self.attempt_by_proxy(id);
        } else {
            self.close_request(id, ended.is_success());
        }
    }
}
