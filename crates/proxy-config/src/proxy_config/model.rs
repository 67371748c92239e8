//! The parts of a configuration, and the settings that it is built from.

use crate::parts_per_million::PartsPerMillion;
use crate::published_shares::CanaryShares;
use latchhaven_policy::{ExposureConfig, Millis, RequestClass, SlowStartConfig, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings of all configurations of a process.
#[derive(Clone, Debug)]
pub struct ProxyConfigSettings {
    /// The request classes; others refer to them by their index.
    pub classes: Vec<RequestClass>,
    /// Limits on the requests that a canary may get.
    pub exposure: ExposureConfig,
    /// The slow start of endpoints.
    pub slow_start: SlowStartConfig,
    /// The maximum number of attempts of one request.
    pub max_attempts: usize,
    /// The concurrency limit of an endpoint of weight 1 after its slow start, over all proxies.
    pub max_in_flight_per_endpoint: u32,
}

/// A complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    /// All clusters, by version, then class.
    pub clusters: Vec<Cluster>,
    /// The endpoints of each version.
    pub endpoints: BTreeMap<Version, Vec<ConfiguredEndpoint>>,
    /// The share of requests that proxies reject to shed load.
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
    /// The maximum number of attempts in flight at each proxy.
    pub max_in_flight: u32,
    /// Retries may be sent to it; false where a traffic cap counts every attempt.
    pub allows_retries: bool,
}

/// The health of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// It receives requests.
    Healthy,
    /// It is ejected.
    Unhealthy,
    /// It receives no new requests.
    Draining,
}

/// One endpoint of a version.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEndpoint {
    /// The endpoint's id.
    pub endpoint: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its weight among the endpoints of its version.
    pub weight: u32,
    /// Its health.
    pub health: EndpointHealth,
}

/// The target of a share of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteTarget {
    /// The endpoints of a version.
    Version(Version),
    /// The requests are rejected without an attempt.
    Reject,
}

/// A share of a class's requests and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// The target.
    pub target: RouteTarget,
    /// The share of the requests.
    pub share: PartsPerMillion,
}

/// The failed attempts that a proxy may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Attempts that were definitely not executed: the connection failed, or the endpoint rejected the attempt.
    NotExecuted,
    /// All failed attempts.
    Any,
}

/// The routing of one class's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The index of the class.
    pub class: usize,
    /// The shares of all targets; their sum is [`PartsPerMillion::FULL`].
    pub shares: Vec<RouteShare>,
    /// The shares for requests with a key, where keys are sticky.
    pub sticky_shares: Option<Vec<RouteShare>>,
    /// The time in ms after which a request fails.
    pub timeout: Millis,
    /// The time in ms after which an attempt times out and may be retried.
    pub attempt_timeout: Option<Millis>,
    /// The maximum number of retries of one request.
    pub max_retries: u32,
    /// The failed attempts that may be retried.
    pub retry_scope: RetryScope,
}
