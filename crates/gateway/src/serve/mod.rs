//! Starts the gateway, handles signals, and ends it.

mod bind;
mod signals;

use crate::clock::{Clock, duration};
use crate::config;
use crate::counters::COUNTERS;
use crate::gateway::{Gateway, GatewayParts};
use crate::net::clients::{Clients, ClientsConfig};
use crate::net::upstream::UpstreamPool;
use crate::net::{MAX_PENDING_EVENTS, platform};
use crate::readiness::readiness;
use bind::bind_with_retry;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use signals::{Signals, StopSignals};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Descriptors kept for everything but clients and endpoints: the list, the feed, votes, the runtime, logs.
const RESERVED_DESCRIPTORS: usize = 48;
/// Of the rest, how many of eight go to clients; endpoints get the others.
const CLIENT_EIGHTHS: usize = 4;
/// After SIGTERM connections are accepted for so long: the load balancer in front hands them out for 0.4 s at most.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(550);
/// How often the last connections are looked at during shutdown.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Serves until SIGTERM or SIGINT, within a `LocalSet` on a runtime of one thread. `counters_interval`: so often the
/// counters are logged unasked, at the first time after a part of it that the seed draws, lest hundreds of
/// gateways log at once.
///
/// # Errors
/// A faulty configuration, a listener that cannot be had, or an end of the gateway that nobody asked for.
pub async fn serve(counters_interval: Option<Duration>) -> io::Result<()> {
    let clock = Clock::start();
    // Before anything that takes time: unhandled, each signal would end the process.
    let signals = Signals::install()?;
    let config = config::read(environment).map_err(io::Error::other)?;
    let listener = bind_with_retry(config.addresses.listen).await?;

    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let (events, event_receiver) = mpsc::channel(MAX_PENDING_EVENTS);
    let (platform_sender, platform_address) = watch::channel(config.addresses.platform);
    let connections = config.settings.upstream_connections();
    let vote_timeout = duration(connections.vote_timeout);
    let votes = platform::spawn_tasks(&mut rng, platform_address, vote_timeout, &events);
    let reload = signals::reload_config(signals.reload, events.clone(), platform_sender);
    tokio::task::spawn_local(reload);

    let (client_descriptors, server_descriptors) = share_descriptors(config.max_sockets);
    let pool = UpstreamPool::new(server_descriptors, connections.clone(), events.clone());
    let (readiness_sender, readiness) = readiness();
    let clients = Clients::new(ClientsConfig {
        max_sessions: client_descriptors,
        classes: config.settings.classes(),
        clock,
        readiness,
        events: events.clone(),
    });
    let gateway = Gateway::new(GatewayParts {
        policy: config.settings.on_sockets().start_policy(config.seed),
        clock,
        pool,
        connections,
        discovery_address: config.addresses.discovery,
        readiness: readiness_sender,
        votes,
        events,
    });
    let name = &config.addresses.name;
    let listening = listener.local_addr()?;
    let servers = config.initial_state.list.entries.len();
    tracing::info!(name, %listening, servers, "gateway started");

    let mut gateway = tokio::task::spawn_local(gateway.run(config.initial_state, event_receiver));
    select! {
        () = accept_until_stopped(signals.stop, &clients) => {}
        () = clients.clone().accept(&listener) => {}
        () = signals::print_counters(signals.print_counters) => {}
        () = log_counters(counters_interval, &mut rng) => {}
        ended = &mut gateway => return Err(io::Error::other(format!("the gateway ended: {ended:?}"))),
    }
    shut_down(&clients, listener, &gateway).await;
    Ok(())
}

/// The descriptors for clients and for endpoints.
fn share_descriptors(max_sockets: usize) -> (usize, usize) {
    let descriptors = max_sockets - RESERVED_DESCRIPTORS;
    let client_descriptors = descriptors * CLIENT_EIGHTHS / 8;
    (client_descriptors, descriptors - client_descriptors)
}

/// Waits for the end of the process, and for the last connections that the load balancer hands out after it.
async fn accept_until_stopped(mut stop: StopSignals, clients: &Clients) {
    stop.received().await;
    tracing::info!("shutdown started");
    clients.shut_down();
    sleep(SHUTDOWN_ACCEPT_TIME).await;
}

/// Logs the counters unasked, if that is wanted.
async fn log_counters(interval: Option<Duration>, rng: &mut Pcg64Mcg) {
    let Some(interval) = interval else { return std::future::pending().await };
    sleep(interval.mul_f64(rng.random())).await;
    loop {
        tracing::info!("counters: {COUNTERS}");
        sleep(interval).await;
    }
}

/// Serves the connections that are left, until the last one is closed.
async fn shut_down(clients: &Rc<Clients>, listener: TcpListener, gateway: &JoinHandle<()>) {
    if let Err(error) = clients.accept_rest(listener) {
        tracing::warn!(%error, "shutdown: final accept failed");
    }
    clients.shut_down();
    let connections = clients.open_sessions();
    let busy = clients.busy_sessions();
    tracing::info!(connections, busy, "shutdown: listener closed");
    while clients.open_sessions() > 0 && !gateway.is_finished() {
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    tracing::info!("counters: {COUNTERS}");
    tracing::info!("gateway stopped");
}
