//! The policy as an adapter uses it: events in, actions out, on an injected clock.

// An unwrap that panics fails its test.
#![allow(clippy::unwrap_used)]

mod admission;
mod canary;
mod discovery;
mod discovery_overload;
mod exposure;
mod list_lease;
mod many_gateways;
mod outliers;
mod reports;
mod retries;
mod robustness;
mod routing;
mod slow_start;
mod support;
mod voting;
