//! One query on a connection and its answer.

use super::call::CallResult;
use super::connection::{OutgoingQuery, UpstreamConnection};
use crate::counters::COUNTERS;
use crate::limits::upstream::LARGE_RESPONSE_BYTES;
use crate::net::{is_unusable, read_some, write_all};
use crate::proto::pg::{self, Backend, BackendMessage, ParseError};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::{AttemptOutcome, LoadReport, LoadReporting};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// The parameter by which an endpoint reports its load with an answer.
const LOAD_PARAMETER: &str = "load";

/// What is to be done with the connection after an answer.
#[derive(PartialEq)]
pub(super) enum NextStep {
    /// The endpoint is ready for a query.
    Ready,
    /// The answer is complete; the endpoint has not reported yet that it is ready.
    AwaitReady,
    /// The connection is out of step or lost.
    Close,
}

/// How an exchange ended.
pub(super) struct Exchange {
    pub(super) result: CallResult,
    pub(super) next: NextStep,
}

/// A row with a permit for large answers, which is released when the row is dropped.
struct LargeRow {
    row: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LargeRow {
    fn as_ref(&self) -> &[u8] {
        &self.row
    }
}

/// The part of an answer that was received.
#[derive(Default)]
struct PartialAnswer {
    outcome: Option<AttemptOutcome>,
    value: Option<[Bytes; 3]>,
    load: LoadReport,
    permit: Option<OwnedSemaphorePermit>,
}

impl PartialAnswer {
    fn set_row(&mut self, [description, row, completion]: [Bytes; 3]) {
        let row = match self.permit.take() {
            Some(permit) => Bytes::from_owner(LargeRow { row, _permit: permit }),
            None => row,
        };
        self.outcome = Some(AttemptOutcome::Success);
        self.value = Some([description, row, completion]);
    }

    /// Ends the exchange; `outcome_otherwise` applies where no complete answer was read.
    fn finish(self, outcome_otherwise: AttemptOutcome, next: NextStep) -> Exchange {
        let outcome = self.outcome.unwrap_or(outcome_otherwise);
        let result = CallResult { outcome, value: self.value, load: self.load, connected_at: None };
        Exchange { result, next }
    }
}

/// Sends queries on a connection and reads their answers.
pub(super) struct QueryChannel {
    connection: Rc<UpstreamConnection>,
    load_reporting: LoadReporting,
    /// Permits for large answers.
    large_answers: Arc<Semaphore>,
    backend: Backend,
    /// Input that was not parsed yet.
    pub(super) buffer: BytesMut,
}

impl QueryChannel {
    pub(super) fn new(
        connection: Rc<UpstreamConnection>, load_reporting: LoadReporting, large_answers: Arc<Semaphore>,
    ) -> Self {
        let backend = Backend::default();
        QueryChannel { connection, load_reporting, large_answers, backend, buffer: BytesMut::new() }
    }

    /// The next buffered message of the endpoint, if it is complete.
    pub(super) fn next_message(&mut self) -> Result<Option<BackendMessage>, ParseError> {
        self.backend.next(&mut self.buffer)
    }

    /// Sends one query and reads its answer.
    pub(super) async fn exchange(&mut self, stream: &TcpStream, query: OutgoingQuery) -> Exchange {
        if let Err(outcome) = self.send_query(stream, query).await {
            return Exchange { result: CallResult::without_answer(outcome), next: NextStep::Close };
        }
        self.connection.is_written.set(true);
        self.read_answer(stream).await
    }

    /// Writes a query. After an error its last byte was not written, and the endpoint has not executed it.
    async fn send_query(&mut self, stream: &TcpStream, query: OutgoingQuery) -> Result<(), AttemptOutcome> {
        // Unsolicited data arrived after the pool chose this connection.
        if !self.buffer.is_empty() || is_unusable(stream) {
            COUNTERS.unsolicited_responses_total.increment();
            return Err(AttemptOutcome::NotSent);
        }
        // Checked again just before the write: the process may have been suspended since the pool checked it.
        if query.write_by.is_some_and(|write_by| Instant::now() >= write_by) {
            return Err(AttemptOutcome::NotSent);
        }
        let writing = write_all(stream, &query.buffers);
        let written = match query.write_by {
            Some(write_by) => {
                timeout_at(write_by, writing).await.unwrap_or_else(|late| Err(io::Error::from(late)))
            }
            None => writing.await,
        };
        written.map_err(|_| AttemptOutcome::ConnectFailed)
    }

