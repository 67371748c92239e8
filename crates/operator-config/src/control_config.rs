//! The structs that a configuration file is parsed into.
//!
//! `rename` maps the keys that operators write to fields; [`key_of_field`] maps fields back to keys for errors. The doc
//! comments of the fields are published in the schema.

use crate::limits::{DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_MAX_STREAMS};
use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

/// Fields that are checked and whose keys have other names: field, key.
const RENAMED_KEYS: [(&str, &str); 4] = [
    ("max_streams", "streams_most"),
    ("class_header", "product_header"),
    ("max_in_flight_per_endpoint", "in_flight_per_host"),
    ("connect_timeout_ms", "connect_within_ms"),
];

/// Returns the path with its last field replaced by the key that operators write.
pub(crate) fn key_of_field(path: &str) -> String {
    let (parent, field) = path.rsplit_once('.').unwrap_or(("", path));
    match RENAMED_KEYS.iter().find(|(renamed_field, _)| *renamed_field == field) {
        Some((_, key)) => format!("{parent}.{key}"),
        None => path.to_string(),
    }
}

/// The configuration of a control service.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Plan")]
#[garde(allow_unvalidated)]
pub struct ControlConfig {
    /// The name of this service in logs and towards proxies; 1 to 64 ASCII characters.
    #[garde(length(min = 1, max = 64), ascii)]
    pub name: String,
    /// Address and port of the discovery service, from which the control service gets the endpoint list.
    pub discovery: SocketAddr,
    /// Address and port of the platform, which reports the rollout state; without it no configuration is published.
    pub platform: Option<SocketAddr>,
    /// The seed of the random number generator; 0 by default.
    #[serde(default)]
    pub seed: u64,
    /// Request classes, permissions, rules and voting: the same object, with the same keys and units, as the platform
    /// sends to gateways.
    pub settings: serde_json::Value,
    /// Path of the state store; without it a restarted control service knows the published versions only from proxies.
    pub state: Option<PathBuf>,
    /// Path of a file with the key that signs versions; all control services of a site need the same key. Without it, a
    /// version that a proxy reports protects only the stream of this proxy from older versions.
    pub shared_key_file: Option<PathBuf>,
    /// The xDS server for proxies.
    #[garde(dive)]
    pub xds: XdsConfig,
}

/// The xDS server for proxies.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Xds")]
#[garde(allow_unvalidated)]
pub struct XdsConfig {
    /// Address and port on which the server listens for proxies. An address other than loopback requires another
    /// network in `allowed_networks`.
    #[garde(custom(loopback_or_allowed(&self.allowed_networks)))]
    pub listen: SocketAddr,
    /// Networks from which proxies may connect, 1 to 256; loopback by default. A connection from another network is
    /// closed before anything is read from it.
    #[serde(default = "loopback_networks")]
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 256))]
    pub allowed_networks: Vec<IpNet>,
    /// Limit of the streams of proxies, open or pending; 2000 by default.
    #[serde(rename = "streams_most", default = "default_max_streams")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_streams: usize,
    /// Address and port on which each proxy listens for clients.
    pub listener: SocketAddr,
    /// The header of a request that contains the name of its class; `x-product` by default.
    #[serde(rename = "product_header", default = "default_class_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub class_header: String,
    /// The header of a request that contains its sticky key; `x-key` by default.
    #[serde(default = "default_key_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub key_header: String,
    /// Limit of the requests in flight to an endpoint of weight 1 after its slow start, for all proxies together.
    #[serde(rename = "in_flight_per_host")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_in_flight_per_endpoint: u32,
    /// The timeout of a connection attempt of a proxy to an endpoint, in milliseconds; 250 by default.
    #[serde(rename = "connect_within_ms", default = "default_connect_timeout")]
    #[garde(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u32,
    /// The source of the outcome counts by which versions are judged; both sources count the same attempts.
    #[serde(rename = "evidence", default)]
    pub outcome_source: OutcomeSource,
    /// If `true`, incremental streams receive each endpoint as a separate resource (LEDS), so that the size of an
    /// update is proportional to the number of changed endpoints; `false` by default.
    #[serde(rename = "hosts_apart", default)]
    pub separate_endpoints: bool,
}

/// The source of the outcome counts by which versions are judged.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Evidence")]
pub enum OutcomeSource {
    /// Load reports of proxies; while there are none, the counts of the platform.
    #[default]
    Proxies,
    /// The counts of the platform only.
    Platform,
}

fn loopback_networks() -> Vec<IpNet> {
    let ipv4 = IpNet::new(IpAddr::from(Ipv4Addr::new(127, 0, 0, 0)), 8);
    let ipv6 = IpNet::new(IpAddr::from(Ipv6Addr::LOCALHOST), 128);
    [ipv4, ipv6].into_iter().flatten().collect()
}

fn default_max_streams() -> usize {
    DEFAULT_MAX_STREAMS
}

fn default_connect_timeout() -> u32 {
    DEFAULT_CONNECT_TIMEOUT_MS
}

fn default_class_header() -> String {
    "x-product".to_string()
}

fn default_key_header() -> String {
    "x-key".to_string()
}

/// A server that listens on an address other than loopback needs an allowed network other than loopback.
fn loopback_or_allowed(networks: &[IpNet]) -> impl FnOnce(&SocketAddr, &()) -> garde::Result + '_ {
    move |listen, ()| {
        let is_allowed = networks.iter().any(|network| !network.addr().is_loopback());
        if listen.ip().is_loopback() || is_allowed {
            return Ok(());
        }
        Err(garde::Error::new("expected a loopback address, or another network in allowed_networks"))
    }
}
