//! The configuration of a policy, as an adapter reads it from its settings.

use crate::request::RequestClass;
use crate::time::Millis;

/// The complete configuration of a policy, which does not change while the policy exists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyConfig {
    /// Seed of the random number generator: the same seed and events give the same actions.
    pub seed: u64,
    /// Which gateway of the fleet the policy decides for.
    pub identity: GatewayIdentity,
    /// The classes that a request may belong to.
    pub classes: Vec<RequestClass>,
    /// What the settings permit the gateway to do.
    pub permissions: Permissions,
    /// How the endpoint list arrives, and when missed updates count as delivered.
    pub discovery: DiscoveryConfig,
    /// How the capacity of a started endpoint grows.
    pub slow_start: SlowStartConfig,
    /// Limits of the attempts that a canary may get.
    pub exposure: ExposureConfig,
    /// How the platform counts votes on a version.
    pub voting: VotingConfig,
    /// Costs that routing avoids.
    pub costs: CostConfig,
}

/// Identifies a gateway within the fleet that serves the same endpoints.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayIdentity {
    /// Assigned by the settings; unique within the fleet, from 0 to `gateway_count - 1`.
    pub index: u32,
    /// The number of gateways in the fleet, this one included.
    pub gateway_count: u32,
    /// The zone that the gateway runs in; empty if there are no zones.
    pub zone: String,
}

/// What the settings permit a gateway to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permissions {
    /// Limit of the attempts at one request, the first included.
    pub max_attempts: usize,
    /// Set when an attempt may be sent while an earlier one at the same request is in flight (hedged requests).
    pub hedging: bool,
    /// Set when attempts in flight may be cancelled.
    pub cancel: bool,
    /// Set when health checks may be sent to endpoints. The rules send none.
    pub health_checks: bool,
    /// Set when gateways may send messages to each other; they share reports of wrong responses.
    pub peer_messages: bool,
    /// The longest Retry-After that clients honour; `None` if rejections contain no Retry-After.
    pub max_retry_after: Option<Millis>,
}

/// How the endpoint list arrives, and when an update that a gateway misses counts as delivered.
///
/// A draining endpoint accepts attempts of a gateway until `drain_grace` after the update counts as delivered to that
/// gateway. While updates may be missing, these delays therefore limit how long the list may be used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiscoveryConfig {
    /// Set when the gateway has to open a watch or poll; otherwise the list is pushed.
    pub requires_subscription: bool,
    /// The longest interval between calls of a gateway without a watch.
    pub max_poll_interval: Millis,
    /// Time from the loss of a watch until an update counts as delivered.
    pub update_delay_after_loss: Millis,
    /// Time from the start of the gateway until an update from before its start counts as delivered.
    pub update_delay_after_start: Millis,
    /// Time from the last message of a watch that missed a keepalive until an update counts as delivered.
    pub update_delay_after_silence: Millis,
    /// Time from a change of the discovery service's address until an update at the new one counts as delivered.
    pub update_delay_after_move: Millis,
    /// How long a draining endpoint still accepts attempts after its drain counts as delivered.
    pub drain_grace: Millis,
}

/// How the capacity of a started endpoint grows, and which load overloads it meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStartConfig {
    /// Share of its full capacity, above 0 and up to 1, that an endpoint has when it starts.
    pub initial_capacity: f64,
    /// Time from the start of an endpoint until it has its full capacity; the growth is linear.
    pub duration: Millis,
    /// Ratio of attempts within `overload_window` to the current capacity that overloads an endpoint.
    pub overload_multiple: f64,
    /// Length of the window over which these attempts are counted.
    pub overload_window: Millis,
}

/// Limits of the attempts that a canary may get within a sliding window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExposureConfig {
    /// Attempts allowed in each window in addition to the cap, so that a canary gets some at a low traffic.
    pub allowance: f64,
    /// Cap of canary traffic in each stage, the first stage first, as a share of requests from 0 to 1.
    pub stage_caps: Vec<f64>,
    /// Length of the sliding window over which attempts and requests are counted.
    pub window: Millis,
    /// Set when the limits apply to each class separately; otherwise they apply to all requests together.
    pub per_class: bool,
    /// The number of stages, from the first on, in which a canary gets only idempotent requests.
    pub idempotent_only_stages: u32,
    /// Set when requests with a sticky key that a canary has served may not go to an earlier version.
    pub sticky_keys: bool,
}

/// How the platform turns votes into a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VoteMode {
    /// The quorums are a small number of votes.
    #[default]
    Single,
    /// The quorums are a majority of the gateways.
    Majority,
    /// A stage passes after `auto_promote_after` unless a quorum of votes pauses it.
    Clocked,
}

/// How the platform counts votes on a version. Each quorum is a number of gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VotingConfig {
    /// Decides which of the quorums apply.
    pub mode: VoteMode,
    /// Votes required to promote a version to the next stage; may be 0 in [`VoteMode::Clocked`], where stages
    /// pass without votes.
    pub promote_quorum: u32,
    /// Votes required to pause a stage; above 0 in [`VoteMode::Clocked`].
    pub pause_quorum: u32,
    /// Votes required to roll back a version.
    pub rollback_quorum: u32,
    /// How long a vote counts unless the gateway casts it again.
    pub vote_lease: Millis,
    /// The shortest duration of a stage, whatever the votes.
    pub min_stage_duration: Millis,
    /// The duration after which a stage passes without votes; used in [`VoteMode::Clocked`] only.
    pub auto_promote_after: Millis,
    /// Time from a vote until its outcome counts as unknown because the platform has not replied.
    pub reply_timeout: Millis,
    /// Set when all baseline endpoints remain until the version is promoted.
    pub keeps_baseline: bool,
}

/// Costs of requests, in the unit of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostConfig {
    /// Cost of one request that crosses zones; above 0, routing prefers endpoints in the gateway's zone.
    pub cross_zone: f64,
}

/// Where endpoints report their own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Endpoints do not report their load.
    Disabled,
    /// Each response to an attempt contains a report.
    InResponses,
    /// Each response to a health check contains a report.
    InHealthChecks,
}

/// Connections of an adapter on sockets to endpoints and to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamConnectionConfig {
    /// Time after which endpoints close an idle connection.
    pub idle_timeout: Millis,
    /// Time within which a connection must be established; also the timeout of a health check.
    pub connect_timeout: Millis,
    /// Time from a vote until its outcome counts as unknown because the platform has not replied.
    pub vote_timeout: Millis,
    /// Set when health checks may be sent to endpoints.
    pub health_checks: bool,
    /// Which responses of endpoints contain load reports.
    pub load_reporting: LoadReporting,
}
