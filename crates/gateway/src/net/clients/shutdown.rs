//! When the shutdown began, and what its schedule requires now.

use crate::limits::shutdown::ShutdownSchedule;
use latchhaven_policy::{Millis, RequestClass};
use std::cell::Cell;
use tokio::time::Instant;

/// The start of the shutdown on both clocks.
#[derive(Clone, Copy)]
struct ShutdownStart {
    /// On the runtime's clock, for timers.
    instant: Instant,
    /// On the gateway's clock, for comparison with arrival times.
    time: Millis,
}

pub(super) struct Shutdown {
    /// `None` until the shutdown begins.
    start: Cell<Option<ShutdownStart>>,
    schedule: ShutdownSchedule,
}

impl Shutdown {
    /// A shutdown that has not begun. The schedule depends on the longest timeout of a class.
    pub(super) fn new(classes: &[RequestClass]) -> Self {
        let longest_timeout = classes.iter().map(|class| class.timeout).fold(0.0, f64::max);
        Shutdown { start: Cell::new(None), schedule: ShutdownSchedule::new(longest_timeout) }
    }

    /// Begins the shutdown, unless it has begun before.
    pub(super) fn begin(&self, now: Millis) {
        if self.start.get().is_none() {
            self.start.set(Some(ShutdownStart { instant: Instant::now(), time: now }));
        }
    }

    /// When the shutdown began; `None` before.
    pub(super) fn started_at(&self) -> Option<Instant> {
        self.start.get().map(|start| start.instant)
    }

    /// Returns `true` if a request that arrived at `arrived_at` is to be rejected now.
    pub(super) fn rejects_request(&self, arrived_at: Millis) -> bool {
        self.start.get().is_some_and(|start| {
            self.schedule.rejects_request(arrived_at, start.time, start.instant.elapsed())
        })
    }

    /// When a pending request is abandoned if others are queued on its connection; `None` before the shutdown.
    pub(super) fn abandon_at(&self) -> Option<Instant> {
        self.started_at().map(|started_at| started_at + self.schedule.abandon_after())
    }

    /// Returns `true` if connections have to be closed now, even if further input arrives.
    pub(super) fn closes_all(&self) -> bool {
        self.started_at().is_some_and(|started_at| started_at.elapsed() >= self.schedule.close_after())
    }
}
