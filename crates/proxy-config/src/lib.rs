//! The configuration of proxies, derived from the decisions of the policy crate. All modules are pure: no I/O, no
//! clock, no random numbers. Callers pass the current time.
//!
//! - [`version`]: versions of a configuration, their order, and their signed text labels.
//! - [`freshness`]: tracks the newest rollout state and endpoint list; decides whether a configuration is published.
//! - [`parts_per_million`]: the unit of shares, caps and drop rates.
//! - [`canary_share`]: the largest share of requests for a canary at which random draws stay within its cap.
//! - [`published_shares`]: the canary shares published to each proxy, and the share that reachable proxies may use.
//! - [`load_reports`]: load reports of proxies, validated and aggregated into outcome reports.
//! - [`proxy_config`]: the clusters, endpoints and routes built from a snapshot of the policy.
//! - [`limits`]: limits and rules that all modules use.

#![warn(clippy::pedantic)]
#![allow(clippy::cast_precision_loss, reason = "counts and times are far below 2^53")]
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts of floats saturate at the bounds"
)]

pub mod canary_share;
pub mod freshness;
pub mod limits;
pub mod load_reports;
pub mod parts_per_million;
pub mod proxy_config;
pub mod published_shares;
pub mod version;
