//! Applies responses to the cached resources and produces the next requests. Counts protocol violations: an older
//! version after a newer one, and a reference to a resource that is not cached.

use super::decode::{CachedResource, decode};
use latchhaven_proxy_config::version::{ConfigVersion, VersionSigner};
use latchhaven_xds::pb::envoy::config::core::v3::Node;
use latchhaven_xds::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use latchhaven_xds::pb::google::rpc::Status;
use latchhaven_xds::resources::ResourceType;
use latchhaven_xds::stream::SubscriptionRequest;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The cluster name that every proxy reports in its node.
const NODE_CLUSTER: &str = "stand-in";
/// The error message of every rejection.
const REJECTION_MESSAGE: &str = "refused by the stand-in";
/// The gRPC status `INVALID_ARGUMENT`.
const REJECTION_CODE: i32 = 3;

/// A discovery request in either form of the protocol.
#[derive(Clone, Debug)]
pub enum CacheRequest {
    /// The full form, state of the world.
    Full(DiscoveryRequest),
    /// The incremental form, delta xDS.
    Incremental(DeltaDiscoveryRequest),
}

impl From<CacheRequest> for SubscriptionRequest {
    fn from(request: CacheRequest) -> SubscriptionRequest {
        match request {
            CacheRequest::Full(request) => request.into(),
            CacheRequest::Incremental(request) => request.into(),
        }
    }
}

/// The cached resources of one type, and the state of its subscription.
#[derive(Clone, Debug, Default)]
struct CachedType {
    resources: BTreeMap<String, CachedResource>,
    /// The version label of the last full response.
    version_label: String,
    /// The nonce of the last response on this stream.
    nonce: String,
    /// The names that the last request subscribed to; `None` before the first request.
    subscribed: Option<BTreeSet<String>>,
    /// The join of the versions in all labels received so far.
    newest_version: Option<ConfigVersion>,
    /// Set when a response was applied.
    has_response: bool,
}

/// The cached resources of a proxy, and its subscriptions.
#[derive(Clone, Debug)]
pub struct ResourceCache {
    node: String,
    incremental: bool,
    types: BTreeMap<ResourceType, CachedType>,
    /// The number of responses or resources with an older version than one applied before.
    pub version_regressions: u64,
    /// The number of responses after which routes referenced a resource that is not cached.
    pub dangling_responses: u64,
    /// The number of responses that were rejected (NACK).
    pub rejected_responses: u64,
    signer: VersionSigner,
}

impl ResourceCache {
    /// An empty cache of a proxy with this node id, whose streams have the incremental or the full form.
    pub fn new(node: &str, incremental: bool) -> Self {
        ResourceCache {
            node: node.to_string(),
            incremental,
            types: BTreeMap::new(),
            version_regressions: 0,
            dangling_responses: 0,
            rejected_responses: 0,
            signer: VersionSigner::default(),
        }
    }

    /// Returns `true` if the proxy's streams have the incremental form.
    pub fn is_incremental(&self) -> bool {
        self.incremental
    }

    /// The first requests on a new stream, which report the versions of the cached resources. Forgets the nonces of the
    /// previous stream.
    pub fn initial_requests(&mut self) -> Vec<CacheRequest> {
        for state in self.types.values_mut() {
            state.nonce.clear();
        }
        let is_needed = |resource_type: &ResourceType| {
            resource_type.is_wildcard() || !self.references_to(*resource_type).is_empty()
        };
        let types: Vec<ResourceType> = ResourceType::ALL.into_iter().filter(is_needed).collect();
        types.into_iter().map(|resource_type| self.request(resource_type, true, None)).collect()
    }

    /// Cached resources may reference names that are not cached; those are included.
    fn references_to(&self, resource_type: ResourceType) -> BTreeSet<String> {
        let referencing = match resource_type {
            ResourceType::Endpoint => ResourceType::Cluster,
            ResourceType::LbEndpoint => ResourceType::Endpoint,
            ResourceType::Route => ResourceType::Listener,
            ResourceType::Cluster | ResourceType::Listener => return BTreeSet::new(),
        };
        let resources = self.resources(referencing).into_iter().flat_map(BTreeMap::values);
        resources.flat_map(|resource| resource.references.iter().cloned()).collect()
    }

