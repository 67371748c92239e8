//! The entry point of [`Policy`], whose state is in `dispatch`: batches of events in, actions out.
//!
//! An adapter calls [`Policy::handle_events`] with all events since its last call and performs the returned actions in
//! order. The policy collects the inputs of each rule, calls it (in the module named by its path) and applies the
//! result. All random numbers derive from the seed: the same seed and events give the same actions.

use crate::action::{Action, UnservedReason};
use crate::admission;
use crate::discovery_calls::CALL_TIMEOUT;
use crate::dispatch::Policy;
use crate::event::{CompletedAttempt, Event, IncomingRequest};
use crate::outlier::{self, NEWEST_SAMPLE_WEIGHT};
use crate::request::{AttemptOutcome, RequestId};
use crate::retry::{self, EARLY_RETRY_BUDGET_PER_REQUEST, MAX_EARLY_RETRY_BUDGET};
use crate::routing::{self, AttemptRules, EndpointLoad, GroupDrawInputs};
use crate::slow_start::{ARRIVAL_RATE_WINDOW, ARRIVAL_RETENTION};
use crate::state::canary::AnalysisView;
use crate::state::endpoint::EndpointIndex;
use crate::state::registry::VersionGroups;
use crate::state::requests::{Attempt, Request};
use crate::statistics::indicator;
use crate::time::Millis;
use rand::RngExt;

/// Interval of ticks while there are requests.
const TICK_INTERVAL: Millis = 10.0;
/// Interval of ticks without requests and without a canary.
const IDLE_TICK_INTERVAL: Millis = 1000.0;
/// Interval of the analyses of a canary.
const ANALYSIS_INTERVAL: Millis = 250.0;
/// Tolerance for timers that fire early.
const TIMER_TOLERANCE: Millis = 1.0;
/// Lateness of a timer beyond which this process counts as stalled: outcomes of attempts sent earlier are no evidence.
const STALL_THRESHOLD: Millis = 150.0;

impl Policy {
    /// Handles events in order, all of which happened by `now` in milliseconds, and returns the actions to perform, in
    /// order. `now` must not decrease between calls.
    pub fn handle_events(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        if now > self.timer.fires_at + STALL_THRESHOLD {
            self.resumed_at = Some(now);
        }
        for event in events {
            self.on_event(event, now);
        }
        if self.timer.next_tick_at <= now + TIMER_TOLERANCE {
            self.on_tick(now);
        }
        self.dispatch_queued(now);
        let idle = if self.analysis.is_idle() { IDLE_TICK_INTERVAL } else { ANALYSIS_INTERVAL };
        let interval = if self.requests.requests.is_empty() { idle } else { TICK_INTERVAL };
        let poll_at = self.registry.next_watch_call_at.map(|at| at.max(now + TICK_INTERVAL));
        self.actions.extend(self.timer.schedule(interval, poll_at, TIMER_TOLERANCE, now));
        std::mem::take(&mut self.actions)
    }

    /// Calls for the endpoint list if due, finishes overdue requests, retries unresponsive attempts and analyses the
    /// canary.
    fn on_tick(&mut self, now: Millis) {
        // No tick is due (an infinite time) until one is scheduled at the end of this batch of events.
        self.timer.next_tick_at = f64::INFINITY;
        if self.registry.next_watch_call_at.is_some_and(|at| at <= now + TIMER_TOLERANCE) {
            self.registry.next_watch_call_at = Some(now + CALL_TIMEOUT);
            self.actions.push(Action::WatchEndpoints { enabled: true });
        }
        let unresponsive = self.unresponsive_attempts(now);
        let overdue = self.requests.overdue(now);
        for id in overdue {
            self.finish_overdue(id, now);
        }
        for (id, attempt) in unresponsive {
            self.hedge_or_retry(id, attempt, now);
        }
        if let Some(rollout) = self.exposure.rollout
            && now - self.analysis.analysed_at >= ANALYSIS_INTERVAL - TIMER_TOLERANCE
        {
            let view = AnalysisView::new(&self.registry, self.partition(false), ARRIVAL_RATE_WINDOW, now);
            let endpoints = &mut self.registry.endpoints;
            self.analysis.analyse(&mut self.rng, endpoints, &view, &rollout, &mut self.actions);
        }
    }

