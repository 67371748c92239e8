//! When the bytes of a connection arrived: a request's time runs from its last byte, also while it waits behind
//! others.

use latchhaven_policy::Millis;
use std::collections::VecDeque;

/// Chunks that are told apart at most; further ones count as arrived with the newest of these.
const MAX_CHUNKS: usize = 64;

/// Bytes that arrived together.
#[derive(Clone, Debug)]
struct Chunk {
    bytes: usize,
    arrived_at: Millis,
}

/// The bytes that were read and not yet consumed, in chunks that arrived together.
#[derive(Clone, Debug, Default)]
pub struct ArrivalTimes {
    chunks: VecDeque<Chunk>,
    buffered: usize,
}

impl ArrivalTimes {
    /// So many bytes are buffered in all by now; what is new arrived at this time.
    pub fn record(&mut self, buffered: usize, at: Millis) {
        let new_bytes = buffered.saturating_sub(self.buffered);
        if new_bytes == 0 {
            return;
        }
        self.buffered += new_bytes;
        let is_full = self.chunks.len() >= MAX_CHUNKS;
        match self.chunks.back_mut() {
            Some(newest) if newest.arrived_at == at || is_full => newest.bytes += new_bytes,
            _ => self.chunks.push_back(Chunk { bytes: new_bytes, arrived_at: at }),
        }
    }

    /// How many bytes are known of.
    pub fn buffered(&self) -> usize {
        self.buffered
    }

    /// So many bytes are still buffered; when the last one of those that were consumed arrived.
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
