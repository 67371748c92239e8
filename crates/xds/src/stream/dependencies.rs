//! Dependencies between types: the references that delay a response, and the resources that are retained although the
//! snapshot does not have them.

use super::Stream;
use super::type_state::TypeState;
use crate::resources::{Resource, ResourceSnapshot, ResourceType, TypeResources};
use std::collections::BTreeSet;

/// Resources that are retained at a proxy although the snapshot does not have them.
pub(super) enum Retained<'a> {
    /// None of the type.
    None,
    /// All: it is unknown which ones the proxy's routes reference.
    All,
    /// Those with these names.
    Names(BTreeSet<String>),
    /// Endpoints of the proxy's clusters.
    EndpointsOf(&'a TypeState),
}

impl Retained<'_> {
    /// True where the resource with this name is retained.
    pub(super) fn contains(&self, name: &str) -> bool {
        match self {
            Retained::None => false,
            Retained::All => true,
            Retained::Names(names) => names.contains(name),
            Retained::EndpointsOf(clusters) => has_cluster_with_endpoints(clusters, name),
        }
    }
}

/// True where one of the proxy's clusters references these endpoints.
fn has_cluster_with_endpoints(clusters: &TypeState, endpoints_name: &str) -> bool {
    clusters.accepted.iter().any(|(cluster_name, accepted)| match &accepted.resource {
        Some(cluster) => cluster.references.contains(endpoints_name),
        // From an earlier stream: the name of a cluster begins with that of its endpoints.
        None => cluster_name.split_once('/').is_some_and(|(version, _)| version == endpoints_name),
    })
}

impl Stream {
    /// True where a response of this type may be sent: no other one is pending, the snapshot is at least as new as the
    /// proxy's resources, and the proxy has accepted the resources that the response references.
    pub(super) fn may_respond(&self, resource_type: ResourceType, snapshot: &ResourceSnapshot) -> bool {
        let Some(state) = self.subscribed(resource_type) else { return false };
        let is_too_old =
            state.minimum_version.is_some_and(|minimum| !snapshot.version.is_up_to_date_with(&minimum));
        if state.pending.is_some() || is_too_old {
            return false;
        }
        match resource_type {
            ResourceType::Route => self.are_route_references_accepted(snapshot),
            ResourceType::Cluster => !self.waits_for_endpoint_names(state),
            _ => true,
        }
    }

    /// A reconnected proxy subscribes to its endpoints by name. Until then, or until the naming grace ends, it is unknown
    /// which clusters its routes reference.
    fn waits_for_endpoint_names(&self, clusters: &TypeState) -> bool {
        let has_reconnected = clusters.minimum_version.is_some();
        let names_endpoints = self.subscribed(ResourceType::Endpoint).is_some();
        !self.incremental
            && self.only_type.is_none()
            && has_reconnected
            && !names_endpoints
            && !self.naming_grace_ended
    }

    /// True where all clusters that the new routes reference were accepted, with their endpoints. Not checked on a stream
    /// without clusters.
    fn are_route_references_accepted(&self, snapshot: &ResourceSnapshot) -> bool {
        if self.only_type.is_some() || self.subscribed(ResourceType::Cluster).is_none() {
            return true;
        }
        let routes = snapshot.resources(ResourceType::Route, self.separate_endpoints);
        let clusters = snapshot.resources(ResourceType::Cluster, self.separate_endpoints);
        let endpoints = snapshot.resources(ResourceType::Endpoint, self.separate_endpoints);
        let mut cluster_names = routes.resources.values().flat_map(|route| &route.references);
        cluster_names.all(|name| {
            let cluster = clusters.resources.get(name);
            self.has_accepted(ResourceType::Cluster, name)
                && cluster.is_none_or(|cluster| self.are_endpoints_accepted(cluster, endpoints))
        })
    }

    /// True where the proxy has the endpoints of a cluster and, if they are collections, an endpoint of each.
    fn are_endpoints_accepted(&self, cluster: &Resource, endpoints: &TypeResources) -> bool {
        cluster.references.iter().all(|name| {
            let collections = endpoints.resources.get(name).map(|endpoints| &endpoints.references);
            self.has_accepted(ResourceType::Endpoint, name)
                && collections.into_iter().flatten().all(|prefix| self.has_accepted_endpoint_in(prefix))
        })
    }

    fn has_accepted(&self, resource_type: ResourceType, name: &str) -> bool {
        self.types.get(&resource_type).is_some_and(|state| state.accepted.contains_key(name))
    }

    fn has_accepted_endpoint_in(&self, collection: &String) -> bool {
        let Some(endpoints) = self.types.get(&ResourceType::LbEndpoint) else { return false };
        let first_after = endpoints.accepted.range(collection.clone()..).next();
        first_after.is_some_and(|(name, _)| name.starts_with(collection))
    }

    /// The resources of a type that are retained although the snapshot does not have them.
    pub(super) fn retained(&self, resource_type: ResourceType, snapshot: &ResourceSnapshot) -> Retained<'_> {
        match resource_type {
            ResourceType::Cluster => match self.routed_clusters(snapshot) {
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

    /// The clusters referenced by the proxy's routes and by pending ones; none where they are unknown.
    fn routed_clusters(&self, snapshot: &ResourceSnapshot) -> Option<BTreeSet<String>> {
        let routes = self.subscribed(ResourceType::Route)?;
        // Before it accepts routes on this stream, a proxy may use routes of an earlier one.
        if routes.accepted.is_empty() {
            return None;
        }
        let current = snapshot.resources(ResourceType::Route, self.separate_endpoints);
        let mut names = BTreeSet::new();
        for (name, accepted) in &routes.accepted {
            let unchanged = current.resources.get(name).filter(|route| route.hash == accepted.hash);
            let route = accepted.resource.as_ref().or(unchanged)?;
            names.extend(route.references.iter().cloned());
        }
        if let Some(pending) = &routes.pending {
            let references = pending.content.resources.iter().flat_map(|route| &route.references);
            names.extend(references.cloned());
        }
        Some(names)
    }
}
