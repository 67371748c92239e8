//! The platform's state: a rollout, and endpoints with their versions.

use latchhaven_policy::{Millis, RolloutPhase, RolloutState, Version};

/// Stages of a rollout before it is promoted.
const LAST_STAGE: u32 = 2;

/// One endpoint of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Host {
    pub(crate) version: Version,
    pub(crate) is_ready: bool,
}

/// The platform's state at one moment.
#[derive(Clone, Debug)]
pub(crate) struct PlatformState {
    pub(crate) rollout: RolloutState,
    pub(crate) hosts: Vec<Host>,
    pub(crate) list_version: u64,
    pub(crate) now: Millis,
    /// When the state of the rollout began, in ms.
    pub(crate) rollout_since: Millis,
}

impl PlatformState {
    pub(crate) fn initial() -> Self {
        let rollout = RolloutState {
            version: Version(1),
            stage: 0,
            phase: RolloutPhase::Promoted,
            traffic_cap: 1.0,
            age: 0.0,
        };
        let host = Host { version: Version(1), is_ready: true };
        PlatformState {
            rollout,
            hosts: vec![host; 4],
            list_version: 1,
            now: 10_000.0,
            rollout_since: 9_000.0,
        }
    }

    /// The next state: a rollout that begins, advances, rolls back or has rolled back, or an endpoint that starts or
    /// ends draining.
    pub(crate) fn next(&self, kind: u8, pick: usize) -> PlatformState {
        let mut next = self.clone();
        next.now += 5_000.0;
        let picked = pick % next.hosts.len();
        match (kind % 6, self.rollout.phase) {
            (0, RolloutPhase::Promoted | RolloutPhase::RolledBack) => next.begin_rollout(picked),
            (1, RolloutPhase::Canary) => next.advance_rollout(),
            (2, RolloutPhase::Canary | RolloutPhase::Promoted) => {
                next.rollout.phase = RolloutPhase::RollingBack;
                next.rollout.traffic_cap = 0.0;
            }
            (3, RolloutPhase::RollingBack) => next.finish_rollback(),
            _ => {
                next.hosts[picked].is_ready = !next.hosts[picked].is_ready;
                next.list_version += 1;
            }
        }
        next.rollout_since = if next.rollout == self.rollout { self.rollout_since } else { next.now };
        next
    }

    fn begin_rollout(&mut self, first_host: usize) {
        self.rollout.version = Version(self.rollout.version.0 + 1);
        self.rollout.stage = 0;
        self.rollout.phase = RolloutPhase::Canary;
        self.rollout.traffic_cap = 0.1;
        self.hosts[first_host] = Host { version: self.rollout.version, is_ready: true };
        self.list_version += 1;
    }

    fn advance_rollout(&mut self) {
        if self.rollout.stage < LAST_STAGE {
            self.rollout.stage += 1;
            self.rollout.traffic_cap = 0.5;
            return;
        }
        self.rollout.phase = RolloutPhase::Promoted;
        self.rollout.traffic_cap = 1.0;
        for host in &mut self.hosts {
            host.version = self.rollout.version;
        }
        self.list_version += 1;
    }

    fn finish_rollback(&mut self) {
        self.rollout.phase = RolloutPhase::RolledBack;
        let rejected = self.rollout.version;
        let baseline = Version(rejected.0 - 1);
        for host in self.hosts.iter_mut().filter(|host| host.version == rejected) {
            host.version = baseline;
        }
        self.list_version += 1;
    }
}
