//! What settings must not contradict.

use super::schema::{Class, Domain, Effect, Permissions, RegistryMode, Rules, SettingsSchema, VoteMode};
use crate::error::SettingsError;
use serde_json::Value;

/// Times among the settings, by their names without the unit.
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

/// Units that a time might be given in by mistake.
const WRONG_UNITS: [&str; 6] = ["ns", "us", "ms", "m", "min", "h"];

/// Whether something is wrong, the key, and what is wrong with it.
type Check = (bool, &'static str, &'static str);

/// Refuses a time in another unit than seconds: as an unknown key it would be ignored, and a default stand for it.
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

/// Refuses the first setting that contradicts another or leaves a rule without its figure.
pub(super) fn consistency(settings: &SettingsSchema) -> Result<(), SettingsError> {
    let checks = [
        (settings.classes.is_empty(), "classes", "none given"),
        (settings.replicas_of_me <= settings.me, "me", "not below replicas-of-me"),
    ];
    let is_known_zone = settings.azs.is_empty() || settings.azs.contains(&settings.locality);
    let is_subscribed = settings.registry_mode == RegistryMode::Subscribe;
    let checks = checks
        .into_iter()
        .chain(domain(&settings.domain))
        .chain(permissions(&settings.permissions))
        .chain(rules(&settings.rules, is_subscribed))
        .chain([(!is_known_zone, "locality", "not among azs")]);
    for (is_wrong, key, problem) in checks {
        if is_wrong {
            return Err(SettingsError::Invalid { key: key.to_string(), problem });
        }
    }
    settings.classes.iter().try_for_each(|class| class_is_sound(class, &settings.classes))
}

fn domain(domain: &Domain) -> [Check; 8] {
    let is_clocked = domain.vote_mode == VoteMode::Clocked;
    let is_outside = |cap: &f64| !(0.0..=1.0).contains(cap);
    [
        (domain.caps.is_empty(), "domain.caps", "none given"),
        (domain.caps.iter().any(is_outside), "domain.caps", "not from 0 to 1"),
        (domain.window <= 0.0, "domain.window-s", "not above 0"),
        (domain.allowance < 0.0, "domain.allowance", "below 0"),
        (domain.vote_ttl <= 0.0, "domain.vote-ttl-s", "not above 0"),
        (domain.votes_to_revert == 0, "domain.votes-to-revert", "0"),
        (!is_clocked && domain.votes_to_go == 0, "domain.votes-to-go", "0"),
        (is_clocked && domain.to_pause == 0, "domain.to-pause", "0"),
    ]
}

fn permissions(permissions: &Permissions) -> [Check; 3] {
    [
        (permissions.try_limit == 0, "permissions.try-limit", "0"),
        (permissions.conn_idle <= 0.0, "permissions.conn-idle-s", "not above 0"),
        (permissions.dial_timeout <= 0.0, "permissions.dial-timeout-s", "not above 0"),
    ]
}

fn rules(rules: &Rules, is_subscribed: bool) -> [Check; 6] {
    let is_share = rules.cold_from > 0.0 && rules.cold_from <= 1.0;
    [
        (!is_share, "rules.cold-from", "not above 0 up to 1"),
        (rules.tip_multiple <= 0.0, "rules.tip-multiple", "not above 0"),
        (rules.fall <= 0.0, "rules.fall-s", "not above 0"),
        (rules.warm_up < 0.0, "rules.warm-up-s", "below 0"),
        (rules.drain_grace < 0.0, "rules.drain-grace-s", "below 0"),
        (is_subscribed && rules.ask_within <= 0.0, "rules.ask-within-s", "not above 0"),
    ]
}

fn class_is_sound(class: &Class, all: &[Class]) -> Result<(), SettingsError> {
    let is_named_twice = all.iter().filter(|other| other.name == class.name).count() > 1;
    let lacks_window = class.effect == Effect::Deduplicated && class.dedup_window <= 0.0;
    let checks = [
        (is_named_twice, "named twice"),
        (class.aim <= 0.0, "aim-s: not above 0"),
        (class.hard_limit < class.aim, "hard-limit-s: below aim-s"),
        (lacks_window, "dedup-window-s: not above 0"),
    ];
    match checks.into_iter().find(|(is_wrong, _)| *is_wrong) {
        Some((_, problem)) => {
            Err(SettingsError::Invalid { key: format!("classes '{}'", class.name), problem })
        }
        None => Ok(()),
    }
}
