//! Signal handlers: SIGTERM and SIGINT stop the gateway, SIGUSR1 logs the counters, SIGHUP reloads the configuration.

use crate::config;
use crate::counters::COUNTERS;
use crate::net::DriverEvent;
use std::io;
use std::net::SocketAddr;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Returns when SIGTERM or SIGINT is received.
    pub(super) async fn received(&mut self) {
        select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The handled signals. Before [`Signals::install`] each of them terminates the process.
pub(super) struct Signals {
    pub(super) stop: StopSignals,
    /// SIGUSR1.
    pub(super) log_counters: Signal,
    /// SIGHUP.
    pub(super) reload: Signal,
}

impl Signals {
    pub(super) fn install() -> io::Result<Self> {
        Ok(Signals {
            stop: StopSignals {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            log_counters: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

pub(super) async fn log_counters_on_signal(mut signal: Signal) {
    while signal.recv().await.is_some() {
        tracing::info!("counters: {COUNTERS}");
    }
}

/// Reloads the configuration at each signal. Sends the address of discovery to `events`, and the address of the
/// platform to `platform` if it has changed. An invalid configuration is logged, and the current one remains in
/// effect.
pub(super) async fn reload_config(
    mut signal: Signal, events: mpsc::Sender<DriverEvent>, platform: watch::Sender<Option<SocketAddr>>,
) {
    while signal.recv().await.is_some() {
        match config::reload(super::environment) {
            Ok(addresses) => {
                let discovery = addresses.discovery;
                tracing::info!(list = %discovery, platform = ?addresses.platform, "configuration reloaded");
                let _ = events.send(DriverEvent::DiscoveryMoved { address: discovery }).await;
                platform.send_if_modified(|current| {
                    std::mem::replace(current, addresses.platform) != addresses.platform
                });
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}
