//! All resources at one moment.

use super::cluster::{encode_cluster, encode_clusters};
use super::encoding::{Resource, ResourceMessage, content_hash};
use super::endpoints::{encode_endpoints, encode_separate_endpoints};
use super::listener::{ListenerConfig, encode_listener};
use super::names::parse_endpoints_name;
use super::resource_type::ResourceType;
use super::route::encode_routes;
use latchhaven_policy::{RequestClass, Version};
use latchhaven_proxy_config::proxy_config::{Cluster, ProxyConfig};
use latchhaven_proxy_config::share_ledger::CanaryShares;
use latchhaven_proxy_config::version::{ConfigVersion, VersionSigner, join_label};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Requests that a proxy may have in flight to a version that is gone, until it has accepted new routes.
const RETIRED_MAX_IN_FLIGHT: u32 = 64;

/// The resources of one type, by name.
pub type ResourceSet = BTreeMap<String, Arc<Resource>>;

/// The resources of one type with a hash of all their contents.
#[derive(Clone, Debug)]
pub struct TypeResources {
    /// Changes whenever the content of a resource does.
    pub content_hash: u64,
    /// The resources by name.
    pub resources: Arc<ResourceSet>,
}

/// What resources are made of beside the proxy configuration.
#[derive(Clone, Debug)]
pub struct ResourceConfig {
    /// The request classes; a proxy configuration refers to them by index.
    pub classes: Vec<RequestClass>,
    /// Settings of the proxies' listener.
    pub listener: ListenerConfig,
}

/// Which set of resources is meant: endpoints exist inline and as resources of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SetKey {
    resource_type: ResourceType,
    separate_endpoints: bool,
}

impl SetKey {
    fn inline(resource_type: ResourceType) -> Self {
        SetKey { resource_type, separate_endpoints: false }
    }

    fn separate(resource_type: ResourceType) -> Self {
        SetKey { resource_type, separate_endpoints: true }
    }
}

/// What all proxies are to hold, at one moment.
#[derive(Debug)]
pub struct ResourceSnapshot {
    /// The versions of the platform's state that it is based on.
    pub version: ConfigVersion,
    /// Counts the snapshots of this process.
    pub number: u64,
    /// The share of each request class that its routes send to the canary.
    pub canary_shares: CanaryShares,
    /// What version labels begin with. A resource that has not changed for long is still labelled with the version
    /// that the snapshot is based on now.
    label_prefix: String,
    /// Also used for the clusters of versions that are gone.
    config: Arc<ResourceConfig>,
    sets: BTreeMap<SetKey, TypeResources>,
}

impl ResourceSnapshot {
    /// The snapshot of a proxy configuration. It shares what has not changed with the `previous` snapshot.
    pub fn build(
        proxy_config: &ProxyConfig, version: ConfigVersion, config: &Arc<ResourceConfig>,
        signer: &VersionSigner, previous: Option<&ResourceSnapshot>,
    ) -> ResourceSnapshot {
        let mut sets = BTreeMap::new();
        for (key, messages) in encode_all(proxy_config, config) {
            let previous_set = previous.and_then(|previous| previous.sets.get(&key));
            sets.insert(key, build_set(key.resource_type, messages, previous_set));
        }
        ResourceSnapshot {
            version,
            number: previous.map_or(0, |previous| previous.number) + 1,
            canary_shares: proxy_config.canary_shares.clone(),
            label_prefix: signer.prefix(&version),
            config: config.clone(),
            sets,
        }
    }

    /// The resources of a type; `separate_endpoints`: for streams that get each endpoint as a resource of its own.
    ///
    /// # Panics
    /// Never: [`ResourceSnapshot::build`] makes a set of every type.
    pub fn resources(&self, resource_type: ResourceType, separate_endpoints: bool) -> &TypeResources {
        let set = self.sets.get(&SetKey { resource_type, separate_endpoints });
        let set = set.or_else(|| self.sets.get(&SetKey::inline(resource_type)));
        set.expect("every type has a set")
    }

    /// The version label of a content that is sent now.
    pub fn version_label(&self, content_hash: u64) -> String {
        join_label(&self.label_prefix, content_hash)
    }

    /// The clusters of a version that is gone, found by the name of its endpoints: a proxy that reconnects may still
    /// route to them until it has accepted new routes.
    pub fn retired_clusters(&self, endpoints_name: &str) -> Vec<Arc<Resource>> {
        let Some(version) = parse_endpoints_name(endpoints_name) else { return Vec::new() };
        let classes = 0..self.config.classes.len();
        classes.map(|class| Arc::new(self.retired_cluster(version, class))).collect()
    }

    fn retired_cluster(&self, version: Version, class: usize) -> Resource {
        let cluster = Cluster { version, class, max_in_flight: RETIRED_MAX_IN_FLIGHT, allows_retries: false };
        let message = encode_cluster(&cluster, &self.config);
        let hash = message.hash();
        message.into_resource(ResourceType::Cluster, hash)
    }

    /// True where a proxy would hold the same resources under both snapshots.
    pub fn has_same_resources(&self, other: &ResourceSnapshot) -> bool {
        let is_same = |(key, set): (&SetKey, &TypeResources)| {
            other.sets.get(key).is_some_and(|other| set.content_hash == other.content_hash)
        };
        self.sets.iter().all(is_same)
    }
}

/// The messages of all sets.
fn encode_all(proxy_config: &ProxyConfig, config: &ResourceConfig) -> Vec<(SetKey, Vec<ResourceMessage>)> {
    let mut sets = vec![
        (SetKey::inline(ResourceType::Cluster), encode_clusters(proxy_config, config)),
        (SetKey::inline(ResourceType::Listener), vec![encode_listener(&config.listener)]),
        (SetKey::inline(ResourceType::Route), vec![encode_routes(proxy_config, config)]),
        (SetKey::inline(ResourceType::Endpoint), encode_endpoints(proxy_config, false)),
        (SetKey::inline(ResourceType::LbEndpoint), Vec::new()),
    ];
    if config.listener.separate_endpoints {
        sets.push((SetKey::separate(ResourceType::Endpoint), encode_endpoints(proxy_config, true)));
        sets.push((SetKey::separate(ResourceType::LbEndpoint), encode_separate_endpoints(proxy_config)));
    }
    sets
}

/// Wraps messages that changed; resources, or the whole set, stay as they were where the content is the same.
fn build_set(
    resource_type: ResourceType, messages: Vec<ResourceMessage>, previous: Option<&TypeResources>,
) -> TypeResources {
    let mut resources = ResourceSet::new();
    for message in messages {
        let hash = message.hash();
        let unchanged = previous
            .and_then(|previous| previous.resources.get(&message.name))
            .filter(|resource| resource.hash == hash);
        let resource = match unchanged {
            Some(resource) => resource.clone(),
            None => Arc::new(message.into_resource(resource_type, hash)),
        };
        resources.insert(resource.name.clone(), resource);
    }
    let content_hash = content_hash(resources.values().flat_map(|resource| resource.hash.to_be_bytes()));
    let unchanged = previous.filter(|previous| {
        previous.content_hash == content_hash && previous.resources.keys().eq(resources.keys())
    });
    let resources = match unchanged {
        Some(previous) => previous.resources.clone(),
        None => Arc::new(resources),
    };
    TypeResources { content_hash, resources }
}
