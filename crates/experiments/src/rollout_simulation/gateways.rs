//! Routing by gateways, each with a policy of its own.

use super::attempts::completion_event;
use super::model::{AttemptCompletion, Vote};
use super::parameters::host_of_endpoint;
use super::simulation::Simulation;
use latchhaven_policy::{Action, AttemptOutcome, Event, RequestId};

/// The token of the timer that the policy sets.
const TIMER_TOKEN: &str = "look";

impl Simulation {
    /// Runs the gateways that have events or whose timer is due. A gateway with events runs as if its timer fired.
    pub(super) fn run_due_gateways(&mut self) {
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            let is_timer_due = gateway.timer_at.is_some_and(|at| at <= self.now);
            if is_timer_due || !gateway.events.is_empty() {
                gateway.timer_at = None;
                gateway.events.push(Event::TimerFired { token: TIMER_TOKEN.to_string() });
                self.run_gateway(index);
            }
        }
    }

    /// Passes a gateway's events to its policy and performs the actions, again while these cancel attempts: each
    /// cancellation is an event for the policy.
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

    /// Performs an action. Returns `true` if an attempt was cancelled.
    fn perform(&mut self, index: usize, action: Action) -> bool {
        match action {
            Action::SendAttempt { id, endpoint, .. } => self.send_attempt(id, host_of_endpoint(&endpoint)),
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                self.close_request(id, false);
                self.remove_finished(id);
            }
            Action::CancelAttempt { id, attempt } => return self.cancel_attempt(index, id, attempt),
            Action::SetTimer { after, .. } => self.gateways[index].timer_at = Some(self.now + after),
            Action::CastVote { version, stage, verdict } => {
                self.votes.push(Vote { version, stage, verdict });
            }
            _ => {}
        }
        false
    }

    /// Cancels an attempt. Returns `false` if the attempt has already completed.
    fn cancel_attempt(&mut self, index: usize, id: RequestId, number: u32) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let is_closed = request.is_closed;
        let Some(attempt) = request.attempts.get_mut(number as usize) else { return false };
        let is_cancelled = !std::mem::replace(&mut attempt.is_completed, true);
        if is_cancelled {
            let elapsed = self.now - attempt.sent_at;
            let outcome = AttemptOutcome::Cancelled;
            let event = completion_event(id, number, attempt.host, outcome, is_closed, elapsed);
            self.gateways[index].events.push(event);
        }
        self.remove_finished(id);
        is_cancelled
    }

    /// Reports the completion of an attempt to the gateway that sent it.
    pub(super) fn on_gateway_attempt_completed(
        &mut self, id: RequestId, index: usize, completion: &AttemptCompletion,
    ) {
        if completion.is_success() {
            self.close_request(id, true);
        }
        let is_closed = self.requests[&id].is_closed;
        let AttemptCompletion { number, host, outcome, elapsed, .. } = *completion;
        let event = completion_event(id, number, host, outcome, is_closed, elapsed);
        self.gateways[index].events.push(event);
        self.run_gateway(index);
    }
}
