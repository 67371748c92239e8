//! Arrival times of the bytes of a connection. The timeout of a request starts when its last byte arrives, also if the
//! request is queued after others on the connection.

use crate::limits::messages::MAX_ARRIVAL_CHUNKS;
use latchhaven_policy::Millis;
use std::collections::VecDeque;

/// Bytes with the same arrival time.
#[derive(Clone, Debug)]
struct Chunk {
    bytes: usize,
    arrived_at: Millis,
}

/// Arrival times of bytes that were read and not yet consumed. When there are [`MAX_ARRIVAL_CHUNKS`] chunks, new bytes
/// are added to the newest chunk and get its arrival time.
#[derive(Clone, Debug, Default)]
pub struct ArrivalTimes {
    chunks: VecDeque<Chunk>,
    buffered: usize,
}

impl ArrivalTimes {
    /// Records that the buffer now contains `buffered` bytes, of which the new ones arrived at `at`.
    pub fn record(&mut self, buffered: usize, at: Millis) {
        let new_bytes = buffered.saturating_sub(self.buffered);
        if new_bytes == 0 {
            return;
        }
        self.buffered += new_bytes;
        let is_full = self.chunks.len() >= MAX_ARRIVAL_CHUNKS;
        match self.chunks.back_mut() {
            Some(newest) if newest.arrived_at == at || is_full => newest.bytes += new_bytes,
            _ => self.chunks.push_back(Chunk { bytes: new_bytes, arrived_at: at }),
        }
    }

    /// The number of bytes that were recorded and not yet consumed.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffered
    }

    /// Records that the buffer now contains `buffered` bytes because others were consumed. Returns when the last
    /// consumed byte arrived. `None` if no recorded byte was consumed.
    pub fn consume(&mut self, buffered: usize) -> Option<Millis> {
        let mut consumed = self.buffered.saturating_sub(buffered);
        let mut last_arrival = None;
        self.buffered -= consumed;
        while consumed > 0 {
            let Some(oldest) = self.chunks.front_mut() else { break };
            let part = consumed.min(oldest.bytes);
            oldest.bytes -= part;
            consumed -= part;
            last_arrival = Some(oldest.arrived_at);
            if oldest.bytes == 0 {
                self.chunks.pop_front();
            }
        }
        last_arrival
    }
}
