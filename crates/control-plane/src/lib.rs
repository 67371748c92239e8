//! The control plane: one [`Policy`](latchhaven_policy::Policy) receives the endpoint list, the platform's rollout states
//! and proxies' load reports; its decisions are published to proxies over xDS.
//!
//! - [`control_plane`]: events in, effects out, without sockets, disk or clock.
//! - [`state_store`]: the persisted state, written by a thread of its own.
//! - `limits`: limits and rules of both, and of the driver.
//! - [`serve`]: the driver with sockets, signals and clock.

#![warn(clippy::pedantic)]
#![allow(clippy::float_cmp, reason = "infinity marks the absence of a timer")]

pub mod control_plane;
mod driver;
mod limits;
pub mod state_store;

pub use driver::{ControlSettingsError, parse_settings, serve};
