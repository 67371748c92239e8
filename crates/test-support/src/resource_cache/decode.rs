//! Decodes the resources of the cache from their messages.

use latchhaven_xds::load_stats::parse_address;
use latchhaven_xds::pb::envoy::config::cluster::v3::Cluster;
use latchhaven_xds::pb::envoy::config::core::v3::HealthStatus;
use latchhaven_xds::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use latchhaven_xds::pb::envoy::config::endpoint::v3::locality_lb_endpoints::LbConfig;
use latchhaven_xds::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LbEndpoint};
use latchhaven_xds::pb::envoy::config::listener::v3::{Filter, Listener, filter};
use latchhaven_xds::pb::envoy::config::route::v3::{
    Route, RouteConfiguration, WeightedCluster as XdsWeightedCluster, route, route_action,
};
use latchhaven_xds::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    HttpConnectionManager, http_connection_manager::RouteSpecifier,
};
use latchhaven_xds::pb::google::protobuf::Any;
use latchhaven_xds::resources::{REJECT_CLUSTER, ResourceType};
use prost::{DecodeError, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The limit of retries in flight of a cluster whose circuit breaker sets none, as in Envoy.
const DEFAULT_MAX_RETRIES: u32 = 3;
/// The weight of an endpoint whose message sets none.
const DEFAULT_WEIGHT: u32 = 1;

/// An endpoint of a cluster, as a proxy uses it.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedEndpoint {
    /// The address that requests are sent to.
    pub addr: SocketAddr,
    /// The weight in load balancing, relative to the other endpoints of the cluster.
    pub weight: u32,
    /// Set when the health status is `HEALTHY`, so that requests may be sent to the endpoint.
    pub is_healthy: bool,
}

/// A cluster of a route, and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedCluster {
    /// The name of the cluster resource.
    pub name: String,
    /// The share of the requests, in parts per million.
    pub weight: u32,
}

/// How the requests of one request class are routed and retried.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CachedRoute {
    /// The clusters that share the requests.
    pub clusters: Vec<WeightedCluster>,
    /// The maximum number of retries of one request.
    pub max_retries: u32,
    /// The conditions under which a request is retried, as a comma-separated list.
    pub retry_on: String,
}

/// A resource of any type. Fields that belong to other types are empty.
#[derive(Clone, Debug, Default)]
pub(super) struct CachedResource {
    pub(super) version_label: String,
    /// The names of referenced resources: a cluster references its endpoints, an endpoint resource its collections, a
    /// listener its routes, and routes their clusters.
    pub(super) references: BTreeSet<String>,
    pub(super) endpoints: Vec<CachedEndpoint>,
    /// Routes by name.
    pub(super) routes: BTreeMap<String, CachedRoute>,
    /// Of a cluster: the limit of retries in flight.
    pub(super) max_retries: u32,
}

pub(super) struct DecodedResource {
    pub(super) name: String,
    pub(super) resource: CachedResource,
}

/// Decodes a resource; `None` if it is malformed.
pub(super) fn decode(resource_type: ResourceType, any: &Any, version_label: &str) -> Option<DecodedResource> {
    let bytes = any.value.as_slice();
    let mut resource =
        CachedResource { version_label: version_label.to_string(), ..CachedResource::default() };
    let name = match resource_type {
        ResourceType::Cluster => resource.decode_cluster(bytes),
        ResourceType::Endpoint => resource.decode_endpoints(bytes).ok(),
        ResourceType::LbEndpoint => resource.decode_endpoint(bytes).ok(),
        ResourceType::Listener => resource.decode_listener(bytes).ok(),
        ResourceType::Route => resource.decode_routes(bytes).ok(),
    };
    Some(DecodedResource { name: name?, resource })
}

