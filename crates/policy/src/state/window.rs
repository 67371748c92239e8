//! Moments at which something happened, kept for a while.

use crate::time::Millis;
use std::collections::VecDeque;

/// Moments, oldest first.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow(VecDeque<Millis>);

impl SlidingWindow {
    /// Records a moment, which may lie before the newest, and forgets those more than `retention` before it.
    pub fn record(&mut self, moment: Millis, retention: Millis) {
        while self.0.front().is_some_and(|oldest| *oldest < moment - retention) {
            self.0.pop_front();
        }
        let at = self.0.partition_point(|earlier| *earlier <= moment);
        self.0.insert(at, moment);
    }

    /// How many moments there were after this one.
    #[must_use]
    pub fn count_since(&self, moment: Millis) -> usize {
        self.0.len() - self.0.partition_point(|earlier| *earlier <= moment)
    }
}
