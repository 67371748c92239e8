//! The gRPC server: accepts connections from the allowed networks and runs one task for each stream.
//!
//! The server makes no decisions. [`Stream`](crate::stream::Stream) state machines select the responses, and the
//! receiver of the [`ServerEvent`]s admits streams and validates load reports.
//!
//! - `context`: the events, counters and inputs that all streams share.
//! - `connections`: accepts connections and limits their number.
//! - `services`: starts the stream that the path of a gRPC call names.
//! - `discovery_method`: the discovery methods and their paths.
//! - `stream_task`: what discovery and load report streams have in common: the task, the first request, admission.
//! - `discovery`: discovery streams (xDS).
//! - `load_reports`: load report streams (LRS).

mod connections;
mod context;
mod discovery;
mod discovery_method;
mod load_reports;
mod services;
mod stream_task;

pub use context::{LoadReportRejected, SentCounters, ServerContext, ServerEvent, StreamKind};

use crate::limits::{
    self, KEEPALIVE_INTERVAL, KEEPALIVE_TIMEOUT, MAX_QUEUED_CONNECTIONS, MAX_STREAMS_PER_CONNECTION,
    STREAM_WINDOW_BYTES,
};
use connections::ConnectionLimits;
use ipnet::IpNet;
use services::XdsServices;
use std::io;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Serves proxies until the transport fails. Closes connections from outside `allowed_networks`, and new connections
/// while too many are open; that limit is a multiple of `max_streams`.
///
/// # Errors
/// Returns the error of the transport.
pub async fn serve(
    listener: TcpListener, allowed_networks: Vec<IpNet>, max_streams: usize, context: ServerContext,
) -> io::Result<()> {
    let (accepted, incoming) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    let connection_limits =
        ConnectionLimits { allowed_networks, max_connections: limits::max_connections(max_streams) };
    let accepting = connections::accept(listener, connection_limits, accepted);
    let grpc_server = tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .serve_with_incoming(XdsServices::new(context), ReceiverStream::new(incoming));
    select! {
        () = accepting => Ok(()),
        result = grpc_server => result.map_err(io::Error::other),
    }
}
