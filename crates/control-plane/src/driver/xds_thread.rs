//! Serves proxies on separate threads, so that writing full states to many proxies does not delay the event loop,
//! which runs on one thread without locks. The channels of [`ServerContext`] connect the two.

use crate::limits;
use ipnet::IpNet;
use latchhaven_xds::server::{self, ServerContext};
use std::io;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// The listener of the xDS server, and its limits.
pub(super) struct XdsListener {
    /// A bound listener in non-blocking mode.
    pub(super) listener: std::net::TcpListener,
    /// Connections from other networks are rejected.
    pub(super) allowed_networks: Vec<IpNet>,
    /// Limit of the streams; the limit of connections follows from it.
    pub(super) max_streams: usize,
}

/// Starts the threads of the xDS server. The receiver gets the result of the server when it stops.
pub(super) fn spawn(
    xds: XdsListener, context: ServerContext,
) -> io::Result<oneshot::Receiver<io::Result<()>>> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = limits::xds_threads(processors);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let (result_sender, result_receiver) = oneshot::channel();
    std::thread::spawn(move || {
        let result = runtime.block_on(async {
            let listener = TcpListener::from_std(xds.listener)?;
            server::serve(listener, xds.allowed_networks, xds.max_streams, context).await
        });
        let _ = result_sender.send(result);
    });
    Ok(result_receiver)
}
