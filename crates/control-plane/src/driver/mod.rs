//! The driver of [`ControlPlane`](crate::control_plane::ControlPlane): sockets, disk, signals and the clock.
//!
//! - `settings`: parses the settings object of a configuration.
//! - `startup`: opens the listener and the state store, and connects the tasks by channels.
//! - `event_loop`: passes events to the control plane, and applies its effects.
//! - `upstreams`: events from, and actions for, discovery and the platform.
//! - `xds_thread`: serves proxies on separate threads.
//! - `signals`: stops the service, and logs its counters on request.

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

/// Runs the control service until SIGTERM or SIGINT. Also returns when the xDS server stops or a channel of the
/// event loop is closed; only a stop by a signal is logged. Must run within a `LocalSet` on a runtime of one thread.
///
/// # Errors
/// The settings are invalid, the shared key cannot be read, a signal handler cannot be installed, the listener cannot
/// be bound, the threads of the xDS server cannot be started, or the xDS server failed.
pub async fn serve(config: ControlConfig) -> io::Result<()> {
    let mut signals = Signals::install()?;
    let service = startup::start(&config)?;
    let _platform_address = service.platform_address;
    select! {
        () = signals.wait_until_stopped(&service.sent_counters) => {}
        result = service.xds_server => result.map_err(io::Error::other)??,
        () = service.driver.run(service.upstream_events, service.server_events) => {}
    }
    Ok(())
}
