//! An xDS proxy on a socket. It retains its resources while it is disconnected, and reports them when it reconnects.

use crate::lock_ignoring_poison;
use crate::resource_cache::{CacheRequest, ResourceCache};
use bytes::Bytes;
use latchhaven_xds::codec::ChunkCodec;
use latchhaven_xds::pb::envoy::service::discovery::v3::{DeltaDiscoveryResponse, DiscoveryResponse};
use latchhaven_xds::resources::ResourceType;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status, Streaming};

/// The longest interval between two attempts to reconnect; it doubles from a tenth of this, with jitter.
pub(crate) const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
/// The first interval is the longest one divided by this.
const FIRST_INTERVAL_DIVISOR: u32 = 10;
/// The longest time in which a connection is opened.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of one response at most.
const MAX_RESPONSE_LENGTH: usize = 64 << 20;
/// Requests that are queued at most.
const MAX_QUEUED_REQUESTS: usize = 64;
/// The path of incremental aggregated streams.
const DELTA_PATH: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// The path of full aggregated streams.
const FULL_PATH: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// The behavior of a proxy; it can be changed while the proxy runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyBehavior {
    /// The service that it connects to; without one it is disconnected.
    pub service: Option<SocketAddr>,
    /// It rejects routes.
    pub rejects_routes: bool,
    /// Increased to start a new stream.
    pub reconnects: u64,
    /// It stops permanently.
    pub is_stopped: bool,
}

/// The behavior of a proxy that has a service to connect to.
#[derive(Clone, Copy)]
pub(crate) struct ConnectedBehavior {
    pub(crate) service: SocketAddr,
    pub(crate) rejects_routes: bool,
}

/// Waits until a proxy has a service to connect to; none if it stops, or its behavior can no longer change.
pub(crate) async fn wait_for_service(
    behavior: &mut watch::Receiver<ProxyBehavior>,
) -> Option<ConnectedBehavior> {
    loop {
        let current = behavior.borrow_and_update().clone();
        if current.is_stopped {
            return None;
        }
        if let Some(service) = current.service {
            return Some(ConnectedBehavior { service, rejects_routes: current.rejects_routes });
        }
        behavior.changed().await.ok()?;
    }
}

/// Called after each response with the number of the proxy, its resources, and the time.
pub type ResponseObserver = Arc<dyn Fn(usize, &ResourceCache, Instant) + Send + Sync>;

/// The proxy.
#[derive(Clone)]
pub struct FakeProxy {
    /// Its number, which its node id contains.
    pub number: usize,
    cache: Arc<Mutex<ResourceCache>>,
}

impl FakeProxy {
    /// A proxy without resources.
    pub fn new(number: usize, incremental: bool) -> Self {
        let cache = ResourceCache::new(&node_id(number), incremental);
        FakeProxy { number, cache: Arc::new(Mutex::new(cache)) }
    }

    /// Its node id.
    pub(crate) fn node(&self) -> String {
        node_id(self.number)
    }

