//! Connection attempts and reconnects of clients.

use super::model::{
    AttemptInFlight, MAX_PENDING_HANDSHAKES, MILLIS_PER_SECOND, NETWORK_LATENCY, ReconnectStyle, Work,
};
use super::simulation::{Simulation, StormEvent};
use latchhaven_backoff::{ExponentialBackoff, Jitter};
use latchhaven_client::pool::PoolAction;
use latchhaven_policy::Millis;
use rand::RngExt;
use std::collections::VecDeque;

/// Reconnect delay of `ReconnectStyle::Immediate`.
const IMMEDIATE_DELAY: Millis = 10.0;
/// Reconnect delay of `ReconnectStyle::FixedDelay`.
const FIXED_DELAY: Millis = 1_000.0;
/// Reconnect delays of `ReconnectStyle::Exponential`: from 100 ms to 10 s, without jitter.
const EXPONENTIAL_DELAY: ExponentialBackoff = ExponentialBackoff::new(100.0, 10_000.0, Jitter::None);
/// Shortest time between two polls of a pool.
const MIN_POLL_INTERVAL: Millis = 0.1;

impl Simulation {
    /// Carries out the actions of a client's pool, and schedules the next poll of the pool. Every style uses the
    /// library's pool, but only `ReconnectStyle::Library` connects to the gateway that the pool chose: the other
    /// styles choose one at random.
    pub(super) fn perform(&mut self, client: usize, actions: Vec<PoolAction>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                PoolAction::Connect { connection, gateway } => {
                    let gateway = match self.style {
                        ReconnectStyle::Library => gateway,
                        _ => self.random_gateway(client),
                    };
                    self.connect_at(self.now, client, connection, gateway);
                }
                PoolAction::Assign { call, connection } => {
                    if !self.send_call(client, call, connection) {
                        actions.extend(self.clients[client].pool.release(connection, self.now));
                    }
                }
                PoolAction::Close { connection } => {
                    self.clients[client].gateway_by_connection.remove(&connection);
                }
                PoolAction::Reject { call } => {
                    if let Some(call) = self.calls.get_mut(&call) {
                        call.is_queued = false;
                    }
                }
            }
        }
        self.schedule_poll(client);
    }

    fn schedule_poll(&mut self, client: usize) {
        let next = self.clients[client].pool.next_poll_at();
        if next < self.clients[client].next_poll_at && next.is_finite() {
            self.clients[client].next_poll_at = next;
            self.schedule(next.max(self.now + MIN_POLL_INTERVAL), StormEvent::PollPool(client));
        }
    }

    fn random_gateway(&mut self, client: usize) -> usize {
        self.clients[client].rng.random_range(0..self.gateways.len())
    }

    fn connect_at(&mut self, at: Millis, client: usize, connection: u64, gateway: usize) {
        let second = (at / MILLIS_PER_SECOND) as u64;
        *self.counts.connects_by_second.entry(second).or_default() += 1;
        self.schedule(at + NETWORK_LATENCY, StormEvent::Connect { client, connection, gateway });
    }

    /// Sends a call on a connection. Returns `false` if the call is no longer queued or may not be attempted again.
    fn send_call(&mut self, client: usize, id: u64, connection: u64) -> bool {
        let now = self.timestamp();
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.is_queued) else { return false };
        call.is_queued = false;
        if call.call.begin_attempt(&now).is_none() {
            return false;
        }
        call.sent = Some(AttemptInFlight { sent_at: self.now, connection });
        let gateway = self.clients[client].gateway_by_connection[&connection];
        self.enqueue_work(gateway, Work::Request { client, connection, call: id });
        true
    }

    /// Handles a connection attempt that reached a gateway: begins the handshake, or refuses the connection if the
    /// gateway is down or has too many handshakes pending.
    pub(super) fn on_connect(&mut self, client: usize, connection: u64, gateway: usize) {
        let target = &mut self.gateways[gateway];
        if !target.is_up || target.pending_handshakes >= MAX_PENDING_HANDSHAKES {
            return self.on_connect_failed(client, connection);
        }
        target.pending_handshakes += 1;
        self.clients[client].gateway_by_connection.insert(connection, gateway);
        self.enqueue_work(gateway, Work::Handshake { client, connection });
    }

    /// Handles a failed connection attempt. The library's pool applies its own backoff; for the other styles the
    /// delay of the style is applied here.
    fn on_connect_failed(&mut self, client: usize, connection: u64) {
        let state = &mut self.clients[client];
        state.gateway_by_connection.remove(&connection);
        state.failures += 1;
        if self.style == ReconnectStyle::Library {
            let actions = state.pool.on_connect_failed(connection, self.now);
            return self.perform(client, actions);
        }
        // After `discard` the pool connects again without a delay: the delay of the style is added here.
        let actions = state.pool.discard(connection, self.now);
        let delay = self.reconnect_delay(client);
        for action in actions {
            if let PoolAction::Connect { connection, .. } = action {
                let gateway = self.random_gateway(client);
                self.connect_at(self.now + delay, client, connection, gateway);
            } else {
                self.perform(client, vec![action]);
            }
        }
    }

    /// Delay of the style before the next attempt; 0 for the library, whose pool applies its own backoff.
    pub(super) fn reconnect_delay(&self, client: usize) -> Millis {
        match self.style {
            ReconnectStyle::Library => 0.0,
            ReconnectStyle::Immediate => IMMEDIATE_DELAY,
            ReconnectStyle::FixedDelay => FIXED_DELAY,
            ReconnectStyle::Exponential => EXPONENTIAL_DELAY.upper_bound(self.clients[client].failures),
        }
    }
}
