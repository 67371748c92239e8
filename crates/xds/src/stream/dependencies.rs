//! Dependencies between types: what a response waits for, and which resources stay although the snapshot has them no
//! more.

use super::Stream;
use super::type_state::TypeState;
use crate::resources::{Resource, ResourceSnapshot, ResourceType, TypeResources};
use std::collections::BTreeSet;

/// Resources that a proxy keeps although the snapshot has them no more.
pub(super) enum Retained<'a> {
    /// None of the type.
    None,
    /// All: which ones the proxy's routes reference is not known.
    All,
    /// Those with these names.
    Names(BTreeSet<String>),
    /// Endpoints of the clusters that are held.
    EndpointsOf(&'a TypeState),
}

impl Retained<'_> {
    /// True where the resource with this name stays.
    pub(super) fn contains(&self, name: &str) -> bool {
        match self {
            Retained::None => false,
            Retained::All => true,
            Retained::Names(names) => names.contains(name),
            Retained::EndpointsOf(clusters) => has_cluster_with_endpoints(clusters, name),
        }
    }
}

/// True where a cluster is held that references these endpoints.
fn has_cluster_with_endpoints(clusters: &TypeState, endpoints_name: &str) -> bool {
    clusters.held.iter().any(|(cluster_name, held)| match &held.resource {
        Some(cluster) => cluster.references.contains(endpoints_name),
        // Held from an earlier stream: its name begins with that of its endpoints.
        None => cluster_name.split_once('/').is_some_and(|(version, _)| version == endpoints_name),
    })
}

impl Stream {
    /// Whether a response of this type may be sent at all: no other one is pending, the snapshot is new enough, and
    /// what it depends on is in place.
    pub(super) fn may_respond(&self, resource_type: ResourceType, snapshot: &ResourceSnapshot) -> bool {
        let Some(state) = self.subscribed(resource_type) else { return false };
        let is_too_old = state.minimum_version.is_some_and(|minimum| !snapshot.version.dominates(&minimum));
        if state.pending.is_some() || is_too_old {
            return false;
        }
        match resource_type {
            ResourceType::Route => self.route_references_are_held(snapshot),
            ResourceType::Cluster => !self.waits_for_endpoint_names(state),
            _ => true,
        }
    }

    /// A proxy that reconnects names the endpoints that it holds; until then, or until the grace ends, it is not known
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

    /// True where all clusters that the new routes reference were accepted, with their endpoints. A stream without
    /// clusters does not tell.
    fn route_references_are_held(&self, snapshot: &ResourceSnapshot) -> bool {
        if self.only_type.is_some() || self.subscribed(ResourceType::Cluster).is_none() {
            return true;
        }
        let routes = snapshot.resources(ResourceType::Route, self.separate_endpoints);
        let clusters = snapshot.resources(ResourceType::Cluster, self.separate_endpoints);
        let endpoints = snapshot.resources(ResourceType::Endpoint, self.separate_endpoints);
        let mut cluster_names = routes.resources.values().flat_map(|route| &route.references);
        cluster_names.all(|name| {
            let cluster = clusters.resources.get(name);
            self.holds(ResourceType::Cluster, name)
                && cluster.is_none_or(|cluster| self.endpoints_are_held(cluster, endpoints))
        })
    }

    /// True where the endpoints of a cluster are held and, where they are collections, an endpoint of each.
    fn endpoints_are_held(&self, cluster: &Resource, endpoints: &TypeResources) -> bool {
        cluster.references.iter().all(|name| {
            let collections = endpoints.resources.get(name).map(|endpoints| &endpoints.references);
            self.holds(ResourceType::Endpoint, name)
                && collections.into_iter().flatten().all(|prefix| self.holds_endpoint_in(prefix))
        })
    }

    fn holds(&self, resource_type: ResourceType, name: &str) -> bool {
        self.types.get(&resource_type).is_some_and(|state| state.held.contains_key(name))
    }

    fn holds_endpoint_in(&self, collection: &String) -> bool {
        let Some(endpoints) = self.types.get(&ResourceType::LbEndpoint) else { return false };
        let first_from_here = endpoints.held.range(collection.clone()..).next();
        first_from_here.is_some_and(|(name, _)| name.starts_with(collection))
    }

    /// What stays of a type although the snapshot has it no more.
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

    /// The clusters referenced by routes that the proxy holds or may soon hold; none where that is not known.
    fn routed_clusters(&self, snapshot: &ResourceSnapshot) -> Option<BTreeSet<String>> {
        let routes = self.subscribed(ResourceType::Route)?;
        // Before it holds routes of this stream it may use those of an earlier one.
        if routes.held.is_empty() {
            return None;
        }
        let current = snapshot.resources(ResourceType::Route, self.separate_endpoints);
        let mut names = BTreeSet::new();
        for (name, held) in &routes.held {
            let unchanged = current.resources.get(name).filter(|route| route.hash == held.hash);
            let route = held.resource.as_ref().or(unchanged)?;
            names.extend(route.references.iter().cloned());
        }
        if let Some(pending) = &routes.pending {
            let references = pending.content.resources.iter().flat_map(|route| &route.references);
            names.extend(references.cloned());
        }
        Some(names)
    }
}
