//! A control plane under a simulated clock.

use super::hosts::{Host, ready};
use latchhaven_control_plane::control_plane::{ControlPlane, ControlPlaneConfig};
use latchhaven_control_plane::state_store::PersistedState;
use latchhaven_policy::{Action, Millis, RolloutPhase, RolloutState, Verdict, Version};
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::{Settings, settings as simulator_settings};
use latchhaven_xds::resources::{ListenerConfig, ResourceSnapshot};
use std::net::SocketAddr;
use std::sync::Arc;

const SETTINGS: &str = r#"{
    "classes": [{"name": "look", "aim-s": 0.6, "hard-limit-s": 2.0, "effect": "idempotent", "gain": 1.0},
        {"name": "pay", "aim-s": 0.6, "hard-limit-s": 2.0, "effect": "at_most_once", "gain": 1.0}],
    "domain": {"allowance": 2.0, "caps": [0.1, 0.5, 1.0], "window-s": 2.0, "counts": "all", "vote-mode": "single",
        "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 4.0, "style": "rolling"},
    "permissions": {"cancelling": true, "second-copies": false, "try-limit": 3},
    "rules": {"ask-within-s": 1.0, "drain-grace-s": 2.0, "cold-from": 0.5, "warm-up-s": 2.0, "tip-multiple": 3.0,
        "fall-s": 1.5},
    "registry-mode": "subscribe", "me": 0, "replicas-of-me": 1}"#;

/// Time between two polls while the clock advances.
const POLL_INTERVAL: Millis = 10.0;

/// A control plane with its clock, its last publication, and its votes.
pub(crate) struct TestService {
    pub(crate) control_plane: ControlPlane,
    pub(crate) now: Millis,
    pub(crate) snapshot: Option<Arc<ResourceSnapshot>>,
    pub(crate) persisted: Option<PersistedState>,
    pub(crate) signer: VersionSigner,
    pub(crate) votes: Vec<(Version, Verdict)>,
    /// The number of requests for a snapshot of the endpoint list.
    pub(crate) list_fetches: usize,
    last_stream: u64,
}

impl TestService {
    pub(crate) fn start(now: Millis, key: &str, persisted: Option<PersistedState>) -> Self {
        TestService::start_with(now, key, persisted, false)
    }

    pub(crate) fn start_with(
        now: Millis, key: &str, persisted: Option<PersistedState>, separate_endpoints: bool,
    ) -> Self {
        let signer = VersionSigner::new(Some(key.as_bytes().to_vec()));
        let config = ControlPlaneConfig {
            proxy_config: proxy_config_settings(&settings()),
            listener: ListenerConfig {
                address: SocketAddr::from(([127, 0, 0, 1], 10_000)),
                class_header: "x-product".to_string(),
                key_header: "x-key".to_string(),
                connect_timeout: 250.0,
                separate_endpoints,
            },
            signer: signer.clone(),
            max_streams: 100,
            platform_counts_only: false,
        };
        let control_plane = ControlPlane::new(settings().start_policy(7), config, persisted);
        TestService {
            control_plane,
            now,
            snapshot: None,
            persisted: None,
            signer,
            votes: Vec::new(),
            list_fetches: 0,
            last_stream: 0,
        }
    }

    /// Returns the number of a new stream.
    pub(crate) fn next_stream(&mut self) -> u64 {
        self.last_stream += 1;
        self.last_stream
    }

    /// Advances the clock, and polls the control plane at each interval.
    pub(crate) fn advance(&mut self, duration: Millis) {
        let until = self.now + duration;
        while self.now < until {
            self.now = (self.now + POLL_INTERVAL).min(until);
            self.poll();
        }
    }

    fn poll(&mut self) {
        let effects = self.control_plane.poll(self.now);
        for action in effects.actions {
            match action {
                Action::CastVote { version, verdict, .. } => self.votes.push((version, verdict)),
                Action::FetchEndpoints => self.list_fetches += 1,
                _ => {}
            }
        }
        if let Some(publication) = effects.publication {
            self.snapshot = Some(publication.snapshot);
            self.persisted = Some(publication.state);
        }
    }

    /// Reports a rollout state that began now, as the platform does.
    pub(crate) fn report_rollout(
        &mut self, version: Version, stage: u32, phase: RolloutPhase, traffic_cap: f64,
    ) {
        let rollout = RolloutState { version, stage, phase, traffic_cap, age: 0.0 };
        self.control_plane.on_rollout_state(rollout, self.now);
    }

    /// Delivers a snapshot of the endpoint list, as discovery does.
    pub(crate) fn update_list(&mut self, version: u64, hosts: &[Host]) {
        let entries = hosts.iter().map(|host| host.entry()).collect();
        self.control_plane.on_endpoint_list(version, true, entries, self.now);
    }

    /// Starts a canary of version 2 on two hosts, with version 1 as the baseline on two other hosts.
    pub(crate) fn start_canary(&mut self, stage: u32, traffic_cap: f64) {
        self.update_list(
            5,
            &[ready(1, Version(1)), ready(2, Version(1)), ready(3, Version(2)), ready(4, Version(2))],
        );
        self.report_rollout(Version(2), stage, RolloutPhase::Canary, traffic_cap);
        self.advance(20.0);
    }
}

fn settings() -> Settings {
    simulator_settings::parse(SETTINGS).expect("the settings are valid")
}

fn proxy_config_settings(settings: &Settings) -> ProxyConfigSettings {
    let limits = settings.publishing_limits();
    ProxyConfigSettings {
        classes: settings.classes(),
        exposure: limits.exposure,
        slow_start: limits.slow_start,
        max_attempts: limits.max_attempts,
        max_in_flight_per_endpoint: 64,
    }
}
