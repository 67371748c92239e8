//! The lease of the endpoint list: how long attempts may be sent to endpoints that no watch confirms as ready.
//!
//! While a watch is open, the list is confirmed. Without one, an update that does not arrive counts as delivered after
//! a configured delay, and the grace period of the endpoints that it lists as draining begins then. After the lease has
//! expired, attempts may only be sent to endpoints with evidence of readiness: a recent successful response.
//!
//! [`Policy`](crate::Policy) updates the lease when the list is confirmed, a call fails, a watch breaks or the
//! discovery service moves. The rules for each attempt compare the time with [`ListLease::expires_at`] and with the
//! expiry of the endpoint's evidence of readiness.

use crate::config::DiscoveryConfig;
use crate::endpoint::UpdateFailure;
use crate::time::Millis;

/// Subtracted from the end of a lease: a process may be suspended between reading its clock and writing.
const LEASE_SAFETY_MARGIN: Millis = 250.0;
/// Share of the drain grace period, after the delay of updates, at which evidence of readiness expires. The remaining
/// share is a margin for endpoints that still respond successfully shortly after they are listed as draining.
const EVIDENCE_GRACE_SHARE: f64 = 0.5;

/// Until when the endpoint list may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum ListLease {
    /// The list is up to date, since a watch is open.
    #[default]
    Confirmed,
    /// No watch is open.
    Unconfirmed(UnconfirmedLease),
}

/// The lease of a list that no open watch confirms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UnconfirmedLease {
    /// When the list was last confirmed to be up to date; `None` if an earlier process cached it.
    confirmed_at: Option<Millis>,
    /// Until then attempts may be sent to every endpoint that is listed as ready.
    expires_at: Millis,
    /// Responses to attempts sent before then are no evidence of readiness: an update may have been lost, and an
    /// endpoint that it lists as draining may still respond successfully for a short time. `None` if no update may have
    /// been lost.
    evidence_from: Option<Millis>,
}

impl ListLease {
    /// The lease of a list from an earlier process, of unknown age.
    pub(crate) fn cached(discovery: &DiscoveryConfig, now: Millis) -> Self {
        ListLease::Unconfirmed(UnconfirmedLease {
            confirmed_at: None,
            expires_at: ListLease::expiration(now + discovery.update_delay_after_start, discovery),
            evidence_from: Some(now),
        })
    }

    /// When a lease expires if missed updates count as delivered at `delivered_at`: the grace period of endpoints that
    /// they list as draining begins then.
    pub(crate) fn expiration(delivered_at: Millis, discovery: &DiscoveryConfig) -> Millis {
        delivered_at + discovery.drain_grace - LEASE_SAFETY_MARGIN
    }

    /// Returns `true` while a watch is open.
    pub(crate) fn is_confirmed(&self) -> bool {
        *self == ListLease::Confirmed
    }

    /// Shortens the lease after a call failed or the watch broke. A failure never extends a lease.
    pub(crate) fn on_failure(&mut self, failure: &UpdateFailure, discovery: &DiscoveryConfig, now: Millis) {
        let is_silent = failure.silent_for > 0.0;
        let confirmed_at = now - failure.silent_for;
        let delay =
            if is_silent { discovery.update_delay_after_silence } else { discovery.update_delay_after_loss };
        let mut lease = self.shortened(confirmed_at, ListLease::expiration(confirmed_at + delay, discovery));
        if failure.may_have_lost_update {
            lease.evidence_from = Some(now + EVIDENCE_GRACE_SHARE * discovery.drain_grace);
            lease.expires_at = lease.expires_at.min(ListLease::expiration(now, discovery));
        }
        *self = ListLease::Unconfirmed(lease);
    }

    /// Shortens the lease after the discovery service has moved: updates at its new address count as delivered after a
    /// configured delay.
    pub(crate) fn on_discovery_moved(&mut self, discovery: &DiscoveryConfig, now: Millis) {
        let delivered_at = now + discovery.update_delay_after_move;
        *self = ListLease::Unconfirmed(self.shortened(now, ListLease::expiration(delivered_at, discovery)));
    }

    /// The lease of a list that is no longer confirmed after `confirmed_at`, and may be used until `expires_at` at
    /// most.
    fn shortened(&self, confirmed_at: Millis, expires_at: Millis) -> UnconfirmedLease {
        match self {
            ListLease::Confirmed => {
                UnconfirmedLease { confirmed_at: Some(confirmed_at), expires_at, evidence_from: None }
            }
            ListLease::Unconfirmed(lease) => UnconfirmedLease {
                confirmed_at: lease.confirmed_at.map(|earlier| earlier.min(confirmed_at)),
                expires_at: lease.expires_at.min(expires_at),
                evidence_from: lease.evidence_from,
            },
        }
    }

    /// Until when attempts may be sent to every endpoint that is listed as ready; infinite while a watch is open.
    pub(crate) fn expires_at(&self) -> Millis {
        match self {
            ListLease::Confirmed => f64::INFINITY,
            ListLease::Unconfirmed(lease) => lease.expires_at,
        }
    }

    /// Until when a successful response to an attempt sent at `sent_at` is evidence that its endpoint is ready; `None`
    /// if it is no evidence. For evidence, the connection must not be newer than the last confirmation of the list, so
    /// that the process that responds is the listed one. Nor may the attempt have been sent too soon after the loss of
    /// an update.
    pub(crate) fn evidence_expires_at(
        &self, connected_at: Option<Millis>, sent_at: Millis, discovery: &DiscoveryConfig,
    ) -> Option<Millis> {
        let connected_at = connected_at?;
        let is_evidence = match self {
            ListLease::Confirmed => true,
            ListLease::Unconfirmed(lease) => {
                lease.confirmed_at.is_some_and(|confirmed_at| connected_at <= confirmed_at)
                    && lease.evidence_from.is_none_or(|from| sent_at >= from)
            }
        };
        let grace_period = EVIDENCE_GRACE_SHARE * discovery.drain_grace;
        let expires_at = sent_at + discovery.update_delay_after_loss + grace_period;
        is_evidence.then_some(expires_at)
    }
}
