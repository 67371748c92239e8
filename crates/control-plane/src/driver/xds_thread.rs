//! Serves proxies on threads of their own: writing full states to many proxies must not delay the decisions, which
//! run on one thread without locks. Two channels connect the threads.

use crate::limits;
use ipnet::IpNet;
use latchhaven_xds::server::{self, ServerContext};
use std::io;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// The listener of the xDS server, and its limits.
pub(super) struct XdsListener {
    pub(super) listener: std::net::TcpListener,
    pub(super) allowed_networks: Vec<IpNet>,
    pub(super) max_streams: usize,
}

/// Starts the threads. The receiver gets the result of the server when it ends.
pub(super) fn spawn(
    xds: XdsListener, context: ServerContext,
) -> io::Result<oneshot::Receiver<io::Result<()>>> {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    let threads = limits::xds_threads(processors);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let (result_sender, result) = oneshot::channel();
    std::thread::spawn(move || {
        let served = runtime.block_on(async {
            let listener = TcpListener::from_std(xds.listener)?;
            server::serve(listener, xds.allowed_networks, xds.max_streams, context).await
        });
        let _ = result_sender.send(served);
    });
    Ok(result)
}
