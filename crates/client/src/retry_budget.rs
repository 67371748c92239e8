//! How many retries a process may make. Each first attempt earns a part of a retry, so that retries never multiply an
//! overload; a small reserve lets idle processes retry at all.

use crate::time::Millis;

/// The part of a retry that each first attempt earns: a site that loses a fifth of its endpoints needs no more.
const EARNED_PER_ATTEMPT: f64 = 0.1;
/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// The time in ms in which an idle process earns one retry, up to the reserve.
const RESERVE_INTERVAL: Millis = 2_000.0;
/// Retries that an idle process may save up.
const RESERVED_RETRIES: f64 = 2.0;

/// The retries that a process has saved up.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_retries: f64,
    updated_at: Option<Millis>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved_retries: RESERVED_RETRIES, updated_at: None }
    }
}

impl RetryBudget {
    /// Earns a part of a retry for a first attempt; `now`: monotonic time.
    pub fn on_first_attempt(&mut self, now: Millis) {
        self.refill_reserve(now);
        self.saved_retries = (self.saved_retries + EARNED_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Spends one retry. Returns false where none is saved up.
    pub fn try_spend(&mut self, now: Millis) -> bool {
        self.refill_reserve(now);
        let has_retry = self.saved_retries >= 1.0;
        if has_retry {
            self.saved_retries -= 1.0;
        }
        has_retry
    }

    /// Earns up to the reserve by the time that passed; a suspended process earns no more than that.
    fn refill_reserve(&mut self, now: Millis) {
        let elapsed = now - self.updated_at.replace(now).unwrap_or(now);
        if self.saved_retries < RESERVED_RETRIES {
            let earned = elapsed.max(0.0) / RESERVE_INTERVAL;
            self.saved_retries = (self.saved_retries + earned).min(RESERVED_RETRIES);
        }
    }
}
