//! Events in simulated time, ordered by time; events of the same time in the order of their scheduling.

use latchhaven_policy::Millis;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct ScheduledEvent<E> {
    at: Millis,
    /// Position in the order of scheduling, which decides between events of the same time.
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    /// Reverses the order of time: `BinaryHeap` returns the greatest element, which has to be the earliest event.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Events that were scheduled and not processed.
pub(crate) struct EventQueue<E> {
    last_sequence: u64,
    scheduled: BinaryHeap<ScheduledEvent<E>>,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        EventQueue { last_sequence: 0, scheduled: BinaryHeap::new() }
    }

    pub(crate) fn push(&mut self, at: Millis, event: E) {
        self.last_sequence += 1;
        self.scheduled.push(ScheduledEvent { at, sequence: self.last_sequence, event });
    }

    /// Removes the earliest event and returns its time with it. `None` if the queue is empty, or if the earliest event
    /// is not before `before`: that event is lost, so a run ends with this call.
    pub(crate) fn pop(&mut self, before: Millis) -> Option<(Millis, E)> {
        self.scheduled.pop().filter(|next| next.at < before).map(|next| (next.at, next.event))
    }
}
