//! A proxy that speaks xDS on a socket: it keeps what it holds while no service answers, and comes back with it.

use crate::cache::{Cache, Wanted};
use bytes::Bytes;
use latchhaven_xds::codec::ChunkCodec;
use latchhaven_xds::load_stats::LATENCY_METRIC;
use latchhaven_xds::pb::envoy::config::core::v3::Node;
use latchhaven_xds::pb::envoy::config::endpoint::v3::{
    ClusterStats, EndpointLoadMetricStats, UpstreamEndpointStats, UpstreamLocalityStats,
};
use latchhaven_xds::pb::envoy::service::discovery::v3::{DeltaDiscoveryResponse, DiscoveryResponse};
use latchhaven_xds::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use latchhaven_xds::pb::google::protobuf::Duration as Span;
use latchhaven_xds::resources::to_xds_address;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::time::Instant;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Status;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::transport::{Channel, Endpoint};

/// Time between two tries to come back, at most, doubling from a tenth of it and spread by chance.
const AGAIN: Duration = Duration::from_millis(1000);
/// A connection that is not up by then never comes up.
const DIAL: Duration = Duration::from_secs(3);
/// An answer of some thousand hosts.
const ANSWER_MOST: usize = 64 << 20;

/// What may be done to a proxy from outside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Orders {
    /// The service it speaks with; none: it is cut off.
    pub service: Option<SocketAddr>,
    /// It refuses routes.
    pub refuses: bool,
    /// Counts how often it is made to begin a new stream.
    pub resets: u64,
    pub ends: bool,
}

/// What is done with each answer.
pub type Seen = Arc<dyn Fn(usize, &Cache, Instant) + Send + Sync>;

/// A proxy's number and cache.
#[derive(Clone)]
pub struct Proxy {
    pub number: usize,
    cache: Arc<Mutex<Cache>>,
}

impl Proxy {
    pub fn new(number: usize, incremental: bool) -> Self {
        Proxy { number, cache: Arc::new(Mutex::new(Cache::new(&format!("proxy-{number}"), incremental))) }
    }

