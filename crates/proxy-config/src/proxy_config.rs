//! The configuration of proxies: clusters by version and request class, endpoints by version, and a route by class.
//!
//! [`build_proxy_config`] makes it from a snapshot of the policy. A proxy decides on each request by itself; the rules
//! on exposure, retries, sticky keys and warm-up are kept through what the configuration lets it do.

mod builder;
mod endpoints;
mod routes;

pub use builder::build_proxy_config;

use crate::parts_per_million::PartsPerMillion;
use crate::share_ledger::CanaryShares;
use latchhaven_policy::{ExposureConfig, Millis, RequestClass, SlowStartConfig, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings that stay the same from configuration to configuration.
#[derive(Clone, Debug)]
pub struct ProxyConfigSettings {
    /// The request classes; others refer to them by their index.
    pub classes: Vec<RequestClass>,
    /// Limits on the requests that a canary may get.
    pub exposure: ExposureConfig,
    /// How endpoints warm up.
    pub slow_start: SlowStartConfig,
    /// Attempts of one request at most.
    pub max_attempts: usize,
    /// Attempts in flight that a warm endpoint of weight 1 can hold, over all proxies.
    pub max_in_flight_per_endpoint: u32,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    /// All clusters, by version, then class.
    pub clusters: Vec<Cluster>,
    /// The endpoints of each version.
    pub endpoints: BTreeMap<Version, Vec<ConfiguredEndpoint>>,
    /// The share of requests to reject at once.
    pub shed_share: PartsPerMillion,
    /// One route for each class.
    pub routes: Vec<Route>,
    /// The share of each class's requests that canaries get.
    pub canary_shares: CanaryShares,
}

/// The endpoints of one version, for the requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// The version that its endpoints run.
    pub version: Version,
    /// The index of the class.
    pub class: usize,
    /// Attempts in flight at most, at each proxy.
    pub max_in_flight: u32,
    /// Retries may be sent to it: not while a cap counts every attempt.
    pub allows_retries: bool,
}

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It gets requests.
    Healthy,
    /// It is ejected for now.
    Unhealthy,
    /// It takes no new requests.
    Draining,
}

/// One endpoint of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEndpoint {
    /// The endpoint's id.
    pub endpoint: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its weight among the endpoints of its version.
    pub weight: u32,
    /// Whether it gets requests.
    pub health: EndpointHealth,
}

/// Where a share of a class's requests goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteTarget {
    /// To the endpoints of a version.
    Version(Version),
    /// Nowhere: rejected at once.
    Reject,
}

/// A share of a class's requests and where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// Where it goes.
    pub target: RouteTarget,
    /// The share of the requests.
    pub share: PartsPerMillion,
}

/// Which failed attempts a proxy may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Those that were definitely not executed: no connection, or rejected unprocessed.
    NotExecuted,
    /// Any.
    Any,
}

/// How the requests of one class are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The index of the class.
    pub class: usize,
    /// The shares of all targets, one whole in all.
    pub shares: Vec<RouteShare>,
    /// The same for requests with a key, where keys are sticky.
    pub sticky_shares: Option<Vec<RouteShare>>,
    /// The time in ms after which a request fails.
    pub timeout: Millis,
    /// The time in ms after which an attempt is given up for a retry.
    pub attempt_timeout: Option<Millis>,
    /// Retries of one request at most.
    pub max_retries: u32,
    /// Which failed attempts may be retried.
    pub retry_scope: RetryScope,
}
