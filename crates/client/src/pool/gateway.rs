//! Failures and responses of one gateway, as seen by a pool.

use crate::rules;
use crate::time::Millis;

#[derive(Clone, Debug, Default)]
pub(super) struct Gateway {
    /// Drawn at random; connections go to the available gateway with the lowest rank.
    pub(super) rank: f64,
    pub(super) consecutive_failures: u32,
    /// No connection is opened before this monotonic time; 0 until the first failure.
    pub(super) retry_at: Millis,
    /// The monotonic time of the last response; `None` if the gateway has not responded since its last failure.
    responded_at: Option<Millis>,
    /// The number of attempts that timed out since the last response or failure.
    pub(super) consecutive_timeouts: u32,
}

impl Gateway {
    /// Creates the state of a gateway without failures and responses.
    pub(super) fn with_rank(rank: f64) -> Self {
        Gateway { rank, ..Gateway::default() }
    }

    /// Returns `true` if the last failure was not followed by a response.
    pub(super) fn has_failed_since_response(&self) -> bool {
        self.responded_at.is_none() && self.consecutive_failures > 0
    }

    /// Called when a call received a response of the gateway.
    pub(super) fn on_response(&mut self, now: Millis) {
        self.responded_at = Some(now);
        self.consecutive_timeouts = 0;
    }

    /// Called when the gateway counts as lost.
    pub(super) fn on_failure(&mut self, now: Millis) {
        let since_response = self.responded_at.map(|responded_at| now - responded_at);
        self.consecutive_failures = rules::consecutive_failures(self.consecutive_failures, since_response);
        self.responded_at = None;
        self.consecutive_timeouts = 0;
    }
}
