//! The configuration of policies under test.

use latchhaven_policy::{
    CostConfig, DedupScope, DiscoveryConfig, ExposureConfig, GatewayIdentity, Idempotency, Millis,
    Permissions, PolicyConfig, RequestClass, SlowStartConfig, VotingConfig,
};

/// The part of a policy's configuration that tests vary; the rest is the same in all tests.
pub(crate) struct TestConfig {
    pub(crate) seed: u64,
    pub(crate) gateway_count: u32,
    pub(crate) update_delay_after_loss: Millis,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) permissions: Permissions,
    pub(crate) exposure: ExposureConfig,
    pub(crate) voting: VotingConfig,
}

/// A class with a latency objective of 500 ms and a timeout of 2 s.
pub(crate) fn class(name: &str, idempotency: Idempotency, dedup_scope: DedupScope) -> RequestClass {
    RequestClass {
        name: name.to_string(),
        idempotency,
        dedup_scope,
        dedup_window: 3000.0,
        latency_objective: 500.0,
        objective_per_work: 0.0,
        timeout: 2000.0,
        priority_weight: 1.0,
        late_value_share: 0.0,
        streamed: false,
    }
}

impl Default for TestConfig {
    fn default() -> Self {
        TestConfig {
            seed: 7,
            gateway_count: 4,
            update_delay_after_loss: 6000.0,
            classes: vec![
                class("look", Idempotency::Idempotent, DedupScope::All),
                class("book", Idempotency::IdempotencyKey, DedupScope::Zone),
                class("pay", Idempotency::NonIdempotent, DedupScope::All),
            ],
            permissions: Permissions {
                max_attempts: 3,
                hedging: true,
                cancel: true,
                ..Permissions::default()
            },
            exposure: ExposureConfig {
                allowance: 2.0,
                stage_caps: vec![0.1, 0.5, 1.0],
                window: 2000.0,
                ..ExposureConfig::default()
            },
            voting: VotingConfig {
                promote_quorum: 1,
                rollback_quorum: 1,
                vote_lease: 4000.0,
                ..VotingConfig::default()
            },
        }
    }
}

impl From<TestConfig> for PolicyConfig {
    fn from(config: TestConfig) -> Self {
        PolicyConfig {
            seed: config.seed,
            identity: GatewayIdentity {
                index: 0,
                gateway_count: config.gateway_count,
                zone: "a".to_string(),
            },
            classes: config.classes,
            permissions: config.permissions,
            discovery: DiscoveryConfig {
                requires_subscription: true,
                max_poll_interval: 10_000.0,
                update_delay_after_start: 0.0,
                update_delay_after_loss: config.update_delay_after_loss,
                update_delay_after_silence: 6000.0,
                update_delay_after_move: 4000.0,
                drain_grace: 1000.0,
            },
            slow_start: SlowStartConfig {
                initial_capacity: 0.4,
                duration: 4000.0,
                overload_multiple: 2.0,
                overload_window: 1000.0,
            },
            exposure: config.exposure,
            voting: config.voting,
            costs: CostConfig::default(),
        }
    }
}
