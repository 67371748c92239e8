//! The decisions that the platform reports: versions are rolled out, advanced to the next stage and rolled back; in
//! between, single hosts drain and become available again.

use latchhaven_policy::Version;
use latchhaven_proxy_config::version::{RolloutStatus, RolloutVersion};
use latchhaven_test_support::fake_platform::FakePlatform;
use latchhaven_test_support::platform_messages::host;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a lower cap must be met: the drain grace period of the configuration, and the latency of sockets.
pub(super) const CAP_GRACE_PERIOD: Duration = Duration::from_millis(2_050);
/// Version that all hosts run at the start.
const BASELINE: u32 = 1;
/// Cap of canary traffic in each stage, as a share of all traffic.
const STAGE_CAPS: [f64; 3] = [0.1, 0.5, 1.0];
/// One in this many decisions concerns the rollout; the others concern single hosts.
const DECISIONS_PER_ROLLOUT_STEP: u64 = 3;
/// One in this many hosts runs the canary during a rollout.
const HOSTS_PER_CANARY_HOST: usize = 4;
/// Changes the seed, so that the random numbers of this script differ from those of the proxies.
const SEED_MASK: u64 = 7;
const ZONES: usize = 3;
/// Hosts whose addresses differ only in the last octet.
const HOSTS_PER_SUBNET: usize = 200;
const HOST_PORT: u16 = 5432;

/// Condition on the state of a proxy that uses a decision.
#[derive(Clone, Copy, Debug)]
pub(super) enum Expectation {
    /// The rollout at the proxy is in this state or a later one.
    Rollout { version: u32, status: RolloutStatus, stage: u32 },
    /// The endpoint list at the proxy has this version or a later one.
    EndpointList(u64),
}

impl Expectation {
    /// The condition at the start, when all hosts run the baseline.
    pub(super) const INITIAL: Expectation =
        Expectation::Rollout { version: BASELINE, status: RolloutStatus::Promoted, stage: 0 };

    /// `list_version`: the version of the proxy's endpoint list; 0 without a list.
    pub(super) fn is_met(&self, rollout: Option<RolloutVersion>, list_version: u64) -> bool {
        match self {
            Expectation::EndpointList(version) => list_version >= *version,
            Expectation::Rollout { version, status, stage } => rollout.is_some_and(|current| {
                (current.version, current.status, current.stage) >= (Version(*version), *status, *stage)
            }),
        }
    }
}

/// A decision of the platform, and what shows that a proxy uses the decision.
#[derive(Clone, Copy, Debug)]
pub(super) struct Decision {
    pub(super) at: Instant,
    pub(super) expectation: Expectation,
}

/// A cap of canary traffic that the platform reported.
struct CapChange {
    at: Instant,
    version: u32,
    cap: f64,
}

/// Entries of the first endpoint list: all hosts are up and run the baseline.
pub(super) fn initial_hosts(count: usize) -> Vec<Value> {
    (0..count).map(|index| entry(index, "up", BASELINE)).collect()
}

fn entry(index: usize, health: &str, version: u32) -> Value {
    let subnet = (1 + index / HOSTS_PER_SUBNET) as u8;
    let last_octet = (1 + index % HOSTS_PER_SUBNET) as u8;
    let addr = SocketAddr::from(([127, 0, subnet, last_octet], HOST_PORT));
    let mut entry = host(&format!("s{index}"), addr, health, version);
    entry["site"] = json!(format!("zone-{}", index % ZONES));
    entry
}

/// Draws and reports the decisions, and records the caps that were reported.
pub(super) struct RolloutScript {
    platform: FakePlatform,
    host_count: usize,
    rng: Pcg64Mcg,
    /// Newest version; the baseline before the first rollout.
    pub(super) version: u32,
    stage: u32,
    /// Hosts that run the canary; empty between rollouts.
    canary_hosts: Vec<usize>,
    draining_host: Option<usize>,
    decisions: u64,
    /// All caps reported so far, in the order of time.
    caps: Vec<CapChange>,
}

