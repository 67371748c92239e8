//! The platform: a rollout, and the endpoints with their versions.

use latchhaven_policy::{Millis, RolloutPhase, RolloutState, Version};

/// The last stage of a rollout before the version is promoted; the first is 0.
const LAST_STAGE: u32 = 2;
/// Time between two changes.
const CHANGE_INTERVAL: Millis = 5_000.0;

/// An endpoint, identified by its index in the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    pub(crate) version: Version,
    pub(crate) is_ready: bool,
}

/// The platform's state at one moment.
#[derive(Clone, Debug)]
pub(crate) struct PlatformState {
    pub(crate) rollout: RolloutState,
    pub(crate) endpoints: Vec<Endpoint>,
    /// The version of the endpoint list, which increases with each change.
    pub(crate) list_version: u64,
    pub(crate) now: Millis,
    /// When the rollout last changed.
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
        let endpoint = Endpoint { version: Version(1), is_ready: true };
        PlatformState {
            rollout,
            endpoints: vec![endpoint; 4],
            list_version: 1,
            now: 10_000.0,
            rollout_since: 9_000.0,
        }
    }

    /// The state after one random change: a rollout begins, advances, or begins or completes a rollback, or
    /// an endpoint begins or stops draining.
    pub(crate) fn next(&self, change: u8, selector: usize) -> PlatformState {
        let mut next = self.clone();
        next.now += CHANGE_INTERVAL;
        let index = selector % next.endpoints.len();
        match (change % 6, self.rollout.phase) {
            (0, RolloutPhase::Promoted | RolloutPhase::RolledBack) => next.begin_rollout(index),
            (1, RolloutPhase::Canary) => next.advance_rollout(),
            (2, RolloutPhase::Canary | RolloutPhase::Promoted) => {
                next.rollout.phase = RolloutPhase::RollingBack;
                next.rollout.traffic_cap = 0.0;
            }
            (3, RolloutPhase::RollingBack) => next.complete_rollback(),
            _ => {
                next.endpoints[index].is_ready = !next.endpoints[index].is_ready;
                next.list_version += 1;
            }
        }
        next.rollout_since = if next.rollout == self.rollout { self.rollout_since } else { next.now };
        next
    }

    fn begin_rollout(&mut self, first_endpoint: usize) {
        self.rollout.version = Version(self.rollout.version.0 + 1);
        self.rollout.stage = 0;
        self.rollout.phase = RolloutPhase::Canary;
        self.rollout.traffic_cap = 0.1;
        self.endpoints[first_endpoint] = Endpoint { version: self.rollout.version, is_ready: true };
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
        for endpoint in &mut self.endpoints {
            endpoint.version = self.rollout.version;
        }
        self.list_version += 1;
    }

    fn complete_rollback(&mut self) {
        self.rollout.phase = RolloutPhase::RolledBack;
        let rejected = self.rollout.version;
        let baseline = Version(rejected.0 - 1);
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.version == rejected) {
            endpoint.version = baseline;
        }
        self.list_version += 1;
    }
}