    /// Rejects an arriving request by load shedding, or queues it.
    pub(crate) fn on_request(&mut self, incoming: IncomingRequest, now: Millis) {
        let id = incoming.id;
        let Some(class) = self.class_index(&incoming.class) else {
            return self.actions.push(Action::Fail { id, reason: UnservedReason::UnknownClass });
        };
        if !incoming.is_retry {
            self.registry.arrivals.record(now, ARRIVAL_RETENTION);
        }
        self.exposure.record_arrival(class, now - incoming.queued_for);
        self.requests.add_early_retry_budget(EARLY_RETRY_BUDGET_PER_REQUEST, MAX_EARLY_RETRY_BUDGET);
        let longest_timeout = self.requests.record_client_timeout(class, incoming.time_remaining);
        let objective = admission::remaining_objective(&incoming, &self.classes[class], longest_timeout);
        let draw = self.rng.random::<f64>();
        let tenant_shed_probability = self.shed_probability(incoming.tenant.as_deref(), now);
        let shed_probability = admission::rejection_probability(tenant_shed_probability, incoming.is_retry);
        self.requests.requests.insert(id, Request::new(incoming, class, objective, now));
        if draw < shed_probability {
            self.finish_unserved(id, UnservedReason::Overload { shed_probability }, now);
        } else {
            self.requests.queue.push(id);
        }
    }

    /// Updates the state of a completed attempt's endpoint, then finishes or retries its request.
    pub(crate) fn on_attempt_completed(&mut self, completed: &CompletedAttempt, now: Millis) {
        let CompletedAttempt { id, outcome, elapsed, connected_at, .. } = *completed;
        let Some(attempt) = self.requests.complete_attempt(completed) else { return };
        let is_same_incarnation = self.registry.endpoints[attempt.endpoint].release(attempt.incarnation);
        if is_same_incarnation && outcome == AttemptOutcome::Success {
            self.registry.record_readiness_evidence(attempt.endpoint, connected_at, attempt.sent_at);
        }
        let failure_rate = &mut self.requests.connect_failure_rate;
        let failed = indicator(outcome == AttemptOutcome::ConnectFailed);
        *failure_rate += NEWEST_SAMPLE_WEIGHT * (failed - *failure_rate);
        let endpoint = &self.registry.endpoints[attempt.endpoint];
        if outlier::closes_idle_connections(*failure_rate, endpoint.in_flight) {
            self.actions.push(Action::CloseIdleConnections { endpoint: endpoint.id.clone() });
        }
        if is_same_incarnation && !self.has_stalled_since(attempt.sent_at) {
            self.record_outcome(id, &attempt, outcome, elapsed, now);
        }
        if outcome == AttemptOutcome::Success {
            self.record_success(id, attempt.version, elapsed, NEWEST_SAMPLE_WEIGHT);
        }
        self.finish_or_retry(completed, now);
        self.requests.remove_if_finished(id);
    }

    /// Records an outcome for the verdict on a canary and for outlier detection; `elapsed`: time since the attempt was
    /// sent.
    fn record_outcome(
        &mut self, id: RequestId, attempt: &Attempt, outcome: AttemptOutcome, elapsed: Millis, now: Millis,
    ) {
        let request = &self.requests.requests[&id];
        let endpoint = &mut self.registry.endpoints[attempt.endpoint];
        let objective = self.classes[request.class].objective_for(request.expected_work);
        self.analysis.record_outcome(endpoint, attempt, request, outcome, elapsed, objective);
        let lateness_ratio =
            outlier::lateness_ratio(elapsed, attempt.warmup_factor, objective, request.expected_work);
        if let Some(reason) = outlier::record_outcome(endpoint, outcome, lateness_ratio, now) {
            self.eject(attempt.endpoint, reason, now);
        }
    }

