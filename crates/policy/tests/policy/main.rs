//! The decisions as an adapter meets them: events in, actions out, on an injected clock.

// A test fails where it unwraps.
#![allow(clippy::unwrap_used)]

mod admission;
mod canary;
mod discovery;
mod discovery_overload;
mod exposure;
mod fleet;
mod list_lease;
mod outliers;
mod reports;
mod retries;
mod robustness;
mod routing;
mod slow_start;
mod support;
mod voting;
