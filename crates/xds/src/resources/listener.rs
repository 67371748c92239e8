//! The listener resource (LDS) that every proxy is sent, and the settings it is made of.

use super::encoding::{ResourceMessage, aggregated_config_source, to_any, to_xds_address};
use super::names::{LISTENER_NAME, ROUTES_NAME};
use crate::pb::envoy::config::listener::v3 as xds;
use crate::pb::envoy::extensions::filters::http::router::v3::Router;
use crate::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use latchhaven_policy::Millis;
use prost::Message;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Settings of proxies that do not change while the service runs.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// Where proxies accept requests.
    pub address: SocketAddr,
    /// The header that names the request class.
    pub class_header: String,
    /// The header that carries the key by which requests stay with one version.
    pub key_header: String,
    /// Limit for opening a connection to an endpoint, in ms.
    pub connect_timeout: Millis,
    /// Incremental streams are sent each endpoint as a resource of its own.
    pub separate_endpoints: bool,
}

/// The listener: one chain with an HTTP connection manager that takes its routes from the aggregated stream.
pub(super) fn encode_listener(config: &ListenerConfig) -> ResourceMessage {
    let manager_type = "envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
    let manager_filter = xds::Filter {
        name: "envoy.filters.network.http_connection_manager".to_string(),
        config_type: Some(xds::filter::ConfigType::TypedConfig(to_any(
            manager_type,
            &http_connection_manager(),
        ))),
    };
    let filter_chain = xds::FilterChain { filters: vec![manager_filter], ..xds::FilterChain::default() };
    let message = xds::Listener {
        name: LISTENER_NAME.to_string(),
        address: Some(to_xds_address(config.address)),
        filter_chains: vec![filter_chain],
        ..xds::Listener::default()
    };
    ResourceMessage {
        name: LISTENER_NAME.to_string(),
        references: BTreeSet::from([ROUTES_NAME.to_string()]),
        bytes: message.encode_to_vec(),
    }
}

fn http_connection_manager() -> manager::HttpConnectionManager {
    let router_config = to_any("envoy.extensions.filters.http.router.v3.Router", &Router::default());
    let router = manager::HttpFilter {
        name: "envoy.filters.http.router".to_string(),
        config_type: Some(manager::http_filter::ConfigType::TypedConfig(router_config)),
        ..manager::HttpFilter::default()
    };
    let routes = manager::Rds {
        config_source: Some(aggregated_config_source()),
        route_config_name: ROUTES_NAME.to_string(),
    };
    manager::HttpConnectionManager {
        stat_prefix: LISTENER_NAME.to_string(),
        http_filters: vec![router],
        route_specifier: Some(manager::http_connection_manager::RouteSpecifier::Rds(routes)),
        ..manager::HttpConnectionManager::default()
    }
}
