//! One query on a connection and its response.

use super::call::CallResult;
use super::connection::{AssignedQuery, UpstreamConnection};
use super::unsolicited::UnsolicitedBytes;
use crate::counters::COUNTERS;
use crate::limits::upstream::LARGE_RESPONSE_BYTES;
use crate::net::io::has_unread_bytes;
use crate::net::{is_unusable, read_some, write_all};
use crate::proto::pg::{self, BackendMessage, BackendParser, ParseError};
use bytes::{Bytes, BytesMut};
use latchhaven_policy::{AttemptOutcome, LoadReport, LoadReporting};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// The `ParameterStatus` by which an endpoint reports its load within a response.
const LOAD_PARAMETER: &str = "load";

/// What happens to the connection after an exchange.
#[derive(PartialEq)]
pub(super) enum NextStep {
    /// The next query can be sent.
    Ready,
    /// The response is complete, but the endpoint has not sent `ReadyForQuery` yet.
    AwaitReady,
    /// The connection is lost, or unexpected bytes were received.
    Close,
}

/// A completed exchange of a query and its response.
pub(super) struct Exchange {
    pub(super) result: CallResult,
    pub(super) next: NextStep,
}

/// The row of a large response with its permit, which is released when the row is dropped.
struct LargeRow {
    row: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LargeRow {
    fn as_ref(&self) -> &[u8] {
        &self.row
    }
}

/// The part of a response that was received.
#[derive(Default)]
struct PartialResponse {
    /// Set when the row or the error was received; only `ParameterStatus` and `ReadyForQuery` may follow.
    outcome: Option<AttemptOutcome>,
    value: Option<[Bytes; 3]>,
    load: LoadReport,
    /// Set when the response was found to be large.
    permit: Option<OwnedSemaphorePermit>,
}

impl PartialResponse {
    fn set_row(&mut self, [description, row, completion]: [Bytes; 3]) {
        let row = match self.permit.take() {
            Some(permit) => Bytes::from_owner(LargeRow { row, _permit: permit }),
            None => row,
        };
        self.outcome = Some(AttemptOutcome::Success);
        self.value = Some([description, row, completion]);
    }

    /// Completes the exchange, with `outcome_if_incomplete` if neither a row nor an error was received.
    fn finish(self, outcome_if_incomplete: AttemptOutcome, next: NextStep) -> Exchange {
        let outcome = self.outcome.unwrap_or(outcome_if_incomplete);
        let result = CallResult { outcome, value: self.value, load: self.load, connected_at: None };
        Exchange { result, next }
    }
}

/// Sends queries on a connection and reads their responses.
pub(super) struct QueryChannel {
    connection: Rc<UpstreamConnection>,
    load_reporting: LoadReporting,
    /// Permits to buffer a large response, shared by all connections.
    large_responses: Arc<Semaphore>,
    unsolicited: Rc<UnsolicitedBytes>,
    backend: BackendParser,
    /// How the previous exchange on this connection ended; `None` before the first.
    previous_outcome: Option<AttemptOutcome>,
    /// Input that was not parsed yet.
    pub(super) buffer: BytesMut,
}

impl QueryChannel {
    pub(super) fn new(
        connection: Rc<UpstreamConnection>, load_reporting: LoadReporting, large_responses: Arc<Semaphore>,
        unsolicited: Rc<UnsolicitedBytes>,
    ) -> Self {
        let backend = BackendParser::default();
        QueryChannel {
            connection,
            load_reporting,
            large_responses,
            unsolicited,
            backend,
            previous_outcome: None,
            buffer: BytesMut::new(),
        }
    }

    /// Parses the next message of the endpoint from the buffer; `None` if it is incomplete.
    pub(super) fn next_message(&mut self) -> Result<Option<BackendMessage>, ParseError> {
        self.backend.next(&mut self.buffer)
    }

    /// Sends one query and reads the response. Not cancel safe: after a drop the connection has to be closed.
    pub(super) async fn exchange(&mut self, stream: &TcpStream, query: AssignedQuery) -> Exchange {
        if let Err(outcome) = self.send_query(stream, query).await {
            return Exchange { result: CallResult::without_response(outcome), next: NextStep::Close };
        }
        self.connection.is_written.set(true);
        let exchange = self.read_response(stream).await;
        self.connection.has_responded.set(true);
        self.previous_outcome = Some(exchange.result.outcome);
        exchange
    }

