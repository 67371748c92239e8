//! Capacity and latency of hosts, timing of the platform, and settings of the policy and the control service.

use latchhaven_control_plane::control_plane::{ControlPlane, ControlPlaneConfig};
use latchhaven_policy::{Millis, Policy, Version};
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::settings::{self, Settings};
use latchhaven_xds::resources::ListenerConfig;
use serde_json::json;
use std::net::SocketAddr;

pub(super) struct ClassParameters {
    pub(super) name: &'static str,
    /// Idempotency of the class, in the words of the settings.
    effect: &'static str,
    /// Weight of a request of the class in the results: the sum over the requests that succeed within the latency
    /// objective is compared with the sum over all requests.
    pub(super) value: f64,
}

pub(super) const CLASSES: [ClassParameters; 3] = [
    ClassParameters { name: "look", effect: "idempotent", value: 1.0 },
    ClassParameters { name: "book", effect: "deduplicated", value: 3.0 },
    ClassParameters { name: "pay", effect: "at_most_once", value: 2.0 },
];
/// Class indexes from which the class of a request is drawn uniformly: half, a third and a sixth of all requests.
pub(super) const CLASS_MIX: [usize; 6] = [0, 0, 0, 1, 1, 2];
/// Index in [`CLASSES`] of the class whose requests must not be executed twice.
pub(super) const NON_IDEMPOTENT_CLASS: usize = 2;
/// Index in [`CLASSES`] of the class that only reads.
pub(super) const READ_CLASS: usize = 0;

/// Mean time for which a request occupies a worker of a host at full speed.
pub(super) const MEAN_SERVICE_TIME: Millis = 20.0;
/// Number of requests that a host executes concurrently.
pub(super) const WORKERS_PER_HOST: usize = 4;
/// A host rejects a request that would wait longer for a worker.
pub(super) const MAX_QUEUE_TIME: Millis = 800.0;
pub(super) const LATENCY_OBJECTIVE: Millis = 300.0;
pub(super) const REQUEST_TIMEOUT: Millis = 1500.0;
/// Time in which a started host reaches full speed.
pub(super) const WARM_UP_TIME: Millis = 2000.0;
/// Speed of a host at the start of its warm-up, as a share of full speed.
pub(super) const WARM_UP_INITIAL_SPEED: f64 = 0.5;
/// Latency of a message in one direction.
pub(super) const NETWORK_LATENCY: Millis = 2.0;
/// Interval at which the platform, gateways and the control service act.
pub(super) const TICK: Millis = 10.0;
/// Ticks between two load reports of a proxy.
pub(super) const TICKS_PER_LOAD_REPORT: u64 = 100;
/// Time that a load report covers.
pub(super) const LOAD_REPORT_INTERVAL: Millis = TICKS_PER_LOAD_REPORT as f64 * TICK;

/// The version that all hosts run before the first rollout.
pub(super) const INITIAL_VERSION: Version = Version(1);
/// The version of each rollout. One of them is bad.
pub(super) const ROLLOUT_VERSIONS: [Version; 2] = [Version(2), Version(3)];
/// Share of the requests that the canary may receive in each stage.
pub(super) const STAGE_CAPS: [f64; 3] = [0.12, 0.45, 1.0];
/// Share of the hosts that run the canary in each stage.
pub(super) const STAGE_HOST_SHARES: [f64; 3] = [0.1, 0.4, 1.0];
/// Number of requests to the canary in one window that do not count against its cap.
pub(super) const EXPOSURE_ALLOWANCE_PER_WINDOW: f64 = 2.0;
/// Sliding window over which the canary's cap is checked.
pub(super) const EXPOSURE_WINDOW: Millis = 2000.0;
/// Time for which traffic may still exceed a lowered cap.
pub(super) const DRAIN_GRACE_PERIOD: Millis = 2000.0;
/// Minimum time in a stage before the next one.
pub(super) const SOAK_TIME: Millis = 2000.0;
/// Time from the rejection of a version until all hosts run the baseline.
pub(super) const ROLLBACK_TIME: Millis = 1500.0;
/// Duration of a stage in [`RoutingMode::Even`](super::model::RoutingMode::Even), which has no canary analysis.
pub(super) const STAGE_TIME_WITHOUT_ANALYSIS: Millis = 5_000.0;
/// Earliest start of each rollout; a rollout also waits until the one before is promoted or rolled back.
pub(super) const ROLLOUT_STARTS: [Millis; 2] = [5_000.0, 45_000.0];
pub(super) const OUTCOME_REPORT_INTERVAL: Millis = 2000.0;
/// Age that outcome reports state for their data.
pub(super) const OUTCOME_REPORT_AGE: Millis = 500.0;
/// Share of the completed attempts that outcome reports cover.
pub(super) const OUTCOME_SAMPLE_SHARE: f64 = 0.2;

