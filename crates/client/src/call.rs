//! Decides the next step of a call, given the outcomes of its attempts. Pure: performs no I/O and reads no clock; the
//! random number generator is a parameter. The rules that it applies are in `rules`.
//!
//! An attempt was definitely not executed only if it was rejected (SQLSTATE 53300 or 57P03), if no connection was
//! established, or if the connection broke before the last byte was written. Any other attempt was possibly executed.

use crate::retry_budget::RetryBudget;
use crate::rules::{self, RetryConditions};
use crate::time::{Millis, Timestamp};
use rand_pcg::Pcg64Mcg;

pub use crate::rules::Idempotency;

/// How an attempt ended; the driver passes it to [`Call::on_attempt_ended`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The attempt was executed and has a value.
    Success,
    /// The gateway rejected the attempt: definitely not executed.
    Rejected {
        /// The minimum time before a retry; `None` if the gateway sent none.
        retry_after: Option<Millis>,
    },
    /// The gateway reported any other error: possibly executed.
    Failed,
    /// No connection was established, or it broke before the last byte was written: definitely not executed.
    NotSent,
    /// The connection broke after the last byte was written, or the response was malformed: possibly executed.
    ConnectionLost,
    /// No response before the deadline of the call: possibly executed.
    Timeout,
}

/// How a call ended; no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was executed and has a value.
    Succeeded,
    /// The call was definitely not executed: the caller may make it again later.
    Rejected,
    /// The call is idempotent and was possibly executed, but has no value. The caller may make it again.
    Failed,
    /// The call is not idempotent, or endpoints may no longer recognize its key, and it was possibly executed. The
    /// caller must not make it again before verifying its effect.
    Unknown,
}

/// The next step of a call, which the driver executes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Wait for `backoff` and for a connection, then call [`Call::begin_attempt`].
    Attempt {
        /// The time to wait before the attempt; 0 for the first one.
        backoff: Millis,
        /// `true` for all attempts but the first; sent to the gateway.
        is_retry: bool,
    },
    /// Make no further attempt, and return this outcome to the caller.
    Finish(CallOutcome),
}

/// The state of a call over all its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    idempotency: Idempotency,
    started_at: Timestamp,
    timeout: Millis,
    /// The least time until the deadline with which an attempt is sent.
    min_request_time: Millis,
    attempts: u32,
    /// The time at which the first attempt that was possibly executed was sent; `None` if there is no such attempt.
    possibly_executed_at: Option<Timestamp>,
    is_finished: bool,
}

impl Call {
    /// Creates a call whose deadline is `timeout` after `now`. No attempt is sent with less than `min_request_time`
    /// until the deadline.
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

    /// The time until the deadline; negative once the deadline has passed.
    #[must_use]
    pub fn time_remaining(&self, now: &Timestamp) -> Millis {
        self.timeout - now.since(&self.started_at)
    }

    /// The number of attempts begun so far, including those whose query was not written completely.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the first step of the call, and adds its share to the retry budget. Called once.
    pub fn start(&mut self, retry_budget: &mut RetryBudget, now: &Timestamp) -> NextStep {
        retry_budget.on_first_attempt(now.monotonic);
        if self.time_remaining(now) < self.min_request_time {
            return NextStep::Finish(self.abandon());
        }
        NextStep::Attempt { backoff: 0.0, is_retry: false }
    }

    /// Begins an attempt and returns the time until the deadline, which is sent to the gateway. `None` if no attempt
    /// may be written now: the driver calls [`Call::abandon`]. Called immediately before the query is written, because
    /// the deadline or the deduplication window may have passed while the call was queued for a connection.
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

    /// Records the outcome of the attempt that was begun at `sent_at`, and returns the next step. Spends a retry of the
    /// budget if that step is an attempt.
    pub fn on_attempt_ended(
        &mut self, outcome: AttemptOutcome, sent_at: Timestamp, retry_budget: &mut RetryBudget,
        rng: &mut Pcg64Mcg, now: &Timestamp,
    ) -> NextStep {
        if self.is_finished {
            return NextStep::Finish(self.outcome_without_success());
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
        // The budget is checked last, so that a retry that is not sent spends nothing.
        if self.retry_conditions(now).can_retry_in(backoff) && retry_budget.try_spend(now.monotonic) {
            NextStep::Attempt { backoff, is_retry: true }
        } else {
            NextStep::Finish(self.abandon())
        }
    }

    /// Finishes the call without a further attempt, and returns its outcome.
    pub fn abandon(&mut self) -> CallOutcome {
        self.is_finished = true;
        self.outcome_without_success()
    }

    /// The outcome of a call of which no attempt succeeded.
    fn outcome_without_success(&self) -> CallOutcome {
        if self.possibly_executed_at.is_none() {
            return CallOutcome::Rejected;
        }
        match self.idempotency {
            Idempotency::Idempotent => CallOutcome::Failed,
            Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => CallOutcome::Unknown,
        }
    }
}
