//! The endpoints of each version, with their health and weight.

use super::builder::ConfigContext;
use super::{ConfiguredEndpoint, EndpointHealth};
use latchhaven_policy::{EndpointSnapshot, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Weight of an endpoint per unit of capacity: finer steps would update all proxies all the time while one warms up.
const WEIGHT_PER_CAPACITY: f64 = 20.0;
/// The range of an endpoint's weight.
const MIN_WEIGHT: f64 = 1.0;
const MAX_WEIGHT: f64 = 1e6;

/// All endpoints with a known address, by version and in the order of their ids.
pub(super) fn configured_endpoints(
    context: &ConfigContext<'_>, addresses: &BTreeMap<String, SocketAddr>,
) -> BTreeMap<Version, Vec<ConfiguredEndpoint>> {
    let mut by_version: BTreeMap<Version, Vec<ConfiguredEndpoint>> = BTreeMap::new();
    for endpoint in &context.snapshot.endpoints {
        let Some(address) = addresses.get(&endpoint.endpoint) else { continue };
        by_version.entry(endpoint.version).or_default().push(ConfiguredEndpoint {
            endpoint: endpoint.endpoint.clone(),
            address: *address,
            zone: endpoint.zone.clone(),
            weight: weight(endpoint.capacity),
            health: health(context, endpoint),
        });
    }
    for endpoints in by_version.values_mut() {
        endpoints.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    }
    by_version
}

fn weight(capacity: f64) -> u32 {
    let steps = (capacity * WEIGHT_PER_CAPACITY).floor();
    steps.clamp(MIN_WEIGHT, MAX_WEIGHT) as u32
}

fn health(context: &ConfigContext<'_>, endpoint: &EndpointSnapshot) -> EndpointHealth {
    if !endpoint.is_ready {
        EndpointHealth::Draining
    } else if endpoint.is_ejected && !context.fully_ejected.contains(&endpoint.version) {
        EndpointHealth::Unhealthy
    } else {
        EndpointHealth::Healthy
    }
}
