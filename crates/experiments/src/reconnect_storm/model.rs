//! Gateways, clients and calls, and what is counted.

use latchhaven_client::call::{Call, Idempotency};
use latchhaven_client::pool::Pool;
use latchhaven_client::retry_budget::RetryBudget;
use latchhaven_policy::Millis;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Milliseconds in one second.
pub(super) const MILLIS_PER_SECOND: Millis = 1000.0;
/// When the first gateway is lost, in ms.
pub(super) const LOST_AT: Millis = 10_000.0;
/// When it is available again, in ms.
pub(super) const BACK_AT: Millis = 35_000.0;
/// Calls of one client in one second.
pub(super) const CALLS_PER_SECOND: f64 = 0.5;
/// The work of a handshake, in requests.
pub(super) const HANDSHAKE_COST: f64 = 3.0;
/// Connections in handshake at most; further ones are refused.
pub(super) const MAX_PENDING_HANDSHAKES: usize = 1024;
/// The latency objective of a call, in ms.
pub(super) const LATENCY_OBJECTIVE: Millis = 600.0;
/// The timeout of a call, in ms.
pub(super) const CALL_TIMEOUT: Millis = 2_500.0;
/// The shortest time remaining with which a request is sent, in ms.
pub(super) const MIN_REQUEST_TIME: Millis = 5.0;
/// How long servers recognize a repeated request by its key, in ms.
const DEDUP_WINDOW: Millis = 5_000.0;
/// The latency of a message, in ms.
pub(super) const NETWORK_LATENCY: Millis = 1.0;

/// A kind of call.
pub(super) struct CallKind {
    pub(super) effect: Idempotency,
    /// The value of an answer within the latency objective.
    pub(super) value: f64,
}

/// The kinds of calls, equally frequent. The last one is a payment without a key.
pub(super) const CALL_KINDS: [CallKind; 4] = [
    CallKind { effect: Idempotency::Idempotent, value: 1.0 },
    CallKind { effect: Idempotency::Idempotent, value: 1.0 },
    CallKind { effect: Idempotency::IdempotencyKey { dedup_window: DEDUP_WINDOW }, value: 2.0 },
    CallKind { effect: Idempotency::NonIdempotent, value: 3.0 },
];
/// The index of the kind that must not be executed twice.
pub(super) const PAYMENT_KIND: usize = 3;

/// How a client reconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReconnectStyle {
    /// As the client library decides.
    Library,
    /// Almost immediately.
    Immediate,
    /// After a fixed delay.
    FixedDelay,
    /// After delays that double, without jitter.
    Exponential,
}

impl ReconnectStyle {
    /// All styles in the order of the results.
    pub(super) const ALL: [ReconnectStyle; 4] = [
        ReconnectStyle::Library,
        ReconnectStyle::Immediate,
        ReconnectStyle::FixedDelay,
        ReconnectStyle::Exponential,
    ];

    /// The name in the results.
    pub(super) fn name(self) -> &'static str {
        match self {
            ReconnectStyle::Library => "library",
            ReconnectStyle::Immediate => "immediate",
            ReconnectStyle::FixedDelay => "fixed_wait",
            ReconnectStyle::Exponential => "exponential_without_jitter",
        }
    }
}

/// A unit of work of a gateway.
#[derive(Clone, Copy)]
pub(super) enum Work {
    Handshake { client: usize, link: u64 },
    Request { client: usize, link: u64, call: u64 },
}

pub(super) struct Gateway {
    pub(super) is_up: bool,
    /// Increased when it is lost: work of an earlier incarnation is discarded.
    pub(super) incarnation: u64,
    pub(super) queue: VecDeque<Work>,
    pub(super) pending_handshakes: usize,
    pub(super) is_busy: bool,
}

impl Gateway {
    pub(super) fn new() -> Self {
        Gateway { is_up: true, incarnation: 0, queue: VecDeque::new(), pending_handshakes: 0, is_busy: false }
    }
}

pub(super) struct Client {
    pub(super) pool: Pool,
    pub(super) budget: RetryBudget,
    pub(super) rng: Pcg64Mcg,
    /// The gateways of open connections.
    pub(super) links: BTreeMap<u64, usize>,
    /// When its pool is polled next, in ms.
    pub(super) next_poll_at: Millis,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// It lost its gateway and has not been served since.
    pub(super) is_disconnected: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
pub(super) struct SentAttempt {
    pub(super) at: Millis,
    pub(super) link: u64,
}

pub(super) struct PendingCall {
    pub(super) client: usize,
    pub(super) kind: usize,
    pub(super) started_at: Millis,
    pub(super) call: Call,
    pub(super) sent: Option<SentAttempt>,
    /// It is queued for a connection.
    pub(super) is_queued: bool,
}

impl PendingCall {
    pub(super) fn is_sent_on(&self, link: u64) -> bool {
        self.sent.is_some_and(|sent| sent.link == link)
    }
}

/// The counts of one simulation.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) value_requested: f64,
    pub(super) value_in_time: f64,
    /// Work whose client no longer waited, in ms.
    pub(super) wasted_work: f64,
    /// All work, in ms.
    pub(super) work: f64,
    pub(super) connects_by_second: BTreeMap<u64, u64>,
    /// How often each payment was executed.
    pub(super) executions: BTreeMap<u64, u32>,
    /// When clients that lost their gateway were served again, in ms after the loss.
    pub(super) recovered_after: Vec<Millis>,
    /// Clients that lost their gateway.
    pub(super) disconnected: usize,
    pub(super) unknown_outcomes: u64,
    pub(super) longest_queue: usize,
}
