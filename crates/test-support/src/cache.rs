//! What a proxy that speaks xDS holds: answers taken in, requests made, and where a txn would go. It checks on the
//! way what must never happen: a state that goes back, a reference that dangles. Pure: no socket, no clock.

use latchhaven_proxy_config::version::{ConfigVersion, VersionSigner};
use latchhaven_xds::load_stats::parse_address;
use latchhaven_xds::pb::envoy::config::cluster::v3::Cluster;
use latchhaven_xds::pb::envoy::config::core::v3::{HealthStatus, Node};
use latchhaven_xds::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use latchhaven_xds::pb::envoy::config::endpoint::v3::locality_lb_endpoints::LbConfig;
use latchhaven_xds::pb::envoy::config::endpoint::v3::{ClusterLoadAssignment, LbEndpoint};
use latchhaven_xds::pb::envoy::config::listener::v3::{Listener, filter};
use latchhaven_xds::pb::envoy::config::route::v3::RouteConfiguration;
use latchhaven_xds::pb::envoy::config::route::v3::{route, route_action};
use latchhaven_xds::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use latchhaven_xds::pb::envoy::service::discovery::v3::{
    DeltaDiscoveryRequest, DeltaDiscoveryResponse, DiscoveryRequest, DiscoveryResponse,
};
use latchhaven_xds::pb::google::protobuf::Any;
use latchhaven_xds::pb::google::rpc::Status;
use latchhaven_xds::resources::{REJECT_CLUSTER, ResourceType};
use latchhaven_xds::stream::SubscriptionRequest;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A host as it is held.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    pub addr: SocketAddr,
    pub weight: u32,
    pub healthy: bool,
}

/// A route as it is held: parts by cluster, and how it may be repeated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Way {
    pub parts: Vec<(String, u32)>,
    pub repeats: u32,
    pub retry_on: String,
}

#[derive(Clone, Debug, Default)]
struct Held {
    label: String,
    /// Names that it refers to: a cluster its endpoints, a listener its routes, routes their clusters.
    refers: BTreeSet<String>,
    hosts: Vec<Host>,
    ways: BTreeMap<String, Way>,
    repeats: u32,
}

/// A request in either form.
#[derive(Clone, Debug)]
pub enum Wanted {
    Whole(DiscoveryRequest),
    Apart(DeltaDiscoveryRequest),
}

impl From<Wanted> for SubscriptionRequest {
    fn from(wanted: Wanted) -> SubscriptionRequest {
        match wanted {
            Wanted::Whole(ask) => ask.into(),
            Wanted::Apart(ask) => ask.into(),
        }
    }
}

/// What a proxy holds.
#[derive(Clone, Debug)]
pub struct Cache {
    node: String,
    incremental: bool,
    held: BTreeMap<ResourceType, BTreeMap<String, Held>>,
    version: BTreeMap<ResourceType, String>,
    nonce: BTreeMap<ResourceType, String>,
    names: BTreeMap<ResourceType, BTreeSet<String>>,
    /// The furthest basis of any label taken in, by type.
    furthest: BTreeMap<ResourceType, ConfigVersion>,
    /// States that went back, and references that dangled: none, ever.
    pub regressions: u64,
    pub dangling: u64,
    pub refused: u64,
    labels: VersionSigner,
}

impl Cache {
    pub fn new(node: &str, incremental: bool) -> Self {
        let (held, version, nonce, names, furthest) = Default::default();
        let labels = VersionSigner::default();
        Cache {
            node: node.to_string(),
            incremental,
            held,
            version,
            nonce,
            names,
            furthest,
            regressions: 0,
            dangling: 0,
            refused: 0,
            labels,
        }
    }

    pub fn incremental(&self) -> bool {
        self.incremental
    }

    fn node(&self) -> Option<Node> {
        Some(Node { id: self.node.clone(), cluster: "stand-in".to_string(), ..Node::default() })
    }

    /// The first requests on a new stream: what it holds is told.
    pub fn open(&mut self) -> Vec<Wanted> {
        self.nonce.clear();
        let kinds =
            ResourceType::ALL.into_iter().filter(|kind| kind.is_wildcard() || !self.wanted(*kind).is_empty());
        let kinds: Vec<ResourceType> = kinds.collect();
        kinds.into_iter().map(|kind| self.ask(kind, true, None)).collect()
    }

