//! Reads and checks the gateway's configuration, and sets defaults. Errors name the faulty key.

use crate::limits::start::{DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS};
use crate::net::list::{self, List};
use crate::net::platform;
use latchhaven_policy::RolloutState;
use latchhaven_simulator_protocol::{Settings, settings};
use serde_json::Value;
use std::net::SocketAddr;

/// The variable that names the file.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// What is wrong with the configuration.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A required variable is not set.
    #[error("{0}: not set")]
    Unset(&'static str),
    /// The file cannot be read.
    #[error("{0}: cannot be read: {1}")]
    Unreadable(String, String),
    /// A key is missing or has an invalid value.
    #[error("{0}: {1}")]
    Key(String, String),
}

/// Addresses of the gateway and of the services that it calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// This gateway's name, in logs.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// The platform. None: there are no rollout states and no votes.
    pub platform: Option<SocketAddr>,
}

/// The cached state at the start; the list may be old.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialState {
    /// The endpoint list.
    pub list: List,
    /// The state of the newest version's rollout.
    pub rollout: Option<RolloutState>,
}

/// The content of a configuration file.
pub struct GatewayConfig {
    /// Addresses of the gateway and of the services that it calls.
    pub addresses: Addresses,
    /// Descriptors that the gateway may use.
    pub max_descriptors: usize,
    /// The cached state.
    pub initial_state: InitialState,
    /// Seeds the random generators.
    pub seed: u64,
    /// Classes, permissions, rules and voting.
    pub settings: Settings,
}

/// The addresses that may change while the gateway runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceAddresses {
    /// The discovery service.
    pub discovery: SocketAddr,
    /// The platform.
    pub platform: Option<SocketAddr>,
}

/// Reads the file that `BALANCER_CONFIG` names; other variables take precedence over its keys.
///
/// # Errors
/// The first fault, with its key.
pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<GatewayConfig, ConfigError> {
    read_file(env, DiscoverySource::VariableFirst)
}

/// Reads and checks the file again, and returns the addresses that may change.
///
/// # Errors
/// The first fault, with its key.
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<ServiceAddresses, ConfigError> {
    let addresses = read_file(env, DiscoverySource::FileFirst)?.addresses;
    Ok(ServiceAddresses { discovery: addresses.discovery, platform: addresses.platform })
}

/// Which address of the discovery service takes precedence: the variable at the start, the file at a reload, since variables
/// cannot change while the process runs.
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
        initial_state: initial_state(&file)?,
        seed: seed(&file)?,
        settings: settings(&file)?,
    })
}

fn read_json(path: &str) -> Result<Value, ConfigError> {
    let unreadable = |reason: String| ConfigError::Unreadable(format!("{CONFIG_VARIABLE}: {path}"), reason);
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(error.to_string()))?;
    let file: Value = serde_json::from_str(&text).map_err(|error| unreadable(error.to_string()))?;
    if file.is_object() { Ok(file) } else { Err(unreadable("not a JSON object".to_string())) }
}

fn addresses(
    env: &impl Fn(&str) -> Option<String>, file: &Value, source: DiscoverySource,
) -> Result<Addresses, ConfigError> {
    let name = variable_or_key(env, "BALANCER_NAME", file, "name")?;
    let listen = parse_address("listen", &variable_or_key(env, "BALANCER_LISTEN", file, "listen")?)?;
    let discovery = match file.get("discovery") {
        Some(value) if source == DiscoverySource::FileFirst => text("discovery", value)?.to_string(),
        _ => variable_or_key(env, "BALANCER_DISCOVERY", file, "discovery")?,
    };
    let discovery = parse_address("discovery", &discovery)?;
    let platform = match present(file, "/pipeline/address") {
        None => None,
        Some(value) => Some(parse_address("pipeline.address", text("pipeline.address", value)?)?),
    };
    Ok(Addresses { name, listen, discovery, platform })
}

/// The limit of descriptors. The limit of memory is only checked.
fn max_descriptors(file: &Value) -> Result<usize, ConfigError> {
    let sockets = match present(file, "/limits/sockets") {
        None => DEFAULT_DESCRIPTORS,
        Some(value) => value.as_u64().ok_or_else(|| key_error("limits.sockets", "not an integer"))?,
    };
    if sockets < MIN_DESCRIPTORS {
        return Err(key_error("limits.sockets", &format!("{sockets} is below {MIN_DESCRIPTORS}")));
    }
    // Nothing is derived from it, but a gateway with too little would be killed without an error message.
    let memory = file.pointer("/limits/memory_mb");
    if memory.is_some_and(|value| !value.as_f64().is_some_and(|mib| mib > 0.0)) {
        return Err(key_error("limits.memory_mb", "not above 0"));
    }
    Ok(sockets as usize)
}

fn initial_state(file: &Value) -> Result<InitialState, ConfigError> {
    let list = match present(file, "/known") {
        None => List { version: 0, is_snapshot: true, entries: Vec::new() },
        Some(value) => list::read(value.to_string().as_bytes())
            .map_err(|error| key_error("known", &error.to_string()))?,
    };
    let rollout = match present(file, "/pipeline/news") {
        None => None,
        Some(value) => {
            let state = platform::read_rollout_state(value.to_string().as_bytes());
            Some(state.map_err(|error| key_error("pipeline.news", &error.to_string()))?)
        }
    };
    Ok(InitialState { list, rollout })
}

fn seed(file: &Value) -> Result<u64, ConfigError> {
    let seed = match present(file, "/seed") {
        None => return Err(key_error("seed", "missing")),
        Some(Value::Number(number)) => number.as_u64(),
        Some(value) => u64::from_str_radix(text("seed", value)?, 16).ok(),
    };
    seed.ok_or_else(|| key_error("seed", "not a hexadecimal number of up to 16 digits"))
}

fn settings(file: &Value) -> Result<Settings, ConfigError> {
    let settings = file.get("settings").ok_or_else(|| key_error("settings", "missing"))?;
    settings::parse(&settings.to_string()).map_err(|error| key_error("settings", &error.to_string()))
}

/// The value at a path unless it is missing or null.
fn present<'a>(file: &'a Value, path: &str) -> Option<&'a Value> {
    file.pointer(path).filter(|value| !value.is_null())
}

fn key_error(key: &str, reason: &str) -> ConfigError {
    ConfigError::Key(key.to_string(), reason.to_string())
}

fn text<'a>(key: &str, value: &'a Value) -> Result<&'a str, ConfigError> {
    value.as_str().filter(|text| !text.is_empty()).ok_or_else(|| key_error(key, "not a non-empty string"))
}

fn variable_or_key(
    env: &impl Fn(&str) -> Option<String>, variable: &str, file: &Value, key: &str,
) -> Result<String, ConfigError> {
    if let Some(value) = env(variable).filter(|value| !value.is_empty()) {
        return Ok(value);
    }
    match file.get(key) {
        Some(value) => Ok(text(key, value)?.to_string()),
        None => Err(key_error(key, &format!("missing, and {variable} is not set"))),
    }
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| key_error(key, &format!("'{text}' is not address:port")))
}
