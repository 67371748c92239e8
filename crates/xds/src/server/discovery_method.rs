//! The discovery methods and their paths.

use crate::resources::ResourceType;

/// A discovery method.
#[derive(Clone, Copy)]
pub(super) struct DiscoveryMethod {
    /// The incremental form of the protocol.
    pub(super) incremental: bool,
    /// The only type on the stream; none: all types.
    pub(super) only_type: Option<ResourceType>,
}

impl DiscoveryMethod {
    /// The method of a path; none if it is not implemented.
    pub(super) fn from_path(path: &str) -> Option<DiscoveryMethod> {
        let (service, method) = path.strip_prefix("/envoy.service.")?.split_once('/')?;
        let only_type = match service {
            "discovery.v3.AggregatedDiscoveryService" => None,
            "cluster.v3.ClusterDiscoveryService" => Some(ResourceType::Cluster),
            "endpoint.v3.EndpointDiscoveryService" => Some(ResourceType::Endpoint),
            "endpoint.v3.LocalityEndpointDiscoveryService" => Some(ResourceType::LbEndpoint),
            "listener.v3.ListenerDiscoveryService" => Some(ResourceType::Listener),
            "route.v3.RouteDiscoveryService" => Some(ResourceType::Route),
            _ => return None,
        };
        let incremental = match method {
            "StreamAggregatedResources"
            | "StreamClusters"
            | "StreamEndpoints"
            | "StreamListeners"
            | "StreamRoutes" => false,
            "DeltaAggregatedResources"
            | "DeltaClusters"
            | "DeltaEndpoints"
            | "DeltaLocalityEndpoints"
            | "DeltaListeners"
            | "DeltaRoutes" => true,
            _ => return None,
        };
        // Single endpoints exist in the incremental form only.
        let is_served = incremental || only_type != Some(ResourceType::LbEndpoint);
        is_served.then_some(DiscoveryMethod { incremental, only_type })
    }
}
