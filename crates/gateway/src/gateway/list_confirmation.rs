//! Logs when a current call confirms the endpoint list, and when requests are rejected because the list expired.

use tokio::time::Instant;

/// A period in which the list is not confirmed.
struct UnconfirmedPeriod {
    since: Instant,
    is_expired_logged: bool,
}

/// Tracks whether the list is confirmed. Contains the period since the last confirmation, which begins with the start
/// of the gateway, and `None` while the list is confirmed.
pub(super) struct ListConfirmation(Option<UnconfirmedPeriod>);

impl Default for ListConfirmation {
    fn default() -> Self {
        ListConfirmation(Some(UnconfirmedPeriod { since: Instant::now(), is_expired_logged: false }))
    }
}

impl ListConfirmation {
    /// Handles that a current watch or fetch delivered a list of this version.
    pub(super) fn on_list_confirmed(&mut self, version: u64) {
        if let Some(unconfirmed) = self.0.take() {
            let unconfirmed_ms = unconfirmed.since.elapsed().as_millis();
            tracing::info!(list.version = version, unconfirmed_ms, "discovery: list confirmed");
        }
    }

    /// Handles that a current call failed, or that the discovery service moved to another address.
    pub(super) fn on_confirmation_lost(&mut self) {
        self.0.get_or_insert_with(|| UnconfirmedPeriod { since: Instant::now(), is_expired_logged: false });
    }

    /// Logs that a request was rejected because the list expired, once in each period without confirmation.
    pub(super) fn log_expired(&mut self) {
        if let Some(unconfirmed) = &mut self.0
            && !std::mem::replace(&mut unconfirmed.is_expired_logged, true)
        {
            let unconfirmed_ms = unconfirmed.since.elapsed().as_millis();
            tracing::warn!(unconfirmed_ms, "discovery: list expired, requests are rejected");
        }
    }
}
