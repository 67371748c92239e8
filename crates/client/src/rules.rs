//! The rules and limits of calls, retries, reconnects, pools and messages. Pure: times, states and the random number
//! generator are parameters. [`crate::call`], [`crate::retry_budget`] and [`crate::pool`] own the state and apply the
//! rules.
//!
//! Problem: clients that lose a gateway together would reconnect and retry together, and overload the others.
//! Method: delays with full jitter, a retry budget that is earned by first attempts, and a single connection to a
//! gateway that has not answered since it failed.

use latchhaven_backoff::{ExponentialBackoff, Jitter, Millis};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Time in ms by which a deduplication window is shortened: the network path to an endpoint, and its clock.
const DEDUP_MARGIN: Millis = 20.0;
/// The pause in ms before a retry: the upper bound is 50 for the first one, that is one doubling of 25, and 1000 at most.
const RETRY_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(25.0, 1_000.0, Jitter::Full);
/// The largest part of a `retry_after` that is added at random: `retry_after` is a minimum.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// Attempts of one call at most; its timeout usually ends it before.
const MAX_ATTEMPTS: u32 = 8;
/// The shortest time in ms that is sent to a gateway as remaining.
const MIN_TIME_REMAINING: Millis = 1.0;

/// The part of a retry that each first attempt earns.
const EARNED_PER_ATTEMPT: f64 = 0.1;
/// Retries that first attempts can save up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// The time in ms in which an idle process earns one retry, up to the reserve.
const RESERVE_INTERVAL: Millis = 2_000.0;
/// Retries that an idle process can save up; a new process starts with them.
pub(crate) const RESERVED_RETRIES: f64 = 2.0;

/// The range in ms from which the delay of the first reconnect is drawn.
const INITIAL_RECONNECT_DELAY: Millis = 4_000.0;
/// The range in ms that doubling with each further failure leads to at most.
const MAX_RECONNECT_DELAY: Millis = 10_000.0;
/// The delay of a reconnect to a gateway that failed.
const RECONNECT_BACKOFF: ExponentialBackoff =
    ExponentialBackoff::new(INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY, Jitter::Full);
/// The range in ms for a thousand reconnecting clients, where a gateway reports their number.
const RECONNECT_DELAY_PER_THOUSAND: Millis = 500.0;
/// Time in ms since the last answer within which a failure counts as the first of a new series.
const RECENT_ANSWER: Millis = 30_000.0;
/// Timeouts in a row after which a gateway counts as lost.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;

/// The age at which a connection is closed varies by this part, so that those opened together do not close together.
const AGE_JITTER: f64 = 0.2;
/// Every connection of this number goes to the call that is queued longest, regardless of priority.
const FAIR_INTERVAL: u64 = 4;
/// Requests for a connection in the queue of the pool driver; further ones wait to be queued.
pub(crate) const ACQUIRE_QUEUE_LENGTH: usize = 64;
/// Bytes by which a connection's buffer grows before each read.
pub(crate) const READ_SIZE: usize = 16 * 1024;
/// The longest time in ms between two polls of the pool and checks of idle connections.
const MAX_POLL_INTERVAL: Millis = 1_000.0;
/// The shortest time in ms between two polls of the pool.
const MIN_POLL_INTERVAL: Millis = 0.5;
/// The longest wait: a day, in ms.
const MAX_WAIT: Millis = 86_400_000.0;

/// The longest message of a gateway, including its length field.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The largest sum of the lengths of all messages of a response.
pub(crate) const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// The longest name, id or idempotency key in a query.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Connections of a process, unless configured.
pub(crate) const DEFAULT_MAX_CONNECTIONS: usize = 8;
/// Connections that are being opened concurrently, unless configured.
pub(crate) const DEFAULT_MAX_CONNECTING: usize = 2;
/// Calls queued for a connection, unless configured.
pub(crate) const DEFAULT_MAX_QUEUED_CALLS: usize = 256;
/// Time in ms after which an idle connection is closed, unless configured; gateways close theirs after 2 s.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Millis = 1_500.0;
/// Time in ms after which any connection is closed, unless configured.
pub(crate) const DEFAULT_MAX_CONNECTION_AGE: Millis = 60_000.0;
/// Time in ms within which a connection must be established and ready, unless configured.
pub(crate) const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000.0;
/// Time in ms that a request needs at least, unless configured.
pub(crate) const DEFAULT_MIN_REQUEST_TIME: Millis = 5.0;

/// Whether executing a call more than once is harmless.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It has a key by which endpoints drop duplicates.
    IdempotencyKey {
        /// The time in ms, from the first attempt that was possibly executed, in which endpoints drop duplicates.
        dedup_window: Millis,
    },
    /// It must be executed once at most.
    NonIdempotent,
}

/// The limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Connections at most, those being opened included.
    pub max_connections: usize,
    /// Connections being opened at most.
    pub max_connecting: usize,
    /// Calls queued for a connection at most.
    pub max_queued_calls: usize,
    /// Time in ms after which an idle connection is closed: before gateways close theirs.
    pub idle_timeout: Millis,
    /// Time in ms after which any connection is closed.
    pub max_age: Millis,
}

