//! Parses and checks the settings object, and converts it into the policy's configuration.

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

/// The longest polling interval, in seconds, of a gateway outside the simulator if the settings state that lists are
/// pushed and contain no interval above 0. Only the simulator can push lists; elsewhere the gateway subscribes to them.
const DEFAULT_MAX_POLL_INTERVAL_S: f64 = 10.0;

fn seconds_to_millis(seconds: f64) -> Millis {
    seconds * MS_PER_S
}

/// The checked settings of one instance. The policy's configuration and that of an adapter are derived from them.
pub struct Settings {
    schema: SettingsSchema,
    update_delays: UpdateDelays,
}

/// The limits that an adapter enforces itself if it publishes decisions instead of deciding on each request.
pub struct PublishingLimits {
    /// Limits of the attempts that a canary may get.
    pub exposure: ExposureConfig,
    /// How the capacity of a started endpoint grows.
    pub slow_start: SlowStartConfig,
    /// Limit of the attempts at one request, the first included.
    pub max_attempts: usize,
}

/// Parses and checks the settings object, a JSON text. Unknown keys are ignored, except a time in a unit other than
/// seconds if the object does not also have this time in seconds.
///
/// # Errors
/// The text is not JSON, or a key is missing, has an invalid value, or contradicts another; names the first such key.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    checks::check_units(text)?;
    let mut reader = serde_json::Deserializer::from_str(text);
    let schema: SettingsSchema = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| SettingsError::Malformed(error.to_string()))?;
    checks::check_consistency(&schema)?;
    let update_delays = UpdateDelays::in_simulator(seconds_to_millis(schema.rules.max_poll_interval));
    Ok(Settings { schema, update_delays })
}

impl Settings {
    /// Returns the timeouts of connections to endpoints and to the platform, and what endpoints may be sent and report;
    /// for an adapter on sockets.
    #[must_use]
    pub fn upstream_connections(&self) -> UpstreamConnectionConfig {
        let permissions = &self.schema.permissions;
        UpstreamConnectionConfig {
            idle_timeout: seconds_to_millis(permissions.idle_timeout),
            connect_timeout: seconds_to_millis(permissions.connect_timeout),
            vote_timeout: seconds_to_millis(self.schema.rollout.reply_timeout),
            health_checks: permissions.health_checks,
            load_reporting: match self.schema.load_report.transport {
                schema::LoadTransport::Disabled => LoadReporting::Disabled,
                schema::LoadTransport::Responses => LoadReporting::InResponses,
                schema::LoadTransport::HealthChecks => LoadReporting::InHealthChecks,
            },
        }
    }

    /// Converts the settings for a gateway that runs outside the simulator and communicates over sockets. Such
    /// a gateway subscribes to endpoint lists even if the settings state that lists are pushed.
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

    /// Returns the request classes in the order of the settings; at least one, each with another name.
    #[must_use]
    pub fn classes(&self) -> Vec<RequestClass> {
        self.schema.classes.iter().map(request_class).collect()
    }

    /// Returns the limits that an adapter enforces itself if it publishes decisions instead of deciding on each
    /// request.
    #[must_use]
    pub fn publishing_limits(&self) -> PublishingLimits {
        PublishingLimits {
            exposure: self.exposure(),
            slow_start: self.slow_start(),
            max_attempts: self.schema.permissions.max_attempts,
        }
    }

    /// Creates the policy of one instance; `seed` initializes its random number generator.
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
            max_retry_after: permissions
                .retry_after
                .then_some(seconds_to_millis(permissions.max_retry_after)),
        }
    }

    fn discovery(&self) -> DiscoveryConfig {
        DiscoveryConfig {
            requires_subscription: self.schema.discovery_mode == schema::DiscoveryMode::Subscribed,
            max_poll_interval: seconds_to_millis(self.schema.rules.max_poll_interval),
            update_delay_after_start: self.update_delays.start,
            update_delay_after_loss: self.update_delays.watch_loss,
            update_delay_after_silence: self.update_delays.watch_silence,
            update_delay_after_move: self.update_delays.address_change,
            drain_grace: seconds_to_millis(self.schema.rules.drain_grace),
        }
    }

    fn slow_start(&self) -> SlowStartConfig {
        let rules = &self.schema.rules;
        SlowStartConfig {
            initial_capacity: rules.initial_capacity,
            duration: seconds_to_millis(rules.warmup_duration),
            overload_multiple: rules.overload_multiple,
            overload_window: seconds_to_millis(rules.overload_window),
        }
    }

    fn exposure(&self) -> ExposureConfig {
        let rollout = &self.schema.rollout;
        ExposureConfig {
            allowance: rollout.allowance,
            stage_caps: rollout.stage_caps.clone(),
            window: seconds_to_millis(rollout.window),
            per_class: rollout.exposure_scope == schema::ExposureScope::PerClass,
            idempotent_only_stages: rollout.idempotent_only_stages,
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
            vote_lease: seconds_to_millis(rollout.vote_lease),
            min_stage_duration: seconds_to_millis(rollout.min_stage_duration),
            auto_promote_after: seconds_to_millis(rollout.auto_promote_after),
            reply_timeout: seconds_to_millis(rollout.reply_timeout),
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
        dedup_window: seconds_to_millis(class.dedup_window),
        latency_objective: seconds_to_millis(class.latency_objective),
        objective_per_work: class.objective_per_work,
        timeout: seconds_to_millis(class.timeout),
        priority_weight: class.priority_weight,
        late_value_share: class.late_value_share,
        streamed: class.streamed,
    }
}
