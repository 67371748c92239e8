//! The checks of settings: units, ranges and contradictions between keys.

use super::schema::{
    Class, DiscoveryMode, Idempotency, Permissions, Rollout, Rules, SettingsSchema, VoteMode,
};
use crate::error::SettingsError;
use serde_json::Value;

/// Keys of times, without the unit.
const TIMES: [&str; 15] = [
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

/// Units that are not accepted.
const WRONG_UNITS: [&str; 6] = ["ns", "us", "ms", "m", "min", "h"];

/// One check of a setting.
struct Check {
    is_violated: bool,
    key: &'static str,
    problem: &'static str,
}

/// A check of the setting under `key`.
const fn check(is_violated: bool, key: &'static str, problem: &'static str) -> Check {
    Check { is_violated, key, problem }
}

/// Rejects a time in another unit than seconds: as an unknown key it would be ignored, and a default would apply.
pub(super) fn units(text: &str) -> Result<(), SettingsError> {
    let value: Option<Value> = serde_json::from_str(text).ok();
    match value.as_ref().and_then(time_in_wrong_unit) {
        Some(key) => Err(SettingsError::Invalid { key, problem: "unknown unit, times are in seconds" }),
        None => Ok(()),
    }
}

/// The path of the first time in another unit than seconds.
fn time_in_wrong_unit(value: &Value) -> Option<String> {
    match value {
        Value::Object(fields) => fields.iter().find_map(|(key, value)| {
            let (name, unit) = key.rsplit_once('-').unwrap_or((key, ""));
            let is_time = WRONG_UNITS.contains(&unit) && TIMES.contains(&name);
            if is_time && !fields.contains_key(&format!("{name}-s")) {
                return Some(key.clone());
            }
            time_in_wrong_unit(value).map(|path| format!("{key}.{path}"))
        }),
        Value::Array(values) => values.iter().find_map(time_in_wrong_unit),
        _ => None,
    }
}

/// Rejects the first setting that contradicts another or is outside its range.
pub(super) fn consistency(settings: &SettingsSchema) -> Result<(), SettingsError> {
    let checks = [
        check(settings.classes.is_empty(), "classes", "none given"),
        check(settings.gateway_count <= settings.gateway_index, "me", "not below replicas-of-me"),
    ];
    let is_known_zone = settings.zones.is_empty() || settings.zones.contains(&settings.zone);
    let is_subscribed = settings.discovery_mode == DiscoveryMode::Subscribed;
    let checks = checks
        .into_iter()
        .chain(rollout(&settings.rollout))
        .chain(permissions(&settings.permissions))
        .chain(rules(&settings.rules, is_subscribed))
        .chain([check(!is_known_zone, "locality", "not among azs")]);
    if let Some(violated) = checks.into_iter().find(|check| check.is_violated) {
        return Err(SettingsError::Invalid { key: violated.key.to_string(), problem: violated.problem });
    }
    settings.classes.iter().try_for_each(|class| check_class(class, &settings.classes))
}

fn rollout(rollout: &Rollout) -> [Check; 8] {
    let is_clocked = rollout.vote_mode == VoteMode::Clocked;
    let is_outside = |cap: &f64| !(0.0..=1.0).contains(cap);
    [
        check(rollout.stage_caps.is_empty(), "domain.caps", "none given"),
        check(rollout.stage_caps.iter().any(is_outside), "domain.caps", "not from 0 to 1"),
        check(rollout.window <= 0.0, "domain.window-s", "not above 0"),
        check(rollout.allowance < 0.0, "domain.allowance", "below 0"),
        check(rollout.vote_lease <= 0.0, "domain.vote-ttl-s", "not above 0"),
        check(rollout.rollback_quorum == 0, "domain.votes-to-revert", "0"),
        check(!is_clocked && rollout.promote_quorum == 0, "domain.votes-to-go", "0"),
        check(is_clocked && rollout.pause_quorum == 0, "domain.to-pause", "0"),
    ]
}

fn permissions(permissions: &Permissions) -> [Check; 3] {
    [
        check(permissions.max_attempts == 0, "permissions.try-limit", "0"),
        check(permissions.idle_timeout <= 0.0, "permissions.conn-idle-s", "not above 0"),
        check(permissions.connect_timeout <= 0.0, "permissions.dial-timeout-s", "not above 0"),
    ]
}

fn rules(rules: &Rules, is_subscribed: bool) -> [Check; 6] {
    let is_share = rules.initial_capacity > 0.0 && rules.initial_capacity <= 1.0;
    [
        check(!is_share, "rules.cold-from", "not above 0 up to 1"),
        check(rules.overload_multiple <= 0.0, "rules.tip-multiple", "not above 0"),
        check(rules.overload_window <= 0.0, "rules.fall-s", "not above 0"),
        check(rules.warmup_duration < 0.0, "rules.warm-up-s", "below 0"),
        check(rules.drain_grace < 0.0, "rules.drain-grace-s", "below 0"),
        check(is_subscribed && rules.max_poll_interval <= 0.0, "rules.ask-within-s", "not above 0"),
    ]
}

fn check_class(class: &Class, all: &[Class]) -> Result<(), SettingsError> {
    let is_named_twice = all.iter().filter(|other| other.name == class.name).count() > 1;
    let lacks_window = class.idempotency == Idempotency::Keyed && class.dedup_window <= 0.0;
    let checks = [
        (is_named_twice, "named twice"),
        (class.latency_objective <= 0.0, "aim-s: not above 0"),
        (class.timeout < class.latency_objective, "hard-limit-s: below aim-s"),
        (lacks_window, "dedup-window-s: not above 0"),
    ];
    match checks.into_iter().find(|(is_violated, _)| *is_violated) {
        Some((_, problem)) => {
            Err(SettingsError::Invalid { key: format!("classes '{}'", class.name), problem })
        }
        None => Ok(()),
    }
}
