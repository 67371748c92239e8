//! How long attempts may go by the endpoint list. While a watch stands, the list is confirmed. Without one, what it
//! misses counts as told after some time, arrived or not: then an attempt may only go to an endpoint that has proven
//! since that it is not draining.

use crate::Millis;
use crate::config::DiscoveryConfig;
use crate::endpoint::UpdateFailure;

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
    /// An update that was lost counts as told since then.
    lost_update_at: Millis,
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
            lost_update_at: f64::NEG_INFINITY,
        }
    }

    /// A list from an earlier process: nobody knows its age, and whatever has changed since may count as told at once.
    pub(crate) fn cached(discovery: &DiscoveryConfig, now: Millis) -> Self {
        ListLease {
            confirmed_at: f64::NEG_INFINITY,
            expires_at: now + discovery.drain_grace - LEASE_MARGIN,
            lost_update_at: now,
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
            self.lost_update_at = now;
            self.shorten(now, discovery);
        }
    }

    /// The discovery service has moved: what its new address lists counts as told after some time.
    pub(crate) fn move_discovery(&mut self, discovery: &DiscoveryConfig, now: Millis) {
        self.confirmed_at = self.confirmed_at.min(now);
        self.shorten(now + discovery.update_delay_after_move, discovery);
    }

    /// What is missed counts as told at a time.
    fn shorten(&mut self, told_at: Millis, discovery: &DiscoveryConfig) {
        self.expires_at = self.expires_at.min(told_at + discovery.drain_grace - LEASE_MARGIN);
    }

    /// Until when attempts may be sent to an endpoint that is listed as ready.
    pub(crate) fn expires_at(&self, proven_at: Millis, discovery: &DiscoveryConfig) -> Millis {
        let grace = PROOF_GRACE_SHARE * discovery.drain_grace;
        let mut proof_expires_at = proven_at + discovery.update_delay_after_loss + grace;
        if proven_at < self.lost_update_at {
            proof_expires_at =
                proof_expires_at.min(self.lost_update_at + discovery.drain_grace - LEASE_MARGIN);
        }
        self.expires_at.max(proof_expires_at)
    }

    /// Whether an answer on a connection proves that its endpoint was not draining as the query was sent: the
    /// connection was up while the list was up to date, so that no other process has taken the endpoint's place.
    pub(crate) fn is_proof(&self, connected_at: Option<Millis>) -> bool {
        connected_at.is_some_and(|connected_at| connected_at <= self.confirmed_at)
    }
}
