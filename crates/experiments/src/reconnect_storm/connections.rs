//! Connecting and reconnecting clients.

use super::model::{
    MAX_PENDING_HANDSHAKES, MILLIS_PER_SECOND, NETWORK_LATENCY, ReconnectStyle, SentAttempt, Work,
};
use super::simulation::{Simulation, StormEvent};
use latchhaven_backoff::{ExponentialBackoff, Jitter};
use latchhaven_client::pool::PoolAction;
use latchhaven_policy::Millis;
use rand::RngExt;
use std::collections::VecDeque;

/// The delay of immediate reconnects, in ms.
const IMMEDIATE_DELAY: Millis = 10.0;
/// The fixed delay, in ms.
const FIXED_DELAY: Millis = 1_000.0;
/// The exponential delay without jitter: 100 ms to 10 s.
const EXPONENTIAL_DELAY: ExponentialBackoff = ExponentialBackoff::new(100.0, 10_000.0, Jitter::None);
/// The shortest time between two polls of a pool, in ms.
const MIN_POLL_INTERVAL: Millis = 0.1;

impl Simulation {
    /// Carries out actions of a client's pool, and schedules its next poll. All styles use the library's pool; the
    /// other styles choose a random gateway.
    pub(super) fn perform(&mut self, client: usize, actions: Vec<PoolAction>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                PoolAction::Connect { connection: link, gateway } => {
                    let gateway = match self.style {
                        ReconnectStyle::Library => gateway,
                        _ => self.random_gateway(client),
                    };
                    self.connect_at(self.now, client, link, gateway);
                }
                PoolAction::Assign { call, connection: link } => {
                    if !self.send_call(client, call, link) {
                        actions.extend(self.clients[client].pool.release(link, self.now));
                    }
                }
                PoolAction::Close { connection: link } => {
                    self.clients[client].links.remove(&link);
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

    fn connect_at(&mut self, at: Millis, client: usize, link: u64, gateway: usize) {
        let second = (at / MILLIS_PER_SECOND) as u64;
        *self.counts.connects_by_second.entry(second).or_default() += 1;
        self.schedule(at + NETWORK_LATENCY, StormEvent::Connect { client, link, gateway });
    }

    /// Sends a call on a connection; false if it must not be sent any more.
    fn send_call(&mut self, client: usize, id: u64, link: u64) -> bool {
        let now = self.timestamp();
        let Some(call) = self.calls.get_mut(&id).filter(|call| call.is_queued) else { return false };
        call.is_queued = false;
        if call.call.begin_attempt(&now).is_none() {
            return false;
        }
        call.sent = Some(SentAttempt { at: self.now, link });
        let gateway = self.clients[client].links[&link];
        self.enqueue_work(gateway, Work::Request { client, link, call: id });
        true
    }

    /// A connection attempt reaches a gateway.
    pub(super) fn on_connect(&mut self, client: usize, link: u64, gateway: usize) {
        let target = &mut self.gateways[gateway];
        if !target.is_up || target.pending_handshakes >= MAX_PENDING_HANDSHAKES {
            return self.on_connect_failed(client, link);
        }
        target.pending_handshakes += 1;
        self.clients[client].links.insert(link, gateway);
        self.enqueue_work(gateway, Work::Handshake { client, link });
    }

    /// A connection attempt failed. The library's pool has its own delay; the other styles use theirs.
    fn on_connect_failed(&mut self, client: usize, link: u64) {
        let state = &mut self.clients[client];
        state.links.remove(&link);
        state.failures += 1;
        if self.style == ReconnectStyle::Library {
            let actions = state.pool.on_connect_failed(link, self.now);
            return self.perform(client, actions);
        }
        // The pool would connect immediately: the delay of the style is added.
        let actions = state.pool.discard(link, self.now);
        let delay = self.reconnect_delay(client);
        for action in actions {
            if let PoolAction::Connect { connection: link, .. } = action {
                let gateway = self.random_gateway(client);
                self.connect_at(self.now + delay, client, link, gateway);
            } else {
                self.perform(client, vec![action]);
            }
        }
    }

    /// The delay of a style before the next attempt, in ms.
    pub(super) fn reconnect_delay(&self, client: usize) -> Millis {
        match self.style {
            ReconnectStyle::Library => 0.0,
            ReconnectStyle::Immediate => IMMEDIATE_DELAY,
            ReconnectStyle::FixedDelay => FIXED_DELAY,
            ReconnectStyle::Exponential => EXPONENTIAL_DELAY.upper_bound(self.clients[client].failures),
        }
    }
}
