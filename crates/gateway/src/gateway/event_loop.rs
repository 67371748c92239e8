//! Passes events of the drivers and due timers to the policy, and executes the resulting actions.

use super::Gateway;
use super::timers::Timer;
use crate::config::InitialState;
use crate::counters::COUNTERS;
use crate::invariant;
use crate::limits::MAX_PENDING_EVENTS;
use crate::net::DriverEvent;
use crate::net::platform::{OutcomeCounts, Vote};
use crate::net::upstream::{CallResult, UpstreamCall};
use crate::policy_log;
use latchhaven_policy::{Action, AttemptOutcome, Event, Millis, Verdict, Version, VoteOutcome};
use tokio::select;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

impl Gateway {
    /// Starts with the cached list and rollout state, and runs until the future is dropped.
    pub async fn run(mut self, initial_state: InitialState, mut events: mpsc::Receiver<DriverEvent>) {
        self.start(initial_state);
        let mut batch = Vec::new();
        loop {
            self.wait(&mut events, &mut batch).await;
            // A batch contains, in this order: results of the previous batch's actions, updates, all other events, and
            // due timers. The policy routes the requests of a batch after it has handled all events.
            batch.sort_by_key(|event| !is_update(event));
            let mut policy_events = std::mem::take(&mut self.next_events);
            for event in batch.drain(..) {
                self.on_event(event, &mut policy_events);
            }
            self.fire_timers(&mut policy_events);
            if !policy_events.is_empty() {
                self.run_policy(policy_events);
            }
        }
    }

    fn start(&mut self, initial_state: InitialState) {
        let mut events = Vec::new();
        if let Some(rollout) = initial_state.rollout {
            events.push(Event::RolloutUpdate(self.apply_rollout(rollout)));
        }
        self.discovery.restore(initial_state.list.version);
        events.push(self.apply_cached_list(initial_state.list));
        self.run_policy(events);
    }

    /// Waits for an event or a timer, then drains the queue into `batch`. The runtime runs tasks in the order in which
    /// they were woken, so the events of drivers that were woken together are in one batch.
    async fn wait(&self, events: &mut mpsc::Receiver<DriverEvent>, batch: &mut Vec<DriverEvent>) {
        if self.next_events.is_empty() {
            let timer = self.timers.next_at().map(|at| self.clock.instant(at));
            select! {
                _ = events.recv_many(batch, MAX_PENDING_EVENTS) => {}
                () = sleep_until(timer.unwrap_or_else(Instant::now)), if timer.is_some() => {}
            }
        } else {
            tokio::task::yield_now().await;
        }
        while let Ok(event) = events.try_recv() {
            batch.push(event);
        }
    }

    fn run_policy(&mut self, events: Vec<Event>) {
        COUNTERS.batches_total.increment();
        let actions = self.policy.handle_events(self.clock.now(), events);
        for action in actions {
            self.perform(action);
        }
        COUNTERS.open_requests.set(self.requests.len());
        COUNTERS.pending_timers.set(self.timers.len());
        self.pool.record_metrics();
    }

    fn on_event(&mut self, event: DriverEvent, events: &mut Vec<Event>) {
        match event {
            DriverEvent::RequestReceived { id, statement, arrived_at, response_sender } => {
                self.on_request(id, statement, arrived_at, response_sender, events);
            }
            DriverEvent::ClientDisconnected { id } => self.on_client_disconnected(id, events),
            DriverEvent::Abandon { id } => events.push(Event::Abandon { id }),
            DriverEvent::ConnectionReady { connection, is_newly_opened } => {
                self.on_connection_ready(connection, is_newly_opened);
            }
            DriverEvent::ConnectFailed { connection } => {
                if let Some(call) = self.pool.on_connect_failed(&connection) {
                    self.on_call_ended(
                        call,
                        CallResult::without_response(AttemptOutcome::ConnectFailed),
                        events,
                    );
                }
            }
            DriverEvent::ConnectionClosed { connection } => {
                if let Some(call) = self.pool.on_connection_closed(&connection) {
                    self.on_call_ended(call, CallResult::without_response(AttemptOutcome::NotSent), events);
                }
            }
            DriverEvent::CallEnded { connection, result } => {
                if let Some(call) = self.pool.on_call_ended(&connection) {
                    self.on_call_ended(call, result, events);
                }
            }
            DriverEvent::EndpointList { call, list } => self.on_list_reply(call, list, events),
            DriverEvent::DiscoveryMoved { address } => self.on_discovery_moved(address, events),
            DriverEvent::Rollout(rollout) => events.push(Event::RolloutUpdate(self.apply_rollout(rollout))),
            DriverEvent::VoteCompleted(outcome) => events.push(self.vote_completed(outcome)),
            DriverEvent::Outcomes(counts) => events.push(outcomes_reported(counts)),
        }
    }

