//! A handout as resources of xDS. Each is encoded once and shared by all streams; one whose bytes do not change is told
//! by its hash, so that nobody is sent it anew.

use crate::pb::envoy::config::cluster::v3 as cluster;
use crate::pb::envoy::config::core::v3 as core;
use crate::pb::envoy::config::endpoint::v3 as endpoint;
use crate::pb::envoy::config::listener::v3 as listener;
use crate::pb::envoy::config::route::v3 as route;
use crate::pb::envoy::extensions::filters::http::router::v3::Router;
use crate::pb::envoy::extensions::filters::network::http_connection_manager::v3 as manager;
use crate::pb::envoy::r#type::v3 as kinds;
use crate::pb::google::protobuf::{Any, Duration, UInt32Value};
use bytes::{BufMut, Bytes, BytesMut};
use latchhaven_policy::{Idempotency, Millis, RequestClass, Version};
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::proxy_config::{
    Cluster, ConfiguredEndpoint, EndpointHealth, ProxyConfig, RetryScope, Route, RouteShare, RouteTarget,
};
use latchhaven_proxy_config::share_ledger::CanaryShares;
use latchhaven_proxy_config::version::{ConfigVersion, VersionSigner, join_label};
use prost::Message;
use prost::encoding::{WireType, encode_key, encode_varint};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Names that every proxy is given.
pub const LISTENER_NAME: &str = "latchhaven";
pub const ROUTES_NAME: &str = "latchhaven";
/// The cluster without hosts: what goes there is declined at once, and never ran anywhere.
pub const REJECT_CLUSTER: &str = "decline";
/// In flight that a proxy may have at a build that is gone, until it has accepted new routes.
const GONE_IN_FLIGHT: u32 = 64;
/// The collection that a build's hosts of one zone are in, where hosts are resources of their own.
const COLLECTION: &str = "xdstp:///envoy.config.endpoint.v3.LbEndpoint/";

/// A type of resource, in the order that makes before it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    Cluster,
    Endpoint,
    LbEndpoint,
    Listener,
    Route,
}

impl ResourceType {
    pub const ALL: [ResourceType; 5] = [
        ResourceType::Cluster,
        ResourceType::Endpoint,
        ResourceType::LbEndpoint,
        ResourceType::Listener,
        ResourceType::Route,
    ];

    pub fn url(self) -> &'static str {
        match self {
            ResourceType::Cluster => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            ResourceType::Endpoint => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            ResourceType::LbEndpoint => "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
            ResourceType::Listener => "type.googleapis.com/envoy.config.listener.v3.Listener",
            ResourceType::Route => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    pub fn from_url(url: &str) -> Option<ResourceType> {
        ResourceType::ALL.into_iter().find(|kind| kind.url() == url)
    }

    /// Clients that name nothing get all of these.
    pub fn is_wildcard(self) -> bool {
        matches!(self, ResourceType::Cluster | ResourceType::Listener)
    }
}

/// One resource, encoded.
#[derive(Debug)]
pub struct Resource {
    pub name: String,
    /// Of its bytes: the same at every service.
    pub hash: u64,
    /// Names of what it refers to: a route its clusters, a cluster its endpoints.
    pub references: BTreeSet<String>,
    /// The `Any` as field 2: `resources` of a whole answer, and `resource` of one in an incremental answer alike.
    pub any: Bytes,
}

/// The resources of one type, by name.
pub type ResourceSet = BTreeMap<String, Arc<Resource>>;

/// What all proxies are to hold, at one moment.
#[derive(Debug)]
pub struct ResourceSnapshot {
    pub version: ConfigVersion,
    /// Counts the snapshots of this process.
    pub number: u64,
    pub canary_shares: CanaryShares,
    /// What labels of this snapshot begin with: whatever goes out is labelled with what it is based on now, however
    /// long it has not changed.
    stamp: String,
    /// What clusters are made of, for those of builds that are gone.
    made_of: Arc<(Vec<RequestClass>, ListenerConfig)>,
    sets: BTreeMap<(ResourceType, bool), (u64, Arc<ResourceSet>)>,
}

/// What proxies are told beside the handout.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    pub address: SocketAddr,
    pub class_header: String,
    pub key_header: String,
    pub connect_timeout: Millis,
    /// Incremental streams get each host as a resource of its own.
    pub separate_endpoints: bool,
}

