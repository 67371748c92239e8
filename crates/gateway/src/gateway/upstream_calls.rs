//! Calls to endpoints, attempts and health checks: each is started once and ends once.

use super::Gateway;
use super::request_table::Attempt;
use super::timers::Timer;
use crate::counters::{COUNTERS, Metric};
use crate::invariant;
use crate::limits::upstream::attempt_deadline;
use crate::net::FinalResponse;
use crate::net::upstream::{CallResult, CancelResult, QueuedCall, UpstreamCall};
use crate::proto::pg;
use latchhaven_policy::{AttemptOutcome, CompletedAttempt, Event, LoadReporting, Millis, RequestId};

impl Gateway {
    /// Starts an attempt. One that cannot be sent ends with `NotSent`. `timeout`, `write_within`: ms from now.
    pub(super) fn send_attempt(
        &mut self, id: RequestId, endpoint: &str, timeout: Option<Millis>, write_within: Option<Millis>,
    ) {
        let now = self.clock.now();
        let write_by = write_within.map(|within| now + within);
        let Some(request) = self.requests.get_mut(id) else {
            invariant!(false, "an attempt belongs to a pending request");
            return;
        };
        COUNTERS.attempts_total.increment();
        let deadline = attempt_deadline(now, timeout, request.deadline);
        let call = UpstreamCall::Attempt { id, attempt: request.attempts.len() as u32 };
        request.attempts.push(Attempt { endpoint: endpoint.to_string(), started_at: now, has_ended: false });
        let is_wanted = request.response_sender.is_some() && deadline > now;
        let queued = QueuedCall {
            call,
            statement: Some(request.statement.clone()),
            deadline,
            write_by: write_by.map(|at| self.clock.instant(at)),
        };
        if !is_wanted || !self.pool.send(endpoint, queued, now) {
            self.return_unsent(vec![call]);
            return;
        }
        self.timers.set(deadline, Timer::CallTimeout(call));
        if let Some(write_by) = write_by.filter(|at| *at < deadline) {
            self.timers.set(write_by, Timer::WriteDeadline(call));
        }
    }

    /// Starts a health check. One that cannot be sent ends with `NotSent`.
    pub(super) fn check_health(&mut self, endpoint: &str) {
        let now = self.clock.now();
        COUNTERS.health_checks_total.increment();
        let deadline = now + self.connection_config.connect_timeout;
        let call = UpstreamCall::HealthCheck(self.health_checks.start(endpoint.to_string(), now));
        let is_permitted =
            invariant!(self.connection_config.health_checks, "health checks are sent only where permitted");
        let queued = QueuedCall { call, statement: None, deadline, write_by: None };
        if is_permitted && self.pool.send(endpoint, queued, now) {
            self.timers.set(deadline, Timer::CallTimeout(call));
        } else {
            self.return_unsent(vec![call]);
        }
    }

    /// Ends calls that were never written; the policy receives the results in the next batch.
    pub(super) fn return_unsent(&mut self, calls: Vec<UpstreamCall>) {
        let mut events = Vec::new();
        for call in calls {
            self.on_call_ended(call, CallResult::without_answer(AttemptOutcome::NotSent), &mut events);
        }
        self.next_events.append(&mut events);
    }

    /// Ends a call: closes its connection, or takes it off the queue. One that was never written ends with `NotSent` instead of `outcome`.
    pub(super) fn stop(&mut self, call: UpstreamCall, outcome: AttemptOutcome, events: &mut Vec<Event>) {
        let Some(endpoint) = self.endpoint_of(call) else { return };
        let outcome = match self.pool.cancel(&endpoint, call) {
            CancelResult::Written => outcome,
            CancelResult::Unwritten => AttemptOutcome::NotSent,
            CancelResult::NotFound => {
                invariant!(false, "a call that has not ended is in the pool");
                return;
            }
        };
        self.on_call_ended(call, CallResult::without_answer(outcome), events);
    }