    /// Its resources.
    pub fn cache(&self) -> MutexGuard<'_, ResourceCache> {
        lock_ignoring_poison(&self.cache)
    }

    /// Runs until its behavior stops it, or can no longer change.
    pub async fn run(
        self, mut behavior: watch::Receiver<ProxyBehavior>, seed: u64, observer: ResponseObserver,
    ) {
        let proxy_seed = seed ^ (self.number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut rng = Pcg64Mcg::seed_from_u64(proxy_seed);
        let first_interval = RECONNECT_INTERVAL / FIRST_INTERVAL_DIVISOR;
        let mut interval = first_interval;
        loop {
            let Some(connected) = wait_for_service(&mut behavior).await else { return };
            select! {
                result = self.run_stream(connected, &observer) => {
                    interval =
                        if result.is_ok() { first_interval } else { (interval * 2).min(RECONNECT_INTERVAL) };
                }
                changed = behavior.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
            }
            sleep(interval.mul_f64(rng.random_range(0.2..1.0))).await;
        }
    }

    /// One stream, until it ends.
    async fn run_stream(
        &self, connected: ConnectedBehavior, observer: &ResponseObserver,
    ) -> Result<(), Status> {
        let channel = connect(connected.service).await?;
        let (requests, request_stream) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let initial_requests = self.cache().initial_requests();
        send_all(&requests, initial_requests).await;
        let mut grpc = Grpc::new(channel).max_decoding_message_size(MAX_RESPONSE_LENGTH);
        grpc.ready().await.map_err(|error| Status::unavailable(error.to_string()))?;
        let request = Request::new(ReceiverStream::new(request_stream));
        let rejects_routes = connected.rejects_routes;
        let stream = ProxyStream { proxy: self, requests, rejects_routes, observer };
        if self.is_incremental() {
            let path = PathAndQuery::from_static(DELTA_PATH);
            let codec = ChunkCodec::<DeltaDiscoveryResponse>::default();
            let responses = grpc.streaming(request, path, codec).await?.into_inner();
            stream.receive_incremental(responses).await
        } else {
            let path = PathAndQuery::from_static(FULL_PATH);
            let codec = ChunkCodec::<DiscoveryResponse>::default();
            let responses = grpc.streaming(request, path, codec).await?.into_inner();
            stream.receive_full(responses).await
        }
    }

    fn is_incremental(&self) -> bool {
        self.cache().is_incremental()
    }
}

fn node_id(number: usize) -> String {
    format!("proxy-{number}")
}

/// The receiver of one stream.
struct ProxyStream<'a> {
    proxy: &'a FakeProxy,
    requests: mpsc::Sender<Vec<Bytes>>,
    rejects_routes: bool,
    observer: &'a ResponseObserver,
}

impl ProxyStream<'_> {
    async fn receive_incremental(
        &self, mut responses: Streaming<DeltaDiscoveryResponse>,
    ) -> Result<(), Status> {
        while let Some(response) = responses.message().await? {
            let reject = self.rejects(&response.type_url);
            let next_requests = self.proxy.cache().apply_incremental(&response, reject);
            self.after_response(next_requests).await;
        }
        Ok(())
    }

    async fn receive_full(&self, mut responses: Streaming<DiscoveryResponse>) -> Result<(), Status> {
        while let Some(response) = responses.message().await? {
            let reject = self.rejects(&response.type_url);
            let next_requests = self.proxy.cache().apply_full(&response, reject);
            self.after_response(next_requests).await;
        }
        Ok(())
    }

    fn rejects(&self, type_url: &str) -> bool {
        self.rejects_routes && type_url == ResourceType::Route.url()
    }

    async fn after_response(&self, next_requests: Vec<CacheRequest>) {
        (self.observer)(self.proxy.number, &self.proxy.cache(), Instant::now());
        send_all(&self.requests, next_requests).await;
    }
}

async fn send_all(requests: &mpsc::Sender<Vec<Bytes>>, messages: Vec<CacheRequest>) {
    for message in messages {
        let _ = requests.send(vec![encode(&message)]).await;
    }
}

fn encode(request: &CacheRequest) -> Bytes {
    Bytes::from(match request {
        CacheRequest::Full(request) => request.encode_to_vec(),
        CacheRequest::Incremental(request) => request.encode_to_vec(),
    })
}

/// Opens a connection to a service.
///
/// # Errors
/// It is not opened within the timeout.
pub async fn connect(service: SocketAddr) -> Result<Channel, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{service}"))
        .map_err(|error| Status::internal(error.to_string()))?;
    match timeout(CONNECT_TIMEOUT, endpoint.tcp_nodelay(true).connect()).await {
        Ok(connection) => connection.map_err(|error| Status::unavailable(error.to_string())),
        Err(_) => Err(Status::deadline_exceeded("no connection")),
    }
}
