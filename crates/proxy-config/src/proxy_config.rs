//! The configuration of proxies: clusters by version and request class, endpoints by version, and a route by class.
//!
//! [`build_proxy_config`] derives it from a snapshot of the policy. A proxy routes each request by itself; the rules on
//! exposure, retries, sticky keys and slow start act through the limits and shares of the configuration.
//!
//! - `model`: the parts of a configuration, and its settings.
//! - `context`: the inputs of one configuration, and the capacities and baselines derived from them.
//! - `endpoints`, `clusters`, `routes`: the parts of one configuration.
//! - `builder`: puts them together.

mod builder;
mod clusters;
mod context;
mod endpoints;
mod model;
mod routes;

pub use builder::build_proxy_config;
pub use model::{
    Cluster, ConfiguredEndpoint, EndpointHealth, ProxyConfig, ProxyConfigSettings, RetryScope, Route,
    RouteShare, RouteTarget,
};
