//! Signals: SIGTERM and SIGINT stop the service, SIGUSR1 logs its counters.

use latchhaven_xds::server::SentCounters;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handled signals.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    print_counters: Signal,
}

impl Signals {
    /// Handles the signals from now on.
    pub(super) fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            print_counters: signal(SignalKind::user_defined1())?,
        })
    }

    /// Returns when the service must stop; logs the counters on each SIGUSR1 before.
    pub(super) async fn stopped(&mut self, counters: &SentCounters) {
        loop {
            select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                received = self.print_counters.recv() => match received {
                    Some(()) => log_counters(counters),
                    None => return,
                },
            }
        }
        tracing::info!("control service stopped");
    }
}

/// Logs the counters of sent responses; `apart` are those on incremental streams. Experiments read the names.
fn log_counters(counters: &SentCounters) {
    let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    tracing::info!(
        messages = value(&counters.sotw_responses),
        bytes = value(&counters.sotw_bytes),
        apart = value(&counters.incremental_responses),
        apart_bytes = value(&counters.incremental_bytes),
        "counters"
    );
}
