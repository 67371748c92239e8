//! Requests: arrival, final response, and disconnected clients.

use super::Gateway;
use super::request_table::RequestEntry;
use crate::counters::{COUNTERS, Metric};
use crate::invariant;
use crate::net::FinalResponse;
use crate::net::upstream::UpstreamCall;
use crate::policy_log;
use crate::proto::pg::Statement;
use latchhaven_policy::{Event, IncomingRequest, Millis, RequestId, UnservedReason};
use std::rc::Rc;
use tokio::sync::oneshot;

impl Gateway {
    /// Handles a received request, whose last byte arrived at `arrived_at`.
    pub(super) fn on_request(
        &mut self, id: RequestId, statement: Rc<Statement>, arrived_at: Millis,
        response_sender: oneshot::Sender<FinalResponse>, events: &mut Vec<Event>,
    ) {
        COUNTERS.requests_total.increment();
        let now = self.clock.now();
        tracing::debug!(
            id = id.0,
            client_id = %String::from_utf8_lossy(&statement.id),
            class = statement.class,
            "request: received"
        );
        let deadline = arrived_at + statement.timeout;
        events.push(Event::RequestReceived(IncomingRequest {
            id,
            class: statement.class.clone(),
            tenant: statement.tenant.clone(),
            sticky_key: statement.item.clone(),
            time_remaining: deadline - now,
            queued_for: now - arrived_at,
            expected_work: statement.expected_work,
            is_retry: statement.is_retry,
            is_write: statement.is_write,
        }));
        let request = RequestEntry {
            statement: Some(statement),
            deadline,
            response_sender: Some(response_sender),
            attempts: Vec::new(),
        };
        invariant!(self.requests.insert(id, request), "request ids are unique");
    }

    pub(super) fn on_client_disconnected(&mut self, id: RequestId, events: &mut Vec<Event>) {
        COUNTERS.clients_disconnected_total.increment();
        if let Some(request) = self.requests.get_mut(id) {
            request.response_sender = None;
            events.push(Event::ClientDisconnected { id });
        }
        self.on_request_completed(id);
    }

    /// Rejects a request that was not executed. The client may safely retry after `retry_after`.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Millis>, reason: UnservedReason) {
        record_unserved(id, &reason);
        if matches!(reason, UnservedReason::ListExpired { .. }) {
            self.list_confirmation.log_expired();
        }
        self.send_final_response(
            id,
            FinalResponse::Rejected { retry_after },
            &COUNTERS.requests_rejected_total,
        );
    }

    /// Fails a request that may or may not have been executed.
    pub(super) fn fail(&mut self, id: RequestId, reason: UnservedReason) {
        record_unserved(id, &reason);
        self.send_final_response(id, FinalResponse::Failed, &COUNTERS.requests_failed_total);
    }

    fn send_final_response(&mut self, id: RequestId, response: FinalResponse, counter: &Metric) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(response_sender) = request.response_sender.take() else { return };
        counter.increment();
        let _ = response_sender.send(response);
        self.on_request_completed(id);
    }

    /// Cancels the attempts that were not written yet after a request has its final response or its client
    /// disconnected, and removes the request if no attempt is in flight. An unwritten attempt is unknown to its
    /// endpoint, so the cancellation does not need the permission to cancel attempts.
    pub(super) fn on_request_completed(&mut self, id: RequestId) {
        let mut events = Vec::new();
        for attempt in 0..self.requests.attempt_count(id) {
            self.cancel_unwritten(UpstreamCall::Attempt { id, attempt }, &mut events);
        }
        self.next_events.append(&mut events);
        if let Some(request) = self.requests.get_mut(id) {
            request.statement = None;
        }
        self.requests.remove_if_finished(id);
    }
}

/// Counts and logs why a request gets no result.
fn record_unserved(id: RequestId, reason: &UnservedReason) {
    policy_log::log_unserved(id, reason);
    let counter = match reason {
        UnservedReason::Overload { .. } => &COUNTERS.unserved_overload_total,
        UnservedReason::NoEndpoint { .. } => &COUNTERS.unserved_no_endpoint_total,
        UnservedReason::ListExpired { .. } => &COUNTERS.unserved_list_expired_total,
        UnservedReason::AttemptsFailed { .. } => &COUNTERS.unserved_attempts_failed_total,
        UnservedReason::Overdue { .. } => &COUNTERS.unserved_overdue_total,
        UnservedReason::Abandoned => &COUNTERS.unserved_abandoned_total,
        UnservedReason::UnknownClass => &COUNTERS.unserved_unknown_class_total,
    };
    counter.increment();
}
