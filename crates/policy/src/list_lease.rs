//! How long attempts may go by the endpoint list. While a watch stands, the list is confirmed. Without one, what it
//! misses counts as told after some time, arrived or not: then an attempt may only go to an endpoint that has proven
//! since that it is not draining.

use crate::config::DiscoveryConfig;
use crate::endpoint::UpdateFailure;
use crate::time::Millis;

/// ms kept from the end of a lease: a process may be held up between reading its clock and writing.
const LEASE_MARGIN: Millis = 250.0;
/// Share of the grace of drains that a proof lasts beyond the delay of updates: an endpoint may answer for a moment
/// after it is listed as draining.
const PROOF_GRACE_SHARE: f64 = 0.5;

/// Until when the endpoint list may be gone by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListLease {
    /// When the list was last known to be up to date; infinite while a watch stands.
    confirmed_at: Millis,
    /// Until then attempts may be sent to every endpoint that is listed as ready.
    expires_at: Millis,
    /// Queries sent before then prove nothing: an update may have been lost, and an endpoint that it lists as draining may
    /// still answer for a moment.
    no_proof_before: Millis,
}

impl Default for ListLease {
    fn default() -> Self {
        ListLease::confirmed()
    }
}

impl ListLease {
    /// The list is up to date.
    pub(crate) fn confirmed() -> Self {
        ListLease {
            confirmed_at: f64::INFINITY,
            expires_at: f64::INFINITY,
            no_proof_before: f64::NEG_INFINITY,
        }
    }

    /// A list from an earlier process: nobody knows its age, and whatever has changed since may count as told at once.
    pub(crate) fn cached(discovery: &DiscoveryConfig, now: Millis) -> Self {
        ListLease {
            confirmed_at: f64::NEG_INFINITY,
            expires_at: now + discovery.update_delay_after_start + discovery.drain_grace - LEASE_MARGIN,
            no_proof_before: now,
        }
    }

    /// True while a watch stands.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed_at == f64::INFINITY
    }

    /// A call failed or the watch broke. A failure never extends a lease.
    pub(crate) fn fail(&mut self, failure: &UpdateFailure, discovery: &DiscoveryConfig, now: Millis) {
        let is_silent = failure.silent_for > 0.0;
        let confirmed_at = now - failure.silent_for;
        let delay = match is_silent {
            true => discovery.update_delay_after_silence,
            false => discovery.update_delay_after_loss,
        };
        self.confirmed_at = self.confirmed_at.min(confirmed_at);
        self.shorten(confirmed_at + delay, discovery);
        if failure.may_have_lost_update {
            self.no_proof_before = now + PROOF_GRACE_SHARE * discovery.drain_grace;
            self.shorten(now, discovery);
        }
    }

    /// The discovery service has moved: what its new address lists counts as told after some time.
    pub(crate) fn move_discovery(&mut self, discovery: &DiscoveryConfig, now: Millis) {
        self.confirmed_at = self.confirmed_at.min(now);
        self.shorten(now + discovery.update_delay_after_move, discovery);
    }

    /// What is missed counts as told at a time.
    fn shorten(&mut self, notified_at: Millis, discovery: &DiscoveryConfig) {
        self.expires_at = self.expires_at.min(notified_at + discovery.drain_grace - LEASE_MARGIN);
    }

    /// Until when attempts may be sent to every endpoint that is listed as ready.
    pub(crate) fn expires_at(&self) -> Millis {
        self.expires_at
    }

    /// Until when attempts may be sent to an endpoint that has answered a query; none if that proves nothing. It proves
    /// that the endpoint was not draining as the query was sent if the connection was up while the list was up to date,
    /// so that no other process has taken its place, and if no update has been lost since.
    pub(crate) fn proof_expires_at(
        &self, connected_at: Option<Millis>, sent_at: Millis, discovery: &DiscoveryConfig,
    ) -> Option<Millis> {
        let is_same_process = connected_at.is_some_and(|connected_at| connected_at <= self.confirmed_at);
        let grace = PROOF_GRACE_SHARE * discovery.drain_grace;
        let expires_at = sent_at + discovery.update_delay_after_loss + grace;
        (is_same_process && sent_at >= self.no_proof_before).then_some(expires_at)
    }

    /// Until when an earlier proof holds once an update is lost.
    pub(crate) fn proof_limit(discovery: &DiscoveryConfig, now: Millis) -> Millis {
        now + discovery.drain_grace - LEASE_MARGIN
    }
}
