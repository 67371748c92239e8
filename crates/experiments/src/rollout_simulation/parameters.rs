//! Sizes of hosts, times of the platform, and settings of the policy. All times are in ms.

use latchhaven_control_plane::control_plane::{ControlPlane, ControlPlaneConfig};
use latchhaven_policy::{Millis, Policy};
use latchhaven_proxy_config::proxy_config::ProxyConfigSettings;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::settings::{self, Settings};
use latchhaven_xds::resources::ListenerConfig;
use serde_json::json;
use std::net::SocketAddr;

/// A request class.
pub(super) struct ClassParameters {
    pub(super) name: &'static str,
    /// Its idempotency, as written in the settings.
    effect: &'static str,
    /// The value of an answer within the latency objective.
    pub(super) value: f64,
}

/// The request classes.
pub(super) const CLASSES: [ClassParameters; 3] = [
    ClassParameters { name: "look", effect: "idempotent", value: 1.0 },
    ClassParameters { name: "book", effect: "deduplicated", value: 3.0 },
    ClassParameters { name: "pay", effect: "at_most_once", value: 2.0 },
];
/// The classes from which requests are drawn.
pub(super) const CLASS_MIX: [usize; 6] = [0, 0, 0, 1, 1, 2];
/// The index of the class that must not be executed twice.
pub(super) const NON_IDEMPOTENT_CLASS: usize = 2;
/// The index of the class that only reads.
pub(super) const READ_CLASS: usize = 0;

/// Mean work of a request.
pub(super) const MEAN_WORK: Millis = 20.0;
/// Requests that a host executes concurrently.
pub(super) const WORKERS: usize = 4;
/// A host rejects requests that would be queued for longer.
pub(super) const MAX_QUEUE_TIME: Millis = 800.0;
/// The latency objective of a request.
pub(super) const LATENCY_OBJECTIVE: Millis = 300.0;
/// The timeout of a request.
pub(super) const REQUEST_TIMEOUT: Millis = 1500.0;
/// The warm-up time of a host.
pub(super) const WARM_UP: Millis = 2000.0;
/// The speed of a host at the start of its warm-up.
pub(super) const INITIAL_SPEED: f64 = 0.5;
/// The latency of a message.
pub(super) const NETWORK_LATENCY: Millis = 2.0;
/// Interval at which the platform, gateways and the control service act.
pub(super) const TICK: Millis = 10.0;
/// Ticks between two load reports of a proxy.
pub(super) const TICKS_PER_LOAD_REPORT: u64 = 100;
/// The time that a load report covers.
pub(super) const LOAD_REPORT_INTERVAL: Millis = 1000.0;

/// The canary's cap in each stage.
pub(super) const STAGE_CAPS: [f64; 3] = [0.12, 0.45, 1.0];
/// The share of the hosts that run the canary in each stage.
pub(super) const STAGE_HOST_SHARES: [f64; 3] = [0.1, 0.4, 1.0];
/// Requests to the canary in one window that do not count against its cap.
pub(super) const EXPOSURE_ALLOWANCE: f64 = 2.0;
/// The window of the cap.
pub(super) const EXPOSURE_WINDOW: Millis = 2000.0;
/// The time after which a lower cap applies.
pub(super) const DRAIN_GRACE: Millis = 2000.0;
/// The shortest time in a stage.
pub(super) const SOAK_TIME: Millis = 2000.0;
/// The duration of a rollback.
pub(super) const ROLLBACK_TIME: Millis = 1500.0;
/// The duration of a stage without canary analysis.
pub(super) const UNANALYSED_STAGE_TIME: Millis = 5_000.0;
/// When rollouts begin.
pub(super) const ROLLOUT_STARTS: [Millis; 2] = [5_000.0, 45_000.0];
/// Interval of the platform's outcome reports.
pub(super) const OUTCOME_REPORT_INTERVAL: Millis = 2000.0;
/// The age of outcomes in these reports.
pub(super) const OUTCOME_REPORT_AGE: Millis = 500.0;
/// The share of attempts that outcome reports cover.
pub(super) const OUTCOME_SAMPLE_SHARE: f64 = 0.2;

