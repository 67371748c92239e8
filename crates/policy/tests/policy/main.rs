//! Tests of the policy through its public interface, as an adapter uses it: events in, actions out, on an injected
//! clock.

#![warn(clippy::pedantic)]
#![allow(clippy::unwrap_used, reason = "an unwrap that panics fails its test")]
#![allow(clippy::cast_precision_loss, reason = "counts and times stay far below 2^53")]
#![allow(clippy::cast_possible_truncation, reason = "step counts and indexes are small")]
#![allow(clippy::cast_sign_loss, reason = "durations are not negative")]

mod admission;
mod canary;
mod discovery;
mod discovery_overload;
mod exposure;
mod list_lease;
mod many_gateways;
mod outcome_reports;
mod outliers;
mod retries;
mod robustness;
mod routing;
mod slow_start;
mod support;
mod voting;
