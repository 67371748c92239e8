//! Finds the routes and endpoints that a proxy with the cached resources uses for requests.

use super::cache::ResourceCache;
use super::decode::{CachedEndpoint, CachedRoute};
use latchhaven_xds::resources::ResourceType;

/// The endpoints of a cluster, and whether the cluster allows retries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterEndpoints {
    /// Endpoints in the cluster's endpoint resource and in the collections that it references.
    pub endpoints: Vec<CachedEndpoint>,
    /// Set when failed attempts may be retried in the cluster.
    pub allows_retries: bool,
}

impl ResourceCache {
    /// The route of a request class. `has_key` selects the route of requests with a deduplication key, if the class has
    /// one.
    pub fn route(&self, class: &str, has_key: bool) -> Option<&CachedRoute> {
        let routes = &self.resources(ResourceType::Route)?.values().next()?.routes;
        let route_with_key = routes.get(&format!("{class}/keyed")).filter(|_| has_key);
        route_with_key.or_else(|| routes.get(class))
    }

    /// The endpoints of the cluster of this name; empty if it is not cached.
    pub fn cluster_endpoints(&self, cluster: &str) -> ClusterEndpoints {
        let clusters = self.resources(ResourceType::Cluster);
        let Some(cluster) = clusters.and_then(|clusters| clusters.get(cluster)) else {
            return ClusterEndpoints::default();
        };
        let mut endpoints = Vec::new();
        for name in &cluster.references {
            let assignments = self.resources(ResourceType::Endpoint);
            let Some(assignment) = assignments.and_then(|assignments| assignments.get(name)) else {
                continue;
            };
            endpoints.extend(assignment.endpoints.iter().cloned());
            for collection in &assignment.references {
                self.add_collection(collection.trim_end_matches('*'), &mut endpoints);
            }
        }
        ClusterEndpoints { endpoints, allows_retries: cluster.max_retries > 0 }
    }

    /// Adds the endpoints whose resource names have this prefix.
    fn add_collection(&self, prefix: &str, endpoints: &mut Vec<CachedEndpoint>) {
        let Some(endpoints_by_name) = self.resources(ResourceType::LbEndpoint) else { return };
        let from_prefix = endpoints_by_name.range(prefix.to_string()..);
        let collection = from_prefix.take_while(|(name, _)| name.starts_with(prefix));
        endpoints.extend(collection.flat_map(|(_, resource)| resource.endpoints.iter().cloned()));
    }

    /// The number of endpoints that the endpoint resource of this name contains itself, without collections.
    pub fn inline_endpoint_count(&self, endpoints_name: &str) -> usize {
        let assignments = self.resources(ResourceType::Endpoint);
        let assignment = assignments.and_then(|assignments| assignments.get(endpoints_name));
        assignment.map_or(0, |assignment| assignment.endpoints.len())
    }

    /// The share of a request class that is routed to a version, in parts per million.
    pub fn version_share(&self, class: &str, version: u32) -> u32 {
        let prefix = format!("b{version}/");
        let Some(route) = self.route(class, false) else { return 0 };
        let clusters = route.clusters.iter().filter(|cluster| cluster.name.starts_with(&prefix));
        clusters.map(|cluster| cluster.weight).sum()
    }
}
