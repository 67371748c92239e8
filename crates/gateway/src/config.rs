//! Reads and checks the gateway's configuration, and sets defaults. Error messages name the invalid key.

use crate::limits::start::{DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_LIMIT, MIB, MIN_DESCRIPTORS};
use crate::net::list::{self, ListUpdate};
use crate::net::platform;
use latchhaven_policy::RolloutState;
use latchhaven_simulator_protocol::{Settings, settings};
use serde_json::Value;
use std::net::SocketAddr;

/// The environment variable that contains the path of the configuration file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// Why the configuration is invalid.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// This required environment variable is not set.
    #[error("{0}: not set")]
    Unset(&'static str),
    /// The file is missing, unreadable, or not a JSON object. Contains the path and the reason.
    #[error("{0}: cannot be read: {1}")]
    Unreadable(String, String),
    /// A key is missing or has an invalid value. Contains the key and the reason.
    #[error("{0}: {1}")]
    Key(String, String),
}

/// The gateway's name and addresses, and the addresses of the services that it calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// The name of this gateway in logs.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// Where the gateway requests the endpoint list.
    pub discovery: SocketAddr,
    /// Where the gateway receives rollout states and casts votes. `None` if there is no platform.
    pub platform: Option<SocketAddr>,
}

/// Cached state with which the gateway starts. The list may be outdated.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialState {
    /// The cached endpoint list. Empty and of version 0 if the file contains none.
    pub list: ListUpdate,
    /// The cached rollout state of the newest version. `None` if the file contains none.
    pub rollout: Option<RolloutState>,
}

/// The content of a configuration file.
pub struct GatewayConfig {
    /// From the file, or from environment variables that take precedence.
    pub addresses: Addresses,
    /// Maximum number of file descriptors that the gateway may use.
    pub max_descriptors: usize,
    /// Maximum memory of the process in bytes.
    pub memory_limit: usize,
    /// The state that the gateway uses until discovery and platform have reported newer states.
    pub initial_state: InitialState,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The policy's settings: request classes, permissions, rules and voting.
    pub settings: Settings,
}

/// The addresses that a reload of the configuration may change while the gateway runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceAddresses {
    /// Where the gateway requests the endpoint list.
    pub discovery: SocketAddr,
    /// Where the gateway receives rollout states and casts votes. `None` if there is no platform.
    pub platform: Option<SocketAddr>,
}

/// Reads the file whose path is in `BALANCER_CONFIG`. Other environment variables take precedence over the file's keys.
///
/// # Errors
/// The first invalid key, or the reason why the file cannot be read.
pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<GatewayConfig, ConfigError> {
    read_file(env, DiscoverySource::VariableFirst)
}

/// Reads and checks the complete file again, and returns the addresses that may change.
///
/// # Errors
/// The first invalid key, or the reason why the file cannot be read.
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<ServiceAddresses, ConfigError> {
    let addresses = read_file(env, DiscoverySource::FileFirst)?.addresses;
    Ok(ServiceAddresses { discovery: addresses.discovery, platform: addresses.platform })
}

/// Which address of the discovery service takes precedence: the environment variable at the start, and the file at a
/// reload, because the variable cannot change while the process runs.
#[derive(Clone, Copy, PartialEq)]
enum DiscoverySource {
    VariableFirst,
    FileFirst,
}

fn read_file(
    env: impl Fn(&str) -> Option<String>, source: DiscoverySource,
) -> Result<GatewayConfig, ConfigError> {
    let path = env(CONFIG_VARIABLE).ok_or(ConfigError::Unset(CONFIG_VARIABLE))?;
    let file = read_json(&path)?;
    Ok(GatewayConfig {
        addresses: addresses(&env, &file, source)?,
        max_descriptors: max_descriptors(&file)?,
        memory_limit: memory_limit(&file)?,
        initial_state: initial_state(&file)?,
        seed: seed(&file)?,
        settings: settings(&file)?,
    })
}

fn read_json(path: &str) -> Result<Value, ConfigError> {
    let unreadable = |reason: String| ConfigError::Unreadable(format!("{CONFIG_VARIABLE}: {path}"), reason);
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    let file: Value = serde_json::from_str(&text).map_err(|error| unreadable(error.to_string()))?;
    if file.is_object() {
        Ok(file)
    } else {
        Err(unreadable("expected a JSON object, found another JSON value".to_string()))
    }
}

