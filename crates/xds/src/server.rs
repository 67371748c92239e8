//! The gRPC driver: connections from allowed networks, one task for each stream. It decides nothing: streams are
//! [`Stream`], their turn is told by whoever holds the other end of [`ServerEvent`].

use crate::codec::ChunkCodec;
use crate::load_stats;
use crate::pb::envoy::config::core::v3::Node;
use crate::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::pb::envoy::service::load_stats::v3::{LoadStatsRequest, LoadStatsResponse};
use crate::pb::google::protobuf::Duration as Span;
use crate::resources::{ResourceSnapshot, ResourceType};
use crate::stream::{MAX_NODE_ID_LENGTH, Stream, StreamError, StreamEvent, SubscriptionRequest};
use bytes::Bytes;
use ipnet::IpNet;
use latchhaven_proxy_config::load_reports::ProxyReport;
use latchhaven_proxy_config::share_ledger::CanaryShares;
use latchhaven_proxy_config::version::VersionSigner;
use prost::Message;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};
use tonic::server::{Grpc, StreamingService};
use tonic::{Request, Response, Status, Streaming};

/// Bytes of one request: a proxy that holds every host of a large fleet names them all in its first one.
const REQUEST_MOST: usize = 4 << 20;
/// A stream on which nothing was asked by then ends.
const FIRST: Duration = Duration::from_secs(5);
/// A stream waits for its turn so long at most.
const TURN: Duration = Duration::from_secs(30);
/// How often a silent connection is asked for a sign of life, and how long that is waited for.
const ALIVE: Duration = Duration::from_secs(10);
const ALIVE_WITHIN: Duration = Duration::from_secs(5);
/// A proxy that comes back has so long to name what it holds before it is sent clusters.
const NAMING: Duration = Duration::from_secs(1);
/// Streams on one connection: discovery, loads, and single types.
const STREAMS: u32 = 16;
/// Connections that say nothing may be held too: this many for each stream that may be open.
const CONNECTIONS_A_STREAM: usize = 2;
/// Proxies are to report their loads so often.
const REPORT_EVERY: Span = Span { seconds: 1, nanos: 0 };
/// When no connection can be accepted, the next try is after this.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Bytes that a reader may be behind before nothing more is handed to its connection.
const WINDOW: u32 = 1 << 20;

/// What the streams tell.
pub enum ServerEvent {
    /// A stream of a proxy wants to begin, one of discovery or of loads; answered when it is its turn.
    StreamOpened {
        stream: u64,
        node: String,
        reports_loads: bool,
        admitted: oneshot::Sender<Result<(), Status>>,
    },
    /// What a stream has learnt.
    StreamEvents { stream: u64, events: Vec<StreamEvent> },
    /// Routes with these shares of the trial go out.
    RoutesSent { stream: u64, canary_shares: CanaryShares },
    /// A load report; answered with what is wrong with it.
    LoadReport { stream: u64, report: ProxyReport, result: oneshot::Sender<Result<(), String>> },
    /// A stream ended.
    StreamClosed { stream: u64 },
}

/// Figures for operators.
#[derive(Debug, Default)]
pub struct SentCounters {
    pub messages: AtomicU64,
    pub bytes: AtomicU64,
    pub incremental_messages: AtomicU64,
    pub incremental_bytes: AtomicU64,
}

/// What every stream needs.
#[derive(Clone)]
pub struct ServerContext {
    pub snapshots: watch::Receiver<Option<Arc<ResourceSnapshot>>>,
    pub events: mpsc::Sender<ServerEvent>,
    pub signer: VersionSigner,
    pub classes: Arc<Vec<String>>,
    pub counters: Arc<SentCounters>,
}

