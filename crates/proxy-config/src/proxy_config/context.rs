//! The inputs of one configuration, and the capacities and baselines that all its parts use.

use super::model::ProxyConfigSettings;
use crate::published_shares::PublishedShares;
use latchhaven_policy::{EndpointSnapshot, Millis, PolicySnapshot, Version};
use std::collections::{BTreeMap, BTreeSet};

/// A baseline version, and the total capacity of those of its endpoints that receive requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct BaselineCapacity {
    pub(super) version: Version,
    pub(super) capacity: f64,
}

/// The inputs of one configuration, with the capacities and baselines derived from them.
pub(super) struct ConfigContext<'a> {
    pub(super) snapshot: &'a PolicySnapshot,
    pub(super) settings: &'a ProxyConfigSettings,
    pub(super) published_shares: &'a PublishedShares,
    pub(super) now: Millis,
    /// Versions whose ready endpoints are all ejected. These endpoints receive requests all the same, since no other
    /// endpoint of the version could.
    pub(super) fully_ejected: BTreeSet<Version>,
    /// The total capacity of each version's endpoints that receive requests.
    pub(super) capacities: BTreeMap<Version, f64>,
    /// Versions with capacity that are neither canaries nor rolled back. They share the requests that no canary gets.
    pub(super) baselines: Vec<BaselineCapacity>,
}

impl<'a> ConfigContext<'a> {
    /// Derives capacities and baselines from a snapshot of the policy at `now`.
    pub(super) fn new(
        snapshot: &'a PolicySnapshot, settings: &'a ProxyConfigSettings, rolled_back: &BTreeSet<Version>,
        published_shares: &'a PublishedShares, now: Millis,
    ) -> Self {
        let fully_ejected = fully_ejected_versions(snapshot);
        let capacities = serving_capacities(snapshot, &fully_ejected);
        let baselines = baseline_capacities(snapshot, &capacities, rolled_back);
        ConfigContext { snapshot, settings, published_shares, now, fully_ejected, capacities, baselines }
    }

    /// The total capacity of a version's endpoints that receive requests, 0 if there is none.
    pub(super) fn capacity(&self, version: Version) -> f64 {
        self.capacities.get(&version).copied().unwrap_or(0.0)
    }
}

fn fully_ejected_versions(snapshot: &PolicySnapshot) -> BTreeSet<Version> {
    let ready_versions = |is_ejected: bool| -> BTreeSet<Version> {
        let endpoints = snapshot.endpoints.iter();
        let ready = endpoints.filter(|endpoint| endpoint.is_ready && endpoint.is_ejected == is_ejected);
        ready.map(|endpoint| endpoint.version).collect()
    };
    &ready_versions(true) - &ready_versions(false)
}

fn serving_capacities(
    snapshot: &PolicySnapshot, fully_ejected: &BTreeSet<Version>,
) -> BTreeMap<Version, f64> {
    let is_serving = |endpoint: &EndpointSnapshot| {
        endpoint.is_ready && (!endpoint.is_ejected || fully_ejected.contains(&endpoint.version))
    };
    let mut capacities: BTreeMap<Version, f64> = BTreeMap::new();
    for endpoint in &snapshot.endpoints {
        if is_serving(endpoint) {
            *capacities.entry(endpoint.version).or_default() += endpoint.capacity;
        }
    }
    capacities
}

fn baseline_capacities(
    snapshot: &PolicySnapshot, capacities: &BTreeMap<Version, f64>, rolled_back: &BTreeSet<Version>,
) -> Vec<BaselineCapacity> {
    let is_canary = |version: Version| snapshot.canaries.iter().any(|canary| canary.version == version);
    let mut baselines = Vec::new();
    for (&version, &capacity) in capacities {
        if !is_canary(version) && !rolled_back.contains(&version) && capacity > 0.0 {
            baselines.push(BaselineCapacity { version, capacity });
        }
    }
    baselines
}
