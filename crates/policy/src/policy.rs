//! The one entry of the decisions: batches of events in, actions out. Chance comes from the seed; see docs/design.md.

use crate::config::{GatewayIdentity, VotingConfig};
use crate::dispatch::Policy;
use crate::exposure::SAFETY_MARGIN;
use crate::state::FleetView;
use crate::statistics::indicator;
use crate::verdict::ROLLBACK_ERROR_RATE;
use crate::{Action, AttemptOutcome, CompletedAttempt, Event, Millis, UnservedReason};

/// ms between looks at queued and unresponsive requests: a few of the finest batches.
const TICK: Millis = 10.0;
/// ms between ticks while there is nothing to judge: idle gateways are hundreds.
const IDLE_TICK: Millis = 1000.0;
/// ms between two analyses of a canary (design page).
const ANALYSIS_INTERVAL: Millis = 250.0;
/// ms that a timer may come early.
const TIMER_ROUNDING: Millis = 1.0;
/// ms that a timer may come late before this gateway's own latencies mean nothing.
const MAX_TIMER_DELAY: Millis = 150.0;
/// ms over which this gateway's own rate is taken, and its usual one follows.
pub(crate) const RATE_WINDOW: Millis = 2000.0;
/// Weight of the newest value in running means.
pub(crate) const RUNNING_MEAN_WEIGHT: f64 = 0.1;
/// ms before a failed vote is repeated.
pub(crate) const RETRY_INTERVAL: Millis = 500.0;
/// ms before an unanswered call is taken as lost.
const CALL_TIMEOUT: Millis = 4000.0;
/// Gateways that vote at each look, of all that would: the platform's calls are few.
pub(crate) const VOTERS_PER_LOOK: f64 = 8.0;
/// Share of the latency objective that answers may take before the concurrency limit falls.
const MAX_QUEUEING_SHARE: f64 = 0.25;
/// Share of connections refused above which none is kept idle.
const MAX_CONNECT_FAILURE_RATE: f64 = 0.02;

/// The chance of a wrong rollback that one gateway may take, of all that may roll back alone.
pub(crate) fn own_error_rate(identity: &GatewayIdentity, voting: &VotingConfig) -> f64 {
    let deciders = f64::from(identity.gateway_count.max(1)) / f64::from(voting.rollback_quorum.max(1));
    ROLLBACK_ERROR_RATE / deciders.max(1.0)
}

pub(crate) fn vote_probability(identity: &GatewayIdentity, voting: &VotingConfig) -> f64 {
    let quorum = voting.promote_quorum.max(voting.pause_quorum).max(voting.rollback_quorum).max(1);
    VOTERS_PER_LOOK * f64::from(quorum) / f64::from(identity.gateway_count.max(1))
}

impl Policy {
    /// Takes what happened since, in order, and returns what is to be done about it, in order.
    pub fn handle_events(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        if now > self.timer.fires_at + MAX_TIMER_DELAY {
            self.stalled_until = now;
        }
        for event in events {
            self.on_event(event, now);
        }
        if self.timer.next_tick_at <= now + TIMER_ROUNDING {
            self.on_tick(now);
        }
        self.dispatch_queued(now);
        let idle = if self.analysis.is_idle() { IDLE_TICK } else { ANALYSIS_INTERVAL };
        let interval = if self.requests.requests.is_empty() { idle } else { TICK };
        let poll_at = self.registry.next_poll_at.map(|at| at.max(now + TICK));
        self.actions.extend(self.timer.schedule(interval, poll_at, TIMER_ROUNDING, now));
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn on_attempt_completed(&mut self, completed: &CompletedAttempt, now: Millis) {
        let CompletedAttempt { id, outcome, elapsed, connected_at, .. } = *completed;
        let Some(attempt) = self.requests.complete_attempt(completed) else { return };
        let request = &self.requests.requests[&id];
        let endpoint = &mut self.registry.endpoints[attempt.endpoint];
        let is_same_incarnation = endpoint.release(attempt.incarnation);
        if is_same_incarnation && outcome == AttemptOutcome::Success {
            self.registry.record_proof(attempt.endpoint, connected_at, attempt.sent_at);
        }
        let endpoint = &mut self.registry.endpoints[attempt.endpoint];
        // Where connections are refused all over, those that idle here take the places of others.
        let failed = indicator(outcome == AttemptOutcome::ConnectFailed);
        let failure_rate = &mut self.requests.connect_failure_rate;
        *failure_rate += RUNNING_MEAN_WEIGHT * (failed - *failure_rate);
        if *failure_rate > MAX_CONNECT_FAILURE_RATE && endpoint.in_flight == 0 {
            self.actions.push(Action::CloseIdleConnections { endpoint: endpoint.id.clone() });
        }
        if is_same_incarnation && attempt.sent_at >= self.stalled_until {
            let objective = self.classes[request.class].objective_for(request.expected_work);
            self.analysis.record_outcome(endpoint, &attempt, request, outcome, elapsed, objective);
            let wanted = (MAX_QUEUEING_SHARE * objective).max(2.0 * request.expected_work.unwrap_or(0.0));
            let queueing = elapsed * attempt.warmup_factor / wanted;
            self.registry.record_outcome(attempt.endpoint, outcome, queueing, now, &mut self.actions);
        }
        if outcome == AttemptOutcome::Success {
            self.record_success(id, attempt.version, elapsed, RUNNING_MEAN_WEIGHT);
        }
        self.conclude_attempt(completed, now);
        self.requests.forget_if_finished(id);
    }

    /// Closes a request that has its answer; retries or answers one that has nothing in flight any more.
    fn conclude_attempt(&mut self, completed: &CompletedAttempt, now: Millis) {
        let id = completed.id;
        let request = &self.requests.requests[&id];
        if completed.is_final {
            let is_success = completed.outcome == AttemptOutcome::Success;
            let quality = if is_success { Self::service_quality(request, now) } else { 0.0 };
            self.close(id, quality, now);
        } else if request.is_open() && request.attempts_in_flight() == 0 {
            if now >= request.objective_deadline - SAFETY_MARGIN || !self.can_retry(id) {
                self.answer_unserved(id, UnservedReason::AttemptsFailed, now);
            } else if !self.requests.queue.contains(&id) {
                self.requests.queue.push(id);
            }
        }
    }

    /// Every tick: the list, unresponsive endpoints, requests past their deadline, and the canary.
    fn on_tick(&mut self, now: Millis) {
        self.timer.next_tick_at = f64::INFINITY;
        if self.registry.next_poll_at.is_some_and(|at| at <= now + TIMER_ROUNDING) {
            self.registry.next_poll_at = Some(now + CALL_TIMEOUT);
            self.actions.push(Action::WatchEndpoints { enabled: true });
        }
        let unresponsive = self.unresponsive_attempts(now);
        let overdue = self.requests.overdue(now);
        overdue.into_iter().for_each(|id| self.answer_unserved(id, UnservedReason::Overdue, now));
        unresponsive.into_iter().for_each(|(id, attempt)| self.hedge_or_retry(id, attempt, now));
        if let Some(rollout) = self.exposure.rollout
            && now - self.analysis.analysed_at >= ANALYSIS_INTERVAL - TIMER_ROUNDING
        {
            let view = FleetView::new(&self.registry, self.partition(false), RATE_WINDOW, now);
            let endpoints = &mut self.registry.endpoints;
            self.analysis.analyse(&mut self.rng, endpoints, &view, &rollout, &mut self.actions);
        }
    }
}
