//! The event loop, which owns the policy, the requests, the clock and the timers. All events that the drivers sent
//! before a wake-up are passed to the policy as one batch. The resulting actions are executed in the order in which the
//! policy returns them.
//!
//! - `event_loop`: waits for events and timers, and dispatches events and actions.
//! - `requests`: requests from their arrival to their final response.
//! - `upstream_calls`: attempts and health checks from their start to their outcome.
//! - `updates`: the endpoint list and the rollout state.
//! - `request_table`, `health_checks`, `rollout_tracker`, `list_confirmation`, `timers`: the state of these modules.

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

/// What a [`Gateway`] is created from.
pub struct GatewayParts {
    /// Makes the routing and voting decisions.
    pub policy: Policy,
    /// The clock that the drivers use as well.
    pub clock: Clock,
    /// Opens and reuses connections to endpoints. Reports to the event loop.
    pub pool: UpstreamPool,
    /// Timeouts of these connections, and the operator's settings for health checks and load reports.
    pub connection_config: UpstreamConnectionConfig,
    /// Where the endpoint list is requested, until [`DriverEvent::DiscoveryMoved`] reports another address.
    pub discovery_address: SocketAddr,
    /// Notified when the endpoint list is confirmed.
    pub readiness: ReadinessSender,
    /// Passes votes to the task that casts them.
    pub votes: mpsc::Sender<Vote>,
    /// Passes the results of calls for the endpoint list to the event loop.
    pub events: mpsc::Sender<DriverEvent>,
}

/// The event loop and its state. Started with [`Gateway::run`].
pub struct Gateway {
    policy: Policy,
    clock: Clock,
    requests: RequestTable,
    health_checks: HealthChecks,
    pool: UpstreamPool,
    connection_config: UpstreamConnectionConfig,
    timers: Timers,
    /// Events that result from actions of the current batch. Passed to the policy in the next batch.
    next_events: Vec<Event>,
    rollout: RolloutTracker,
    discovery: EndpointListClient,
    discovery_tasks: DiscoveryTasks,
    readiness: ReadinessSender,
    list_confirmation: ListConfirmation,
    votes: mpsc::Sender<Vote>,
}

impl Gateway {
    /// Creates a gateway without requests and endpoints.
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
