//! The gateway: clients, endpoints, discovery and the platform on sockets, round the decisions of
//! [`Policy`](latchhaven_policy::Policy).
//!
//! - [`serve`]: starts and ends it; [`config`] is what it reads.
//! - [`gateway`]: the event loop and its state.
//! - [`net`]: the drivers of sockets.
//! - [`proto`], [`discovery`], [`arrivals`]: state machines without I/O.
//! - [`clock`]: the clock of all of these.
//! - [`policy_log`]: log lines of the decisions.
//! - [`counters`]: counters and invariants.

pub mod arrivals;
pub mod clock;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod gateway;
pub mod net;
pub mod policy_log;
pub mod proto;
pub mod readiness;
pub mod serve;
