//! When the bytes of a connection came: a txn's time runs from its last byte, also while it waits behind
//! others.

use latchhaven_policy::Millis;
use std::collections::VecDeque;

/// Parts that are told apart at most; further ones count as come with the newest of these.
const PARTS: usize = 64;

/// The bytes that were read and not yet taken, in parts that came together.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    parts: VecDeque<(usize, Millis)>,
    held: usize,
}

impl Arrivals {
    /// So many bytes are held in all by now; what is new came at this time.
    pub fn hold(&mut self, held: usize, at: Millis) {
        let new = held.saturating_sub(self.held);
        self.held += new;
        let many = self.parts.len() >= PARTS;
        match self.parts.back_mut() {
            _ if new == 0 => {}
            Some((bytes, came)) if *came == at || many => *bytes += new,
            _ => self.parts.push_back((new, at)),
        }
    }

    /// How many bytes are known of.
    pub fn held(&self) -> usize {
        self.held
    }

    /// So many bytes are still held; when the last one of those that were taken came.
    pub fn take(&mut self, held: usize) -> Option<Millis> {
        let (mut taken, mut last) = (self.held.saturating_sub(held), None);
        self.held -= taken;
        while taken > 0 {
            let Some((bytes, at)) = self.parts.front_mut() else { break };
            let part = taken.min(*bytes);
            (*bytes, taken, last) = (*bytes - part, taken - part, Some(*at));
            if *bytes == 0 {
                self.parts.pop_front();
            }
        }
        last
    }
}
