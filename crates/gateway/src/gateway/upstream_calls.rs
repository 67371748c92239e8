//! Calls to endpoints: attempts and health checks. Each call ends with exactly one outcome.

use super::Gateway;
use super::request_table::Attempt;
use super::timers::Timer;
use crate::counters::{COUNTERS, Metric};
use crate::invariant;
use crate::limits::upstream::attempt_deadline;
use crate::net::FinalResponse;
use crate::net::upstream::{CallResult, CancelResult, QueuedCall, UpstreamCall, UpstreamConnection};
use crate::proto::pg;
use latchhaven_policy::{AttemptOutcome, CompletedAttempt, Event, LoadReporting, Millis, RequestId};
use std::rc::Rc;

impl Gateway {
    /// Starts an attempt. An attempt that cannot be sent ends with `NotSent`, and so does one that is not completely
    /// written within `write_timeout`. An attempt without a response within `timeout` ends with `Timeout`.
    pub(super) fn send_attempt(
        &mut self, id: RequestId, endpoint: &str, timeout: Option<Millis>, write_timeout: Option<Millis>,
    ) {
        let now = self.clock.now();
        let write_by = write_timeout.map(|timeout| now + timeout);
        let Some(request) = self.requests.get_mut(id) else {
            invariant!(false, "an attempt belongs to a pending request");
            return;
        };
        COUNTERS.attempts_total.increment();
        let deadline = attempt_deadline(now, timeout, request.deadline);
        let call = UpstreamCall::Attempt { id, attempt: request.attempts.len() as u32 };
        request.attempts.push(Attempt {
            endpoint: endpoint.to_string(),
            started_at: now,
            is_completed: false,
        });
        let is_needed = request.response_sender.is_some() && deadline > now;
        let queued = QueuedCall {
            call,
            statement: request.statement.clone(),
            deadline,
            write_deadline: write_by.map(|at| self.clock.instant(at)),
        };
        if !is_needed || !self.pool.send(endpoint, queued, now) {
            self.report_not_sent(vec![call]);
            return;
        }
        self.timers.set(deadline, Timer::CallTimeout(call));
        if let Some(write_by) = write_by.filter(|at| *at < deadline) {
            self.timers.set(write_by, Timer::WriteDeadline(call));
        }
    }

    /// Sends the oldest queued call on a connection that is ready. The policy confirms attempts, which were routed before
    /// they waited for the connection; the others end with `NotSent`.
    pub(super) fn on_connection_ready(&mut self, connection: Rc<UpstreamConnection>, is_newly_opened: bool) {
        let now = self.clock.now();
        let policy = &mut self.policy;
        let may_be_sent = |call: UpstreamCall| match call {
            UpstreamCall::Attempt { id, attempt } => policy.confirm_attempt(id, attempt, now),
            UpstreamCall::HealthCheck(_) => true,
        };
        let refused = self.pool.on_connection_ready(connection, is_newly_opened, now, may_be_sent);
        self.report_not_sent(refused);
    }

    /// Starts a health check. A health check that cannot be sent ends with `NotSent`.
    pub(super) fn check_health(&mut self, endpoint: &str) {
        let now = self.clock.now();
        COUNTERS.health_checks_total.increment();
        let deadline = now + self.connection_config.connect_timeout;
        let call = UpstreamCall::HealthCheck(self.health_checks.start(endpoint.to_string(), now));
        let is_permitted =
            invariant!(self.connection_config.health_checks, "health checks are sent only where permitted");
        let queued = QueuedCall { call, statement: None, deadline, write_deadline: None };
        if is_permitted && self.pool.send(endpoint, queued, now) {
            self.timers.set(deadline, Timer::CallTimeout(call));
        } else {
            self.report_not_sent(vec![call]);
        }
    }

    /// Ends calls that were never written with `NotSent`. The policy receives these outcomes in the next batch.
    pub(super) fn report_not_sent(&mut self, calls: Vec<UpstreamCall>) {
        let mut events = Vec::new();
        for call in calls {
            self.on_call_ended(call, CallResult::without_response(AttemptOutcome::NotSent), &mut events);
        }
        self.next_events.append(&mut events);
    }

    /// Cancels a call by closing its connection or removing the call from the queue. A call that was written ends with
    /// `outcome`, any other call with `NotSent`.
    pub(super) fn cancel_call(
        &mut self, call: UpstreamCall, outcome: AttemptOutcome, events: &mut Vec<Event>,
    ) {
        let Some(endpoint) = self.endpoint_of(call) else { return };
        let outcome = match self.pool.cancel(&endpoint, call) {
            CancelResult::Written => outcome,
            CancelResult::Unwritten => AttemptOutcome::NotSent,
            CancelResult::NotFound => {
                invariant!(false, "a call that has not ended is in the pool");
                return;
            }
        };
        self.on_call_ended(call, CallResult::without_response(outcome), events);
    }

    /// Cancels an attempt if its last byte was not written yet. Does nothing for a health check, which has no write
    /// deadline.
    pub(super) fn cancel_unwritten(&mut self, call: UpstreamCall, events: &mut Vec<Event>) {
        let UpstreamCall::Attempt { .. } = call else { return };
        let Some(endpoint) = self.endpoint_of(call) else { return };
        if self.pool.cancel_unwritten(&endpoint, call) {
            self.on_call_ended(call, CallResult::without_response(AttemptOutcome::NotSent), events);
        }
    }

    /// Handles the outcome of a call. If an attempt is the first one of its request to succeed, the result is sent to
    /// the client immediately.
    pub(super) fn on_call_ended(&mut self, call: UpstreamCall, result: CallResult, events: &mut Vec<Event>) {
        match call {
            UpstreamCall::Attempt { id, attempt } => self.on_attempt_ended(id, attempt, result, events),
            UpstreamCall::HealthCheck(number) => events.extend(self.health_check_completed(number, result)),
        }
    }

    fn on_attempt_ended(&mut self, id: RequestId, number: u32, result: CallResult, events: &mut Vec<Event>) {
        let CallResult { outcome, value, load, connected_at } = result;
        outcome_counter(outcome).increment();
        let Some(attempt) = self.requests.unfinished_attempt(id, number) else {
            invariant!(false, "an attempt ends once");
            return;
        };
        attempt.is_completed = true;
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
            self.on_request_completed(id);
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

    /// Returns the endpoint of a call. `None` if the call has an outcome already.
    fn endpoint_of(&mut self, call: UpstreamCall) -> Option<String> {
        match call {
            UpstreamCall::Attempt { id, attempt } => {
                self.requests.unfinished_attempt(id, attempt).map(|attempt| attempt.endpoint.clone())
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
