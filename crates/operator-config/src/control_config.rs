//! The records that a configuration file is parsed into.
//!
//! `rename` maps the keys that operators write to fields; [`key_of_field`] maps back the fields that are checked. The
//! documentation of the fields is part of the schema.

use crate::limits::{DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_MAX_STREAMS};
use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

/// Checked fields whose keys have other names, with these keys.
const RENAMED_KEYS: [(&str, &str); 4] = [
    ("max_streams", "streams_most"),
    ("class_header", "product_header"),
    ("max_in_flight_per_endpoint", "in_flight_per_host"),
    ("connect_timeout_ms", "connect_within_ms"),
];

/// The key of a field in the path of a failed check.
pub(crate) fn key_of_field(path: &str) -> String {
    let (parent, field) = path.rsplit_once('.').unwrap_or(("", path));
    match RENAMED_KEYS.iter().find(|(renamed, _)| *renamed == field) {
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
    /// This service's name, in logs and towards proxies.
    #[garde(length(min = 1, max = 64), ascii)]
    pub name: String,
    /// Address and port of discovery, which serves the endpoint list.
    pub discovery: SocketAddr,
    /// Address and port of the platform; without one no configuration is published.
    pub platform: Option<SocketAddr>,
    /// The seed of the random number generator.
    #[serde(default)]
    pub seed: u64,
    /// Request classes, permissions, rules and votes: the object that the platform sends to gateways, with the same names
    /// and units.
    pub settings: serde_json::Value,
    /// The file of the state store; without one a restarted service knows published versions only from proxies.
    pub state: Option<PathBuf>,
    /// A file whose content is the key that signs versions; the same for all control services of a site. Without it
    /// a version that a proxy reports protects the proxy's own stream only.
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
    /// The address on which proxies connect; other than loopback only if `allowed_networks` is set.
    #[garde(custom(loopback_or_allowed(&self.allowed_networks)))]
    pub listen: SocketAddr,
    /// Networks from which proxies may connect; checked before the first read.
    #[serde(default = "loopback_networks")]
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 256))]
    pub allowed_networks: Vec<IpNet>,
    /// The maximum number of streams of proxies, open or pending.
    #[serde(rename = "streams_most", default = "default_max_streams")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_streams: usize,
    /// The address on which each proxy listens for clients.
    pub listener: SocketAddr,
    /// The header that names a request's class.
    #[serde(rename = "product_header", default = "default_class_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub class_header: String,
    /// The header with a request's sticky key.
    #[serde(default = "default_key_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub key_header: String,
    /// The concurrency limit of an endpoint of weight 1 after its slow start, over all proxies.
    #[serde(rename = "in_flight_per_host")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_in_flight_per_endpoint: u32,
    /// The timeout of connecting to an endpoint, in ms.
    #[serde(rename = "connect_within_ms", default = "default_connect_timeout")]
    #[garde(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u32,
    /// The source of the counts that judge versions; both sources count the same attempts.
    #[serde(rename = "evidence", default)]
    pub outcome_source: OutcomeSource,
    /// Incremental streams get each endpoint as a resource of its own (LEDS): the size of an update is proportional to
    /// the number of changed endpoints.
    #[serde(rename = "hosts_apart", default)]
    pub separate_endpoints: bool,
}

/// The source of the counts that judge versions.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Evidence")]
pub enum OutcomeSource {
    /// Load reports of proxies; the platform's counts while there are none.
    #[default]
    Proxies,
    /// The platform's counts only.
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

/// Listening beyond loopback needs allowed networks beyond loopback.
fn loopback_or_allowed(networks: &[IpNet]) -> impl FnOnce(&SocketAddr, &()) -> garde::Result + '_ {
    move |listen, ()| {
        let is_allowed = networks.iter().any(|network| !network.addr().is_loopback());
        if listen.ip().is_loopback() || is_allowed {
            return Ok(());
        }
        Err(garde::Error::new("not on loopback, and allowed_networks names no other network"))
    }
}
