//! The input of a connection that was read and not yet parsed, and when it arrived.

use super::large_messages::OwnedMemory;
use crate::arrivals::ArrivalTimes;
use crate::net::io::has_unread_bytes;
use bytes::BytesMut;
use latchhaven_policy::Millis;
use tokio::net::TcpStream;

#[derive(Default)]
pub(super) struct ReadBuffer {
    pub(super) bytes: BytesMut,
    arrivals: ArrivalTimes,
    /// Set when the socket has input that was not read, because the buffer was full or a write was slow: when the
    /// input was noticed, or when the write began.
    pub(super) unread_since: Option<Millis>,
    /// Set when input arrived while a request was pending: the client sends queries without waiting for responses.
    pub(super) is_pipelined: bool,
    /// Memory for the large message that the buffer contains completely.
    pub(super) large_message_memory: Option<OwnedMemory>,
}

impl ReadBuffer {
    /// Records that the bytes read since the last call arrived at `now`, or at `unread_since` if that is set.
    pub(super) fn record_arrival(&mut self, stream: &TcpStream, now: Millis) {
        // All new bytes get the earliest possible time, so that the deadline of a request may be too early, but not too
        // late.
        self.arrivals.record(self.bytes.len(), self.unread_since.unwrap_or(now));
        self.unread_since = self.unread_since.filter(|_| has_unread_bytes(stream));
    }

    /// Releases the memory that an empty buffer shares with the message that was removed from it.
    pub(super) fn release_if_empty(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
    }

    /// Records that bytes were removed from the buffer. Returns when the last of them arrived; `None` if no bytes were
    /// removed.
    pub(super) fn consume(&mut self) -> Option<Millis> {
        self.arrivals.consume(self.bytes.len())
    }
}

/// Sets `unread_since` to `since` if the socket has unread input and `unread_since` is not set yet.
pub(super) fn record_unread(unread_since: &mut Option<Millis>, stream: &TcpStream, since: Millis) {
    if unread_since.is_none() && has_unread_bytes(stream) {
        *unread_since = Some(since);
    }
}