/// Serves proxies until the listener fails for good.
///
/// # Errors
/// What ended it.
pub async fn serve(
    listener: TcpListener, allowed: Vec<IpNet>, streams_most: usize, ground: ServerContext,
) -> io::Result<()> {
    let (accepted, incoming) = mpsc::channel(64);
    let open = Arc::new(AtomicUsize::new(0));
    let accepting = async move {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(ACCEPT_AGAIN).await;
                continue;
            };
            // Checked before anything is read: who may not connect costs no more than this.
            if !allowed.iter().any(|network| network.contains(&from.ip().to_canonical())) {
                tracing::debug!(%from, "connection from a network that is not allowed");
                continue;
            }
            if open.load(Ordering::Relaxed) >= streams_most * CONNECTIONS_A_STREAM {
                tracing::debug!(%from, "too many connections");
                continue;
            }
            let _ = stream.set_nodelay(true);
            let counted = Counted::new(stream, open.clone());
            if accepted.send(Ok::<_, io::Error>(counted)).await.is_err() {
                return;
            }
        }
    };
    let server = tonic::transport::Server::builder()
        .max_concurrent_streams(STREAMS)
        .http2_keepalive_interval(Some(ALIVE))
        .http2_keepalive_timeout(Some(ALIVE_WITHIN))
        .initial_stream_window_size(WINDOW)
        .serve_with_incoming(ListenerConfig { ground, next: Arc::default() }, ReceiverStream::new(incoming));
    select! {
        () = accepting => Ok(()),
        served = server => served.map_err(io::Error::other),
    }
}

/// A connection that is counted while it lasts.
struct Counted {
    stream: TcpStream,
    open: Arc<AtomicUsize>,
}

impl Counted {
    fn new(stream: TcpStream, open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Counted { stream, open }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl tonic::transport::server::Connected for Counted {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl tokio::io::AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl tokio::io::AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// All services by their paths.
#[derive(Clone)]
struct ListenerConfig {
    ground: ServerContext,
    next: Arc<AtomicU64>,
}

/// What a path asks for: incremental, and which type alone.
fn discovery(path: &str) -> Option<(bool, Option<ResourceType>)> {
    let (service, method) = path.strip_prefix("/envoy.service.")?.split_once('/')?;
    let kind = match service {
        "discovery.v3.AggregatedDiscoveryService" => None,
        "cluster.v3.ClusterDiscoveryService" => Some(ResourceType::Cluster),
        "endpoint.v3.EndpointDiscoveryService" => Some(ResourceType::Endpoint),
        "endpoint.v3.LocalityEndpointDiscoveryService" => Some(ResourceType::LbEndpoint),
        "listener.v3.ListenerDiscoveryService" => Some(ResourceType::Listener),
        "route.v3.RouteDiscoveryService" => Some(ResourceType::Route),
        _ => return None,
    };
    match method {
        "StreamAggregatedResources"
        | "StreamClusters"
        | "StreamEndpoints"
        | "StreamListeners"
        | "StreamRoutes" => (kind != Some(ResourceType::LbEndpoint)).then_some((false, kind)),
        "DeltaAggregatedResources"
        | "DeltaClusters"
        | "DeltaEndpoints"
        | "DeltaLocalityEndpoints"
        | "DeltaListeners"
        | "DeltaRoutes" => Some((true, kind)),
        _ => None,
    }
}

impl Service<http::Request<Body>> for ListenerConfig {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Infallible>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let ground = self.ground.clone();
        let stream = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let path = request.uri().path().to_string();
        Box::pin(async move {
            if path == "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats" {
                let mut grpc = grpc::<LoadStatsRequest>();
                return Ok(grpc.streaming(Loads { ground, stream }, request).await);
            }
            match discovery(&path) {
                Some((incremental, only)) => {
                    let discovery = Discovery { ground, stream, incremental, only };
                    Ok(match incremental {
                        true => grpc::<DeltaDiscoveryRequest>().streaming(discovery, request).await,
                        false => grpc::<DiscoveryRequest>().streaming(discovery, request).await,
                    })
                }
                None => Ok(Status::unimplemented(format!("'{path}' is not served here")).into_http()),
            }
        })
    }
}

type Sender = mpsc::Sender<Result<Vec<Bytes>, Status>>;
type Answers = ReceiverStream<Result<Vec<Bytes>, Status>>;
type Answering = Pin<Box<dyn Future<Output = Result<Response<Answers>, Status>> + Send>>;

fn grpc<T: Message + Default + Send + 'static>() -> Grpc<ChunkCodec<T>> {
    Grpc::new(ChunkCodec::default()).max_decoding_message_size(REQUEST_MOST)
}

/// A node's id, and what it says of what it can.
fn told_of(node: Option<Node>) -> (Option<String>, Vec<String>) {
    node.map_or((None, Vec::new()), |node| (Some(node.id), node.client_features))
}

impl From<DiscoveryRequest> for SubscriptionRequest {
    fn from(request: DiscoveryRequest) -> SubscriptionRequest {
        let (node, features) = told_of(request.node);
        SubscriptionRequest {
            type_url: request.type_url,
            node,
            features,
            names: request.resource_names,
            nonce: request.response_nonce,
            version: request.version_info,
            error: request.error_detail.map(|error| error.message),
            ..SubscriptionRequest::default()
        }
    }
}

impl From<DeltaDiscoveryRequest> for SubscriptionRequest {
    fn from(request: DeltaDiscoveryRequest) -> SubscriptionRequest {
        let (node, features) = told_of(request.node);
        SubscriptionRequest {
            type_url: request.type_url,
            node,
            features,
            names: request.resource_names_subscribe,
            unsubscribed: request.resource_names_unsubscribe,
            nonce: request.response_nonce,
            initial_versions: request.initial_resource_versions.into_iter().collect(),
            error: request.error_detail.map(|error| error.message),
            ..SubscriptionRequest::default()
        }
    }
}

struct Discovery {
    ground: ServerContext,
    stream: u64,
    incremental: bool,
    only: Option<ResourceType>,
}

impl<R: Into<SubscriptionRequest> + Send + 'static> StreamingService<R> for Discovery {
    type Response = Vec<Bytes>;
    type ResponseStream = Answers;
    type Future = Answering;

