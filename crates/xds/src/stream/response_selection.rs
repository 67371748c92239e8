//! Selects the content of the next response.

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
    /// The next response of one type, if one may be sent now.
    pub(super) fn next_response_of_type(
        &mut self, resource_type: ResourceType, snapshot: &ResourceSnapshot,
    ) -> Option<StreamResponse> {
        if !self.may_respond(resource_type, snapshot) {
            return None;
        }
        let set = snapshot.resources(resource_type, self.separate_endpoints);
        let state = self.types.get(&resource_type)?;
        // Skips the comparison of unchanged contents; clusters depend on the proxy's routes as well.
        if state.up_to_date_with == Some(set.content_hash) && resource_type != ResourceType::Cluster {
            return None;
        }
        let retained = self.retained(resource_type, snapshot);
        let content = if self.incremental {
            select_changes(state, &set.resources, &retained)
        } else if resource_type.is_wildcard() {
            self.select_all(resource_type, snapshot, &set.resources, &retained)
        } else {
            select_new(state, &set.resources)
        };
        let Some(content) = content else {
            self.on_up_to_date(resource_type, snapshot, set);
            return None;
        };
        self.respond(resource_type, snapshot, content)
    }

    /// There is nothing to send for these contents. Unchanged routes of a reconnected proxy count as accepted; from then on its
    /// initial version no longer limits responses of routes.
    fn on_up_to_date(
        &mut self, resource_type: ResourceType, snapshot: &ResourceSnapshot, set: &TypeResources,
    ) {
        let Some(state) = self.types.get_mut(&resource_type) else { return };
        state.up_to_date_with = Some(set.content_hash);
        if resource_type != ResourceType::Route {
            return;
        }
        let has_reconnected = state.minimum_version.take().is_some();
        if has_reconnected && state.has_accepted_all(&set.resources) && !state.accepted.is_empty() {
            self.events.push(StreamEvent::Acknowledged(snapshot.canary_shares.clone()));
        }
    }

    /// Encodes the response and records it as pending.
    fn respond(
        &mut self, resource_type: ResourceType, snapshot: &ResourceSnapshot, content: ResponseContent,
    ) -> Option<StreamResponse> {
        self.responses += 1;
        let nonce = self.responses.to_string();
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

    /// A full response of a wildcard type: all resources of the snapshot, and the retained ones.
    fn select_all(
        &self, resource_type: ResourceType, snapshot: &ResourceSnapshot, set: &ResourceSet,
        retained: &Retained<'_>,
    ) -> Option<ResponseContent> {
        let state = self.types.get(&resource_type)?;
        let mut resources: Vec<_> = state.subscribed_resources(set).cloned().collect();
        let absent = state.accepted.iter().filter(|(name, _)| !set.contains_key(*name));
        let retained_resources = absent.filter(|(name, _)| retained.contains(name));
        resources.extend(retained_resources.filter_map(|(_, accepted)| accepted.resource.clone()));
        if resource_type == ResourceType::Cluster && state.wildcard {
            self.add_retired_clusters(snapshot, retained, &mut resources);
        }
        let is_accepted =
            resources.len() == state.accepted.len() && resources.iter().all(|new| state.has_accepted(new));
        let is_rejected = state.rejected_content == Some(response_hash(&resources));
        let is_due = (state.response_due || !is_accepted) && !is_rejected;
        is_due.then_some(ResponseContent { resources, removed: Vec::new(), replaces_all: true })
    }

    /// Adds the clusters of removed versions whose endpoints the proxy subscribes to.
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

/// A full response of a type that is subscribed to by name: changed resources, or all where names were added.
fn select_new(state: &TypeState, set: &ResourceSet) -> Option<ResponseContent> {
    let subscribed = state.subscribed_resources(set);
    let resources: Vec<_> =
        subscribed.filter(|new| state.response_due || !state.has_accepted(new)).cloned().collect();
    let is_rejected = state.rejected_content == Some(response_hash(&resources));
    let is_due = !resources.is_empty() && !is_rejected;
    is_due.then_some(ResponseContent { resources, removed: Vec::new(), replaces_all: false })
}

/// An incremental response: changed resources, and names of removed ones.
fn select_changes(state: &TypeState, set: &ResourceSet, retained: &Retained<'_>) -> Option<ResponseContent> {
    let is_changed = |new: &&Arc<Resource>| {
        let is_rejected = state.rejected_resources.get(&new.name) == Some(&new.hash);
        (!state.has_accepted(new) || state.is_due(&new.name)) && !is_rejected
    };
    let resources: Vec<_> = state.subscribed_resources(set).filter(is_changed).cloned().collect();
    let absent_names =
        state.accepted.keys().filter(|name| !set.contains_key(*name) && !retained.contains(name));
    let unknown_names =
        state.due_names.iter().filter(|name| !name.ends_with('*') && !set.contains_key(*name));
    let removed: BTreeSet<String> = absent_names.chain(unknown_names).cloned().collect();
    let is_due = !resources.is_empty() || !removed.is_empty();
    let removed = removed.into_iter().collect();
    is_due.then_some(ResponseContent { resources, removed, replaces_all: false })
}