    /// Names of a type that what is held refers to.
    fn wanted(&self, kind: ResourceType) -> BTreeSet<String> {
        let from = match kind {
            ResourceType::Endpoint => ResourceType::Cluster,
            ResourceType::LbEndpoint => ResourceType::Endpoint,
            ResourceType::Route => ResourceType::Listener,
            ResourceType::Cluster | ResourceType::Listener => return BTreeSet::new(),
        };
        let held = self.held.get(&from).into_iter().flat_map(|held| held.values());
        held.flat_map(|held| held.refers.iter().cloned()).collect()
    }

    fn ask(&mut self, kind: ResourceType, first: bool, error: Option<String>) -> Wanted {
        let names = self.wanted(kind);
        let before = self.names.insert(kind, names.clone()).unwrap_or_default();
        let nonce = self.nonce.get(&kind).cloned().unwrap_or_default();
        let error = error.map(|message| Status { code: 3, message, ..Status::default() });
        if !self.incremental {
            return Wanted::Whole(DiscoveryRequest {
                version_info: self.version.get(&kind).cloned().unwrap_or_default(),
                node: self.node(),
                resource_names: names.into_iter().collect(),
                type_url: kind.url().to_string(),
                response_nonce: nonce,
                error_detail: error,
                ..DiscoveryRequest::default()
            });
        }
        let before = if first { BTreeSet::new() } else { before };
        let held = self.held.get(&kind).into_iter().flatten();
        let held = held.map(|(name, held)| (name.clone(), held.label.clone()));
        Wanted::Apart(DeltaDiscoveryRequest {
            node: self.node(),
            type_url: kind.url().to_string(),
            resource_names_subscribe: names.difference(&before).cloned().collect(),
            resource_names_unsubscribe: before.difference(&names).cloned().collect(),
            initial_resource_versions: if first { held.collect() } else { Default::default() },
            response_nonce: nonce,
            error_detail: error,
            ..DeltaDiscoveryRequest::default()
        })
    }

    /// Takes an answer's bytes in, in the form of this proxy's streams, or refuses it; what is to be asked then.
    ///
    /// # Panics
    /// Where they are no answer.
    pub fn take(&mut self, bytes: &[u8], refuse: bool) -> Vec<Wanted> {
        match self.incremental {
            false => self.whole(&DiscoveryResponse::decode(bytes).expect("an answer"), refuse),
            true => self.apart(&DeltaDiscoveryResponse::decode(bytes).expect("an answer"), refuse),
        }
    }

    /// Takes a whole answer in, or refuses it; what is to be asked then.
    pub fn whole(&mut self, answer: &DiscoveryResponse, refuse: bool) -> Vec<Wanted> {
        let Some(kind) = ResourceType::from_url(&answer.type_url) else { return Vec::new() };
        self.nonce.insert(kind, answer.nonce.clone());
        if refuse {
            self.refused += 1;
            return vec![self.ask(kind, false, Some("refused by the stand-in".to_string()))];
        }
        let read = answer.resources.iter().filter_map(|any| read(kind, any, &answer.version_info));
        let read: Vec<(String, Held)> = read.collect();
        self.note(kind, &answer.version_info);
        let held = self.held.entry(kind).or_default();
        if kind.is_wildcard() {
            held.clear();
        }
        held.extend(read);
        self.version.insert(kind, answer.version_info.clone());
        self.follow(kind)
    }

    /// The same for an incremental answer.
    pub fn apart(&mut self, answer: &DeltaDiscoveryResponse, refuse: bool) -> Vec<Wanted> {
        let Some(kind) = ResourceType::from_url(&answer.type_url) else { return Vec::new() };
        self.nonce.insert(kind, answer.nonce.clone());
        if refuse {
            self.refused += 1;
            return vec![self.ask(kind, false, Some("refused by the stand-in".to_string()))];
        }
        for resource in &answer.resources {
            let Some(any) = &resource.resource else { continue };
            let Some((_, mut held)) = read(kind, any, &resource.version) else { continue };
            held.label.clone_from(&resource.version);
            self.note_apart(kind, &resource.name, &resource.version);
            self.held.entry(kind).or_default().insert(resource.name.clone(), held);
        }
        let held = self.held.entry(kind).or_default();
        answer.removed_resources.iter().for_each(|name| drop(held.remove(name)));
        self.follow(kind)
    }

