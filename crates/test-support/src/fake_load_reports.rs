//! Load reports of an xDS proxy about requests that were not sent.

use crate::fake_proxy::{FakeProxy, ProxyBehavior, RECONNECT_INTERVAL, connect, wait_for_service};
use crate::resource_cache::{CachedEndpoint, ResourceCache};
use bytes::Bytes;
use latchhaven_xds::codec::ChunkCodec;
use latchhaven_xds::load_stats::LATENCY_METRIC;
use latchhaven_xds::pb::envoy::config::core::v3::Node;
use latchhaven_xds::pb::envoy::config::endpoint::v3::{
    ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats, UpstreamLocalityStats,
};
use latchhaven_xds::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use latchhaven_xds::pb::google::protobuf::Duration as ProtobufDuration;
use latchhaven_xds::resources::to_xds_address;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::{Request, Status};

/// The path of load reports.
const LOAD_REPORTS_PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
/// Reports that are queued at most.
const MAX_QUEUED_REPORTS: usize = 4;
/// Endpoints of each cluster in one report at most.
const MAX_REPORTED_ENDPOINTS: usize = 5;
/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Reports begin within this many ms of their stream.
const MAX_START_DELAY: u64 = 1000;
/// The sum of all weights of a route.
const TOTAL_WEIGHT: f64 = 1e6;

/// Sends load reports until the service ends the stream.
///
/// # Errors
/// The status with which the stream ended.
pub async fn send_load_reports(
    service: SocketAddr, mut reports: mpsc::Receiver<LoadStatsRequest>,
) -> Result<(), Status> {
    let (requests, request_stream) = mpsc::channel(MAX_QUEUED_REPORTS);
    let mut grpc = Grpc::new(connect(service).await?);
    grpc.ready().await.map_err(|error| Status::unavailable(error.to_string()))?;
    let Some(first) = reports.recv().await else { return Ok(()) };
    let _ = requests.send(encode(&first)).await;
    let path = PathAndQuery::from_static(LOAD_REPORTS_PATH);
    let codec = ChunkCodec::<LoadStatsResponse>::default();
    let request = Request::new(ReceiverStream::new(request_stream));
    let mut responses = grpc.streaming(request, path, codec).await?.into_inner();
    loop {
        select! {
            response = responses.message() => if response?.is_none() { return Ok(()) },
            report = reports.recv() => match report {
                Some(report) => drop(requests.send(encode(&report)).await),
                None => return Ok(()),
            },
        }
    }
}

fn encode(report: &LoadStatsRequest) -> Vec<Bytes> {
    vec![Bytes::from(report.encode_to_vec())]
}

/// The outcomes of requests to one cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOutcome {
    /// The share that fails, from 0 to 1.
    pub failure_share: f64,
    /// The mean latency of the others, in ms.
    pub mean_latency_ms: f64,
}

/// The outcomes of requests by cluster name.
pub type ClusterOutcomes = Arc<dyn Fn(&str) -> ClusterOutcome + Send + Sync>;

/// The requests that a proxy reports.
#[derive(Clone)]
pub struct ReportedLoad {
    /// Names of the request classes.
    pub classes: &'static [&'static str],
    /// Requests of each class in one second.
    pub requests_per_second: u64,
    /// Their outcomes.
    pub outcomes: ClusterOutcomes,
}

impl ReportedLoad {
    /// A report over one second in which the requests were routed by the resources of a cache.
    pub fn report(&self, cache: &ResourceCache, node: &str, rng: &mut Pcg64Mcg) -> LoadStatsRequest {
        let mut clusters = Vec::new();
        for class in self.classes {
            let route = cache.route(class, false).cloned().unwrap_or_default();
            for cluster in route.clusters {
                let expected = self.requests_per_second as f64 * f64::from(cluster.weight) / TOTAL_WEIGHT;
                clusters.extend(self.cluster_stats(cache, cluster.name, expected, rng));
            }
        }
        let node = Some(Node { id: node.to_string(), ..Node::default() });
        LoadStatsRequest { node, cluster_stats: clusters }
    }

