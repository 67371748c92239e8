//! The gRPC server: accepts connections from allowed networks and runs one task for each stream.
//!
//! It makes no decisions: streams are [`Stream`](crate::stream::Stream) state machines, and the receiver of the
//! [`ServerEvent`]s decides when a stream may begin and whether a load report is valid.
//!
//! - `context`: the events, counters and inputs of all streams.
//! - `connections`: accepts and counts connections.
//! - `services`: maps gRPC paths to streams.
//! - `discovery_method`: the discovery methods and their paths.
//! - `stream_task`: the task of a stream, its first request, and its admission.
//! - `discovery`: discovery streams.
//! - `load_reports`: streams of load reports.

mod connections;
mod context;
mod discovery;
mod discovery_method;
mod load_reports;
mod services;
mod stream_task;

pub use context::{LoadReportRejected, SentCounters, ServerContext, ServerEvent};

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

/// Serves proxies from the `allowed` networks until the transport fails.
///
/// # Errors
/// The error of the transport.
pub async fn serve(
    listener: TcpListener, allowed: Vec<IpNet>, max_streams: usize, context: ServerContext,
) -> io::Result<()> {
    let (accepted, incoming) = mpsc::channel(MAX_QUEUED_CONNECTIONS);
    let connection_limits =
        ConnectionLimits { allowed, max_connections: limits::max_connections(max_streams) };
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
