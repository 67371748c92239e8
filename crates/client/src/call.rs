//! What one call does next, given the outcomes of its attempts. Pure: no sockets and no clock; the random number
//! generator is a parameter. The rules themselves are in `rules`.
//!
//! An attempt was definitely not executed only where it was rejected (SQLSTATE 53300 or 57P03), its connection was not
//! established, or that broke before the last byte was written. Any other attempt was possibly executed.

use crate::retry_budget::RetryBudget;
use crate::rules::{self, RetryConditions};
use crate::time::{Millis, Timestamp};
use rand_pcg::Pcg64Mcg;

pub use crate::rules::Idempotency;

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
    /// No answer before the timeout: possibly executed.
    Timeout,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was executed.
    Succeeded,
    /// It was definitely not executed: calling again later is harmless.
    Rejected,
    /// It has no answer; calling again is harmless since it is idempotent.
    Failed,
    /// It was possibly executed and must not be sent again.
    Unknown,
}

/// What a call does next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Make an attempt.
    Attempt {
        /// The time in ms to wait before it.
        backoff: Millis,
        /// It is not the first attempt.
        is_retry: bool,
    },
    /// Finish with an outcome.
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
    /// A call that starts now, with its timeout and the least time that a request needs, both in ms.
    #[must_use]
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
    #[must_use]
    pub fn time_remaining(&self, now: &Timestamp) -> Millis {
        self.timeout - now.since(&self.started_at)
    }

    /// Attempts so far, including an attempt whose query was possibly not written.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// The first step of the call; it earns a part of a retry.
    pub fn start(&mut self, retry_budget: &mut RetryBudget, now: &Timestamp) -> NextStep {
        retry_budget.on_first_attempt(now.monotonic);
        if self.time_remaining(now) < self.min_request_time {
            return NextStep::Finish(self.abandon());
        }
        NextStep::Attempt { backoff: 0.0, is_retry: false }
    }

    /// Begins an attempt and returns the time remaining in ms, which is sent to the gateway; none if an attempt must
    /// not be written now. The driver calls this immediately before writing: a call that was queued for a connection
    /// may have passed its timeout or its deduplication window.
    pub fn begin_attempt(&mut self, now: &Timestamp) -> Option<Millis> {
        let conditions = self.retry_conditions(now);
        if self.is_finished || !conditions.can_send_now() {
            return None;
        }
        self.attempts += 1;
        Some(conditions.time_remaining)
    }

    fn retry_conditions(&self, now: &Timestamp) -> RetryConditions {
        RetryConditions {
            attempts: self.attempts,
            time_remaining: self.time_remaining(now),
            min_request_time: self.min_request_time,
            idempotency: self.idempotency,
            since_possibly_executed: self.possibly_executed_at.map(|executed_at| now.since(&executed_at)),
        }
    }

    /// Records the outcome of an attempt that was written at `sent_at`, and decides the next step.
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
                min_backoff = rules::retry_after_delay(retry_after, rng);
            }
            AttemptOutcome::NotSent => {}
            AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::Timeout => {
                self.possibly_executed_at.get_or_insert(sent_at);
            }
        }
        let backoff = rules::retry_backoff(self.attempts, rng).max(min_backoff);
        // The budget is checked last: a retry that is not sent spends nothing.
        if self.retry_conditions(now).can_retry_in(backoff) && retry_budget.try_spend(now.monotonic) {
            NextStep::Attempt { backoff, is_retry: true }
        } else {
            NextStep::Finish(self.abandon())
        }
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
