//! Events in simulated time, ordered by time; events of the same time are in the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct ScheduledEvent<E> {
    at: f64,
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
    /// The earliest event is the greatest: the heap returns it first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Scheduled events; times are in ms.
pub(crate) struct EventQueue<E> {
    last_sequence: u64,
    scheduled: BinaryHeap<ScheduledEvent<E>>,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        EventQueue { last_sequence: 0, scheduled: BinaryHeap::new() }
    }

    /// Schedules an event.
    pub(crate) fn push(&mut self, at: f64, event: E) {
        self.last_sequence += 1;
        self.scheduled.push(ScheduledEvent { at, sequence: self.last_sequence, event });
    }

    /// The next event before a time, with its own time.
    pub(crate) fn pop(&mut self, before: f64) -> Option<(f64, E)> {
        self.scheduled.pop().filter(|next| next.at < before).map(|next| (next.at, next.event))
    }
}
