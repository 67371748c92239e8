//! Logs when the endpoint list is confirmed by a current call, and when requests are rejected because it expired.

use tokio::time::Instant;

/// A period without a confirmed list.
struct Unconfirmed {
    since: Instant,
    is_expired_logged: bool,
}

/// Whether a current call confirms the list. At the start none does.
pub(super) struct ListConfirmation(Option<Unconfirmed>);

impl Default for ListConfirmation {
    fn default() -> Self {
        ListConfirmation(Some(Unconfirmed { since: Instant::now(), is_expired_logged: false }))
    }
}

impl ListConfirmation {
    /// A current call, a watch or a fetch, delivered a list of this version.
    pub(super) fn on_list_confirmed(&mut self, version: u64) {
        if let Some(unconfirmed) = self.0.take() {
            let unconfirmed_ms = unconfirmed.since.elapsed().as_millis();
            tracing::info!(list.version = version, unconfirmed_ms, "discovery: list confirmed");
        }
    }

    /// A current call failed, or discovery moved to another address.
    pub(super) fn on_confirmation_lost(&mut self) {
        self.0.get_or_insert_with(|| Unconfirmed { since: Instant::now(), is_expired_logged: false });
    }

    /// A request was rejected because the list was unconfirmed for too long. Logged once per period.
    pub(super) fn log_expired(&mut self) {
        if let Some(unconfirmed) = &mut self.0
            && !std::mem::replace(&mut unconfirmed.is_expired_logged, true)
        {
            let unconfirmed_ms = unconfirmed.since.elapsed().as_millis();
            tracing::warn!(unconfirmed_ms, "discovery: list expired, requests are rejected");
        }
    }
}