    fn call(&mut self, request: Request<Streaming<R>>) -> Answering {
        let (ground, number, incremental) = (self.ground.clone(), self.stream, self.incremental);
        let stream = Stream::new(incremental, self.only, ground.signer.clone());
        carry(ground.events.clone(), number, async move |answers| {
            discover(request.into_inner(), stream, number, incremental, ground, &answers).await
        })
    }
}

/// Carries a stream until it ends, on a task of its own, and tells of its end.
fn carry<F>(
    told: mpsc::Sender<ServerEvent>, stream: u64, work: impl FnOnce(Sender) -> F + Send + 'static,
) -> Answering
where
    F: Future<Output = Result<(), Status>> + Send + 'static,
{
    Box::pin(async move {
        // One answer on its way: more would be a queue of old ones behind a slow reader.
        let (answers, stream_of_answers) = mpsc::channel(1);
        tokio::spawn(async move {
            let ended = work(answers.clone()).await;
            let _ = told.send(ServerEvent::StreamClosed { stream }).await;
            if let Err(status) = ended {
                let _ = answers.send(Err(status)).await;
            }
        });
        Ok(Response::new(ReceiverStream::new(stream_of_answers)))
    })
}

fn status(fault: StreamError) -> Status {
    match fault {
        StreamError::Invalid(what) => Status::invalid_argument(what),
        StreamError::ResourceExhausted(what) => Status::resource_exhausted(what),
    }
}

