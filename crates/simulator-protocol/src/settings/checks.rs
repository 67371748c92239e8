//! Checks settings for wrong units, values out of range, and contradictions between keys.

use super::schema::{
    Class, DiscoveryMode, Idempotency, Permissions, Rollout, Rules, SettingsSchema, VoteMode,
};
use crate::error::SettingsError;
use serde_json::Value;
use std::fmt::Display;

/// Keys of times, without the suffix for the unit.
const TIME_KEYS: [&str; 15] = [
    "aim",
    "hard-limit",
    "dedup-window",
    "window",
    "vote-ttl",
    "soak",
    "auto-after",
    "api-timeout",
    "conn-idle",
    "dial-timeout",
    "max-retry-after",
    "ask-within",
    "drain-grace",
    "warm-up",
    "fall",
];

/// Suffixes of units that a time cannot have.
const UNSUPPORTED_UNITS: [&str; 6] = ["ns", "us", "ms", "m", "min", "h"];

/// Rejects a time in another unit than seconds: its key would be ignored as unknown, and a default would apply.
pub(super) fn check_units(text: &str) -> Result<(), SettingsError> {
    let value: Option<Value> = serde_json::from_str(text).ok();
    match value.as_ref().and_then(time_in_wrong_unit) {
        Some(key) => Err(SettingsError::UnknownUnit { key }),
        None => Ok(()),
    }
}

/// Returns the path of the first time in another unit than seconds, unless the object also has that time in seconds.
fn time_in_wrong_unit(value: &Value) -> Option<String> {
    match value {
        Value::Object(fields) => fields.iter().find_map(|(key, value)| {
            let (name, unit) = key.rsplit_once('-').unwrap_or((key, ""));
            let is_time = UNSUPPORTED_UNITS.contains(&unit) && TIME_KEYS.contains(&name);
            if is_time && !fields.contains_key(&format!("{name}-s")) {
                return Some(key.clone());
            }
            time_in_wrong_unit(value).map(|path| format!("{key}.{path}"))
        }),
        Value::Array(values) => values.iter().find_map(time_in_wrong_unit),
        _ => None,
    }
}

/// Rejects the first setting that contradicts another or is out of range.
pub(super) fn check_consistency(settings: &SettingsSchema) -> Result<(), SettingsError> {
    let SettingsSchema { gateway_count, gateway_index, zones, zone, .. } = settings;
    require(!settings.classes.is_empty(), "classes", "at least one class", "none")?;
    require(
        gateway_index < gateway_count,
        "me",
        format_args!("a number below replicas-of-me ({gateway_count})"),
        gateway_index,
    )?;
    check_rollout(&settings.rollout)?;
    check_permissions(&settings.permissions)?;
    check_rules(&settings.rules, settings.discovery_mode == DiscoveryMode::Subscribed)?;
    let is_known_zone = zones.is_empty() || zones.contains(zone);
    require(
        is_known_zone,
        "locality",
        format_args!("one of azs ({})", zones.join(", ")),
        format_args!("'{zone}'"),
    )?;
    settings.classes.iter().try_for_each(|class| check_class(class, &settings.classes))
}

fn check_rollout(rollout: &Rollout) -> Result<(), SettingsError> {
    let is_clocked = rollout.vote_mode == VoteMode::Clocked;
    require(!rollout.stage_caps.is_empty(), "domain.caps", "at least one cap", "none")?;
    for cap in &rollout.stage_caps {
        require((0.0..=1.0).contains(cap), "domain.caps", "caps from 0 to 1", cap)?;
    }
    require_positive(rollout.window, "domain.window-s")?;
    require_not_negative(rollout.allowance, "domain.allowance")?;
    require_positive(rollout.vote_lease, "domain.vote-ttl-s")?;
    require_vote(rollout.rollback_quorum, "domain.votes-to-revert", "at least 1")?;
    if is_clocked {
        require_vote(rollout.pause_quorum, "domain.to-pause", "at least 1 with vote-mode clocked")
    } else {
        require_vote(rollout.promote_quorum, "domain.votes-to-go", "at least 1 unless vote-mode is clocked")
    }
}

fn check_permissions(permissions: &Permissions) -> Result<(), SettingsError> {
    let max_attempts = permissions.max_attempts;
    require(max_attempts > 0, "permissions.try-limit", "at least 1", max_attempts)?;
    require_positive(permissions.idle_timeout, "permissions.conn-idle-s")?;
    require_positive(permissions.connect_timeout, "permissions.dial-timeout-s")
}

fn check_rules(rules: &Rules, is_subscribed: bool) -> Result<(), SettingsError> {
    let capacity = rules.initial_capacity;
    require(capacity > 0.0 && capacity <= 1.0, "rules.cold-from", "a number above 0 and up to 1", capacity)?;
    require_positive(rules.overload_multiple, "rules.tip-multiple")?;
    require_positive(rules.overload_window, "rules.fall-s")?;
    require_not_negative(rules.warmup_duration, "rules.warm-up-s")?;
    require_not_negative(rules.drain_grace, "rules.drain-grace-s")?;
    require(
        !is_subscribed || rules.max_poll_interval > 0.0,
        "rules.ask-within-s",
        "a number above 0 with registry-mode subscribe",
        rules.max_poll_interval,
    )
}

fn check_class(class: &Class, all: &[Class]) -> Result<(), SettingsError> {
    let Class { name, latency_objective, timeout, .. } = class;
    let name_count = all.iter().filter(|other| other.name == *name).count();
    let key = |key: &str| format!("classes '{name}': {key}");
    require(
        name_count == 1,
        &key("name"),
        "a name that no other class has",
        format_args!("{name_count} classes"),
    )?;
    require_positive(*latency_objective, &key("aim-s"))?;
    require(
        timeout >= latency_objective,
        &key("hard-limit-s"),
        format_args!("at least aim-s ({latency_objective})"),
        timeout,
    )?;
    require(
        class.idempotency != Idempotency::Keyed || class.dedup_window > 0.0,
        &key("dedup-window-s"),
        "a number above 0 with effect deduplicated",
        class.dedup_window,
    )
}

fn require_positive(number: f64, key: &str) -> Result<(), SettingsError> {
    require(number > 0.0, key, "a number above 0", number)
}

fn require_not_negative(number: f64, key: &str) -> Result<(), SettingsError> {
    require(number >= 0.0, key, "at least 0", number)
}

fn require_vote(quorum: u32, key: &str, expected: &str) -> Result<(), SettingsError> {
    require(quorum > 0, key, expected, quorum)
}

fn require(
    is_met: bool, key: &str, expected: impl Display, found: impl Display,
) -> Result<(), SettingsError> {
    if is_met {
        return Ok(());
    }
    let (expected, found) = (expected.to_string(), found.to_string());
    Err(SettingsError::Invalid { key: key.to_string(), expected, found })
}
