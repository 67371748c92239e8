//! Reads input within the limits of a connection.

use super::Clients;
use super::client_session::ClientSession;
use super::session::{ReadOutcome, SessionTask};
use crate::limits::clients::{InputProgress, MAX_READ_AHEAD_BYTES};
use crate::limits::shutdown::{CloseTime, WaitingConnection};
use crate::net::io::has_unread_bytes;
use crate::net::read_some;
use crate::proto::pg;
use bytes::BytesMut;
use std::io;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{Instant, sleep_until};

impl SessionTask<'_> {
    /// Waits for more input until the deadline of the connection.
    pub(super) async fn read_more(&mut self) -> io::Result<ReadOutcome> {
        let progress = self.input_progress();
        let deadline = progress.deadline();
        // Checked first: the socket of a client that sends continuously is always readable.
        if Instant::now() >= deadline {
            return Ok(outcome_at_deadline(progress));
        }
        // A client that pipelines continuously would otherwise not be closed before SIGKILL.
        if self.clients.shutdown.closes_all() {
            return Ok(ReadOutcome::Closing);
        }
        let buffered = self.input.bytes.len();
        let close_conditions = CloseConditions {
            clients: self.clients,
            session: self.session,
            has_partial_message: self.message_began.is_some(),
            is_pipelined: self.input.is_pipelined,
            waiting_since: Instant::now(),
        };
        let clients = self.clients;
        let stream = self.stream;
        let input = &mut self.input.bytes;
        let read = select! {
            biased;
            read = clients.read_message(stream, input) => Some(read?),
            () = close_conditions.wait() => None,
            () = sleep_until(deadline) => return Ok(outcome_at_deadline(progress)),
        };
        match read {
            Some(0) => Ok(ReadOutcome::Ended),
            Some(_) => Ok(ReadOutcome::Read),
            None => self.read_before_closing(buffered).await,
        }
    }

    /// Reads the input that arrived before the connection is closed. `buffered`: the bytes before the wait.
    async fn read_before_closing(&mut self, buffered: usize) -> io::Result<ReadOutcome> {
        // A read of full length yields before it returns: where it was dropped then, its bytes are in the buffer already.
        let has_read = self.input.bytes.len() > buffered
            || has_unread_bytes(self.stream) && read_some(self.stream, &mut self.input.bytes).await? > 0;
        Ok(if has_read { ReadOutcome::Read } else { ReadOutcome::Closing })
    }

    fn input_progress(&self) -> InputProgress {
        InputProgress {
            idle_since: self.session.since.get(),
            has_requested: self.session.has_requested.get(),
            message_began: self.message_began,
        }
    }
}

fn outcome_at_deadline(progress: InputProgress) -> ReadOutcome {
    if progress.is_idle() { ReadOutcome::Ended } else { ReadOutcome::TimedOut }
}

/// The inputs of a connection's close time while it waits for input.
struct CloseConditions<'a> {
    clients: &'a Clients,
    session: &'a ClientSession,
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
            idle_since: self.session.since.get(),
            waiting_since: self.waiting_since,
        };
        connection.close_time(self.clients.shutdown.began_at())
    }

    /// Waits until the connection is to be closed.
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

impl Clients {
    /// Reads available bytes. A message above the read-ahead limit is read to its end, with one of few permits.
    async fn read_message(&self, stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
        if buffer.len() < MAX_READ_AHEAD_BYTES {
            return read_some(stream, buffer).await;
        }
        let _permit = self.large_messages.acquire().await;
        let buffered = buffer.len();
        let message_length = pg::message_length(buffer);
        while buffer.len() < message_length {
            if read_some(stream, buffer).await? == 0 {
                return Ok(0);
            }
        }
        Ok(buffer.len() - buffered)
    }
}
