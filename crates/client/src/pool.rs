//! The connection pool: decides which connections are opened and closed, and which call gets one. Pure: a driver
//! executes the actions and passes the current monotonic time.
//!
//! Problem: when a gateway is lost, all processes connected to it lose it simultaneously, and would overload the
//! gateway that they connect to next. Method: each process ranks the gateways in a random order of its own, and
//! reconnects after a random delay, to the same gateway or to the next by rank. A gateway that failed gets a single
//! connection, and further ones once a response has arrived on it.

mod gateway;
mod queue;

use crate::rules;
use crate::time::Millis;
use gateway::Gateway;
use queue::CallQueue;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub use crate::rules::PoolLimits;

/// An action that the driver executes, in the order returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Open a connection, then call [`Pool::on_connected`] or [`Pool::on_connect_failed`].
    Connect {
        /// The id that the pool has given to the new connection.
        connection: u64,
        /// The index of the gateway in the configured list, from 0.
        gateway: usize,
    },
    /// Assign an idle connection to a queued call. Once the call no longer uses it, call [`Pool::release`],
    /// [`Pool::on_timeout`], [`Pool::on_connection_lost`] or [`Pool::discard`].
    Assign {
        /// The id that the caller passed to [`Pool::acquire`].
        call: u64,
        /// The id of the connection, from [`PoolAction::Connect`].
        connection: u64,
    },
    /// Close an idle connection that has expired; the pool has already removed it.
    Close {
        /// The id of the connection, from [`PoolAction::Connect`].
        connection: u64,
    },
    /// Reject a queued call because the queue is full; the pool has already removed it.
    Reject {
        /// The id that the caller passed to [`Pool::acquire`].
        call: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionState {
    Connecting,
    IdleSince(Millis),
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    gateway: usize,
    state: ConnectionState,
    /// The monotonic time at which the connection is closed as soon as it is idle; `None` until it is established.
    expires_at: Option<Millis>,
}

impl Connection {
    fn idle_since(&self) -> Option<Millis> {
        match self.state {
            ConnectionState::IdleSince(since) => Some(since),
            ConnectionState::Connecting | ConnectionState::Busy => None,
        }
    }
}

/// The connections of one process, and the calls that are queued for a connection. All times are monotonic.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: PoolLimits,
    gateways: Vec<Gateway>,
    connections: BTreeMap<u64, Connection>,
    queue: CallQueue,
    /// The last id given to a connection, or sequence number given to a queued call.
    last_id: u64,
    rng: Pcg64Mcg,
    /// No connection to any gateway is opened before this monotonic time; `None` until a gateway is lost.
    reconnect_at: Option<Millis>,
}

impl Pool {
    /// Creates a pool without connections. The seed determines the ranks of the gateways and all delays: each process
    /// needs its own, otherwise processes reconnect simultaneously.
    #[must_use]
    pub fn new(gateway_count: usize, limits: PoolLimits, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let gateways = (0..gateway_count).map(|_| Gateway::with_rank(rng.random())).collect();
        Pool {
            limits,
            gateways,
            connections: BTreeMap::new(),
            queue: CallQueue::default(),
            last_id: 0,
            rng,
            reconnect_at: None,
        }
    }

    /// Queues a call for a connection. If the queue is full, rejects the queued call with the lowest priority.
    /// `call` is unique; calls with a higher `priority_weight` get a connection first. The call gets
    /// [`PoolAction::Assign`] or [`PoolAction::Reject`], now or from a later method.
    pub fn acquire(&mut self, call: u64, priority_weight: f64, now: Millis) -> Vec<PoolAction> {
        self.last_id += 1;
        self.queue.push(call, priority_weight, self.last_id);
        let mut actions = Vec::new();
        if self.queue.len() > self.limits.max_queued_calls
            && let Some(call) = self.queue.remove_lowest_priority()
        {
            actions.push(PoolAction::Reject { call });
        }
        actions.extend(self.poll(now));
        actions
    }

    /// Removes a call from the queue; no effect if the call is not queued.
    pub fn cancel_acquire(&mut self, call: u64) {
        self.queue.remove(call);
    }

