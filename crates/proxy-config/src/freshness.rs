//! The newest rollout state and endpoint list known, and whether a configuration may be published at all.
//!
//! Endpoint lists come from discovery and states of the newest version from the platform. Versions that proxies hold,
//! and the version in the state store, show how far both had got before. An older state never replaces a newer one.
//! Nothing is published before a full endpoint list was received and the platform has reported the state of the newest
//! version, each at least as new as the newest known to have been published.

use crate::version::{ConfigVersion, EndpointListVersion, RolloutStatus, RolloutVersion, SignedVersion};
use latchhaven_policy::{Millis, RolloutState, Version};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// Rolled-back versions that are remembered: endpoints of older ones have long been replaced.
const MAX_ROLLED_BACK_VERSIONS: usize = 64;
/// Time in ms for which lists must stay stale, while discovery answers, to begin a new epoch: discovery itself was
/// restarted. A replica that lags catches up much sooner.
const NEW_EPOCH_DELAY: Millis = 60_000.0;
/// Time in ms by which a proxy's version may be ahead of the local clock: clocks do not differ by more.
const MAX_CLOCK_SKEW: Millis = 60_000.0;

/// The newest versions known, and where they were learnt.
#[derive(Clone, Debug, Default)]
pub struct KnownState {
    rollout: Option<RolloutVersion>,
    /// The platform itself has reported a state at least as new since this process began.
    confirmed_by_platform: bool,
    /// The list in use, once a full one was received.
    endpoint_list: Option<EndpointListVersion>,
    /// The newest list known of.
    latest_seen: EndpointListVersion,
    /// Since when all full lists were older than [`Self::latest_seen`].
    stale_since: Option<Millis>,
    /// The list that came last was a full one, and stale.
    is_last_full_list_stale: bool,
    rolled_back: BTreeSet<Version>,
}

/// Whether an endpoint list was taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// It is in use from now on.
    Applied,
    /// It is older than what is known: the earlier one stays.
    Stale,
}

/// Why no configuration can be published yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotUnavailable {
    /// No full endpoint list was received.
    #[error("the list was not heard whole yet")]
    NoEndpointList,
    /// The platform has not reported the state of the newest version.
    #[error("the platform has not told the newest build's state")]
    RolloutUnconfirmed,
    /// A newer endpoint list was published before.
    #[error("the list is older than one that was handed out")]
    StaleEndpointList,
}

impl KnownState {
    /// Begins from a stored version: nothing older is published.
    pub fn restore(stored: Option<ConfigVersion>, rolled_back: impl IntoIterator<Item = Version>) -> Self {
        let mut state =
            KnownState { rolled_back: rolled_back.into_iter().collect(), ..KnownState::default() };
        if let Some(stored) = stored {
            state.rollout = Some(stored.rollout);
            state.latest_seen = stored.endpoints;
        }
        state
    }

    /// Takes over a state that the platform reported. Returns the state to use, unless a newer one is known.
    pub fn apply_rollout_state(
        &mut self, state: &RolloutState, is_rejected: bool, now: Millis,
    ) -> Option<RolloutState> {
        let reported = RolloutVersion::from_state(state, is_rejected, now);
        let order = self.rollout.map_or(Ordering::Greater, |known| reported.compare(&known));
        match order {
            Ordering::Less => return None,
            // The begin that was labelled first stays: labels of one state do not drift apart.
            Ordering::Equal => {}
            Ordering::Greater => self.set_rollout(reported),
        }
        self.confirmed_by_platform = true;
        Some(*state)
    }

    /// The newest version was rejected by the canary analysis of this process; published as such from now on.
    pub fn reject_canary(&mut self) {
        if let Some(known) = self.rollout {
            let status = known.status.max(RolloutStatus::Rejected);
            self.rollout = Some(RolloutVersion { status, ..known });
        }
    }

    /// Takes over the version that a proxy holds, if its label is signed. Returns the rollout state in it, if it is
    /// newer than the one known.
    pub fn apply_proxy_version(&mut self, label: &SignedVersion, now: Millis) -> Option<RolloutState> {
        let ConfigVersion { rollout, endpoints } = label.version;
        // A state that has yet to begin cannot have been published.
        let is_in_future = rollout.since as Millis > now + MAX_CLOCK_SKEW;
        if !label.is_signed || is_in_future {
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

    /// Takes over an endpoint list of discovery. Changes apply to the list in use; only a full list can be the first.
    pub fn apply_endpoint_list(&mut self, version: u64, is_full: bool, now: Millis) -> UpdateResult {
        let result = self.apply_list_version(version, is_full, now);
        self.is_last_full_list_stale = is_full && result == UpdateResult::Stale;
        result
    }

    fn apply_list_version(&mut self, version: u64, is_full: bool, now: Millis) -> UpdateResult {
        if is_full {
            return self.apply_full_list(version, now);
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

    fn apply_full_list(&mut self, version: u64, now: Millis) -> UpdateResult {
        let received = EndpointListVersion { epoch: self.latest_seen.epoch, version };
        if received >= self.latest_seen {
            return self.use_full_list(received);
        }
        let stale_since = *self.stale_since.get_or_insert(now);
        if now - stale_since >= NEW_EPOCH_DELAY {
            return self.use_full_list(EndpointListVersion { epoch: received.epoch + 1, version });
        }
        if self.endpoint_list.is_some() {
            return UpdateResult::Stale;
        }
        // The first list is used although it is stale: changes may bring it up to date.
        self.endpoint_list = Some(received);
        UpdateResult::Applied
    }

    fn use_full_list(&mut self, list: EndpointListVersion) -> UpdateResult {
        self.endpoint_list = Some(list);
        self.latest_seen = list;
        self.stale_since = None;
        UpdateResult::Applied
    }

    /// A watch or fetch of the list failed: a stale list may have caught up unseen.
    pub fn endpoint_list_failed(&mut self) {
        self.stale_since = None;
    }

    /// The newest rollout state known, confirmed by the platform or not.
    pub fn rollout(&self) -> Option<RolloutVersion> {
        self.rollout
    }

    /// Versions that were rolled back.
    pub fn rolled_back_versions(&self) -> &BTreeSet<Version> {
        &self.rolled_back
    }

    /// A full list must be fetched: the list in use is older than the newest known of, or the last full one was stale.
    pub fn needs_full_list(&self) -> bool {
        self.is_endpoint_list_stale() || self.is_last_full_list_stale
    }

    fn is_endpoint_list_stale(&self) -> bool {
        self.endpoint_list.is_some_and(|list| list < self.latest_seen)
    }

    /// The version of a configuration published now.
    ///
    /// # Errors
    /// Why none may be published yet.
    pub fn config_version(&self) -> Result<ConfigVersion, SnapshotUnavailable> {
        let endpoints = self.endpoint_list.ok_or(SnapshotUnavailable::NoEndpointList)?;
        let confirmed = self.rollout.filter(|_| self.confirmed_by_platform);
        let rollout = confirmed.ok_or(SnapshotUnavailable::RolloutUnconfirmed)?;
        if self.is_endpoint_list_stale() {
            return Err(SnapshotUnavailable::StaleEndpointList);
        }
        Ok(ConfigVersion { rollout, endpoints })
    }
}
