//! Retries and hedged requests.
//!
//! Problem: retries multiply the load of an overload, and an unresponsive endpoint uses up a request's latency
//! objective. Method: a retry after an attempt has completed is limited by the number of attempts permitted and the
//! latency objective. An early retry replaces an attempt that is in flight at an endpoint that has sent no response for
//! some time: the request is hedged or, if hedging is not permitted, the attempt is cancelled and the request is sent
//! again. Early retries have a budget in proportion to the requests that arrive.
//!
//! [`Policy`](crate::Policy) calls [`unresponsive_attempt`] for each pending request on each tick, and
//! [`is_early_retry_allowed`] before it acts on the result. [`can_retry`] also decides on requests whose attempts have
//! all failed.

use crate::exposure::TIME_LIMIT_SAFETY_MARGIN;
use crate::request::{Idempotency, RequestClass};
use crate::state::registry::EndpointTable;
use crate::state::requests::{Attempt, Request};
use crate::time::Millis;

/// Early retries added to the budget by each request that arrives.
pub(crate) const EARLY_RETRY_BUDGET_PER_REQUEST: f64 = 0.15;
/// Maximum of the budget of early retries.
pub(crate) const MAX_EARLY_RETRY_BUDGET: f64 = 10.0;
/// Share of the latency objective before which no attempt counts as unresponsive.
const EARLY_RETRY_DELAY_SHARE: f64 = 0.5;
/// Ratio of a latency to the typical or expected one that heavy work may still explain: bounds the delay of early
/// retries from below, and the effect of one late response on the concurrency limit.
pub(crate) const MAX_LATENCY_RATIO: f64 = 3.0;

/// Whether one more attempt at a request is permitted; `max_attempts`: attempts per request, the first included.
pub(crate) fn can_retry(request: &Request, idempotency: Idempotency, max_attempts: usize) -> bool {
    let is_repeatable = idempotency != Idempotency::NonIdempotent || request.is_definitely_not_executed();
    request.attempts.len() < max_attempts && is_repeatable
}

/// The number of the only attempt in flight, if it is unresponsive: it was sent at least the delay of early retries
/// ago, and its endpoint has sent no response since. `typical_latency`: that of recent successes of the class.
pub(crate) fn unresponsive_attempt(
    request: &Request, class: &RequestClass, typical_latency: Millis, endpoints: &EndpointTable, now: Millis,
) -> Option<usize> {
    if request.attempts_in_flight() != 1 || now >= request.objective_deadline {
        return None;
    }
    let delay = early_retry_delay(class, typical_latency, request.expected_work);
    let is_unresponsive = |attempt: &Attempt| {
        let is_late = attempt.outcome.is_none() && now - attempt.sent_at >= delay;
        is_late && !attempt.is_followed_by_response(&endpoints[attempt.endpoint])
    };
    request.attempts.iter().position(is_unresponsive)
}

/// Time after which an attempt without a response may count as unresponsive: longer for heavy work, and at most the
/// latency objective.
fn early_retry_delay(class: &RequestClass, typical_latency: Millis, expected_work: Option<Millis>) -> Millis {
    let heavy_work = MAX_LATENCY_RATIO * typical_latency.max(expected_work.unwrap_or(0.0));
    (EARLY_RETRY_DELAY_SHARE * class.latency_objective).max(heavy_work).min(class.latency_objective)
}

/// The timeout of an attempt sent now: the time left until the deadline of the request's latency objective, so that the
/// endpoint drops late work unexecuted; at least [`TIME_LIMIT_SAFETY_MARGIN`].
pub(crate) fn attempt_timeout(request: &Request, now: Millis) -> Millis {
    (request.objective_deadline - now).max(TIME_LIMIT_SAFETY_MARGIN)
}

/// Whether a request may be hedged or sent again before its attempt has completed: not in an overload, where the
/// additional attempt would displace another request. `early_retry_budget`: number of early retries left.
pub(crate) fn is_early_retry_allowed(shed_probability: f64, early_retry_budget: f64) -> bool {
    shed_probability <= 0.0 && early_retry_budget >= 1.0
}