    /// Ends an attempt if its last byte was not written yet; health checks have no write deadline.
    pub(super) fn abort_unsent(&mut self, call: UpstreamCall, events: &mut Vec<Event>) {
        let UpstreamCall::Attempt { .. } = call else { return };
        let Some(endpoint) = self.endpoint_of(call) else { return };
        if self.pool.abort_unsent(&endpoint, call) {
            self.on_call_ended(call, CallResult::without_answer(AttemptOutcome::NotSent), events);
        }
    }

    /// A call has ended. The first value of a request is sent to its client immediately.
    pub(super) fn on_call_ended(&mut self, call: UpstreamCall, result: CallResult, events: &mut Vec<Event>) {
        match call {
            UpstreamCall::Attempt { id, attempt } => self.on_attempt_ended(id, attempt, result, events),
            UpstreamCall::HealthCheck(number) => events.extend(self.health_check_completed(number, result)),
        }
    }

    fn on_attempt_ended(&mut self, id: RequestId, number: u32, result: CallResult, events: &mut Vec<Event>) {
        let CallResult { outcome, value, load, connected_at } = result;
        outcome_counter(outcome).increment();
        let Some(attempt) = self.requests.active_attempt(id, number) else {
            invariant!(false, "an attempt ends once");
            return;
        };
        attempt.has_ended = true;
        let endpoint = attempt.endpoint.clone();
        let elapsed = self.clock.now() - attempt.started_at;
        tracing::debug!(
            id = id.0,
            attempt = number,
            endpoint,
            ?outcome,
            elapsed_ms = elapsed,
            "attempt: ended"
        );
        let Some(request) = self.requests.get_mut(id) else { return };
        if outcome == AttemptOutcome::Success
            && let Some([description, row, completion]) = value
            && let Some(response_sender) = request.response_sender.take()
        {
            COUNTERS.requests_succeeded_total.increment();
            let _ = response_sender.send(FinalResponse::Success { description, row, completion });
        }
        let is_final = request.response_sender.is_none();
        events.push(Event::AttemptCompleted(CompletedAttempt {
            id,
            attempt: number,
            endpoint,
            outcome,
            is_final,
            elapsed,
            load,
            connected_at: connected_at.map(|at| self.clock.time_of(at)),
        }));
        if is_final {
            self.on_answered(id);
        }
    }

    fn health_check_completed(&mut self, number: u64, result: CallResult) -> Option<Event> {
        let check = self.health_checks.remove(number)?;
        let reported = match &result.value {
            Some([_, row, _]) if self.connection_config.load_reporting == LoadReporting::InHealthChecks => {
                pg::row_text(row).map(pg::parse_load_report)
            }
            _ => None,
        };
        Some(Event::HealthCheckCompleted {
            endpoint: check.endpoint,
            outcome: result.outcome,
            elapsed: self.clock.now() - check.started_at,
            load: reported.unwrap_or(result.load),
        })
    }

    /// The endpoint of a call that has not ended.
    fn endpoint_of(&mut self, call: UpstreamCall) -> Option<String> {
        match call {
            UpstreamCall::Attempt { id, attempt } => {
                self.requests.active_attempt(id, attempt).map(|attempt| attempt.endpoint.clone())
            }
            UpstreamCall::HealthCheck(number) => self.health_checks.endpoint(number),
        }
    }
}

fn outcome_counter(outcome: AttemptOutcome) -> &'static Metric {
    match outcome {
        AttemptOutcome::Success => &COUNTERS.attempts_succeeded_total,
        AttemptOutcome::Error => &COUNTERS.attempts_failed_total,
        AttemptOutcome::Rejected => &COUNTERS.attempts_rejected_total,
        AttemptOutcome::Timeout => &COUNTERS.attempts_timed_out_total,
        AttemptOutcome::ConnectFailed => &COUNTERS.attempts_unconnected_total,
        AttemptOutcome::ConnectionLost => &COUNTERS.attempts_connection_lost_total,
        AttemptOutcome::Cancelled => &COUNTERS.attempts_cancelled_total,
        AttemptOutcome::NotSent => &COUNTERS.attempts_not_sent_total,
    }
}