    /// Runs with whatever is ordered, until it is to end.
    pub async fn run(self, mut orders: watch::Receiver<Orders>, seed: u64, seen: Seen) {
        let mut rng =
            Pcg64Mcg::seed_from_u64(seed ^ (self.number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut again = AGAIN / 10;
        loop {
            let order = orders.borrow_and_update().clone();
            if order.ends {
                return;
            }
            let Some(service) = order.service else {
                if orders.changed().await.is_err() {
                    return;
                }
                continue;
            };
            select! {
                ended = self.speak(service, order.refuses, &seen) => {
                    again = if ended.is_ok() { AGAIN / 10 } else { (again * 2).min(AGAIN) };
                }
                changed = orders.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
            }
            sleep(again.mul_f64(rng.random_range(0.2..1.0))).await;
        }
    }

    /// What it holds now.
    pub fn cache(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn speak(&self, service: SocketAddr, refuses: bool, seen: &Seen) -> Result<(), Status> {
        let channel = dial(service).await?;
        let (asks, asked) = mpsc::channel(64);
        let (incremental, first) = {
            let mut cache = self.cache();
            (cache.incremental(), cache.open())
        };
        for ask in first {
            let _ = asks.send(encode(&ask)).await;
        }
        let mut grpc = Grpc::new(channel).max_decoding_message_size(ANSWER_MOST);
        grpc.ready().await.map_err(|fault| Status::unavailable(fault.to_string()))?;
        let requests = tonic::Request::new(ReceiverStream::new(asked));
        let follow = async |wanted: Vec<Wanted>| {
            for ask in wanted {
                let _ = asks.send(encode(&ask)).await;
            }
        };
        let routes = latchhaven_xds::resources::ResourceType::Route.url();
        if incremental {
            let path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
            let codec = ChunkCodec::<DeltaDiscoveryResponse>::default();
            let mut answers =
                grpc.streaming(requests, PathAndQuery::from_static(path), codec).await?.into_inner();
            while let Some(answer) = answers.message().await? {
                let wanted = self.cache().apart(&answer, refuses && answer.type_url == routes);
                seen(self.number, &self.cache(), Instant::now());
                follow(wanted).await;
            }
        } else {
            let path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";
            let codec = ChunkCodec::<DiscoveryResponse>::default();
            let mut answers =
                grpc.streaming(requests, PathAndQuery::from_static(path), codec).await?.into_inner();
            while let Some(answer) = answers.message().await? {
                let wanted = self.cache().whole(&answer, refuses && answer.type_url == routes);
                seen(self.number, &self.cache(), Instant::now());
                follow(wanted).await;
            }
        }
        Ok(())
    }
}

/// A connection to a service.
///
/// # Errors
/// It does not come up in time.
pub async fn dial(service: SocketAddr) -> Result<Channel, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{service}"));
    let endpoint = endpoint.map_err(|fault| Status::internal(fault.to_string()))?;
    let dialled = timeout(DIAL, endpoint.tcp_nodelay(true).connect()).await;
    let dialled = dialled.map_err(|_| Status::deadline_exceeded("no connection"))?;
    dialled.map_err(|fault| Status::unavailable(fault.to_string()))
}

fn encode(ask: &Wanted) -> Vec<Bytes> {
    vec![Bytes::from(match ask {
        Wanted::Whole(ask) => ask.encode_to_vec(),
        Wanted::Apart(ask) => ask.encode_to_vec(),
    })]
}

/// Sends load reports as they come, until the service ends the stream; its status then.
///
/// # Errors
/// Why the stream ended.
pub async fn report(
    service: SocketAddr, mut reports: mpsc::Receiver<LoadStatsRequest>,
) -> Result<(), Status> {
    let (sends, sent) = mpsc::channel(4);
    let mut grpc = Grpc::new(dial(service).await?);
    grpc.ready().await.map_err(|fault| Status::unavailable(fault.to_string()))?;
    let Some(first) = reports.recv().await else { return Ok(()) };
    let _ = sends.send(vec![Bytes::from(first.encode_to_vec())]).await;
    let path = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";
    let requests = tonic::Request::new(ReceiverStream::new(sent));
    let codec = ChunkCodec::<LoadStatsResponse>::default();
    let mut answers = grpc.streaming(requests, PathAndQuery::from_static(path), codec).await?.into_inner();
    loop {
        select! {
            answer = answers.message() => if answer?.is_none() { return Ok(()) },
            report = reports.recv() => match report {
                Some(report) => drop(sends.send(vec![Bytes::from(report.encode_to_vec())]).await),
                None => return Ok(()),
            },
        }
    }
}

/// How the txns of a stand-in went: by cluster, a share that fails and the mean time of the others in ms.
pub type Goes = Arc<dyn Fn(&str) -> (f64, f64) + Send + Sync>;

/// Hosts that one report names in each cluster at most: a proxy meets few in a second.
const HOSTS_REPORTED: usize = 5;

/// A load report over a second in which so many txns of each product went by what a cache holds.
pub fn loads(
    cache: &Cache, node: &str, products: &[&str], txns: u64, goes: &Goes, rng: &mut Pcg64Mcg,
) -> LoadStatsRequest {
    let mut clusters = Vec::new();
    for product in products {
        for (cluster, part) in cache.way(product, false).map(|way| way.parts.clone()).unwrap_or_default() {
            let (hosts, _) = cache.hosts(&cluster);
            let hosts: Vec<_> = hosts.into_iter().filter(|host| host.healthy).collect();
            let count = (txns as f64 * f64::from(part) / 1e6 + rng.random::<f64>()) as u64;
            if hosts.is_empty() || count == 0 {
                continue;
            }
            let (fails, took) = goes(&cluster);
            let first = rng.random_range(0..hosts.len());
            let mut reported = BTreeMap::new();
            for n in 0..count {
                let host = &hosts[(first + n as usize % HOSTS_REPORTED) % hosts.len()];
                let sums: &mut (u64, u64) = reported.entry(host.addr).or_default();
                if rng.random::<f64>() < fails { sums.1 += 1 } else { sums.0 += 1 }
            }
            let stats = reported.into_iter().map(|(addr, (settled, failed))| UpstreamEndpointStats {
                address: Some(to_xds_address(addr)),
                total_successful_requests: settled,
                total_error_requests: failed,
                total_issued_requests: settled + failed,
                load_metric_stats: vec![EndpointLoadMetricStats {
                    metric_name: LATENCY_METRIC.to_string(),
                    num_requests_finished_with_metric: settled,
                    total_metric_value: took * settled as f64,
                }],
                ..UpstreamEndpointStats::default()
            });
            let locality = UpstreamLocalityStats {
                upstream_endpoint_stats: stats.collect(),
                ..UpstreamLocalityStats::default()
            };
            clusters.push(ClusterStats {
                cluster_name: cluster,
                upstream_locality_stats: vec![locality],
                load_report_interval: Some(Span { seconds: 1, nanos: 0 }),
                ..ClusterStats::default()
            });
        }
    }
    let node = Some(Node { id: node.to_string(), ..Node::default() });
    LoadStatsRequest { node, cluster_stats: clusters }
}

impl Proxy {
    /// Reports once a second, as long as it is not cut off, how so many txns a second went.
    pub async fn reports(
        self, mut orders: watch::Receiver<Orders>, seed: u64, products: &'static [&'static str], txns: u64,
        goes: Goes,
    ) {
        let mut rng =
            Pcg64Mcg::seed_from_u64(seed ^ (self.number as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d));
        let node = format!("proxy-{}", self.number);
        loop {
            let order = orders.borrow_and_update().clone();
            if order.ends {
                return;
            }
            if let Some(service) = order.service {
                let (sends, sent) = mpsc::channel(1);
                let sending = async {
                    sleep(Duration::from_millis(rng.random_range(0..1000))).await;
                    loop {
                        let report = loads(&self.cache(), &node, products, txns, &goes, &mut rng);
                        if sends.send(report).await.is_err() {
                            return;
                        }
                        sleep(Duration::from_secs(1)).await;
                    }
                };
                select! {
                    _ = report(service, sent) => sleep(AGAIN).await,
                    () = sending => {}
                    changed = orders.changed() => if changed.is_err() { return },
                }
            } else if orders.changed().await.is_err() {
                return;
            }
        }
    }
}
