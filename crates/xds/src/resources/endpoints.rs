//! Endpoint resources: the endpoints of each version (EDS), inline or as references to collections of endpoints (LEDS).

use super::encoding::{
    ResourceMessage, aggregated_config_source, content_hash, to_uint32_value, to_xds_address,
};
use super::names::{endpoints_name, leds_collection_prefix, sanitize};
use crate::pb::envoy::config::core::v3::{HealthStatus, Locality};
use crate::pb::envoy::config::endpoint::v3 as xds;
use crate::pb::envoy::config::endpoint::v3::cluster_load_assignment::{Policy, policy::DropOverload};
use crate::pb::envoy::r#type::v3::{FractionalPercent, fractional_percent::DenominatorType};
use latchhaven_policy::Version;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::proxy_config::{ConfiguredEndpoint, EndpointHealth, ProxyConfig};
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// The `drop_overload` category under which proxies count and report the requests that they drop.
const SHED_CATEGORY: &str = "shed";

/// Returns one EDS resource for each version. If `separate` is set, it references LEDS collections instead of listing
/// the endpoints.
pub(super) fn encode_endpoints(proxy_config: &ProxyConfig, separate: bool) -> Vec<ResourceMessage> {
    let versions = proxy_config.endpoints.iter();
    versions
        .map(|(version, endpoints)| {
            encode_version_endpoints(*version, endpoints, proxy_config.shed_share, separate)
        })
        .collect()
}

fn encode_version_endpoints(
    version: Version, endpoints: &[ConfiguredEndpoint], shed_share: PartsPerMillion, separate: bool,
) -> ResourceMessage {
    let name = endpoints_name(version);
    let zones = group_by_zone(endpoints);
    let references = if separate {
        zones.keys().map(|zone| leds_collection_prefix(version, zone)).collect()
    } else {
        BTreeSet::new()
    };
    let localities = zones.into_iter().map(|(zone, endpoints)| {
        if separate { collection_locality(version, zone) } else { inline_locality(zone, &endpoints) }
    });
    let message = xds::ClusterLoadAssignment {
        cluster_name: name.clone(),
        endpoints: localities.collect(),
        policy: Some(shed_policy(shed_share)),
        ..xds::ClusterLoadAssignment::default()
    };
    ResourceMessage { name, references, bytes: message.encode_to_vec() }
}

/// A zone with its endpoints. The weight of the zone is the sum of their weights.
fn inline_locality(zone: &str, endpoints: &[&ConfiguredEndpoint]) -> xds::LocalityLbEndpoints {
    let weight = endpoints.iter().map(|endpoint| endpoint.weight).sum();
    xds::LocalityLbEndpoints {
        locality: Some(locality(zone)),
        lb_endpoints: endpoints.iter().map(|endpoint| lb_endpoint(endpoint)).collect(),
        load_balancing_weight: Some(to_uint32_value(weight)),
        ..xds::LocalityLbEndpoints::default()
    }
}

/// A zone that references an LEDS collection. A weight is not set: the EDS resource would change whenever an endpoint
/// does.
fn collection_locality(version: Version, zone: &str) -> xds::LocalityLbEndpoints {
    let collection = xds::LedsClusterLocalityConfig {
        leds_config: Some(aggregated_config_source()),
        leds_collection_name: format!("{}*", leds_collection_prefix(version, zone)),
    };
    let lb_config = xds::locality_lb_endpoints::LbConfig::LedsClusterLocalityConfig(collection);
    xds::LocalityLbEndpoints {
        locality: Some(locality(zone)),
        lb_config: Some(lb_config),
        ..xds::LocalityLbEndpoints::default()
    }
}

fn locality(zone: &str) -> Locality {
    Locality { zone: zone.to_string(), ..Locality::default() }
}

/// Makes proxies drop a share of requests to shed load.
fn shed_policy(shed_share: PartsPerMillion) -> Policy {
    let drop_percentage =
        FractionalPercent { numerator: shed_share.get(), denominator: DenominatorType::Million as i32 };
    let drop_overload =
        DropOverload { category: SHED_CATEGORY.to_string(), drop_percentage: Some(drop_percentage) };
    let drop_overloads = if shed_share > PartsPerMillion::ZERO { vec![drop_overload] } else { Vec::new() };
    Policy { drop_overloads, ..Default::default() }
}

/// Returns one LEDS resource for each endpoint.
pub(super) fn encode_separate_endpoints(proxy_config: &ProxyConfig) -> Vec<ResourceMessage> {
    let endpoints = proxy_config
        .endpoints
        .iter()
        .flat_map(|(version, endpoints)| endpoints.iter().map(|endpoint| (*version, endpoint)));
    endpoints.map(|(version, endpoint)| encode_separate_endpoint(version, endpoint)).collect()
}

fn encode_separate_endpoint(version: Version, endpoint: &ConfiguredEndpoint) -> ResourceMessage {
    let collection = leds_collection_prefix(version, &endpoint.zone);
    let sanitized = sanitize(&endpoint.endpoint);
    // Distinguishes endpoint ids that are equal after sanitizing.
    let discriminator = content_hash(endpoint.endpoint.bytes()) as u32;
    ResourceMessage {
        name: format!("{collection}{sanitized}-{discriminator:x}"),
        references: BTreeSet::new(),
        bytes: lb_endpoint(endpoint).encode_to_vec(),
    }
}

fn lb_endpoint(endpoint: &ConfiguredEndpoint) -> xds::LbEndpoint {
    let health = match endpoint.health {
        EndpointHealth::Healthy => HealthStatus::Healthy,
        EndpointHealth::Unhealthy => HealthStatus::Unhealthy,
        EndpointHealth::Draining => HealthStatus::Draining,
    };
    let identifier = xds::lb_endpoint::HostIdentifier::Endpoint(xds::Endpoint {
        address: Some(to_xds_address(endpoint.address)),
        observability_name: endpoint.endpoint.clone(),
        ..xds::Endpoint::default()
    });
    xds::LbEndpoint {
        health_status: health as i32,
        load_balancing_weight: Some(to_uint32_value(endpoint.weight)),
        host_identifier: Some(identifier),
        ..xds::LbEndpoint::default()
    }
}

fn group_by_zone(endpoints: &[ConfiguredEndpoint]) -> BTreeMap<&str, Vec<&ConfiguredEndpoint>> {
    let mut zones: BTreeMap<&str, Vec<&ConfiguredEndpoint>> = BTreeMap::new();
    for endpoint in endpoints {
        zones.entry(&endpoint.zone).or_default().push(endpoint);
    }
    zones
}
