//! Tracks the newest known rollout state and endpoint list, and decides whether a configuration may be published.
//!
//! Problem: a control service that has just started, or that reads from a lagging replica, may receive states older
//! than those from which another service already built configurations. Publishing them would return proxies to an
//! older configuration. Method: the versions that proxies report, and the version in the state store, are lower
//! bounds. An older state never replaces a newer one. Nothing is published until discovery has sent a full endpoint
//! list and the platform has reported the state of the newest version, each at least as new as its lower bound.

use crate::limits::{self, MAX_ROLLED_BACK_VERSIONS};
use crate::version::{ConfigVersion, EndpointListVersion, ReportedVersion, RolloutStatus, RolloutVersion};
use latchhaven_policy::{Millis, RolloutState, Version};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// Tracks the newest known rollout state and endpoint list, and whether a configuration based on them may be published.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    /// The newest known rollout state, also if only a proxy or the state store has reported it.
    rollout: Option<RolloutVersion>,
    /// Set when the platform has reported a state since this process started, as new as `rollout` or newer.
    is_confirmed_by_platform: bool,
    /// The list in use. `None` until a full list was received.
    endpoint_list: Option<EndpointListVersion>,
    /// The newest list known to exist, also if it was not received.
    newest_list: EndpointListVersion,
    /// When the first of an unbroken sequence of stale full lists was received. `None` if the last full list was not
    /// older than `newest_list`, or a call to discovery failed since.
    stale_since: Option<Millis>,
    /// Set when the last received list was a full one that was not applied because it is stale.
    is_last_snapshot_stale: bool,
    rolled_back: BTreeSet<Version>,
}

/// Whether an endpoint list was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// The list is in use.
    Applied,
    /// The list was ignored: a full list older than the newest known one, a change older than the list in use, or a
    /// change received before any full list.
    Stale,
}

/// Why no configuration can be published yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublicationBlocked {
    /// Discovery has not sent a full endpoint list since this process started.
    #[error("no full endpoint list was received yet")]
    NoEndpointList,
    /// Since this process started, the platform has not reported a rollout state as new as the newest known one.
    #[error("the platform has not reported the rollout state of the newest version")]
    RolloutUnconfirmed,
    /// A configuration with a newer endpoint list was published before, by this service or another one.
    #[error("the endpoint list is older than a published one")]
    StaleEndpointList,
}

impl VersionTracker {
    /// Creates a tracker with the version and the rolled-back versions from the state store as lower bounds. Without
    /// a stored version there is no lower bound yet.
    pub fn restore(stored: Option<ConfigVersion>, rolled_back: impl IntoIterator<Item = Version>) -> Self {
        let mut state =
            VersionTracker { rolled_back: rolled_back.into_iter().collect(), ..VersionTracker::default() };
        if let Some(stored) = stored {
            state.rollout = Some(stored.rollout);
            state.newest_list = stored.endpoints;
        }
        state
    }

    /// Applies a rollout state that the platform reported at `now`, a Unix time. `is_rejected` is set if the canary
    /// analysis has rejected its version. Returns the state, or `None` if a newer one is known.
    pub fn apply_rollout_state(
        &mut self, state: &RolloutState, is_rejected: bool, now: Millis,
    ) -> Option<RolloutState> {
        let reported = RolloutVersion::from_state(state, is_rejected, now);
        let order = self.rollout.map_or(Ordering::Greater, |known| reported.compare(&known));
        match order {
            Ordering::Less => return None,
            // The start time that was published first stays, so that all labels of one state are equal.
            Ordering::Equal => {}
            Ordering::Greater => self.set_rollout(reported),
        }
        self.is_confirmed_by_platform = true;
        Some(*state)
    }

    /// Marks the newest version as rejected by the canary analysis of this process, unless its rollout is past the
    /// canary phase.
    pub fn reject_canary(&mut self) {
        if let Some(known) = self.rollout {
            let status = known.status.max(RolloutStatus::Rejected);
            self.rollout = Some(RolloutVersion { status, ..known });
        }
    }

    /// Applies the version of a resource that a proxy uses, as lower bounds. Versions that are unsigned, or too far
    /// in the future, are ignored. `now` is a Unix time. Returns the rollout state of the version, or `None` if that
    /// is not newer than the known one.
    pub fn apply_proxy_version(&mut self, reported: &ReportedVersion, now: Millis) -> Option<RolloutState> {
        let ConfigVersion { rollout, endpoints } = reported.version;
        if !reported.is_signed || limits::is_too_far_in_future(rollout.since, now) {
            return None;
        }
        self.newest_list = self.newest_list.max(endpoints);
        let is_newer = self.rollout.is_none_or(|known| rollout.compare(&known) == Ordering::Greater);
        if !is_newer {
            return None;
        }
        self.set_rollout(rollout);
        Some(rollout.to_state(now))
    }

