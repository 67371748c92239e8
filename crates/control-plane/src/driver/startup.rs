//! Starts the tasks and threads of the control service and connects them by channels.

use super::event_loop::ControlPlaneDriver;
use super::settings::parse_settings;
use super::xds_thread::{self, XdsListener};
use crate::control_plane::{ControlPlane, ControlPlaneConfig};
use crate::limits::MAX_PENDING_SERVER_EVENTS;
use crate::state_store;
use latchhaven_gateway::clock::{Clock, duration};
use latchhaven_gateway::discovery::snapshot_client::SnapshotFirstClient;
use latchhaven_gateway::net::discovery_tasks::DiscoveryTasks;
use latchhaven_gateway::net::platform;
use latchhaven_gateway::net::{DriverEvent, MAX_PENDING_EVENTS};
use latchhaven_operator_config::{ControlConfig, OutcomeSource};
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::Settings;
use latchhaven_xds::resources::ListenerConfig;
use latchhaven_xds::server::{SentCounters, ServerContext, ServerEvent};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// The started control service.
pub(super) struct ControlService {
    pub(super) driver: ControlPlaneDriver,
    /// Events of discovery and the platform.
    pub(super) upstream_events: mpsc::Receiver<DriverEvent>,
    /// Events of the streams of proxies.
    pub(super) server_events: mpsc::Receiver<ServerEvent>,
    /// Receives the result of the xDS server when it stops.
    pub(super) xds_server: oneshot::Receiver<io::Result<()>>,
    pub(super) sent_counters: Arc<SentCounters>,
    /// Sends the platform's address, which does not change. Must outlive the tasks that call the platform.
    pub(super) platform_address: watch::Sender<Option<SocketAddr>>,
}

/// Starts the tasks and threads of the service. The caller runs the event loop.
pub(super) fn start(config: &ControlConfig) -> io::Result<ControlService> {
    let clock = Clock::start();
    let signer = VersionSigner::new(read_shared_key(config)?);
    let settings = parse_settings(config).map_err(io::Error::other)?.on_sockets();
    let vote_timeout = duration(settings.upstream_connections().vote_timeout);
    let store = state_store::open(config.state.as_deref());
    let class_names = settings.classes().into_iter().map(|class| class.name).collect();
    let control_plane_config = control_plane_config(config, &settings, signer.clone());
    let control_plane =
        ControlPlane::new(settings.start_policy(config.seed), control_plane_config, store.state);

    let listener = bind(config.xds.listen)?;
    let listening = listener.local_addr()?;
    let (event_sender, upstream_events) = mpsc::channel(MAX_PENDING_EVENTS);
    let (platform_address, address) = watch::channel(config.platform);
    let mut rng = Pcg64Mcg::seed_from_u64(config.seed);
    let votes = platform::spawn_tasks(&mut rng, address, vote_timeout, &event_sender);
    let (server_event_sender, server_events) = mpsc::channel(MAX_PENDING_SERVER_EVENTS);
    let (snapshot_sender, snapshots) = watch::channel(None);
    let sent_counters = Arc::new(SentCounters::default());
    let context = ServerContext {
        snapshots,
        events: server_event_sender,
        signer,
        class_names: Arc::new(class_names),
        counters: sent_counters.clone(),
    };
    let xds_listener = XdsListener {
        listener,
        allowed_networks: config.xds.allowed_networks.clone(),
        max_streams: config.xds.max_streams,
    };
    let xds_server = xds_thread::spawn(xds_listener, context)?;
    tracing::info!(name = config.name, %listening, "control service started");
    let driver = ControlPlaneDriver {
        control_plane,
        clock,
        discovery: SnapshotFirstClient::new(config.discovery),
        discovery_tasks: DiscoveryTasks::new(event_sender),
        votes,
        pending_admissions: BTreeMap::new(),
        state_writer: store.writer,
        snapshots: snapshot_sender,
    };
    Ok(ControlService { driver, upstream_events, server_events, xds_server, sent_counters, platform_address })
}

fn read_shared_key(config: &ControlConfig) -> io::Result<Option<Vec<u8>>> {
    let Some(path) = &config.shared_key_file else { return Ok(None) };
    let key = std::fs::read(path).map_err(|error| {
        io::Error::other(format!("shared_key_file: cannot read {}: {error}", path.display()))
    })?;
    Ok(Some(key))
}

fn control_plane_config(
    config: &ControlConfig, settings: &Settings, signer: VersionSigner,
) -> ControlPlaneConfig {
    let limits = settings.publishing_limits();
    ControlPlaneConfig {
        proxy_config: ProxyConfigSettings {
            classes: settings.classes(),
            exposure: limits.exposure,
            slow_start: limits.slow_start,
            max_attempts: limits.max_attempts,
            max_in_flight_per_endpoint: config.xds.max_in_flight_per_endpoint,
        },
        listener: ListenerConfig {
            address: config.xds.listener,
            class_header: config.xds.class_header.clone(),
            key_header: config.xds.key_header.clone(),
            connect_timeout: f64::from(config.xds.connect_timeout_ms),
            separate_endpoints: config.xds.separate_endpoints,
        },
        signer,
        max_streams: config.xds.max_streams,
        platform_counts_only: config.xds.outcome_source == OutcomeSource::Platform,
    }
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address).map_err(|error| {
        io::Error::new(error.kind(), format!("xds.listen: cannot listen on {address}: {error}"))
    })?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
