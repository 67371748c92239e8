//! An xDS proxy on a socket. Cached resources are retained while the proxy is disconnected, and their versions are
//! reported when it reconnects.

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
use std::ops::Range;
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

/// The backoff doubles after each failed stream up to this, before jitter.
pub(crate) const MAX_RECONNECT_BACKOFF: Duration = Duration::from_secs(1);
/// The initial backoff is the longest one divided by this.
const INITIAL_BACKOFF_DIVISOR: u32 = 10;
/// Each backoff is multiplied by a random factor of this range.
const BACKOFF_JITTER: Range<f64> = 0.2..1.0;
/// Maps proxy numbers to distant seeds.
const PROXY_SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const MAX_QUEUED_REQUESTS: usize = 64;
/// The gRPC path of the aggregated discovery service (ADS) in its incremental form.
const DELTA_PATH: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
/// The gRPC path of the aggregated discovery service (ADS) in its full form, "state of the world".
const FULL_PATH: &str = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources";

/// The behavior of a proxy; it can be changed while the proxy runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyBehavior {
    /// The control service to connect to; `None` disconnects the proxy.
    pub service: Option<SocketAddr>,
    /// Set when the proxy rejects (NACK) every response with routes.
    pub rejects_routes: bool,
    /// Incremented to reconnect: each change of the behavior closes the stream and opens a new one.
    pub reconnects: u64,
    /// Set to stop the proxy permanently.
    pub is_stopped: bool,
}

/// The behavior of a proxy that has a service to connect to.
#[derive(Clone, Copy)]
pub(crate) struct ConnectedBehavior {
    pub(crate) service: SocketAddr,
    pub(crate) rejects_routes: bool,
}

/// Waits until a proxy has a service to connect to. `None` if the proxy is stopped, or the sender of its behavior is
/// dropped.
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

/// Called after each applied or rejected response with the number of the proxy, its resources, which are locked
/// meanwhile, and the time.
pub type ResponseObserver = Arc<dyn Fn(usize, &ResourceCache, Instant) + Send + Sync>;

/// A proxy. Clones share one cache.
#[derive(Clone)]
pub struct FakeProxy {
    /// The number of the proxy among those of a test; part of the node id and of the seed.
    pub number: usize,
    cache: Arc<Mutex<ResourceCache>>,
}

impl FakeProxy {
    /// A proxy without resources, whose streams have the incremental or the full form.
    pub fn new(number: usize, incremental: bool) -> Self {
        let cache = ResourceCache::new(&node_id(number), incremental);
        FakeProxy { number, cache: Arc::new(Mutex::new(cache)) }
    }

    /// The node id of the proxy in xDS requests.
    pub(crate) fn node(&self) -> String {
        node_id(self.number)
    }

    /// Locks the cached resources.
    pub fn cache(&self) -> MutexGuard<'_, ResourceCache> {
        lock_ignoring_poison(&self.cache)
    }

    /// Opens streams and applies responses, until the behavior stops the proxy or the sender of `behavior` is dropped.
    /// `seed` determines the jitter of the backoff between streams.
    pub async fn run(
        self, mut behavior: watch::Receiver<ProxyBehavior>, seed: u64, observer: ResponseObserver,
    ) {
        let proxy_seed = seed ^ (self.number as u64).wrapping_mul(PROXY_SEED_MULTIPLIER);
        let mut rng = Pcg64Mcg::seed_from_u64(proxy_seed);
        let initial_backoff = MAX_RECONNECT_BACKOFF / INITIAL_BACKOFF_DIVISOR;
        let mut backoff = initial_backoff;
        loop {
            let Some(connected) = wait_for_service(&mut behavior).await else { return };
            select! {
                result = self.run_stream(connected, &observer) => {
                    backoff =
                        if result.is_ok() { initial_backoff } else { (backoff * 2).min(MAX_RECONNECT_BACKOFF) };
                }
                changed = behavior.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
            }
            sleep(backoff.mul_f64(rng.random_range(BACKOFF_JITTER))).await;
        }
    }

    /// Opens one stream and applies its responses until the stream is closed.
    async fn run_stream(
        &self, connected: ConnectedBehavior, observer: &ResponseObserver,
    ) -> Result<(), Status> {
        let channel = connect(connected.service).await?;
        let (requests, request_stream) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let initial_requests = self.cache().initial_requests();
        send_all(&requests, initial_requests).await;
        let mut grpc = Grpc::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES);
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

/// Receives the responses of one stream and sends the next requests.
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

/// Opens a connection to a control service.
///
/// # Errors
/// The connection is refused, or is not opened within 3 s.
pub async fn connect(service: SocketAddr) -> Result<Channel, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{service}"))
        .map_err(|error| Status::internal(error.to_string()))?;
    match timeout(CONNECT_TIMEOUT, endpoint.tcp_nodelay(true).connect()).await {
        Ok(connection) => connection.map_err(|error| Status::unavailable(error.to_string())),
        Err(_) => Err(Status::deadline_exceeded("connection not opened within the timeout")),
    }
}
