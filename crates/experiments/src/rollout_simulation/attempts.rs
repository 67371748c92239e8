//! Attempts at hosts and their outcomes.

use super::model::{Attempt, DefectEffect, EndedAttempt, RoutingMode};
use super::parameters::{
    MAX_QUEUE_TIME, NETWORK_LATENCY, NON_IDEMPOTENT_CLASS, OUTCOME_SAMPLE_SHARE, REQUEST_TIMEOUT,
    endpoint_name,
};
use super::simulation::{DayEvent, Simulation};
use latchhaven_policy::{AttemptOutcome, CompletedAttempt, Event, LoadReport, Millis, RequestId, Version};
use rand::RngExt;
use rand_distr::{Distribution, Exp1};

/// The longest duration of an attempt, in request timeouts.
const MAX_ATTEMPT_TIMEOUTS: f64 = 4.0;

/// The planned end of an attempt.
struct PlannedEnd {
    outcome: AttemptOutcome,
    /// When the host has finished, in ms.
    at: Millis,
}

/// The event that reports the end of an attempt to a gateway's policy.
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
    /// Sends an attempt of a request to a host, and schedules its end.
    pub(super) fn send_attempt(&mut self, id: RequestId, host: usize) {
        let class = self.requests[&id].class;
        let version = self.hosts[host].version;
        let end = self.plan_end(class, host);
        if self.rollout.is_canary(version) {
            self.canary_attempts.push_back(self.now);
        }
        let is_bad = self.rollout.is_bad(version);
        let request = self.requests.get_mut(&id).expect("an open request");
        request.met_bad_version |= is_bad;
        let is_repeated = class == NON_IDEMPOTENT_CLASS && request.may_be_executed();
        let outcome = end.outcome;
        request.attempts.push(Attempt { host, version, sent_at: self.now, outcome, has_ended: false });
        let attempt = request.attempts.len() as u32 - 1;
        self.counts.repeated_non_idempotent += u64::from(is_repeated);
        let latest_end = self.now + REQUEST_TIMEOUT * MAX_ATTEMPT_TIMEOUTS;
        let ends_at = (end.at + NETWORK_LATENCY).min(latest_end);
        self.schedule(ends_at, DayEvent::AttemptEnds { request: id, attempt });
    }

    /// Draws the end of an attempt at a host, and occupies a worker.
    fn plan_end(&mut self, class: usize, host: usize) -> PlannedEnd {
        let received_at = self.now + NETWORK_LATENCY;
        let effect = self.defect_effect(self.hosts[host].version, class);
        let drawn: f64 = Exp1.sample(&mut self.rng);
        let work_time = self.hosts[host].work_time(received_at, effect.slowdown, drawn);
        let is_failure = self.rng.random::<f64>() < effect.failure_share;
        let free_at = self.hosts[host].first_free_worker();
        if *free_at - received_at > MAX_QUEUE_TIME {
            return PlannedEnd { outcome: AttemptOutcome::Rejected, at: received_at };
        }
        *free_at = free_at.max(received_at) + work_time;
        let outcome = if is_failure { AttemptOutcome::Error } else { AttemptOutcome::Success };
        PlannedEnd { outcome, at: *free_at }
    }

    fn defect_effect(&self, version: Version, class: usize) -> DefectEffect {
        let defect = self.rollout.defects.get(&version);
        defect.map_or(DefectEffect::NONE, |defect| defect.effect_on(class))
    }

    /// An attempt ends, unless it was cancelled.
    pub(super) fn on_attempt_ended(&mut self, id: RequestId, number: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_late = request.is_timed_out(self.now);
        let router = request.router;
        let class = request.class;
        let attempt = &mut request.attempts[number as usize];
        if std::mem::replace(&mut attempt.has_ended, true) {
            return;
        }
        let version = attempt.version;
        let elapsed = self.now - attempt.sent_at;
        let ended = EndedAttempt { number, host: attempt.host, outcome: attempt.outcome, elapsed, is_late };
        let is_sampled = self.rng.random::<f64>() < OUTCOME_SAMPLE_SHARE;
        if is_sampled && ended.outcome != AttemptOutcome::Rejected {
            self.outcomes.record(version, class, ended.outcome, elapsed);
        }
        match self.mode {
            RoutingMode::Even => self.close_request(id, ended.is_success()),
            RoutingMode::Gateways => self.on_gateway_attempt_ended(id, router, &ended),
            RoutingMode::Proxies => self.on_proxy_attempt_ended(id, router, &ended),
        }
        self.remove_finished(id);
    }
}
