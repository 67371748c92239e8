//! The listener resource (LDS), the same for all proxies.

use super::config::ListenerConfig;
use super::encoding::{ResourceMessage, aggregated_config_source, to_any, to_xds_address};
use super::names::{LISTENER_NAME, ROUTES_NAME};
use crate::pb::envoy::config::listener::v3 as xds;
use crate::pb::envoy::extensions::filters::http::router::v3::Router;
use crate::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use prost::Message;
use std::collections::BTreeSet;

/// A listener with one filter chain of an HTTP connection manager, which requests its routes over the aggregated
/// stream.
pub(super) fn encode_listener(config: &ListenerConfig) -> ResourceMessage {
    let manager_type = "envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
    let filter = xds::Filter {
        name: "envoy.filters.network.http_connection_manager".to_string(),
        config_type: Some(xds::filter::ConfigType::TypedConfig(to_any(
            manager_type,
            &http_connection_manager(),
        ))),
    };
    let filter_chain = xds::FilterChain { filters: vec![filter], ..xds::FilterChain::default() };
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
    let rds = manager::Rds {
        config_source: Some(aggregated_config_source()),
        route_config_name: ROUTES_NAME.to_string(),
    };
    manager::HttpConnectionManager {
        stat_prefix: LISTENER_NAME.to_string(),
        http_filters: vec![router],
        route_specifier: Some(manager::http_connection_manager::RouteSpecifier::Rds(rds)),
        ..manager::HttpConnectionManager::default()
    }
}
