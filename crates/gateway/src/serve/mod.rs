//! The process of a gateway: start, signals and shutdown.

mod bind;
mod signals;

use crate::clock::{Clock, duration};
use crate::config::{self, ConfigError, GatewayConfig};
use crate::counters::COUNTERS;
use crate::gateway::{Gateway, GatewayParts};
use crate::limits::clients::large_message_memory;
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

/// Why a gateway could not start, or stopped without a signal. The process prints the text and exits.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The system did not install a signal handler.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The listener could not be bound within [`BIND_TIMEOUT`](crate::limits::start::BIND_TIMEOUT).
    #[error("listen: {address}: {error}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the last attempt.
        error: io::Error,
    },
    /// The task of the event loop returned or panicked while the gateway was serving.
    #[error("event loop exited unexpectedly: {0:?}")]
    EventLoopExited(Result<(), JoinError>),
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Runs a gateway until SIGTERM or SIGINT. Call within a `LocalSet` on a runtime with one thread.
///
/// With a `counters_interval` the counters are logged periodically. The first time is drawn at random within the
/// interval, so that gateways that were started together do not all log at the same time.
///
/// # Errors
/// The gateway could not start, or its event loop exited.
pub async fn serve(counters_interval: Option<Duration>) -> Result<(), ServeError> {
    let clock = Clock::start();
    // Before anything else: a signal without a handler terminates the process immediately.
    let signals = Signals::install().map_err(ServeError::Signals)?;
    let config = config::read(environment)?;
    let address = config.addresses.listen;
    let listen_error = |error| ServeError::Listen { address, error };
    let listener = bind_with_retry(address).await.map_err(listen_error)?;
    let listening = listener.local_addr().map_err(listen_error)?;
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let name = config.addresses.name.clone();
    let endpoints = config.initial_state.list.entries.len();
    let GatewayTasks { clients, mut event_loop } = start_tasks(config, signals.reload, clock, &mut rng);
    tracing::info!(name, %listening, servers = endpoints, "gateway started");
    select! {
        () = accept_until_stopped(signals.stop, &clients) => {}
        () = clients.clone().accept(&listener) => {}
        () = signals::log_counters_on_signal(signals.log_counters) => {}
        () = log_counters_periodically(counters_interval, &mut rng) => {}
        result = &mut event_loop => return Err(ServeError::EventLoopExited(result)),
    }
    shut_down(&clients, listener, &event_loop).await;
    Ok(())
}

struct GatewayTasks {
    clients: Rc<Clients>,
    event_loop: JoinHandle<()>,
}

/// Starts the event loop and the tasks of all connections except those of clients.
fn start_tasks(config: GatewayConfig, reload: Signal, clock: Clock, rng: &mut Pcg64Mcg) -> GatewayTasks {
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
        large_message_memory: large_message_memory(config.memory_limit, descriptors.clients),
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
    let event_loop = tokio::task::spawn_local(gateway.run(config.initial_state, event_receiver));
    GatewayTasks { clients, event_loop }
}

/// Waits for a stop signal, and then for [`shutdown::ACCEPT_TIME`], during which the load balancer may still forward
/// connections to this gateway.
async fn accept_until_stopped(mut stop: StopSignals, clients: &Clients) {
    stop.received().await;
    tracing::info!("shutdown started");
    clients.shut_down();
    sleep(shutdown::ACCEPT_TIME).await;
}

/// Never returns; without an interval, logs nothing.
async fn log_counters_periodically(interval: Option<Duration>, rng: &mut Pcg64Mcg) {
    let Some(interval) = interval else { return std::future::pending().await };
    sleep(interval.mul_f64(rng.random())).await;
    loop {
        tracing::info!("counters: {COUNTERS}");
        sleep(interval).await;
    }
}

/// Accepts the connections that the kernel has queued, closes the listener, and waits until the last connection is
/// closed.
async fn shut_down(clients: &Rc<Clients>, listener: TcpListener, event_loop: &JoinHandle<()>) {
    if let Err(error) = clients.accept_queued(listener) {
        tracing::warn!(%error, "shutdown: final accept failed");
    }
    // Has no effect after a stop signal, which has begun the shutdown; required if the accept loop returned before
    // one.
    clients.shut_down();
    let connections = clients.open_sessions();
    let busy = clients.busy_sessions();
    tracing::info!(connections, busy, "shutdown: listener closed");
    while clients.open_sessions() > 0 && !event_loop.is_finished() {
        sleep(shutdown::POLL_INTERVAL).await;
    }
    tracing::info!("counters: {COUNTERS}");
    tracing::info!("gateway stopped");
}
