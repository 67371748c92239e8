//! Reads input of a connection until a deadline or until the connection is to be closed.

use super::Clients;
use super::large_messages::MessageMemory;
use super::read_buffer::ReadBuffer;
use super::session::{ReadOutcome, SessionTask};
use super::shared_state::SharedSessionState;
use crate::limits::clients::{InputProgress, MAX_READ_AHEAD_BYTES};
use crate::limits::shutdown::{CloseTime, WaitingConnection};
use crate::net::io::has_unread_bytes;
use crate::net::{read_some, read_up_to};
use crate::proto::pg;
use std::io;
use tokio::net::TcpStream;
use tokio::select;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

impl SessionTask<'_> {
    /// Waits for more input, until the deadline or until the connection is to be closed.
    ///
    /// # Errors
    /// The connection is lost.
    pub(super) async fn read_more(&mut self) -> io::Result<ReadOutcome> {
        // The message that memory was reserved for is handled, and was no query that retains it.
        self.input.large_message_memory = None;
        let progress = self.input_progress();
        let deadline = progress.deadline();
        // Checked first: the socket of a client that sends continuously is always readable.
        if Instant::now() >= deadline {
            return Ok(outcome_at_deadline(progress));
        }
        // Otherwise the connection of a client that sends queries continuously would still be open at SIGKILL.
        if self.clients.shutdown.closes_all() {
            return Ok(ReadOutcome::CloseRequired);
        }
        let buffered = self.input.bytes.len();
        let close_conditions = CloseConditions {
            clients: self.clients,
            session: self.session,
            has_partial_message: self.message_started_at.is_some(),
            is_pipelined: self.input.is_pipelined,
            waiting_since: Instant::now(),
        };
        let clients = self.clients;
        let stream = self.stream;
        let input = &mut self.input;
        let read = select! {
            biased;
            read = clients.read_message(stream, input) => Some(read?),
            () = close_conditions.wait() => None,
            () = sleep_until(deadline) => return Ok(outcome_at_deadline(progress)),
        };
        match read {
            Some(MessageRead::Bytes(0)) => Ok(ReadOutcome::ClosedOrIdle),
            Some(MessageRead::Bytes(_)) => Ok(ReadOutcome::Read),
            Some(MessageRead::Preempted) => Ok(ReadOutcome::TimedOut),
            Some(MessageRead::OutOfMemory) => Ok(ReadOutcome::OutOfMemory),
            None => self.read_before_closing(buffered).await,
        }
    }

    /// Reads input that arrived before the connection is to be closed. `buffered`: bytes in the buffer before the wait.
    async fn read_before_closing(&mut self, buffered: usize) -> io::Result<ReadOutcome> {
        // `read_some` yields after a read of `MAX_READ_BYTES`: if dropped there, it has added them to the buffer.
        let has_read = self.input.bytes.len() > buffered
            || has_unread_bytes(self.stream) && read_some(self.stream, &mut self.input.bytes).await? > 0;
        Ok(if has_read { ReadOutcome::Read } else { ReadOutcome::CloseRequired })
    }

    fn input_progress(&self) -> InputProgress {
        InputProgress {
            last_activity: self.session.last_activity.get(),
            has_requested: self.session.has_requested.get(),
            message_began: self.message_started_at,
        }
    }
}

fn outcome_at_deadline(progress: InputProgress) -> ReadOutcome {
    if progress.is_idle() { ReadOutcome::ClosedOrIdle } else { ReadOutcome::TimedOut }
}

/// What determines when a connection that waits for input is closed.
struct CloseConditions<'a> {
    clients: &'a Clients,
    session: &'a SharedSessionState,
    has_partial_message: bool,
    is_pipelined: bool,
    waiting_since: Instant,
}

impl CloseConditions<'_> {
    fn close_time(&self) -> CloseTime {
        let connection = WaitingConnection {
            is_evicted: self.session.is_evicted(),
            has_requested: self.session.has_requested.get(),
            has_partial_message: self.has_partial_message,
            is_pipelined: self.is_pipelined,
            last_activity: self.session.last_activity.get(),
            waiting_since: self.waiting_since,
        };
        connection.close_time(self.clients.shutdown.started_at())
    }

    /// Waits until the connection is to be closed; the close time is computed again after each wake-up.
    async fn wait(&self) {
        loop {
            let close_at = match self.close_time() {
                CloseTime::Now => return,
                CloseTime::At(instant) => Some(instant),
                CloseTime::Undecided => None,
            };
            select! {
                () = self.session.wake.notified() => {}
                () = sleep_until(close_at.unwrap_or(self.waiting_since)), if close_at.is_some() => return,
            }
        }
    }
}

/// What a read of a message led to.
enum MessageRead {
    /// This number of bytes was read; 0 if the client has closed its side.
    Bytes(usize),
    /// The client sent the rest of a large message too slowly while others waited for memory.
    Preempted,
    /// The memory for large messages did not become available.
    OutOfMemory,
}

impl Clients {
    /// Reads available bytes. A message above [`MAX_READ_AHEAD_BYTES`] is read to its end, once memory is reserved for
    /// it.
    async fn read_message(&self, stream: &TcpStream, input: &mut ReadBuffer) -> io::Result<MessageRead> {
        if input.bytes.len() < MAX_READ_AHEAD_BYTES {
            return read_some(stream, &mut input.bytes).await.map(MessageRead::Bytes);
        }
        let message_length = pg::message_length(&input.bytes);
        let mut memory = self.large_messages.try_reserve(message_length);
        if memory.is_none() {
            // The rest of the message may arrive during the wait, which counts into the time of the request.
            input.unread_since.get_or_insert(self.clock.now());
            memory = self.large_messages.reserve(message_length).await;
        }
        let Some(memory) = memory else { return Ok(MessageRead::OutOfMemory) };
        let read = read_large_message(stream, input, message_length, &memory).await;
        if input.bytes.len() >= message_length {
            input.large_message_memory = memory.into_owned();
        }
        read
    }
}

/// Reads until the buffer has `message_length` bytes. Bytes that have arrived are read before a preemption counts.
async fn read_large_message(
    stream: &TcpStream, input: &mut ReadBuffer, message_length: usize, memory: &MessageMemory<'_>,
) -> io::Result<MessageRead> {
    let buffered = input.bytes.len();
    // One allocation that no read has to enlarge.
    input.bytes.reserve(message_length.saturating_sub(buffered));
    while input.bytes.len() < message_length {
        let missing = message_length - input.bytes.len();
        select! {
            biased;
            read = read_up_to(stream, &mut input.bytes, missing) => {
                if read? == 0 {
                    return Ok(MessageRead::Bytes(0));
                }
            }
            () = memory.preempted() => {
                if !has_unread_bytes(stream) && input.bytes.len() < message_length {
                    return Ok(MessageRead::Preempted);
                }
                // Lets the runtime notice the bytes.
                yield_now().await;
            }
        }
    }
    Ok(MessageRead::Bytes(input.bytes.len() - buffered))
}
