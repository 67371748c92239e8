//! Which requests are taken, queued or turned away, and final answers without a result.

use crate::dispatch::Policy;
use crate::exposure::SAFETY_MARGIN;
use crate::policy::RATE_WINDOW;
use crate::retry::{MAX_RETRY_BUDGET, RETRY_BUDGET_PER_REQUEST};
use crate::state::Request;
use crate::{Action, DedupScope, Idempotency, IncomingRequest, Millis, RequestId, UnservedReason};
use rand::RngExt;

/// Share of a tenant's requests served well under which some are rejected at once.
const MIN_SERVED_WELL: f64 = 0.8;
/// Share of the latency objective left that counts as served well; what barely makes it tells of queues.
const WELL_SERVED_TIME_LEFT: f64 = 0.6;
/// Times more of the retries rejected: clients retry what was rejected.
const RETRY_SHED_FACTOR: f64 = 4.0;
/// ms in which the weight of a request there halves: about the time an answer takes.
pub(crate) const SERVICE_HALF_LIFE: Millis = 1000.0;
/// Requests taken as served well beforehand: a gateway may see few.
const ASSUMED_SERVED_WELL: f64 = 2.0;

/// Share of the latency objective that answers are taken to need before any came.
pub(crate) const INITIAL_LATENCY_SHARE: f64 = 0.25;

impl Policy {
    pub(crate) fn on_request(&mut self, request: IncomingRequest, now: Millis) {
        let id = request.id;
        let Some(class) = self.class_named(&request.class) else {
            return self.actions.push(Action::Fail { id, reason: UnservedReason::UnknownClass });
        };
        if !request.is_retry {
            self.registry.arrivals.record(now, 2.0 * RATE_WINDOW);
        }
        self.exposure.record_arrival(class, now - request.queued_for);
        self.requests.add_retry_budget(RETRY_BUDGET_PER_REQUEST, MAX_RETRY_BUDGET);
        let objective = self.remaining_objective(&request, class);
        let shed_factor = if request.is_retry { RETRY_SHED_FACTOR } else { 1.0 };
        let draw = self.rng.random::<f64>();
        let is_shed = draw < shed_factor * self.shed_probability(&request.tenant, now);
        self.requests.requests.insert(id, Request::new(request, class, objective, now));
        if is_shed {
            self.answer_unserved(id, UnservedReason::Overload, now);
        } else {
            self.requests.queue.push(id);
        }
    }

    /// The time left for an answer in time: for a retry that of its first attempt.
    fn remaining_objective(&mut self, request: &IncomingRequest, class: usize) -> Millis {
        let objective = self.classes[class].objective_for(request.expected_work);
        let left = request.time_remaining;
        let longest = &mut self.requests.longest_timeout[class];
        *longest = longest.max(left);
        let began_earlier = request.is_retry && left < *longest - SAFETY_MARGIN && left >= objective;
        let timeout = self.classes[class].timeout;
        if began_earlier { (objective - (timeout - left)).max(0.0) } else { objective }
    }

    /// The probability of rejecting a tenant's request at once: its few weighed with those of all tenants here.
    pub(crate) fn shed_probability(&mut self, tenant: &Option<String>, now: Millis) -> f64 {
        let mut served_well = 1.0;
        for service in self.requests.service_levels(tenant) {
            served_well = service.share_served_well(now, ASSUMED_SERVED_WELL, served_well);
        }
        1.0 - served_well / MIN_SERVED_WELL
    }

    /// How well a request was served that has its result now.
    pub(crate) fn service_quality(request: &Request, now: Millis) -> f64 {
        (request.share_of_objective_left(now) / WELL_SERVED_TIME_LEFT).clamp(0.0, 1.0)
    }

    /// Learns how others were served: `time_left` is the share of the latency objective that answers left.
    pub(crate) fn record_reported_service(
        &mut self, requests: f64, error_rate: f64, time_left: f64, now: Millis,
    ) {
        let quality = (1.0 - error_rate) * (time_left / WELL_SERVED_TIME_LEFT).clamp(0.0, 1.0);
        self.requests.overall_service.record(now, requests, quality);
    }

    /// Sends what is queued, newest first: in order all would be late. Answers at once what can't be in time.
    pub(crate) fn dispatch_queued(&mut self, now: Millis) {
        if self.requests.queue.is_empty() {
            return;
        }
        self.registry.refill_slow_start_tokens(now);
        if self.registry.is_list_expired(now) {
            let waiting = std::mem::take(&mut self.requests.queue);
            return waiting
                .into_iter()
                .for_each(|id| self.answer_unserved(id, UnservedReason::ListExpired, now));
        }
        let sides = [self.partition(true), self.partition(false)];
        let classes = &self.classes;
        let rank = |request: &Request| (classes[request.class].priority_weight, request.arrived_at);
        for id in self.requests.take_queue(rank) {
            let request = &self.requests.requests[&id];
            let expected_work = request.expected_work.unwrap_or(0.0);
            let needed = self.requests.typical_latency[request.class].max(expected_work);
            let is_hopeless = now + needed > request.objective_deadline;
            let is_in_time = now < request.objective_deadline - SAFETY_MARGIN;
            if is_in_time && sides.iter().any(|sides| self.route(id, sides, now)) {
                continue;
            }
            if is_hopeless {
                self.answer_unserved(id, UnservedReason::NoEndpoint, now);
            } else {
                self.requests.queue.push(id);
            }
        }
    }

    /// The gate of all final answers without a result: rejected where a retry is harmless, failed otherwise.
    pub(crate) fn answer_unserved(&mut self, id: RequestId, reason: UnservedReason, now: Millis) {
        let Some(request) = self.requests.unanswered(id) else { return };
        let class = &self.classes[request.class];
        let is_retry_harmless = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey if class.dedup_scope == DedupScope::All => true,
            _ => request.is_definitely_not_executed(),
        };
        let retry_after = self.permissions.max_retry_after.map(|max| class.latency_objective.min(max));
        self.actions.push(match is_retry_harmless {
            true => Action::Reject { id, retry_after, reason },
            false => Action::Fail { id, reason },
        });
        self.close(id, 0.0, now);
    }
}
