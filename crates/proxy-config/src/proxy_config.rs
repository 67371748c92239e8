//! The configuration of proxies: clusters by version and request class, endpoints by version, and a route by class.
//!
//! [`build_proxy_config`] derives a configuration from a snapshot of the policy. A proxy routes each request without
//! the control service. The rules on exposure, retries, sticky keys and slow start therefore act through the limits
//! and shares that the configuration contains.
//!
//! - `model`: the types that a configuration consists of, and the settings.
//! - `context`: the inputs of one configuration, and the capacities and baselines derived from them.
//! - `endpoints`, `clusters`, `routes`: each derives the part of the configuration that it is named for.
//! - `builder`: combines these parts.

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
