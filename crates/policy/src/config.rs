//! The configuration of a policy, as an adapter reads it from its settings. Times are in ms.

use crate::request::RequestClass;
use crate::time::Millis;

/// Everything that a policy is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    /// Seed of the policy's random generator.
    pub seed: u64,
    /// The gateway's identity.
    pub identity: GatewayIdentity,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// What the gateway is permitted to do.
    pub permissions: Permissions,
    /// How the endpoint list is obtained, and how drains are timed.
    pub discovery: DiscoveryConfig,
    /// How endpoints warm up.
    pub slow_start: SlowStartConfig,
    /// The rule on exposure.
    pub exposure: ExposureConfig,
    /// How versions are voted on.
    pub voting: VotingConfig,
    /// What routing costs.
    pub costs: CostConfig,
}

/// Identifies a gateway among all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayIdentity {
    /// Its index, from 0.
    pub index: u32,
    /// Number of gateways.
    pub gateway_count: u32,
    /// Its zone.
    pub zone: String,
}

/// What a gateway is permitted to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permissions {
    /// Attempts at one request at most, the first included.
    pub max_attempts: usize,
    /// Hedged requests: an attempt may be sent while an earlier one is in flight.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be health checked.
    pub health_checks: bool,
    /// Gateways may send messages to each other.
    pub peer_messages: bool,
    /// The longest Retry-After that clients honour; none where they get none.
    pub max_retry_after: Option<Millis>,
}

/// How the endpoint list is obtained, and how drains are timed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryConfig {
    /// The list requires a watch or polls; otherwise it is pushed.
    pub requires_subscription: bool,
    /// A gateway without a watch polls within this time.
    pub max_poll_interval: Millis,
    /// Time from the loss of a watch after which updates count as delivered.
    pub update_delay_after_loss: Millis,
    /// Time from the start of a process after which earlier updates count as delivered to it.
    pub update_delay_after_start: Millis,
    /// Time from the last message of a silent watch after which updates count as delivered.
    pub update_delay_after_silence: Millis,
    /// Time from a move of the discovery service to another address after which updates count as delivered.
    pub update_delay_after_move: Millis,
    /// Time for which attempts may still be sent to an endpoint after its draining counts as delivered.
    pub drain_grace: Millis,
}

/// How endpoints warm up, and what overloads one meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartConfig {
    /// The share of its capacity that an endpoint starts with.
    pub initial_capacity: f64,
    /// How long it takes to reach full capacity.
    pub duration: Millis,
    /// Ratio of attempts to its current capacity that overloads it.
    pub overload_multiple: f64,
    /// The time over which attempts are counted.
    pub overload_window: Millis,
}

/// The rule on exposure: how many attempts a canary may get.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExposureConfig {
    /// Attempts that are permitted in each window regardless of the cap.
    pub allowance: f64,
    /// The cap of each stage, as a share of requests.
    pub stage_caps: Vec<f64>,
    /// The time over which attempts and requests are counted.
    pub window: Millis,
    /// Each class is counted separately.
    pub per_class: bool,
    /// Stages, from the first, in which only idempotent requests may go to a canary.
    pub idempotent_only_stages: u32,
    /// A key that a canary has answered may not return to an earlier version.
    pub sticky_keys: bool,
}

/// How votes make a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VoteMode {
    /// One vote, or a few, decide.
    #[default]
    Single,
    /// A majority decides.
    Majority,
    /// Stages pass after a time unless votes pause them.
    Clocked,
}

/// How versions are voted on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VotingConfig {
    /// How votes make a decision.
    pub mode: VoteMode,
    /// Votes that it takes to promote.
    pub promote_quorum: u32,
    /// Votes that it takes to pause.
    pub pause_quorum: u32,
    /// Votes that it takes to roll back.
    pub rollback_quorum: u32,
    /// How long a vote counts.
    pub vote_lease: Millis,
    /// The shortest time of a stage.
    pub min_stage_duration: Millis,
    /// Time after which a stage passes without votes, in [`VoteMode::Clocked`].
    pub auto_promote_after: Millis,
    /// Timeout of a vote's answer.
    pub reply_timeout: Millis,
    /// Baseline endpoints remain until the version is promoted.
    pub keeps_baseline: bool,
}

/// What routing costs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostConfig {
    /// Cost of one request that crosses zones.
    pub cross_zone: f64,
}

/// Where endpoints report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Nowhere.
    Disabled,
    /// With each answer.
    InResponses,
    /// In answers to health checks.
    InHealthChecks,
}

/// How an adapter on sockets connects to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamConnectionConfig {
    /// Endpoints close connections that have been idle for this long.
    pub idle_timeout: Millis,
    /// Timeout of establishing a connection.
    pub connect_timeout: Millis,
    /// Timeout of a vote's answer.
    pub vote_timeout: Millis,
    /// Endpoints may be health checked.
    pub health_checks: bool,
    /// Where endpoints report their load.
    pub load_reporting: LoadReporting,
}
