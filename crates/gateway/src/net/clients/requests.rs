//! One request, from its query to its final response.

use super::Clients;
use super::closing::wait_until_disconnected;
use super::large_messages::OwnedMemory;
use super::read_buffer::{ReadBuffer, record_unread};
use super::session::SessionTask;
use super::shared_state::SharedSessionState;
use crate::clock::{duration, millis};
use crate::counters::COUNTERS;
use crate::invariant;
use crate::limits::clients::{MAX_ID_RETENTION, MAX_READ_AHEAD_BYTES, SLOW_WRITE_THRESHOLD};
use crate::net::io::is_known_to_be_closed_by_peer;
use crate::net::{DriverEvent, FinalResponse, read_some};
use crate::proto::pg::{self, Statement, StatementError};
use bytes::Bytes;
use latchhaven_policy::{Millis, RequestId};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::select;
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until};

/// Why a query is invalid; the text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum QueryError {
    #[error(transparent)]
    Statement(#[from] StatementError),
    #[error("comment: c is no product")]
    UnknownClass,
    #[error("comment: k is missing")]
    MissingIdempotencyKey,
    #[error("comment: id is that of an open txn")]
    DuplicateId,
}

impl QueryError {
    pub(super) fn sqlstate(self) -> &'static str {
        match self {
            QueryError::DuplicateId => pg::sqlstate::DUPLICATE_OBJECT,
            QueryError::Statement(_) | QueryError::UnknownClass | QueryError::MissingIdempotencyKey => {
                pg::sqlstate::SYNTAX_ERROR
            }
        }
    }
}

impl Clients {
    /// Parses and validates the statement of a query, so that endpoints receive only valid ones. `memory` is reserved for
    /// the message; the statement of a large one retains the part that it occupies.
    pub(super) fn parse_query(
        &self, text: Bytes, memory: Option<OwnedMemory>,
    ) -> Result<Rc<Statement>, QueryError> {
        let statement = Statement::parse(text)?;
        let class = self.classes.iter().find(|class| class.name == statement.class);
        let class = class.ok_or(QueryError::UnknownClass)?;
        if class.requires_idempotency_key && !statement.has_idempotency_key {
            return Err(QueryError::MissingIdempotencyKey);
        }
        if self.pending_ids.borrow().contains(&statement.id) {
            return Err(QueryError::DuplicateId);
        }
        Ok(Rc::new(match memory {
            Some(memory) => statement.pack(|bytes| memory.shrink_to(bytes)),
            None => statement,
        }))
    }

    /// Waits until the shutdown requires that a pending request is abandoned.
    async fn wait_until_abandon_time(&self, session: &SharedSessionState) {
        loop {
            match self.shutdown.abandon_at() {
                Some(abandon_at) => return sleep_until(abandon_at).await,
                None => session.wake.notified().await,
            }
        }
    }
}

/// Registers the id of a request as pending until dropped.
struct PendingId {
    ids: Rc<RefCell<BTreeSet<Bytes>>>,
    id: Bytes,
}

impl PendingId {
    fn new(clients: &Clients, id: Bytes) -> Self {
        clients.pending_ids.borrow_mut().insert(id.clone());
        PendingId { ids: clients.pending_ids.clone(), id }
    }

    /// Registers the id for this time more: endpoints may still execute the request of a client that has disconnected.
    fn drop_after(self, time: Duration) {
        tokio::task::spawn_local(async move {
            sleep(time).await;
            drop(self);
        });
    }
}

impl Drop for PendingId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

