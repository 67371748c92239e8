//! Builds a configuration: clusters, the drop rate, and the parts of its neighbours.

use super::endpoints::configured_endpoints;
use super::{Cluster, ProxyConfig, ProxyConfigSettings};
use crate::parts_per_million::PartsPerMillion;
use crate::share_ledger::ShareLedger;
use latchhaven_policy::{EndpointSnapshot, Millis, PolicySnapshot, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Steps of drop rates and of shares without a cap: one hundredth. Finer ones would update all proxies all the time.
pub(super) const SHARE_STEP: PartsPerMillion = PartsPerMillion::new(10_000);
/// Multiple of its even part of a version's concurrency limit that each proxy may use: clients spread unevenly.
const UNEVENNESS: f64 = 2.0;
/// Attempts in flight that each proxy may have at a cluster at least.
const MIN_IN_FLIGHT: u32 = 4;

/// The capacity of a baseline version's endpoints that get requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct BaselineCapacity {
    pub(super) version: Version,
    pub(super) capacity: f64,
}

/// The inputs of one configuration, and what all its parts derive from them.
pub(super) struct ConfigContext<'a> {
    pub(super) snapshot: &'a PolicySnapshot,
    pub(super) settings: &'a ProxyConfigSettings,
    pub(super) share_ledger: &'a ShareLedger,
    pub(super) now: Millis,
    /// Versions whose ready endpoints are all ejected: these are tried rather than none.
    pub(super) fully_ejected: BTreeSet<Version>,
    /// The capacity of each version's endpoints that get requests.
    pub(super) capacities: BTreeMap<Version, f64>,
    /// Versions that get what canaries do not: neither canaries nor rolled back.
    pub(super) baselines: Vec<BaselineCapacity>,
}

/// Builds the configuration for a snapshot of the policy at one moment. `addresses`: where each endpoint listens.
pub fn build_proxy_config(
    snapshot: &PolicySnapshot, settings: &ProxyConfigSettings, rolled_back: &BTreeSet<Version>,
    addresses: &BTreeMap<String, SocketAddr>, share_ledger: &ShareLedger, now: Millis,
) -> ProxyConfig {
    let fully_ejected = fully_ejected_versions(snapshot);
    let capacities = serving_capacities(snapshot, &fully_ejected);
    let baselines = baseline_capacities(snapshot, &capacities, rolled_back);
    let context =
        ConfigContext { snapshot, settings, share_ledger, now, fully_ejected, capacities, baselines };
    let endpoints = configured_endpoints(&context, addresses);
    let classes = 0..settings.classes.len();
    let class_routes: Vec<_> = classes.map(|class| context.route(class)).collect();
    let canary_shares = class_routes.iter().map(|class_route| class_route.canary_share).collect();
    ProxyConfig {
        clusters: context.clusters(endpoints.keys().copied()),
        endpoints,
        shed_share: PartsPerMillion::from_fraction_floor(snapshot.shed_probability).floor_to(SHARE_STEP),
        routes: class_routes.into_iter().map(|class_route| class_route.route).collect(),
        canary_shares,
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

impl ConfigContext<'_> {
    /// The capacity of a version's endpoints that get requests.
    pub(super) fn capacity(&self, version: Version) -> f64 {
        self.capacities.get(&version).copied().unwrap_or(0.0)
    }

    fn clusters(&self, versions: impl Iterator<Item = Version>) -> Vec<Cluster> {
        let mut clusters = Vec::new();
        for version in versions {
            let max_in_flight = self.max_in_flight(version);
            let allows_retries = !self.is_capped_canary(version);
            for class in 0..self.settings.classes.len() {
                clusters.push(Cluster { version, class, max_in_flight, allows_retries });
            }
        }
        clusters
    }

    /// Attempts in flight that one proxy may have at a version's endpoints. A power of two: a proxy or an endpoint more
    /// or less does not update all proxies.
    fn max_in_flight(&self, version: Version) -> u32 {
        let proxies = self.share_ledger.len().max(1) as f64;
        let per_endpoint = f64::from(self.settings.max_in_flight_per_endpoint);
        let limit = per_endpoint * self.capacity(version) * UNEVENNESS / proxies;
        (limit.ceil() as u32).max(MIN_IN_FLIGHT).next_power_of_two()
    }

    fn is_capped_canary(&self, version: Version) -> bool {
        let canaries = &self.snapshot.canaries;
        canaries.iter().any(|canary| canary.version == version && canary.traffic_cap < 1.0)
    }
}