/// Number of hosts that share an IP address, on consecutive ports.
const HOSTS_PER_ADDRESS: usize = 250;
/// Port of the first host on each IP address.
const FIRST_PORT: usize = 5000;
/// Timeout of connections in the configuration of proxies; the simulation opens no connections.
const CONNECT_TIMEOUT: Millis = 250.0;
/// Limit of attempts in flight from one proxy to one endpoint, in the configuration of proxies.
const MAX_IN_FLIGHT_PER_ENDPOINT: u32 = 64;
/// Limit of concurrent streams to the control service.
const MAX_STREAMS: usize = 1000;
/// Key with which the control service signs version labels.
const SIGNING_KEY: &[u8] = b"lab";
pub(super) const MILLIS_PER_SECOND: Millis = 1000.0;

/// The settings of gateway `replica`, counted from 0, of `replicas` gateways.
pub(super) fn gateway_settings(replica: usize, replicas: usize) -> Settings {
    settings::parse(&gateway_settings_json(replica, replicas)).expect("valid settings")
}

fn gateway_settings_json(replica: usize, replicas: usize) -> String {
    let classes = CLASSES.map(|class| {
        json!({"name": class.name, "aim-s": LATENCY_OBJECTIVE / MILLIS_PER_SECOND,
            "hard-limit-s": REQUEST_TIMEOUT / MILLIS_PER_SECOND, "effect": class.effect, "group": "all",
            "dedup-window-s": 5.0, "gain": class.value})
    });
    json!({"classes": classes,
        "domain": {"allowance": EXPOSURE_ALLOWANCE_PER_WINDOW, "caps": STAGE_CAPS,
            "window-s": EXPOSURE_WINDOW / MILLIS_PER_SECOND, "counts": "all", "vote-mode": "single",
            "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 6.0,
            "soak-s": SOAK_TIME / MILLIS_PER_SECOND, "style": "rolling"},
        "permissions": {"cancelling": true, "second-copies": false, "try-limit": 3},
        "rules": {"ask-within-s": 5.0, "drain-grace-s": DRAIN_GRACE_PERIOD / MILLIS_PER_SECOND,
            "cold-from": WARM_UP_INITIAL_SPEED, "warm-up-s": WARM_UP_TIME / MILLIS_PER_SECOND,
            "tip-multiple": 3.0, "fall-s": 1.5},
        "registry-mode": "automatic", "me": replica, "replicas-of-me": replicas})
    .to_string()
}

/// A started policy for each of `count` gateways, with different seeds.
pub(super) fn gateway_policies(count: usize, seed: u64) -> Vec<Policy> {
    (0..count).map(|gateway| gateway_settings(gateway, count).start_policy(seed ^ gateway as u64)).collect()
}

/// The signer of the version labels that proxies receive and return.
pub(super) fn version_signer() -> VersionSigner {
    VersionSigner::new(Some(SIGNING_KEY.to_vec()))
}

/// A control service with the settings of a single gateway, started without a stored state.
pub(super) fn control_plane(seed: u64, signer: VersionSigner) -> ControlPlane {
    let settings = gateway_settings(0, 1);
    let limits = settings.publishing_limits();
    let proxy_config = ProxyConfigSettings {
        classes: settings.classes(),
        exposure: limits.exposure,
        slow_start: limits.slow_start,
        max_attempts: limits.max_attempts,
        max_in_flight_per_endpoint: MAX_IN_FLIGHT_PER_ENDPOINT,
    };
    let listener = ListenerConfig {
        address: host_address(0),
        class_header: "x-product".to_string(),
        key_header: "x-key".to_string(),
        connect_timeout: CONNECT_TIMEOUT,
        separate_endpoints: true,
    };
    let config = ControlPlaneConfig {
        proxy_config,
        listener,
        signer,
        max_streams: MAX_STREAMS,
        platform_counts_only: false,
    };
    ControlPlane::new(settings.start_policy(seed), config, None)
}

pub(super) fn host_address(host: usize) -> SocketAddr {
    let last_octet = (host / HOSTS_PER_ADDRESS) as u8;
    let port = (FIRST_PORT + host % HOSTS_PER_ADDRESS) as u16;
    SocketAddr::from(([127, 0, 1, last_octet], port))
}

/// Index of the host with an address of [`host_address`].
pub(super) fn host_at(addr: SocketAddr) -> usize {
    let last_octet = match addr {
        SocketAddr::V4(addr) => addr.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    usize::from(addr.port()) - FIRST_PORT + HOSTS_PER_ADDRESS * usize::from(last_octet)
}

pub(super) fn endpoint_name(host: usize) -> String {
    format!("s{host}")
}

/// Index of the host with a name of [`endpoint_name`].
pub(super) fn host_of_endpoint(endpoint: &str) -> usize {
    endpoint[1..].parse().expect("the name of a host's endpoint")
}
