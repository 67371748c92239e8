//! Logs when the endpoint list stops and begins to be confirmed by the discovery service.

use tokio::time::Instant;

/// A time without a confirmed list.
struct Unconfirmed {
    since: Instant,
    is_expired_logged: bool,
}

/// Whether the list is confirmed; a new process has none that is.
pub(super) struct ListConfirmation(Option<Unconfirmed>);

impl Default for ListConfirmation {
    fn default() -> Self {
        ListConfirmation(Some(Unconfirmed { since: Instant::now(), is_expired_logged: false }))
    }
}

impl ListConfirmation {
    /// A watch has delivered a list.
    pub(super) fn confirm(&mut self, version: u64) {
        if let Some(unconfirmed) = self.0.take() {
            let unconfirmed_ms = unconfirmed.since.elapsed().as_millis();
            tracing::info!(list.version = version, unconfirmed_ms, "discovery: list confirmed");
        }
    }

    /// The watch is lost.
    pub(super) fn lose(&mut self) {
        self.0.get_or_insert_with(|| Unconfirmed { since: Instant::now(), is_expired_logged: false });
    }

    /// A request was rejected because the list was not confirmed for too long.
    pub(super) fn log_expired(&mut self) {
        if let Some(unconfirmed) = &mut self.0
            && !std::mem::replace(&mut unconfirmed.is_expired_logged, true)
        {
            let unconfirmed_ms = unconfirmed.since.elapsed().as_millis();
            tracing::warn!(unconfirmed_ms, "discovery: list expired, requests are rejected");
        }
    }
}
