//! Load reports of an xDS proxy about simulated requests: the reported outcomes are drawn at random, no request is
//! sent.

use crate::fake_proxy::{FakeProxy, MAX_RECONNECT_BACKOFF, ProxyBehavior, connect, wait_for_service};
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

const LOAD_REPORTS_PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
const MAX_QUEUED_REPORTS: usize = 4;
/// Maximum number of endpoints of each cluster in one report.
const MAX_REPORTED_ENDPOINTS: usize = 5;
/// The time between two reports, which is also the time that each report covers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The first report is sent after a random delay below this, so that proxies do not all report at the same time.
const MAX_START_DELAY_MS: u64 = 1000;
/// The sum of the cluster weights of a route, which are in parts per million.
const TOTAL_WEIGHT: f64 = 1e6;
/// Maps proxy numbers to distant seeds. Not the multiplier of the proxies' streams, so that both draw independently.
const PROXY_SEED_MULTIPLIER: u64 = 0x2545_f491_4f6c_dd1d;

/// Sends load reports on one stream until the service closes it, or the sender of `reports` is dropped.
///
/// # Errors
/// The connection cannot be opened, or the service closes the stream with an error status.
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

/// The outcomes to report for requests to one cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterOutcome {
    /// The probability that a request fails, from 0 to 1.
    pub failure_share: f64,
    /// The mean latency of the requests that succeed.
    pub mean_latency_ms: f64,
}

/// Maps the name of a cluster to the outcomes to report.
pub type ClusterOutcomes = Arc<dyn Fn(&str) -> ClusterOutcome + Send + Sync>;

/// The load that a proxy reports.
#[derive(Clone)]
pub struct ReportedLoad {
    /// The names of the request classes that have requests.
    pub classes: &'static [&'static str],
    /// The number of requests that the proxy reports for each class and second.
    pub requests_per_second: u64,
    /// The outcomes of the requests, by cluster.
    pub outcomes: ClusterOutcomes,
}

impl ReportedLoad {
    /// A report over one second, with requests distributed over clusters and endpoints as the cached resources require.
    /// `node` is the node id of the proxy.
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

/// Distributes requests evenly over at most [`MAX_REPORTED_ENDPOINTS`] endpoints, beginning at a random one, and draws
/// which requests fail.
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
    /// Sends a load report each second while `behavior` has a control service to connect to. Returns when `behavior`
    /// stops the proxy, or when the sender of `behavior` is dropped.
    pub async fn run_load_reports(
        self, mut behavior: watch::Receiver<ProxyBehavior>, seed: u64, load: ReportedLoad,
    ) {
        let proxy_seed = seed ^ (self.number as u64 + 1).wrapping_mul(PROXY_SEED_MULTIPLIER);
        let mut rng = Pcg64Mcg::seed_from_u64(proxy_seed);
        loop {
            let Some(connected) = wait_for_service(&mut behavior).await else { return };
            let (reports, report_receiver) = mpsc::channel(1);
            select! {
                _ = send_load_reports(connected.service, report_receiver) => sleep(MAX_RECONNECT_BACKOFF).await,
                () = self.produce_reports(&load, reports, &mut rng) => {}
                changed = behavior.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn produce_reports(
        &self, load: &ReportedLoad, reports: mpsc::Sender<LoadStatsRequest>, rng: &mut Pcg64Mcg,
    ) {
        let node = self.node();
        sleep(Duration::from_millis(rng.random_range(0..MAX_START_DELAY_MS))).await;
        loop {
            let report = load.report(&self.cache(), &node, rng);
            if reports.send(report).await.is_err() {
                return;
            }
            sleep(REPORT_INTERVAL).await;
        }
    }
}