    fn cluster_stats(
        &self, cache: &ResourceCache, cluster_name: String, expected: f64, rng: &mut Pcg64Mcg,
    ) -> Option<ClusterStats> {
        let mut endpoints = cache.cluster_endpoints(&cluster_name).endpoints;
        endpoints.retain(|endpoint| endpoint.is_healthy);
        let count = (expected + rng.random::<f64>()) as u64;
        if endpoints.is_empty() || count == 0 {
            return None;
        }
        let outcome = (self.outcomes)(&cluster_name);
        let counts = draw_counts(&endpoints, count, outcome.failure_share, rng);
        let endpoint_stats =
            counts.into_iter().map(|(addr, counts)| endpoint_stats(addr, counts, outcome.mean_latency_ms));
        let locality = UpstreamLocalityStats {
            upstream_endpoint_stats: endpoint_stats.collect(),
            ..UpstreamLocalityStats::default()
        };
        Some(ClusterStats {
            cluster_name,
            upstream_locality_stats: vec![locality],
            load_report_interval: Some(ProtobufDuration { seconds: 1, nanos: 0 }),
            ..ClusterStats::default()
        })
    }
}

#[derive(Clone, Copy, Default)]
struct Counts {
    succeeded: u64,
    failed: u64,
}

/// Distributes requests over a few endpoints, and draws which of them fail.
fn draw_counts(
    endpoints: &[CachedEndpoint], count: u64, failure_share: f64, rng: &mut Pcg64Mcg,
) -> BTreeMap<SocketAddr, Counts> {
    let first = rng.random_range(0..endpoints.len());
    let mut counts: BTreeMap<SocketAddr, Counts> = BTreeMap::new();
    for request in 0..count {
        let offset = request as usize % MAX_REPORTED_ENDPOINTS;
        let endpoint = &endpoints[(first + offset) % endpoints.len()];
        let counts = counts.entry(endpoint.addr).or_default();
        if rng.random::<f64>() < failure_share {
            counts.failed += 1;
        } else {
            counts.succeeded += 1;
        }
    }
    counts
}

fn endpoint_stats(addr: SocketAddr, counts: Counts, mean_latency_ms: f64) -> UpstreamEndpointStats {
    let latency = EndpointLoadMetricStats {
        metric_name: LATENCY_METRIC.to_string(),
        num_requests_finished_with_metric: counts.succeeded,
        total_metric_value: mean_latency_ms * counts.succeeded as f64,
    };
    UpstreamEndpointStats {
        address: Some(to_xds_address(addr)),
        total_successful_requests: counts.succeeded,
        total_error_requests: counts.failed,
        total_issued_requests: counts.succeeded + counts.failed,
        load_metric_stats: vec![latency],
        ..UpstreamEndpointStats::default()
    }
}

impl FakeProxy {
    /// Reports its load once a second while it is connected.
    pub async fn run_load_reports(
        self, mut behavior: watch::Receiver<ProxyBehavior>, seed: u64, load: ReportedLoad,
    ) {
        let proxy_seed = seed ^ (self.number as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d);
        let mut rng = Pcg64Mcg::seed_from_u64(proxy_seed);
        loop {
            let Some(connected) = wait_for_service(&mut behavior).await else { return };
            let (reports, report_receiver) = mpsc::channel(1);
            select! {
                _ = send_load_reports(connected.service, report_receiver) => sleep(RECONNECT_INTERVAL).await,
                () = self.make_reports(&load, reports, &mut rng) => {}
                changed = behavior.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn make_reports(
        &self, load: &ReportedLoad, reports: mpsc::Sender<LoadStatsRequest>, rng: &mut Pcg64Mcg,
    ) {
        let node = self.node();
        sleep(Duration::from_millis(rng.random_range(0..MAX_START_DELAY))).await;
        loop {
            let report = load.report(&self.cache(), &node, rng);
            if reports.send(report).await.is_err() {
                return;
            }
            sleep(REPORT_INTERVAL).await;
        }
    }
}
