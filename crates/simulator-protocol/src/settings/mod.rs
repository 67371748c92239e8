//! The settings object: parsed, checked, and turned into the policy's configuration.

mod checks;
mod schema;

use crate::error::SettingsError;
use latchhaven_policy::{
    CostConfig, DedupScope, DiscoveryConfig, ExposureConfig, GatewayIdentity, Idempotency, LoadReporting,
    Millis, Permissions, Policy, PolicyConfig, RequestClass, SlowStartConfig, UpstreamConnectionConfig,
    VoteMode, VotingConfig,
};
use schema::SettingsSchema;

const MS_PER_S: f64 = 1000.0;
/// Time within which a gateway has to ask for the list, in seconds, where it is pushed elsewhere and no time is given.
const DEFAULT_ASK_WITHIN_S: f64 = 10.0;

fn ms(seconds: f64) -> Millis {
    seconds * MS_PER_S
}

/// Times the polling interval after which the simulator counts as told what a failed call missed.
const FAILED_CALL_POLLS: f64 = 4.0;
/// ms after which discovery counts what it lists as told to a gateway on sockets that it cannot reach.
const SOCKET_UPDATE_DELAY: Millis = 6000.0;
/// ms after which it does so once it has moved to another address.
const SOCKET_MOVE_DELAY: Millis = 4000.0;

/// When updates count as told to an instance that misses them, in ms.
struct UpdateDelays {
    after_start: Millis,
    after_loss: Millis,
    after_silence: Millis,
    after_move: Millis,
}

/// The settings that an instance is started with, checked.
pub struct Settings {
    schema: SettingsSchema,
    update_delays: UpdateDelays,
}

/// What bounds an adapter that publishes decisions instead of asking for each request.
pub struct PublishingLimits {
    /// The rule on exposure.
    pub exposure: ExposureConfig,
    /// How endpoints warm up.
    pub slow_start: SlowStartConfig,
    /// Attempts at one request at most.
    pub max_attempts: usize,
}

/// Parses and checks the settings object.
///
/// # Errors
/// The first key that is missing, has another form, or contradicts another one.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    checks::units(text)?;
    let mut reader = serde_json::Deserializer::from_str(text);
    let schema: SettingsSchema = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| SettingsError::Malformed(error.to_string()))?;
    checks::consistency(&schema)?;
    let delay = FAILED_CALL_POLLS * ms(schema.rules.ask_within);
    let update_delays =
        UpdateDelays { after_start: delay, after_loss: delay, after_silence: delay, after_move: delay };
    Ok(Settings { schema, update_delays })
}

impl Settings {
    /// What an adapter on sockets has to know beside the policy.
    #[must_use]
    pub fn upstream_connections(&self) -> UpstreamConnectionConfig {
        let permissions = &self.schema.permissions;
        UpstreamConnectionConfig {
            idle_timeout: ms(permissions.conn_idle),
            connect_timeout: ms(permissions.dial_timeout),
            vote_timeout: ms(self.schema.domain.api_timeout),
            health_checks: permissions.probes,
            load_reporting: match self.schema.load_report.via {
                schema::Via::Silent => LoadReporting::Disabled,
                schema::Via::Piggyback => LoadReporting::InResponses,
                schema::Via::Pull => LoadReporting::InHealthChecks,
            },
        }
    }

    /// The same on sockets, where the list has to be asked for: nothing of it comes unasked, whatever the site does
    /// elsewhere. Where it is pushed, what is listed counts as told at once, unless the watch only falls silent.
    #[must_use]
    pub fn on_sockets(mut self) -> Self {
        let is_pushed = self.schema.registry_mode == schema::RegistryMode::Automatic;
        self.update_delays = UpdateDelays {
            after_start: 0.0,
            after_loss: if is_pushed { 0.0 } else { SOCKET_UPDATE_DELAY },
            after_silence: SOCKET_UPDATE_DELAY,
            after_move: SOCKET_MOVE_DELAY,
        };
        if self.schema.registry_mode == schema::RegistryMode::Automatic {
            self.schema.registry_mode = schema::RegistryMode::Subscribe;
            if self.schema.rules.ask_within <= 0.0 {
                self.schema.rules.ask_within = DEFAULT_ASK_WITHIN_S;
            }
        }
        self
    }