    fn set_rollout(&mut self, rollout: RolloutVersion) {
        if rollout.status == RolloutStatus::RolledBack {
            self.rolled_back.insert(rollout.version);
            while self.rolled_back.len() > MAX_ROLLED_BACK_VERSIONS {
                self.rolled_back.pop_first();
            }
        }
        self.rollout = Some(rollout);
    }

    /// Applies an endpoint list with the version that discovery assigned. With `is_snapshot` the list is a full one,
    /// else it has changes to the list in use. The first list must be a full one.
    pub fn apply_endpoint_list(&mut self, version: u64, is_snapshot: bool, now: Millis) -> UpdateResult {
        let result = self.apply_list_version(version, is_snapshot, now);
        self.is_last_snapshot_stale = is_snapshot && result == UpdateResult::Stale;
        result
    }

    fn apply_list_version(&mut self, version: u64, is_snapshot: bool, now: Millis) -> UpdateResult {
        if is_snapshot {
            return self.apply_list_snapshot(version, now);
        }
        let Some(current) = self.endpoint_list else { return UpdateResult::Stale };
        let changed = EndpointListVersion { version, ..current };
        if changed < current {
            return UpdateResult::Stale;
        }
        self.endpoint_list = Some(changed);
        self.newest_list = self.newest_list.max(changed);
        UpdateResult::Applied
    }

    fn apply_list_snapshot(&mut self, version: u64, now: Millis) -> UpdateResult {
        let received = EndpointListVersion { epoch: self.newest_list.epoch, version };
        if received >= self.newest_list {
            return self.use_list_snapshot(received);
        }
        let stale_since = *self.stale_since.get_or_insert(now);
        if limits::was_discovery_restarted(now, stale_since) {
            return self.use_list_snapshot(EndpointListVersion { epoch: received.epoch + 1, version });
        }
        if self.endpoint_list.is_some() {
            return UpdateResult::Stale;
        }
        // The first list is used even if it is stale, since changes may bring it up to date. Nothing is published
        // until then.
        self.endpoint_list = Some(received);
        UpdateResult::Applied
    }

    fn use_list_snapshot(&mut self, list: EndpointListVersion) -> UpdateResult {
        self.endpoint_list = Some(list);
        self.newest_list = list;
        self.stale_since = None;
        UpdateResult::Applied
    }

    /// Records that a call to discovery failed. Stale lists before and after the failure do not show that discovery was
    /// restarted, so that the delay until a new epoch begins again.
    pub fn on_endpoint_list_failed(&mut self) {
        self.stale_since = None;
    }

    /// The newest known rollout state, confirmed by the platform or not.
    #[must_use]
    pub fn rollout(&self) -> Option<RolloutVersion> {
        self.rollout
    }

    /// The versions that were rolled back, as far as they are retained: the highest `MAX_ROLLED_BACK_VERSIONS`.
    #[must_use]
    pub fn rolled_back_versions(&self) -> &BTreeSet<Version> {
        &self.rolled_back
    }

    /// Returns `true` if a full list must be requested: the list in use is older than the newest known one, or the
    /// last full list was ignored as stale.
    #[must_use]
    pub fn needs_list_snapshot(&self) -> bool {
        self.is_endpoint_list_stale() || self.is_last_snapshot_stale
    }

    fn is_endpoint_list_stale(&self) -> bool {
        self.endpoint_list.is_some_and(|list| list < self.newest_list)
    }

    /// The version of a configuration built now, from the newest known rollout state and the list in use.
    ///
    /// # Errors
    /// Why no configuration may be published yet.
    pub fn config_version(&self) -> Result<ConfigVersion, PublicationBlocked> {
        let endpoints = self.endpoint_list.ok_or(PublicationBlocked::NoEndpointList)?;
        let confirmed = self.rollout.filter(|_| self.is_confirmed_by_platform);
        let rollout = confirmed.ok_or(PublicationBlocked::RolloutUnconfirmed)?;
        if self.is_endpoint_list_stale() {
            return Err(PublicationBlocked::StaleEndpointList);
        }
        Ok(ConfigVersion { rollout, endpoints })
    }
}