impl ResourceSnapshot {
    /// The resources of a type, as incremental streams get them or others; and what tells their content.
    pub fn resources(&self, kind: ResourceType, incremental: bool) -> (u64, &Arc<ResourceSet>) {
        let found = self.sets.get(&(kind, incremental)).or_else(|| self.sets.get(&(kind, false)));
        let (content, set) = found.expect("every type has its set");
        (*content, set)
    }

    /// The label of a content that goes out now.
    pub fn version_label(&self, content: u64) -> String {
        join_label(&self.stamp, content)
    }

    /// The clusters of a build that is gone, under the name of its endpoints: a proxy that comes back may still route
    /// to them until it has accepted new routes.
    pub fn retired_clusters(&self, service: &str) -> Vec<Arc<Resource>> {
        let build = service.strip_prefix('b').and_then(|build| build.parse::<Version>().ok());
        let Some(build) = build.filter(|build| endpoints_name(*build) == service) else { return Vec::new() };
        let (products, front) = &*self.made_of;
        let made = (0..products.len()).map(|product| {
            let cluster = Cluster {
                version: build,
                class: product,
                max_in_flight: GONE_IN_FLIGHT,
                allows_retries: false,
            };
            let raw = one_cluster(&cluster, products, front);
            let hash = hash(raw.bytes.iter().copied());
            Arc::new(encode(ResourceType::Cluster, raw, hash))
        });
        made.collect()
    }

    /// The snapshot of a handout; what has not changed since an earlier one stays as it was.
    pub fn build(
        handout: &ProxyConfig, basis: ConfigVersion, made_of: &Arc<(Vec<RequestClass>, ListenerConfig)>,
        labels: &VersionSigner, earlier: Option<&ResourceSnapshot>,
    ) -> ResourceSnapshot {
        let (products, front) = (made_of.0.as_slice(), &made_of.1);
        let mut made: Vec<((ResourceType, bool), Vec<Raw>)> = vec![
            ((ResourceType::Cluster, false), clusters(handout, products, front)),
            ((ResourceType::Listener, false), vec![listener(front)]),
            ((ResourceType::Route, false), vec![routes(handout, products, front)]),
            ((ResourceType::Endpoint, false), endpoints(handout, false)),
            ((ResourceType::LbEndpoint, false), Vec::new()),
        ];
        if front.separate_endpoints {
            made.push(((ResourceType::Endpoint, true), endpoints(handout, true)));
            made.push(((ResourceType::LbEndpoint, true), hosts_apart(handout)));
        }
        let sets = made.into_iter().map(|((kind, apart), raws)| {
            let before = earlier.and_then(|earlier| earlier.sets.get(&(kind, apart)));
            let mut set = ResourceSet::new();
            for raw in raws {
                let hash = hash(raw.bytes.iter().copied());
                let same = before.and_then(|(_, set)| set.get(&raw.name)).filter(|held| held.hash == hash);
                let resource = same.cloned().unwrap_or_else(|| Arc::new(encode(kind, raw, hash)));
                set.insert(resource.name.clone(), resource);
            }
            let all = hash(set.values().flat_map(|resource| resource.hash.to_be_bytes()));
            let held = before.filter(|(content, held)| *content == all && held.keys().eq(set.keys()));
            let set = held.map_or_else(|| Arc::new(set), |(_, held)| held.clone());
            ((kind, apart), (all, set))
        });
        let sets: BTreeMap<_, _> = sets.collect();
        let number = earlier.map_or(0, |earlier| earlier.number) + 1;
        ResourceSnapshot {
            version: basis,
            number,
            canary_shares: handout.canary_shares.clone(),
            stamp: labels.prefix(&basis),
            made_of: made_of.clone(),
            sets,
        }
    }

    /// True where nothing that a proxy holds would change.
    pub fn has_same_resources(&self, other: &ResourceSnapshot) -> bool {
        self.sets
            .iter()
            .all(|(at, (content, _))| other.sets.get(at).is_some_and(|(other, _)| content == other))
    }
}

/// A resource before it is encoded in its wrappings.
struct Raw {
    name: String,
    refers: BTreeSet<String>,
    bytes: Vec<u8>,
}

/// FNV-1a of 64 bits: tells contents apart, and is the same everywhere. Labels are signed by other means.
pub(crate) fn hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let add = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.into_iter().fold(0xcbf2_9ce4_8422_2325, add)
}

/// A name as resource names can hold it.
fn plain(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect()
}

/// One field of a message that holds bytes.
pub(crate) fn field(tag: u32, bytes: &[u8], out: &mut BytesMut) {
    encode_key(tag, WireType::LengthDelimited, out);
    encode_varint(bytes.len() as u64, out);
    out.put_slice(bytes);
}

