//! Starts the gateway, handles signals, and shuts it down.

mod bind;
mod signals;

use crate::clock::{Clock, duration};
use crate::config::{self, ConfigError, GatewayConfig};
use crate::counters::COUNTERS;
use crate::gateway::{Gateway, GatewayParts};
use crate::limits::start::DescriptorShares;
use crate::limits::{MAX_PENDING_EVENTS, shutdown};
use crate::net::clients::{Clients, ClientsConfig};
use crate::net::platform;
use crate::net::upstream::UpstreamPool;
use crate::readiness::readiness;
use bind::bind_with_retry;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use signals::{Signals, StopSignals};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, JoinHandle};
use tokio::time::sleep;

/// Why a gateway could not start, or stopped without a signal. The text is printed at the end of the process.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A signal handler cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration is faulty.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listener cannot be bound.
    #[error("listen: {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system reported.
        error: io::Error,
    },
    /// The event loop ended.
    #[error("the gateway ended: {0:?}")]
    EventLoopEnded(Result<(), JoinError>),
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Serves until SIGTERM or SIGINT, within a `LocalSet` on a runtime of one thread. With a `counters_interval` the
/// counters are logged that often; the first time is drawn at random within it, so that gateways started together do
/// not all log at the same moment.
///
/// # Errors
/// The gateway cannot start, or its event loop ended.
pub async fn serve(counters_interval: Option<Duration>) -> Result<(), ServeError> {
    let clock = Clock::start();
    // First: an unhandled signal ends the process.
    let signals = Signals::install().map_err(ServeError::Signals)?;
    let config = config::read(environment)?;
    let address = config.addresses.listen;
    let listen_error = |error| ServeError::Listen { address, error };
    let listener = bind_with_retry(address).await.map_err(listen_error)?;
    let listening = listener.local_addr().map_err(listen_error)?;
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let name = config.addresses.name.clone();
    let endpoints = config.initial_state.list.entries.len();
    let Started { clients, mut gateway } = start(config, signals.reload, clock, &mut rng);
    tracing::info!(name, %listening, servers = endpoints, "gateway started");
    select! {
        () = accept_until_stopped(signals.stop, &clients) => {}
        () = clients.clone().accept(&listener) => {}
        () = signals::print_counters(signals.print_counters) => {}
        () = log_counters(counters_interval, &mut rng) => {}
        ended = &mut gateway => return Err(ServeError::EventLoopEnded(ended)),
    }
    shut_down(&clients, listener, &gateway).await;
    Ok(())
}

/// The tasks of a gateway, except for the listener.
struct Started {
    clients: Rc<Clients>,
    /// The event loop.
    gateway: JoinHandle<()>,
}

/// Starts the event loop and the drivers.
fn start(config: GatewayConfig, reload: Signal, clock: Clock, rng: &mut Pcg64Mcg) -> Started {
    let (events, event_receiver) = mpsc::channel(MAX_PENDING_EVENTS);
    let (platform_sender, platform_address) = watch::channel(config.addresses.platform);
    let connections = config.settings.upstream_connections();
    let vote_timeout = duration(connections.vote_timeout);
    let votes = platform::spawn_tasks(rng, platform_address, vote_timeout, &events);
    tokio::task::spawn_local(signals::reload_config(reload, events.clone(), platform_sender));

    let descriptors = DescriptorShares::of(config.max_descriptors);
    let (readiness_sender, readiness) = readiness();
    let clients = Clients::new(ClientsConfig {
        max_sessions: descriptors.clients,
        classes: config.settings.classes(),
        clock,
        readiness,
        events: events.clone(),
    });
    let gateway = Gateway::new(GatewayParts {
        policy: config.settings.on_sockets().start_policy(config.seed),
        clock,
        pool: UpstreamPool::new(descriptors.endpoints, connections.clone(), events.clone()),
        connection_config: connections,
        discovery_address: config.addresses.discovery,
        readiness: readiness_sender,
        votes,
        events,
    });
    let gateway = tokio::task::spawn_local(gateway.run(config.initial_state, event_receiver));
    Started { clients, gateway }
}

/// Waits for a stop signal, and then for the connections that the load balancer still hands out.
async fn accept_until_stopped(mut stop: StopSignals, clients: &Clients) {
    stop.received().await;
    tracing::info!("shutdown started");
    clients.shut_down();
    sleep(shutdown::ACCEPT_TIME).await;
}

/// Logs the counters periodically, if an interval is given.
async fn log_counters(interval: Option<Duration>, rng: &mut Pcg64Mcg) {
    let Some(interval) = interval else { return std::future::pending().await };
    sleep(interval.mul_f64(rng.random())).await;
    loop {
        tracing::info!("counters: {COUNTERS}");
        sleep(interval).await;
    }
}

/// Closes the listener after the accepts of what it has queued, then waits until the last connection is closed.
async fn shut_down(clients: &Rc<Clients>, listener: TcpListener, gateway: &JoinHandle<()>) {
    if let Err(error) = clients.accept_queued(listener) {
        tracing::warn!(%error, "shutdown: final accept failed");
    }
    // Without effect where the stop signal has begun the shutdown; required where the accept loop ended first.
    clients.shut_down();
    let connections = clients.open_sessions();
    let busy = clients.busy_sessions();
    tracing::info!(connections, busy, "shutdown: listener closed");
    while clients.open_sessions() > 0 && !gateway.is_finished() {
        sleep(shutdown::POLL_INTERVAL).await;
    }
    tracing::info!("counters: {COUNTERS}");
    tracing::info!("gateway stopped");
}
