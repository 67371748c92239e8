//! Requests: arrival, answer, and disconnected clients.

use super::Gateway;
use super::request_table::PendingRequest;
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
    /// A request was received. `arrived_at`: when its last byte arrived, in ms.
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
        let request = PendingRequest {
            statement,
            deadline,
            response_sender: Some(response_sender),
            attempts: Vec::new(),
        };
        invariant!(self.requests.insert(id, request), "request ids are unique");
    }

    /// The client of a request has disconnected.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId, events: &mut Vec<Event>) {
        COUNTERS.clients_disconnected_total.increment();
        if let Some(request) = self.requests.get_mut(id) {
            request.response_sender = None;
            events.push(Event::ClientDisconnected { id });
        }
        self.on_answered(id);
    }

    /// Rejects a request: it was not executed, and a retry is safe after `retry_after` ms.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Millis>, reason: UnservedReason) {
        record_unserved(id, &reason);
        if matches!(reason, UnservedReason::ListExpired { .. }) {
            self.list_confirmation.log_expired();
        }
        self.answer(id, FinalResponse::Rejected { retry_after }, &COUNTERS.requests_rejected_total);
    }

    /// Fails a request: its effect is unknown.
    pub(super) fn fail(&mut self, id: RequestId, reason: UnservedReason) {
        record_unserved(id, &reason);
        self.answer(id, FinalResponse::Failed, &COUNTERS.requests_failed_total);
    }

    fn answer(&mut self, id: RequestId, answer: FinalResponse, counter: &Metric) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(response_sender) = request.response_sender.take() else { return };
        counter.increment();
        let _ = response_sender.send(answer);
        self.on_answered(id);
    }

    /// A request is answered, or its client has disconnected: attempts that were not written yet are aborted, and
    /// the request is removed once none is left. An unwritten attempt is unknown to its endpoint, so the permission to cancel
    /// does not apply.
    pub(super) fn on_answered(&mut self, id: RequestId) {
        let mut events = Vec::new();
        for attempt in 0..self.requests.attempt_count(id) {
            self.abort_unsent(UpstreamCall::Attempt { id, attempt }, &mut events);
        }
        self.next_events.append(&mut events);
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
