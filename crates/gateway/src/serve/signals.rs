//! Signals: SIGTERM and SIGINT stop the gateway, SIGUSR1 logs the counters, SIGHUP reloads the configuration.

use crate::config;
use crate::counters::COUNTERS;
use crate::net::DriverEvent;
use std::io;
use std::net::SocketAddr;
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

/// SIGTERM and SIGINT.
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Returns when one of them is received.
    pub(super) async fn received(&mut self) {
        select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The handled signals. Before [`Signals::install`] each of them ends the process.
pub(super) struct Signals {
    pub(super) stop: StopSignals,
    pub(super) print_counters: Signal,
    pub(super) reload: Signal,
}

impl Signals {
    pub(super) fn install() -> io::Result<Self> {
        Ok(Signals {
            stop: StopSignals {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            print_counters: signal(SignalKind::user_defined1())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// Logs the counters at each signal.
pub(super) async fn print_counters(mut signal: Signal) {
    while signal.recv().await.is_some() {
        tracing::info!("counters: {COUNTERS}");
    }
}

/// Reloads the configuration at each signal, and passes on changed addresses.
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
