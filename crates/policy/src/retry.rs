//! Retries, hedged attempts and cancellation.

use crate::dispatch::Policy;
use crate::state::{Attempt, Request};
use crate::{Idempotency, Millis, RequestId};

/// Retries per request taken: more would feed an overload.
pub(crate) const RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// Retries that may be saved up.
pub(crate) const MAX_RETRY_BUDGET: f64 = 10.0;
/// Share of the latency objective that an unresponsive endpoint gets before a request goes elsewhere.
const PATIENCE_SHARE: f64 = 0.5;
/// Times its usual or hinted time that a request may take without suspicion.
pub(crate) const HEAVY_WORK_FACTOR: f64 = 3.0;

impl Policy {
    /// Whether one more attempt at a request could be sent at all.
    pub(crate) fn can_retry(&self, id: RequestId) -> bool {
        let request = &self.requests.requests[&id];
        let is_once_only = self.classes[request.class].idempotency == Idempotency::NonIdempotent;
        let has_attempts_left = request.attempts.len() < self.permissions.max_attempts;
        has_attempts_left && (!is_once_only || request.is_definitely_not_executed())
    }

    /// Attempts that wait alone, and long, at an endpoint that answered nothing since.
    pub(crate) fn unresponsive_attempts(&self, now: Millis) -> Vec<(RequestId, usize)> {
        let mut found = Vec::new();
        for (id, request) in self.requests.requests.iter().filter(|(_, request)| request.is_open()) {
            let patience = self.patience(request);
            let is_stuck = |attempt: &Attempt| {
                let is_late = attempt.outcome.is_none() && now - attempt.sent_at >= patience;
                is_late && !self.registry.endpoints[attempt.endpoint].has_answered_since(attempt)
            };
            if request.attempts_in_flight() == 1 && now < request.objective_deadline {
                let stuck = request.attempts.iter().position(is_stuck);
                found.extend(stuck.map(|attempt| (*id, attempt)));
            }
        }
        found
    }

    fn patience(&self, request: &Request) -> Millis {
        let objective = self.classes[request.class].latency_objective;
        let typical = self.requests.typical_latency[request.class];
        let heavy = HEAVY_WORK_FACTOR * typical.max(request.expected_work.unwrap_or(0.0));
        (PATIENCE_SHARE * objective).max(heavy).min(objective)
    }

    /// A request stuck at an unresponsive endpoint: hedged where permitted, else cancelled to be sent again.
    pub(crate) fn hedge_or_retry(&mut self, id: RequestId, attempt: usize, now: Millis) {
        // In an overload a hedged attempt only takes another's place.
        let is_overloaded = self.shed_probability(&None, now) > 0.0;
        if is_overloaded || self.requests.retry_budget < 1.0 || !self.can_retry(id) {
            return;
        }
        let is_retried = match self.permissions.hedging {
            true => self.route(id, &self.partition(false), now),
            false => self.cancel(id, attempt),
        };
        if is_retried {
            self.requests.retry_budget -= 1.0;
        }
    }
}
