//! What the policy is configured with, as the settings tell it.

use crate::request::RequestClass;
use crate::time::Millis;

/// Everything that a policy is configured with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    /// Seed of the policy's random generator.
    pub seed: u64,
    /// Which of the gateways this is.
    pub identity: GatewayIdentity,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// What the gateway may do.
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

/// Which of the gateways this is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayIdentity {
    /// Its index, from 0.
    pub index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// The zone that it is in.
    pub zone: String,
}

/// What a gateway may do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permissions {
    /// Attempts at one request at most, the first one included.
    pub max_attempts: usize,
    /// An attempt may be sent while an earlier one is out.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Endpoints may be health checked.
    pub health_checks: bool,
    /// Gateways may write to each other.
    pub peer_messages: bool,
    /// The longest retry advice that clients honour; none where they get none.
    pub max_retry_after: Option<Millis>,
}

/// How the endpoint list is obtained, and how drains are timed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryConfig {
    /// The list has to be asked for; otherwise it is pushed.
    pub must_subscribe: bool,
    /// A gateway without a watch has to ask within this time.
    pub max_poll_interval: Millis,
    /// What is listed counts as told to a gateway this long after it lost its watch, arrived or not.
    pub update_delay_after_loss: Millis,
    /// What was listed before a process started counts as told to it this long after its start.
    pub update_delay_after_start: Millis,
    /// What is listed counts as told this long after a watch fell silent.
    pub update_delay_after_silence: Millis,
    /// What is listed counts as told this long after the discovery service moved to another address.
    pub update_delay_after_move: Millis,
    /// How long attempts may still be sent to an endpoint that was told to drain.
    pub drain_grace: Millis,
}

/// How endpoints warm up, and what overloads one that has not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartConfig {
    /// The share of its capacity that an endpoint starts with.
    pub initial_capacity: f64,
    /// How long it takes to reach full capacity.
    pub duration: Millis,
    /// Times its present capacity that overload it.
    pub overload_multiple: f64,
    /// The time over which that is counted.
    pub overload_window: Millis,
}

/// The rule on exposure: how much a canary may get.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExposureConfig {
    /// Attempts that are always allowed in a window.
    pub allowance: f64,
    /// The cap of each stage, as a share of requests.
    pub stage_caps: Vec<f64>,
    /// The time over which attempts and requests are counted.
    pub window: Millis,
    /// Each class is counted for itself.
    pub per_class: bool,
    /// Stages, from the first, in which only idempotent requests may go to a canary.
    pub closed_stages: u32,
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
    /// Stages pass by the clock unless votes hold them.
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
    /// Time after which a stage passes by itself, where a clock decides.
    pub auto_promote_after: Millis,
    /// How long the answer to a vote is waited for.
    pub answer_timeout: Millis,
    /// Baseline endpoints stay until the version is promoted.
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

/// What an adapter on sockets has to know of connections to endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamConnectionConfig {
    /// Endpoints close connections that stood idle for this long.
    pub idle_timeout: Millis,
    /// A connection that is not up by then never comes up.
    pub connect_timeout: Millis,
    /// How long the answer to a vote is waited for.
    pub vote_timeout: Millis,
    /// Endpoints may be health checked.
    pub health_checks: bool,
    /// Where endpoints report their load.
    pub load_reporting: LoadReporting,
}
