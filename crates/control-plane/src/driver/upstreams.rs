//! Discovery and the platform: the events of their tasks, and the actions of the policy that concern them.

use super::event_loop::ControlPlaneDriver;
use latchhaven_gateway::discovery::calls::CallId;
use latchhaven_gateway::net::DriverEvent;
use latchhaven_gateway::net::list::ListUpdate;
use latchhaven_gateway::net::platform::Vote;
use latchhaven_gateway::policy_log;
use latchhaven_policy::{Action, Event, Millis, UpdateFailure, VoteOutcome};
use tokio::time::Instant;

impl ControlPlaneDriver {
    /// Passes an event of the tasks that call discovery and the platform to the control plane.
    pub(super) fn on_upstream_event(&mut self, event: DriverEvent, now: Millis) {
        match event {
            DriverEvent::EndpointList { call, list } => self.on_endpoint_list_reply(call, list, now),
            DriverEvent::Rollout(rollout) => self.control_plane.on_rollout_state(rollout, now),
            DriverEvent::VoteCompleted(outcome) => self.control_plane.on_vote_completed(outcome, now),
            DriverEvent::Outcomes(counts) => {
                let report = Event::OutcomesReported(counts.into());
                self.control_plane.on_outcome_report(report, now);
            }
            // The other events concern clients and endpoints of a gateway. A control plane forwards no requests.
            _ => {}
        }
    }

    /// Performs an action of the policy. If the queue of votes is full or closed, a vote is not cast, and its outcome
    /// is that the platform has not counted the vote.
    pub(super) fn perform_action(&mut self, action: Action) {
        match action {
            Action::WatchEndpoints { enabled } => {
                self.discovery.set_watch(enabled);
                self.run_discovery_commands();
            }
            Action::FetchEndpoints => {
                self.discovery.fetch();
                self.run_discovery_commands();
            }
            Action::CastVote { version, stage, verdict } => {
                let vote = Vote { version, stage, verdict, cast_at: Instant::now() };
                if self.votes.try_send(vote).is_err() {
                    let now = self.clock.now();
                    self.control_plane.on_vote_completed(VoteOutcome::NotCounted, now);
                }
            }
            Action::Log(event) => policy_log::log_event(&event),
            // The other actions concern clients and endpoints of a gateway.
            _ => {}
        }
    }

    fn on_endpoint_list_reply(&mut self, call: CallId, list: Result<ListUpdate, UpdateFailure>, now: Millis) {
        let Ok(list) = list else {
            if self.discovery.on_failure(call) {
                self.control_plane.on_endpoint_list_failed();
            }
            return;
        };
        if self.discovery.on_list(call, list.version, list.is_snapshot) {
            self.control_plane.on_endpoint_list(list.version, list.is_snapshot, list.entries, now);
        }
        self.run_discovery_commands();
    }

    fn run_discovery_commands(&mut self) {
        self.discovery_tasks.run(self.discovery.take_commands());
    }
}