impl RolloutScript {
    pub(super) fn new(platform: FakePlatform, host_count: usize, seed: u64) -> Self {
        RolloutScript {
            platform,
            host_count,
            rng: Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK),
            version: BASELINE,
            stage: 0,
            canary_hosts: Vec::new(),
            draining_host: None,
            decisions: 0,
            caps: Vec::new(),
        }
    }

    /// Makes the next decision and reports it to the platform's clients.
    pub(super) fn step(&mut self) -> Decision {
        let at = Instant::now();
        self.decisions += 1;
        let expectation = if self.decisions.is_multiple_of(DECISIONS_PER_ROLLOUT_STEP) {
            self.advance_rollout()
        } else {
            self.drain_or_restore_host()
        };
        Decision { at, expectation }
    }

    fn drain_or_restore_host(&mut self) -> Expectation {
        if let Some(index) = self.draining_host.take() {
            return self.update_hosts(&[entry(index, "up", BASELINE)]);
        }
        let index = self.rng.random_range(self.canary_hosts.len()..self.host_count);
        self.draining_host = Some(index);
        self.update_hosts(&[entry(index, "draining", BASELINE)])
    }

    fn advance_rollout(&mut self) -> Expectation {
        if self.canary_hosts.is_empty() {
            return self.begin_rollout();
        }
        let version = self.version;
        match self.stage {
            0 => {
                self.stage = 1;
                self.update_rollout("IN_PROGRESS", 1, STAGE_CAPS[1]);
                Expectation::Rollout { version, status: RolloutStatus::Canary, stage: 1 }
            }
            1 => {
                self.stage = 2;
                self.update_rollout("ROLLING_BACK", 1, 0.0);
                Expectation::Rollout { version, status: RolloutStatus::RollingBack, stage: 1 }
            }
            _ => self.finish_rollback(),
        }
    }

    fn begin_rollout(&mut self) -> Expectation {
        self.canary_hosts = (0..self.host_count.div_ceil(HOSTS_PER_CANARY_HOST)).collect();
        self.version += 1;
        self.stage = 0;
        // The rollout is reported first, so that its hosts are canaries as soon as they are listed.
        self.update_rollout("IN_PROGRESS", 0, STAGE_CAPS[0]);
        let hosts: Vec<Value> =
            self.canary_hosts.iter().map(|index| entry(*index, "up", self.version)).collect();
        self.update_hosts(&hosts)
    }

    fn finish_rollback(&mut self) -> Expectation {
        self.update_rollout("ROLLED_BACK", 1, 0.0);
        let canary_hosts = std::mem::take(&mut self.canary_hosts);
        let hosts: Vec<Value> = canary_hosts.iter().map(|index| entry(*index, "up", BASELINE)).collect();
        self.update_hosts(&hosts)
    }

    fn update_hosts(&self, hosts: &[Value]) -> Expectation {
        Expectation::EndpointList(self.platform.update_hosts(hosts))
    }

    fn update_rollout(&mut self, status: &str, stage: u32, cap: f64) {
        self.platform.update_rollout(self.version, stage, status, cap);
        self.caps.push(CapChange { at: Instant::now(), version: self.version, cap });
    }

    /// Highest cap that applies to the newest version now. After a change, the earlier cap applies as well during
    /// `CAP_GRACE_PERIOD`.
    pub(super) fn binding_cap(&self) -> f64 {
        let now = Instant::now();
        let is_recent = |change: &&CapChange| now.duration_since(change.at) < CAP_GRACE_PERIOD;
        let recent_count = self.caps.iter().rev().take_while(is_recent).count();
        let (earlier, recent) = self.caps.split_at(self.caps.len() - recent_count);
        let newest = self.last_cap(&self.caps).unwrap_or(STAGE_CAPS[0]);
        if recent.is_empty() {
            return newest;
        }
        let own_caps = recent.iter().filter(|change| change.version == self.version);
        let highest = own_caps.map(|change| change.cap).fold(newest, f64::max);
        // The cap before the oldest recent change still applied within the grace period.
        highest.max(self.last_cap(earlier).unwrap_or(0.0))
    }

    /// Last cap among `changes` of the newest version; `None` without such a change.
    fn last_cap(&self, changes: &[CapChange]) -> Option<f64> {
        changes.iter().rev().find(|change| change.version == self.version).map(|change| change.cap)
    }
}
