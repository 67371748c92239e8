//! How many retries a process may make. Each first attempt earns a part of a retry, so that retries do not multiply an
//! overload; a small reserve allows idle processes to retry.

use crate::rules;
use crate::time::Millis;

/// The retries that a process has saved up.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_retries: f64,
    updated_at: Option<Millis>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved_retries: rules::RESERVED_RETRIES, updated_at: None }
    }
}

impl RetryBudget {
    /// Earns a part of a retry for a first attempt; `now`: monotonic time in ms.
    pub fn on_first_attempt(&mut self, now: Millis) {
        self.refill_reserve(now);
        self.saved_retries = rules::retries_after_first_attempt(self.saved_retries);
    }

    /// Spends one retry; `now`: monotonic time in ms. Returns false if none is saved up.
    pub fn try_spend(&mut self, now: Millis) -> bool {
        self.refill_reserve(now);
        let has_retry = self.saved_retries >= 1.0;
        if has_retry {
            self.saved_retries -= 1.0;
        }
        has_retry
    }

    /// Earns up to the reserve for the time that passed.
    fn refill_reserve(&mut self, now: Millis) {
        let elapsed = now - self.updated_at.replace(now).unwrap_or(now);
        self.saved_retries = rules::retries_after_time(self.saved_retries, elapsed);
    }
}