    fn vote_completed(&mut self, outcome: VoteOutcome) -> Event {
        match outcome {
            VoteOutcome::Counted(rollout) => {
                let rollout = self.apply_rollout(rollout);
                Event::VoteCompleted(VoteOutcome::Counted(rollout))
            }
            VoteOutcome::NotCounted | VoteOutcome::Unknown => Event::VoteCompleted(outcome),
        }
    }

    fn fire_timers(&mut self, events: &mut Vec<Event>) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Policy(token) => events.push(Event::TimerFired { token }),
                Timer::CallTimeout(call) => self.cancel_call(call, AttemptOutcome::Timeout, events),
                Timer::WriteDeadline(call) => self.cancel_unwritten(call, events),
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, endpoint, timeout, write_timeout } => {
                self.send_attempt(id, &endpoint, timeout, write_timeout);
            }
            Action::Reject { id, retry_after, reason } => self.reject(id, retry_after, reason),
            Action::Fail { id, reason } => self.fail(id, reason),
            Action::CancelAttempt { id, attempt } => {
                let mut events = Vec::new();
                self.cancel_call(
                    UpstreamCall::Attempt { id, attempt },
                    AttemptOutcome::Cancelled,
                    &mut events,
                );
                self.next_events.append(&mut events);
            }
            Action::CancelUnwrittenAttempt { id, attempt } => {
                let mut events = Vec::new();
                self.cancel_unwritten(UpstreamCall::Attempt { id, attempt }, &mut events);
                self.next_events.append(&mut events);
            }
            Action::SetTimer { after, token } => self.set_policy_timer(after, token),
            // The current policy requests neither health checks nor single fetches.
            Action::HealthCheck { endpoint } => self.check_health(&endpoint),
            Action::CloseIdleConnections { endpoint } => self.pool.close_idle(&endpoint),
            Action::WatchEndpoints { enabled } => {
                self.discovery.set_watch(enabled);
                self.run_discovery_commands();
            }
            Action::FetchEndpoints => {
                self.discovery.fetch();
                self.run_discovery_commands();
            }
            Action::CastVote { version, stage, verdict } => self.cast_vote(version, stage, verdict),
            Action::Log(event) => policy_log::log_event(&event),
            // There is no protocol between gateways.
            Action::SendPeerMessage { .. } => {}
        }
    }

    fn set_policy_timer(&mut self, after: Millis, token: String) {
        self.timers.set(self.clock.now() + after, Timer::Policy(token));
    }

    fn cast_vote(&mut self, version: Version, stage: u32, verdict: Verdict) {
        let vote = Vote { version, stage, verdict, cast_at: Instant::now() };
        let is_queued = self.votes.try_send(vote).is_ok();
        // The policy is not notified of a vote that is not queued. This is not expected, because the policy renews
        // votes at intervals far above the time that one vote takes.
        invariant!(is_queued, "the queue of votes is not full");
    }
}

/// Returns `true` for updates from discovery and the platform. Updates precede other events of a batch, so that the
/// decisions of the batch are based on them.
fn is_update(event: &DriverEvent) -> bool {
    matches!(
        event,
        DriverEvent::EndpointList { .. }
            | DriverEvent::Rollout(_)
            | DriverEvent::VoteCompleted(_)
            | DriverEvent::Outcomes(_)
    )
}

fn outcomes_reported(counts: OutcomeCounts) -> Event {
    COUNTERS.outcome_reports_total.increment();
    tracing::debug!(?counts, "platform: outcome report");
    Event::OutcomesReported(counts.into())
}
