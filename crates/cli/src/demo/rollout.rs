//! Acts as the platform: restarts servers with the new version stage by stage, and promotes it or rolls it back as the
//! votes decide.

use super::clients::OutcomeCounters;
use latchhaven_test_support::fake_platform::{FakePlatform, Vote};
use latchhaven_test_support::fake_proxy::FakeProxy;
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::platform_messages::host;
use serde_json::{Value, json};
use std::fmt;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The version of all servers at the start of the demo, and of restarted servers in a rollback.
pub(super) const FIRST_VERSION: u32 = 1;
/// The cap of canary traffic in each stage, as a share of all requests.
pub(super) const STAGE_CAPS: [f64; 2] = [0.3, 1.0];
/// How many servers run the new version in each stage.
const STAGE_SERVERS: [usize; 2] = [2, 4];
/// The shortest time in a stage, and the pause after each step of a promotion or rollback.
const SOAK_TIME: Duration = Duration::from_secs(1);
/// A rollout without a decision ends as undecided after this.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);
const VOTE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which the progress of a stage is printed.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// One of this many requests to a server with a bad version fails.
const BAD_VERSION_FAILS_ONE_IN: usize = 3;
const PARTS_PER_MILLION_PER_PERCENT: f64 = 1e4;
/// How long a server takes to respond.
pub(super) const SERVER_LATENCY_MS: u64 = 2;
/// The SQLSTATE with which requests to a bad version fail.
const INTERNAL_ERROR: &str = "XX000";

/// A version that the demo rolls out.
#[derive(Clone, Copy)]
pub(super) struct DemoVersion {
    pub(super) number: u32,
    pub(super) is_bad: bool,
}

impl DemoVersion {
    /// Returns `true` if this is how the rollout should end: a bad version rolled back, a good one promoted.
    pub(super) fn expects(self, end: RolloutEnd) -> bool {
        end == if self.is_bad { RolloutEnd::RolledBack } else { RolloutEnd::Promoted }
    }
}

/// How a rollout ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RolloutEnd {
    Promoted,
    RolledBack,
    Undecided,
}

impl fmt::Display for RolloutEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            RolloutEnd::Promoted => "promoted",
            RolloutEnd::RolledBack => "rolled back",
            RolloutEnd::Undecided => "undecided",
        })
    }
}

/// The list entry of a server that was started with a version. `started_at`: Unix time in ms.
pub(super) fn endpoint(index: usize, server: &FakeServer, version: u32, started_at: u64) -> Value {
    let mut endpoint = host(&format!("s{index}"), server.addr, "up", version);
    endpoint["born_ms"] = json!(started_at);
    endpoint
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The rollout of one version, and what it acts on.
pub(super) struct Rollout<'a> {
    pub(super) platform: &'a FakePlatform,
    pub(super) servers: &'a [FakeServer],
    pub(super) proxies: &'a [FakeProxy],
    pub(super) counters: &'a OutcomeCounters,
    pub(super) version: DemoVersion,
    /// Printed times are relative to this.
    pub(super) demo_started_at: Instant,
}

struct CurrentStage {
    index: usize,
    entered_at: Instant,
}

impl CurrentStage {
    fn new(index: usize) -> Self {
        CurrentStage { index, entered_at: Instant::now() }
    }

    fn is_last(&self) -> bool {
        self.index + 1 == STAGE_CAPS.len()
    }
}

