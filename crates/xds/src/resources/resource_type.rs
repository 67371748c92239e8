//! The types of xDS resources that are served.

/// A type of resource. The order of the variants is the order in which responses are sent: clusters before the endpoints
/// that proxies then subscribe to, listeners before routes. That routes follow accepted clusters and endpoints is checked
/// for each response of routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// Clusters (CDS).
    Cluster,
    /// The endpoints of a cluster (EDS).
    Endpoint,
    /// Single endpoints in a collection (LEDS); incremental streams only.
    LbEndpoint,
    /// Listeners (LDS).
    Listener,
    /// Route configurations (RDS).
    Route,
}

impl ResourceType {
    /// All types in the order in which responses are sent.
    pub const ALL: [ResourceType; 5] = [
        ResourceType::Cluster,
        ResourceType::Endpoint,
        ResourceType::LbEndpoint,
        ResourceType::Listener,
        ResourceType::Route,
    ];

    /// The type URL of this type.
    #[must_use]
    pub fn url(self) -> &'static str {
        match self {
            ResourceType::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            ResourceType::Endpoint => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            ResourceType::LbEndpoint => "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
            ResourceType::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            ResourceType::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The type with this type URL, if it is served.
    #[must_use]
    pub fn from_url(url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|resource_type| resource_type.url() == url)
    }

    /// True where a client that names no resources subscribes to all of them.
    #[must_use]
    pub fn is_wildcard(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }
}