fn encode(kind: ResourceType, raw: Raw, hash: u64) -> Resource {
    let any = Any { type_url: kind.url().to_string(), value: raw.bytes }.encode_to_vec();
    let mut wrapped = BytesMut::with_capacity(any.len() + 8);
    field(2, &any, &mut wrapped);
    let Raw { name, refers, .. } = raw;
    Resource { name, hash, references: refers, any: wrapped.freeze() }
}

/// The name of the cluster in which one product's txns go to one build.
pub fn cluster_name(build: Version, product: &str) -> String {
    format!("b{build}/{product}")
}

/// The name of a build's endpoints.
pub fn endpoints_name(build: Version) -> String {
    format!("b{build}")
}

/// The build and product that a cluster's name tells.
pub fn parse_cluster_name(name: &str, products: &[String]) -> Option<(Version, usize)> {
    let (build, product) = name.strip_prefix('b')?.split_once('/')?;
    Some((build.parse().ok()?, products.iter().position(|known| known == product)?))
}

fn any(url: &str, message: &impl Message) -> Any {
    Any { type_url: format!("type.googleapis.com/{url}"), value: message.encode_to_vec() }
}

fn number(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn span(ms: Millis) -> Option<Duration> {
    let nanos = (ms.max(0.0) * 1e6) as i64;
    Some(Duration { seconds: nanos / 1_000_000_000, nanos: (nanos % 1_000_000_000) as i32 })
}

fn ads() -> core::ConfigSource {
    let ads = core::config_source::ConfigSourceSpecifier::Ads(core::AggregatedConfigSource {});
    core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(ads),
        ..core::ConfigSource::default()
    }
}

/// An address as resources and load reports tell it.
pub fn to_xds_address(addr: SocketAddr) -> core::Address {
    let port = core::socket_address::PortSpecifier::PortValue(u32::from(addr.port()));
    let socket = core::SocketAddress {
        address: addr.ip().to_string(),
        port_specifier: Some(port),
        ..core::SocketAddress::default()
    };
    core::Address { address: Some(core::address::Address::SocketAddress(socket)) }
}

fn clusters(handout: &ProxyConfig, products: &[RequestClass], front: &ListenerConfig) -> Vec<Raw> {
    let made = handout.clusters.iter().map(|cluster| one_cluster(cluster, products, front));
    let decline = cluster::Cluster {
        name: REJECT_CLUSTER.to_string(),
        connect_timeout: span(front.connect_timeout),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Static as i32,
        )),
        ..cluster::Cluster::default()
    };
    let decline =
        Raw { name: REJECT_CLUSTER.to_string(), refers: BTreeSet::new(), bytes: decline.encode_to_vec() };
    made.chain([decline]).collect()
}

fn one_cluster(told: &Cluster, products: &[RequestClass], front: &ListenerConfig) -> Raw {
    let (name, service) =
        (cluster_name(told.version, &products[told.class].name), endpoints_name(told.version));
    let thresholds = cluster::circuit_breakers::Thresholds {
        max_requests: number(told.max_in_flight),
        max_pending_requests: number(told.max_in_flight),
        // While a cap counts every submission nothing is repeated there; else repeats are a part of what is out.
        max_retries: if told.allows_retries { number((told.max_in_flight / 8).max(1)) } else { number(0) },
        ..Default::default()
    };
    let made = cluster::Cluster {
        name: name.clone(),
        connect_timeout: span(front.connect_timeout),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds as i32,
        )),
        eds_cluster_config: Some(cluster::cluster::EdsClusterConfig {
            eds_config: Some(ads()),
            service_name: service.clone(),
        }),
        lb_policy: cluster::cluster::LbPolicy::LeastRequest as i32,
        circuit_breakers: Some(cluster::CircuitBreakers {
            thresholds: vec![thresholds],
            ..Default::default()
        }),
        common_lb_config: Some(cluster::cluster::CommonLbConfig {
            // Never in panic: a host that drains gets nothing, however few are left.
            healthy_panic_threshold: Some(kinds::Percent { value: 0.0 }),
            ..Default::default()
        }),
        ..cluster::Cluster::default()
    };
    Raw { name, refers: BTreeSet::from([service]), bytes: made.encode_to_vec() }
}

