//! The rules and limits of calls, retries, reconnects, pools and messages. Pure: times, states and the random number
//! generator are parameters. [`crate::call`], [`crate::retry_budget`] and [`crate::pool`] own the state and apply the
//! rules.
//!
//! Problem: clients that lose a gateway simultaneously would reconnect and retry simultaneously, and overload the other
//! gateways. Method: delays with full jitter, a retry budget that first attempts refill, and a single connection to a
//! gateway that has not responded since its last failure.

use crate::time::MILLIS_PER_SECOND;
use latchhaven_backoff::{ExponentialBackoff, Jitter, Millis};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Subtracted from a deduplication window, for the latency of the network to an endpoint and the error of its clock.
const DEDUP_SAFETY_MARGIN: Millis = 20.0;
/// The backoff before a retry: the upper bound is 50 ms before the first one (a doubling of 25 ms), and at most 1 s.
const RETRY_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(25.0, 1_000.0, Jitter::Full);
/// The largest fraction of a `retry_after` that is added to it at random; the sum is never below `retry_after`.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// The maximum number of attempts of a call; usually the deadline of the call passes before so many were made.
const MAX_ATTEMPTS: u32 = 8;
/// The least remaining time of an attempt: sent as integer milliseconds, and gateways reject 0.
const MIN_TIME_REMAINING: Millis = 1.0;

/// The fraction of a retry that each first attempt adds to the retry budget.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;
/// The largest retry budget that first attempts can accumulate.
const MAX_AVAILABLE_RETRIES: f64 = 10.0;
/// The interval at which the budget of an idle process grows by one retry, up to [`RESERVED_RETRIES`].
const RESERVE_REFILL_INTERVAL: Millis = 2_000.0;
/// The retry budget of a new process, and the largest one of a process without first attempts.
pub(crate) const RESERVED_RETRIES: f64 = 2.0;

/// The upper bound of the delay of a reconnect after the first failure.
const INITIAL_RECONNECT_DELAY: Millis = 4_000.0;
/// The largest upper bound of the delay of a reconnect: the bound doubles with each further consecutive failure.
const MAX_RECONNECT_DELAY: Millis = 10_000.0;
/// The delay of a reconnect to a gateway that failed.
const RECONNECT_BACKOFF: ExponentialBackoff =
    ExponentialBackoff::new(INITIAL_RECONNECT_DELAY, MAX_RECONNECT_DELAY, Jitter::Full);
/// If a gateway reported the number of reconnecting clients, the upper bound of the reconnect delay is at least this
/// time for each thousand of them.
const RECONNECT_SPREAD_PER_THOUSAND: Millis = 500.0;
/// A failure within this time after a response is the first of a new series of failures; an older response does not
/// show that the gateway has recovered.
const RECENT_RESPONSE_WINDOW: Millis = 30_000.0;
/// The number of consecutive timeouts after which a gateway counts as lost.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;

/// The largest fraction by which the maximum age of a connection is reduced at random, so that connections that were
/// opened simultaneously are not closed simultaneously.
const MAX_AGE_JITTER: f64 = 0.2;
/// Every fourth assignment of a connection goes to the call that is queued longest: low priorities are not starved.
const LONGEST_QUEUED_INTERVAL: u64 = 4;
/// The capacity of the channel to the pool driver; further calls wait until the driver has received a request.
pub(crate) const ACQUIRE_QUEUE_LENGTH: usize = 64;
/// The least free capacity of a connection's buffer before each read.
pub(crate) const READ_CAPACITY_BYTES: usize = 16 * 1024;
/// The longest time between two polls of the pool: idle connections are checked at least as often.
const MAX_POLL_INTERVAL: Millis = 1_000.0;
/// The shortest time between two polls of the pool.
const MIN_POLL_INTERVAL: Millis = 0.5;
/// The longest wait, one day: an infinite time cannot be converted to a [`Duration`].
const MAX_WAIT: Millis = 86_400_000.0;

