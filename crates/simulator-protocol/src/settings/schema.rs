//! The settings object as it is deserialized. Fields have the names of the policy's configuration; `rename` contains
//! the keys of the simulator. Times are in seconds.

use serde::Deserialize;

const DEFAULT_IDLE_TIMEOUT_S: f64 = 30.0;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;

#[derive(Deserialize)]
pub(super) struct Class {
    pub(super) name: String,
    #[serde(rename = "aim-s")]
    pub(super) latency_objective: f64,
    #[serde(rename = "aim-stretch", default)]
    pub(super) objective_per_work: f64,
    #[serde(rename = "hard-limit-s")]
    pub(super) timeout: f64,
    #[serde(rename = "effect")]
    pub(super) idempotency: Idempotency,
    #[serde(rename = "group", default)]
    pub(super) dedup_scope: DedupScope,
    #[serde(rename = "dedup-window-s", default)]
    pub(super) dedup_window: f64,
    #[serde(rename = "gain")]
    pub(super) priority_weight: f64,
    #[serde(rename = "late-share", default)]
    pub(super) late_value_share: f64,
    #[serde(rename = "stream", default)]
    pub(super) streamed: bool,
}

/// Whether executing a request more than once is harmless.
#[derive(Deserialize, PartialEq)]
pub(super) enum Idempotency {
    #[serde(rename = "idempotent")]
    Idempotent,
    #[serde(rename = "deduplicated")]
    Keyed,
    #[serde(rename = "at_most_once")]
    NonIdempotent,
}

/// Which endpoints share a record of idempotency keys.
#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(super) enum DedupScope {
    #[default]
    All,
    Zone,
    Cell,
}

/// How versions are rolled out and voted on.
#[derive(Deserialize)]
pub(super) struct Rollout {
    pub(super) allowance: f64,
    #[serde(rename = "caps")]
    pub(super) stage_caps: Vec<f64>,
    #[serde(rename = "window-s")]
    pub(super) window: f64,
    #[serde(rename = "counts")]
    pub(super) exposure_scope: ExposureScope,
    #[serde(rename = "closed-stages", default)]
    pub(super) idempotent_only_stages: u32,
    #[serde(rename = "no-return", default)]
    pub(super) sticky_keys: bool,
    #[serde(rename = "vote-mode")]
    pub(super) vote_mode: VoteMode,
    #[serde(rename = "votes-to-go", default)]
    pub(super) promote_quorum: u32,
    #[serde(rename = "to-pause", default)]
    pub(super) pause_quorum: u32,
    #[serde(rename = "votes-to-revert")]
    pub(super) rollback_quorum: u32,
    #[serde(rename = "vote-ttl-s")]
    pub(super) vote_lease: f64,
    #[serde(rename = "soak-s", default)]
    pub(super) min_stage_duration: f64,
    #[serde(rename = "auto-after-s", default)]
    pub(super) auto_promote_after: f64,
    #[serde(rename = "api-timeout-s", default)]
    pub(super) reply_timeout: f64,
    pub(super) style: RolloutStyle,
}

/// Whether the limits on a canary's traffic apply to all requests together or to each class separately.
#[derive(Deserialize, PartialEq)]
pub(super) enum ExposureScope {
    #[serde(rename = "all")]
    AllRequests,
    #[serde(rename = "per_lane")]
    PerClass,
}

/// How the platform turns votes into a decision.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum VoteMode {
    Single,
    Majority,
    Clocked,
}

/// Whether all baseline endpoints remain until a canary is promoted (`SideBySide`) or are replaced one after another.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(super) enum RolloutStyle {
    SideBySide,
    Rolling,
}

/// What the settings permit a gateway to do.
#[derive(Deserialize)]
pub(super) struct Permissions {
    #[serde(rename = "cancelling")]
    pub(super) cancel: bool,
    #[serde(rename = "peers", default)]
    pub(super) peer_messages: bool,
    #[serde(rename = "probes", default)]
    pub(super) health_checks: bool,
    #[serde(rename = "retry-after", default)]
    pub(super) retry_after: bool,
    #[serde(rename = "max-retry-after-s", default)]
    pub(super) max_retry_after: f64,
    #[serde(rename = "second-copies")]
    pub(super) hedging: bool,
    #[serde(rename = "try-limit")]
    pub(super) max_attempts: usize,
    #[serde(rename = "conn-idle-s", default = "default_idle_timeout")]
    pub(super) idle_timeout: f64,
    #[serde(rename = "dial-timeout-s", default = "default_connect_timeout")]
    pub(super) connect_timeout: f64,
}

fn default_idle_timeout() -> f64 {
    DEFAULT_IDLE_TIMEOUT_S
}

fn default_connect_timeout() -> f64 {
    DEFAULT_CONNECT_TIMEOUT_S
}

#[derive(Deserialize, Default)]
pub(super) struct LoadReport {
    #[serde(rename = "via", default)]
    pub(super) transport: LoadTransport,
}

/// Which responses of endpoints contain load reports.
#[derive(Deserialize, Default)]
pub(super) enum LoadTransport {
    #[default]
    #[serde(rename = "silent")]
    Disabled,
    #[serde(rename = "piggyback")]
    Responses,
    #[serde(rename = "pull")]
    HealthChecks,
}

/// Costs that routing avoids.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(super) struct Prices {
    #[serde(rename = "cross-zone")]
    pub(super) cross_zone: f64,
}

/// How endpoints are discovered, drained, warmed up and overloaded.
#[derive(Deserialize)]
pub(super) struct Rules {
    #[serde(rename = "ask-within-s")]
    pub(super) max_poll_interval: f64,
    #[serde(rename = "drain-grace-s")]
    pub(super) drain_grace: f64,
    #[serde(rename = "cold-from")]
    pub(super) initial_capacity: f64,
    #[serde(rename = "warm-up-s")]
    pub(super) warmup_duration: f64,
    #[serde(rename = "tip-multiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "fall-s")]
    pub(super) overload_window: f64,
}

/// Whether endpoint lists are pushed to a gateway, or the gateway opens a watch or polls.
#[derive(Deserialize, PartialEq)]
pub(super) enum DiscoveryMode {
    #[serde(rename = "automatic")]
    Pushed,
    #[serde(rename = "subscribe")]
    Subscribed,
}

/// The complete settings object.
#[derive(Deserialize)]
pub(super) struct SettingsSchema {
    #[serde(rename = "azs", default)]
    pub(super) zones: Vec<String>,
    pub(super) classes: Vec<Class>,
    #[serde(rename = "domain")]
    pub(super) rollout: Rollout,
    #[serde(rename = "locality", default)]
    pub(super) zone: String,
    #[serde(rename = "load-report", default)]
    pub(super) load_report: LoadReport,
    #[serde(rename = "me")]
    pub(super) gateway_index: u32,
    pub(super) permissions: Permissions,
    #[serde(default)]
    pub(super) prices: Prices,
    #[serde(rename = "registry-mode")]
    pub(super) discovery_mode: DiscoveryMode,
    #[serde(rename = "replicas-of-me")]
    pub(super) gateway_count: u32,
    pub(super) rules: Rules,
}