/// What decides whether a call may be retried.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryConditions {
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// Time in ms until the call's timeout.
    pub(crate) time_remaining: Millis,
    /// Time in ms that a request needs at least.
    pub(crate) min_request_time: Millis,
    /// Whether a second execution is harmless.
    pub(crate) idempotency: Idempotency,
    /// Time in ms since the first attempt that was possibly executed; none if there was none.
    pub(crate) since_possibly_executed: Option<Millis>,
}

impl RetryConditions {
    /// Whether a retry may be made `backoff` ms from now.
    pub(crate) fn can_retry_in(&self, backoff: Millis) -> bool {
        let is_in_time = self.time_remaining - backoff >= min_time_remaining(self.min_request_time);
        self.attempts < MAX_ATTEMPTS && is_in_time && self.may_send_in(backoff)
    }

    /// Whether an attempt may be written now.
    pub(crate) fn can_send_now(&self) -> bool {
        let is_late = self.time_remaining < min_time_remaining(self.min_request_time);
        !is_late && self.may_send_in(0.0)
    }

    /// Whether an attempt `backoff` ms from now does no harm, given the attempts that were possibly executed.
    fn may_send_in(&self, backoff: Millis) -> bool {
        let Some(elapsed) = self.since_possibly_executed else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { dedup_window } => elapsed + backoff < dedup_window - DEDUP_MARGIN,
        }
    }
}

/// The least time in ms that must remain when an attempt is written.
fn min_time_remaining(min_request_time: Millis) -> Millis {
    min_request_time.max(MIN_TIME_REMAINING)
}

/// The pause in ms before the next attempt, after a number of attempts.
pub(crate) fn retry_backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    RETRY_BACKOFF.delay(attempts, rng)
}

/// The pause in ms after a rejection with this `retry_after` in ms.
pub(crate) fn retry_after_delay(retry_after: Option<Millis>, rng: &mut impl Rng) -> Millis {
    retry_after.unwrap_or(0.0).max(0.0) * (1.0 + RETRY_AFTER_JITTER * rng.random::<f64>())
}

/// The saved retries after a first attempt.
pub(crate) fn retries_after_first_attempt(saved: f64) -> f64 {
    (saved + EARNED_PER_ATTEMPT).min(MAX_SAVED_RETRIES)
}

/// The saved retries after `elapsed` ms: time fills the reserve only.
pub(crate) fn retries_after_time(saved: f64, elapsed: Millis) -> f64 {
    if saved >= RESERVED_RETRIES {
        return saved;
    }
    (saved + elapsed.max(0.0) / RESERVE_INTERVAL).min(RESERVED_RETRIES)
}

/// The failures of a gateway in a row after one more, given the time in ms since its last answer.
pub(crate) fn failures_in_a_row(failures: u32, since_answer: Option<Millis>) -> u32 {
    let answered_recently = since_answer.is_some_and(|elapsed| elapsed < RECENT_ANSWER && failures > 0);
    if answered_recently { 1 } else { failures + 1 }
}

/// Whether a gateway counts as lost after this number of timeouts in a row.
pub(crate) fn is_lost_after(consecutive_timeouts: u32) -> bool {
    consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
}

/// The range in ms over which reconnecting clients spread; 0 if their number is unknown.
pub(crate) fn reconnect_spread(reconnecting_clients: Option<u64>) -> Millis {
    reconnecting_clients.map_or(0.0, |clients| RECONNECT_DELAY_PER_THOUSAND * clients as f64 / 1000.0)
}

/// The delay in ms before a reconnect to a gateway with this number of failures in a row, at least 1.
pub(crate) fn reconnect_delay(failures: u32, reconnect_spread: Millis, rng: &mut impl Rng) -> Millis {
    let upper_bound = RECONNECT_BACKOFF.upper_bound(failures - 1).max(reconnect_spread);
    Jitter::Full.draw(upper_bound, rng)
}

/// The delay in ms before another gateway is connected to: all processes that lost the same one move to it.
pub(crate) fn move_delay(reconnect_spread: Millis, rng: &mut impl Rng) -> Millis {
    Jitter::Full.draw(INITIAL_RECONNECT_DELAY.max(reconnect_spread), rng)
}

/// The age in ms at which a new connection is closed.
pub(crate) fn connection_lifetime(max_age: Millis, rng: &mut impl Rng) -> Millis {
    max_age * (1.0 - AGE_JITTER * rng.random::<f64>())
}

/// Whether one more connection is opened, given those being opened and all of them, and the calls in the queue.
pub(crate) fn needs_connection(
    limits: &PoolLimits, connecting: usize, connections: usize, queued_calls: usize,
) -> bool {
    let is_allowed = connections < limits.max_connections && connecting < limits.max_connecting;
    is_allowed && queued_calls > connecting
}

/// Whether the assignment with this number, from 1, goes to the call that is queued longest.
pub(crate) fn is_turn_of_longest_queued(number: u64) -> bool {
    number.is_multiple_of(FAIR_INTERVAL)
}

/// The time until the next poll of the pool, given the time in ms until its next action is due.
pub(crate) fn poll_interval(until_due: Millis) -> Duration {
    bounded_wait(until_due.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL))
}

/// A span in ms as a time to wait, between 0 and a day.
pub(crate) fn bounded_wait(span: Millis) -> Duration {
    Duration::from_secs_f64(span.clamp(0.0, MAX_WAIT) / 1000.0)
}
