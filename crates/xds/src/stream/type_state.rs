//! The state of one resource type on a stream: the subscription, the proxy's resources, and the pending response.

use super::messages::StreamError;
use crate::limits::MAX_SUBSCRIBED_NAMES;
use crate::resources::{Resource, ResourceSet, ResourceType, content_hash};
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::ConfigVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The resource name that subscribes to all resources of a type.
const WILDCARD: &str = "*";

/// A resource that the proxy has acknowledged, on this stream or an earlier one.
#[derive(Clone, Debug)]
pub(super) struct AcknowledgedResource {
    pub(super) hash: u64,
    /// `None` for a resource from an earlier stream, of which only the hash is known.
    pub(super) resource: Option<Arc<Resource>>,
}

#[derive(Debug)]
pub(super) struct ResponseContent {
    pub(super) resources: Vec<Arc<Resource>>,
    /// Names of removed resources; used on incremental streams only.
    pub(super) removed: Vec<String>,
    /// Set when the proxy removes its resources of the type that the response omits.
    pub(super) replaces_all: bool,
}

/// A response for which neither an ACK nor a NACK has arrived.
#[derive(Debug)]
pub(super) struct PendingResponse {
    pub(super) content: ResponseContent,
    pub(super) content_hash: u64,
    pub(super) canary_shares: Option<CanaryShares>,
}

/// The state of one type.
#[derive(Debug, Default)]
pub(super) struct TypeState {
    /// Set by the first request for the type on this stream.
    pub(super) is_subscribed: bool,
    /// Set while all resources of the type are subscribed to.
    pub(super) wildcard: bool,
    pub(super) names: BTreeSet<String>,
    pub(super) acknowledged: BTreeMap<String, AcknowledgedResource>,
    /// The newest version of the proxy's resources from an earlier stream: nothing older may be sent. Cleared by the
    /// first response of this type.
    pub(super) minimum_version: Option<ConfigVersion>,
    pub(super) pending: Option<PendingResponse>,
    /// The nonce of the latest response of this type; empty before the first one.
    pub(super) nonce: String,
    /// [`TypeResources::content_hash`](crate::resources::TypeResources::content_hash) for which there was nothing to
    /// send. Cleared by each request for this type; for endpoints by each request of the stream.
    pub(super) up_to_date_hash: Option<u64>,
    /// State of the world: a response is due even if no content changed, because the subscription is new or was
    /// extended.
    pub(super) response_due: bool,
    /// Incremental: names for which a response is due even if their content did not change, because they were
    /// subscribed to.
    pub(super) due_names: BTreeSet<String>,
    /// [`response_hash`] of the last response with a NACK.
    pub(super) rejected_response_hash: Option<u64>,
    /// Content hashes of the resources in responses with a NACK, by name.
    pub(super) rejected_resource_hashes: BTreeMap<String, u64>,
}

impl TypeState {
    pub(super) fn has_acknowledged(&self, resource: &Resource) -> bool {
        self.acknowledged.get(&resource.name).is_some_and(|acknowledged| acknowledged.hash == resource.hash)
    }

    pub(super) fn subscribes_to(&self, name: &String) -> bool {
        self.wildcard
            || self.names.contains(name)
            || self.names.iter().any(|glob| matches_glob_collection(glob, name))
    }

    pub(super) fn subscribed_resources<'a>(
        &'a self, set: &'a ResourceSet,
    ) -> impl Iterator<Item = &'a Arc<Resource>> {
        set.values().filter(|resource| self.subscribes_to(&resource.name))
    }

    /// Returns `true` if the proxy has acknowledged all resources of the set that it subscribes to.
    pub(super) fn has_acknowledged_all(&self, set: &ResourceSet) -> bool {
        self.subscribed_resources(set).all(|resource| self.has_acknowledged(resource))
    }

    /// Returns `true` if a response is due for the name even if its content did not change.
    pub(super) fn is_due(&self, name: &str) -> bool {
        self.due_names.iter().any(|due| due == name || matches_glob_collection(due, name))
    }

    /// State of the world: replaces the subscription by these names. Without names, the first request subscribes to all
    /// resources if the type permits wildcards.
    pub(super) fn replace_subscription(
        &mut self, resource_type: ResourceType, is_first: bool, names: Vec<String>,
    ) {
        let names: BTreeSet<String> = names.into_iter().filter(|name| name != WILDCARD).collect();
        let wildcard = resource_type.is_wildcard() && names.is_empty() && (is_first || self.wildcard);
        if !is_first && wildcard == self.wildcard && names == self.names {
            return;
        }
        // Proxies remove resources when their subscription ends.
        self.acknowledged.retain(|name, _| wildcard || names.contains(name));
        let has_new_names = names.iter().any(|name| !self.names.contains(name));
        let became_wildcard = wildcard && !self.wildcard;
        self.response_due |= is_first || has_new_names || became_wildcard;
        self.names = names;
        self.wildcard = wildcard;
    }

    /// Incremental: adds names to the subscription, then removes others.
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
        // A resource is sent again if the proxy repeats the subscription. A first request that lists the version of the
        // resource is a reconnect, not a repetition.
        if !(is_first && self.acknowledged.contains_key(&name)) {
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
            self.acknowledged.retain(|acknowledged, _| {
                acknowledged != name && !matches_glob_collection(name, acknowledged)
            });
        }
    }

    pub(super) fn on_ack(&mut self, content: ResponseContent) {
        if content.replaces_all {
            self.acknowledged.clear();
        }
        for resource in content.resources {
            self.rejected_resource_hashes.remove(&resource.name);
            // If the proxy unsubscribed while the response was pending, it has removed the resource.
            if self.subscribes_to(&resource.name) {
                let name = resource.name.clone();
                self.acknowledged
                    .insert(name, AcknowledgedResource { hash: resource.hash, resource: Some(resource) });
            }
        }
        for name in &content.removed {
            self.acknowledged.remove(name);
        }
        self.rejected_response_hash = None;
    }

    /// Returns `true` if the previous NACK was for the same content.
    pub(super) fn on_nack(&mut self, pending: &PendingResponse) -> bool {
        let is_repeated = self.rejected_response_hash == Some(pending.content_hash);
        self.rejected_response_hash = Some(pending.content_hash);
        for resource in &pending.content.resources {
            self.rejected_resource_hashes.insert(resource.name.clone(), resource.hash);
        }
        is_repeated
    }
}

/// A hash of the names and contents of all resources of a response.
pub(super) fn response_hash(resources: &[Arc<Resource>]) -> u64 {
    let bytes =
        resources.iter().flat_map(|resource| resource.name.bytes().chain(resource.hash.to_be_bytes()));
    content_hash(bytes)
}

/// Returns `true` if `glob` is the name of a glob collection, such as `xdstp:///type/path/*`, and `name` belongs to it.
fn matches_glob_collection(glob: &str, name: &str) -> bool {
    glob.strip_suffix('*').is_some_and(|prefix| prefix.ends_with('/') && name.starts_with(prefix))
}
