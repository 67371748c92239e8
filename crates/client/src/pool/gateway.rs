//! The state of one gateway in a pool.

use crate::rules;
use crate::time::Millis;

/// One gateway of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Gateway {
    /// Lower ranks are preferred by this process.
    pub(super) rank: f64,
    /// Failures in a row.
    pub(super) failures: u32,
    /// It is not connected to before.
    pub(super) retry_at: Millis,
    /// When it answered last; none if it has not since its last failure.
    answered_at: Option<Millis>,
    /// Timeouts in a row.
    pub(super) consecutive_timeouts: u32,
}

impl Gateway {
    /// A gateway that has not been connected to.
    pub(super) fn with_rank(rank: f64) -> Self {
        Gateway { rank, ..Gateway::default() }
    }

    /// It has failed and not answered since.
    pub(super) fn is_unproven(&self) -> bool {
        self.answered_at.is_none() && self.failures > 0
    }

    /// A call got its answer from it.
    pub(super) fn on_answer(&mut self, now: Millis) {
        self.answered_at = Some(now);
        self.consecutive_timeouts = 0;
    }

    /// It was lost.
    pub(super) fn on_failure(&mut self, now: Millis) {
        self.failures = rules::failures_in_a_row(self.failures, self.answered_at.map(|at| now - at));
        self.answered_at = None;
        self.consecutive_timeouts = 0;
    }
}