/// The longest message of a gateway, including its length field.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The largest sum of the lengths of all messages of a response.
pub(crate) const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// The longest name, id or idempotency key in a query.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// The default of [`ClientConfig::max_connections`](crate::ClientConfig::max_connections).
pub(crate) const DEFAULT_MAX_CONNECTIONS: usize = 8;
/// The default of [`ClientConfig::max_connecting`](crate::ClientConfig::max_connecting).
pub(crate) const DEFAULT_MAX_CONNECTING: usize = 2;
/// The default of [`ClientConfig::max_queued_calls`](crate::ClientConfig::max_queued_calls).
pub(crate) const DEFAULT_MAX_QUEUED_CALLS: usize = 256;
/// The default of [`ClientConfig::idle_timeout`](crate::ClientConfig::idle_timeout): below the 2 s of gateways, so that
/// a request is not written to a connection that its gateway is closing.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Millis = 1_500.0;
/// The default of [`ClientConfig::max_connection_age`](crate::ClientConfig::max_connection_age).
pub(crate) const DEFAULT_MAX_CONNECTION_AGE: Millis = 60_000.0;
/// The default of [`ClientConfig::connect_timeout`](crate::ClientConfig::connect_timeout).
pub(crate) const DEFAULT_CONNECT_TIMEOUT: Millis = 1_000.0;
/// The default of [`ClientConfig::min_request_time`](crate::ClientConfig::min_request_time).
pub(crate) const DEFAULT_MIN_REQUEST_TIME: Millis = 5.0;

/// Whether executing a call more than once is harmless: stated by the caller, and decides which attempts are retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The call may be executed any number of times: every failed attempt may be retried.
    Idempotent,
    /// The call has a key by which endpoints drop duplicates.
    IdempotencyKey {
        /// The time during which endpoints drop duplicates, from the first attempt that was possibly executed. No retry
        /// is sent in the last 20 ms, nor after the window.
        dedup_window: Millis,
    },
    /// The call must be executed at most once: an attempt is retried only if it was definitely not executed.
    NonIdempotent,
}

/// The limits of one process's [`Pool`](crate::pool::Pool), over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// The maximum number of connections, including those being opened.
    pub max_connections: usize,
    /// The maximum number of connections that are being opened.
    pub max_connecting: usize,
    /// The maximum number of calls queued for a connection; one more rejects the call with the lowest priority.
    pub max_queued_calls: usize,
    /// An idle connection is closed after this time; it must be below the idle timeout of gateways.
    pub idle_timeout: Millis,
    /// A connection that reached this age is closed as soon as it is idle; up to a fifth is subtracted at random.
    pub max_age: Millis,
}

/// The state of a call that decides whether a further attempt may be made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryConditions {
    pub(crate) attempts: u32,
    /// The time until the deadline of the call; negative once the deadline has passed.
    pub(crate) time_remaining: Millis,
    /// With less time remaining, no attempt is made.
    pub(crate) min_request_time: Millis,
    pub(crate) idempotency: Idempotency,
    /// The time since the first attempt that was possibly executed was sent; `None` if there is no such attempt.
    pub(crate) since_possibly_executed: Option<Millis>,
}

impl RetryConditions {
    /// Returns `true` if a retry may be made after `backoff`.
    pub(crate) fn can_retry_in(&self, backoff: Millis) -> bool {
        let is_in_time = self.time_remaining - backoff >= min_time_remaining(self.min_request_time);
        self.attempts < MAX_ATTEMPTS && is_in_time && self.is_safe_to_send_in(backoff)
    }

    /// Returns `true` if an attempt may be written now.
    pub(crate) fn can_send_now(&self) -> bool {
        let is_late = self.time_remaining < min_time_remaining(self.min_request_time);
        !is_late && self.is_safe_to_send_in(0.0)
    }

    /// Returns `true` if an attempt after `backoff` cannot cause a second execution, or if that is harmless.
    fn is_safe_to_send_in(&self, backoff: Millis) -> bool {
        let Some(elapsed) = self.since_possibly_executed else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { dedup_window } => {
                elapsed + backoff < dedup_window - DEDUP_SAFETY_MARGIN
            }
        }
    }
}

/// The least time that must remain when an attempt is written.
fn min_time_remaining(min_request_time: Millis) -> Millis {
    min_request_time.max(MIN_TIME_REMAINING)
}

