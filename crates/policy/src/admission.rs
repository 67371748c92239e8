//! Admission of requests: load shedding, the order of the queue, and the final status of requests without a result.
//!
//! Problem: during an overload every request waits so long that none meets its latency objective. Method: the mean
//! service quality of each tenant's recent requests decides which share of its new requests is rejected on arrival.
//! Service quality ranges from 0 for a request without a result to 1 for a success with a sufficient share of its
//! latency objective left. Admitted requests are sent newest first. One that no endpoint is available to gets its final
//! status as soon as it can no longer meet its objective.
//!
//! [`Policy`](crate::Policy) calls these rules when a request arrives ([`shed_probability`], [`rejection_probability`],
//! [`remaining_objective`]), after each batch of events ([`queue_rank`], [`would_be_late`]) and when a request gets its
//! final status ([`reject_or_fail`], [`service_quality`]). All inputs are parameters.

use crate::action::{Action, UnservedReason};
use crate::event::IncomingRequest;
use crate::exposure::TIME_LIMIT_SAFETY_MARGIN;
use crate::request::{DedupScope, Idempotency, RequestClass, RequestId};
use crate::state::requests::{Request, ServiceLevel};
use crate::time::Millis;

/// Mean service quality of a tenant's requests below which some of its new requests are rejected.
const MIN_SERVICE_QUALITY: f64 = 0.8;
/// Share of the latency objective left from which a success has full service quality: less indicates queueing.
const FULL_QUALITY_TIME_LEFT: f64 = 0.6;
/// Ratio of a retry's rejection probability to that of a first attempt. Retries are shed more often because each
/// rejection makes clients send further retries.
const RETRY_SHED_FACTOR: f64 = 4.0;
/// Time after which the service quality of a request has half its initial weight.
pub(crate) const SERVICE_LEVEL_HALF_LIFE: Millis = 1000.0;
/// Number of requests that the prior of the mean service quality counts as: bounds the effect of single requests at
/// gateways with little traffic.
const PRIOR_REQUESTS: f64 = 2.0;
/// Latency that a class is assumed to have before its first success, as a share of its latency objective.
const INITIAL_LATENCY_SHARE: f64 = 0.25;

/// The latency that a class is assumed to have before its first success.
pub(crate) fn initial_latency(class: &RequestClass) -> Millis {
    class.latency_objective * INITIAL_LATENCY_SHARE
}

/// The probability of rejecting a tenant's request on arrival; 0 or below without overload. `service_levels`: the
/// service level of all requests, then that of the tenant's requests. The first is the prior of the second, since a
/// gateway receives few requests of one tenant.
pub(crate) fn shed_probability(service_levels: [&mut ServiceLevel; 2], now: Millis) -> f64 {
    let mut mean_quality = 1.0;
    for service in service_levels {
        mean_quality = service.share_served_well(now, PRIOR_REQUESTS, mean_quality);
    }
    1.0 - mean_quality / MIN_SERVICE_QUALITY
}

/// The probability of rejecting one request: higher for a retry than the tenant's `shed_probability`.
pub(crate) fn rejection_probability(shed_probability: f64, is_retry: bool) -> f64 {
    let factor = if is_retry { RETRY_SHED_FACTOR } else { 1.0 };
    factor * shed_probability
}

/// The time left of the latency objective; a retry continues the objective of the client's first attempt.
/// `longest_timeout`: the longest remaining client timeout that a request of the class has arrived with so far.
pub(crate) fn remaining_objective(
    request: &IncomingRequest, class: &RequestClass, longest_timeout: Millis,
) -> Millis {
    let objective = class.objective_for(request.expected_work);
    let left = request.time_remaining;
    // A retry that arrives with less time than first attempts of its class started earlier. If the time left is below
    // the objective, the client may simply have a short timeout.
    let is_continued =
        request.is_retry && left < longest_timeout - TIME_LIMIT_SAFETY_MARGIN && left >= objective;
    if is_continued { (objective - (class.timeout - left)).max(0.0) } else { objective }
}

/// The service quality of a successful request, from 0 to 1; `time_left`: the share of its latency objective left.
pub(crate) fn service_quality(time_left: f64) -> f64 {
    (time_left / FULL_QUALITY_TIME_LEFT).clamp(0.0, 1.0)
}

/// The mean service quality, from 0 to 1, of reported attempts of other senders (proxies); `error_rate`: the share that
/// failed, `time_left`: the mean share of the latency objective that was left at the successes.
pub(crate) fn reported_quality(error_rate: f64, time_left: f64) -> f64 {
    (1.0 - error_rate) * service_quality(time_left)
}

/// The rank of a request in the queue, highest first: by priority weight, then by arrival time. The newest is first
/// because in order of arrival all requests would be late in an overload.
pub(crate) fn queue_rank(request: &Request, classes: &[RequestClass]) -> (f64, Millis) {
    (classes[request.class].priority_weight, request.arrived_at)
}

/// The expected latency of a request; `typical_latency`: that of recent successes of its class.
pub(crate) fn expected_latency(request: &Request, typical_latency: Millis) -> Millis {
    typical_latency.max(request.expected_work.unwrap_or(0.0))
}

/// Whether a response with this latency from now on would miss the latency objective.
pub(crate) fn would_be_late(request: &Request, expected_latency: Millis, now: Millis) -> bool {
    now + expected_latency > request.objective_deadline
}

/// Whether an attempt may still be sent within the latency objective.
pub(crate) fn is_within_objective(request: &Request, now: Millis) -> bool {
    now < request.objective_deadline - TIME_LIMIT_SAFETY_MARGIN
}

/// The final status of a request without a result: rejected if a retry by the client is harmless, else failed.
/// `max_retry_after`: the longest Retry-After that clients honour; `None` if they honour none.
pub(crate) fn reject_or_fail(
    id: RequestId, request: &Request, class: &RequestClass, max_retry_after: Option<Millis>,
    reason: UnservedReason,
) -> Action {
    let is_retry_harmless = match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey if class.dedup_scope == DedupScope::All => true,
        _ => request.is_definitely_not_executed(),
    };
    let retry_after = max_retry_after.map(|max| class.latency_objective.min(max));
    if is_retry_harmless { Action::Reject { id, retry_after, reason } } else { Action::Fail { id, reason } }
}
