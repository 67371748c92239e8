//! Requests that are pending or have an attempt in flight.

use crate::net::FinalResponse;
use crate::proto::pg::Statement;
use latchhaven_policy::{Millis, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

pub(super) struct Attempt {
    pub(super) endpoint: String,
    pub(super) started_at: Millis,
    /// Set when the outcome is known.
    pub(super) is_completed: bool,
}

/// A request that is pending or has an attempt without an outcome.
pub(super) struct RequestEntry {
    /// `None` once the request has its final response: it is not sent any more, and its memory is released.
    pub(super) statement: Option<Rc<Statement>>,
    pub(super) deadline: Millis,
    /// `None` if the request is not pending, because the final response was sent or the client disconnected.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    /// All attempts so far. An attempt's number is its index.
    pub(super) attempts: Vec<Attempt>,
}

impl RequestEntry {
    fn is_finished(&self) -> bool {
        self.response_sender.is_none() && self.attempts.iter().all(|attempt| attempt.is_completed)
    }
}

#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, RequestEntry>,
}

impl RequestTable {
    /// Adds a request. Returns `false` if the request replaced another one with the same id.
    pub(super) fn insert(&mut self, id: RequestId, request: RequestEntry) -> bool {
        self.requests.insert(id, request).is_none()
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.requests.get_mut(&id)
    }

    /// The number of attempts so far, and 0 if the request is not in the table.
    pub(super) fn attempt_count(&self, id: RequestId) -> u32 {
        self.requests.get(&id).map_or(0, |request| request.attempts.len() as u32)
    }

    /// Returns an attempt by its number. `None` if the attempt has an outcome or is unknown.
    pub(super) fn unfinished_attempt(&mut self, id: RequestId, attempt: u32) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id)?.attempts.get_mut(attempt as usize)?;
        (!attempt.is_completed).then_some(attempt)
    }

    /// Removes a request if it is not pending and all its attempts have an outcome.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(RequestEntry::is_finished) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
