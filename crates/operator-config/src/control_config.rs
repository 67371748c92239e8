//! The records that a configuration file is read into.
//!
//! Each field has the name of the key that operators write: errors name it so. Its documentation is part of the schema.

use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

/// The default of `streams_most`.
const DEFAULT_MAX_STREAMS: usize = 2000;
/// The default of `connect_within_ms`, in ms.
const DEFAULT_CONNECT_TIMEOUT: u32 = 250;

/// The configuration of a control service.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Plan")]
#[garde(allow_unvalidated)]
pub struct ControlConfig {
    /// This service's name, in logs and towards proxies.
    #[garde(length(min = 1, max = 64), ascii)]
    pub name: String,
    /// Address and port of discovery, which has the list of endpoints.
    pub discovery: SocketAddr,
    /// Address and port of the platform; without one no configuration is ever published.
    pub platform: Option<SocketAddr>,
    /// The seed of the random number generator.
    #[serde(default)]
    pub seed: u64,
    /// Request classes, permissions, rules and votes: the object that the platform gives gateways, same names and units.
    pub settings: serde_json::Value,
    /// The file of the state store; without one a restarted service learns only from proxies what was published.
    pub state: Option<PathBuf>,
    /// A file whose content signs versions; the same for all control services of a site. Without it
    /// the versions that proxies report as held guard their own streams only.
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
    /// Where proxies connect; other than loopback only where `allowed_networks` is given.
    #[garde(custom(loopback_or_allowed(&self.allowed_networks)))]
    pub listen: SocketAddr,
    /// Networks from which proxies may connect: checked before anything is read.
    #[serde(default = "loopback_networks")]
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 256))]
    pub allowed_networks: Vec<IpNet>,
    /// The maximum number of streams of proxies at once.
    #[serde(default = "default_max_streams")]
    #[garde(range(min = 1, max = 100_000))]
    pub streams_most: usize,
    /// Where each proxy listens for clients.
    pub listener: SocketAddr,
    /// The header that names a request's class.
    #[serde(default = "default_class_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub product_header: String,
    /// The header that holds a request's key, where it has one.
    #[serde(default = "default_key_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub key_header: String,
    /// Requests that a warm endpoint of weight 1 can hold in flight, over all proxies.
    #[garde(range(min = 1, max = 100_000))]
    pub in_flight_per_host: u32,
    /// Time in ms within which a connection to an endpoint must be established.
    #[serde(default = "default_connect_timeout")]
    #[garde(range(min = 1, max = 60_000))]
    pub connect_within_ms: u32,
    /// Whose counts of attempts judge versions: both would count the same attempts twice.
    #[serde(default)]
    pub evidence: OutcomeSource,
    /// Incremental streams get each endpoint as a resource of its own (LEDS), so that updates grow with what changed.
    #[serde(default)]
    pub hosts_apart: bool,
}

/// Whose counts of attempts judge versions.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Evidence")]
pub enum OutcomeSource {
    /// Load reports of proxies; the platform's counts while there are none.
    #[default]
    Proxies,
    /// The platform's counts alone.
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
    DEFAULT_CONNECT_TIMEOUT
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
