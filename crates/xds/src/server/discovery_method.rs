//! The discovery methods and their paths.

use crate::resources::ResourceType;

/// The protocol variant and resource type of a discovery stream, as its gRPC path determines them.
#[derive(Clone, Copy)]
pub(super) struct DiscoveryMethod {
    /// Set for incremental (delta) xDS, otherwise the protocol is state of the world.
    pub(super) incremental: bool,
    /// The only resource type on the stream. `None` if the stream is aggregated (ADS).
    pub(super) only_type: Option<ResourceType>,
}

impl DiscoveryMethod {
    /// The method of a gRPC path. `None` if the server does not implement it.
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
        // LEDS exists only as incremental xDS.
        let is_implemented = incremental || only_type != Some(ResourceType::LbEndpoint);
        is_implemented.then_some(DiscoveryMethod { incremental, only_type })
    }
}
