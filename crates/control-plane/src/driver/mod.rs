//! The driver round [`ControlPlane`](crate::control_plane::ControlPlane): sockets, disk, signals and the clock.
//!
//! - `startup`: reads the settings, opens listener and store, and connects the parts by channels.
//! - `event_loop`: takes in what the channels bring, and carries out what follows.
//! - `upstreams`: discovery and the platform, and the actions that concern them.
//! - `xds_thread`: serves proxies on threads of their own.
//! - `signals`: the end of the process, and the counters on request.

mod event_loop;
mod settings;
mod signals;
mod startup;
mod upstreams;
mod xds_thread;

pub use settings::{ControlSettingsError, settings};

use latchhaven_operator_config::ControlConfig;
use signals::Signals;
use std::io;
use tokio::select;

/// Serves as a plan says, until SIGTERM or SIGINT, within a `LocalSet` on a runtime of one thread.
///
/// # Errors
/// Settings that are not valid, a key that cannot be read, or a listener that cannot be bound.
pub async fn serve(config: ControlConfig) -> io::Result<()> {
    let mut signals = Signals::install()?;
    let service = startup::start(config)?;
    let _platform_address = service.platform_address;
    select! {
        () = signals.stopped(&service.sent_counters) => {}
        served = service.xds_server => served.map_err(io::Error::other)??,
        () = service.driver.run(service.gateway_events, service.server_events) => {}
    }
    Ok(())
}
