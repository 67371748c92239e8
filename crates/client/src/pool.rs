//! Which connections are opened, retained and closed, and which call gets one. Pure: a driver carries out the actions.
//!
//! Problem: when a gateway is lost, all its processes lose it simultaneously and would overload the next one. Method:
//! each process prefers gateways by random ranks of its own, and reconnects, to the same gateway or to the next by
//! rank, after a random delay; first with a single connection, and with more once that one has carried an answer.

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

/// What the driver carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Open a connection.
    Connect {
        /// The id of the new connection.
        connection: u64,
        /// The index of the gateway.
        gateway: usize,
    },
    /// Assign a connection to a call.
    Assign {
        /// The call.
        call: u64,
        /// The connection.
        connection: u64,
    },
    /// Close an idle connection.
    Close {
        /// The connection.
        connection: u64,
    },
    /// Reject a call: the queue is full.
    Reject {
        /// The call.
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
    /// Monotonic time in ms after which it is closed as soon as it is idle.
    expires_at: Millis,
}

impl Connection {
    fn idle_since(&self) -> Option<Millis> {
        match self.state {
            ConnectionState::IdleSince(since) => Some(since),
            ConnectionState::Connecting | ConnectionState::Busy => None,
        }
    }
}

/// The connections of one process, and the calls that are queued for one.
#[derive(Clone, Debug)]
pub struct Pool {
    limits: PoolLimits,
    gateways: Vec<Gateway>,
    connections: BTreeMap<u64, Connection>,
    queue: CallQueue,
    /// The last id that was assigned, to a connection or to an entry of the queue.
    last_id: u64,
    rng: Pcg64Mcg,
    /// Monotonic time in ms before which no gateway is connected to: one was just lost.
    reconnect_at: Millis,
}

