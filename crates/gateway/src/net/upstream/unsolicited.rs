//! Bytes of endpoints that belong to no query, and how long connections settle because of them.

use super::connection::UpstreamConnection;
use crate::counters::COUNTERS;
use crate::limits::upstream::settle_time;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// When an endpoint last sent unsolicited bytes, shared by all connections.
#[derive(Default)]
pub(super) struct UnsolicitedBytes {
    last_at: Cell<Option<Instant>>,
}

impl UnsolicitedBytes {
    pub(super) fn record(&self) {
        COUNTERS.unsolicited_responses_total.increment();
        self.last_at.set(Some(Instant::now()));
    }

    /// The time after a response for which its connection carries no further call.
    pub(super) fn settle_time(&self, connection: &UpstreamConnection) -> Duration {
        settle_time(connection.round_trip.get(), self.last_at.get().map(|last_at| last_at.elapsed()))
    }
}
