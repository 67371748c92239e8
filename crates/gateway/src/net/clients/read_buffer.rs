//! The input of a connection that was read and not yet consumed, and when it arrived.

use crate::arrivals::ArrivalTimes;
use crate::net::io::has_unread_bytes;
use bytes::BytesMut;
use latchhaven_policy::Millis;
use tokio::net::TcpStream;

/// A connection's input.
#[derive(Default)]
pub(super) struct ReadBuffer {
    pub(super) bytes: BytesMut,
    arrivals: ArrivalTimes,
    /// When input was first noticed, or may have arrived, that was not read: the buffer was full, or a write was slow.
    pub(super) unread_since: Option<Millis>,
    /// The client sends queries before earlier ones are answered.
    pub(super) is_pipelined: bool,
}

impl ReadBuffer {
    /// Records that the bytes read since the last call arrived at `now` in ms, or when they were noticed before that.
    pub(super) fn record_arrival(&mut self, stream: &TcpStream, now: Millis) {
        // Unread input is dated to the time when it was noticed: the deadline of a later request may be too early, never
        // too late.
        self.arrivals.record(self.bytes.len(), self.unread_since.unwrap_or(now));
        self.unread_since = self.unread_since.filter(|_| has_unread_bytes(stream));
    }

    /// Records that bytes were consumed. Returns when the last of them arrived, in ms.
    pub(super) fn consume(&mut self) -> Option<Millis> {
        self.arrivals.consume(self.bytes.len())
    }
}

/// Sets `unread_since` to `since` in ms if the socket has unread input.
pub(super) fn record_unread(unread_since: &mut Option<Millis>, stream: &TcpStream, since: Millis) {
    if unread_since.is_none() && has_unread_bytes(stream) {
        *unread_since = Some(since);
    }
}
