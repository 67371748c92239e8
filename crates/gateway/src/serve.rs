//! Starts the gateway, watches signals, and ends it.

use crate::config;
use crate::counters::COUNTERS;
use crate::gateway::{Clock, Gateway, GatewayParts};
use crate::net::clients::Clients;
use crate::net::upstream::UpstreamPool;
use crate::net::{DriverEvent, MAX_PENDING_EVENTS, MAX_PENDING_VOTES, platform};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::select;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

/// Descriptors kept for everything but clients and endpoints: the list, the feed, votes, the runtime, logs.
const RESERVED_DESCRIPTORS: usize = 48;
/// Of the rest, how many of eight go to clients; endpoints get the others.
const CLIENT_EIGHTHS: usize = 4;
/// After SIGTERM connections are accepted for so long: the load balancer in front hands them out for 0.4 s at most.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(550);
/// Connections that the machine accepts before this program does.
const BACKLOG: u32 = 1024;
/// How often the last connections are looked at while stopping.
const LOOK: Duration = Duration::from_millis(5);
/// A gateway that was killed starts again under its address, which the one before may hold for a moment yet:
/// it is tried again so often, and for so long at most, well within the 10 s in which a restart is to be
/// ready.
const BIND_AGAIN: Duration = Duration::from_millis(20);
const BIND_WITHIN: Duration = Duration::from_secs(5);

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Connections of the one before linger there.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

async fn listen_soon(addr: SocketAddr) -> io::Result<TcpListener> {
    let start = Instant::now();
    loop {
        match listen(addr) {
            Err(fault) if fault.kind() == io::ErrorKind::AddrInUse && start.elapsed() < BIND_WITHIN => {
                sleep(BIND_AGAIN).await;
            }
            Err(fault) => return Err(io::Error::new(fault.kind(), format!("listen: {addr}: {fault}"))),
            listener => return listener,
        }
    }
}

/// Serves until SIGTERM or SIGINT, within a `LocalSet` on a runtime of one thread. `counted`: so often the
/// counters are logged unasked, at the first time after a part of it that the seed draws, lest hundreds of
/// gateways log at once.
///
/// # Errors
/// A faulty configuration, a listener that cannot be had, or an end of the gateway that nobody asked for.
pub async fn serve(counted: Option<Duration>) -> io::Result<()> {
    let clock = Clock::start();
    // Before anything that takes time: unheeded, each of these would end the process.
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let (mut asked, mut again) = (signal(SignalKind::user_defined1())?, signal(SignalKind::hangup())?);
    let env = |name: &str| std::env::var(name).ok();
    let (addresses, sockets, known, seed, settings) = config::read(env).map_err(io::Error::other)?;
    let listener = listen_soon(addresses.listen).await?;

    let (notes, noted) = mpsc::channel(MAX_PENDING_EVENTS);
    let (votes, cast) = mpsc::channel(MAX_PENDING_VOTES);
    let to_clients = (sockets - RESERVED_DESCRIPTORS) * CLIENT_EIGHTHS / 8;
    let (connections, products) = (settings.upstream_connections(), settings.classes());
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (platform, at) = watch::channel(addresses.platform);
    let within = Duration::from_secs_f64(connections.vote_timeout / 1000.0);
    let feed_rng = Pcg64Mcg::from_rng(&mut rng);
    tokio::task::spawn_local(platform::feed(at.clone(), feed_rng, notes.clone()));
    tokio::task::spawn_local(platform::votes(at, within, cast, notes.clone()));
    let moves = notes.clone();
    tokio::task::spawn_local(async move {
        while again.recv().await.is_some() {
            match config::read_again(env) {
                Ok((list, addr)) => {
                    tracing::info!(%list, platform = ?addr, "configuration read anew");
                    let _ = moves.send(DriverEvent::DiscoveryMoved { address: list }).await;
                    platform.send_if_modified(|held| std::mem::replace(held, addr) != addr);
                }
                Err(fault) => tracing::warn!(%fault, "configuration unfit, the earlier one stays"),
            }
        }
    });
    let pool =
        UpstreamPool::new(sockets - RESERVED_DESCRIPTORS - to_clients, connections.clone(), notes.clone());
    let gateway = Gateway::new(GatewayParts {
        policy: settings.with_subscription().start_policy(seed),
        clock,
        pool,
        connections,
        discovery_address: addresses.list,
        votes,
        events: notes.clone(),
    });
    let clients = Clients::new(to_clients, products, clock, notes);
    let (name, listening) = (&addresses.name, listener.local_addr()?);
    tracing::info!(name, %listening, servers = known.list.entries.len(), "gateway starts");

    let mut gateway = tokio::task::spawn_local(gateway.run(known, noted));
    let stopping = async {
        select! { _ = term.recv() => {}, _ = int.recv() => {} }
        tracing::info!("gateway stops: finishing what was taken");
        clients.shut_down();
        sleep(SHUTDOWN_ACCEPT_TIME).await;
    };
    let printing = async {
        while asked.recv().await.is_some() {
            tracing::info!("counters: {COUNTERS}");
        }
    };
    let counting = async {
        let Some(every) = counted else { return std::future::pending().await };
        sleep(every.mul_f64(rng.random())).await;
        loop {
            tracing::info!("counters: {COUNTERS}");
            sleep(every).await;
        }
    };
    select! {
        () = stopping => {}
        () = clients.clone().accept(&listener) => {}
        () = printing => {}
        () = counting => {}
        ended = &mut gateway => return Err(io::Error::other(format!("the gateway ended: {ended:?}"))),
    }
    if let Err(fault) = clients.accept_rest(listener) {
        tracing::warn!(%fault, "clients: the last ones could not be accepted");
    }
    clients.shut_down();
    tracing::info!(
        connections = clients.open_sessions(),
        busy = clients.busy_sessions(),
        "gateway stops: no more are accepted"
    );
    while clients.open_sessions() > 0 && !gateway.is_finished() {
        sleep(LOOK).await;
    }
    tracing::info!("counters: {COUNTERS}");
    tracing::info!("gateway ends");
    Ok(())
}
