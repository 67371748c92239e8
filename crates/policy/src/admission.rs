//! Admission of requests: load shedding, the order of the queue, and final answers without a result.
//!
//! Problem: during an overload every request waits so long that none meets its latency objective. Method: each tenant's
//! share of requests that were served well decides which share of its new requests is rejected on arrival; those
//! admitted are sent newest first, and one that no endpoint accepts is answered as soon as it can no longer be on time.
//!
//! [`Policy`](crate::Policy) calls these rules when a request arrives ([`shed_probability`], [`rejection_probability`],
//! [`remaining_objective`]), after each batch of events ([`queue_rank`], [`would_be_late`]) and for each final answer
//! ([`unserved_answer`], [`service_quality`]). All inputs are parameters.

use crate::action::{Action, UnservedReason};
use crate::event::IncomingRequest;
use crate::exposure::TIME_LIMIT_SAFETY_MARGIN;
use crate::request::{DedupScope, Idempotency, RequestClass, RequestId};
use crate::state::requests::{Request, ServiceLevel};
use crate::time::Millis;

/// Share of a tenant's requests served well below which some are rejected.
const MIN_SERVED_WELL: f64 = 0.8;
/// Share of the latency objective left from which an answer counts as served well: less indicates queueing.
const WELL_SERVED_TIME_LEFT: f64 = 0.6;
/// Factor on the shed probability of retries: clients retry what was rejected.
const RETRY_SHED_FACTOR: f64 = 4.0;
/// ms in which the weight of a served request halves.
pub(crate) const SERVICE_HALF_LIFE: Millis = 1000.0;
/// Requests assumed to be served well: prior for gateways with little traffic.
const ASSUMED_SERVED_WELL: f64 = 2.0;
/// Share of the latency objective that answers are assumed to need before the first one arrives.
const INITIAL_LATENCY_SHARE: f64 = 0.25;

/// ms that an answer of a class is assumed to take before the first one arrives.
pub(crate) fn initial_latency(class: &RequestClass) -> Millis {
    class.latency_objective * INITIAL_LATENCY_SHARE
}

/// The probability of rejecting a request on arrival, below 0 without overload. `service_levels`: of all requests, then
/// of the tenant's; the first is the prior of the second, since a gateway sees few requests of one tenant.
pub(crate) fn shed_probability(service_levels: [&mut ServiceLevel; 2], now: Millis) -> f64 {
    let mut served_well = 1.0;
    for service in service_levels {
        served_well = service.share_served_well(now, ASSUMED_SERVED_WELL, served_well);
    }
    1.0 - served_well / MIN_SERVED_WELL
}

/// The probability of rejecting one request: higher for a retry than the tenant's `shed_probability`.
pub(crate) fn rejection_probability(shed_probability: f64, is_retry: bool) -> f64 {
    let factor = if is_retry { RETRY_SHED_FACTOR } else { 1.0 };
    factor * shed_probability
}

/// ms left for an answer within the latency objective; a retry continues the objective of its first attempt.
/// `longest_timeout`: the longest time in ms that clients of the class have left to a request so far.
pub(crate) fn remaining_objective(
    request: &IncomingRequest, class: &RequestClass, longest_timeout: Millis,
) -> Millis {
    let objective = class.objective_for(request.expected_work);
    let left = request.time_remaining;
    // A retry with less time than clients of the class leave to a first attempt began earlier. Below the objective its client
    // may simply have a short timeout.
    let began_earlier =
        request.is_retry && left < longest_timeout - TIME_LIMIT_SAFETY_MARGIN && left >= objective;
    if began_earlier { (objective - (class.timeout - left)).max(0.0) } else { objective }
}

/// How well an answered request was served, from 0 to 1; `time_left`: the share of its latency objective left.
pub(crate) fn service_quality(time_left: f64) -> f64 {
    (time_left / WELL_SERVED_TIME_LEFT).clamp(0.0, 1.0)
}

/// How well requests were served that others report; `error_rate`: the share that failed, `time_left`: the share of the
/// latency objective that the answers left on average.
pub(crate) fn reported_quality(error_rate: f64, time_left: f64) -> f64 {
    (1.0 - error_rate) * service_quality(time_left)
}

/// The rank of a request in the queue, highest first: within a priority the newest, since in order of arrival all would
/// be late in an overload.
pub(crate) fn queue_rank(request: &Request, classes: &[RequestClass]) -> (f64, Millis) {
    (classes[request.class].priority_weight, request.arrived_at)
}

/// ms that an answer is expected to take; `typical_latency`: ms that answers of the class usually take.
pub(crate) fn expected_latency(request: &Request, typical_latency: Millis) -> Millis {
    typical_latency.max(request.expected_work.unwrap_or(0.0))
}

/// Whether an answer that takes so long in ms from now on would miss the latency objective.
pub(crate) fn would_be_late(request: &Request, expected_latency: Millis, now: Millis) -> bool {
    now + expected_latency > request.objective_deadline
}

/// Whether an attempt may still be sent within the latency objective.
pub(crate) fn is_within_objective(request: &Request, now: Millis) -> bool {
    now < request.objective_deadline - TIME_LIMIT_SAFETY_MARGIN
}

/// The final answer without a result: rejected where a retry is harmless, failed otherwise. `max_retry_after`: the
/// longest Retry-After in ms that clients honour.
pub(crate) fn unserved_answer(
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