fn addresses(
    env: &impl Fn(&str) -> Option<String>, file: &Value, source: DiscoverySource,
) -> Result<Addresses, ConfigError> {
    let name = variable_or_key(env, "BALANCER_NAME", file, "name")?;
    let listen = parse_address("listen", &variable_or_key(env, "BALANCER_LISTEN", file, "listen")?)?;
    let discovery = match file.get("discovery") {
        Some(value) if source == DiscoverySource::FileFirst => {
            non_empty_string("discovery", value)?.to_string()
        }
        _ => variable_or_key(env, "BALANCER_DISCOVERY", file, "discovery")?,
    };
    let discovery = parse_address("discovery", &discovery)?;
    let platform = match non_null(file, "/pipeline/address") {
        None => None,
        Some(value) => Some(parse_address("pipeline.address", non_empty_string("pipeline.address", value)?)?),
    };
    Ok(Addresses { name, listen, discovery, platform })
}

fn max_descriptors(file: &Value) -> Result<usize, ConfigError> {
    let sockets = match non_null(file, "/limits/sockets") {
        None => DEFAULT_DESCRIPTORS,
        Some(value) => value
            .as_u64()
            .ok_or_else(|| unexpected_value("limits.sockets", "a non-negative integer", value))?,
    };
    if sockets < MIN_DESCRIPTORS {
        let reason = format!("expected {MIN_DESCRIPTORS} or more, found {sockets}");
        return Err(key_error("limits.sockets", &reason));
    }
    Ok(sockets as usize)
}

fn memory_limit(file: &Value) -> Result<usize, ConfigError> {
    let Some(value) = file.pointer("/limits/memory_mb") else { return Ok(DEFAULT_MEMORY_LIMIT) };
    let mib = value.as_f64().filter(|mib| *mib > 0.0);
    let mib = mib.ok_or_else(|| unexpected_value("limits.memory_mb", "a number above 0", value))?;
    Ok((mib * MIB as f64) as usize)
}

fn initial_state(file: &Value) -> Result<InitialState, ConfigError> {
    let list = match non_null(file, "/known") {
        None => ListUpdate { version: 0, is_snapshot: true, entries: Vec::new() },
        Some(value) => list::parse(value.to_string().as_bytes())
            .map_err(|error| key_error("known", &error.to_string()))?,
    };
    let rollout = match non_null(file, "/pipeline/news") {
        None => None,
        Some(value) => {
            let state = platform::parse_rollout_state(value.to_string().as_bytes());
            Some(state.map_err(|error| key_error("pipeline.news", &error.to_string()))?)
        }
    };
    Ok(InitialState { list, rollout })
}

fn seed(file: &Value) -> Result<u64, ConfigError> {
    let value = non_null(file, "/seed").ok_or_else(|| key_error("seed", "missing"))?;
    let seed = match value {
        Value::Number(number) => number.as_u64(),
        _ => u64::from_str_radix(non_empty_string("seed", value)?, 16).ok(),
    };
    seed.ok_or_else(|| {
        unexpected_value(
            "seed",
            "an unsigned 64-bit integer or a string of up to 16 hexadecimal digits",
            value,
        )
    })
}

fn settings(file: &Value) -> Result<Settings, ConfigError> {
    let settings = file.get("settings").ok_or_else(|| key_error("settings", "missing"))?;
    settings::parse(&settings.to_string()).map_err(|error| key_error("settings", &error.to_string()))
}

/// Returns the value at `path`. `None` if the value is missing or null.
fn non_null<'a>(file: &'a Value, path: &str) -> Option<&'a Value> {
    file.pointer(path).filter(|value| !value.is_null())
}

fn key_error(key: &str, reason: &str) -> ConfigError {
    ConfigError::Key(key.to_string(), reason.to_string())
}

fn unexpected_value(key: &str, expected: &str, found: &Value) -> ConfigError {
    key_error(key, &format!("expected {expected}, found {found}"))
}

fn non_empty_string<'a>(key: &str, value: &'a Value) -> Result<&'a str, ConfigError> {
    let text = value.as_str().filter(|text| !text.is_empty());
    text.ok_or_else(|| unexpected_value(key, "a non-empty string", value))
}

fn variable_or_key(
    env: &impl Fn(&str) -> Option<String>, variable: &str, file: &Value, key: &str,
) -> Result<String, ConfigError> {
    if let Some(value) = env(variable).filter(|value| !value.is_empty()) {
        return Ok(value);
    }
    match file.get(key) {
        Some(value) => Ok(non_empty_string(key, value)?.to_string()),
        None => Err(key_error(key, &format!("missing, and {variable} is not set"))),
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| key_error(key, &format!("expected an IP address and a port, found '{text}'")))
}
