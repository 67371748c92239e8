//! Retries and hedged requests.
//!
//! Problem: retries multiply the load of an overload, and an unresponsive endpoint consumes a request's latency
//! objective. Method: a retry after an attempt that has ended is bounded by the attempts permitted and the latency objective.
//! An early one, for an attempt whose endpoint answers nothing within a patience, is hedged or, where hedging is not
//! permitted, cancelled and sent again; early retries have a budget in proportion to the requests that arrive.
//!
//! [`Policy`](crate::Policy) calls [`unresponsive_attempt`] for each open request on each tick, and [`is_early_retry_allowed`]
//! before it acts on one. [`can_retry`] also decides on requests whose attempts have all failed.

use crate::exposure::SAFETY_MARGIN;
use crate::request::{Idempotency, RequestClass};
use crate::state::registry::EndpointTable;
use crate::state::requests::{Attempt, Request};
use crate::time::Millis;

/// Early retries added to the budget by each request that arrives.
pub(crate) const EARLY_RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// Maximum of the budget of early retries.
pub(crate) const MAX_EARLY_RETRY_BUDGET: f64 = 10.0;
/// Share of the latency objective after which an unanswered attempt counts as unresponsive.
const PATIENCE_SHARE: f64 = 0.5;
/// Factor on the usual or expected time up to which an attempt counts as heavy work.
pub(crate) const HEAVY_WORK_FACTOR: f64 = 3.0;

/// Whether one more attempt at a request is permitted; `max_attempts`: attempts per request, the first included.
pub(crate) fn can_retry(request: &Request, idempotency: Idempotency, max_attempts: usize) -> bool {
    let is_repeatable = idempotency != Idempotency::NonIdempotent || request.is_definitely_not_executed();
    request.attempts.len() < max_attempts && is_repeatable
}

/// The number of the attempt that alone is in flight, has exceeded the patience, and whose endpoint has answered nothing
/// since it was sent. `typical_latency`: ms that answers of the class usually take.
pub(crate) fn unresponsive_attempt(
    request: &Request, class: &RequestClass, typical_latency: Millis, endpoints: &EndpointTable, now: Millis,
) -> Option<usize> {
    if request.attempts_in_flight() != 1 || now >= request.objective_deadline {
        return None;
    }
    let patience = patience(class, typical_latency, request.expected_work);
    let is_unresponsive = |attempt: &Attempt| {
        let is_late = attempt.outcome.is_none() && now - attempt.sent_at >= patience;
        is_late && !attempt.is_followed_by_response(&endpoints[attempt.endpoint])
    };
    request.attempts.iter().position(is_unresponsive)
}

/// ms after which an attempt at an endpoint without answers counts as unresponsive.
fn patience(class: &RequestClass, typical_latency: Millis, expected_work: Option<Millis>) -> Millis {
    let heavy = HEAVY_WORK_FACTOR * typical_latency.max(expected_work.unwrap_or(0.0));
    (PATIENCE_SHARE * class.latency_objective).max(heavy).min(class.latency_objective)
}

/// ms that an attempt may take: until the latency objective, so that the endpoint drops late work unexecuted.
pub(crate) fn attempt_timeout(request: &Request, now: Millis) -> Millis {
    (request.objective_deadline - now).max(SAFETY_MARGIN)
}

/// Whether a request may be hedged or sent again before its attempt has ended: not in an overload, where it would only
/// displace another request. `early_retry_budget`: early retries that may be sent.
pub(crate) fn is_early_retry_allowed(shed_probability: f64, early_retry_budget: f64) -> bool {
    shed_probability <= 0.0 && early_retry_budget >= 1.0
}
