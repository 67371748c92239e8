//! The bytes of a connection that were read and not yet consumed, and when they arrived.

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
    /// When something was first seen that could not be read for want of room here.
    pub(super) unread_since: Option<Millis>,
    /// The client writes queries behind others.
    pub(super) is_pipelined: bool,
}

impl ReadBuffer {
    /// Records when the bytes arrived that were read since the last call.
    pub(super) fn record_arrival(&mut self, stream: &TcpStream, now: Millis) {
        // All that waited unread counts as arrived with its first byte: a later one may have less time than is right.
        self.arrivals.record(self.bytes.len(), self.unread_since.unwrap_or(now));
        self.unread_since = self.unread_since.filter(|_| has_unread_bytes(stream));
    }

    /// Records that bytes were consumed; when the last one of them arrived.
    pub(super) fn consume(&mut self) -> Option<Millis> {
        self.arrivals.consume(self.bytes.len())
    }
}

/// Records since when nothing was read, where something waits.
pub(super) fn record_unread(unread_since: &mut Option<Millis>, stream: &TcpStream, since: Millis) {
    if unread_since.is_none() && has_unread_bytes(stream) {
        *unread_since = Some(since);
    }
}
