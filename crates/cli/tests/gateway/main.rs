//! The gateway as a process on loopback, with fake servers, clients, discovery service and platform. Tests enforce
//! the order of events by blocking sockets or by stopping the process with signals; no test depends on a short wait.

#![allow(clippy::unwrap_used, reason = "a test fails where it unwraps")]

mod attempts;
mod client_limits;
mod client_sessions;
mod configuration;
mod discovery;
mod floods;
mod large_messages;
mod late_responses;
mod platform;
mod pool_support;
mod readiness;
mod shutdown;
mod stale_list;
mod support;
mod upstream_pool;
