//! The event loop of one simulation: calls, their attempts and outcomes.

use super::model::{
    CALL_KINDS, CALL_TIMEOUT, CALLS_PER_SECOND, Client, Counts, GATEWAY_LOST_AT, GATEWAY_RESTORED_AT,
    Gateway, LATENCY_OBJECTIVE, MILLIS_PER_SECOND, MIN_REQUEST_TIME, PAYMENT_KIND, PendingCall,
    ReconnectStyle,
};
use super::sizes::Sizes;
use crate::event_queue::EventQueue;
use latchhaven_client::call::{AttemptOutcome, Call, CallOutcome, Idempotency, NextStep};
use latchhaven_client::pool::{Pool, PoolLimits};
use latchhaven_client::retry_budget::RetryBudget;
use latchhaven_client::time::Timestamp;
use latchhaven_policy::Millis;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Wall clock at the start; constant, so that runs are reproducible.
const WALL_CLOCK_START: Millis = 1e12;
/// Limits of each client's pool.
const POOL_LIMITS: PoolLimits = PoolLimits {
    max_connections: 1,
    max_connecting: 1,
    max_queued_calls: 16,
    idle_timeout: 30_000.0,
    max_age: 600_000.0,
};
/// Multiplier of the seed, so that the random numbers of pools and clients are independent.
const POOL_SEED_FACTOR: u64 = 1_000_003;
/// Bits by which the number of a client is shifted to form its seed.
const CLIENT_SEED_SHIFT: u32 = 20;

/// An event in simulated time.
#[derive(Clone, Copy, Debug)]
pub(super) enum StormEvent {
    /// A client starts its next call.
    StartCall(usize),
    /// The backoff of a call is over.
    AttemptCall(u64),
    /// The scheduled poll of a client's pool is due.
    PollPool(usize),
    /// A gateway has finished the work at the head of its queue.
    FinishWork { gateway: usize, incarnation: u64 },
    /// A client's connection attempt reaches a gateway.
    Connect { client: usize, connection: u64, gateway: usize },
    /// The timeout of a call has passed; without effect if the call has finished.
    CallTimeout(u64),
    /// The first gateway goes down.
    LoseGateway,
    /// The first gateway accepts connections again.
    RestoreGateway,
}

/// The state of one simulation, in one reconnect style.
pub(super) struct Simulation {
    pub(super) style: ReconnectStyle,
    pub(super) now: Millis,
    pub(super) gateways: Vec<Gateway>,
    pub(super) clients: Vec<Client>,
    pub(super) calls: BTreeMap<u64, PendingCall>,
    /// Time that a gateway works on one request.
    pub(super) request_work: Millis,
    pub(super) rng: Pcg64Mcg,
    pub(super) counts: Counts,
    events: EventQueue<StormEvent>,
    last_call_id: u64,
}

