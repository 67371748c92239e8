//! The state of the shutdown: when it began, on the runtime's clock and on the gateway's.

use crate::limits::shutdown::ShutdownSchedule;
use latchhaven_policy::{Millis, RequestClass};
use std::cell::Cell;
use tokio::time::Instant;

/// The start of the shutdown on both clocks.
#[derive(Clone, Copy)]
struct Beginning {
    instant: Instant,
    at: Millis,
}

/// Whether the gateway is shutting down, and what its schedule demands now.
pub(super) struct Shutdown {
    beginning: Cell<Option<Beginning>>,
    schedule: ShutdownSchedule,
}

impl Shutdown {
    /// Not begun. The schedule depends on the longest timeout of a class.
    pub(super) fn new(classes: &[RequestClass]) -> Self {
        let longest_timeout = classes.iter().map(|class| class.timeout).fold(0.0, f64::max);
        Shutdown { beginning: Cell::new(None), schedule: ShutdownSchedule::new(longest_timeout) }
    }

    /// Begins the shutdown at `now` in ms; later calls change nothing.
    pub(super) fn begin(&self, now: Millis) {
        if self.beginning.get().is_none() {
            self.beginning.set(Some(Beginning { instant: Instant::now(), at: now }));
        }
    }

    /// When it began.
    pub(super) fn began_at(&self) -> Option<Instant> {
        self.beginning.get().map(|beginning| beginning.instant)
    }

    /// A request that arrived at `arrived_at` in ms is rejected.
    pub(super) fn rejects_request(&self, arrived_at: Millis) -> bool {
        self.beginning.get().is_some_and(|beginning| {
            self.schedule.rejects_request(arrived_at, beginning.at, beginning.instant.elapsed())
        })
    }

    /// When pending requests are abandoned if others are queued behind them.
    pub(super) fn abandon_at(&self) -> Option<Instant> {
        self.began_at().map(|began_at| began_at + self.schedule.abandon_after())
    }

    /// Connections are closed whatever input arrives.
    pub(super) fn closes_all(&self) -> bool {
        self.began_at().is_some_and(|began_at| began_at.elapsed() >= self.schedule.close_after())
    }
}
