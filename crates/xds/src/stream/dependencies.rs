//! Dependencies between types: the references that delay a response, and the resources that are retained although the
//! snapshot does not have them.

use super::Stream;
use super::type_state::TypeState;
use crate::resources::{Resource, ResourceSnapshot, ResourceType, TypeResources};
use std::collections::BTreeSet;

/// Resources of one type that a proxy retains although the snapshot does not contain them.
pub(super) enum Retained<'a> {
    None,
    /// Used for clusters while it is unknown which ones the proxy's routes reference.
    All,
    Names(BTreeSet<String>),
    /// The EDS resources that these clusters reference.
    EndpointsOf(&'a TypeState),
}

impl Retained<'_> {
    pub(super) fn contains(&self, name: &str) -> bool {
        match self {
            Retained::None => false,
            Retained::All => true,
            Retained::Names(names) => names.contains(name),
            Retained::EndpointsOf(clusters) => has_cluster_with_endpoints(clusters, name),
        }
    }
}

/// Returns `true` if one of the proxy's clusters references the EDS resource with this name.
fn has_cluster_with_endpoints(clusters: &TypeState, endpoints_name: &str) -> bool {
    clusters.acknowledged.iter().any(|(cluster_name, acknowledged)| match &acknowledged.resource {
        Some(cluster) => cluster.references.contains(endpoints_name),
        // The content of a cluster from an earlier stream is unknown, but its name begins with that of its endpoints.
        None => cluster_name.split_once('/').is_some_and(|(version, _)| version == endpoints_name),
    })
}

impl Stream {
    /// Returns `true` if a response of this type may be sent: no other one of the type is pending, the snapshot is at
    /// least as new as the proxy's resources, and the proxy has acknowledged the resources that the response
    /// references.
    pub(super) fn may_respond(&self, resource_type: ResourceType, snapshot: &ResourceSnapshot) -> bool {
        let Some(state) = self.subscribed(resource_type) else { return false };
        let is_too_old =
            state.minimum_version.is_some_and(|minimum| !snapshot.version.is_up_to_date_with(&minimum));
        if state.pending.is_some() || is_too_old {
            return false;
        }
        match resource_type {
            ResourceType::Route => self.are_route_references_acknowledged(snapshot),
            ResourceType::Cluster => !self.waits_for_endpoint_subscription(state),
            _ => true,
        }
    }

    /// Returns `true` while it is unknown which clusters the routes of a reconnected proxy reference. A proxy on a
    /// state-of-the-world stream does not list its resources, but subscribes to its endpoints by name. Clusters are
    /// delayed until then, or until `ENDPOINT_SUBSCRIPTION_TIMEOUT`, so that clusters of removed versions are sent as
    /// well.
    fn waits_for_endpoint_subscription(&self, clusters: &TypeState) -> bool {
        let has_reconnected = clusters.minimum_version.is_some();
        let subscribes_to_endpoints = self.subscribed(ResourceType::Endpoint).is_some();
        !self.incremental
            && self.only_type.is_none()
            && has_reconnected
            && !subscribes_to_endpoints
            && !self.endpoint_subscription_timed_out
    }

    /// Returns `true` if the proxy has acknowledged all clusters that the new routes reference, with their endpoints,
    /// or if the stream carries no clusters.
    fn are_route_references_acknowledged(&self, snapshot: &ResourceSnapshot) -> bool {
        if self.only_type.is_some() || self.subscribed(ResourceType::Cluster).is_none() {
            return true;
        }
        let routes = snapshot.resources(ResourceType::Route, self.separate_endpoints);
        let clusters = snapshot.resources(ResourceType::Cluster, self.separate_endpoints);
        let endpoints = snapshot.resources(ResourceType::Endpoint, self.separate_endpoints);
        let mut cluster_names = routes.resources.values().flat_map(|route| &route.references);
        cluster_names.all(|name| {
            let cluster = clusters.resources.get(name);
            self.has_acknowledged(ResourceType::Cluster, name)
                && cluster.is_none_or(|cluster| self.are_endpoints_acknowledged(cluster, endpoints))
        })
    }

    /// Returns `true` if the proxy has acknowledged the EDS resource of a cluster and, if that references LEDS
    /// collections, at least one endpoint of each.
    fn are_endpoints_acknowledged(&self, cluster: &Resource, endpoints: &TypeResources) -> bool {
        cluster.references.iter().all(|name| {
            let collections = endpoints.resources.get(name).map(|endpoints| &endpoints.references);
            self.has_acknowledged(ResourceType::Endpoint, name)
                && collections.into_iter().flatten().all(|prefix| self.has_acknowledged_endpoint_in(prefix))
        })
    }

    fn has_acknowledged(&self, resource_type: ResourceType, name: &str) -> bool {
        self.types.get(&resource_type).is_some_and(|state| state.acknowledged.contains_key(name))
    }

    fn has_acknowledged_endpoint_in(&self, collection: &String) -> bool {
        let Some(endpoints) = self.types.get(&ResourceType::LbEndpoint) else { return false };
        let first_after = endpoints.acknowledged.range(collection.clone()..).next();
        first_after.is_some_and(|(name, _)| name.starts_with(collection))
    }

    pub(super) fn retained(&self, resource_type: ResourceType, snapshot: &ResourceSnapshot) -> Retained<'_> {
        match resource_type {
            ResourceType::Cluster => match self.clusters_of_routes(snapshot) {
                Some(names) => Retained::Names(names),
                None => Retained::All,
            },
            ResourceType::Endpoint => match self.types.get(&ResourceType::Cluster) {
                Some(clusters) => Retained::EndpointsOf(clusters),
                None => Retained::None,
            },
            _ => Retained::None,
        }
    }

    /// The clusters that the proxy's routes reference, and those of routes in a pending response. Returns `None` if
    /// routes of the proxy are unknown.
    fn clusters_of_routes(&self, snapshot: &ResourceSnapshot) -> Option<BTreeSet<String>> {
        let routes = self.subscribed(ResourceType::Route)?;
        // Until the proxy acknowledges routes on this stream, it may use routes of an earlier stream.
        if routes.acknowledged.is_empty() {
            return None;
        }
        let current = snapshot.resources(ResourceType::Route, self.separate_endpoints);
        let mut names = BTreeSet::new();
        for (name, acknowledged) in &routes.acknowledged {
            let unchanged = current.resources.get(name).filter(|route| route.hash == acknowledged.hash);
            let route = acknowledged.resource.as_ref().or(unchanged)?;
            names.extend(route.references.iter().cloned());
        }
        if let Some(pending) = &routes.pending {
            let references = pending.content.resources.iter().flat_map(|route| &route.references);
            names.extend(references.cloned());
        }
        Some(names)
    }
}