fn one_host(host: &ConfiguredEndpoint) -> endpoint::LbEndpoint {
    let health = match host.health {
        EndpointHealth::Healthy => core::HealthStatus::Healthy,
        EndpointHealth::Unhealthy => core::HealthStatus::Unhealthy,
        EndpointHealth::Draining => core::HealthStatus::Draining,
    };
    endpoint::LbEndpoint {
        health_status: health as i32,
        load_balancing_weight: number(host.weight),
        host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint::Endpoint {
            address: Some(to_xds_address(host.address)),
            observability_name: host.endpoint.clone(),
            ..endpoint::Endpoint::default()
        })),
        ..endpoint::LbEndpoint::default()
    }
}

fn by_zone(hosts: &[ConfiguredEndpoint]) -> BTreeMap<&str, Vec<&ConfiguredEndpoint>> {
    let mut zones: BTreeMap<&str, Vec<&ConfiguredEndpoint>> = BTreeMap::new();
    hosts.iter().for_each(|host| zones.entry(&host.zone).or_default().push(host));
    zones
}

/// The prefix of a build's hosts of one zone.
fn collection(build: Version, zone: &str) -> String {
    format!("{COLLECTION}b{build}/z{}/", plain(zone))
}

fn endpoints(handout: &ProxyConfig, apart: bool) -> Vec<Raw> {
    let made = handout.endpoints.iter().map(|(build, hosts)| {
        let (name, mut refers) = (endpoints_name(*build), BTreeSet::new());
        let zones = by_zone(hosts).into_iter().map(|(zone, hosts)| {
            let weight = hosts.iter().map(|host| host.weight).sum();
            let lb_config = apart.then(|| {
                refers.insert(collection(*build, zone));
                let leds = endpoint::LedsClusterLocalityConfig {
                    leds_config: Some(ads()),
                    leds_collection_name: format!("{}*", collection(*build, zone)),
                };
                endpoint::locality_lb_endpoints::LbConfig::LedsClusterLocalityConfig(leds)
            });
            endpoint::LocalityLbEndpoints {
                locality: Some(core::Locality { zone: zone.to_string(), ..core::Locality::default() }),
                lb_endpoints: if apart { Vec::new() } else { hosts.into_iter().map(one_host).collect() },
                // Hosts apart are weighed by themselves: a sum here would change with each of them.
                load_balancing_weight: if apart { None } else { number(weight) },
                lb_config,
                ..endpoint::LocalityLbEndpoints::default()
            }
        });
        let endpoints = zones.collect();
        let drop = endpoint::cluster_load_assignment::policy::DropOverload {
            category: "shed".to_string(),
            drop_percentage: Some(kinds::FractionalPercent {
                numerator: handout.shed_share.get(),
                denominator: kinds::fractional_percent::DenominatorType::Million as i32,
            }),
        };
        let policy = endpoint::cluster_load_assignment::Policy {
            drop_overloads: if handout.shed_share > PartsPerMillion::ZERO { vec![drop] } else { Vec::new() },
            ..Default::default()
        };
        let made = endpoint::ClusterLoadAssignment {
            cluster_name: name.clone(),
            endpoints,
            policy: Some(policy),
            ..endpoint::ClusterLoadAssignment::default()
        };
        Raw { name, refers, bytes: made.encode_to_vec() }
    });
    made.collect()
}

fn hosts_apart(handout: &ProxyConfig) -> Vec<Raw> {
    let made = handout.endpoints.iter().flat_map(|(build, hosts)| {
        hosts.iter().map(|host| {
            // Ids that differ only in what names cannot hold stay two.
            let (id, apart) = (plain(&host.endpoint), hash(host.endpoint.bytes()) as u32);
            let name = format!("{}{id}-{apart:x}", collection(*build, &host.zone));
            Raw { name, refers: BTreeSet::new(), bytes: one_host(host).encode_to_vec() }
        })
    });
    made.collect()
}

fn listener(front: &ListenerConfig) -> Raw {
    let router = manager::HttpFilter {
        name: "envoy.filters.http.router".to_string(),
        config_type: Some(manager::http_filter::ConfigType::TypedConfig(any(
            "envoy.extensions.filters.http.router.v3.Router",
            &Router::default(),
        ))),
        ..manager::HttpFilter::default()
    };
    let made = manager::HttpConnectionManager {
        stat_prefix: LISTENER_NAME.to_string(),
        http_filters: vec![router],
        route_specifier: Some(manager::http_connection_manager::RouteSpecifier::Rds(manager::Rds {
            config_source: Some(ads()),
            route_config_name: ROUTES_NAME.to_string(),
        })),
        ..manager::HttpConnectionManager::default()
    };
    let url = "envoy.extensions.filters.network.http_connection_manager.v3.HttpConnectionManager";
    let filter = listener::Filter {
        name: "envoy.filters.network.http_connection_manager".to_string(),
        config_type: Some(listener::filter::ConfigType::TypedConfig(any(url, &made))),
    };
    let chain = listener::FilterChain { filters: vec![filter], ..listener::FilterChain::default() };
    let made = listener::Listener {
        name: LISTENER_NAME.to_string(),
        address: Some(to_xds_address(front.address)),
        filter_chains: vec![chain],
        ..listener::Listener::default()
    };
    Raw {
        name: LISTENER_NAME.to_string(),
        refers: BTreeSet::from([ROUTES_NAME.to_string()]),
        bytes: made.encode_to_vec(),
    }
}

