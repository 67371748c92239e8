//! One query on a connection, and its answer.

use super::CallResult;
use super::connection::{ConnectionTask, OutgoingQuery};
use crate::counters::COUNTERS;
use crate::net::{is_unusable, read_some, write_all};
use crate::proto::pg::{self, BackendMessage};
use bytes::Bytes;
use latchhaven_policy::{AttemptOutcome, LoadReport, LoadReporting};
use std::io;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout_at};

/// Bytes from which an answer needs a permit to be read on, which it holds until its client has it.
pub(super) const LARGE_ANSWER: usize = 64 * 1024;

/// The parameter by which an endpoint reports its load with an answer.
const LOAD_PARAMETER: &str = "load";

/// What follows an answer on its connection.
#[derive(PartialEq)]
pub(super) enum NextStep {
    /// The endpoint is ready for a query.
    Ready,
    /// The answer is whole; the endpoint has not yet said that it is ready.
    AwaitReady,
    /// The connection is out of step, or gone.
    Close,
}

/// How an exchange ended.
pub(super) struct Exchange {
    pub(super) result: CallResult,
    pub(super) next: NextStep,
}

/// A row that holds a permit for large answers for as long as it is held itself.
struct LargeRow {
    row: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for LargeRow {
    fn as_ref(&self) -> &[u8] {
        &self.row
    }
}

/// What has come of an answer.
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

    fn finish(self, outcome_otherwise: AttemptOutcome, next: NextStep) -> Exchange {
        let outcome = self.outcome.unwrap_or(outcome_otherwise);
        let result = CallResult { outcome, value: self.value, load: self.load, connected_at: None };
        Exchange { result, next }
    }
}

impl ConnectionTask {
    /// Sends one query and reads its answer.
    pub(super) async fn exchange(&mut self, stream: &TcpStream, query: OutgoingQuery) -> Exchange {
        if let Err(outcome) = self.send_query(stream, query).await {
            return Exchange { result: CallResult::without_answer(outcome), next: NextStep::Close };
        }
        self.connection.is_written.set(true);
        self.read_answer(stream).await
    }

    /// Writes a query whole, or not to its end: then it was not executed.
    async fn send_query(&mut self, stream: &TcpStream, query: OutgoingQuery) -> Result<(), AttemptOutcome> {
        // Handed over in the moment in which something came that nobody asked for.
        if !self.buffer.is_empty() || is_unusable(stream) {
            COUNTERS.unsolicited_responses_total.increment();
            return Err(AttemptOutcome::NotSent);
        }
        // Checked here, where it is written: a process that stood still since was handed it in time.
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
            match self.backend.next(&mut self.buffer) {
                Ok(Some(BackendMessage::Row(row))) if !is_complete => answer.set_row(row),
                Ok(Some(BackendMessage::Error(code))) if !is_complete => {
                    tracing::debug!(
                        endpoint = self.connection.endpoint,
                        code,
                        "upstream: server returned an error"
                    );
                    answer.outcome = Some(outcome_of_code(&code));
                }
                Ok(Some(BackendMessage::Parameter { name, value })) => {
                    if name == LOAD_PARAMETER && self.config.load_reporting == LoadReporting::InResponses {
                        answer.load = pg::parse_load_report(&value);
                    }
                }
                Ok(Some(BackendMessage::Ready)) if is_complete => {
                    return answer.finish(AttemptOutcome::ConnectionLost, NextStep::Ready);
                }
                // The client need not wait for what follows.
                Ok(None) if is_complete => {
                    return answer.finish(AttemptOutcome::ConnectionLost, NextStep::AwaitReady);
                }
                Ok(None) => {
                    if !self.read_more(stream, &mut answer.permit).await {
                        return answer.finish(AttemptOutcome::ConnectionLost, NextStep::Close);
                    }
                }
                out_of_step => {
                    // It was executed, or may have been: an error of the endpoint as far as any request goes.
                    COUNTERS.malformed_responses_total.increment();
                    tracing::debug!(
                        endpoint = self.connection.endpoint,
                        ?out_of_step,
                        "upstream: malformed response"
                    );
                    return answer.finish(AttemptOutcome::Error, NextStep::Close);
                }
            }
        }
    }

    /// Reads on, a large answer only with a permit; false: the connection is gone.
    async fn read_more(&mut self, stream: &TcpStream, permit: &mut Option<OwnedSemaphorePermit>) -> bool {
        if permit.is_none() && self.buffer.len() > LARGE_ANSWER {
            *permit = self.large_answers.clone().acquire_owned().await.ok();
        }
        matches!(read_some(stream, &mut self.buffer).await, Ok(count) if count > 0)
    }

    /// Reads on until the endpoint is ready again.
    pub(super) async fn await_ready(&mut self, stream: &TcpStream) -> bool {
        loop {
            match self.backend.next(&mut self.buffer) {
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
}

/// Some errors promise that the query was not executed.
fn outcome_of_code(code: &str) -> AttemptOutcome {
    if [pg::sqlstate::TOO_MANY_CONNECTIONS, pg::sqlstate::CANNOT_CONNECT_NOW].contains(&code) {
        AttemptOutcome::Rejected
    } else {
        AttemptOutcome::Error
    }
}
