//! Shutdown, as connections see it: until when requests are taken, and when pending ones are abandoned.

use super::limits::{MAX_COUNTED_TIMEOUT, SHUTDOWN_ANSWER_TIME, SHUTDOWN_MARGIN, SHUTDOWN_REQUEST_WINDOW};
use crate::clock::duration;
use latchhaven_policy::{Millis, RequestClass};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The beginning of the shutdown, on both clocks.
#[derive(Clone, Copy)]
struct Beginning {
    instant: Instant,
    at: Millis,
}

/// Whether the process ends, and how much time is left.
pub(super) struct Shutdown {
    beginning: Cell<Option<Beginning>>,
    /// From the beginning until pending requests are abandoned; the process may be killed a moment later.
    drain_time: Duration,
}

impl Shutdown {
    /// The time that is left depends on the longest timeout of a class.
    pub(super) fn new(classes: &[RequestClass]) -> Self {
        let longest = classes.iter().map(|class| class.timeout).fold(0.0, f64::max);
        let drain_ms = longest.min(MAX_COUNTED_TIMEOUT) + SHUTDOWN_MARGIN;
        Shutdown { beginning: Cell::new(None), drain_time: duration(drain_ms) }
    }

    /// The process ends; later calls change nothing.
    pub(super) fn begin(&self, now: Millis) {
        if self.beginning.get().is_none() {
            self.beginning.set(Some(Beginning { instant: Instant::now(), at: now }));
        }
    }

    /// When it began, if it has.
    pub(super) fn began_at(&self) -> Option<Instant> {
        self.beginning.get().map(|beginning| beginning.instant)
    }

    /// A request that arrived at this time might not be answered before the process is killed.
    pub(super) fn is_too_late_for(&self, arrived_at: Millis) -> bool {
        self.beginning.get().is_some_and(|beginning| {
            arrived_at >= beginning.at + SHUTDOWN_REQUEST_WINDOW
                || beginning.instant.elapsed() >= self.drain_time
        })
    }

    /// When pending requests are abandoned if others wait behind them.
    pub(super) fn abandon_at(&self) -> Option<Instant> {
        self.began_at().map(|began_at| began_at + self.drain_time)
    }

    /// The process is about to be killed: connections close over whatever comes.
    pub(super) fn is_over(&self) -> bool {
        self.began_at().is_some_and(|began_at| began_at.elapsed() >= self.drain_time + SHUTDOWN_ANSWER_TIME)
    }
}
