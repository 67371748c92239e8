//! The settings object: parsed, checked, and turned into the policy's configuration.

mod checks;
mod schema;
mod update_delays;

use crate::error::SettingsError;
use crate::fields::MS_PER_S;
use latchhaven_policy::{
    CostConfig, DedupScope, DiscoveryConfig, ExposureConfig, GatewayIdentity, Idempotency, LoadReporting,
    Millis, Permissions, Policy, PolicyConfig, RequestClass, SlowStartConfig, UpstreamConnectionConfig,
    VoteMode, VotingConfig,
};
use schema::SettingsSchema;
use update_delays::UpdateDelays;

/// The longest polling interval in seconds of a gateway on sockets whose settings say that lists are pushed: sockets do not
/// offer that, so that it subscribes instead.
const DEFAULT_MAX_POLL_INTERVAL_S: f64 = 10.0;

/// Milliseconds of a time in seconds.
fn ms(seconds: f64) -> Millis {
    seconds * MS_PER_S
}

/// The settings that an instance is started with, checked.
pub struct Settings {
    schema: SettingsSchema,
    update_delays: UpdateDelays,
}

/// The limits of an adapter that publishes decisions instead of deciding on each request.
pub struct PublishingLimits {
    /// The limits on the exposure of canaries.
    pub exposure: ExposureConfig,
    /// How endpoints warm up.
    pub slow_start: SlowStartConfig,
    /// Attempts of one request at most.
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
    let update_delays = UpdateDelays::in_simulator(ms(schema.rules.max_poll_interval));
    Ok(Settings { schema, update_delays })
}

impl Settings {
    /// The configuration of upstream connections, for an adapter on sockets.
    #[must_use]
    pub fn upstream_connections(&self) -> UpstreamConnectionConfig {
        let permissions = &self.schema.permissions;
        UpstreamConnectionConfig {
            idle_timeout: ms(permissions.idle_timeout),
            connect_timeout: ms(permissions.connect_timeout),
            vote_timeout: ms(self.schema.rollout.answer_timeout),
            health_checks: permissions.health_checks,
            load_reporting: match self.schema.load_report.transport {
                schema::LoadTransport::Disabled => LoadReporting::Disabled,
                schema::LoadTransport::Responses => LoadReporting::InResponses,
                schema::LoadTransport::HealthChecks => LoadReporting::InHealthChecks,
            },
        }
    }

    /// The same settings for sockets, where a gateway subscribes to endpoint lists even if the simulator pushes them.
    #[must_use]
    pub fn on_sockets(mut self) -> Self {
        let is_pushed = self.schema.discovery_mode == schema::DiscoveryMode::Pushed;
        self.update_delays = UpdateDelays::on_sockets(is_pushed);
        if is_pushed {
            self.schema.discovery_mode = schema::DiscoveryMode::Subscribed;
            if self.schema.rules.max_poll_interval <= 0.0 {
                self.schema.rules.max_poll_interval = DEFAULT_MAX_POLL_INTERVAL_S;
            }
        }
        self
    }

    /// The request classes.
    #[must_use]
    pub fn classes(&self) -> Vec<RequestClass> {
        self.schema.classes.iter().map(request_class).collect()
    }

    /// The limits of an adapter that publishes decisions.
    #[must_use]
    pub fn publishing_limits(&self) -> PublishingLimits {
        PublishingLimits {
            exposure: self.exposure(),
            slow_start: self.slow_start(),
            max_attempts: self.schema.permissions.max_attempts,
        }
    }

    /// Starts the policy of one instance; `seed` initializes its random number generator.
    #[must_use]
    pub fn start_policy(self, seed: u64) -> Policy {
        Policy::new(PolicyConfig {
            seed,
            identity: GatewayIdentity {
                index: self.schema.gateway_index,
                gateway_count: self.schema.gateway_count,
                zone: self.schema.zone.clone(),
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
            max_attempts: permissions.max_attempts,
            hedging: permissions.hedging,
            cancel: permissions.cancel,
            health_checks: permissions.health_checks,
            peer_messages: permissions.peer_messages,
            max_retry_after: permissions.retry_after.then_some(ms(permissions.max_retry_after)),
        }
    }

    fn discovery(&self) -> DiscoveryConfig {
        DiscoveryConfig {
            requires_subscription: self.schema.discovery_mode == schema::DiscoveryMode::Subscribed,
            max_poll_interval: ms(self.schema.rules.max_poll_interval),
            update_delay_after_start: self.update_delays.start,
            update_delay_after_loss: self.update_delays.lost_watch,
            update_delay_after_silence: self.update_delays.silent_watch,
            update_delay_after_move: self.update_delays.moved,
            drain_grace: ms(self.schema.rules.drain_grace),
        }
    }

    fn slow_start(&self) -> SlowStartConfig {
        let rules = &self.schema.rules;
        SlowStartConfig {
            initial_capacity: rules.initial_capacity,
            duration: ms(rules.warmup_duration),
            overload_multiple: rules.overload_multiple,
            overload_window: ms(rules.overload_window),
        }
    }

    fn exposure(&self) -> ExposureConfig {
        let rollout = &self.schema.rollout;
        ExposureConfig {
            allowance: rollout.allowance,
            stage_caps: rollout.stage_caps.clone(),
            window: ms(rollout.window),
            per_class: rollout.exposure_scope == schema::ExposureScope::PerClass,
            idempotent_only_stages: rollout.closed_stages,
            sticky_keys: rollout.sticky_keys,
        }
    }

    fn voting(&self) -> VotingConfig {
        let rollout = &self.schema.rollout;
        VotingConfig {
            mode: match rollout.vote_mode {
                schema::VoteMode::Single => VoteMode::Single,
                schema::VoteMode::Majority => VoteMode::Majority,
                schema::VoteMode::Clocked => VoteMode::Clocked,
            },
            promote_quorum: rollout.promote_quorum,
            pause_quorum: rollout.pause_quorum,
            rollback_quorum: rollout.rollback_quorum,
            vote_lease: ms(rollout.vote_lease),
            min_stage_duration: ms(rollout.min_stage_duration),
            auto_promote_after: ms(rollout.auto_promote_after),
            reply_timeout: ms(rollout.answer_timeout),
            keeps_baseline: rollout.style == schema::RolloutStyle::SideBySide,
        }
    }
}

fn request_class(class: &schema::Class) -> RequestClass {
    RequestClass {
        name: class.name.clone(),
        idempotency: match class.idempotency {
            schema::Idempotency::Idempotent => Idempotency::Idempotent,
            schema::Idempotency::Keyed => Idempotency::IdempotencyKey,
            schema::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        },
        dedup_scope: match class.dedup_scope {
            schema::DedupScope::All => DedupScope::All,
            schema::DedupScope::Zone => DedupScope::Zone,
            schema::DedupScope::Cell => DedupScope::Cell,
        },
        dedup_window: ms(class.dedup_window),
        latency_objective: ms(class.latency_objective),
        objective_per_work: class.objective_per_work,
        timeout: ms(class.timeout),
        priority_weight: class.priority_weight,
        late_value_share: class.late_value_share,
        streamed: class.streamed,
    }
}