    /// Closes a request that has its final status. Queues or finishes one that has neither that nor an attempt in
    /// flight.
    fn finish_or_retry(&mut self, completed: &CompletedAttempt, now: Millis) {
        let id = completed.id;
        let request = &self.requests.requests[&id];
        if completed.is_final {
            let is_success = completed.outcome == AttemptOutcome::Success;
            let time_left = request.share_of_objective_left(now);
            let quality = if is_success { admission::service_quality(time_left) } else { 0.0 };
            return self.close(id, quality, now);
        }
        if !request.awaits_response() || request.attempts_in_flight() > 0 {
            return;
        }
        if !admission::is_within_objective(request, now) || !self.can_retry(id) {
            let attempts = request.attempts.len();
            let objective_left = request.objective_deadline - now;
            let last_outcome = completed.outcome;
            let reason = UnservedReason::AttemptsFailed { attempts, last_outcome, objective_left };
            self.finish_unserved(id, reason, now);
        } else if !self.requests.queue.contains(&id) {
            self.requests.queue.push(id);
        }
    }

    fn finish_overdue(&mut self, id: RequestId, now: Millis) {
        let request = &self.requests.requests[&id];
        let overdue_for = now - request.deadline;
        let reason = UnservedReason::Overdue { attempts: request.attempts.len(), overdue_for };
        self.finish_unserved(id, reason, now);
    }

    /// Pending requests with an attempt at an unresponsive endpoint, and the number of that attempt.
    fn unresponsive_attempts(&self, now: Millis) -> Vec<(RequestId, usize)> {
        let endpoints = &self.registry.endpoints;
        let find = |(id, request): (&RequestId, &Request)| {
            let typical_latency = self.requests.typical_latency[request.class];
            let class = &self.classes[request.class];
            let attempt = retry::unresponsive_attempt(request, class, typical_latency, endpoints, now)?;
            Some((*id, attempt))
        };
        self.requests
            .requests
            .iter()
            .filter(|(_, request)| request.awaits_response())
            .filter_map(find)
            .collect()
    }

    /// Hedges a request that waits for an unresponsive endpoint; if hedging is not permitted, cancels the attempt so
    /// that the request is sent again.
    fn hedge_or_retry(&mut self, id: RequestId, attempt: usize, now: Millis) {
        let shed_probability = self.shed_probability(None, now);
        if !retry::is_early_retry_allowed(shed_probability, self.requests.early_retry_budget)
            || !self.can_retry(id)
        {
            return;
        }
        let is_retried = if self.permissions.hedging {
            self.route(id, &self.partition(false), now)
        } else {
            self.cancel(id, attempt)
        };
        if is_retried {
            self.requests.early_retry_budget -= 1.0;
        }
    }

    /// Sends queued requests. One that no endpoint is available to stays queued while it can still meet its latency
    /// objective.
    fn dispatch_queued(&mut self, now: Millis) {
        if self.requests.queue.is_empty() {
            return;
        }
        self.registry.refill_slow_start_tokens(now);
        if self.registry.is_list_expired(now) {
            let reason = UnservedReason::ListExpired { expired_for: now - self.registry.lease.expires_at() };
            let queued = std::mem::take(&mut self.requests.queue);
            for id in queued {
                self.finish_unserved(id, reason, now);
            }
            return;
        }
        // First the gateway's subset, then all endpoints, each with its own draw between canary and baseline.
        let (subset, all) = (self.partition(true), self.partition(false));
        let ready_endpoints = all.canary.len() + all.baseline.len();
        let classes = &self.classes;
        for id in self.requests.take_queue(|request| admission::queue_rank(request, classes)) {
            let request = &self.requests.requests[&id];
            let typical_latency = self.requests.typical_latency[request.class];
            let expected_latency = admission::expected_latency(request, typical_latency);
            let objective_left = request.objective_deadline - now;
            let would_be_late = admission::would_be_late(request, expected_latency, now);
            let may_be_sent = admission::is_within_objective(request, now);
            if may_be_sent && [&subset, &all].into_iter().any(|groups| self.route(id, groups, now)) {
                continue;
            }
            if would_be_late {
                let reason = UnservedReason::NoEndpoint { ready_endpoints, expected_latency, objective_left };
                self.finish_unserved(id, reason, now);
            } else {
                self.requests.queue.push(id);
            }
        }
    }

