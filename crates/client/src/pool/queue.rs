//! The queue of the calls that have no connection yet.

use crate::rules;

#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    /// The id of the call.
    call: u64,
    /// Calls with a higher weight get a connection first.
    priority_weight: f64,
    /// Orders the calls by the time at which they were queued.
    sequence: u64,
}

/// The calls that wait for a connection. Most connections go to the call with the highest priority; a fixed share goes
/// to the call that is queued longest.
#[derive(Clone, Debug, Default)]
pub(super) struct CallQueue {
    calls: Vec<QueuedCall>,
    /// How often [`CallQueue::pop`] was invoked, including invocations on an empty queue.
    pops: u64,
}

impl CallQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call; `sequence` must be higher than that of all calls added before.
    pub(super) fn push(&mut self, call: u64, priority_weight: f64, sequence: u64) {
        self.calls.push(QueuedCall { call, priority_weight, sequence });
    }

    /// Removes a call; no effect if the call is not queued.
    pub(super) fn remove(&mut self, call: u64) {
        self.calls.retain(|queued| queued.call != call);
    }

    /// Removes and returns the call with the lowest priority; among equal priorities the newest.
    pub(super) fn remove_lowest_priority(&mut self) -> Option<u64> {
        let calls = self.calls.iter().enumerate();
        let lowest = calls.min_by(|(_, left), (_, right)| {
            let by_priority = left.priority_weight.total_cmp(&right.priority_weight);
            by_priority.then(right.sequence.cmp(&left.sequence))
        });
        let (index, _) = lowest?;
        Some(self.calls.remove(index).call)
    }

    /// Removes and returns the call that gets the next connection: the one with the highest priority, the oldest among
    /// equal priorities; at fixed intervals the oldest of all.
    pub(super) fn pop(&mut self) -> Option<u64> {
        self.pops += 1;
        let calls = self.calls.iter().enumerate();
        let first = if rules::goes_to_longest_queued(self.pops) {
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