async fn discover<R: Into<SubscriptionRequest>>(
    mut asks: Streaming<R>, mut stream: Stream, number: u64, incremental: bool, mut ground: ServerContext,
    answers: &Sender,
) -> Result<(), Status> {
    let Some(ask) = first(&mut asks).await? else { return Ok(()) };
    stream.on_request(ask.into()).map_err(status)?;
    let node = stream.node().unwrap_or_default().to_string();
    knock(&ground.events, number, node, false).await?;
    let (mut naming, mut named) = (std::pin::pin!(sleep(NAMING)), false);
    // Set where nothing is to be said until something is asked or decided.
    let mut quiet = false;
    loop {
        let said = stream.take_events();
        if !said.is_empty() {
            ground
                .events
                .send(ServerEvent::StreamEvents { stream: number, events: said })
                .await
                .map_err(over)?;
        }
        select! {
            biased;
            ask = asks.message() => {
                let Some(ask) = ask? else { return Ok(()) };
                stream.on_request(ask.into()).map_err(status)?;
                quiet = false;
            }
            // An answer is chosen only once there is room for it: it is the newest then.
            room = answers.reserve(), if !quiet => {
                let Ok(room) = room else { return Ok(()) };
                let newest = ground.snapshots.borrow_and_update().clone();
                let answer = newest.as_ref().and_then(|snapshot| stream.next_response(snapshot));
                quiet = answer.is_none();
                let Some(answer) = answer else { continue };
                if let Some(trial) = answer.canary_shares {
                    ground.events.send(ServerEvent::RoutesSent { stream: number, canary_shares: trial }).await.map_err(over)?;
                }
                let (messages, bytes) = match incremental {
                    true => (&ground.counters.incremental_messages, &ground.counters.incremental_bytes),
                    false => (&ground.counters.messages, &ground.counters.bytes),
                };
                messages.fetch_add(1, Ordering::Relaxed);
                bytes.fetch_add(answer.chunks.iter().map(Bytes::len).sum::<usize>() as u64, Ordering::Relaxed);
                room.send(Ok(answer.chunks));
            }
            changed = ground.snapshots.changed() => {
                changed.map_err(over)?;
                quiet = false;
            }
            () = &mut naming, if !named => {
                (named, quiet) = (true, false);
                stream.end_naming_grace();
            }
        }
    }
}

/// What is told to a stream whose other end in the service is gone.
fn over<E>(_: E) -> Status {
    Status::unavailable("the control service ends")
}

/// The first request of a stream, if it comes in time; none: the stream ended.
async fn first<R>(asks: &mut Streaming<R>) -> Result<Option<R>, Status> {
    timeout(FIRST, asks.message()).await.map_err(|_| Status::deadline_exceeded("nothing was asked"))?
}

async fn knock(
    told: &mpsc::Sender<ServerEvent>, stream: u64, node: String, loads: bool,
) -> Result<(), Status> {
    let (turn, turned) = oneshot::channel();
    told.send(ServerEvent::StreamOpened { stream, node, reports_loads: loads, admitted: turn })
        .await
        .map_err(over)?;
    match timeout(TURN, turned).await {
        Ok(turn) => turn.map_err(over)?,
        Err(_) => Err(Status::resource_exhausted("too many begin at once: come again later")),
    }
}

struct Loads {
    ground: ServerContext,
    stream: u64,
}

impl StreamingService<LoadStatsRequest> for Loads {
    type Response = Vec<Bytes>;
    type ResponseStream = Answers;
    type Future = Answering;

    fn call(&mut self, request: Request<Streaming<LoadStatsRequest>>) -> Answering {
        let (ground, number) = (self.ground.clone(), self.stream);
        carry(ground.events.clone(), number, async move |answers| {
            report(request.into_inner(), number, ground, &answers).await
        })
    }
}

async fn report(
    mut reports: Streaming<LoadStatsRequest>, number: u64, ground: ServerContext, answers: &Sender,
) -> Result<(), Status> {
    let Some(first) = first(&mut reports).await? else { return Ok(()) };
    let node = first.node.map(|node| node.id).unwrap_or_default();
    if node.is_empty() || node.len() > MAX_NODE_ID_LENGTH {
        return Err(Status::invalid_argument("node.id: missing or too long"));
    }
    knock(&ground.events, number, node, true).await?;
    let wanted = LoadStatsResponse {
        send_all_clusters: true,
        load_reporting_interval: Some(REPORT_EVERY),
        report_endpoint_granularity: true,
        ..LoadStatsResponse::default()
    };
    if answers.send(Ok(vec![Bytes::from(wanted.encode_to_vec())])).await.is_err() {
        return Ok(());
    }
    while let Some(request) = reports.message().await? {
        let report =
            load_stats::parse_load_report(&request, &ground.classes).map_err(Status::invalid_argument)?;
        let (sound, heard) = oneshot::channel();
        ground
            .events
            .send(ServerEvent::LoadReport { stream: number, report, result: sound })
            .await
            .map_err(over)?;
        heard.await.map_err(over)?.map_err(Status::invalid_argument)?;
    }
    Ok(())
}
