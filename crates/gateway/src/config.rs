//! The one place where configuration is read, checked and given defaults. Messages name the faulty key.

use crate::net::list::{self, List};
use crate::net::platform;
use latchhaven_policy::RolloutState;
use latchhaven_simulator_protocol::{Settings, settings};
use serde_json::Value;
use std::net::SocketAddr;

/// Descriptors where `limits.sockets` is not given, and the fewest that a gateway can work with.
const SOCKETS: u64 = 1024;
const SOCKETS_LEAST: u64 = 64;

/// What is wrong with the configuration.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Fault {
    #[error("{0}: not set")]
    Unset(&'static str),
    #[error("{0}: cannot be read: {1}")]
    Unreadable(String, String),
    #[error("{0}: {1}")]
    Key(String, String),
}

/// Where this gateway listens, and whom it speaks with.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    pub name: String,
    pub listen: SocketAddr,
    pub list: SocketAddr,
    pub platform: Option<SocketAddr>,
}

/// What was known when this gateway was started; the list may be old.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    pub list: List,
    pub news: Option<RolloutState>,
}

/// All that a file tells: addresses, descriptors, what was known, the seed, and the settings.
pub type Told = (Addresses, usize, Known, u64, Settings);

/// Reads the file that `BALANCER_CONFIG` names; the other variables go before what stands in it.
pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Told, Fault> {
    read_from(env, false)
}

/// Reads and checks the whole file once more: where the list and the platform are from now on. The variable named
/// the address at the start; what the file says now is newer.
pub fn read_again(env: impl Fn(&str) -> Option<String>) -> Result<(SocketAddr, Option<SocketAddr>), Fault> {
    read_from(env, true).map(|(addresses, ..)| (addresses.list, addresses.platform))
}

fn read_from(env: impl Fn(&str) -> Option<String>, again: bool) -> Result<Told, Fault> {
    let path = env("BALANCER_CONFIG").ok_or(Fault::Unset("BALANCER_CONFIG"))?;
    let unreadable = |why: String| Fault::Unreadable(format!("BALANCER_CONFIG: {path}"), why);
    let text = std::fs::read_to_string(&path).map_err(|fault| unreadable(fault.to_string()))?;
    let whole: Value = serde_json::from_str(&text).map_err(|fault| unreadable(fault.to_string()))?;
    if !whole.is_object() {
        return Err(unreadable("no JSON object".to_string()));
    }
    let addresses = Addresses {
        name: named(&env, "BALANCER_NAME", &whole, "name")?,
        listen: address("listen", &named(&env, "BALANCER_LISTEN", &whole, "listen")?)?,
        list: match whole.get("discovery").filter(|_| again) {
            Some(value) => address("discovery", text_of("discovery", value)?)?,
            None => address("discovery", &named(&env, "BALANCER_DISCOVERY", &whole, "discovery")?)?,
        },
        platform: match whole.pointer("/pipeline/address") {
            None | Some(Value::Null) => None,
            Some(value) => Some(address("pipeline.address", text_of("pipeline.address", value)?)?),
        },
    };
    let sockets = match whole.pointer("/limits/sockets") {
        None | Some(Value::Null) => SOCKETS,
        Some(value) => value.as_u64().ok_or_else(|| fault("limits.sockets", "no whole number"))?,
    };
    if sockets < SOCKETS_LEAST {
        return Err(fault("limits.sockets", &format!("{sockets} is below {SOCKETS_LEAST}")));
    }
    // Checked though nothing is derived from it: a gateway without memory would die without a word.
    if whole.pointer("/limits/memory_mb").is_some_and(|value| !value.as_f64().is_some_and(|mb| mb > 0.0)) {
        return Err(fault("limits.memory_mb", "not above 0"));
    }
    let known = Known {
        list: match whole.get("known") {
            None | Some(Value::Null) => List { version: 0, whole: true, entries: Vec::new() },
            Some(value) => list::read(value.to_string().as_bytes()).map_err(|why| fault("known", &why))?,
        },
        news: match whole.pointer("/pipeline/news") {
            None | Some(Value::Null) => None,
            Some(value) => Some(
                platform::state(value.to_string().as_bytes()).map_err(|why| fault("pipeline.news", &why))?,
            ),
        },
    };
    let seed = match whole.get("seed") {
        None | Some(Value::Null) => return Err(fault("seed", "missing")),
        Some(Value::Number(number)) => number.as_u64(),
        Some(value) => u64::from_str_radix(text_of("seed", value)?, 16).ok(),
    };
    let seed = seed.ok_or_else(|| fault("seed", "no hexadecimal number of up to 16 digits"))?;
    let settings = whole.get("settings").ok_or_else(|| fault("settings", "missing"))?;
    let settings =
        settings::parse(&settings.to_string()).map_err(|error| fault("settings", &error.to_string()))?;
    Ok((addresses, sockets as usize, known, seed, settings))
}

fn fault(key: &str, why: &str) -> Fault {
    Fault::Key(key.to_string(), why.to_string())
}

fn text_of<'a>(key: &str, value: &'a Value) -> Result<&'a str, Fault> {
    value.as_str().filter(|text| !text.is_empty()).ok_or_else(|| fault(key, "no text"))
}

fn named(
    env: impl Fn(&str) -> Option<String>, variable: &str, whole: &Value, key: &str,
) -> Result<String, Fault> {
    match (env(variable).filter(|text| !text.is_empty()), whole.get(key)) {
        (Some(text), _) => Ok(text),
        (None, Some(value)) => Ok(text_of(key, value)?.to_string()),
        (None, None) => Err(fault(key, &format!("missing, and {variable} is not set"))),
    }
}

fn address(key: &str, text: &str) -> Result<SocketAddr, Fault> {
    text.parse().map_err(|_| fault(key, &format!("'{text}' is no address:port")))
}
