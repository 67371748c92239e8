//! What each canary got, against what came in.

use crate::config::ExposureConfig;
use crate::rollout::{RolloutPhase, RolloutState, Version};
use crate::snapshot::Canary;
use crate::state::window::SlidingWindow;
use crate::time::Millis;
use std::collections::BTreeMap;

/// The counts that the rule on exposure is kept by.
pub struct ExposureLimiter {
    /// The rule's figures.
    pub config: ExposureConfig,
    /// The state of the newest version's rollout, if one was told.
    pub rollout: Option<RolloutState>,
    /// Requests that arrived, by bucket.
    arrivals: Vec<SlidingWindow>,
    /// Attempts at each version, by bucket.
    canary_attempts: BTreeMap<(Version, usize), SlidingWindow>,
    /// Keys that a canary has answered, with its version.
    pinned: BTreeMap<String, Version>,
}

impl ExposureLimiter {
    /// Nothing came in yet.
    #[must_use]
    pub fn new(config: ExposureConfig, class_count: usize) -> Self {
        ExposureLimiter {
            config,
            rollout: None,
            arrivals: vec![SlidingWindow::default(); class_count],
            canary_attempts: BTreeMap::new(),
            pinned: BTreeMap::new(),
        }
    }

    /// Under which number a class is counted.
    fn bucket(&self, class: usize) -> usize {
        if self.config.per_class { class } else { 0 }
    }

    fn retention(&self) -> Millis {
        2.0 * self.config.window
    }

    /// Records a request.
    pub fn record_arrival(&mut self, class: usize, arrived_at: Millis) {
        let (bucket, retention) = (self.bucket(class), self.retention());
        self.arrivals[bucket].record(arrived_at, retention);
    }

    /// Records an attempt; versions that got none for as long as counts are kept are forgotten.
    pub fn record_attempt(&mut self, version: Version, class: usize, now: Millis) {
        let (bucket, retention) = (self.bucket(class), self.retention());
        if !self.canary_attempts.contains_key(&(version, bucket)) {
            self.canary_attempts.retain(|_, attempts| attempts.count_since(now - retention) > 0);
        }
        self.canary_attempts.entry((version, bucket)).or_default().record(now, retention);
    }

    /// Versions whose attempts are remembered, once for each class that is counted for itself.
    #[must_use]
    pub fn retained_versions(&self) -> usize {
        self.canary_attempts.len()
    }

    /// Requests that count with a class since a moment.
    #[must_use]
    pub fn arrivals_since(&self, class: usize, moment: Millis) -> usize {
        self.arrivals[self.bucket(class)].count_since(moment)
    }

    /// Attempts at a version that count with a class since a moment.
    #[must_use]
    pub fn attempts_since(&self, version: Version, class: usize, moment: Millis) -> usize {
        let attempts = self.canary_attempts.get(&(version, self.bucket(class)));
        attempts.map_or(0, |attempts| attempts.count_since(moment))
    }

    /// The version that a key stays with.
    #[must_use]
    pub fn pinned_version(&self, key: Option<&String>) -> Option<Version> {
        self.pinned.get(key?).copied()
    }

    /// A key that a canary has answered goes to no earlier version while the canary stands.
    pub fn pin_key(&mut self, key: &str, version: Version, lowest_version: Version) {
        let stands = self.rollout.is_none_or(|rollout| match stands(&rollout) {
            true => version >= rollout.version,
            false => version > rollout.version,
        });
        if self.config.sticky_keys && version > lowest_version && stands {
            let pinned = self.pinned.entry(key.to_string()).or_insert(version);
            *pinned = version.max(*pinned);
        }
    }

    /// Takes over the state of the rollout; keys of versions that no longer stand are set free.
    pub fn apply_rollout(&mut self, rollout: RolloutState) {
        let newest = rollout.version;
        let newest_stands = stands(&rollout);
        self.pinned.retain(|_, version| *version > newest || (*version == newest && newest_stands));
        self.rollout = Some(rollout);
    }

    /// Cap and stage of a version if it is a canary; one not announced yet counts as in the first stage.
    #[must_use]
    pub fn canary(&self, version: Version, lowest_version: Version) -> Option<Canary> {
        let first_cap = self.config.stage_caps.first().copied().unwrap_or(0.0);
        let unannounced = Canary { version, traffic_cap: first_cap, stage: 0 };
        match self.rollout {
            None => (version > lowest_version).then_some(unannounced),
            Some(rollout) if version > rollout.version => Some(unannounced),
            Some(rollout) if version < rollout.version || rollout.phase == RolloutPhase::Promoted => None,
            Some(rollout) => Some(Canary { version, traffic_cap: rollout.traffic_cap, stage: rollout.stage }),
        }
    }

    /// The newest version is being taken off.
    #[must_use]
    pub fn is_rolling_back(&self) -> bool {
        self.rollout.is_some_and(|rollout| rollout.phase == RolloutPhase::RollingBack)
    }
}

fn stands(rollout: &RolloutState) -> bool {
    matches!(rollout.phase, RolloutPhase::Canary | RolloutPhase::Promoted)
}
