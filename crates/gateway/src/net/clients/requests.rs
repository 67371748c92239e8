//! One request, from its query to its answer.

use super::Clients;
use super::client_session::ClientSession;
use super::closing::client_disconnected;
use super::read_buffer::{ReadBuffer, record_unread};
use super::session::SessionTask;
use crate::clock::millis;
use crate::counters::COUNTERS;
use crate::invariant;
use crate::limits::clients::{MAX_READ_AHEAD_BYTES, SLOW_WRITE_THRESHOLD};
use crate::net::{DriverEvent, FinalResponse, read_some};
use crate::proto::pg::{self, Statement, StatementError};
use bytes::Bytes;
use latchhaven_policy::{Millis, RequestId};
use std::io;
use std::rc::Rc;
use tokio::select;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

/// Why a query is not admitted; the text is sent to the client.
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
    /// Parses and checks a statement, so that endpoints receive valid ones only.
    pub(super) fn admit(&self, text: Bytes) -> Result<Rc<Statement>, QueryError> {
        let statement = Statement::parse(text)?;
        let class = self.classes.iter().find(|class| class.name == statement.class);
        let class = class.ok_or(QueryError::UnknownClass)?;
        if class.needs_idempotency_key && !statement.has_idempotency_key {
            return Err(QueryError::MissingIdempotencyKey);
        }
        if self.open_ids.borrow().contains(&statement.id) {
            return Err(QueryError::DuplicateId);
        }
        Ok(Rc::new(statement))
    }

    /// Waits until pending requests are to be abandoned.
    async fn abandon_time(&self, session: &ClientSession) {
        loop {
            match self.shutdown.abandon_at() {
                Some(abandon_at) => return sleep_until(abandon_at).await,
                None => session.wake.notified().await,
            }
        }
    }
}

/// Marks the id of a request as pending until dropped.
struct OpenId<'a> {
    clients: &'a Clients,
    id: Bytes,
}

impl<'a> OpenId<'a> {
    fn new(clients: &'a Clients, id: Bytes) -> Self {
        clients.open_ids.borrow_mut().insert(id.clone());
        OpenId { clients, id }
    }
}

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        self.clients.open_ids.borrow_mut().remove(&self.id);
    }
}

impl SessionTask<'_> {
    /// Passes a request to the event loop and writes its answer.
    ///
    /// # Errors
    /// The client has disconnected.
    pub(super) async fn handle_request(
        &mut self, statement: Rc<Statement>, arrived_at: Millis,
    ) -> io::Result<()> {
        // Not passed to the policy: it has no `unserved_*` counter and no line.
        if self.clients.shutdown.rejects_request(arrived_at) {
            COUNTERS.requests_total.increment();
            COUNTERS.requests_rejected_total.increment();
            return self.write(&[rejection(None), Bytes::from_static(pg::encode::READY)]).await;
        }
        let clients = self.clients;
        let id = RequestId(clients.next_request.get());
        clients.next_request.set(id.0.wrapping_add(1));
        let (response_sender, answer) = oneshot::channel();
        let open_id = OpenId::new(clients, statement.id.clone());
        let received = DriverEvent::RequestReceived { id, statement, arrived_at, response_sender };
        let _ = clients.events.send(received).await;
        let answered = self.answer_request(id, answer).await;
        drop(open_id);
        if answered.is_err() {
            let _ = clients.events.send(DriverEvent::ClientDisconnected { id }).await;
        }
        answered
    }

    async fn answer_request(
        &mut self, id: RequestId, answer: oneshot::Receiver<FinalResponse>,
    ) -> io::Result<()> {
        let answer = self.wait_for_answer(id, answer).await?;
        let since = self.clients.clock.now();
        let written = self.write_answer(answer).await;
        // Nothing was read during the write.
        if self.clients.clock.now() - since > millis(SLOW_WRITE_THRESHOLD) {
            record_unread(&mut self.input.unread_since, self.stream, since);
        }
        written
    }

    /// Waits for the final answer, and reads ahead to detect that the client disconnects.
    async fn wait_for_answer(
        &mut self, id: RequestId, mut answer: oneshot::Receiver<FinalResponse>,
    ) -> io::Result<FinalResponse> {
        let clients = self.clients;
        let stream = self.stream;
        let mut is_abandoned = false;
        loop {
            self.input.record_arrival(stream, clients.clock.now());
            let can_read = self.input.bytes.len() < MAX_READ_AHEAD_BYTES;
            let has_input_behind = !self.input.bytes.is_empty();
            self.input.is_pipelined |= has_input_behind;
            let ReadBuffer { bytes, unread_since, .. } = &mut self.input;
            select! {
                biased;
                answer = &mut answer => {
                    invariant!(answer.is_ok(), "every request gets an answer");
                    return Ok(answer.unwrap_or(FinalResponse::Failed));
                }
                // Queries behind this one have to be answered as well.
                () = clients.abandon_time(self.session), if has_input_behind && !is_abandoned => {
                    is_abandoned = true;
                    let _ = clients.events.send(DriverEvent::Abandon { id }).await;
                }
                read = read_some(stream, bytes), if can_read => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                // The end of the stream cannot be read behind unread input.
                () = client_disconnected(stream, || record_unread(unread_since, stream, clients.clock.now())),
                    if !can_read =>
                {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }

    async fn write_answer(&self, answer: FinalResponse) -> io::Result<()> {
        let ready = Bytes::from_static(pg::encode::READY);
        match answer {
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

/// The error that permits the client to retry, after `retry_after` ms.
fn rejection(retry_after: Option<Millis>) -> Bytes {
    let detail = retry_after.map(|after| format!("{}", after.ceil()));
    let code = pg::sqlstate::TOO_MANY_CONNECTIONS;
    pg::encode::error(false, code, "declined: trying again is harmless", detail.as_deref())
}
