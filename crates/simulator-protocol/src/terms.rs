//! The settings object: read, checked, and handed on in the records of the interface.

use crate::WireFault;
use latchhaven_policy::api;
use latchhaven_policy::choice::Choice;
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
    pub fn connections(&self) -> api::Connections {
        api::Connections {
            idle: self.permissions.conn_idle * MS_PER_S,
            dial_within: self.permissions.dial_timeout * MS_PER_S,
            vote_within: self.domain.api_timeout * MS_PER_S,
            probes: self.permissions.probes,
            reports: match self.load_report.via {
                Via::Silent => api::Reports::Silent,
                Via::Piggyback => api::Reports::InAnswers,
                Via::Pull => api::Reports::InProbes,
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
    pub fn products(&self) -> Vec<api::Product> {
        let ms = |seconds: f64| seconds * MS_PER_S;
        let products = self.classes.iter().map(|class| api::Product {
            name: class.name.clone(),
            effect: match class.effect {
                Effect::Idempotent => api::Effect::InquiryLike,
                Effect::Deduplicated => api::Effect::Referenced,
                Effect::AtMostOnce => api::Effect::OnceOnly,
            },
            group: match class.group {
                Group::All => api::Group::All,
                Group::Zone => api::Group::Zone,
                Group::Cell => api::Group::Cell,
            },
            remember: ms(class.dedup_window),
            sla: ms(class.aim),
            sla_stretch: class.aim_stretch,
            expiry: ms(class.hard_limit),
            revenue: class.gain,
            late_share: class.late_share,
            streamed: class.stream,
        });
        products.collect()
    }

    /// What bounds a front that hands decisions on: exposure, cold starts, and submissions of a txn.
    pub fn bounds(&self) -> (api::ExposureTerms, api::ColdStart, usize) {
        let ms = |seconds: f64| seconds * MS_PER_S;
        let (domain, rules) = (&self.domain, &self.rules);
        let exposure = api::ExposureTerms {
            free: domain.allowance,
            caps: domain.caps.clone(),
            window: ms(domain.window),
            by_product: domain.counts == Counts::PerLane,
            closed_stages: domain.closed_stages,
            no_return: domain.no_return,
        };
        let cold = api::ColdStart {
            from: rules.cold_from,
            warm_up: ms(rules.warm_up),
            multiple: rules.tip_multiple,
            span: ms(rules.fall),
        };
        (exposure, cold, self.permissions.try_limit)
    }

    /// Starts the decisions of one instance.
    pub fn start(self, seed: u64) -> Choice {
        let ms = |seconds: f64| seconds * MS_PER_S;
        let products = self.products();
        let (exposure, cold, _) = self.bounds();
        let Terms { domain, rules, permissions, .. } = self;
        Choice::new(
            seed,
            api::Place { me: self.me, gateways: self.replicas_of_me, zone: self.locality },
            products,
            api::Permits {
                submissions: permissions.try_limit,
                second_copies: permissions.second_copies,
                recall: permissions.cancelling,
                probes: permissions.probes,
                peers: permissions.peers,
                come_back: permissions.retry_after.then_some(ms(permissions.max_retry_after)),
            },
            api::ListTerms {
                asked: self.registry_mode == RegistryMode::Subscribe,
                ask_within: ms(rules.ask_within),
                drain_grace: ms(rules.drain_grace),
            },
            cold,
            exposure,
            api::VoteTerms {
                mode: match domain.vote_mode {
                    VoteMode::Single => api::VoteMode::Single,
                    VoteMode::Majority => api::VoteMode::Majority,
                    VoteMode::Clocked => api::VoteMode::Clocked,
                },
                to_go: domain.votes_to_go,
                to_pause: domain.to_pause,
                to_revert: domain.votes_to_revert,
                stands: ms(domain.vote_ttl),
                soak: ms(domain.soak),
                auto_after: ms(domain.auto_after),
                answer_within: ms(domain.api_timeout),
                beside: domain.style == Style::SideBySide,
            },
            api::Costs { cross_zone: self.prices.cross_zone },
        )
    }
}
