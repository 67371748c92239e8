//! Selects the content of the next response of a type.

use super::Stream;
use super::dependencies::Retained;
use super::messages::{StreamEvent, StreamResponse};
use super::response_encoding::ResponseMessage;
use super::type_state::{PendingResponse, ResponseContent, TypeState, response_hash};
use crate::limits::MAX_RETIRED_VERSIONS;
use crate::resources::{Resource, ResourceSet, ResourceSnapshot, ResourceType, TypeResources};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Stream {
    /// Returns the next response of a type. `None` if there is nothing to send, or if no response of this type may
    /// be sent yet.
    pub(super) fn next_response_of_type(
        &mut self, resource_type: ResourceType, snapshot: &ResourceSnapshot,
    ) -> Option<StreamResponse> {
        if !self.may_respond(resource_type, snapshot) {
            return None;
        }
        let set = snapshot.resources(resource_type, self.separate_endpoints);
        let state = self.types.get(&resource_type)?;
        // Skips the comparison of unchanged contents. Clusters are always compared, since those to retain depend on the
        // proxy's routes.
        if state.up_to_date_hash == Some(set.content_hash) && resource_type != ResourceType::Cluster {
            return None;
        }
        let retained = self.retained(resource_type, snapshot);
        let content = if self.incremental {
            select_delta(state, &set.resources, &retained)
        } else if resource_type.is_wildcard() {
            self.select_wildcard(resource_type, snapshot, &set.resources, &retained)
        } else {
            select_named(state, &set.resources)
        };
        let Some(content) = content else {
            self.on_up_to_date(resource_type, snapshot, set);
            return None;
        };
        self.respond(resource_type, snapshot, content)
    }

    /// Records that there is nothing to send for these contents. If a reconnected proxy has the snapshot's routes, they
    /// count as acknowledged. From then on, the version that the proxy reported initially no longer restricts responses
    /// of routes.
    fn on_up_to_date(
        &mut self, resource_type: ResourceType, snapshot: &ResourceSnapshot, set: &TypeResources,
    ) {
        let Some(state) = self.types.get_mut(&resource_type) else { return };
        state.up_to_date_hash = Some(set.content_hash);
        if resource_type != ResourceType::Route {
            return;
        }
        let has_reconnected = state.minimum_version.take().is_some();
        if has_reconnected && state.has_acknowledged_all(&set.resources) && !state.acknowledged.is_empty() {
            self.events.push(StreamEvent::Acknowledged(snapshot.canary_shares.clone()));
        }
    }

    /// Encodes the response and records it as pending.
    fn respond(
        &mut self, resource_type: ResourceType, snapshot: &ResourceSnapshot, content: ResponseContent,
    ) -> Option<StreamResponse> {
        self.last_nonce += 1;
        let nonce = self.last_nonce.to_string();
        let message = ResponseMessage {
            resource_type,
            incremental: self.incremental,
            content_hash: snapshot.resources(resource_type, self.separate_endpoints).content_hash,
            nonce: &nonce,
            content: &content,
        };
        let chunks = message.encode(snapshot);
        let canary_shares = (resource_type == ResourceType::Route).then(|| snapshot.canary_shares.clone());
        let state = self.types.get_mut(&resource_type)?;
        state.nonce = nonce;
        state.response_due = false;
        state.minimum_version = None;
        state.due_names.clear();
        let content_hash = response_hash(&content.resources);
        state.pending = Some(PendingResponse { content, content_hash, canary_shares: canary_shares.clone() });
        Some(StreamResponse { resource_type, chunks, canary_shares })
    }

    /// Returns the content for a state-of-the-world stream, of a type with wildcard subscriptions: all subscribed
    /// resources of the snapshot and the retained ones, since proxies remove resources that such a response omits.
    fn select_wildcard(
        &self, resource_type: ResourceType, snapshot: &ResourceSnapshot, set: &ResourceSet,
        retained: &Retained<'_>,
    ) -> Option<ResponseContent> {
        let state = self.types.get(&resource_type)?;
        let mut resources: Vec<_> = state.subscribed_resources(set).cloned().collect();
        let absent = state.acknowledged.iter().filter(|(name, _)| !set.contains_key(*name));
        let retained_resources = absent.filter(|(name, _)| retained.contains(name));
        resources.extend(retained_resources.filter_map(|(_, acknowledged)| acknowledged.resource.clone()));
        if resource_type == ResourceType::Cluster && state.wildcard {
            self.add_retired_clusters(snapshot, retained, &mut resources);
        }
        let is_acknowledged = resources.len() == state.acknowledged.len()
            && resources.iter().all(|new| state.has_acknowledged(new));
        let is_rejected = state.rejected_response_hash == Some(response_hash(&resources));
        let is_due = (state.response_due || !is_acknowledged) && !is_rejected;
        is_due.then_some(ResponseContent { resources, removed: Vec::new(), replaces_all: true })
    }

    /// Adds the clusters of removed versions whose endpoints the proxy subscribes to: its routes may still reference
    /// them.
    fn add_retired_clusters(
        &self, snapshot: &ResourceSnapshot, retained: &Retained<'_>, clusters: &mut Vec<Arc<Resource>>,
    ) {
        let endpoints = snapshot.resources(ResourceType::Endpoint, false);
        let named = self.types.get(&ResourceType::Endpoint).into_iter().flat_map(|state| &state.names);
        let retired_names =
            named.filter(|name| !endpoints.resources.contains_key(*name)).take(MAX_RETIRED_VERSIONS);
        for cluster in retired_names.flat_map(|name| snapshot.retired_clusters(name)) {
            let is_included = clusters.iter().any(|included| included.name == cluster.name);
            if retained.contains(&cluster.name) && !is_included {
                clusters.push(cluster);
            }
        }
        clusters.sort_by(|left, right| left.name.cmp(&right.name));
    }
}

/// Returns the content for a state-of-the-world stream, of a type that is subscribed to by name: the changed resources
/// or, if names were added to the subscription, all subscribed ones.
fn select_named(state: &TypeState, set: &ResourceSet) -> Option<ResponseContent> {
    let subscribed = state.subscribed_resources(set);
    let resources: Vec<_> =
        subscribed.filter(|new| state.response_due || !state.has_acknowledged(new)).cloned().collect();
    let is_rejected = state.rejected_response_hash == Some(response_hash(&resources));
    let is_due = !resources.is_empty() && !is_rejected;
    is_due.then_some(ResponseContent { resources, removed: Vec::new(), replaces_all: false })
}

/// Returns the content for an incremental stream: the changed resources, and the names of resources that were removed
/// or do not exist.
fn select_delta(state: &TypeState, set: &ResourceSet, retained: &Retained<'_>) -> Option<ResponseContent> {
    let is_changed = |new: &&Arc<Resource>| {
        let is_rejected = state.rejected_resource_hashes.get(&new.name) == Some(&new.hash);
        (!state.has_acknowledged(new) || state.is_due(&new.name)) && !is_rejected
    };
    let resources: Vec<_> = state.subscribed_resources(set).filter(is_changed).cloned().collect();
    let absent_names =
        state.acknowledged.keys().filter(|name| !set.contains_key(*name) && !retained.contains(name));
    let unknown_names =
        state.due_names.iter().filter(|name| !name.ends_with('*') && !set.contains_key(*name));
    let removed: BTreeSet<String> = absent_names.chain(unknown_names).cloned().collect();
    let is_due = !resources.is_empty() || !removed.is_empty();
    let removed = removed.into_iter().collect();
    is_due.then_some(ResponseContent { resources, removed, replaces_all: false })
}
