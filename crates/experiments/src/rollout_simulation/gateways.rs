//! Routing by gateways, each with a policy of its own.

use super::attempts::completion_event;
use super::model::{EndedAttempt, Vote};
use super::parameters::host_of_endpoint;
use super::simulation::Simulation;
use latchhaven_policy::{Action, AttemptOutcome, Event, RequestId};

/// The token of the policy's timer.
const TIMER_TOKEN: &str = "look";

impl Simulation {
    /// Runs the gateways that have events or whose timer fires.
    pub(super) fn run_due_gateways(&mut self) {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            if gateway.timer_at <= self.now || !gateway.events.is_empty() {
                gateway.timer_at = f64::INFINITY;
                gateway.events.push(Event::TimerFired { token: TIMER_TOKEN.to_string() });
                self.run_gateway(index);
            }
        }
    }

    /// Passes a gateway's events to its policy and carries out the actions, until these cause no more events.
    pub(super) fn run_gateway(&mut self, index: usize) {
        loop {
            let gateway = &mut self.gateways[index];
            let events = std::mem::take(&mut gateway.events);
            let mut has_cancelled = false;
            for action in gateway.policy.handle_events(self.now, events) {
                has_cancelled |= self.perform(index, action);
            }
            if !has_cancelled {
                return;
            }
        }
    }

    /// Carries out an action; true if it cancelled an attempt.
    fn perform(&mut self, index: usize, action: Action) -> bool {
        match action {
            Action::SendAttempt { id, endpoint, .. } => self.send_attempt(id, host_of_endpoint(&endpoint)),
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                self.close_request(id, false);
                self.remove_finished(id);
            }
            Action::CancelAttempt { id, attempt } => return self.cancel_attempt(index, id, attempt),
            Action::SetTimer { after, .. } => self.gateways[index].timer_at = self.now + after,
            Action::CastVote { version, stage, verdict } => {
                self.votes.push(Vote { version, stage, verdict });
            }
            _ => {}
        }
        false
    }

    /// Cancels an attempt; false if it has already ended.
    fn cancel_attempt(&mut self, index: usize, id: RequestId, number: u32) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let is_closed = request.is_closed;
        let Some(attempt) = request.attempts.get_mut(number as usize) else { return false };
        let is_cancelled = !std::mem::replace(&mut attempt.has_ended, true);
        if is_cancelled {
            let elapsed = self.now - attempt.sent_at;
            let outcome = AttemptOutcome::Cancelled;
            let event = completion_event(id, number, attempt.host, outcome, is_closed, elapsed);
            self.gateways[index].events.push(event);
        }
        self.remove_finished(id);
        is_cancelled
    }

    /// An attempt that a gateway sent has ended.
    pub(super) fn on_gateway_attempt_ended(&mut self, id: RequestId, index: usize, ended: &EndedAttempt) {
        if ended.is_success() {
            self.close_request(id, true);
        }
        let is_closed = self.requests[&id].is_closed;
        let EndedAttempt { number, host, outcome, elapsed, .. } = *ended;
        let event = completion_event(id, number, host, outcome, is_closed, elapsed);
        self.gateways[index].events.push(event);
        self.run_gateway(index);
    }
}
