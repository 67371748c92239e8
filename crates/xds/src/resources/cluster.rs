//! Cluster resources (CDS): one for each pair of version and request class, and a cluster that rejects all requests.

use super::config::ResourceConfig;
use super::encoding::{ResourceMessage, aggregated_config_source, to_duration, to_uint32_value};
use super::names::{REJECT_CLUSTER, cluster_name, endpoints_name};
use crate::limits;
use crate::pb::envoy::config::cluster::v3::{self as xds, cluster};
use crate::pb::envoy::r#type::v3::Percent;
use latchhaven_proxy_config::proxy_config::{Cluster, ProxyConfig};
use prost::Message;
use std::collections::BTreeSet;

/// Returns the clusters of a configuration, and the cluster that rejects all requests.
pub(super) fn encode_clusters(proxy_config: &ProxyConfig, config: &ResourceConfig) -> Vec<ResourceMessage> {
    let versions = proxy_config.clusters.iter().map(|cluster| encode_cluster(cluster, config));
    versions.chain([encode_reject_cluster(config)]).collect()
}

pub(super) fn encode_cluster(cluster: &Cluster, config: &ResourceConfig) -> ResourceMessage {
    let class = &config.classes[cluster.class];
    let name = cluster_name(cluster.version, &class.name);
    let service_name = endpoints_name(cluster.version);
    let eds_cluster_config = cluster::EdsClusterConfig {
        eds_config: Some(aggregated_config_source()),
        service_name: service_name.clone(),
    };
    let circuit_breakers =
        xds::CircuitBreakers { thresholds: vec![thresholds(cluster)], ..Default::default() };
    let common_lb_config = cluster::CommonLbConfig {
        // Disables Envoy's panic mode, in which requests are sent to draining endpoints if few healthy ones remain.
        healthy_panic_threshold: Some(Percent { value: 0.0 }),
        ..Default::default()
    };
    let message = xds::Cluster {
        name: name.clone(),
        connect_timeout: Some(to_duration(config.listener.connect_timeout)),
        cluster_discovery_type: Some(cluster::ClusterDiscoveryType::Type(cluster::DiscoveryType::Eds as i32)),
        eds_cluster_config: Some(eds_cluster_config),
        lb_policy: cluster::LbPolicy::LeastRequest as i32,
        circuit_breakers: Some(circuit_breakers),
        common_lb_config: Some(common_lb_config),
        ..xds::Cluster::default()
    };
    ResourceMessage { name, references: BTreeSet::from([service_name]), bytes: message.encode_to_vec() }
}

/// Limits of the circuit breakers, which each proxy applies to its own requests.
fn thresholds(cluster: &Cluster) -> xds::circuit_breakers::Thresholds {
    let max_retries = limits::max_retries_in_flight(cluster.max_in_flight, cluster.allows_retries);
    xds::circuit_breakers::Thresholds {
        max_requests: Some(to_uint32_value(cluster.max_in_flight)),
        max_pending_requests: Some(to_uint32_value(cluster.max_in_flight)),
        max_retries: Some(to_uint32_value(max_retries)),
        ..Default::default()
    }
}

/// A cluster without endpoints: proxies reject requests that are routed to it.
fn encode_reject_cluster(config: &ResourceConfig) -> ResourceMessage {
    let discovery_type = cluster::ClusterDiscoveryType::Type(cluster::DiscoveryType::Static as i32);
    let message = xds::Cluster {
        name: REJECT_CLUSTER.to_string(),
        connect_timeout: Some(to_duration(config.listener.connect_timeout)),
        cluster_discovery_type: Some(discovery_type),
        ..xds::Cluster::default()
    };
    ResourceMessage {
        name: REJECT_CLUSTER.to_string(),
        references: BTreeSet::new(),
        bytes: message.encode_to_vec(),
    }
}