    async fn read_answer(&mut self, stream: &TcpStream) -> Exchange {
        let mut answer = PartialAnswer::default();
        loop {
            let is_complete = answer.outcome.is_some();
            match self.next_message() {
                Ok(Some(BackendMessage::Row(row))) if !is_complete => answer.set_row(row),
                Ok(Some(BackendMessage::Error(code))) if !is_complete => {
                    tracing::debug!(
                        endpoint = self.connection.endpoint,
                        call = self.connection.call.get().map(tracing::field::display),
                        code,
                        "upstream: server returned an error"
                    );
                    answer.outcome = Some(outcome_of_code(&code));
                }
                Ok(Some(BackendMessage::Parameter { name, value })) => {
                    if name == LOAD_PARAMETER && self.load_reporting == LoadReporting::InResponses {
                        answer.load = pg::parse_load_report(&value);
                    }
                }
                Ok(Some(BackendMessage::Ready)) if is_complete => {
                    return answer.finish(AttemptOutcome::ConnectionLost, NextStep::Ready);
                }
                // The client need not wait for the ReadyForQuery.
                Ok(None) if is_complete => {
                    return answer.finish(AttemptOutcome::ConnectionLost, NextStep::AwaitReady);
                }
                Ok(None) => {
                    if !self.read_more(stream, &mut answer.permit).await {
                        return answer.finish(AttemptOutcome::ConnectionLost, NextStep::Close);
                    }
                }
                out_of_step => {
                    // It may have been executed, so it counts as an error of the endpoint.
                    COUNTERS.malformed_responses_total.increment();
                    tracing::debug!(
                        endpoint = self.connection.endpoint,
                        call = self.connection.call.get().map(tracing::field::display),
                        ?out_of_step,
                        "upstream: malformed response"
                    );
                    return answer.finish(AttemptOutcome::Error, NextStep::Close);
                }
            }
        }
    }

    /// Reads more input, of a large answer only with a permit. False: the connection is lost.
    async fn read_more(&mut self, stream: &TcpStream, permit: &mut Option<OwnedSemaphorePermit>) -> bool {
        if permit.is_none() && self.buffer.len() > LARGE_RESPONSE_BYTES {
            *permit = self.large_answers.clone().acquire_owned().await.ok();
        }
        matches!(read_some(stream, &mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Reads until the endpoint is ready again. False: the connection is lost or out of step.
    pub(super) async fn await_ready(&mut self, stream: &TcpStream) -> bool {
        loop {
            match self.next_message() {
                Ok(Some(BackendMessage::Ready)) => return true,
                Ok(Some(BackendMessage::Parameter { .. })) => {}
                Ok(None) => {
                    let read = read_some(stream, &mut self.buffer).await;
                    if !matches!(read, Ok(count) if count > 0) {
                        return false;
                    }
                }
                _ => return false,
            }
        }
    }

    /// Parses messages between queries: only complete parameters and notices are valid. The start of an answer would
    /// be read as part of the next call's answer.
    pub(super) fn accept_idle_messages(&mut self) -> bool {
        loop {
            match self.next_message() {
                Ok(Some(BackendMessage::Parameter { .. })) => {}
                Ok(None) => return self.buffer.is_empty(),
                _ => return false,
            }
        }
    }
}

/// Some errors state that the query was not executed.
fn outcome_of_code(code: &str) -> AttemptOutcome {
    if [pg::sqlstate::TOO_MANY_CONNECTIONS, pg::sqlstate::CANNOT_CONNECT_NOW].contains(&code) {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Error
    }
}
