//! The gateway as a process on loopback, between fake servers, clients, discovery and platform. Each test brings about
//! one order of events, by holding sockets or stopping the process with signals; no test depends on a short wait.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

mod attempts;
mod client_limits;
mod client_sessions;
mod configuration;
mod discovery;
mod platform;
mod readiness;
mod shutdown;
mod stale_list;
mod support;
mod upstream_pool;
