//! Combines endpoints, clusters and routes into a configuration.

use super::context::ConfigContext;
use super::endpoints::configured_endpoints;
use super::model::{ProxyConfig, ProxyConfigSettings};
use crate::limits::SHARE_STEP;
use crate::parts_per_million::PartsPerMillion;
use crate::published_shares::PublishedShares;
use latchhaven_policy::{Millis, PolicySnapshot, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Builds the configuration for a snapshot of the policy at `now`.
///
/// `rolled_back` has the versions that get requests only as canaries. `addresses` has the address of each endpoint by
/// its id; endpoints without an address are left out. `published_shares` reduces the shares of canaries by what
/// unreachable proxies may be using.
#[must_use]
pub fn build_proxy_config(
    snapshot: &PolicySnapshot, settings: &ProxyConfigSettings, rolled_back: &BTreeSet<Version>,
    addresses: &BTreeMap<String, SocketAddr>, published_shares: &PublishedShares, now: Millis,
) -> ProxyConfig {
    let context = ConfigContext::new(snapshot, settings, rolled_back, published_shares, now);
    let endpoints = configured_endpoints(&context, addresses);
    let classes = 0..settings.classes.len();
    let class_routes: Vec<_> = classes.map(|class| context.route(class)).collect();
    let canary_shares = class_routes.iter().map(|class_route| class_route.canary_share).collect();
    ProxyConfig {
        clusters: context.clusters(endpoints.keys().copied()),
        endpoints,
        shed_share: PartsPerMillion::from_fraction_floor(snapshot.shed_probability)
            .round_down_to_multiple_of(SHARE_STEP),
        routes: class_routes.into_iter().map(|class_route| class_route.route).collect(),
        canary_shares,
    }
}
