//! A control service that observes the platform and publishes resource snapshots.

use super::platform::PlatformState;
use latchhaven_policy::{
    Canary, DedupScope, EndpointSnapshot, ExposureConfig, Idempotency, PolicySnapshot, RequestClass,
    RolloutPhase, RolloutState, SlowStartConfig,
};
use latchhaven_proxy_config::freshness::VersionTracker;
use latchhaven_proxy_config::proxy_config::{self, ProxyConfig, ProxyConfigSettings};
use latchhaven_proxy_config::published_shares::PublishedShares;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_xds::resources::{ListenerConfig, ResourceConfig, ResourceSnapshot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

fn request_class(name: &str, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.to_string(),
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 5000.0,
        latency_objective: 600.0,
        objective_per_work: 0.0,
        timeout: 2000.0,
        priority_weight: 1.0,
        late_value_share: 0.0,
        streamed: false,
    }
}

fn settings() -> ProxyConfigSettings {
    let exposure =
        ExposureConfig { allowance: 2.0, stage_caps: vec![0.1], window: 2000.0, ..ExposureConfig::default() };
    ProxyConfigSettings {
        classes: vec![
            request_class("look", Idempotency::Idempotent),
            request_class("pay", Idempotency::NonIdempotent),
        ],
        exposure,
        slow_start: SlowStartConfig { overload_multiple: 3.0, ..SlowStartConfig::default() },
        max_attempts: 3,
        max_in_flight_per_endpoint: 64,
    }
}

fn listener_config(separate_endpoints: bool) -> ListenerConfig {
    ListenerConfig {
        address: endpoint_address(0),
        class_header: "x-product".to_string(),
        key_header: "x-key".to_string(),
        connect_timeout: 250.0,
        separate_endpoints,
    }
}

fn endpoint_id(index: usize) -> String {
    format!("s{index}")
}

fn endpoint_address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2000 + index as u16))
}

/// The label signer and the settings that both control services share.
pub(crate) struct ControlServiceConfig {
    pub(crate) signer: VersionSigner,
    /// Set when endpoints are also published as LEDS resources, not only inline in EDS resources.
    pub(crate) separate_endpoints: bool,
}

pub(crate) struct ControlService {
    pub(crate) version_tracker: VersionTracker,
    /// The published snapshot. `None` while publication is blocked after a start.
    pub(crate) snapshot: Option<ResourceSnapshot>,
    /// The index of the platform state that the service observed last.
    pub(crate) observed_state: usize,
}

impl ControlService {
    pub(crate) fn new(observed_state: usize) -> Self {
        ControlService { version_tracker: VersionTracker::default(), snapshot: None, observed_state }
    }

    pub(crate) fn observe(&mut self, platform: &PlatformState, service_config: &ControlServiceConfig) {
        let rollout = RolloutState { age: platform.now - platform.rollout_since, ..platform.rollout };
        self.version_tracker.apply_rollout_state(&rollout, false, platform.now);
        self.version_tracker.apply_endpoint_list(platform.list_version, true, platform.now);
        self.publish(platform, service_config);
    }

    fn publish(&mut self, platform: &PlatformState, service_config: &ControlServiceConfig) {
        let Ok(version) = self.version_tracker.config_version() else { return };
        // A proxy may have reported a newer rollout state than the one that this service observed.
        let policy = policy_snapshot(platform, version.rollout.to_state(platform.now));
        let proxy_config = self.proxy_config(platform, &policy);
        let listener = listener_config(service_config.separate_endpoints);
        let config = Arc::new(ResourceConfig { classes: settings().classes, listener });
        let previous = self.snapshot.as_ref();
        let snapshot =
            ResourceSnapshot::build(&proxy_config, version, &config, &service_config.signer, previous);
        self.snapshot = Some(snapshot);
    }

    fn proxy_config(&self, platform: &PlatformState, policy: &PolicySnapshot) -> ProxyConfig {
        let addresses: BTreeMap<_, _> = (0..platform.endpoints.len())
            .map(|index| (endpoint_id(index), endpoint_address(index)))
            .collect();
        let mut published_shares = PublishedShares::new(10);
        published_shares.on_connected(1);
        published_shares.set_request_rate(1, vec![1.0, 1.0]);
        let rolled_back = self.version_tracker.rolled_back_versions();
        proxy_config::build_proxy_config(
            policy,
            &settings(),
            rolled_back,
            &addresses,
            &published_shares,
            platform.now,
        )
    }
}

/// The state of the policy for this rollout. The version is a canary until promoted, if endpoints run the version.
fn policy_snapshot(platform: &PlatformState, rollout: RolloutState) -> PolicySnapshot {
    let has_endpoints = platform.endpoints.iter().any(|endpoint| endpoint.version == rollout.version);
    let canary = Canary { version: rollout.version, traffic_cap: rollout.traffic_cap, stage: rollout.stage };
    let is_canary = rollout.phase != RolloutPhase::Promoted && has_endpoints;
    let endpoints = platform.endpoints.iter().enumerate().map(|(index, endpoint)| EndpointSnapshot {
        endpoint: endpoint_id(index),
        version: endpoint.version,
        zone: format!("z{}", index % 2),
        is_ready: endpoint.is_ready,
        is_ejected: false,
        capacity: 1.0,
        is_warming_up: false,
    });
    PolicySnapshot {
        canaries: if is_canary { vec![canary] } else { Vec::new() },
        canary_share: if rollout.phase == RolloutPhase::Canary { 0.5 } else { 0.0 },
        endpoints: endpoints.collect(),
        ..PolicySnapshot::default()
    }
}