/// Hosts with the same IP address.
const HOSTS_PER_ADDRESS: usize = 250;
/// The port of the first of them.
const FIRST_PORT: usize = 5000;
/// The connect timeout in the configuration of proxies.
const CONNECT_TIMEOUT: Millis = 250.0;
/// Requests in flight to one endpoint at most.
const MAX_IN_FLIGHT_PER_ENDPOINT: u32 = 64;
/// Streams of the control service at most.
const MAX_STREAMS: usize = 1000;
/// The key with which version labels are signed.
const SIGNING_KEY: &[u8] = b"lab";
/// Milliseconds in one second.
pub(super) const MILLIS_PER_SECOND: Millis = 1000.0;

/// The settings of one of several gateways.
pub(super) fn read_settings(replica: usize, replicas: usize) -> Settings {
    settings::parse(&settings_text(replica, replicas)).expect("valid settings")
}

fn settings_text(replica: usize, replicas: usize) -> String {
    let classes = CLASSES.map(|class| {
        json!({"name": class.name, "aim-s": LATENCY_OBJECTIVE / MILLIS_PER_SECOND,
            "hard-limit-s": REQUEST_TIMEOUT / MILLIS_PER_SECOND, "effect": class.effect, "group": "all",
            "dedup-window-s": 5.0, "gain": class.value})
    });
    json!({"classes": classes,
        "domain": {"allowance": EXPOSURE_ALLOWANCE, "caps": STAGE_CAPS,
            "window-s": EXPOSURE_WINDOW / MILLIS_PER_SECOND, "counts": "all", "vote-mode": "single",
            "votes-to-go": 1, "votes-to-revert": 1, "vote-ttl-s": 6.0,
            "soak-s": SOAK_TIME / MILLIS_PER_SECOND, "style": "rolling"},
        "permissions": {"cancelling": true, "second-copies": false, "try-limit": 3},
        "rules": {"ask-within-s": 5.0, "drain-grace-s": DRAIN_GRACE / MILLIS_PER_SECOND,
            "cold-from": INITIAL_SPEED, "warm-up-s": WARM_UP / MILLIS_PER_SECOND, "tip-multiple": 3.0,
            "fall-s": 1.5},
        "registry-mode": "automatic", "me": replica, "replicas-of-me": replicas})
    .to_string()
}

/// The policies of all gateways.
pub(super) fn gateway_policies(count: usize, seed: u64) -> Vec<Policy> {
    (0..count).map(|gateway| read_settings(gateway, count).start_policy(seed ^ gateway as u64)).collect()
}

/// The signer of the versions that proxies receive.
pub(super) fn version_signer() -> VersionSigner {
    VersionSigner::new(Some(SIGNING_KEY.to_vec()))
}

/// A control service.
pub(super) fn control_plane(seed: u64, signer: VersionSigner) -> ControlPlane {
    let settings = read_settings(0, 1);
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

/// The address of a host.
pub(super) fn host_address(host: usize) -> SocketAddr {
    let last_octet = (host / HOSTS_PER_ADDRESS) as u8;
    let port = (FIRST_PORT + host % HOSTS_PER_ADDRESS) as u16;
    SocketAddr::from(([127, 0, 1, last_octet], port))
}

/// The host with an address.
pub(super) fn host_at(addr: SocketAddr) -> usize {
    let last_octet = match addr {
        SocketAddr::V4(addr) => addr.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    };
    usize::from(addr.port()) - FIRST_PORT + HOSTS_PER_ADDRESS * usize::from(last_octet)
}

/// The name of a host's endpoint.
pub(super) fn endpoint_name(host: usize) -> String {
    format!("s{host}")
}

/// The host of an endpoint name.
pub(super) fn host_of_endpoint(endpoint: &str) -> usize {
    endpoint[1..].parse().expect("the name of a host's endpoint")
}
