//! The control plane: one [`Policy`](latchhaven_policy::Policy), fed by the endpoint list, the platform and proxies'
//! load reports; what it decides is published to proxies over xDS.
//!
//! - [`control_plane`]: updates in, effects out, without sockets, disk or clock.
//! - [`state_store`]: what is persisted, by a thread of its own.
//! - [`serve`]: the driver round both.

pub mod control_plane;
mod driver;
pub mod state_store;

pub use driver::{ControlSettingsError, serve, settings};
