//! Times of recent events, counted over a sliding window.

use crate::time::Millis;
use std::collections::VecDeque;

/// Times of recent events, oldest first.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow(VecDeque<Millis>);

impl SlidingWindow {
    /// Records an event, and removes events that are more than `retention` older. Events may be recorded out of order.
    pub fn record(&mut self, time: Millis, retention: Millis) {
        while self.0.front().is_some_and(|oldest| *oldest < time - retention) {
            self.0.pop_front();
        }
        let index = self.0.partition_point(|earlier| *earlier <= time);
        self.0.insert(index, time);
    }

    /// Removes one event that was recorded at `time`, if there is one.
    pub fn remove(&mut self, time: Millis) {
        if let Ok(index) = self.0.binary_search_by(|recorded| recorded.total_cmp(&time)) {
            self.0.remove(index);
        }
    }

    /// The number of retained events after `start`, not including it.
    #[must_use]
    pub fn count_since(&self, start: Millis) -> usize {
        self.0.len() - self.0.partition_point(|earlier| *earlier <= start)
    }
}
