//! The state of gateways, clients and calls, and the counts of one simulation.

use latchhaven_client::call::{Call, Idempotency};
use latchhaven_client::pool::Pool;
use latchhaven_client::retry_budget::RetryBudget;
use latchhaven_policy::Millis;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

pub(super) const MILLIS_PER_SECOND: Millis = 1000.0;
/// Simulated time at which the first gateway is lost.
pub(super) const GATEWAY_LOST_AT: Millis = 10_000.0;
/// Simulated time at which the lost gateway accepts connections again.
pub(super) const GATEWAY_RESTORED_AT: Millis = 35_000.0;
/// Mean number of calls that each client starts per second.
pub(super) const CALLS_PER_SECOND: f64 = 0.5;
/// Work of a handshake, as a multiple of the work of a request.
pub(super) const HANDSHAKE_COST: f64 = 3.0;
/// Limit of pending handshakes per gateway; further connections are refused.
pub(super) const MAX_PENDING_HANDSHAKES: usize = 1024;
/// A call counts as served in time if it succeeds within this time from its start.
pub(super) const LATENCY_OBJECTIVE: Millis = 600.0;
/// Time from the start of a call until its client closes the connection and no longer retries.
pub(super) const CALL_TIMEOUT: Millis = 2_500.0;
/// Shortest time remaining until the deadline of a call with which a request is still sent.
pub(super) const MIN_REQUEST_TIME: Millis = 5.0;
/// How long servers recognize a repeated request by its idempotency key.
const DEDUP_WINDOW: Millis = 5_000.0;
/// Time until a connection attempt reaches its gateway.
pub(super) const NETWORK_LATENCY: Millis = 1.0;

/// Properties shared by all calls of one kind.
pub(super) struct CallKind {
    pub(super) effect: Idempotency,
    /// Weight of a call of this kind in the results, which compare the calls served within the latency objective with
    /// all calls; also the priority of the call in the pool's queue.
    pub(super) value: f64,
}

/// The kinds of calls, equally frequent. The last one is a payment without an idempotency key.
pub(super) const CALL_KINDS: [CallKind; 4] = [
    CallKind { effect: Idempotency::Idempotent, value: 1.0 },
    CallKind { effect: Idempotency::Idempotent, value: 1.0 },
    CallKind { effect: Idempotency::IdempotencyKey { dedup_window: DEDUP_WINDOW }, value: 2.0 },
    CallKind { effect: Idempotency::NonIdempotent, value: 3.0 },
];
/// Index in `CALL_KINDS` of the payment, which must not be executed twice.
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

    /// Name of the style in the printed results.
    pub(super) fn name(self) -> &'static str {
        match self {
            ReconnectStyle::Library => "library",
            ReconnectStyle::Immediate => "immediate",
            ReconnectStyle::FixedDelay => "fixed_wait",
            ReconnectStyle::Exponential => "exponential_without_jitter",
        }
    }
}

/// A handshake or a request in the queue of a gateway.
#[derive(Clone, Copy)]
pub(super) enum Work {
    Handshake { client: usize, connection: u64 },
    Request { client: usize, connection: u64, call: u64 },
}

pub(super) struct Gateway {
    pub(super) is_up: bool,
    /// Incremented when the gateway is lost: work of an earlier incarnation is discarded.
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
    /// Gateway of each connection that is open or in handshake, by the connection's number in the pool.
    pub(super) gateway_by_connection: BTreeMap<u64, usize>,
    /// When the pool is polled next; infinite while no poll is scheduled.
    pub(super) next_poll_at: Millis,
    /// Failed connection attempts, and failed call attempts without the library, since the last success.
    pub(super) failures: u32,
    /// Set when the client's gateway is lost, until a call of the client is served.
    pub(super) is_disconnected: bool,
}

/// The attempt of a call that was sent and has no outcome yet.
#[derive(Clone, Copy)]
pub(super) struct AttemptInFlight {
    pub(super) sent_at: Millis,
    pub(super) connection: u64,
}

pub(super) struct PendingCall {
    pub(super) client: usize,
    pub(super) kind: usize,
    pub(super) started_at: Millis,
    pub(super) call: Call,
    pub(super) sent: Option<AttemptInFlight>,
    /// Set while the call waits in the pool for a connection.
    pub(super) is_queued: bool,
}

impl PendingCall {
    pub(super) fn is_in_flight_on(&self, connection: u64) -> bool {
        self.sent.is_some_and(|sent| sent.connection == connection)
    }
}

/// The counts of one simulation.
#[derive(Default)]
pub(super) struct Counts {
    /// Total value of the calls that were started.
    pub(super) value_requested: f64,
    /// Total value of the calls that were served within the latency objective.
    pub(super) value_in_time: f64,
    /// Time that gateways worked on requests and handshakes of clients that no longer waited.
    pub(super) wasted_work: Millis,
    /// Time for all work that gateways began, including the wasted work.
    pub(super) work: Millis,
    /// Connection attempts by second of simulated time.
    pub(super) connects_by_second: BTreeMap<u64, u64>,
    /// Number of executions of each payment, by the id of the call.
    pub(super) executions: BTreeMap<u64, u32>,
    /// For each disconnected client that was served again, the time from the loss of the gateway until then.
    pub(super) recovered_after: Vec<Millis>,
    /// Connections, open or in handshake, that were lost with the gateway; a client has one at most.
    pub(super) disconnected: usize,
    /// Calls that the library finished without knowing whether they were executed.
    pub(super) unknown_outcomes: u64,
    /// Greatest length of a gateway's queue.
    pub(super) longest_queue: usize,
}
