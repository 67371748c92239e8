//! All resources at one moment.

use super::cluster::{encode_cluster, encode_clusters};
use super::config::ResourceConfig;
use super::encoding::{Resource, ResourceMessage, content_hash};
use super::endpoints::{encode_endpoints, encode_separate_endpoints};
use super::listener::encode_listener;
use super::names::parse_endpoints_name;
use super::resource_type::ResourceType;
use super::route::encode_routes;
use crate::limits::RETIRED_MAX_IN_FLIGHT;
use latchhaven_policy::Version;
use latchhaven_proxy_config::proxy_config::{Cluster, ProxyConfig};
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::{ConfigVersion, VersionSigner, join_label};
use std::collections::BTreeMap;
use std::sync::Arc;

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

/// The key of a set of resources: endpoints exist inline and as resources of their own.
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

/// The resources of all proxies at one moment.
#[derive(Debug)]
pub struct ResourceSnapshot {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// The number of the snapshot, from 1 at the start of the process.
    pub number: u64,
    /// The share of each request class that its routes send to the canary.
    pub canary_shares: CanaryShares,
    /// The prefix of all version labels. An unchanged resource is labelled with the version of this snapshot as well.
    label_prefix: String,
    /// Also used for the clusters of removed versions.
    config: Arc<ResourceConfig>,
    sets: BTreeMap<SetKey, TypeResources>,
}

impl ResourceSnapshot {
    /// The snapshot of a proxy configuration. It shares unchanged resources with the `previous` snapshot.
    #[must_use]
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
    /// Never: [`ResourceSnapshot::build`] builds a set of every type.
    #[must_use]
    pub fn resources(&self, resource_type: ResourceType, separate_endpoints: bool) -> &TypeResources {
        let set = self.sets.get(&SetKey { resource_type, separate_endpoints });
        let set = set.or_else(|| self.sets.get(&SetKey::inline(resource_type)));
        set.expect("every type has a set")
    }

    /// The version label of a content in this snapshot.
    #[must_use]
    pub fn version_label(&self, content_hash: u64) -> String {
        join_label(&self.label_prefix, content_hash)
    }

    /// The clusters of a removed version, by the name of its endpoints: a reconnected proxy may route to them until it has
    /// accepted new routes.
    #[must_use]
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

    /// True where both snapshots have the same resources.
    #[must_use]
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

/// Wraps changed messages; unchanged resources, or an unchanged set, are shared with the previous snapshot.
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
