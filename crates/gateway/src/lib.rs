//! The gateway: connects clients, endpoints, the discovery service and the platform to the
//! [`Policy`](latchhaven_policy::Policy), which makes the routing and voting decisions.
//!
//! - [`serve`]: starts and shuts down the gateway; [`config`] reads its configuration.
//! - [`gateway`]: the event loop and its state.
//! - [`net`]: the drivers of sockets.
//! - [`proto`], [`discovery`], [`arrivals`]: parsers and state machines without I/O.
//! - [`limits`]: timeouts and limits, and the rules that follow from them.
//! - [`readiness`]: when the gateway responds to health checks of the load balancer.
//! - [`clock`]: the clock that all of these use.
//! - [`policy_log`]: log lines of the policy.
//! - [`counters`]: metrics and invariants.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_precision_loss, reason = "times in microseconds and counts stay far below 2^53")]
#![allow(clippy::cast_possible_truncation, reason = "values are bounded by limits or rounded on purpose")]
#![allow(clippy::cast_sign_loss, reason = "times and sizes are not negative")]
#![allow(clippy::duration_suboptimal_units, reason = "hours and days need a newer Rust than 1.90")]
#![allow(clippy::struct_excessive_bools, reason = "the inputs of a rule are independent conditions")]
#![allow(clippy::float_cmp, reason = "a repeated report has exactly equal values")]

pub mod arrivals;
pub mod clock;
pub mod config;
pub mod counters;
pub mod discovery;
pub mod gateway;
pub mod limits;
pub mod net;
pub mod policy_log;
pub mod proto;
pub mod readiness;
pub mod serve;
