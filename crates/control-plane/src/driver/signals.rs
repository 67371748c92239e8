//! Signals: SIGTERM and SIGINT stop the service, SIGUSR1 logs its counters.

use latchhaven_xds::server::SentCounters;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::select;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handlers of the signals.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    log_counters: Signal,
}

impl Signals {
    /// Installs the handlers, which replace the default actions of the signals.
    pub(super) fn install() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            log_counters: signal(SignalKind::user_defined1())?,
        })
    }

    /// Waits for SIGTERM or SIGINT. Until then each SIGUSR1 logs the counters.
    pub(super) async fn wait_until_stopped(&mut self, counters: &SentCounters) {
        loop {
            select! {
                _ = self.terminate.recv() => break,
                _ = self.interrupt.recv() => break,
                received = self.log_counters.recv() => match received {
                    Some(()) => log_counters(counters),
                    None => return,
                },
            }
        }
        tracing::info!("control service stopped");
    }
}

/// Logs the counters of sent responses, whose field names experiments read. `apart` and `apart_bytes` are the
/// counters of incremental streams.
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
