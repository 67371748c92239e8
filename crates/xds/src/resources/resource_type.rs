//! The xDS resource types that the control service serves.

/// An xDS resource type. The order of the variants is the order in which responses are sent: clusters before the
/// endpoints that proxies then subscribe to, listeners before routes. The order alone does not ensure that clusters and
/// endpoints are acknowledged before routes are sent; the stream checks this for each response of routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// Clusters (CDS).
    Cluster,
    /// The endpoints of one version (EDS), inline or as references to LEDS collections.
    Endpoint,
    /// Single endpoints in collections (LEDS). Served on incremental streams only.
    LbEndpoint,
    /// Listeners (LDS).
    Listener,
    /// Route configurations (RDS).
    Route,
}

impl ResourceType {
    /// All served types, in the order in which responses are sent.
    pub const ALL: [ResourceType; 5] = [
        ResourceType::Cluster,
        ResourceType::Endpoint,
        ResourceType::LbEndpoint,
        ResourceType::Listener,
        ResourceType::Route,
    ];

    /// The `type_url` in discovery requests and responses, and of the `Any` around each resource.
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

    /// Returns `None` if the control service does not serve the type.
    #[must_use]
    pub fn from_url(url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|resource_type| resource_type.url() == url)
    }

    /// Returns `true` if a first request without resource names subscribes to all resources of the type (wildcard).
    #[must_use]
    pub fn is_wildcard(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }
}
