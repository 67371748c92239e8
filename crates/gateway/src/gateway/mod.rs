//! The gateway: owns the decisions, the pending requests, the clock and the timers. Events of the drivers go to the
//! decisions, those of one wake-up in one batch; actions are carried out in the order given.
//!
//! - `event_loop`: waits for events and timers, and dispatches events and actions.
//! - `requests`: requests from their arrival to their answer.
//! - `upstream_calls`: attempts and health checks from their start to their end.
//! - `updates`: the endpoint list and the rollout's state.
//! - `request_table`, `rollout_tracker`, `list_confirmation`, `timers`: the state that belongs together.

mod event_loop;
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
use latchhaven_policy::{Event, Policy, UpstreamConnectionConfig};
use list_confirmation::ListConfirmation;
use request_table::RequestTable;
use rollout_tracker::RolloutTracker;
use std::net::SocketAddr;
use timers::Timers;
use tokio::sync::mpsc;
use upstream_calls::HealthChecks;

/// What a gateway is made of.
pub struct GatewayParts {
    /// The decisions.
    pub policy: Policy,
    /// The clock that the drivers use as well.
    pub clock: Clock,
    /// The connections to endpoints.
    pub pool: UpstreamPool,
    /// What is permitted on these.
    pub connections: UpstreamConnectionConfig,
    /// The discovery service.
    pub discovery_address: SocketAddr,
    /// Tells clients that the gateway is ready.
    pub readiness: ReadinessSender,
    /// Votes for the platform.
    pub votes: mpsc::Sender<Vote>,
    /// Where calls for the endpoint list send their answers.
    pub events: mpsc::Sender<DriverEvent>,
}

/// The gateway's state.
pub struct Gateway {
    policy: Policy,
    clock: Clock,
    requests: RequestTable,
    health_checks: HealthChecks,
    pool: UpstreamPool,
    connections: UpstreamConnectionConfig,
    timers: Timers,
    /// Events that actions brought about, for the next batch.
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
    pub fn new(parts: GatewayParts) -> Self {
        Gateway {
            policy: parts.policy,
            clock: parts.clock,
            requests: RequestTable::default(),
            health_checks: HealthChecks::default(),
            pool: parts.pool,
            connections: parts.connections,
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
