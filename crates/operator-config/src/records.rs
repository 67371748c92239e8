//! The records that an operator's file is read into; every field is documented for the schema.

use garde::Validate;
use ipnet::IpNet;
use schemars::JsonSchema;
use serde::Deserialize;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;

/// What a control service is told by its operators.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Plan {
    /// This service's name, in logs and towards proxies.
    #[garde(length(min = 1, max = 64), ascii)]
    pub name: String,
    /// Address and port of the list of hosts.
    pub discovery: SocketAddr,
    /// Address and port of the platform; without one nothing is ever handed out.
    pub platform: Option<SocketAddr>,
    /// Seeds chance.
    #[serde(default)]
    pub seed: u64,
    /// Products, permissions, rules and votes: the object that the platform gives gateways, same names and units.
    pub settings: serde_json::Value,
    /// A file of durable state; without one a restarted service learns from proxies alone how far it was.
    pub state: Option<PathBuf>,
    /// A file whose content signs versions; the same for all control services of a site. Without it
    /// what proxies report as held guards their own streams only.
    pub shared_key_file: Option<PathBuf>,
    /// What is said to proxies.
    #[garde(dive)]
    pub xds: Xds,
}

/// The front to proxies.
#[derive(Clone, Debug, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Xds {
    /// Where proxies connect; other than loopback only where `allowed_networks` is given.
    #[garde(custom(loopback_or_named(&self.allowed_networks)))]
    pub listen: SocketAddr,
    /// Networks from which proxies may connect: checked before anything is read.
    #[serde(default = "loopback")]
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 256))]
    pub allowed_networks: Vec<IpNet>,
    /// Streams of proxies held at once.
    #[serde(default = "two_thousand")]
    #[garde(range(min = 1, max = 100_000))]
    pub streams_most: usize,
    /// Where each proxy listens for clients.
    pub listener: SocketAddr,
    /// The header that names a txn's product.
    #[serde(default = "product_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub product_header: String,
    /// The header that holds a txn's key, where it has one.
    #[serde(default = "key_header")]
    #[garde(length(min = 1, max = 64), ascii)]
    pub key_header: String,
    /// Txns that a warm host of weight 1 can hold at once, over all proxies.
    #[garde(range(min = 1, max = 100_000))]
    pub in_flight_per_host: u32,
    /// Time in ms in which a connection to a host has to come up.
    #[serde(default = "quarter_of_a_second")]
    #[garde(range(min = 1, max = 60_000))]
    pub connect_within_ms: u32,
    /// Whose counts of submissions judge builds: both would weigh the same submissions twice.
    #[serde(default)]
    pub evidence: Evidence,
    /// Incremental streams get each host as a resource of its own (LEDS), so that sends grow with what changed.
    #[serde(default)]
    pub hosts_apart: bool,
}

/// Whose counts judge builds.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Evidence {
    /// Load reports of proxies; the platform's tallies while none come.
    #[default]
    Proxies,
    /// The platform's tallies alone.
    Platform,
}

fn loopback() -> Vec<IpNet> {
    let (four, six) = (IpAddr::from(Ipv4Addr::new(127, 0, 0, 0)), IpAddr::from(Ipv6Addr::LOCALHOST));
    [IpNet::new(four, 8), IpNet::new(six, 128)].into_iter().flatten().collect()
}

fn two_thousand() -> usize {
    2000
}

fn quarter_of_a_second() -> u32 {
    250
}

fn product_header() -> String {
    "x-product".to_string()
}

fn key_header() -> String {
    "x-key".to_string()
}

/// Listening beyond loopback needs networks that say so.
fn loopback_or_named(networks: &[IpNet]) -> impl FnOnce(&SocketAddr, &()) -> garde::Result + '_ {
    move |listen, ()| {
        let beyond = networks.iter().any(|network| !network.addr().is_loopback());
        if listen.ip().is_loopback() || beyond {
            return Ok(());
        }
        Err(garde::Error::new("not on loopback, and allowed_networks names no other network"))
    }
}
