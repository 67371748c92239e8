//! Starts the stream that the path of a gRPC call names.

use super::context::ServerContext;
use super::discovery::DiscoveryService;
use super::discovery_method::DiscoveryMethod;
use super::load_reports::LoadReportingService;
use crate::codec::ChunkCodec;
use crate::limits::MAX_REQUEST_BYTES;
use crate::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use crate::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use prost::Message;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};
use tonic::server::Grpc;

const LOAD_REPORTS_PATH: &str = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats";

/// The gRPC services of all paths. Each call is one stream.
#[derive(Clone)]
pub(super) struct XdsServices {
    context: ServerContext,
    last_stream_number: Arc<AtomicU64>,
}

impl XdsServices {
    pub(super) fn new(context: ServerContext) -> Self {
        XdsServices { context, last_stream_number: Arc::default() }
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
        let stream_number = self.last_stream_number.fetch_add(1, Ordering::Relaxed) + 1;
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
        return Ok(Status::unimplemented(format!("'{path}' is not implemented")).into_http());
    };
    let service = DiscoveryService { context, stream_number, method };
    if method.incremental {
        Ok(grpc::<DeltaDiscoveryRequest>().streaming(service, request).await)
    } else {
        Ok(grpc::<DiscoveryRequest>().streaming(service, request).await)
    }
}

fn grpc<T: Message + Default + Send + 'static>() -> Grpc<ChunkCodec<T>> {
    Grpc::new(ChunkCodec::default()).max_decoding_message_size(MAX_REQUEST_BYTES)
}
