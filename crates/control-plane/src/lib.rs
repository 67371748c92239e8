//! The control plane: one [`Policy`](latchhaven_policy::Policy) receives the endpoint list, the platform's rollout
//! states and the load reports of proxies. Configurations built from its decisions are published to proxies over xDS.
//!
//! - [`control_plane`]: turns events into effects, without sockets, disk or clock.
//! - [`state_store`]: the persisted state, written by a separate thread.
//! - `limits`: limits and rules of these two modules and of the driver.
//! - `driver`: sockets, signals and the clock; started by [`serve`].

#![warn(clippy::pedantic)]

pub mod control_plane;
mod driver;
mod limits;
pub mod state_store;

pub use driver::{ControlSettingsError, parse_settings, serve};