    /// Sends an attempt at the request to an endpoint of `groups`. Returns `false` if none is available to the request.
    fn route(&mut self, id: RequestId, groups: &VersionGroups, now: Millis) -> bool {
        let draw = self.rng.random::<f64>();
        let is_canary_first = routing::is_canary_first(draw, &self.group_draw_inputs(groups));
        let is_rolling_back = self.exposure.is_rolling_back();
        let warming = routing::warming_endpoints(groups, &self.registry, is_rolling_back, now);
        let order = if is_canary_first {
            [&warming, &groups.canary, &groups.baseline]
        } else {
            [&warming, &groups.baseline, &groups.canary]
        };
        let chosen = order.into_iter().find_map(|candidates| self.choose_endpoint(id, candidates, now));
        chosen.is_some_and(|index| self.send_attempt(id, index, now))
    }

    fn group_draw_inputs(&self, groups: &VersionGroups) -> GroupDrawInputs {
        GroupDrawInputs {
            canary_endpoint_share: groups.canary_endpoint_share(),
            canary_load: self.registry.endpoints.mean_in_flight(&groups.canary),
            baseline_load: self.registry.endpoints.mean_in_flight(&groups.baseline),
            has_baseline: !groups.baseline.is_empty(),
            is_rolling_back: self.exposure.is_rolling_back(),
            has_full_traffic: self.analysis.full_traffic_since.is_some(),
        }
    }

    fn choose_endpoint(
        &mut self, id: RequestId, candidates: &[EndpointIndex], now: Millis,
    ) -> Option<EndpointIndex> {
        let request = &self.requests.requests[&id];
        let class = &self.classes[request.class];
        let (registry, exposure, permissions) = (&self.registry, &self.exposure, &self.permissions);
        let rules = AttemptRules { registry, exposure, permissions, now };
        let available = routing::available_endpoints(candidates, request, class, &rules);
        let has_zone_cost = self.costs.cross_zone > 0.0;
        let load = |index: EndpointIndex| {
            let endpoint = &registry.endpoints[index];
            let load = EndpointLoad {
                in_flight: endpoint.in_flight,
                crosses_zones: has_zone_cost && endpoint.zone != self.zone,
                latency_bias: endpoint.latency_bias,
                latency_bias_age: now - endpoint.latency_bias_updated_at,
                capacity: registry.capacity(index, now),
            };
            load.expected_load()
        };
        routing::choose_of_two(&available, load, &mut self.rng)
    }

    fn can_retry(&self, id: RequestId) -> bool {
        let request = &self.requests.requests[&id];
        let idempotency = self.classes[request.class].idempotency;
        retry::can_retry(request, idempotency, self.permissions.max_attempts)
    }

    /// The probability of rejecting a new request of a tenant; 0 or below without overload. All requests without a
    /// tenant (`None`) together count as one tenant's. The tenant's service level is retained.
    pub(crate) fn shed_probability(&mut self, tenant: Option<&str>, now: Millis) -> f64 {
        admission::shed_probability(self.requests.service_levels(tenant), now)
    }

    /// Gives a pending request its final status without a result. A request of an unknown class, which is not in the
    /// table, gets its final status in `on_request`.
    pub(crate) fn finish_unserved(&mut self, id: RequestId, reason: UnservedReason, now: Millis) {
        let Some(request) = self.requests.pending(id) else { return };
        let class = &self.classes[request.class];
        let max_retry_after = self.permissions.max_retry_after;
        self.actions.push(admission::reject_or_fail(id, request, class, max_retry_after, reason));
        self.close(id, 0.0, now);
    }
}