    /// A label of a whole answer: never older than one before.
    fn note(&mut self, kind: ResourceType, label: &str) {
        let Some(label) = self.labels.parse_label(label) else { return };
        let furthest = self.furthest.get(&kind).copied();
        self.regressions += u64::from(furthest.is_some_and(|furthest| !label.version.dominates(&furthest)));
        self.furthest.insert(kind, furthest.map_or(label.version, |furthest| furthest.join(&label.version)));
    }

    /// A label of one resource: never older than the one it replaces.
    fn note_apart(&mut self, kind: ResourceType, name: &str, label: &str) {
        let held = self.held.get(&kind).and_then(|held| held.get(name));
        let before = held.and_then(|held| self.labels.parse_label(&held.label));
        let Some(label) = self.labels.parse_label(label) else { return };
        self.regressions += u64::from(before.is_some_and(|before| !label.version.dominates(&before.version)));
        let furthest = self.furthest.get(&kind).copied();
        self.furthest.insert(kind, furthest.map_or(label.version, |furthest| furthest.join(&label.version)));
    }

    /// Accepts, and asks for what the new state refers to.
    fn follow(&mut self, kind: ResourceType) -> Vec<Wanted> {
        // What nothing refers to any more is dropped, as its owner does.
        for follower in [ResourceType::Endpoint, ResourceType::LbEndpoint] {
            if !self.held.contains_key(&ResourceType::Cluster) {
                break;
            }
            let names = self.wanted(follower);
            let named = |name: &String| {
                names.iter().any(|want| {
                    want == name || want.strip_suffix('*').is_some_and(|glob| name.starts_with(glob))
                })
            };
            if let Some(held) = self.held.get_mut(&follower) {
                held.retain(|name, _| named(name));
            }
        }
        self.dangling += u64::from(self.dangles().is_some());
        let mut asks = vec![self.ask(kind, false, None)];
        for follower in [ResourceType::Endpoint, ResourceType::LbEndpoint, ResourceType::Route] {
            if follower != kind
                && self.names.get(&follower).cloned().unwrap_or_default() != self.wanted(follower)
            {
                let first = !self.names.contains_key(&follower);
                asks.push(self.ask(follower, first, None));
            }
        }
        asks
    }

    /// A reference of the routes that leads nowhere.
    pub fn dangles(&self) -> Option<String> {
        let of = |kind: ResourceType| self.held.get(&kind);
        let routes = of(ResourceType::Route)?;
        let clusters = of(ResourceType::Cluster);
        for name in routes.values().flat_map(|held| &held.refers) {
            let Some(cluster) = clusters.and_then(|clusters| clusters.get(name)) else {
                return Some(name.clone());
            };
            let missing = cluster
                .refers
                .iter()
                .find(|name| !of(ResourceType::Endpoint).is_some_and(|held| held.contains_key(*name)));
            if let Some(missing) = missing {
                return Some(missing.clone());
            }
        }
        None
    }

    /// What the routes that are held are based on.
    pub fn basis(&self, kind: ResourceType) -> Option<ConfigVersion> {
        self.furthest.get(&kind).copied()
    }

    /// The ways of a product's txns: with a key, or without.
    pub fn way(&self, product: &str, keyed: bool) -> Option<&Way> {
        let ways = self.held.get(&ResourceType::Route)?.values().next().map(|held| &held.ways)?;
        let with_key = ways.get(&format!("{product}/keyed")).filter(|_| keyed);
        with_key.or_else(|| ways.get(product))
    }

    /// The hosts of a cluster, and whether what fails there may be repeated there.
    pub fn hosts(&self, cluster: &str) -> (Vec<Host>, bool) {
        let Some(held) = self.held.get(&ResourceType::Cluster).and_then(|held| held.get(cluster)) else {
            return (Vec::new(), false);
        };
        let endpoints = self.held.get(&ResourceType::Endpoint);
        let mut hosts = Vec::new();
        for service in &held.refers {
            let Some(endpoints) = endpoints.and_then(|held| held.get(service)) else { continue };
            hosts.extend(endpoints.hosts.iter().cloned());
            for glob in &endpoints.refers {
                let prefix = glob.trim_end_matches('*');
                let apart = self
                    .held
                    .get(&ResourceType::LbEndpoint)
                    .into_iter()
                    .flat_map(|held| held.range(prefix.to_string()..));
                let apart = apart.take_while(|(name, _)| name.starts_with(prefix));
                hosts.extend(apart.flat_map(|(_, held)| held.hosts.iter().cloned()));
            }
        }
        (hosts, held.repeats > 0)
    }

