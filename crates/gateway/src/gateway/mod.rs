//! The gateway: owns the policy, the pending requests, the clock and the timers. Events of the drivers are passed to
//! the policy, those of one wake-up as one batch; the resulting actions are executed in the order given.
//!
//! - `event_loop`: waits for events and timers, and dispatches events and actions.
//! - `requests`: requests from their arrival to their answer.
//! - `upstream_calls`: attempts and health checks from their start to their end.
//! - `updates`: the endpoint list and the rollout state.
//! - `request_table`, `health_checks`, `rollout_tracker`, `list_confirmation`, `timers`: the state of these.

mod event_loop;
mod health_checks;
mod list_confirmation;
mod request_table;
mod requests;
mod rollout_tracker;
mod timers;
mod updates;
mod upstream_calls;

use crate::clock::Clock;
use crate::discovery::ordered_client::EndpointListClient;
use crate::net::DriverEvent;
use crate::net::discovery_tasks::DiscoveryTasks;
use crate::net::platform::Vote;
use crate::net::upstream::UpstreamPool;
use crate::readiness::ReadinessSender;
use health_checks::HealthChecks;
use latchhaven_policy::{Event, Policy, UpstreamConnectionConfig};
use list_confirmation::ListConfirmation;
use request_table::RequestTable;
use rollout_tracker::RolloutTracker;
use std::net::SocketAddr;
use timers::Timers;
use tokio::sync::mpsc;

/// The parts of a gateway.
pub struct GatewayParts {
    /// The policy.
    pub policy: Policy,
    /// The clock, shared with the drivers.
    pub clock: Clock,
    /// The connections to endpoints.
    pub pool: UpstreamPool,
    /// Timeouts and permissions of these connections.
    pub connection_config: UpstreamConnectionConfig,
    /// The address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Reports that health checks of the load balancer may be answered.
    pub readiness: ReadinessSender,
    /// Votes for the platform.
    pub votes: mpsc::Sender<Vote>,
    /// The event loop, for the results of calls for the endpoint list.
    pub events: mpsc::Sender<DriverEvent>,
}

/// The gateway's state.
pub struct Gateway {
    policy: Policy,
    clock: Clock,
    requests: RequestTable,
    health_checks: HealthChecks,
    pool: UpstreamPool,
    connection_config: UpstreamConnectionConfig,
    timers: Timers,
    /// Events caused by actions, for the next batch.
    next_events: Vec<Event>,
    rollout: RolloutTracker,
    discovery: EndpointListClient,
    discovery_tasks: DiscoveryTasks,
    readiness: ReadinessSender,
    list_confirmation: ListConfirmation,
    votes: mpsc::Sender<Vote>,
}

impl Gateway {
    /// A gateway without requests and endpoints.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Self {
        Gateway {
            policy: parts.policy,
            clock: parts.clock,
            requests: RequestTable::default(),
            health_checks: HealthChecks::default(),
            pool: parts.pool,
            connection_config: parts.connection_config,
            timers: Timers::default(),
            next_events: Vec::new(),
            rollout: RolloutTracker::default(),
            discovery: EndpointListClient::new(parts.discovery_address),
            discovery_tasks: DiscoveryTasks::new(parts.events),
            readiness: parts.readiness,
            list_confirmation: ListConfirmation::default(),
            votes: parts.votes,
        }
    }
}
