//! The platform: it starts servers with the new version stage by stage, and acts on the votes.

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

/// The baseline: all servers run it at the start, and again after a rollback.
pub(super) const FIRST_VERSION: u32 = 1;
/// The largest share of requests that a version may get in each stage.
pub(super) const STAGE_CAPS: [f64; 2] = [0.3, 1.0];
/// Servers that run the version in each stage.
const STAGE_SERVERS: [usize; 2] = [2, 4];
/// The shortest time in a stage, and the duration of a rollback.
const SOAK_TIME: Duration = Duration::from_secs(1);
/// The longest time of a rollout; without a decision it then ends as undecided.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between two checks of the votes.
const VOTE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two printed lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The interval of failures among requests to a bad version.
const BAD_VERSION_FAILS_ONE_IN: usize = 3;
/// Parts per million in one percent.
const PARTS_PER_PERCENT: f64 = 1e4;

/// A version that the demo rolls out.
#[derive(Clone, Copy)]
pub(super) struct DemoVersion {
    pub(super) number: u32,
    pub(super) is_bad: bool,
}

impl DemoVersion {
    /// True if the rollout ended as expected: a bad version rolled back, a good one promoted.
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

/// The endpoint of a server that started with a version at this time, in Unix ms.
pub(super) fn endpoint(index: usize, server: &FakeServer, version: u32, started_at: u64) -> Value {
    let mut endpoint = host(&format!("s{index}"), server.addr, "up", version);
    endpoint["born_ms"] = json!(started_at);
    endpoint
}

fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The rollout of one version.
pub(super) struct Rollout<'a> {
    pub(super) platform: &'a FakePlatform,
    pub(super) servers: &'a [FakeServer],
    pub(super) proxies: &'a [FakeProxy],
    pub(super) counters: &'a OutcomeCounters,
    pub(super) version: DemoVersion,
    /// The start of printed times.
    pub(super) start: Instant,
}

/// The stage of a rollout, and when it began.
struct CurrentStage {
    index: usize,
    since: Instant,
}

impl CurrentStage {
    fn new(index: usize) -> Self {
        CurrentStage { index, since: Instant::now() }
    }

    fn is_last(&self) -> bool {
        self.index + 1 == STAGE_CAPS.len()
    }
}

impl Rollout<'_> {
    /// Runs the rollout until the votes decide on it, or until its timeout.
    pub(super) fn run(&self) -> RolloutEnd {
        let begin = Instant::now();
        let mut last_report = begin;
        let mut stage = CurrentStage::new(0);
        self.enter_stage(&stage);
        self.report("canary, stage 0");
        while begin.elapsed() < ROLLOUT_TIMEOUT {
            thread::sleep(VOTE_POLL_INTERVAL);
            let votes = self.platform.votes();
            if last_report.elapsed() >= REPORT_INTERVAL {
                last_report = Instant::now();
                self.report(&format!("canary, stage {}", stage.index));
            }
            if self.has_vote(&votes, &stage, "reject") {
                return self.roll_back(&stage);
            }
            if self.has_vote(&votes, &stage, "approve") && stage.since.elapsed() >= SOAK_TIME {
                if stage.is_last() {
                    return self.promote(&stage);
                }
                stage = CurrentStage::new(stage.index + 1);
                self.enter_stage(&stage);
                self.report(&format!("advanced to stage {}", stage.index));
            }
        }
        RolloutEnd::Undecided
    }

    fn has_vote(&self, votes: &[Vote], stage: &CurrentStage, word: &str) -> bool {
        votes.iter().any(|vote| {
            vote.version == u64::from(self.version.number)
                && vote.stage == stage.index as u64
                && vote.word == word
        })
    }

    fn enter_stage(&self, stage: &CurrentStage) {
        self.update_state(stage, "IN_PROGRESS", STAGE_CAPS[stage.index]);
        let first = if stage.index == 0 { 0 } else { STAGE_SERVERS[stage.index - 1] };
        self.start_servers(first..STAGE_SERVERS[stage.index], self.version);
    }

    fn roll_back(&self, stage: &CurrentStage) -> RolloutEnd {
        self.update_state(stage, "ROLLING_BACK", 0.0);
        self.report("rejected by vote");
        thread::sleep(SOAK_TIME);
        let baseline = DemoVersion { number: FIRST_VERSION, is_bad: false };
        self.start_servers(0..STAGE_SERVERS[stage.index], baseline);
        self.update_state(stage, "ROLLED_BACK", 0.0);
        thread::sleep(SOAK_TIME);
        self.report("rolled back");
        RolloutEnd::RolledBack
    }

    fn promote(&self, stage: &CurrentStage) -> RolloutEnd {
        self.update_state(stage, "COMPLETE", 1.0);
        self.start_servers(STAGE_SERVERS[stage.index]..self.servers.len(), self.version);
        thread::sleep(SOAK_TIME);
        self.report("promoted");
        RolloutEnd::Promoted
    }

    fn update_state(&self, stage: &CurrentStage, status: &str, cap: f64) {
        self.platform.update_rollout(self.version.number, stage.index as u32, status, cap);
    }

    /// Restarts servers with a version.
    fn start_servers(&self, indices: Range<usize>, version: DemoVersion) {
        let started_at = unix_time_ms();
        let endpoints: Vec<Value> = indices
            .clone()
            .map(|index| endpoint(index, &self.servers[index], version.number, started_at))
            .collect();
        for server in &self.servers[indices] {
            server.set_behavior(if version.is_bad {
                ServerBehavior::FailOneIn(BAD_VERSION_FAILS_ONE_IN, "XX000")
            } else {
                ServerBehavior::SucceedAfter(2)
            });
        }
        self.platform.update_hosts(&endpoints);
    }

    /// Prints one line: the time, the event, and the share of requests that each proxy routes to the version.
    fn report(&self, event: &str) {
        let version = self.version.number;
        let shares: Vec<String> = self
            .proxies
            .iter()
            .map(|proxy| f64::from(proxy.cache().version_share("look", version)) / PARTS_PER_PERCENT)
            .map(|percent| format!("{percent:.0}%"))
            .collect();
        let counts = self.counters.counts();
        println!(
            "{:6.1} s  version {version}: {event:<21} share at proxies {}  succeeded {}, failed {}",
            self.start.elapsed().as_secs_f64(),
            shares.join(" "),
            counts.succeeded,
            counts.failed
        );
    }
}
