//! The settings object in its own words: keys, units and defaults. Times are seconds.

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Class {
    pub(super) name: String,
    #[serde(rename = "aim-s")]
    pub(super) aim: f64,
    #[serde(default)]
    pub(super) aim_stretch: f64,
    #[serde(rename = "hard-limit-s")]
    pub(super) hard_limit: f64,
    pub(super) effect: Effect,
    #[serde(default)]
    pub(super) group: Group,
    #[serde(rename = "dedup-window-s", default)]
    pub(super) dedup_window: f64,
    pub(super) gain: f64,
    #[serde(default)]
    pub(super) late_share: f64,
    #[serde(default)]
    pub(super) stream: bool,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Domain {
    pub(super) allowance: f64,
    pub(super) caps: Vec<f64>,
    #[serde(rename = "window-s")]
    pub(super) window: f64,
    pub(super) counts: Counts,
    #[serde(default)]
    pub(super) closed_stages: u32,
    #[serde(default)]
    pub(super) no_return: bool,
    pub(super) vote_mode: VoteMode,
    #[serde(default)]
    pub(super) votes_to_go: u32,
    #[serde(default)]
    pub(super) to_pause: u32,
    pub(super) votes_to_revert: u32,
    #[serde(rename = "vote-ttl-s")]
    pub(super) vote_ttl: f64,
    #[serde(rename = "soak-s", default)]
    pub(super) soak: f64,
    #[serde(rename = "auto-after-s", default)]
    pub(super) auto_after: f64,
    #[serde(rename = "api-timeout-s", default)]
    pub(super) api_timeout: f64,
    pub(super) style: Style,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum Counts {
    All,
    PerLane,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum VoteMode {
    Single,
    Majority,
    Clocked,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum Style {
    SideBySide,
    Rolling,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Permissions {
    pub(super) cancelling: bool,
    #[serde(default)]
    pub(super) peers: bool,
    #[serde(default)]
    pub(super) probes: bool,
    #[serde(default)]
    pub(super) retry_after: bool,
    #[serde(rename = "max-retry-after-s", default)]
    pub(super) max_retry_after: f64,
    pub(super) second_copies: bool,
    pub(super) try_limit: usize,
    #[serde(rename = "conn-idle-s", default = "default_connection_idle")]
    pub(super) conn_idle: f64,
    #[serde(rename = "dial-timeout-s", default = "default_dial_timeout")]
    pub(super) dial_timeout: f64,
}

fn default_connection_idle() -> f64 {
    30.0
}

fn default_dial_timeout() -> f64 {
    0.25
}

#[derive(Deserialize, Default)]
pub(super) struct LoadReport {
    #[serde(default)]
    pub(super) via: Via,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum Via {
    #[default]
    Silent,
    Piggyback,
    Pull,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct Prices {
    pub(super) cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct Rules {
    #[serde(rename = "ask-within-s")]
    pub(super) ask_within: f64,
    #[serde(rename = "drain-grace-s")]
    pub(super) drain_grace: f64,
    pub(super) cold_from: f64,
    #[serde(rename = "warm-up-s")]
    pub(super) warm_up: f64,
    pub(super) tip_multiple: f64,
    #[serde(rename = "fall-s")]
    pub(super) fall: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum RegistryMode {
    Automatic,
    Subscribe,
}

/// The whole object.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct SettingsSchema {
    #[serde(default)]
    pub(super) azs: Vec<String>,
    pub(super) classes: Vec<Class>,
    pub(super) domain: Domain,
    #[serde(default)]
    pub(super) locality: String,
    #[serde(default)]
    pub(super) load_report: LoadReport,
    pub(super) me: u32,
    pub(super) permissions: Permissions,
    #[serde(default)]
    pub(super) prices: Prices,
    pub(super) registry_mode: RegistryMode,
    pub(super) replicas_of_me: u32,
    pub(super) rules: Rules,
}
