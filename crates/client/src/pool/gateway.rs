//! What a pool knows of one gateway, and when it may be connected to again.

use crate::time::Millis;

/// The range in ms from which the delay of the first reconnect is drawn; it doubles with each further failure.
const INITIAL_RECONNECT_DELAY: Millis = 4_000.0;
/// The largest range in ms that doubling leads to.
const MAX_RECONNECT_DELAY: Millis = 10_000.0;
/// The largest exponent of the doubling.
const MAX_DELAY_DOUBLINGS: u32 = 8;
/// The range in ms for a thousand reconnecting clients, where a gateway reports their number.
const RECONNECT_DELAY_PER_THOUSAND: Millis = 500.0;
/// Time in ms since the last answer within which a failure counts as the first of a new series.
const RECENT_ANSWER: Millis = 30_000.0;

/// One gateway of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Gateway {
    /// Lower ranks are preferred by this process.
    pub(super) rank: f64,
    /// Failures in a row.
    failures: u32,
    /// It is not connected to before.
    pub(super) retry_at: Millis,
    /// When it answered last; none where it has not since its last failure.
    answered_at: Option<Millis>,
    /// Attempts in a row without any answer.
    pub(super) consecutive_timeouts: u32,
}

impl Gateway {
    /// A gateway that was not connected to yet.
    pub(super) fn with_rank(rank: f64) -> Self {
        Gateway { rank, ..Gateway::default() }
    }

    /// It has failed and not answered since.
    pub(super) fn is_unproven(&self) -> bool {
        self.answered_at.is_none() && self.failures > 0
    }

    /// It answered.
    pub(super) fn on_answer(&mut self, now: Millis) {
        self.answered_at = Some(now);
        self.consecutive_timeouts = 0;
    }

    /// It was lost.
    pub(super) fn on_failure(&mut self, now: Millis) {
        let answered_recently =
            self.answered_at.is_some_and(|at| now - at < RECENT_ANSWER && self.failures > 0);
        self.failures = if answered_recently { 1 } else { self.failures + 1 };
        self.answered_at = None;
        self.consecutive_timeouts = 0;
    }

    /// The longest delay in ms of the next reconnect, given one for the number of reconnecting clients.
    pub(super) fn max_delay(&self, reconnect_spread: Millis) -> Millis {
        let doublings = (self.failures - 1).min(MAX_DELAY_DOUBLINGS);
        let delay = INITIAL_RECONNECT_DELAY * f64::from(1u32 << doublings);
        delay.min(MAX_RECONNECT_DELAY).max(reconnect_spread)
    }
}

/// The longest delay in ms before another gateway is connected to.
pub(super) fn max_move_delay(reconnect_spread: Millis) -> Millis {
    INITIAL_RECONNECT_DELAY.max(reconnect_spread)
}

/// The delay in ms over which so many reconnecting clients spread; 0 where their number is not known.
pub(super) fn reconnect_spread(reconnecting_clients: Option<u64>) -> Millis {
    reconnecting_clients.map_or(0.0, |clients| RECONNECT_DELAY_PER_THOUSAND * clients as f64 / 1000.0)
}