    /// Writes a query. After an error, the last byte was not written, so the endpoint has not executed the query.
    async fn send_query(&mut self, stream: &TcpStream, query: AssignedQuery) -> Result<(), AttemptOutcome> {
        // Unsolicited data, or a close, arrived after the pool chose this connection.
        if self.has_unsolicited_bytes(stream) {
            self.unsolicited.record();
            return Err(AttemptOutcome::NotSent);
        }
        if is_unusable(stream) {
            return Err(AttemptOutcome::NotSent);
        }
        // Checked directly before the write: the process may have been suspended since the call was assigned.
        if query.write_deadline.is_some_and(|write_deadline| Instant::now() >= write_deadline) {
            return Err(AttemptOutcome::NotSent);
        }
        let AssignedQuery { query, write_deadline } = query;
        let writing = async {
            for buffers in query {
                write_all(stream, &buffers).await?;
            }
            Ok(())
        };
        let written = match write_deadline {
            Some(write_deadline) => {
                timeout_at(write_deadline, writing).await.unwrap_or_else(|late| Err(io::Error::from(late)))
            }
            None => writing.await,
        };
        written.map_err(|_| AttemptOutcome::ConnectFailed)
    }

    /// Reads the response to the query that was written.
    ///
    /// The first response on a connection is complete without `ReadyForQuery`. Before any other one, bytes may arrive that
    /// belong to an earlier response: it is complete with `ReadyForQuery`, or at the end of the connection if it cannot
    /// be a duplicate of the previous response. Two responses before that fail the exchange.
    async fn read_response(&mut self, stream: &TcpStream) -> Exchange {
        let mut response = PartialResponse::default();
        loop {
            let is_complete = response.outcome.is_some();
            let is_first = self.previous_outcome.is_none();
            match self.next_message() {
                Ok(Some(BackendMessage::Row(row))) if !is_complete => response.set_row(row),
                Ok(Some(BackendMessage::Error(code))) if !is_complete => {
                    tracing::debug!(
                        endpoint = self.connection.endpoint,
                        call = self.connection.call.get().map(tracing::field::display),
                        code,
                        "upstream: server returned an error"
                    );
                    response.outcome = Some(outcome_of_error(&code));
                }
                Ok(Some(BackendMessage::Parameter { name, value })) => {
                    if name == LOAD_PARAMETER && self.load_reporting == LoadReporting::InResponses {
                        response.load = pg::parse_load_report(&value);
                    }
                }
                Ok(Some(BackendMessage::Ready)) if is_complete => {
                    return response.finish(AttemptOutcome::ConnectionLost, NextStep::Ready);
                }
                Ok(None) if is_complete && is_first => {
                    return response.finish(AttemptOutcome::ConnectionLost, NextStep::AwaitReady);
                }
                Ok(None) => {
                    if !self.read_more(stream, &mut response.permit).await {
                        if response.outcome == self.previous_outcome {
                            response = PartialResponse::default();
                        }
                        return response.finish(AttemptOutcome::ConnectionLost, NextStep::Close);
                    }
                }
                unexpected => {
                    // The query may have been executed, so the outcome is an error of the endpoint.
                    COUNTERS.malformed_responses_total.increment();
                    tracing::debug!(
                        endpoint = self.connection.endpoint,
                        call = self.connection.call.get().map(tracing::field::display),
                        ?unexpected,
                        "upstream: malformed response"
                    );
                    if is_complete && !is_first {
                        self.unsolicited.record();
                        response = PartialResponse::default();
                    }
                    return response.finish(AttemptOutcome::Error, NextStep::Close);
                }
            }
        }
    }

    /// Reads more input; if the response is large, waits for a permit first. Returns `false` if the connection is lost.
    async fn read_more(&mut self, stream: &TcpStream, permit: &mut Option<OwnedSemaphorePermit>) -> bool {
        if permit.is_none() && self.buffer.len() > LARGE_RESPONSE_BYTES {
            *permit = self.large_responses.clone().acquire_owned().await.ok();
        }
        matches!(read_some(stream, &mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Reads until `ReadyForQuery`. Returns `false` if the connection is lost or another message arrives.
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

    /// Returns `true` if bytes have arrived that belong to no query. Called only between two queries.
    pub(super) fn has_unsolicited_bytes(&self, stream: &TcpStream) -> bool {
        !self.buffer.is_empty() || has_unread_bytes(stream)
    }

    /// Parses messages that arrive between queries. Returns `false` unless all are complete parameters or notices:
    /// the start of a response would be read as part of the response to the next call.
    pub(super) fn parse_idle_messages(&mut self) -> bool {
        loop {
            match self.next_message() {
                Ok(Some(BackendMessage::Parameter { .. })) => {}
                Ok(None) => return self.buffer.is_empty(),
                _ => return false,
            }
        }
    }
}

/// The outcome of an attempt that ends with this SQLSTATE. Two of them state that the query was not executed.
fn outcome_of_error(sqlstate: &str) -> AttemptOutcome {
    if [pg::sqlstate::TOO_MANY_CONNECTIONS, pg::sqlstate::CANNOT_CONNECT_NOW].contains(&sqlstate) {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Error
    }
}