/// The backoff before the next attempt, given the number of attempts made so far.
pub(crate) fn retry_backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    RETRY_BACKOFF.delay(attempts, rng)
}

/// The least delay of a retry after a rejection: `retry_after`, 0 if the gateway sent none, with jitter added.
pub(crate) fn retry_after_delay(retry_after: Option<Millis>, rng: &mut impl Rng) -> Millis {
    retry_after.unwrap_or(0.0).max(0.0) * (1.0 + RETRY_AFTER_JITTER * rng.random::<f64>())
}

/// The retry budget after one more first attempt.
pub(crate) fn retries_after_first_attempt(available: f64) -> f64 {
    (available + RETRIES_PER_FIRST_ATTEMPT).min(MAX_AVAILABLE_RETRIES)
}

/// The retry budget after a further `elapsed` time, which refills it up to [`RESERVED_RETRIES`] only.
pub(crate) fn retries_after_time(available: f64, elapsed: Millis) -> f64 {
    if available >= RESERVED_RETRIES {
        return available;
    }
    (available + elapsed.max(0.0) / RESERVE_REFILL_INTERVAL).min(RESERVED_RETRIES)
}

/// The number of consecutive failures of a gateway after one more, given the time since its last response; `None` if
/// the gateway has not responded since its last failure.
pub(crate) fn consecutive_failures(failures: u32, since_response: Option<Millis>) -> u32 {
    let has_recovered =
        since_response.is_some_and(|elapsed| elapsed < RECENT_RESPONSE_WINDOW && failures > 0);
    if has_recovered { 1 } else { failures + 1 }
}

/// Returns `true` if a gateway counts as lost after this number of consecutive timeouts.
pub(crate) fn is_lost_after(consecutive_timeouts: u32) -> bool {
    consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
}

/// The time over which the reconnects of this number of clients are spread; 0 if their number is unknown.
pub(crate) fn reconnect_spread(reconnecting_clients: Option<u64>) -> Millis {
    reconnecting_clients.map_or(0.0, |clients| RECONNECT_SPREAD_PER_THOUSAND * clients as f64 / 1000.0)
}

/// The delay before a reconnect to a gateway with this number of consecutive failures, at least 1.
pub(crate) fn reconnect_delay(
    consecutive_failures: u32, reconnect_spread: Millis, rng: &mut impl Rng,
) -> Millis {
    let upper_bound = RECONNECT_BACKOFF.upper_bound(consecutive_failures - 1).max(reconnect_spread);
    Jitter::Full.draw(upper_bound, rng)
}

/// The delay before a connection to another gateway: all processes that lost the same gateway may fail over to the same
/// one, and must not do so simultaneously.
pub(crate) fn failover_delay(reconnect_spread: Millis, rng: &mut impl Rng) -> Millis {
    Jitter::Full.draw(INITIAL_RECONNECT_DELAY.max(reconnect_spread), rng)
}

/// The age at which a new connection expires.
pub(crate) fn connection_lifetime(max_age: Millis, rng: &mut impl Rng) -> Millis {
    max_age * (1.0 - MAX_AGE_JITTER * rng.random::<f64>())
}

/// Returns `true` if one more connection is to be opened; `connections` includes those being opened (`connecting`).
pub(crate) fn needs_connection(
    limits: &PoolLimits, connecting: usize, connections: usize, queued_calls: usize,
) -> bool {
    let is_below_limits = connections < limits.max_connections && connecting < limits.max_connecting;
    is_below_limits && queued_calls > connecting
}

/// Returns `true` if the assignment with this number, counted from 1, goes to the call that is queued longest.
pub(crate) fn goes_to_longest_queued(number: u64) -> bool {
    number.is_multiple_of(LONGEST_QUEUED_INTERVAL)
}

/// The time until the next poll of the pool, given the time until its next action is due.
pub(crate) fn poll_interval(until_due: Millis) -> Duration {
    bounded_wait(until_due.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL))
}

/// Converts a time to wait, limited to the range from 0 to one day.
pub(crate) fn bounded_wait(time: Millis) -> Duration {
    Duration::from_secs_f64(time.clamp(0.0, MAX_WAIT) / MILLIS_PER_SECOND)
}