impl SessionTask<'_> {
    /// Passes a request to the event loop and writes the final response, or rejects the request during the shutdown.
    ///
    /// # Errors
    /// The client has disconnected, or does not read the response.
    pub(super) async fn handle_request(
        &mut self, statement: Rc<Statement>, arrived_at: Millis,
    ) -> io::Result<()> {
        // The policy does not receive the request, so neither an `unserved_*` counter nor a log line records it.
        if self.clients.shutdown.rejects_request(arrived_at) {
            COUNTERS.requests_total.increment();
            COUNTERS.requests_rejected_total.increment();
            return self.write(&[rejection(None), Bytes::from_static(pg::encode::READY)]).await;
        }
        // The request may have been read behind many other messages, and its client may have disconnected meanwhile.
        if is_known_to_be_closed_by_peer(self.stream) {
            COUNTERS.clients_disconnected_total.increment();
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let clients = self.clients;
        let deadline = arrived_at + statement.timeout;
        let id = RequestId(clients.next_request_id.get());
        clients.next_request_id.set(id.0.wrapping_add(1));
        let (response_sender, final_response) = oneshot::channel();
        let pending_id = PendingId::new(clients, statement.id.clone());
        let received = DriverEvent::RequestReceived { id, statement, arrived_at, response_sender };
        let _ = clients.events.send(received).await;
        let completed = self.complete_request(id, final_response).await;
        if completed.is_err() {
            let time_left = deadline - clients.clock.now();
            pending_id.drop_after(duration(time_left.max(0.0)).min(MAX_ID_RETENTION));
            let _ = clients.events.send(DriverEvent::ClientDisconnected { id }).await;
        }
        completed
    }

    async fn complete_request(
        &mut self, id: RequestId, final_response: oneshot::Receiver<FinalResponse>,
    ) -> io::Result<()> {
        let final_response = self.wait_for_final_response(id, final_response).await?;
        let write_started_at = self.clients.clock.now();
        let written = self.write_final_response(final_response).await;
        // Input that arrived during the write was not read.
        if self.clients.clock.now() - write_started_at > millis(SLOW_WRITE_THRESHOLD) {
            record_unread(&mut self.input.unread_since, self.stream, write_started_at);
        }
        written
    }

    /// Waits for the final response, and reads ahead to detect that the client disconnects.
    async fn wait_for_final_response(
        &mut self, id: RequestId, mut final_response: oneshot::Receiver<FinalResponse>,
    ) -> io::Result<FinalResponse> {
        let clients = self.clients;
        let stream = self.stream;
        let mut is_abandoned = false;
        loop {
            self.input.record_arrival(stream, clients.clock.now());
            let can_read = self.input.bytes.len() < MAX_READ_AHEAD_BYTES;
            let has_queued_input = !self.input.bytes.is_empty();
            self.input.is_pipelined |= has_queued_input;
            let ReadBuffer { bytes, unread_since, .. } = &mut self.input;
            select! {
                biased;
                received = &mut final_response => {
                    invariant!(received.is_ok(), "every request gets a final response");
                    return Ok(received.unwrap_or(FinalResponse::Failed));
                }
                // The queries that are queued behind this one need a response before SIGKILL as well.
                () = clients.wait_until_abandon_time(self.session), if has_queued_input && !is_abandoned => {
                    is_abandoned = true;
                    let _ = clients.events.send(DriverEvent::Abandon { id }).await;
                }
                read = read_some(stream, bytes), if can_read => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                // With unread input, the end of the stream cannot be read and is polled for.
                () = wait_until_disconnected(stream, || record_unread(unread_since, stream, clients.clock.now())),
                    if !can_read =>
                {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }

    async fn write_final_response(&mut self, final_response: FinalResponse) -> io::Result<()> {
        let ready = Bytes::from_static(pg::encode::READY);
        match final_response {
            FinalResponse::Success { description, row, completion } => {
                self.write(&[description, row, completion, ready]).await
            }
            FinalResponse::Rejected { retry_after } => self.write(&[rejection(retry_after), ready]).await,
            FinalResponse::Failed => {
                let code = pg::sqlstate::INTERNAL_ERROR;
                let error = pg::encode::error(false, code, "voided: it may have run", None);
                self.write(&[error, ready]).await
            }
        }
    }
}

/// The error that permits a client to retry; a client is to wait for `retry_after` first, if given.
fn rejection(retry_after: Option<Millis>) -> Bytes {
    let detail = retry_after.map(|after| format!("{}", after.ceil()));
    let code = pg::sqlstate::TOO_MANY_CONNECTIONS;
    pg::encode::error(false, code, "declined: trying again is harmless", detail.as_deref())
}
