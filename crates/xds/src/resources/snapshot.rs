//! Snapshots: the resources of one proxy configuration, with their version labels.

use super::cluster::{encode_cluster, encode_clusters};
use super::config::ResourceConfig;
use super::encoding::{Resource, ResourceMessage, content_hash};
use super::endpoints::{encode_endpoints, encode_separate_endpoints};
use super::listener::encode_listener;
use super::names::parse_endpoints_name;
use super::resource_type::ResourceType;
use super::route::encode_routes;
use crate::limits::RETIRED_CLUSTER_MAX_IN_FLIGHT;
use latchhaven_policy::Version;
use latchhaven_proxy_config::proxy_config::{Cluster, ProxyConfig};
use latchhaven_proxy_config::published_shares::CanaryShares;
use latchhaven_proxy_config::version::{ConfigVersion, VersionSigner, join_label};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Resources of one type by resource name. Unchanged resources are shared with earlier snapshots.
pub type ResourceSet = BTreeMap<String, Arc<Resource>>;

/// All resources of one type in a snapshot.
#[derive(Clone, Debug)]
pub struct TypeResources {
    /// Hash of the contents of all resources, in the order of their names; the names are not included. Part of the
    /// version label of responses.
    pub content_hash: u64,
    /// Shared with the previous snapshot if nothing changed.
    pub resources: Arc<ResourceSet>,
}

/// Identifies a set of resources. Endpoints have two sets: inline in EDS resources, and as LEDS resources.
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

/// The resources of one proxy configuration, the same for all proxies.
#[derive(Debug)]
pub struct ResourceSnapshot {
    /// The rollout state and the endpoint list on which the configuration is based.
    pub version: ConfigVersion,
    /// Counts the snapshots of this process, from 1.
    pub number: u64,
    /// The share of requests that the routes send to the canary, by index of the request class.
    pub canary_shares: CanaryShares,
    /// The prefix of all version labels, with the version of the snapshot. Unchanged resources are labelled with it as
    /// well.
    label_prefix: String,
    /// Also used to build the clusters of removed versions.
    config: Arc<ResourceConfig>,
    sets: BTreeMap<SetKey, TypeResources>,
}

impl ResourceSnapshot {
    /// Encodes the resources of a proxy configuration. Unchanged resources are shared with the `previous` snapshot.
    /// `signer` signs the version labels.
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

    /// The resources of a type. Streams that receive endpoints as LEDS resources set `separate_endpoints`; this makes a
    /// difference only if [`ListenerConfig::separate_endpoints`](super::ListenerConfig::separate_endpoints) is set.
    ///
    /// # Panics
    /// Never: [`ResourceSnapshot::build`] builds a set of every type.
    #[must_use]
    pub fn resources(&self, resource_type: ResourceType, separate_endpoints: bool) -> &TypeResources {
        let set = self.sets.get(&SetKey { resource_type, separate_endpoints });
        let set = set.or_else(|| self.sets.get(&SetKey::inline(resource_type)));
        set.expect("every type has a set")
    }

    /// The `version_info` of a response, or the version of a resource, with this content hash.
    #[must_use]
    pub fn version_label(&self, content_hash: u64) -> String {
        join_label(&self.label_prefix, content_hash)
    }

    /// Builds the clusters of a version that was removed, one for each request class. A reconnected proxy may route
    /// requests to them until it has acknowledged new routes. Empty if `endpoints_name` is not the name of an EDS
    /// resource.
    #[must_use]
    pub fn retired_clusters(&self, endpoints_name: &str) -> Vec<Arc<Resource>> {
        let Some(version) = parse_endpoints_name(endpoints_name) else { return Vec::new() };
        let classes = 0..self.config.classes.len();
        classes.map(|class| Arc::new(self.retired_cluster(version, class))).collect()
    }

    fn retired_cluster(&self, version: Version, class: usize) -> Resource {
        let cluster =
            Cluster { version, class, max_in_flight: RETIRED_CLUSTER_MAX_IN_FLIGHT, allows_retries: false };
        let message = encode_cluster(&cluster, &self.config);
        let hash = message.hash();
        message.into_resource(ResourceType::Cluster, hash)
    }

    /// Returns `true` if the content hashes of all types are equal. Versions and their labels are not compared.
    #[must_use]
    pub fn has_same_resources(&self, other: &ResourceSnapshot) -> bool {
        let is_same = |(key, set): (&SetKey, &TypeResources)| {
            other.sets.get(key).is_some_and(|other| set.content_hash == other.content_hash)
        };
        self.sets.iter().all(is_same)
    }
}

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

/// Wraps changed messages. Unchanged resources, and the map if nothing changed, are shared with the previous snapshot.
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
