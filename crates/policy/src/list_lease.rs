//! The lease of the endpoint list: how long attempts may be sent to endpoints that no watch confirms as ready.
//!
//! While a watch is open, the list is confirmed. Without one, updates that do not arrive count as delivered some time
//! later, and the grace of a draining endpoint begins then. When the lease expires, attempts may only go to endpoints that
//! have since proven, by an answer, that they were not draining.
//!
//! [`Policy`](crate::Policy) changes the lease when the list is confirmed, a call fails, a watch breaks or the discovery
//! service moves. The gate of all attempts compares the time with [`ListLease::expires_at`] and with the endpoint's proof.

use crate::config::DiscoveryConfig;
use crate::endpoint::UpdateFailure;
use crate::time::Millis;

/// ms subtracted from the end of a lease: a process may be suspended between reading its clock and writing.
const LEASE_MARGIN: Millis = 250.0;
/// Share of the drain grace that a proof lasts beyond the delay of updates: an endpoint may answer shortly after it is
/// listed as draining.
const PROOF_GRACE_SHARE: f64 = 0.5;

/// Until when the endpoint list may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListLease {
    /// When the list was last confirmed to be up to date, in ms; infinite while a watch is open.
    confirmed_at: Millis,
    /// Until then attempts may be sent to every endpoint that is listed as ready.
    expires_at: Millis,
    /// Attempts sent before then prove nothing: an update may have been lost, and an endpoint that it lists as draining
    /// may still answer shortly after.
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

    /// A list from an earlier process, of unknown age.
    pub(crate) fn cached(discovery: &DiscoveryConfig, now: Millis) -> Self {
        ListLease {
            confirmed_at: f64::NEG_INFINITY,
            expires_at: now + discovery.update_delay_after_start + discovery.drain_grace - LEASE_MARGIN,
            no_proof_before: now,
        }
    }

    /// True while a watch is open.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.confirmed_at == f64::INFINITY
    }

    /// A call failed or the watch broke. A failure never extends a lease.
    pub(crate) fn fail(&mut self, failure: &UpdateFailure, discovery: &DiscoveryConfig, now: Millis) {
        let is_silent = failure.silent_for > 0.0;
        let confirmed_at = now - failure.silent_for;
        let delay =
            if is_silent { discovery.update_delay_after_silence } else { discovery.update_delay_after_loss };
        self.confirmed_at = self.confirmed_at.min(confirmed_at);
        self.shorten(confirmed_at + delay, discovery);
        if failure.may_have_lost_update {
            self.no_proof_before = now + PROOF_GRACE_SHARE * discovery.drain_grace;
            self.shorten(now, discovery);
        }
    }

    /// The discovery service has moved: updates at its new address count as delivered some time later.
    pub(crate) fn move_discovery(&mut self, discovery: &DiscoveryConfig, now: Millis) {
        self.confirmed_at = self.confirmed_at.min(now);
        self.shorten(now + discovery.update_delay_after_move, discovery);
    }

    /// Missed updates count as delivered at a time in ms.
    fn shorten(&mut self, delivered_at: Millis, discovery: &DiscoveryConfig) {
        self.expires_at = self.expires_at.min(delivered_at + discovery.drain_grace - LEASE_MARGIN);
    }

    /// Until when attempts may be sent to every endpoint that is listed as ready, in ms.
    pub(crate) fn expires_at(&self) -> Millis {
        self.expires_at
    }

    /// Until when attempts may be sent to an endpoint that has answered one; none if the answer proves nothing. It proves
    /// that the endpoint was not draining when the attempt was sent, if its connection was established while the list was
    /// up to date (so the process is the listed one) and no update has been lost since.
    pub(crate) fn evidence_expires_at(
        &self, connected_at: Option<Millis>, sent_at: Millis, discovery: &DiscoveryConfig,
    ) -> Option<Millis> {
        let is_same_process = connected_at.is_some_and(|connected_at| connected_at <= self.confirmed_at);
        let grace = PROOF_GRACE_SHARE * discovery.drain_grace;
        let expires_at = sent_at + discovery.update_delay_after_loss + grace;
        (is_same_process && sent_at >= self.no_proof_before).then_some(expires_at)
    }

    /// Until when earlier proofs remain valid once an update may have been lost, in ms.
    pub(crate) fn proof_limit(discovery: &DiscoveryConfig, now: Millis) -> Millis {
        now + discovery.drain_grace - LEASE_MARGIN
    }
}
