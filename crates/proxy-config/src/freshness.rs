//! The newest rollout state and endpoint list known, and whether a configuration may be published at all.
//!
//! Discovery sends endpoint lists, the platform sends states of the newest version. The versions that proxies report, and
//! the version in the state store, give lower bounds for both. An older state never replaces a newer one. Nothing is
//! published before a full endpoint list was received and the platform has reported the state of the newest version, each
//! at least as new as the newest known to have been published.

use crate::limits::{self, MAX_ROLLED_BACK_VERSIONS};
use crate::version::{ConfigVersion, EndpointListVersion, ReportedVersion, RolloutStatus, RolloutVersion};
use latchhaven_policy::{Millis, RolloutState, Version};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// The newest known versions, and whether the platform has confirmed them.
#[derive(Clone, Debug, Default)]
pub struct VersionTracker {
    rollout: Option<RolloutVersion>,
    /// The platform has reported a state at least as new since this process started.
    confirmed_by_platform: bool,
    /// The list in use, once a full one was received.
    endpoint_list: Option<EndpointListVersion>,
    /// The newest list known to exist.
    latest_seen: EndpointListVersion,
    /// Since when all full lists were older than [`Self::latest_seen`].
    stale_since: Option<Millis>,
    /// The last received list was a full one, and stale.
    is_last_snapshot_stale: bool,
    rolled_back: BTreeSet<Version>,
}

/// Whether an endpoint list was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// It is in use.
    Applied,
    /// It was not applied: a full list older than the newest known one, a change older than the list in use, or a change
    /// before any full list.
    Stale,
}

/// Why no configuration can be published yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublicationBlocked {
    /// No full endpoint list was received.
    #[error("no full endpoint list was received yet")]
    NoEndpointList,
    /// The platform has not reported the state of the newest version.
    #[error("the platform has not reported the rollout state of the newest version")]
    RolloutUnconfirmed,
    /// A newer endpoint list was published before.
    #[error("the endpoint list is older than a published one")]
    StaleEndpointList,
}

impl VersionTracker {
    /// Continues from a stored version: nothing older is published.
    pub fn restore(stored: Option<ConfigVersion>, rolled_back: impl IntoIterator<Item = Version>) -> Self {
        let mut state =
            VersionTracker { rolled_back: rolled_back.into_iter().collect(), ..VersionTracker::default() };
        if let Some(stored) = stored {
            state.rollout = Some(stored.rollout);
            state.latest_seen = stored.endpoints;
        }
        state
    }

    /// Applies a state that the platform reported. Returns the state to use, unless a newer one is known.
    pub fn apply_rollout_state(
        &mut self, state: &RolloutState, is_rejected: bool, now: Millis,
    ) -> Option<RolloutState> {
        let reported = RolloutVersion::from_state(state, is_rejected, now);
        let order = self.rollout.map_or(Ordering::Greater, |known| reported.compare(&known));
        match order {
            Ordering::Less => return None,
            // The first labelled begin stays, so that labels of one state stay equal.
            Ordering::Equal => {}
            Ordering::Greater => self.set_rollout(reported),
        }
        self.confirmed_by_platform = true;
        Some(*state)
    }

    /// The canary analysis of this process rejected the newest version: it is published as rejected.
    pub fn reject_canary(&mut self) {
        if let Some(known) = self.rollout {
            let status = known.status.max(RolloutStatus::Rejected);
            self.rollout = Some(RolloutVersion { status, ..known });
        }
    }

    /// Applies the version of a proxy's resources, if its label is signed. Returns the rollout state in it, if it is
    /// newer than the known one.
    pub fn apply_proxy_version(&mut self, reported: &ReportedVersion, now: Millis) -> Option<RolloutState> {
        let ConfigVersion { rollout, endpoints } = reported.version;
        if !reported.is_signed || limits::is_in_future(rollout.since, now) {
            return None;
        }
        self.latest_seen = self.latest_seen.max(endpoints);
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

    /// Applies an endpoint list of discovery. Changes apply to the list in use; the first list must be a full one.
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
        self.latest_seen = self.latest_seen.max(changed);
        UpdateResult::Applied
    }

    fn apply_list_snapshot(&mut self, version: u64, now: Millis) -> UpdateResult {
        let received = EndpointListVersion { epoch: self.latest_seen.epoch, version };
        if received >= self.latest_seen {
            return self.use_list_snapshot(received);
        }
        let stale_since = *self.stale_since.get_or_insert(now);
        if limits::begins_new_epoch(now, stale_since) {
            return self.use_list_snapshot(EndpointListVersion { epoch: received.epoch + 1, version });
        }
        if self.endpoint_list.is_some() {
            return UpdateResult::Stale;
        }
        // A stale first list is used, since changes may bring it up to date.
        self.endpoint_list = Some(received);
        UpdateResult::Applied
    }

    fn use_list_snapshot(&mut self, list: EndpointListVersion) -> UpdateResult {
        self.endpoint_list = Some(list);
        self.latest_seen = list;
        self.stale_since = None;
        UpdateResult::Applied
    }

    /// A watch or fetch of the list failed: discovery may have caught up meanwhile.
    pub fn on_endpoint_list_failed(&mut self) {
        self.stale_since = None;
    }

    /// The newest known rollout state, confirmed by the platform or not.
    #[must_use]
    pub fn rollout(&self) -> Option<RolloutVersion> {
        self.rollout
    }

    /// Versions that were rolled back.
    #[must_use]
    pub fn rolled_back_versions(&self) -> &BTreeSet<Version> {
        &self.rolled_back
    }

    /// True where a full list must be fetched: the list in use is older than the newest known one, or the last full list
    /// was stale.
    #[must_use]
    pub fn needs_list_snapshot(&self) -> bool {
        self.is_endpoint_list_stale() || self.is_last_snapshot_stale
    }

    fn is_endpoint_list_stale(&self) -> bool {
        self.endpoint_list.is_some_and(|list| list < self.latest_seen)
    }

    /// The version of a configuration that is published now.
    ///
    /// # Errors
    /// No configuration may be published yet.
    pub fn config_version(&self) -> Result<ConfigVersion, PublicationBlocked> {
        let endpoints = self.endpoint_list.ok_or(PublicationBlocked::NoEndpointList)?;
        let confirmed = self.rollout.filter(|_| self.confirmed_by_platform);
        let rollout = confirmed.ok_or(PublicationBlocked::RolloutUnconfirmed)?;
        if self.is_endpoint_list_stale() {
            return Err(PublicationBlocked::StaleEndpointList);
        }
        Ok(ConfigVersion { rollout, endpoints })
    }
}
