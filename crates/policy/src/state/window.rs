//! A sliding window over the times of events.

use crate::time::Millis;
use std::collections::VecDeque;

/// Times of events in ms, oldest first.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow(VecDeque<Millis>);

impl SlidingWindow {
    /// Records an event, which may precede the newest, and removes those more than `retention` ms before it.
    pub fn record(&mut self, moment: Millis, retention: Millis) {
        while self.0.front().is_some_and(|oldest| *oldest < moment - retention) {
            self.0.pop_front();
        }
        let at = self.0.partition_point(|earlier| *earlier <= moment);
        self.0.insert(at, moment);
    }

    /// The number of retained events after a time in ms.
    #[must_use]
    pub fn count_since(&self, moment: Millis) -> usize {
        self.0.len() - self.0.partition_point(|earlier| *earlier <= moment)
    }
}
