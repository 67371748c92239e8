//! The endpoints of each version, with health and weight.

use super::context::ConfigContext;
use super::model::{ConfiguredEndpoint, EndpointHealth};
use crate::limits;
use latchhaven_policy::{EndpointSnapshot, Version};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// All endpoints with a known address, by version. The endpoints of a version are sorted by their ids, so that equal
/// lists of endpoints give equal configurations.
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
            weight: limits::endpoint_weight(endpoint.capacity),
            health: health(context, endpoint),
        });
    }
    for endpoints in by_version.values_mut() {
        endpoints.sort_by(|left, right| left.endpoint.cmp(&right.endpoint));
    }
    by_version
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
