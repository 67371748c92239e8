//! Settings of resources, which do not change while the service runs.

use latchhaven_policy::{Millis, RequestClass};
use std::net::SocketAddr;

/// Settings of all resources. Set once when the control service starts.
#[derive(Clone, Debug)]
pub struct ResourceConfig {
    /// The request classes, in the order by which a proxy configuration refers to them.
    pub classes: Vec<RequestClass>,
    /// Where proxies accept requests, and which headers they evaluate.
    pub listener: ListenerConfig,
}

/// Settings of the proxies' listener, and of their connections to endpoints.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// The address on which every proxy listens for requests.
    pub address: SocketAddr,
    /// The header whose value is the name of the request class.
    pub class_header: String,
    /// The header with the sticky key of a request. Optional in requests.
    pub key_header: String,
    /// The timeout of a connection attempt from a proxy to an endpoint.
    pub connect_timeout: Millis,
    /// If set, incremental streams receive each endpoint as an LEDS resource, so that a change of one endpoint does not
    /// send the others again. Otherwise endpoints are inline in EDS resources.
    pub separate_endpoints: bool,
}
