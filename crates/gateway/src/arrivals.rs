//! When the bytes of a connection arrived. The timeout of a request starts with its last byte, even while it is queued
//! behind others.

use crate::limits::messages::MAX_ARRIVAL_CHUNKS;
use latchhaven_policy::Millis;
use std::collections::VecDeque;

/// Bytes that arrived together.
#[derive(Clone, Debug)]
struct Chunk {
    bytes: usize,
    /// In ms.
    arrived_at: Millis,
}

/// The arrival times of bytes that were read and not yet consumed. Above [`MAX_ARRIVAL_CHUNKS`] chunks, new bytes count
/// with the newest one.
#[derive(Clone, Debug, Default)]
pub struct ArrivalTimes {
    chunks: VecDeque<Chunk>,
    buffered: usize,
}

impl ArrivalTimes {
    /// `buffered` bytes are buffered now; those that are new arrived at `at` in ms.
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

    /// The number of recorded bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffered
    }

    /// `buffered` bytes are left. Returns when the last consumed byte arrived, in ms.
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