    /// Called when a connection was established: the gateway is ready for a query.
    pub fn on_connected(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        let lifetime = rules::connection_lifetime(self.limits.max_age, &mut self.rng);
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.state = ConnectionState::IdleSince(now);
            connection.expires_at = Some(now + lifetime);
        }
        self.poll(now)
    }

    /// Called when a connection could not be established: the gateway counts as lost.
    pub fn on_connect_failed(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        if let Some(connection) = self.connections.remove(&connection) {
            self.on_gateway_lost(connection.gateway, None, now);
        }
        self.poll(now)
    }

    /// Called when a call no longer uses a connection and another call may use it. Counts as a response of the gateway.
    pub fn release(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.state = ConnectionState::IdleSince(now);
            self.gateways[connection.gateway].on_response(now);
        }
        self.poll(now)
    }

    /// Called when a call received no response before its deadline, and its connection was closed. The gateway counts
    /// as lost after two consecutive timeouts.
    pub fn on_timeout(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        if let Some(connection) = self.connections.remove(&connection) {
            let gateway = &mut self.gateways[connection.gateway];
            gateway.consecutive_timeouts += 1;
            if rules::is_lost_after(gateway.consecutive_timeouts) {
                self.on_gateway_lost(connection.gateway, None, now);
            }
        }
        self.poll(now)
    }

    /// Called when a connection was closed for a reason that is no failure of the gateway, such as a cancelled call.
    pub fn discard(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        self.connections.remove(&connection);
        self.poll(now)
    }

    /// Called when a connection broke. If a call used the connection, the gateway counts as lost; gateways close idle
    /// connections without a failure.
    ///
    /// The delay of a reconnect grows with `reconnecting_clients`, the number of clients that reconnect simultaneously;
    /// `None` if the gateway did not report it.
    pub fn on_connection_lost(
        &mut self, connection: u64, reconnecting_clients: Option<u64>, now: Millis,
    ) -> Vec<PoolAction> {
        let Some(connection) = self.connections.remove(&connection) else { return Vec::new() };
        if connection.state == ConnectionState::Busy {
            self.on_gateway_lost(connection.gateway, reconnecting_clients, now);
        }
        self.poll(now)
    }

    fn on_gateway_lost(&mut self, gateway: usize, reconnecting_clients: Option<u64>, now: Millis) {
        let gateway = &mut self.gateways[gateway];
        // All connections to a lost gateway break simultaneously; they count as one failure.
        if gateway.retry_at > now {
            return;
        }
        gateway.on_failure(now);
        let reconnect_spread = rules::reconnect_spread(reconnecting_clients);
        gateway.retry_at =
            now + rules::reconnect_delay(gateway.consecutive_failures, reconnect_spread, &mut self.rng);
        let failover_at = now + rules::failover_delay(reconnect_spread, &mut self.rng);
        self.reconnect_at = Some(self.reconnect_at.map_or(failover_at, |at| at.max(failover_at)));
    }

    /// Closes, assigns and opens connections as is due at `now`. Called at [`Pool::next_poll_at`] at the latest.
    pub fn poll(&mut self, now: Millis) -> Vec<PoolAction> {
        let mut actions = self.close_expired(now);
        self.assign_idle(&mut actions);
        self.connect_for_queued(now, &mut actions);
        actions
    }

    fn close_expired(&mut self, now: Millis) -> Vec<PoolAction> {
        let idle_timeout = self.limits.idle_timeout;
        let is_expired = |connection: &Connection| {
            let is_too_old = connection.expires_at.is_some_and(|expires_at| now >= expires_at);
            connection.idle_since().is_some_and(|since| now - since >= idle_timeout || is_too_old)
        };
        let mut actions = Vec::new();
        self.connections.retain(|&id, connection| {
            let is_expired = is_expired(connection);
            if is_expired {
                actions.push(PoolAction::Close { connection: id });
            }
            !is_expired
        });
        actions
    }

    fn assign_idle(&mut self, actions: &mut Vec<PoolAction>) {
        while let Some(id) = self.last_used_idle() {
            let Some(call) = self.queue.pop() else { return };
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.state = ConnectionState::Busy;
            }
            actions.push(PoolAction::Assign { call, connection: id });
        }
    }

    /// Returns the idle connection that was used last: connections in excess of the load reach their idle timeout.
    fn last_used_idle(&self) -> Option<u64> {
        let idle =
            self.connections.iter().filter_map(|(id, connection)| Some((*id, connection.idle_since()?)));
        let (id, _) = idle.max_by(|left, right| left.1.total_cmp(&right.1))?;
        Some(id)
    }

    fn needs_connection(&self) -> bool {
        let is_connecting = |connection: &&Connection| connection.state == ConnectionState::Connecting;
        let connecting = self.connections.values().filter(is_connecting).count();
        rules::needs_connection(&self.limits, connecting, self.connections.len(), self.queue.len())
    }

    /// Returns the gateways to which a connection may be opened once their `retry_at` has passed. As with a half-open
    /// circuit breaker, a gateway that failed gets a single connection until it has responded.
    fn available_gateways(&self) -> impl Iterator<Item = (usize, &Gateway)> {
        let in_use: BTreeSet<usize> =
            self.connections.values().map(|connection| connection.gateway).collect();
        let is_available = move |(index, gateway): &(usize, &Gateway)| {
            !gateway.has_failed_since_response() || !in_use.contains(index)
        };
        self.gateways.iter().enumerate().filter(is_available)
    }

    /// Opens connections for queued calls within the limits, to the first available gateway by rank.
    fn connect_for_queued(&mut self, now: Millis, actions: &mut Vec<PoolAction>) {
        while self.needs_connection() && self.reconnect_at.is_none_or(|reconnect_at| now >= reconnect_at) {
            let due = self.available_gateways().filter(|(_, gateway)| gateway.retry_at <= now);
            let first = due.min_by(|(_, left), (_, right)| left.rank.total_cmp(&right.rank));
            let Some((gateway, _)) = first else { return };
            self.last_id += 1;
            let connection = self.last_id;
            let state = ConnectionState::Connecting;
            self.connections.insert(connection, Connection { gateway, state, expires_at: None });
            actions.push(PoolAction::Connect { connection, gateway });
        }
    }

    /// The monotonic time at which [`Pool::poll`] must be called at the latest; infinite if nothing is due before the
    /// next call of another method.
    #[must_use]
    pub fn next_poll_at(&self) -> Millis {
        // If no connection may be opened, or none before the response on the only connection to a gateway that failed,
        // the next action follows from an event and not from time.
        let mut next_poll_at = f64::INFINITY;
        if self.needs_connection() {
            for (_, gateway) in self.available_gateways() {
                let connect_at = self.reconnect_at.map_or(gateway.retry_at, |at| at.max(gateway.retry_at));
                next_poll_at = connect_at.min(next_poll_at);
            }
        }
        for connection in self.connections.values() {
            if let Some(since) = connection.idle_since() {
                let times_out_at = since + self.limits.idle_timeout;
                let closes_at = connection.expires_at.map_or(times_out_at, |at| at.min(times_out_at));
                next_poll_at = next_poll_at.min(closes_at);
            }
        }
        next_poll_at
    }

    /// The number of connections that are open or being opened.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The number of calls that are queued for a connection.
    #[must_use]
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }
}