impl Simulation {
    pub(super) fn new(style: ReconnectStyle, sizes: &Sizes) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(sizes.seed);
        let clients: Vec<Client> = (0..sizes.clients).map(|index| new_client(index, sizes)).collect();
        let requested_per_second = CALLS_PER_SECOND * sizes.clients as f64;
        let request_work = MILLIS_PER_SECOND * sizes.load * sizes.gateways as f64 / requested_per_second;
        let first_call = 0.0..MILLIS_PER_SECOND / CALLS_PER_SECOND;
        let starts: Vec<Millis> = clients.iter().map(|_| rng.random_range(first_call.clone())).collect();
        let mut simulation = Simulation {
            style,
            now: 0.0,
            gateways: (0..sizes.gateways).map(|_| Gateway::new()).collect(),
            clients,
            calls: BTreeMap::new(),
            request_work,
            rng,
            counts: Counts::default(),
            events: EventQueue::new(),
            last_call_id: 0,
        };
        for (client, at) in starts.into_iter().enumerate() {
            simulation.schedule(at, StormEvent::StartCall(client));
        }
        simulation.schedule(GATEWAY_LOST_AT, StormEvent::LoseGateway);
        simulation.schedule(GATEWAY_RESTORED_AT, StormEvent::RestoreGateway);
        simulation
    }

    pub(super) fn schedule(&mut self, at: Millis, event: StormEvent) {
        self.events.push(at, event);
    }

    /// Processes all events up to the simulated time `until`; returns the counts.
    pub(super) fn run(mut self, until: Millis) -> Counts {
        while let Some((at, event)) = self.events.pop(until) {
            self.now = at;
            match event {
                StormEvent::StartCall(client) => self.start_call(client),
                StormEvent::AttemptCall(call) => self.attempt_call(call),
                StormEvent::PollPool(client) => self.poll_pool(client),
                StormEvent::Connect { client, connection, gateway } => {
                    self.on_connect(client, connection, gateway);
                }
                StormEvent::FinishWork { gateway, incarnation } => self.finish_work(gateway, incarnation),
                StormEvent::CallTimeout(call) => self.on_call_timeout(call),
                StormEvent::LoseGateway => self.lose_gateway(),
                StormEvent::RestoreGateway => self.gateways[0].is_up = true,
            }
        }
        self.counts
    }

    /// Current simulated time on the monotonic clock and the wall clock.
    pub(super) fn timestamp(&self) -> Timestamp {
        timestamp_at(self.now)
    }

    fn start_call(&mut self, client: usize) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let mean_gap = MILLIS_PER_SECOND / CALLS_PER_SECOND;
        self.schedule(self.now + mean_gap * gap, StormEvent::StartCall(client));
        let kind = self.rng.random_range(0..CALL_KINDS.len());
        self.last_call_id += 1;
        let id = self.last_call_id;
        let now = self.timestamp();
        let mut call = Call::new(CALL_KINDS[kind].effect, CALL_TIMEOUT, MIN_REQUEST_TIME, now);
        call.start(&mut self.clients[client].budget, &now);
        self.counts.value_requested += CALL_KINDS[kind].value;
        let started_at = self.now;
        self.calls.insert(id, PendingCall { client, kind, started_at, call, sent: None, is_queued: false });
        self.schedule(started_at + CALL_TIMEOUT, StormEvent::CallTimeout(id));
        self.attempt_call(id);
    }

    /// Queues a call in the client's pool, unless the call is queued or in flight.
    fn attempt_call(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.is_queued || call.sent.is_some() {
            return;
        }
        call.is_queued = true;
        let client = call.client;
        let value = CALL_KINDS[call.kind].value;
        let actions = self.clients[client].pool.acquire(id, value, self.now);
        self.perform(client, actions);
    }

    fn poll_pool(&mut self, client: usize) {
        self.clients[client].next_poll_at = f64::INFINITY;
        let actions = self.clients[client].pool.poll(self.now);
        self.perform(client, actions);
    }

    /// Records the outcome of an attempt: finishes the call after a success, otherwise retries as the style does.
    pub(super) fn on_attempt_ended(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Some(sent) = call.sent.take() else { return };
        if outcome == AttemptOutcome::Success {
            if self.now - call.started_at <= LATENCY_OBJECTIVE {
                self.counts.value_in_time += CALL_KINDS[call.kind].value;
            }
            self.calls.remove(&id);
        } else if self.style == ReconnectStyle::Library {
            self.retry_by_library_rules(id, outcome, sent.sent_at);
        } else {
            self.retry_until_timeout(id);
        }
    }

    fn retry_by_library_rules(&mut self, id: u64, outcome: AttemptOutcome, sent_at: Millis) {
        let now = self.timestamp();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let client = &mut self.clients[call.client];
        let sent = timestamp_at(sent_at);
        match call.call.on_attempt_ended(outcome, sent, &mut client.budget, &mut client.rng, &now) {
            NextStep::Attempt { backoff, .. } => {
                self.schedule(self.now + backoff, StormEvent::AttemptCall(id));
            }
            NextStep::Finish(call_outcome) => {
                self.counts.unknown_outcomes += u64::from(call_outcome == CallOutcome::Unknown);
                self.calls.remove(&id);
            }
        }
    }

    /// Retries a call after the delay of the style until its timeout, as applications without the library do: even
    /// calls that may have been executed are sent again.
    fn retry_until_timeout(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let client = call.client;
        let started_at = call.started_at;
        call.call =
            Call::new(Idempotency::Idempotent, CALL_TIMEOUT, MIN_REQUEST_TIME, timestamp_at(started_at));
        self.clients[client].failures += 1;
        let retry_at = self.now + self.reconnect_delay(client);
        if retry_at < started_at + CALL_TIMEOUT {
            self.schedule(retry_at, StormEvent::AttemptCall(id));
        }
    }

    /// Closes the connection on which the timed-out call is in flight.
    fn on_call_timeout(&mut self, id: u64) {
        let Some(call) = self.calls.remove(&id) else { return };
        let client = call.client;
        let sent = call.sent;
        self.clients[client].pool.cancel_acquire(id);
        if call.kind == PAYMENT_KIND && sent.is_some() {
            // Inserted again without an attempt, so that a later execution of the payment is counted.
            self.calls.insert(id, PendingCall { sent: None, is_queued: false, ..call });
        }
        let Some(sent) = sent else { return };
        self.clients[client].gateway_by_connection.remove(&sent.connection);
        let actions = match self.style {
            ReconnectStyle::Library => self.clients[client].pool.on_timeout(sent.connection, self.now),
            _ => self.clients[client].pool.discard(sent.connection, self.now),
        };
        self.perform(client, actions);
    }
}

fn new_client(index: usize, sizes: &Sizes) -> Client {
    let pool_seed = sizes.seed.wrapping_mul(POOL_SEED_FACTOR) ^ index as u64;
    Client {
        pool: Pool::new(sizes.gateways, POOL_LIMITS, pool_seed),
        budget: RetryBudget::default(),
        rng: Pcg64Mcg::seed_from_u64(sizes.seed ^ (index as u64) << CLIENT_SEED_SHIFT),
        gateway_by_connection: BTreeMap::new(),
        next_poll_at: f64::INFINITY,
        failures: 0,
        is_disconnected: false,
    }
}

fn timestamp_at(time: Millis) -> Timestamp {
    Timestamp { monotonic: time, wall: WALL_CLOCK_START + time }
}