    /// Hosts that came within the endpoints of this name.
    pub fn inline(&self, endpoints: &str) -> usize {
        let held = self.held.get(&ResourceType::Endpoint).and_then(|held| held.get(endpoints));
        held.map_or(0, |held| held.hosts.len())
    }

    /// The parts of a million of a product's txns that go to this build.
    pub fn part(&self, product: &str, build: u32) -> u32 {
        let prefix = format!("b{build}/");
        let parts = self.way(product, false).map(|way| way.parts.as_slice()).unwrap_or_default();
        parts.iter().filter(|(name, _)| name.starts_with(&prefix)).map(|(_, part)| *part).sum()
    }
}

fn read(kind: ResourceType, any: &Any, label: &str) -> Option<(String, Held)> {
    let mut held = Held { label: label.to_string(), ..Held::default() };
    let bytes = any.value.as_slice();
    let name = match kind {
        ResourceType::Cluster => {
            let cluster = Cluster::decode(bytes).ok()?;
            if cluster.name != REJECT_CLUSTER {
                held.refers.insert(cluster.eds_cluster_config?.service_name);
            }
            let thresholds =
                cluster.circuit_breakers.and_then(|breakers| breakers.thresholds.into_iter().next());
            held.repeats =
                thresholds.and_then(|thresholds| thresholds.max_retries).map_or(3, |most| most.value);
            cluster.name
        }
        ResourceType::Endpoint => {
            let told = ClusterLoadAssignment::decode(bytes).ok()?;
            for locality in told.endpoints {
                held.hosts.extend(locality.lb_endpoints.iter().filter_map(host));
                if let Some(LbConfig::LedsClusterLocalityConfig(leds)) = locality.lb_config {
                    held.refers.insert(leds.leds_collection_name);
                }
            }
            told.cluster_name
        }
        ResourceType::LbEndpoint => {
            held.hosts.extend(host(&LbEndpoint::decode(bytes).ok()?));
            String::new()
        }
        ResourceType::Listener => {
            let told = Listener::decode(bytes).ok()?;
            let filters = told.filter_chains.into_iter().flat_map(|chain| chain.filters);
            for one in filters {
                let Some(filter::ConfigType::TypedConfig(any)) = one.config_type else { continue };
                let made = manager::HttpConnectionManager::decode(any.value.as_slice()).ok()?;
                if let Some(manager::http_connection_manager::RouteSpecifier::Rds(rds)) = made.route_specifier
                {
                    held.refers.insert(rds.route_config_name);
                }
            }
            told.name
        }
        ResourceType::Route => {
            let told = RouteConfiguration::decode(bytes).ok()?;
            for one in told.virtual_hosts.into_iter().flat_map(|host| host.routes) {
                let Some(route::Action::Route(action)) = one.action else { continue };
                let Some(route_action::ClusterSpecifier::WeightedClusters(weighted)) =
                    action.cluster_specifier
                else {
                    continue;
                };
                let parts = weighted.clusters.into_iter();
                let parts: Vec<_> =
                    parts.map(|one| (one.name, one.weight.map_or(0, |weight| weight.value))).collect();
                held.refers.extend(parts.iter().map(|(name, _)| name.clone()));
                let retry = action.retry_policy.unwrap_or_default();
                let repeats = retry.num_retries.map_or(0, |most| most.value);
                held.ways.insert(one.name, Way { parts, repeats, retry_on: retry.retry_on });
            }
            told.name
        }
    };
    Some((name, held))
}

fn host(told: &LbEndpoint) -> Option<Host> {
    let Some(HostIdentifier::Endpoint(endpoint)) = &told.host_identifier else { return None };
    let addr = parse_address(endpoint.address.as_ref()?)?;
    let weight = told.load_balancing_weight.map_or(1, |weight| weight.value);
    Some(Host { addr, weight, healthy: told.health_status == HealthStatus::Healthy as i32 })
}
