//! The queues of gateways, and the loss of one gateway.

use super::model::{HANDSHAKE_COST, LOST_AT, PAYMENT_KIND, ReconnectStyle, Work};
use super::simulation::{Simulation, StormEvent};
use latchhaven_client::call::AttemptOutcome;
use rand::RngExt;

/// The share of the payments in flight to a lost gateway that were executed.
const EXECUTED_SHARE: f64 = 0.5;

impl Simulation {
    pub(super) fn enqueue_work(&mut self, gateway: usize, work: Work) {
        let queue = &mut self.gateways[gateway].queue;
        queue.push_back(work);
        self.counts.longest_queue = self.counts.longest_queue.max(queue.len());
        self.begin_work(gateway);
    }

    /// Begins the work at the head of the queue, if the gateway is free.
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
            Work::Handshake { client, link } => {
                self.gateways[gateway].pending_handshakes -= 1;
                self.finish_handshake(client, link);
            }
            Work::Request { client, link, call } => self.finish_request(client, link, call),
        }
        self.begin_work(gateway);
    }

    fn finish_handshake(&mut self, client: usize, link: u64) {
        if !self.clients[client].links.contains_key(&link) {
            self.counts.wasted_work += self.request_work * HANDSHAKE_COST;
            return;
        }
        self.clients[client].failures = 0;
        let actions = self.clients[client].pool.on_connected(link, self.now);
        self.perform(client, actions);
    }

    fn finish_request(&mut self, client: usize, link: u64, call: u64) {
        let pending = self.calls.get(&call);
        let is_awaited = pending.is_some_and(|pending| pending.is_sent_on(link));
        // A payment is executed even if its client no longer waits.
        if pending.is_some_and(|pending| pending.kind == PAYMENT_KIND) {
            *self.counts.executions.entry(call).or_default() += 1;
        }
        if !is_awaited {
            self.counts.wasted_work += self.request_work;
            return;
        }
        self.on_attempt_ended(call, AttemptOutcome::Success);
        self.clients[client].failures = 0;
        if std::mem::take(&mut self.clients[client].is_disconnected) {
            self.counts.recovered_after.push(self.now - LOST_AT);
        }
        let actions = self.clients[client].pool.release(link, self.now);
        self.perform(client, actions);
    }

    /// The first gateway is lost, with its queue and its connections.
    pub(super) fn lose_gateway(&mut self) {
        let gateway = &mut self.gateways[0];
        gateway.is_up = false;
        gateway.incarnation += 1;
        gateway.is_busy = false;
        gateway.pending_handshakes = 0;
        gateway.queue.clear();
        for client in 0..self.clients.len() {
            let links = self.clients[client].links.iter();
            let lost: Vec<u64> = links.filter(|(_, gateway)| **gateway == 0).map(|(link, _)| *link).collect();
            for link in lost {
                self.lose_connection(client, link);
            }
        }
    }

    fn lose_connection(&mut self, client: usize, link: u64) {
        self.clients[client].links.remove(&link);
        self.clients[client].is_disconnected = true;
        self.counts.disconnected += 1;
        let mut calls = self.calls.iter();
        let sent = calls.find(|(_, call)| call.client == client && call.is_sent_on(link));
        if let Some(id) = sent.map(|(id, _)| *id) {
            self.lose_call(id);
        }
        let pool = &mut self.clients[client].pool;
        let actions = match self.style {
            ReconnectStyle::Library => pool.on_connection_lost(link, None, self.now),
            _ => pool.discard(link, self.now),
        };
        self.perform(client, actions);
        // Applications without the library reconnect even without a call.
        if self.style != ReconnectStyle::Library {
            let actions = self.clients[client].pool.acquire(u64::MAX - client as u64, 0.0, self.now);
            self.perform(client, actions);
        }
    }

    /// A call was in flight. A share of the payments was executed, and only the response was lost.
    fn lose_call(&mut self, id: u64) {
        if self.calls[&id].kind == PAYMENT_KIND && self.rng.random::<f64>() < EXECUTED_SHARE {
            *self.counts.executions.entry(id).or_default() += 1;
        }
        self.on_attempt_ended(id, AttemptOutcome::ConnectionLost);
    }
}
