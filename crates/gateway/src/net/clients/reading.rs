//! Waits for input within limits of time and room.

use super::Clients;
use super::limits::{
    FIRST_REQUEST_TIMEOUT, IDLE_TIMEOUT, MAX_READ_AHEAD, MESSAGE_TIMEOUT, SHUTDOWN_FIRST_REQUEST_TIMEOUT,
    SHUTDOWN_QUIET_PERIOD,
};
use super::session::{ClientSession, SessionState, SessionTask};
use crate::net::io::has_unread_bytes;
use crate::net::read_some;
use crate::proto::pg;
use bytes::BytesMut;
use std::io;
use tokio::net::TcpStream;
use tokio::select;
use tokio::time::{Instant, sleep_until};

/// What came of reading on.
pub(super) enum ReadOutcome {
    /// There is more input.
    Read,
    /// The client has gone, or has idled for long.
    Left,
    /// This gateway wants the connection to end.
    Closing,
    /// The time was up.
    Late,
}

/// When a connection is to leave during a wait for input.
enum LeaveAt {
    Now,
    At(Instant),
    /// Only if the session is woken and something has changed.
    Later,
}

impl SessionTask<'_> {
    /// Reads on, within the time that is left.
    pub(super) async fn read_more(&mut self) -> io::Result<ReadOutcome> {
        let deadline = self.read_deadline();
        // Checked first: one that never stops sending is always ready to be read.
        if Instant::now() >= deadline {
            return Ok(self.outcome_at_deadline());
        }
        // One that never leaves a moment without another request is closed over it: the process is killed just then.
        if self.clients.shutdown.is_over() {
            return Ok(ReadOutcome::Closing);
        }
        let buffered = self.input.bytes.len();
        let leave_conditions = LeaveConditions {
            clients: self.clients,
            session: self.session,
            is_message_begun: self.message_began.is_some(),
            is_pipelined: self.input.is_pipelined,
            entered: Instant::now(),
        };
        let clients = self.clients;
        let stream = self.stream;
        let input = &mut self.input.bytes;
        let read = select! {
            biased;
            read = clients.read_message(stream, input) => Some(read?),
            () = leave_conditions.wait() => None,
            () = sleep_until(deadline) => return Ok(self.outcome_at_deadline()),
        };
        match read {
            Some(0) => Ok(ReadOutcome::Left),
            Some(_) => Ok(ReadOutcome::Read),
            None => self.read_before_leaving(buffered).await,
        }
    }

    /// What has come by the time that the connection is to be closed is still taken.
    async fn read_before_leaving(&mut self, buffered: usize) -> io::Result<ReadOutcome> {
        // A full read gives up its turn, and then the wish to leave comes first.
        let has_read = self.input.bytes.len() > buffered
            || has_unread_bytes(self.stream) && read_some(self.stream, &mut self.input.bytes).await? > 0;
        Ok(if has_read { ReadOutcome::Read } else { ReadOutcome::Closing })
    }

    fn read_deadline(&self) -> Instant {
        let since = self.session.since.get();
        if !self.session.has_requested.get() {
            return since + FIRST_REQUEST_TIMEOUT;
        }
        match self.message_began {
            Some(message_began) => message_began + MESSAGE_TIMEOUT,
            None => since + IDLE_TIMEOUT,
        }
    }

    fn outcome_at_deadline(&self) -> ReadOutcome {
        let is_idle = self.session.has_requested.get() && self.message_began.is_none();
        if is_idle { ReadOutcome::Left } else { ReadOutcome::Late }
    }
}

/// What decides when a connection leaves during a wait for input.
struct LeaveConditions<'a> {
    clients: &'a Clients,
    session: &'a ClientSession,
    /// A message has begun to come.
    is_message_begun: bool,
    is_pipelined: bool,
    /// When the wait began.
    entered: Instant,
}

impl LeaveConditions<'_> {
    fn leave_at(&self) -> LeaveAt {
        if self.session.state.get() == SessionState::Leaving {
            return LeaveAt::Now;
        }
        let Some(shutdown_began) = self.clients.shutdown.began_at() else { return LeaveAt::Later };
        // During shutdown the rest of a message is still waited for.
        if self.is_message_begun {
            return LeaveAt::Later;
        }
        if !self.session.has_requested.get() {
            // One that has just come is about to send a request.
            let since = shutdown_began.max(self.session.since.get());
            return LeaveAt::At(since + SHUTDOWN_FIRST_REQUEST_TIMEOUT);
        }
        // Behind the last answer another query may be under way: only a pause tells that there is none.
        if self.is_pipelined { LeaveAt::At(self.entered + SHUTDOWN_QUIET_PERIOD) } else { LeaveAt::Now }
    }

    /// Waits until the connection is to leave.
    async fn wait(&self) {
        loop {
            let leave_at = match self.leave_at() {
                LeaveAt::Now => return,
                LeaveAt::At(instant) => Some(instant),
                LeaveAt::Later => None,
            };
            select! {
                () = self.session.wake.notified() => {}
                () = sleep_until(leave_at.unwrap_or(self.entered)), if leave_at.is_some() => return,
            }
        }
    }
}

impl Clients {
    /// Reads what there is of a message, or all of it where it is long: that on few connections at once.
    async fn read_message(&self, stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
        if buffer.len() < MAX_READ_AHEAD {
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
