//! Attempts at hosts and their outcomes.

use super::model::{Attempt, AttemptCompletion, DefectEffect, RoutingMode};
use super::parameters::{
    MAX_QUEUE_TIME, NETWORK_LATENCY, NON_IDEMPOTENT_CLASS, OUTCOME_SAMPLE_SHARE, REQUEST_TIMEOUT,
    endpoint_name,
};
use super::simulation::{Simulation, SimulationEvent};
use latchhaven_policy::{AttemptOutcome, CompletedAttempt, Event, LoadReport, Millis, RequestId, Version};
use rand::RngExt;
use rand_distr::{Distribution, Exp1};

/// An attempt completes at the latest after this multiple of the request timeout.
const MAX_ATTEMPT_DURATION_IN_TIMEOUTS: f64 = 4.0;

/// How and when an attempt will complete, decided when it is sent.
struct PlannedCompletion {
    outcome: AttemptOutcome,
    /// When the host sends its response.
    at: Millis,
}

/// The event that reports a completed or cancelled attempt to a gateway's policy.
pub(super) fn completion_event(
    id: RequestId, number: u32, host: usize, outcome: AttemptOutcome, is_final: bool, elapsed: Millis,
) -> Event {
    Event::AttemptCompleted(CompletedAttempt {
        id,
        attempt: number,
        endpoint: endpoint_name(host),
        outcome,
        is_final,
        elapsed,
        connected_at: None,
        load: LoadReport::default(),
    })
}

impl Simulation {
    /// Sends an attempt of a request to a host, and schedules its completion.
    pub(super) fn send_attempt(&mut self, id: RequestId, host: usize) {
        let class = self.requests[&id].class;
        let version = self.hosts[host].version;
        let planned = self.plan_completion(class, host);
        if self.rollout.is_canary(version) {
            self.recent_canary_attempts.push_back(self.now);
        }
        let is_bad = self.rollout.is_bad(version);
        let request =
            self.requests.get_mut(&id).expect("a request is removed only after its attempts have completed");
        request.reached_bad_version |= is_bad;
        let is_repeated = class == NON_IDEMPOTENT_CLASS && request.may_have_been_executed();
        let outcome = planned.outcome;
        request.attempts.push(Attempt { host, version, sent_at: self.now, outcome, is_completed: false });
        let attempt = request.attempts.len() as u32 - 1;
        self.counts.repeated_non_idempotent += u64::from(is_repeated);
        let latest_completion = self.now + REQUEST_TIMEOUT * MAX_ATTEMPT_DURATION_IN_TIMEOUTS;
        let completed_at = (planned.at + NETWORK_LATENCY).min(latest_completion);
        self.schedule(completed_at, SimulationEvent::AttemptCompleted { request: id, attempt });
    }

    /// Draws the outcome and the service time of an attempt. Occupies a worker of the host, unless the host rejects the
    /// attempt because of a long queue.
    fn plan_completion(&mut self, class: usize, host: usize) -> PlannedCompletion {
        let received_at = self.now + NETWORK_LATENCY;
        let effect = self.defect_effect(self.hosts[host].version, class);
        let exponential_sample: f64 = Exp1.sample(&mut self.rng);
        let service_time = self.hosts[host].service_time(received_at, effect.slowdown, exponential_sample);
        let is_failure = self.rng.random::<f64>() < effect.failure_share;
        let free_at = self.hosts[host].first_free_worker();
        if *free_at - received_at > MAX_QUEUE_TIME {
            return PlannedCompletion { outcome: AttemptOutcome::Rejected, at: received_at };
        }
        *free_at = free_at.max(received_at) + service_time;
        let outcome = if is_failure { AttemptOutcome::Error } else { AttemptOutcome::Success };
        PlannedCompletion { outcome, at: *free_at }
    }

    fn defect_effect(&self, version: Version, class: usize) -> DefectEffect {
        let defect = self.rollout.defects.get(&version);
        defect.map_or(DefectEffect::NONE, |defect| defect.effect_on(class))
    }

    /// Handles the scheduled completion of an attempt, which has no effect if the attempt was cancelled before.
    pub(super) fn on_attempt_completed(&mut self, id: RequestId, number: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_late = request.is_timed_out(self.now);
        let router = request.router;
        let class = request.class;
        let attempt = &mut request.attempts[number as usize];
        if std::mem::replace(&mut attempt.is_completed, true) {
            return;
        }
        let version = attempt.version;
        let elapsed = self.now - attempt.sent_at;
        let completion =
            AttemptCompletion { number, host: attempt.host, outcome: attempt.outcome, elapsed, is_late };
        let is_sampled = self.rng.random::<f64>() < OUTCOME_SAMPLE_SHARE;
        if is_sampled && completion.outcome != AttemptOutcome::Rejected {
            self.outcomes.record(version, class, completion.outcome, elapsed);
        }
        match self.mode {
            RoutingMode::Even => self.close_request(id, completion.is_success()),
            RoutingMode::Gateways => self.on_gateway_attempt_completed(id, router, &completion),
            RoutingMode::Proxies => self.on_proxy_attempt_completed(id, router, &completion),
        }
        self.remove_finished(id);
    }
}