fn routes(handout: &ProxyConfig, products: &[RequestClass], front: &ListenerConfig) -> Raw {
    let mut refers = BTreeSet::new();
    let mut list = Vec::new();
    for told in &handout.routes {
        // The one for txns with a key goes first: proxies take the first that matches.
        if let Some(keyed) = &told.sticky_shares {
            list.push(one_route(told, keyed, true, products, front, &mut refers));
        }
        list.push(one_route(told, &told.shares, false, products, front, &mut refers));
    }
    let host = route::VirtualHost {
        name: ROUTES_NAME.to_string(),
        domains: vec!["*".to_string()],
        routes: list,
        ..route::VirtualHost::default()
    };
    let made = route::RouteConfiguration {
        name: ROUTES_NAME.to_string(),
        virtual_hosts: vec![host],
        ..route::RouteConfiguration::default()
    };
    Raw { name: ROUTES_NAME.to_string(), refers, bytes: made.encode_to_vec() }
}

fn one_route(
    told: &Route, shares: &[RouteShare], keyed: bool, products: &[RequestClass], front: &ListenerConfig,
    refers: &mut BTreeSet<String>,
) -> route::Route {
    let product = &products[told.class];
    let weighted = shares.iter().map(|RouteShare { target, share }| {
        let name = match target {
            RouteTarget::Version(build) => cluster_name(*build, &product.name),
            RouteTarget::Reject => REJECT_CLUSTER.to_string(),
        };
        refers.insert(name.clone());
        route::weighted_cluster::ClusterWeight { name, weight: number(share.get()), ..Default::default() }
    });
    let weighted =
        route::WeightedCluster { clusters: weighted.collect(), ..route::WeightedCluster::default() };
    debug_assert_eq!(shares.iter().map(|share| share.share).sum::<PartsPerMillion>(), PartsPerMillion::FULL);
    let header = |name: &str, how| route::HeaderMatcher {
        name: name.to_string(),
        header_match_specifier: Some(how),
        ..route::HeaderMatcher::default()
    };
    let matched = crate::pb::envoy::r#type::matcher::v3::StringMatcher {
        match_pattern: Some(crate::pb::envoy::r#type::matcher::v3::string_matcher::MatchPattern::Exact(
            product.name.clone(),
        )),
        ..Default::default()
    };
    let mut headers =
        vec![header(&front.class_header, route::header_matcher::HeaderMatchSpecifier::StringMatch(matched))];
    if keyed {
        headers
            .push(header(&front.key_header, route::header_matcher::HeaderMatchSpecifier::PresentMatch(true)));
    }
    // A once-only txn is repeated only where the proxy knows that it never reached the host.
    let retry_on = match told.retry_scope {
        RetryScope::NotExecuted => "connect-failure,refused-stream",
        RetryScope::Any if product.idempotency == Idempotency::NonIdempotent => {
            "connect-failure,refused-stream"
        }
        RetryScope::Any => "connect-failure,refused-stream,reset,5xx",
    };
    let retry = route::RetryPolicy {
        retry_on: retry_on.to_string(),
        num_retries: number(told.max_retries),
        per_try_timeout: told.attempt_timeout.and_then(span),
        ..route::RetryPolicy::default()
    };
    let action = route::RouteAction {
        timeout: span(told.timeout),
        cluster_specifier: Some(route::route_action::ClusterSpecifier::WeightedClusters(weighted)),
        retry_policy: (told.max_retries > 0).then_some(retry),
        ..route::RouteAction::default()
    };
    route::Route {
        name: if keyed { format!("{}/keyed", product.name) } else { product.name.clone() },
        r#match: Some(route::RouteMatch {
            headers,
            path_specifier: Some(route::route_match::PathSpecifier::Prefix("/".to_string())),
            ..route::RouteMatch::default()
        }),
        action: Some(route::route::Action::Route(action)),
        ..route::Route::default()
    }
}