    /// The cached resources of a type; `None` before a response of the type was applied.
    pub(super) fn resources(&self, resource_type: ResourceType) -> Option<&BTreeMap<String, CachedResource>> {
        let state = self.types.get(&resource_type).filter(|state| state.has_response)?;
        Some(&state.resources)
    }

    fn request(
        &mut self, resource_type: ResourceType, is_first: bool, error: Option<Status>,
    ) -> CacheRequest {
        let names = self.references_to(resource_type);
        let node = Node { id: self.node.clone(), cluster: NODE_CLUSTER.to_string(), ..Node::default() };
        let state = self.types.entry(resource_type).or_default();
        let previous = state.subscribed.replace(names.clone()).unwrap_or_default();
        if !self.incremental {
            return CacheRequest::Full(DiscoveryRequest {
                version_info: state.version_label.clone(),
                node: Some(node),
                resource_names: names.into_iter().collect(),
                type_url: resource_type.url().to_string(),
                response_nonce: state.nonce.clone(),
                error_detail: error,
                ..DiscoveryRequest::default()
            });
        }
        let previous = if is_first { BTreeSet::new() } else { previous };
        let labels =
            state.resources.iter().map(|(name, cached)| (name.clone(), cached.version_label.clone()));
        CacheRequest::Incremental(DeltaDiscoveryRequest {
            node: Some(node),
            type_url: resource_type.url().to_string(),
            resource_names_subscribe: names.difference(&previous).cloned().collect(),
            resource_names_unsubscribe: previous.difference(&names).cloned().collect(),
            initial_resource_versions: if is_first { labels.collect() } else { HashMap::new() },
            response_nonce: state.nonce.clone(),
            error_detail: error,
            ..DeltaDiscoveryRequest::default()
        })
    }

    /// Applies an encoded response, or rejects it if `reject` is set. Returns the next requests.
    ///
    /// # Panics
    /// The bytes are not a response of the form of this proxy's streams.
    pub fn apply_response(&mut self, bytes: &[u8], reject: bool) -> Vec<CacheRequest> {
        if self.incremental {
            let response = DeltaDiscoveryResponse::decode(bytes).expect("an incremental response");
            self.apply_incremental(&response, reject)
        } else {
            let response = DiscoveryResponse::decode(bytes).expect("a full response");
            self.apply_full(&response, reject)
        }
    }

    /// Applies a response of the full form, or rejects it if `reject` is set. Returns the next requests, or no
    /// request if the type URL is unknown.
    pub fn apply_full(&mut self, response: &DiscoveryResponse, reject: bool) -> Vec<CacheRequest> {
        let Some(resource_type) = ResourceType::from_url(&response.type_url) else { return Vec::new() };
        self.types.entry(resource_type).or_default().nonce.clone_from(&response.nonce);
        if reject {
            return self.reject(resource_type);
        }
        self.record_response_version(resource_type, &response.version_info);
        let state = self.types.entry(resource_type).or_default();
        state.has_response = true;
        if resource_type.is_wildcard() {
            state.resources.clear();
        }
        let resources = response.resources.iter();
        let decoded = resources.filter_map(|any| decode(resource_type, any, &response.version_info));
        state.resources.extend(decoded.map(|decoded| (decoded.name, decoded.resource)));
        state.version_label.clone_from(&response.version_info);
        self.accept(resource_type)
    }

    /// Applies a response of the incremental form, or rejects it if `reject` is set. Returns the next requests, or
    /// no request if the type URL is unknown.
    pub fn apply_incremental(
        &mut self, response: &DeltaDiscoveryResponse, reject: bool,
    ) -> Vec<CacheRequest> {
        let Some(resource_type) = ResourceType::from_url(&response.type_url) else { return Vec::new() };
        self.types.entry(resource_type).or_default().nonce.clone_from(&response.nonce);
        if reject {
            return self.reject(resource_type);
        }
        self.types.entry(resource_type).or_default().has_response = true;
        for entry in &response.resources {
            let Some(any) = &entry.resource else { continue };
            let Some(decoded) = decode(resource_type, any, &entry.version) else { continue };
            self.record_resource_version(resource_type, &entry.name, &entry.version);
            let state = self.types.entry(resource_type).or_default();
            state.resources.insert(entry.name.clone(), decoded.resource);
        }
        let state = self.types.entry(resource_type).or_default();
        for name in &response.removed_resources {
            state.resources.remove(name);
        }
        self.accept(resource_type)
    }