    /// The classes that clients may name.
    #[must_use]
    pub fn classes(&self) -> Vec<RequestClass> {
        self.schema.classes.iter().map(request_class).collect()
    }

    /// What bounds an adapter that publishes decisions.
    #[must_use]
    pub fn publishing_limits(&self) -> PublishingLimits {
        PublishingLimits {
            exposure: self.exposure(),
            slow_start: self.slow_start(),
            max_attempts: self.schema.permissions.try_limit,
        }
    }

    /// Starts the policy of one instance; `seed` is that of its random generator.
    #[must_use]
    pub fn start_policy(self, seed: u64) -> Policy {
        Policy::new(PolicyConfig {
            seed,
            identity: GatewayIdentity {
                index: self.schema.me,
                gateway_count: self.schema.replicas_of_me,
                zone: self.schema.locality.clone(),
            },
            classes: self.classes(),
            permissions: self.permissions(),
            discovery: self.discovery(),
            slow_start: self.slow_start(),
            exposure: self.exposure(),
            voting: self.voting(),
            costs: CostConfig { cross_zone: self.schema.prices.cross_zone },
        })
    }

    fn permissions(&self) -> Permissions {
        let permissions = &self.schema.permissions;
        Permissions {
            max_attempts: permissions.try_limit,
            hedging: permissions.second_copies,
            cancel: permissions.cancelling,
            health_checks: permissions.probes,
            peer_messages: permissions.peers,
            max_retry_after: permissions.retry_after.then_some(ms(permissions.max_retry_after)),
        }
    }

    fn discovery(&self) -> DiscoveryConfig {
        DiscoveryConfig {
            requires_subscription: self.schema.registry_mode == schema::RegistryMode::Subscribe,
            max_poll_interval: ms(self.schema.rules.ask_within),
            update_delay_after_start: self.update_delays.after_start,
            update_delay_after_loss: self.update_delays.after_loss,
            update_delay_after_silence: self.update_delays.after_silence,
            update_delay_after_move: self.update_delays.after_move,
            drain_grace: ms(self.schema.rules.drain_grace),
        }
    }

    fn slow_start(&self) -> SlowStartConfig {
        let rules = &self.schema.rules;
        SlowStartConfig {
            initial_capacity: rules.cold_from,
            duration: ms(rules.warm_up),
            overload_multiple: rules.tip_multiple,
            overload_window: ms(rules.fall),
        }
    }

    fn exposure(&self) -> ExposureConfig {
        let domain = &self.schema.domain;
        ExposureConfig {
            allowance: domain.allowance,
            stage_caps: domain.caps.clone(),
            window: ms(domain.window),
            per_class: domain.counts == schema::Counts::PerLane,
            closed_stages: domain.closed_stages,
            sticky_keys: domain.no_return,
        }
    }

    fn voting(&self) -> VotingConfig {
        let domain = &self.schema.domain;
        VotingConfig {
            mode: match domain.vote_mode {
                schema::VoteMode::Single => VoteMode::Single,
                schema::VoteMode::Majority => VoteMode::Majority,
                schema::VoteMode::Clocked => VoteMode::Clocked,
            },
            promote_quorum: domain.votes_to_go,
            pause_quorum: domain.to_pause,
            rollback_quorum: domain.votes_to_revert,
            vote_lease: ms(domain.vote_ttl),
            min_stage_duration: ms(domain.soak),
            auto_promote_after: ms(domain.auto_after),
            answer_timeout: ms(domain.api_timeout),
            keeps_baseline: domain.style == schema::Style::SideBySide,
        }
    }
}

fn request_class(class: &schema::Class) -> RequestClass {
    RequestClass {
        name: class.name.clone(),
        idempotency: match class.effect {
            schema::Effect::Idempotent => Idempotency::Idempotent,
            schema::Effect::Deduplicated => Idempotency::IdempotencyKey,
            schema::Effect::AtMostOnce => Idempotency::NonIdempotent,
        },
        dedup_scope: match class.group {
            schema::Group::All => DedupScope::All,
            schema::Group::Zone => DedupScope::Zone,
            schema::Group::Cell => DedupScope::Cell,
        },
        dedup_window: ms(class.dedup_window),
        latency_objective: ms(class.aim),
        objective_per_work: class.aim_stretch,
        timeout: ms(class.hard_limit),
        priority_weight: class.gain,
        late_value_share: class.late_share,
        streamed: class.stream,
    }
}
