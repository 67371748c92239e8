//! The state of one resource type on a stream: the subscription, the proxy's resources, and the pending response.

use super::messages::StreamError;
use crate::limits::MAX_SUBSCRIBED_NAMES;
use crate::resources::{Resource, ResourceSet, ResourceType, content_hash};
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::ConfigVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The name by which a client subscribes to all resources of a type.
const WILDCARD: &str = "*";

/// A resource that the proxy has accepted, on this stream or an earlier one.
#[derive(Clone, Debug)]
pub(super) struct AcceptedResource {
    pub(super) hash: u64,
    /// None for a resource from an earlier stream.
    pub(super) resource: Option<Arc<Resource>>,
}

/// The content of a response.
#[derive(Debug)]
pub(super) struct ResponseContent {
    pub(super) resources: Vec<Arc<Resource>>,
    /// Names of removed resources; incremental only.
    pub(super) removed: Vec<String>,
    /// It replaces all the proxy's resources of the type.
    pub(super) replaces_all: bool,
}

/// A response that the proxy has neither accepted nor rejected yet.
#[derive(Debug)]
pub(super) struct PendingResponse {
    pub(super) content: ResponseContent,
    pub(super) content_hash: u64,
    pub(super) canary_shares: Option<CanaryShares>,
}

/// The state of one type.
#[derive(Debug, Default)]
pub(super) struct TypeState {
    /// The proxy has requested the type.
    pub(super) is_subscribed: bool,
    /// All resources of the type are subscribed to.
    pub(super) wildcard: bool,
    pub(super) names: BTreeSet<String>,
    pub(super) accepted: BTreeMap<String, AcceptedResource>,
    /// The version of the proxy's resources when it connected: nothing older may be sent.
    pub(super) minimum_version: Option<ConfigVersion>,
    pub(super) pending: Option<PendingResponse>,
    /// The nonce of the last response.
    pub(super) nonce: String,
    /// Hash of the contents for which there was nothing to send; cleared by each request for this type, for endpoints by each
    /// request of the stream.
    pub(super) up_to_date_with: Option<u64>,
    /// A response is due although no content changed: more names are subscribed to.
    pub(super) response_due: bool,
    /// Incremental: names for which a response is due although their content did not change.
    pub(super) due_names: BTreeSet<String>,
    /// Hash of the rejected full response.
    pub(super) rejected_content: Option<u64>,
    /// Hashes of single rejected resources, by name.
    pub(super) rejected_resources: BTreeMap<String, u64>,
}

impl TypeState {
    /// True where the proxy has the resource with its current content.
    pub(super) fn has_accepted(&self, resource: &Resource) -> bool {
        self.accepted.get(&resource.name).is_some_and(|accepted| accepted.hash == resource.hash)
    }

    /// True where the name is subscribed to.
    pub(super) fn subscribes_to(&self, name: &String) -> bool {
        self.wildcard
            || self.names.contains(name)
            || self.names.iter().any(|glob| matches_glob_collection(glob, name))
    }

    /// The resources of a set that are subscribed to.
    pub(super) fn subscribed_resources<'a>(
        &'a self, set: &'a ResourceSet,
    ) -> impl Iterator<Item = &'a Arc<Resource>> {
        set.values().filter(|resource| self.subscribes_to(&resource.name))
    }

    /// True where the proxy has every subscribed resource of the set with its current content.
    pub(super) fn has_accepted_all(&self, set: &ResourceSet) -> bool {
        self.subscribed_resources(set).all(|resource| self.has_accepted(resource))
    }

    /// True where a response is due for the name although its content did not change.
    pub(super) fn is_due(&self, name: &str) -> bool {
        self.due_names.iter().any(|due| due == name || matches_glob_collection(due, name))
    }

    /// Replaces the subscription by these names (full form).
    pub(super) fn replace_subscription(
        &mut self, resource_type: ResourceType, is_first: bool, names: Vec<String>,
    ) {
        let names: BTreeSet<String> = names.into_iter().filter(|name| name != WILDCARD).collect();
        let wildcard = resource_type.is_wildcard() && names.is_empty() && (is_first || self.wildcard);
        if !is_first && wildcard == self.wildcard && names == self.names {
            return;
        }
        // Proxies remove resources when their subscription ends.
        self.accepted.retain(|name, _| wildcard || names.contains(name));
        let has_new_names = names.iter().any(|name| !self.names.contains(name));
        let became_wildcard = wildcard && !self.wildcard;
        self.response_due |= is_first || has_new_names || became_wildcard;
        self.names = names;
        self.wildcard = wildcard;
    }

    /// Adds names to the subscription and removes others (incremental form).
    pub(super) fn update_subscription(
        &mut self, resource_type: ResourceType, is_first: bool, added: Vec<String>, removed: Vec<String>,
    ) -> Result<(), StreamError> {
        if is_first && added.is_empty() && resource_type.is_wildcard() {
            self.wildcard = true;
        }
        for name in added {
            self.subscribe(resource_type, is_first, name);
        }
        for name in removed {
            self.unsubscribe(&name);
        }
        if self.names.len() > MAX_SUBSCRIBED_NAMES {
            return Err(StreamError::SubscriptionTooLarge);
        }
        Ok(())
    }

    fn subscribe(&mut self, resource_type: ResourceType, is_first: bool, name: String) {
        if name == WILDCARD {
            self.wildcard = resource_type.is_wildcard() || self.wildcard;
            return;
        }
        // A repeated subscription is due again, unless this first request names the resource as present.
        if !(is_first && self.accepted.contains_key(&name)) {
            self.due_names.insert(name.clone());
        }
        self.names.insert(name);
    }

    fn unsubscribe(&mut self, name: &str) {
        if name == WILDCARD {
            self.wildcard = false;
        }
        self.names.remove(name);
        self.due_names.remove(name);
        if !self.wildcard {
            self.accepted.retain(|accepted, _| accepted != name && !matches_glob_collection(name, accepted));
        }
    }

    /// The pending response was accepted.
    pub(super) fn on_accepted(&mut self, content: ResponseContent) {
        if content.replaces_all {
            self.accepted.clear();
        }
        for resource in content.resources {
            self.rejected_resources.remove(&resource.name);
            // If the subscription ended while the response was pending, the proxy has removed the resource.
            if self.subscribes_to(&resource.name) {
                let name = resource.name.clone();
                self.accepted
                    .insert(name, AcceptedResource { hash: resource.hash, resource: Some(resource) });
            }
        }
        for name in &content.removed {
            self.accepted.remove(name);
        }
        self.rejected_content = None;
    }

    /// The pending response was rejected. Returns true if the previous rejection was of the same content.
    pub(super) fn on_rejected(&mut self, pending: &PendingResponse) -> bool {
        let is_repeated = self.rejected_content == Some(pending.content_hash);
        self.rejected_content = Some(pending.content_hash);
        for resource in &pending.content.resources {
            self.rejected_resources.insert(resource.name.clone(), resource.hash);
        }
        is_repeated
    }
}

/// Distinguishes responses by the names and contents of their resources.
pub(super) fn response_hash(resources: &[Arc<Resource>]) -> u64 {
    let bytes =
        resources.iter().flat_map(|resource| resource.name.bytes().chain(resource.hash.to_be_bytes()));
    content_hash(bytes)
}

/// True where the name belongs to the glob collection.
fn matches_glob_collection(glob: &str, name: &str) -> bool {
    glob.strip_suffix('*').is_some_and(|prefix| prefix.ends_with('/') && name.starts_with(prefix))
}
