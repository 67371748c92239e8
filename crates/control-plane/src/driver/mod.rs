//! The driver of [`ControlPlane`](crate::control_plane::ControlPlane): sockets, disk, signals and the clock.
//!
//! - `startup`: reads the settings, opens listener and store, and connects the tasks by channels.
//! - `event_loop`: passes events to the control plane, and carries out its effects.
//! - `upstreams`: events and actions of discovery and the platform.
//! - `xds_thread`: serves proxies on threads of their own.
//! - `signals`: termination, and the counters on request.

mod event_loop;
mod settings;
mod signals;
mod startup;
mod upstreams;
mod xds_thread;

pub use settings::{ControlSettingsError, parse_settings};

use latchhaven_operator_config::ControlConfig;
use signals::Signals;
use std::io;
use tokio::select;

/// Serves under a configuration until SIGTERM or SIGINT, or until the xDS server or a channel ends; only a signal is
/// logged. Runs within a `LocalSet` on a runtime of one thread.
///
/// # Errors
/// The settings are invalid, the key cannot be read, a signal handler cannot be installed, the listener cannot be
/// bound, or the xDS server failed.
pub async fn serve(config: ControlConfig) -> io::Result<()> {
    let mut signals = Signals::install()?;
    let service = startup::start(&config)?;
    let _platform_address = service.platform_address;
    select! {
        () = signals.stopped(&service.sent_counters) => {}
        served = service.xds_server => served.map_err(io::Error::other)??,
        () = service.driver.run(service.upstream_events, service.server_events) => {}
    }
    Ok(())
}
