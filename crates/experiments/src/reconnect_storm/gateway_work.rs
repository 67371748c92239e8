//! The work queues of gateways, and the loss of one gateway.

use super::model::{GATEWAY_LOST_AT, HANDSHAKE_COST, PAYMENT_KIND, ReconnectStyle, Work};
use super::simulation::{Simulation, StormEvent};
use latchhaven_client::call::AttemptOutcome;
use rand::RngExt;

/// Probability that a payment in flight to the lost gateway was executed, although its response was lost.
const EXECUTED_SHARE: f64 = 0.5;

impl Simulation {
    pub(super) fn enqueue_work(&mut self, gateway: usize, work: Work) {
        let queue = &mut self.gateways[gateway].queue;
        queue.push_back(work);
        self.counts.longest_queue = self.counts.longest_queue.max(queue.len());
        self.begin_work(gateway);
    }

    /// Begins the work at the head of the queue, if the gateway is up and not busy.
    fn begin_work(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        if gateway.is_busy || !gateway.is_up {
            return;
        }
        let Some(work) = gateway.queue.front() else { return };
        gateway.is_busy = true;
        let cost = if matches!(work, Work::Handshake { .. }) { HANDSHAKE_COST } else { 1.0 };
        let duration = self.request_work * cost;
        let incarnation = gateway.incarnation;
        self.counts.work += duration;
        self.schedule(self.now + duration, StormEvent::FinishWork { gateway: index, incarnation });
    }

    pub(super) fn finish_work(&mut self, gateway: usize, incarnation: u64) {
        if self.gateways[gateway].incarnation != incarnation {
            return;
        }
        self.gateways[gateway].is_busy = false;
        let Some(work) = self.gateways[gateway].queue.pop_front() else { return };
        match work {
            Work::Handshake { client, connection } => {
                self.gateways[gateway].pending_handshakes -= 1;
                self.finish_handshake(client, connection);
            }
            Work::Request { client, connection, call } => self.finish_request(client, connection, call),
        }
        self.begin_work(gateway);
    }

    fn finish_handshake(&mut self, client: usize, connection: u64) {
        if !self.clients[client].gateway_by_connection.contains_key(&connection) {
            self.counts.wasted_work += self.request_work * HANDSHAKE_COST;
            return;
        }
        self.clients[client].failures = 0;
        let actions = self.clients[client].pool.on_connected(connection, self.now);
        self.perform(client, actions);
    }

    fn finish_request(&mut self, client: usize, connection: u64, call: u64) {
        let pending = self.calls.get(&call);
        let has_waiting_client = pending.is_some_and(|pending| pending.is_in_flight_on(connection));
        // A gateway executes a payment even if the call has timed out at its client.
        if pending.is_some_and(|pending| pending.kind == PAYMENT_KIND) {
            *self.counts.executions.entry(call).or_default() += 1;
        }
        if !has_waiting_client {
            self.counts.wasted_work += self.request_work;
            return;
        }
        self.on_attempt_ended(call, AttemptOutcome::Success);
        self.clients[client].failures = 0;
        if std::mem::take(&mut self.clients[client].is_disconnected) {
            self.counts.recovered_after.push(self.now - GATEWAY_LOST_AT);
        }
        let actions = self.clients[client].pool.release(connection, self.now);
        self.perform(client, actions);
    }

    /// Takes down the first gateway, which loses its queue and its connections.
    pub(super) fn lose_gateway(&mut self) {
        let gateway = &mut self.gateways[0];
        gateway.is_up = false;
        gateway.incarnation += 1;
        gateway.is_busy = false;
        gateway.pending_handshakes = 0;
        gateway.queue.clear();
        for client in 0..self.clients.len() {
            let gateway_by_connection = self.clients[client].gateway_by_connection.iter();
            let lost: Vec<u64> = gateway_by_connection
                .filter(|(_, gateway)| **gateway == 0)
                .map(|(connection, _)| *connection)
                .collect();
            for connection in lost {
                self.lose_connection(client, connection);
            }
        }
    }

    fn lose_connection(&mut self, client: usize, connection: u64) {
        self.clients[client].gateway_by_connection.remove(&connection);
        self.clients[client].is_disconnected = true;
        self.counts.disconnected += 1;
        let mut calls = self.calls.iter();
        let sent = calls.find(|(_, call)| call.client == client && call.is_in_flight_on(connection));
        if let Some(id) = sent.map(|(id, _)| *id) {
            self.lose_call(id);
        }
        let pool = &mut self.clients[client].pool;
        let actions = match self.style {
            ReconnectStyle::Library => pool.on_connection_lost(connection, None, self.now),
            _ => pool.discard(connection, self.now),
        };
        self.perform(client, actions);
        // Applications without the library reconnect even without a call. The id of this acquisition belongs to no
        // call, so the connection is released as soon as the pool assigns it.
        if self.style != ReconnectStyle::Library {
            let actions = self.clients[client].pool.acquire(u64::MAX - client as u64, 0.0, self.now);
            self.perform(client, actions);
        }
    }

    /// Fails the attempt of a call that was in flight on a lost connection. A payment may have been executed before.
    fn lose_call(&mut self, id: u64) {
        if self.calls[&id].kind == PAYMENT_KIND && self.rng.random::<f64>() < EXECUTED_SHARE {
            *self.counts.executions.entry(id).or_default() += 1;
        }
        self.on_attempt_ended(id, AttemptOutcome::ConnectionLost);
    }
}
