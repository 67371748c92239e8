//! The settings of resources that do not change while the service runs.

use latchhaven_policy::{Millis, RequestClass};
use std::net::SocketAddr;

/// The settings of all resources.
#[derive(Clone, Debug)]
pub struct ResourceConfig {
    /// The request classes; a proxy configuration refers to them by index.
    pub classes: Vec<RequestClass>,
    /// Settings of the proxies' listener.
    pub listener: ListenerConfig,
}

/// The settings of the proxies' listener, and of their connections.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// The address on which proxies accept requests.
    pub address: SocketAddr,
    /// The header that names the request class.
    pub class_header: String,
    /// The header with the sticky key of a request.
    pub key_header: String,
    /// The timeout of connecting to an endpoint, in ms.
    pub connect_timeout: Millis,
    /// Incremental streams get each endpoint as a resource of its own.
    pub separate_endpoints: bool,
}
