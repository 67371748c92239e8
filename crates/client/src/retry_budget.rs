//! How many retries a process may make. Each first attempt adds a fraction of a retry to the budget, so that retries
//! stay a small share of all attempts and do not amplify an overload; a small reserve allows idle processes to retry.

use crate::rules;
use crate::time::Millis;

/// The retry budget of a process, shared by all its calls. [`RetryBudget::default`] has the reserve only.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    available_retries: f64,
    /// The monotonic time of the last refill; `None` before the first.
    updated_at: Option<Millis>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { available_retries: rules::RESERVED_RETRIES, updated_at: None }
    }
}

impl RetryBudget {
    /// Adds the fraction of a retry that a first attempt earns; called once for each call. `now` is monotonic.
    pub fn on_first_attempt(&mut self, now: Millis) {
        self.refill_reserve(now);
        self.available_retries = rules::retries_after_first_attempt(self.available_retries);
    }

    /// Spends one retry. Returns `false` if the budget is below one: the caller must not retry. `now` is monotonic.
    pub fn try_spend(&mut self, now: Millis) -> bool {
        self.refill_reserve(now);
        let is_available = self.available_retries >= 1.0;
        if is_available {
            self.available_retries -= 1.0;
        }
        is_available
    }

    /// Adds what the time since the last refill earns, up to the reserve.
    fn refill_reserve(&mut self, now: Millis) {
        let elapsed = now - self.updated_at.replace(now).unwrap_or(now);
        self.available_retries = rules::retries_after_time(self.available_retries, elapsed);
    }
}
