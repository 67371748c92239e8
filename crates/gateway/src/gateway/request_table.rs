//! Pending requests and their attempts.

use crate::net::FinalResponse;
use crate::proto::pg::Statement;
use latchhaven_policy::{Millis, RequestId};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) endpoint: String,
    /// In ms.
    pub(super) started_at: Millis,
    pub(super) has_ended: bool,
}

/// A request without an answer, or with an attempt that has not ended.
pub(super) struct PendingRequest {
    pub(super) statement: Rc<Statement>,
    /// In ms.
    pub(super) deadline: Millis,
    /// None: it is answered, or its client has disconnected.
    pub(super) response_sender: Option<oneshot::Sender<FinalResponse>>,
    pub(super) attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// It is answered and all its attempts have ended.
    fn is_finished(&self) -> bool {
        self.response_sender.is_none() && self.attempts.iter().all(|attempt| attempt.has_ended)
    }
}

/// The pending requests.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, PendingRequest>,
}

impl RequestTable {
    /// Adds a request. False: it replaces one with the same id.
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) -> bool {
        self.requests.insert(id, request).is_none()
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// The number of attempts so far.
    pub(super) fn attempt_count(&self, id: RequestId) -> u32 {
        self.requests.get(&id).map_or(0, |request| request.attempts.len() as u32)
    }

    /// An attempt that has not ended.
    pub(super) fn active_attempt(&mut self, id: RequestId, attempt: u32) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id)?.attempts.get_mut(attempt as usize)?;
        (!attempt.has_ended).then_some(attempt)
    }

    /// Removes a request if it is finished.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(PendingRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}
