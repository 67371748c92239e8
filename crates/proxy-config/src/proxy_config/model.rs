//! The types that a proxy configuration consists of, and the settings from which it is built.

use crate::parts_per_million::PartsPerMillion;
use crate::published_shares::CanaryShares;
use latchhaven_policy::{ExposureConfig, Millis, RequestClass, SlowStartConfig, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Settings that stay the same for all configurations of a process.
#[derive(Clone, Debug)]
pub struct ProxyConfigSettings {
    /// The request classes. Clusters, routes and shares refer to a class by its index in this list.
    pub classes: Vec<RequestClass>,
    /// The exposure rule: limits on the requests that a canary may get.
    pub exposure: ExposureConfig,
    /// The slow start of endpoints, which limits the share of a canary that is warming up.
    pub slow_start: SlowStartConfig,
    /// The maximum number of attempts of one request, the first one included.
    pub max_attempts: usize,
    /// The limit of attempts in flight at an endpoint of weight 1 after its slow start, over all proxies.
    pub max_in_flight_per_endpoint: u32,
}

/// A complete configuration, the same for all proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    /// All clusters, sorted by version, then class.
    pub clusters: Vec<Cluster>,
    /// The endpoints of each version, shared by the clusters of all classes.
    pub endpoints: BTreeMap<Version, Vec<ConfiguredEndpoint>>,
    /// The share of requests that proxies reject on arrival to shed load.
    pub shed_share: PartsPerMillion,
    /// One route for each class, by the index of the class.
    pub routes: Vec<Route>,
    /// The share of each class's requests that all canaries together get, as the routes contain it.
    pub canary_shares: CanaryShares,
}

/// The endpoints of one version, for the requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// The version that all endpoints of the cluster run.
    pub version: Version,
    /// The index of the class whose requests are routed to the cluster.
    pub class: usize,
    /// The maximum number of attempts in flight from each proxy.
    pub max_in_flight: u32,
    /// Set when failed attempts may be retried. Not set for a canary with a traffic cap, which counts every attempt.
    pub allows_retries: bool,
}

/// Whether proxies send requests to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// Receives requests: ready, and not ejected unless all ready endpoints of the version are.
    Healthy,
    /// Receives no requests, since the outlier detection ejected the endpoint.
    Unhealthy,
    /// Receives no new requests, since the endpoint is not ready; attempts in flight continue.
    Draining,
}

/// One endpoint as proxies see it.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEndpoint {
    /// The endpoint's id from discovery.
    pub endpoint: String,
    /// The address to which proxies connect.
    pub address: SocketAddr,
    /// The zone in which the endpoint runs.
    pub zone: String,
    /// The endpoint's relative part of the requests among the endpoints of its version, from 1 to 1,000,000.
    pub weight: u32,
    /// Whether proxies send requests to the endpoint.
    pub health: EndpointHealth,
}

/// Where a share of a class's requests is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteTarget {
    /// The cluster of this version for the class.
    Version(Version),
    /// Nowhere: the proxy rejects the requests without an attempt.
    Reject,
}

/// A share of a class's requests and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteShare {
    /// Where the requests are routed.
    pub target: RouteTarget,
    /// The share of the class's requests that the target gets.
    pub share: PartsPerMillion,
}

/// Which failed attempts a proxy may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Only attempts that were certainly not executed: the connection failed, or the endpoint rejected the attempt.
    NotExecuted,
    /// All failed attempts, including those that may have been executed.
    Any,
}

/// The routing of one class's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The index of the class whose requests the route is for.
    pub class: usize,
    /// The shares of all targets; their sum is [`PartsPerMillion::FULL`].
    pub shares: Vec<RouteShare>,
    /// The shares for requests with a key. `None` if keys are not sticky: then `shares` applies to all requests.
    pub sticky_shares: Option<Vec<RouteShare>>,
    /// Time after which the proxy ends a request with an error, retries included.
    pub timeout: Millis,
    /// Time after which an attempt times out and may be retried. `None` if an attempt may last until the request's
    /// timeout.
    pub attempt_timeout: Option<Millis>,
    /// The maximum number of retries of one request, the first attempt not included.
    pub max_retries: u32,
    /// Which failed attempts may be retried.
    pub retry_scope: RetryScope,
}
