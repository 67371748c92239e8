//! Maps gRPC paths to streams.

use super::ServerContext;
use super::discovery::DiscoveryService;
use super::load_reports::LoadReportingService;
use crate::codec::ChunkCodec;
use crate::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use crate::resources::ResourceType;
use prost::Message;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};
use tonic::server::Grpc;

/// Bytes of one request: a proxy that holds every endpoint of a large fleet names them all in its first one.
const MAX_REQUEST_LENGTH: usize = 4 << 20;
/// The path of load reports.
const LOAD_REPORTS_PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

/// All gRPC services by their paths.
#[derive(Clone)]
pub(super) struct XdsServices {
    context: ServerContext,
    /// The number of the last stream.
    last_stream: Arc<AtomicU64>,
}

impl XdsServices {
    pub(super) fn new(context: ServerContext) -> Self {
        XdsServices { context, last_stream: Arc::default() }
    }
}

impl Service<http::Request<Body>> for XdsServices {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Infallible>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let stream_number = self.last_stream.fetch_add(1, Ordering::Relaxed) + 1;
        Box::pin(handle(request, self.context.clone(), stream_number))
    }
}

async fn handle(
    request: http::Request<Body>, context: ServerContext, stream_number: u64,
) -> Result<http::Response<Body>, Infallible> {
    let path = request.uri().path();
    if path == LOAD_REPORTS_PATH {
        let service = LoadReportingService { context, stream_number };
        return Ok(grpc::<LoadStatsRequest>().streaming(service, request).await);
    }
    let Some(method) = DiscoveryMethod::from_path(path) else {
        return Ok(Status::unimplemented(format!("'{path}' is not served here")).into_http());
    };
    let service = DiscoveryService { context, stream_number, method };
    if method.incremental {
        Ok(grpc::<DeltaDiscoveryRequest>().streaming(service, request).await)
    } else {
        Ok(grpc::<DiscoveryRequest>().streaming(service, request).await)
    }
}

fn grpc<T: Message + Default + Send + 'static>() -> Grpc<ChunkCodec<T>> {
    Grpc::new(ChunkCodec::default()).max_decoding_message_size(MAX_REQUEST_LENGTH)
}

/// What a path asks for.
#[derive(Clone, Copy)]
pub(super) struct DiscoveryMethod {
    /// The incremental form of the protocol.
    pub(super) incremental: bool,
    /// The only type on the stream; none: all types.
    pub(super) only_type: Option<ResourceType>,
}

impl DiscoveryMethod {
    fn from_path(path: &str) -> Option<DiscoveryMethod> {
        let (service, method) = path.strip_prefix("/envoy.service.")?.split_once('/')?;
        let only_type = match service {
            "discovery.v3.AggregatedDiscoveryService" => None,
            "cluster.v3.ClusterDiscoveryService" => Some(ResourceType::Cluster),
            "endpoint.v3.EndpointDiscoveryService" => Some(ResourceType::Endpoint),
            "endpoint.v3.LocalityEndpointDiscoveryService" => Some(ResourceType::LbEndpoint),
            "listener.v3.ListenerDiscoveryService" => Some(ResourceType::Listener),
            "route.v3.RouteDiscoveryService" => Some(ResourceType::Route),
            _ => return None,
        };
        let incremental = match method {
            "StreamAggregatedResources"
            | "StreamClusters"
            | "StreamEndpoints"
            | "StreamListeners"
            | "StreamRoutes" => false,
            "DeltaAggregatedResources"
            | "DeltaClusters"
            | "DeltaEndpoints"
            | "DeltaLocalityEndpoints"
            | "DeltaListeners"
            | "DeltaRoutes" => true,
            _ => return None,
        };
        // Single endpoints exist in the incremental form only.
        let is_served = incremental || only_type != Some(ResourceType::LbEndpoint);
        is_served.then_some(DiscoveryMethod { incremental, only_type })
    }
}
