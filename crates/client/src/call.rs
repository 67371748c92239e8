//! What one call does next, given the outcomes of its attempts. Pure: no sockets and no clock; the random number
//! generator comes from the caller.
//!
//! An attempt was definitely not executed only where it was rejected (SQLSTATE 53300 or 57P03), its connection was not
//! established, or that broke before the last byte was written. Any other attempt was possibly executed.

use crate::retry_budget::RetryBudget;
use crate::time::{Millis, Timestamp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Time in ms by which a deduplication window is taken to be shorter: the network path to an endpoint, and its clock.
const DEDUP_MARGIN: Millis = 20.0;
/// The upper end in ms of the range from which the first backoff is drawn; it doubles with each attempt.
const INITIAL_BACKOFF: Millis = 25.0;
/// The largest upper end in ms of that range.
const MAX_BACKOFF: Millis = 1_000.0;
/// The largest exponent of the doubling.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// A `retry_after` is a minimum: up to this part of it is added at random.
const RETRY_AFTER_JITTER: f64 = 0.5;
/// Attempts of one call at most; its timeout usually ends it before.
const MAX_ATTEMPTS: u32 = 8;
/// The shortest time in ms that is sent to a gateway as remaining.
const MIN_TIME_REMAINING: Millis = 1.0;

/// What is known of the effect of executing a call more than once.
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

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// It was executed.
    Success,
    /// It was definitely not executed.
    Rejected {
        /// The minimum time in ms before a retry, where the gateway named one.
        retry_after: Option<Millis>,
    },
    /// An error: it was possibly executed.
    Failed,
    /// No connection was established, or it broke before the last byte was written: definitely not executed.
    NotSent,
    /// The connection broke after the last byte, or the answer was malformed: possibly executed.
    ConnectionLost,
    /// No answer came in time: possibly executed.
    Timeout,
}

/// What a call comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was executed.
    Succeeded,
    /// It was definitely not executed: to call again later is harmless.
    Rejected,
    /// It has no answer; to call again is harmless since it is idempotent.
    Failed,
    /// It was possibly executed and must not be sent again.
    Unknown,
}

/// What a call does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Makes an attempt.
    Attempt {
        /// The time in ms to wait before it.
        backoff: Millis,
        /// It is not the first attempt.
        is_retry: bool,
    },
    /// Ends with an outcome.
    Finish(CallOutcome),
}

/// One call and its attempts so far.
#[derive(Clone, Debug)]
pub struct Call {
    idempotency: Idempotency,
    started_at: Timestamp,
    timeout: Millis,
    /// Time in ms that a request needs at least: nothing is sent with less remaining.
    min_request_time: Millis,
    attempts: u32,
    /// When the first attempt that was possibly executed was sent.
    possibly_executed_at: Option<Timestamp>,
    is_finished: bool,
}

impl Call {
    /// A call that starts now and has `timeout` ms.
    pub fn new(idempotency: Idempotency, timeout: Millis, min_request_time: Millis, now: Timestamp) -> Self {
        Call {
            idempotency,
            started_at: now,
            timeout,
            min_request_time: min_request_time.max(0.0),
            attempts: 0,
            possibly_executed_at: None,
            is_finished: false,
        }
    }

    /// The time in ms until the timeout.
    pub fn time_remaining(&self, now: &Timestamp) -> Millis {
        self.timeout - now.since(&self.started_at)
    }

    /// Attempts that were written, or might have been.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// What to do first.
    pub fn start(&mut self, retry_budget: &mut RetryBudget, now: &Timestamp) -> NextStep {
        retry_budget.on_first_attempt(now.monotonic);
        if self.time_remaining(now) < self.min_request_time {
            return NextStep::Finish(self.abandon());
        }
        NextStep::Attempt { backoff: 0.0, is_retry: false }
    }

    /// Begins an attempt, if it may be written now; returns the time remaining in ms, to be sent to the gateway. To be
    /// called just before writing: a call that waited for a connection may be late by then, or past the deduplication
    /// window.
    pub fn begin_attempt(&mut self, now: &Timestamp) -> Option<Millis> {
        let time_remaining = self.time_remaining(now);
        let is_late = time_remaining < self.min_time_remaining();
        if self.is_finished || is_late || !self.may_send_in(0.0, now) {
            return None;
        }
        self.attempts += 1;
        Some(time_remaining)
    }

    fn min_time_remaining(&self) -> Millis {
        self.min_request_time.max(MIN_TIME_REMAINING)
    }

    /// Whether an attempt may be sent `backoff` ms from now, given what was possibly executed before.
    fn may_send_in(&self, backoff: Millis, now: &Timestamp) -> bool {
        let Some(executed_at) = &self.possibly_executed_at else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { dedup_window } => {
                now.since(executed_at) + backoff < dedup_window - DEDUP_MARGIN
            }
        }
    }

    /// Takes the outcome of an attempt that was written at `sent_at`, and decides what to do next.
    pub fn on_attempt_ended(
        &mut self, outcome: AttemptOutcome, sent_at: Timestamp, retry_budget: &mut RetryBudget,
        rng: &mut Pcg64Mcg, now: &Timestamp,
    ) -> NextStep {
        if self.is_finished {
            return NextStep::Finish(self.outcome());
        }
        let mut min_backoff = 0.0;
        match outcome {
            AttemptOutcome::Success => {
                self.is_finished = true;
                return NextStep::Finish(CallOutcome::Succeeded);
            }
            AttemptOutcome::Rejected { retry_after } => {
                let retry_after = retry_after.unwrap_or(0.0).max(0.0);
                min_backoff = retry_after * (1.0 + RETRY_AFTER_JITTER * rng.random::<f64>());
            }
            AttemptOutcome::NotSent => {}
            AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::Timeout => {
                self.possibly_executed_at.get_or_insert(sent_at);
            }
        }
        let backoff = self.draw_backoff(rng).max(min_backoff);
        // The budget comes last: a retry that is not sent spends nothing.
        if self.can_retry_in(backoff, now) && retry_budget.try_spend(now.monotonic) {
            NextStep::Attempt { backoff, is_retry: true }
        } else {
            NextStep::Finish(self.abandon())
        }
    }

    /// Full jitter over a range that doubles with each attempt.
    fn draw_backoff(&self, rng: &mut Pcg64Mcg) -> Millis {
        let doublings = self.attempts.min(MAX_BACKOFF_DOUBLINGS);
        let range = (INITIAL_BACKOFF * f64::from(1u32 << doublings)).min(MAX_BACKOFF);
        range * rng.random::<f64>()
    }

    fn can_retry_in(&self, backoff: Millis, now: &Timestamp) -> bool {
        let is_in_time = self.time_remaining(now) - backoff >= self.min_time_remaining();
        self.attempts < MAX_ATTEMPTS && is_in_time && self.may_send_in(backoff, now)
    }

    /// Ends the call without a further attempt.
    pub fn abandon(&mut self) -> CallOutcome {
        self.is_finished = true;
        self.outcome()
    }

    /// The outcome of a call that did not succeed.
    fn outcome(&self) -> CallOutcome {
        if self.possibly_executed_at.is_none() {
            return CallOutcome::Rejected;
        }
        match self.idempotency {
            Idempotency::Idempotent => CallOutcome::Failed,
            Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => CallOutcome::Unknown,
        }
    }
}