impl Rollout<'_> {
    /// Runs the rollout until the votes decide on it, or until its timeout.
    pub(super) fn run(&self) -> RolloutEnd {
        let rollout_started_at = Instant::now();
        let mut last_printed_at = rollout_started_at;
        let mut stage = CurrentStage::new(0);
        self.enter_stage(&stage);
        self.print_progress("canary, stage 0");
        while rollout_started_at.elapsed() < ROLLOUT_TIMEOUT {
            thread::sleep(VOTE_POLL_INTERVAL);
            let votes = self.platform.votes();
            if last_printed_at.elapsed() >= PROGRESS_INTERVAL {
                last_printed_at = Instant::now();
                self.print_progress(&format!("canary, stage {}", stage.index));
            }
            if self.has_vote(&votes, &stage, "reject") {
                return self.roll_back(&stage);
            }
            if self.has_vote(&votes, &stage, "approve") && stage.entered_at.elapsed() >= SOAK_TIME {
                if stage.is_last() {
                    return self.promote(&stage);
                }
                stage = CurrentStage::new(stage.index + 1);
                self.enter_stage(&stage);
                self.print_progress(&format!("advanced to stage {}", stage.index));
            }
        }
        RolloutEnd::Undecided
    }

    fn has_vote(&self, votes: &[Vote], stage: &CurrentStage, word: &str) -> bool {
        votes.iter().any(|vote| {
            vote.version == u64::from(self.version.number)
                && vote.stage == stage.index as u64
                && vote.decision == word
        })
    }

    fn enter_stage(&self, stage: &CurrentStage) {
        self.update_state(stage, "IN_PROGRESS", STAGE_CAPS[stage.index]);
        let first = if stage.index == 0 { 0 } else { STAGE_SERVERS[stage.index - 1] };
        self.restart_servers(first..STAGE_SERVERS[stage.index], self.version);
    }

    fn roll_back(&self, stage: &CurrentStage) -> RolloutEnd {
        self.update_state(stage, "ROLLING_BACK", 0.0);
        self.print_progress("rejected by vote");
        thread::sleep(SOAK_TIME);
        let baseline = DemoVersion { number: FIRST_VERSION, is_bad: false };
        self.restart_servers(0..STAGE_SERVERS[stage.index], baseline);
        self.update_state(stage, "ROLLED_BACK", 0.0);
        thread::sleep(SOAK_TIME);
        self.print_progress("rolled back");
        RolloutEnd::RolledBack
    }

    fn promote(&self, stage: &CurrentStage) -> RolloutEnd {
        self.update_state(stage, "COMPLETE", 1.0);
        self.restart_servers(STAGE_SERVERS[stage.index]..self.servers.len(), self.version);
        thread::sleep(SOAK_TIME);
        self.print_progress("promoted");
        RolloutEnd::Promoted
    }

    fn update_state(&self, stage: &CurrentStage, status: &str, cap: f64) {
        self.platform.update_rollout(self.version.number, stage.index as u32, status, cap);
    }

    /// Changes these servers to a version and publishes them as restarted just now.
    fn restart_servers(&self, indices: Range<usize>, version: DemoVersion) {
        let started_at = unix_time_ms();
        let endpoints: Vec<Value> = indices
            .clone()
            .map(|index| endpoint(index, &self.servers[index], version.number, started_at))
            .collect();
        for server in &self.servers[indices] {
            server.set_behavior(if version.is_bad {
                ServerBehavior::FailOneIn(BAD_VERSION_FAILS_ONE_IN, INTERNAL_ERROR)
            } else {
                ServerBehavior::SucceedAfter(SERVER_LATENCY_MS)
            });
        }
        self.platform.update_hosts(&endpoints);
    }

    /// Prints one line: the time, the event, the share of requests that each proxy routes to the version, and the
    /// outcomes at the gateway so far.
    fn print_progress(&self, event: &str) {
        let version = self.version.number;
        let shares: Vec<String> = self
            .proxies
            .iter()
            .map(|proxy| {
                f64::from(proxy.cache().version_share("look", version)) / PARTS_PER_MILLION_PER_PERCENT
            })
            .map(|percent| format!("{percent:.0}%"))
            .collect();
        let counts = self.counters.counts();
        println!(
            "{:6.1} s  version {version}: {event:<21} share at proxies {}  succeeded {}, failed {}",
            self.demo_started_at.elapsed().as_secs_f64(),
            shares.join(" "),
            counts.succeeded,
            counts.failed
        );
    }
}