impl Pool {
    /// A pool for this number of gateways; the seed determines their ranks and all delays.
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
            reconnect_at: f64::NEG_INFINITY,
        }
    }

    /// Queues a call for a connection. Where the queue is full, the call with the lowest priority is rejected.
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

    /// Removes a call from the queue.
    pub fn cancel_acquire(&mut self, call: u64) {
        self.queue.remove(call);
    }

    /// A connection was established.
    pub fn on_connected(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        let lifetime = rules::connection_lifetime(self.limits.max_age, &mut self.rng);
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.state = ConnectionState::IdleSince(now);
            connection.expires_at = now + lifetime;
        }
        self.poll(now)
    }

    /// A connection could not be established.
    pub fn on_connect_failed(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        if let Some(connection) = self.connections.remove(&connection) {
            self.gateway_failed(connection.gateway, None, now);
        }
        self.poll(now)
    }

    /// A call got its answer on a connection, which may be used again.
    pub fn release(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.state = ConnectionState::IdleSince(now);
            self.gateways[connection.gateway].on_answer(now);
        }
        self.poll(now)
    }

    /// A call got no answer on a connection before its timeout, and the connection was closed.
    pub fn on_timeout(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        if let Some(connection) = self.connections.remove(&connection) {
            let gateway = &mut self.gateways[connection.gateway];
            gateway.consecutive_timeouts += 1;
            if rules::is_lost_after(gateway.consecutive_timeouts) {
                self.gateway_failed(connection.gateway, None, now);
            }
        }
        self.poll(now)
    }

    /// A connection was closed without a failure of the gateway.
    pub fn discard(&mut self, connection: u64, now: Millis) -> Vec<PoolAction> {
        self.connections.remove(&connection);
        self.poll(now)
    }

    /// A connection broke. Where a call used it, its gateway counts as lost; a gateway may close idle ones.
    /// `reconnecting_clients`: how many reconnect, where the gateway reported it.
    pub fn on_connection_lost(
        &mut self, connection: u64, reconnecting_clients: Option<u64>, now: Millis,
    ) -> Vec<PoolAction> {
        let Some(connection) = self.connections.remove(&connection) else { return Vec::new() };
        if connection.state == ConnectionState::Busy {
            self.gateway_failed(connection.gateway, reconnecting_clients, now);
        }
        self.poll(now)
    }

    fn gateway_failed(&mut self, gateway: usize, reconnecting_clients: Option<u64>, now: Millis) {
        let gateway = &mut self.gateways[gateway];
        // All connections to a lost gateway break: they count as one failure.
        if gateway.retry_at > now {
            return;
        }
        gateway.on_failure(now);
        let reconnect_spread = rules::reconnect_spread(reconnecting_clients);
        gateway.retry_at = now + rules::reconnect_delay(gateway.failures, reconnect_spread, &mut self.rng);
        let move_at = now + rules::move_delay(reconnect_spread, &mut self.rng);
        self.reconnect_at = self.reconnect_at.max(move_at);
    }

    /// Closes, assigns and opens connections. The driver calls this at [`Pool::next_poll_at`] at the latest.
    pub fn poll(&mut self, now: Millis) -> Vec<PoolAction> {
        let mut actions = self.close_expired(now);
        self.assign_idle(&mut actions);
        self.connect_for_queued(now, &mut actions);
        actions
    }

    fn close_expired(&mut self, now: Millis) -> Vec<PoolAction> {
        let idle_timeout = self.limits.idle_timeout;
        let is_expired = |connection: &Connection| {
            connection
                .idle_since()
                .is_some_and(|since| now - since >= idle_timeout || now >= connection.expires_at)
        };
        let mut actions = Vec::new();
        self.connections.retain(|&id, connection| {
            let expired = is_expired(connection);
            if expired {
                actions.push(PoolAction::Close { connection: id });
            }
            !expired
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

    /// The idle connection that was used last, so that the others reach their idle timeout.
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

    /// Gateways that may be connected to once their `retry_at` has passed. Half open: after a failure a gateway gets a
    /// single connection until it has answered.
    fn available_gateways(&self) -> impl Iterator<Item = (usize, &Gateway)> {
        let in_use: BTreeSet<usize> =
            self.connections.values().map(|connection| connection.gateway).collect();
        let is_available =
            move |(index, gateway): &(usize, &Gateway)| !gateway.is_unproven() || !in_use.contains(index);
        self.gateways.iter().enumerate().filter(is_available)
    }

    /// Opens connections for queued calls within the limits, to the first available gateway by rank.
    fn connect_for_queued(&mut self, now: Millis, actions: &mut Vec<PoolAction>) {
        while self.needs_connection() && now >= self.reconnect_at {
            let due = self.available_gateways().filter(|(_, gateway)| gateway.retry_at <= now);
            let first = due.min_by(|(_, left), (_, right)| left.rank.total_cmp(&right.rank));
            let Some((gateway, _)) = first else { return };
            self.last_id += 1;
            let connection = self.last_id;
            let state = ConnectionState::Connecting;
            self.connections.insert(connection, Connection { gateway, state, expires_at: f64::INFINITY });
            actions.push(PoolAction::Connect { connection, gateway });
        }
    }

    /// Monotonic time in ms at which [`Pool::poll`] must be called at the latest.
    #[must_use]
    pub fn next_poll_at(&self) -> Millis {
        // Where no connection may be opened, or a gateway's only one has not answered yet, an event leads to the next
        // step.
        let mut next_poll_at = f64::INFINITY;
        if self.needs_connection() {
            for (_, gateway) in self.available_gateways() {
                next_poll_at = gateway.retry_at.max(self.reconnect_at).min(next_poll_at);
            }
        }
        for connection in self.connections.values() {
            if let Some(since) = connection.idle_since() {
                let closes_at = (since + self.limits.idle_timeout).min(connection.expires_at);
                next_poll_at = next_poll_at.min(closes_at);
            }
        }
        next_poll_at
    }

    /// Connections that are open or being opened.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Calls that are queued for a connection.
    #[must_use]
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }
}
