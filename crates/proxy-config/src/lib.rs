//! The configuration of proxies, derived from the decisions of the policy crate. All modules are pure: no I/O, no
//! clock, no random numbers.
//!
//! - [`version`]: versions of a configuration, their order, and their signed text labels.
//! - [`freshness`]: the newest rollout state and endpoint list known, and whether a configuration may be published.
//! - [`parts_per_million`]: the unit of shares, caps and drop rates.
//! - [`canary_share`]: the share of requests that keeps a canary within its cap although each proxy draws at random.
//! - [`share_ledger`]: the shares that each proxy may still be using, and what they leave to the others.
//! - [`load_reports`]: load reports of proxies, validated and aggregated into outcome reports.
//! - [`proxy_config`]: the clusters, endpoints and routes built from a snapshot of the policy.

pub mod canary_share;
pub mod freshness;
pub mod load_reports;
pub mod parts_per_million;
pub mod proxy_config;
pub mod share_ledger;
pub mod version;
