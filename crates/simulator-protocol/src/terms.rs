//! The settings object: read, checked, and handed on in the records of the interface.

use crate::WireFault;
use latchhaven_policy::Policy;
use serde::Deserialize;

const MS_PER_S: f64 = 1000.0;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Class {
    name: String,
    #[serde(rename = "aim-s")]
    aim: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(rename = "hard-limit-s")]
    hard_limit: f64,
    effect: Effect,
    #[serde(default)]
    group: Group,
    #[serde(rename = "dedup-window-s", default)]
    dedup_window: f64,
    gain: f64,
    #[serde(default)]
    late_share: f64,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Effect {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Domain {
    allowance: f64,
    caps: Vec<f64>,
    #[serde(rename = "window-s")]
    window: f64,
    counts: Counts,
    #[serde(default)]
    closed_stages: u32,
    #[serde(default)]
    no_return: bool,
    vote_mode: VoteMode,
    #[serde(default)]
    votes_to_go: u32,
    #[serde(default)]
    to_pause: u32,
    votes_to_revert: u32,
    #[serde(rename = "vote-ttl-s")]
    vote_ttl: f64,
    #[serde(rename = "soak-s", default)]
    soak: f64,
    #[serde(rename = "auto-after-s", default)]
    auto_after: f64,
    #[serde(rename = "api-timeout-s", default)]
    api_timeout: f64,
    style: Style,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Counts {
    All,
    PerLane,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum VoteMode {
    Single,
    Majority,
    Clocked,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Style {
    SideBySide,
    Rolling,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Permissions {
    cancelling: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(rename = "max-retry-after-s", default)]
    max_retry_after: f64,
    second_copies: bool,
    try_limit: usize,
    #[serde(rename = "conn-idle-s", default = "half_a_minute")]
    conn_idle: f64,
    #[serde(rename = "dial-timeout-s", default = "quarter_of_a_second")]
    dial_timeout: f64,
}

fn half_a_minute() -> f64 {
    30.0
}

fn quarter_of_a_second() -> f64 {
    0.25
}

#[derive(Deserialize, Default)]
struct LoadReport {
    #[serde(default)]
    via: Via,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Via {
    #[default]
    Silent,
    Piggyback,
    Pull,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(rename = "ask-within-s")]
    ask_within: f64,
    #[serde(rename = "drain-grace-s")]
    drain_grace: f64,
    cold_from: f64,
    #[serde(rename = "warm-up-s")]
    warm_up: f64,
    tip_multiple: f64,
    #[serde(rename = "fall-s")]
    fall: f64,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    Automatic,
    Subscribe,
}

/// The settings that an instance is started with.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Terms {
    #[serde(default)]
    azs: Vec<String>,
    classes: Vec<Class>,
    domain: Domain,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    load_report: LoadReport,
    me: u32,
    permissions: Permissions,
    #[serde(default)]
    prices: Prices,
    registry_mode: RegistryMode,
    replicas_of_me: u32,
    rules: Rules,
}

/// Times of the table above, by their names without the unit.
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
const UNITS: [&str; 6] = ["ns", "us", "ms", "m", "min", "h"];

/// A time in another unit than seconds: as an unknown key it would be ignored, and a default stand for it.
fn other_unit(value: &serde_json::Value) -> Option<String> {
    match value {
        serde_json::Value::Object(fields) => fields.iter().find_map(|(key, value)| {
            let (name, unit) = key.rsplit_once('-').unwrap_or((key, ""));
            let other =
                UNITS.contains(&unit) && TIMES.contains(&name) && !fields.contains_key(&format!("{name}-s"));
            let other = other.then(|| format!("{key}: unknown unit, times are in seconds"));
            other.or_else(|| other_unit(value).map(|found| format!("{key}.{found}")))
        }),
        serde_json::Value::Array(values) => values.iter().find_map(other_unit),
        _ => None,
    }
}

/// Reads and checks the settings object.
pub fn read(text: &str) -> Result<Terms, WireFault> {
    if let Some(found) = serde_json::from_str(text).ok().as_ref().and_then(other_unit) {
        return Err(WireFault::Settings(found));
    }
    let mut reader = serde_json::Deserializer::from_str(text);
    let read = serde_path_to_error::deserialize(&mut reader);
    let terms: Terms = read.map_err(|fault| WireFault::Settings(fault.to_string()))?;
    match terms.contradiction() {
        Some(what) => Err(WireFault::Settings(what)),
        None => Ok(terms),
    }
}

impl Terms {
    /// The first setting that contradicts another or leaves a rule without its figure.
    fn contradiction(&self) -> Option<String> {
        let (domain, rules) = (&self.domain, &self.rules);
        let checks = [
            (self.classes.is_empty(), "classes: none given"),
            (self.replicas_of_me <= self.me, "me: not below replicas-of-me"),
            (domain.caps.is_empty(), "domain.caps: none given"),
            (domain.caps.iter().any(|cap| !(0.0..=1.0).contains(cap)), "domain.caps: not from 0 to 1"),
            (domain.window <= 0.0, "domain.window-s: not above 0"),
            (domain.allowance < 0.0, "domain.allowance: below 0"),
            (domain.vote_ttl <= 0.0, "domain.vote-ttl-s: not above 0"),
            (domain.votes_to_revert == 0, "domain.votes-to-revert: 0"),
            (domain.vote_mode != VoteMode::Clocked && domain.votes_to_go == 0, "domain.votes-to-go: 0"),
            (domain.vote_mode == VoteMode::Clocked && domain.to_pause == 0, "domain.to-pause: 0"),
            (self.permissions.try_limit == 0, "permissions.try-limit: 0"),
            (self.permissions.conn_idle <= 0.0, "permissions.conn-idle-s: not above 0"),
            (self.permissions.dial_timeout <= 0.0, "permissions.dial-timeout-s: not above 0"),
            (!(rules.cold_from > 0.0 && rules.cold_from <= 1.0), "rules.cold-from: not above 0 up to 1"),
            (rules.tip_multiple <= 0.0, "rules.tip-multiple: not above 0"),
            (rules.fall <= 0.0, "rules.fall-s: not above 0"),
            (rules.warm_up < 0.0, "rules.warm-up-s: below 0"),
            (rules.drain_grace < 0.0, "rules.drain-grace-s: below 0"),
            (
                self.registry_mode == RegistryMode::Subscribe && rules.ask_within <= 0.0,
                "rules.ask-within-s: not above 0",
            ),
            (!self.azs.is_empty() && !self.azs.contains(&self.locality), "locality: not among azs"),
        ];
        if let Some((_, what)) = checks.iter().find(|(wrong, _)| *wrong) {
            return Some(what.to_string());
        }
        for class in &self.classes {
            let twice = self.classes.iter().filter(|other| other.name == class.name).count() > 1;
            let checks = [
                (twice, "named twice"),
                (class.aim <= 0.0, "aim-s: not above 0"),
                (class.hard_limit < class.aim, "hard-limit-s: below aim-s"),
                (
                    class.effect == Effect::Deduplicated && class.dedup_window <= 0.0,
                    "dedup-window-s: not above 0",
                ),
            ];
            if let Some((_, what)) = checks.iter().find(|(wrong, _)| *wrong) {
                return Some(format!("classes '{}': {what}", class.name));
            }
        }
        None
    }

    /// What a front on sockets has to know beside the decisions.
    pub fn connections(&self) -> latchhaven_policy::UpstreamConnectionConfig {
        latchhaven_policy::UpstreamConnectionConfig {
            idle_timeout: self.permissions.conn_idle * MS_PER_S,
            connect_timeout: self.permissions.dial_timeout * MS_PER_S,
            vote_timeout: self.domain.api_timeout * MS_PER_S,
            health_checks: self.permissions.probes,
            load_reporting: match self.load_report.via {
                Via::Silent => latchhaven_policy::LoadReporting::Disabled,
                Via::Piggyback => latchhaven_policy::LoadReporting::InResponses,
                Via::Pull => latchhaven_policy::LoadReporting::InHealthChecks,
            },
        }
    }

    /// On sockets nothing of the list comes unasked, whatever the site does elsewhere.
    pub fn asking(mut self) -> Self {
        if self.registry_mode == RegistryMode::Automatic {
            self.registry_mode = RegistryMode::Subscribe;
            self.rules.ask_within = if self.rules.ask_within > 0.0 { self.rules.ask_within } else { 10.0 };
        }
        self
    }

    /// The products that clients may name.
    pub fn products(&self) -> Vec<latchhaven_policy::RequestClass> {
        let ms = |seconds: f64| seconds * MS_PER_S;
        let products = self.classes.iter().map(|class| latchhaven_policy::RequestClass {
            name: class.name.clone(),
            idempotency: match class.effect {
                Effect::Idempotent => latchhaven_policy::Idempotency::Idempotent,
                Effect::Deduplicated => latchhaven_policy::Idempotency::IdempotencyKey,
                Effect::AtMostOnce => latchhaven_policy::Idempotency::NonIdempotent,
            },
            dedup_scope: match class.group {
                Group::All => latchhaven_policy::DedupScope::All,
                Group::Zone => latchhaven_policy::DedupScope::Zone,
                Group::Cell => latchhaven_policy::DedupScope::Cell,
            },
            dedup_window: ms(class.dedup_window),
            latency_objective: ms(class.aim),
            objective_per_work: class.aim_stretch,
            timeout: ms(class.hard_limit),
            priority_weight: class.gain,
            late_value_share: class.late_share,
            streamed: class.stream,
        });
        products.collect()
    }

    /// What bounds a front that hands decisions on: exposure, cold starts, and submissions of a txn.
    pub fn bounds(&self) -> (latchhaven_policy::ExposureConfig, latchhaven_policy::SlowStartConfig, usize) {
        let ms = |seconds: f64| seconds * MS_PER_S;
        let (domain, rules) = (&self.domain, &self.rules);
        let exposure = latchhaven_policy::ExposureConfig {
            allowance: domain.allowance,
            stage_caps: domain.caps.clone(),
            window: ms(domain.window),
            per_class: domain.counts == Counts::PerLane,
            closed_stages: domain.closed_stages,
            sticky_keys: domain.no_return,
        };
        let cold = latchhaven_policy::SlowStartConfig {
            initial_capacity: rules.cold_from,
            duration: ms(rules.warm_up),
            overload_multiple: rules.tip_multiple,
            overload_window: ms(rules.fall),
        };
        (exposure, cold, self.permissions.try_limit)
    }

    /// Starts the decisions of one instance.
    pub fn start(self, seed: u64) -> Policy {
        let ms = |seconds: f64| seconds * MS_PER_S;
        let classes = self.products();
        let (exposure, slow_start, _) = self.bounds();
        let Terms { domain, rules, permissions, .. } = self;
        Policy::new(latchhaven_policy::PolicyConfig {
            seed,
            identity: latchhaven_policy::GatewayIdentity {
                index: self.me,
                gateway_count: self.replicas_of_me,
                zone: self.locality,
            },
            classes,
            permissions: latchhaven_policy::Permissions {
                max_attempts: permissions.try_limit,
                hedging: permissions.second_copies,
                cancel: permissions.cancelling,
                health_checks: permissions.probes,
                peer_messages: permissions.peers,
                max_retry_after: permissions.retry_after.then_some(ms(permissions.max_retry_after)),
            },
            discovery: latchhaven_policy::DiscoveryConfig {
                must_subscribe: self.registry_mode == RegistryMode::Subscribe,
                max_poll_interval: ms(rules.ask_within),
                drain_grace: ms(rules.drain_grace),
            },
            slow_start,
            exposure,
            voting: latchhaven_policy::VotingConfig {
                mode: match domain.vote_mode {
                    VoteMode::Single => latchhaven_policy::VoteMode::Single,
                    VoteMode::Majority => latchhaven_policy::VoteMode::Majority,
                    VoteMode::Clocked => latchhaven_policy::VoteMode::Clocked,
                },
                promote_quorum: domain.votes_to_go,
                pause_quorum: domain.to_pause,
                rollback_quorum: domain.votes_to_revert,
                vote_lease: ms(domain.vote_ttl),
                min_stage_duration: ms(domain.soak),
                auto_promote_after: ms(domain.auto_after),
                answer_timeout: ms(domain.api_timeout),
                keeps_baseline: domain.style == Style::SideBySide,
            },
            costs: latchhaven_policy::CostConfig { cross_zone: self.prices.cross_zone },
        })
    }
}