/// Each `decode_` method fills in the fields of one type of resource, and returns the resource's name.
impl CachedResource {
    fn decode_cluster(&mut self, bytes: &[u8]) -> Option<String> {
        let cluster = Cluster::decode(bytes).ok()?;
        if cluster.name != REJECT_CLUSTER {
            self.references.insert(cluster.eds_cluster_config?.service_name);
        }
        let thresholds = cluster.circuit_breakers.and_then(|breakers| breakers.thresholds.into_iter().next());
        let max_retries = thresholds.and_then(|thresholds| thresholds.max_retries);
        self.max_retries = max_retries.map_or(DEFAULT_MAX_RETRIES, |max_retries| max_retries.value);
        Some(cluster.name)
    }

    fn decode_endpoints(&mut self, bytes: &[u8]) -> Result<String, DecodeError> {
        let assignment = ClusterLoadAssignment::decode(bytes)?;
        for locality in assignment.endpoints {
            self.endpoints.extend(locality.lb_endpoints.iter().filter_map(cached_endpoint));
            if let Some(LbConfig::LedsClusterLocalityConfig(collection)) = locality.lb_config {
                self.references.insert(collection.leds_collection_name);
            }
        }
        Ok(assignment.cluster_name)
    }

    /// Returns an empty name: the message of a single endpoint does not contain its own name.
    fn decode_endpoint(&mut self, bytes: &[u8]) -> Result<String, DecodeError> {
        let endpoint = LbEndpoint::decode(bytes)?;
        self.endpoints.extend(cached_endpoint(&endpoint));
        Ok(String::new())
    }

    fn decode_listener(&mut self, bytes: &[u8]) -> Result<String, DecodeError> {
        let listener = Listener::decode(bytes)?;
        for filter in listener.filter_chains.into_iter().flat_map(|chain| chain.filters) {
            self.references.extend(route_config_name(filter)?);
        }
        Ok(listener.name)
    }

    fn decode_routes(&mut self, bytes: &[u8]) -> Result<String, DecodeError> {
        let configuration = RouteConfiguration::decode(bytes)?;
        for route in configuration.virtual_hosts.into_iter().flat_map(|host| host.routes) {
            self.add_route(route);
        }
        Ok(configuration.name)
    }

    /// Adds a route with weighted clusters. Other routes are ignored.
    fn add_route(&mut self, route: Route) {
        let Some(route::Action::Route(action)) = route.action else { return };
        let Some(route_action::ClusterSpecifier::WeightedClusters(weighted)) = action.cluster_specifier
        else {
            return;
        };
        let clusters = cached_clusters(weighted);
        self.references.extend(clusters.iter().map(|cluster| cluster.name.clone()));
        let retry_policy = action.retry_policy.unwrap_or_default();
        let max_retries = retry_policy.num_retries.map_or(0, |num_retries| num_retries.value);
        let cached = CachedRoute { clusters, max_retries, retry_on: retry_policy.retry_on };
        self.routes.insert(route.name, cached);
    }
}

/// The name of the route configuration that a listener's filter refers to; `None` if it refers to none.
fn route_config_name(filter: Filter) -> Result<Option<String>, DecodeError> {
    let Some(filter::ConfigType::TypedConfig(any)) = filter.config_type else { return Ok(None) };
    let manager = HttpConnectionManager::decode(any.value.as_slice())?;
    match manager.route_specifier {
        Some(RouteSpecifier::Rds(routes)) => Ok(Some(routes.route_config_name)),
        _ => Ok(None),
    }
}

fn cached_clusters(weighted: XdsWeightedCluster) -> Vec<WeightedCluster> {
    let clusters = weighted.clusters.into_iter().map(|cluster| WeightedCluster {
        name: cluster.name,
        weight: cluster.weight.map_or(0, |weight| weight.value),
    });
    clusters.collect()
}

fn cached_endpoint(endpoint: &LbEndpoint) -> Option<CachedEndpoint> {
    let Some(HostIdentifier::Endpoint(identifier)) = &endpoint.host_identifier else { return None };
    let addr = parse_address(identifier.address.as_ref()?)?;
    let weight = endpoint.load_balancing_weight.map_or(DEFAULT_WEIGHT, |weight| weight.value);
    Some(CachedEndpoint { addr, weight, is_healthy: endpoint.health_status == HealthStatus::Healthy as i32 })
}
