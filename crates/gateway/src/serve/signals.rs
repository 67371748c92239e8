//! Signals: SIGTERM and SIGINT end the gateway, SIGUSR1 logs its counters, SIGHUP has its configuration read again.

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
    /// Returns when one of them has come.
    pub(super) async fn received(&mut self) {
        select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The signals that are handled from the moment of their installation on; unhandled, each would end the process.
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

/// Logs the counters with each signal.
pub(super) async fn print_counters(mut signal: Signal) {
    while signal.recv().await.is_some() {
        tracing::info!("counters: {COUNTERS}");
    }
}

/// Reads the configuration with each signal, and passes changed addresses on.
pub(super) async fn reload_config(
    mut signal: Signal, events: mpsc::Sender<DriverEvent>, platform: watch::Sender<Option<SocketAddr>>,
) {
    while signal.recv().await.is_some() {
        match config::reload(super::environment) {
            Ok(addresses) => {
                let list = addresses.discovery;
                tracing::info!(%list, platform = ?addresses.platform, "configuration reloaded");
                let _ = events.send(DriverEvent::DiscoveryMoved { address: list }).await;
                platform.send_if_modified(|held| {
                    std::mem::replace(held, addresses.platform) != addresses.platform
                });
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded"),
        }
    }
}