    fn reject(&mut self, resource_type: ResourceType) -> Vec<CacheRequest> {
        self.rejected_responses += 1;
        let message = REJECTION_MESSAGE.to_string();
        let error = Status { code: REJECTION_CODE, message, ..Status::default() };
        vec![self.request(resource_type, false, Some(error))]
    }

    /// Counts a regression if the version of a full response is older than the newest one of its type.
    fn record_response_version(&mut self, resource_type: ResourceType, label: &str) {
        let Some(label) = self.signer.parse_label(label) else { return };
        let state = self.types.entry(resource_type).or_default();
        let is_regression =
            state.newest_version.is_some_and(|newest| !label.version.is_up_to_date_with(&newest));
        self.version_regressions += u64::from(is_regression);
        state.advance_version(label.version);
    }

    /// Counts a regression if the version of one resource is older than that of the resource that it replaces.
    fn record_resource_version(&mut self, resource_type: ResourceType, name: &str, label: &str) {
        let Some(label) = self.signer.parse_label(label) else { return };
        let state = self.types.entry(resource_type).or_default();
        let previous = state.resources.get(name);
        let previous = previous.and_then(|previous| self.signer.parse_label(&previous.version_label));
        let is_regression =
            previous.is_some_and(|previous| !label.version.is_up_to_date_with(&previous.version));
        self.version_regressions += u64::from(is_regression);
        state.advance_version(label.version);
    }

    /// Acknowledges a response and updates the subscriptions to the resources that cached resources reference.
    fn accept(&mut self, resource_type: ResourceType) -> Vec<CacheRequest> {
        self.drop_unreferenced();
        self.dangling_responses += u64::from(self.dangling_reference().is_some());
        let mut requests = vec![self.request(resource_type, false, None)];
        for referenced in [ResourceType::Endpoint, ResourceType::LbEndpoint, ResourceType::Route] {
            let subscribed = self.types.get(&referenced).and_then(|state| state.subscribed.as_ref());
            let is_first = subscribed.is_none();
            let is_unchanged = subscribed.cloned().unwrap_or_default() == self.references_to(referenced);
            if referenced != resource_type && !is_unchanged {
                requests.push(self.request(referenced, is_first, None));
            }
        }
        requests
    }

    /// Removes endpoints that no cached resource references, as proxies do.
    fn drop_unreferenced(&mut self) {
        if self.resources(ResourceType::Cluster).is_none() {
            return;
        }
        for resource_type in [ResourceType::Endpoint, ResourceType::LbEndpoint] {
            let references = self.references_to(resource_type);
            if let Some(state) = self.types.get_mut(&resource_type) {
                state
                    .resources
                    .retain(|name, _| references.iter().any(|reference| matches_reference(reference, name)));
            }
        }
    }

    /// The first name that routes reference, directly or through a cluster, and that is not cached. `None` if every
    /// referenced resource is cached, or no routes were received.
    pub fn dangling_reference(&self) -> Option<String> {
        let routes = self.resources(ResourceType::Route)?;
        let clusters = self.resources(ResourceType::Cluster);
        let endpoints = self.resources(ResourceType::Endpoint);
        for cluster_name in routes.values().flat_map(|routes| &routes.references) {
            let Some(cluster) = clusters.and_then(|clusters| clusters.get(cluster_name)) else {
                return Some(cluster_name.clone());
            };
            let is_cached = |name: &String| endpoints.is_some_and(|endpoints| endpoints.contains_key(name));
            if let Some(missing) = cluster.references.iter().find(|name| !is_cached(name)) {
                return Some(missing.clone());
            }
        }
        None
    }

    /// The join of the versions of all responses of a type; `None` before a version was received.
    pub fn newest_version(&self, resource_type: ResourceType) -> Option<ConfigVersion> {
        self.types.get(&resource_type)?.newest_version
    }
}

impl CachedType {
    fn advance_version(&mut self, version: ConfigVersion) {
        let joined = self.newest_version.map_or(version, |newest| newest.merge(&version));
        self.newest_version = Some(joined);
    }
}

/// Returns `true` if a reference is to the resource of this name, or to a glob collection that contains the name.
fn matches_reference(reference: &str, name: &str) -> bool {
    reference == name || reference.strip_suffix('*').is_some_and(|prefix| name.starts_with(prefix))
}
