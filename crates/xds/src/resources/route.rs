//! The route configuration (RDS), the same for all proxies.

use super::config::ResourceConfig;
use super::encoding::{ResourceMessage, to_duration, to_uint32_value};
use super::names::{REJECT_CLUSTER, ROUTES_NAME, cluster_name};
use crate::pb::envoy::config::route::v3::{self as xds, header_matcher::HeaderMatchSpecifier};
use crate::pb::envoy::r#type::matcher::v3::{StringMatcher, string_matcher::MatchPattern};
use latchhaven_policy::{Idempotency, RequestClass};
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::proxy_config::{ProxyConfig, RetryScope, Route, RouteShare, RouteTarget};
use prost::Message;
use std::collections::BTreeSet;

/// Envoy's `retry_on` conditions that imply that no endpoint executed the attempt.
const RETRY_ON_NOT_EXECUTED: &str = "connect-failure,refused-stream";
/// Envoy's `retry_on` conditions, including those under which an endpoint may have executed the attempt.
const RETRY_ON_ANY: &str = "connect-failure,refused-stream,reset,5xx";

/// Returns the route configuration, with one or two routes for each request class.
pub(super) fn encode_routes(proxy_config: &ProxyConfig, config: &ResourceConfig) -> ResourceMessage {
    let mut references = BTreeSet::new();
    let mut routes = Vec::new();
    for route in &proxy_config.routes {
        // Proxies use the first route that matches, so the route for requests with a sticky key precedes the other one.
        if let Some(sticky_shares) = &route.sticky_shares {
            references.extend(target_names(sticky_shares, route, config));
            routes.push(encode_route(route, sticky_shares, true, config));
        }
        references.extend(target_names(&route.shares, route, config));
        routes.push(encode_route(route, &route.shares, false, config));
    }
    let virtual_host = xds::VirtualHost {
        name: ROUTES_NAME.to_string(),
        domains: vec!["*".to_string()],
        routes,
        ..xds::VirtualHost::default()
    };
    let message = xds::RouteConfiguration {
        name: ROUTES_NAME.to_string(),
        virtual_hosts: vec![virtual_host],
        ..xds::RouteConfiguration::default()
    };
    ResourceMessage { name: ROUTES_NAME.to_string(), references, bytes: message.encode_to_vec() }
}

/// A route of one request class. If `has_key` is set, only requests with a sticky key match.
fn encode_route(route: &Route, shares: &[RouteShare], has_key: bool, config: &ResourceConfig) -> xds::Route {
    let class = &config.classes[route.class];
    let weighted_clusters = weighted_clusters(shares, class);
    let action = xds::RouteAction {
        timeout: Some(to_duration(route.timeout)),
        cluster_specifier: Some(xds::route_action::ClusterSpecifier::WeightedClusters(weighted_clusters)),
        retry_policy: (route.max_retries > 0).then(|| retry_policy(route, class)),
        ..xds::RouteAction::default()
    };
    let route_match = xds::RouteMatch {
        headers: header_matchers(class, has_key, config),
        path_specifier: Some(xds::route_match::PathSpecifier::Prefix("/".to_string())),
        ..xds::RouteMatch::default()
    };
    xds::Route {
        name: if has_key { format!("{}/keyed", class.name) } else { class.name.clone() },
        r#match: Some(route_match),
        action: Some(xds::route::Action::Route(action)),
        ..xds::Route::default()
    }
}

fn target_name(target: RouteTarget, class: &RequestClass) -> String {
    match target {
        RouteTarget::Version(version) => cluster_name(version, &class.name),
        RouteTarget::Reject => REJECT_CLUSTER.to_string(),
    }
}

fn target_names(
    shares: &[RouteShare], route: &Route, config: &ResourceConfig,
) -> impl Iterator<Item = String> {
    let class = &config.classes[route.class];
    shares.iter().map(|share| target_name(share.target, class))
}

/// The weights are shares in parts per million.
fn weighted_clusters(shares: &[RouteShare], class: &RequestClass) -> xds::WeightedCluster {
    debug_assert_eq!(shares.iter().map(|share| share.share).sum::<PartsPerMillion>(), PartsPerMillion::FULL);
    let clusters = shares.iter().map(|share| xds::weighted_cluster::ClusterWeight {
        name: target_name(share.target, class),
        weight: Some(to_uint32_value(share.share.get())),
        ..Default::default()
    });
    xds::WeightedCluster { clusters: clusters.collect(), ..xds::WeightedCluster::default() }
}

/// Matches the header of the request class and, if `has_key` is set, the presence of the header of the sticky key.
fn header_matchers(class: &RequestClass, has_key: bool, config: &ResourceConfig) -> Vec<xds::HeaderMatcher> {
    let class_matcher = StringMatcher {
        match_pattern: Some(MatchPattern::Exact(class.name.clone())),
        ..StringMatcher::default()
    };
    let class_match = HeaderMatchSpecifier::StringMatch(class_matcher);
    let mut matchers = vec![header_matcher(&config.listener.class_header, class_match)];
    if has_key {
        matchers.push(header_matcher(&config.listener.key_header, HeaderMatchSpecifier::PresentMatch(true)));
    }
    matchers
}

fn header_matcher(name: &str, specifier: HeaderMatchSpecifier) -> xds::HeaderMatcher {
    xds::HeaderMatcher {
        name: name.to_string(),
        header_match_specifier: Some(specifier),
        ..xds::HeaderMatcher::default()
    }
}

fn retry_policy(route: &Route, class: &RequestClass) -> xds::RetryPolicy {
    // A second check, in addition to the scope of the route: a non-idempotent request is retried only if no endpoint
    // executed the attempt.
    let retry_on = match route.retry_scope {
        RetryScope::NotExecuted => RETRY_ON_NOT_EXECUTED,
        RetryScope::Any if class.idempotency == Idempotency::NonIdempotent => RETRY_ON_NOT_EXECUTED,
        RetryScope::Any => RETRY_ON_ANY,
    };
    xds::RetryPolicy {
        retry_on: retry_on.to_string(),
        num_retries: Some(to_uint32_value(route.max_retries)),
        per_try_timeout: route.attempt_timeout.map(to_duration),
        ..xds::RetryPolicy::default()
    }
}
