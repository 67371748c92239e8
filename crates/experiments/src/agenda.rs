//! What comes next in simulated time: in order of time, and of what was noted first where times are alike.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Due<W> {
    at: f64,
    order: u64,
    what: W,
}

impl<W> PartialEq for Due<W> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<W> Eq for Due<W> {}

impl<W> PartialOrd for Due<W> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<W> Ord for Due<W> {
    /// The earliest is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

/// What is to come, by its moment in ms.
pub struct Agenda<W> {
    order: u64,
    due: BinaryHeap<Due<W>>,
}

impl<W> Agenda<W> {
    pub fn new() -> Self {
        Agenda { order: 0, due: BinaryHeap::new() }
    }

    pub fn push(&mut self, at: f64, what: W) {
        self.order += 1;
        self.due.push(Due { at, order: self.order, what });
    }

    /// The next one before a moment.
    pub fn pop(&mut self, until: f64) -> Option<(f64, W)> {
        self.due.pop().filter(|due| due.at < until).map(|due| (due.at, due.what))
    }
}
