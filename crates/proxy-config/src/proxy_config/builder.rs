//! Builds a configuration from its parts.

use super::context::ConfigContext;
use super::endpoints::configured_endpoints;
use super::model::{ProxyConfig, ProxyConfigSettings};
use crate::limits::SHARE_STEP;
use crate::parts_per_million::PartsPerMillion;
use crate::published_shares::PublishedShares;
use latchhaven_policy::{Millis, PolicySnapshot, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Builds the configuration for a snapshot of the policy at `now`, in ms. `addresses`: the address of each endpoint.
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
        shed_share: PartsPerMillion::from_fraction_floor(snapshot.shed_probability).floor_to(SHARE_STEP),
        routes: class_routes.into_iter().map(|class_route| class_route.route).collect(),
        canary_shares,
    }
}
