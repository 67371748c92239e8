//! The calls that are queued for a connection.

use crate::rules;

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    call: u64,
    /// Higher ones go first.
    priority_weight: f64,
    /// Grows with each call that is queued.
    sequence: u64,
}

/// Calls by priority, with a share of the connections for those that are queued longest.
#[derive(Clone, Debug, Default)]
pub(super) struct CallQueue {
    calls: Vec<QueuedCall>,
    /// How often [`CallQueue::pop`] was called.
    pops: u64,
}

impl CallQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call; its sequence number must be higher than those before.
    pub(super) fn push(&mut self, call: u64, priority_weight: f64, sequence: u64) {
        self.calls.push(QueuedCall { call, priority_weight, sequence });
    }

    /// Removes a call, if it is queued.
    pub(super) fn remove(&mut self, call: u64) {
        self.calls.retain(|queued| queued.call != call);
    }

    /// Removes the call with the lowest priority, and among equal ones the newest.
    pub(super) fn remove_lowest_priority(&mut self) -> Option<u64> {
        let calls = self.calls.iter().enumerate();
        let lowest = calls.min_by(|(_, left), (_, right)| {
            let by_priority = left.priority_weight.total_cmp(&right.priority_weight);
            by_priority.then(right.sequence.cmp(&left.sequence))
        });
        let (index, _) = lowest?;
        Some(self.calls.remove(index).call)
    }

    /// Removes and returns the call that is assigned the next connection.
    pub(super) fn pop(&mut self) -> Option<u64> {
        self.pops += 1;
        let calls = self.calls.iter().enumerate();
        let first = if rules::is_turn_of_longest_queued(self.pops) {
            calls.min_by_key(|(_, queued)| queued.sequence)
        } else {
            calls.min_by(|(_, left), (_, right)| {
                let by_priority = right.priority_weight.total_cmp(&left.priority_weight);
                by_priority.then(left.sequence.cmp(&right.sequence))
            })
        };
        let (index, _) = first?;
        Some(self.calls.remove(index).call)
    }
}
