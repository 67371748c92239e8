//! Counts of the attempts at each canary and of the requests that arrived, and the versions of sticky keys.
//!
//! The rule on exposure (`crate::exposure`) reads them; each arrival and each attempt is recorded here.

use crate::config::ExposureConfig;
use crate::rollout::{RolloutPhase, RolloutState, Version};
use crate::snapshot::Canary;
use crate::state::window::SlidingWindow;
use crate::time::Millis;
use std::collections::BTreeMap;

/// The state of the rule on exposure.
pub struct ExposureLimiter {
    /// The rule's limits.
    pub config: ExposureConfig,
    /// The state of the newest version's rollout, if it was reported.
    pub rollout: Option<RolloutState>,
    /// Requests that arrived, by bucket.
    arrivals: Vec<SlidingWindow>,
    /// Attempts at each version, by bucket.
    attempts_by_version: BTreeMap<(Version, usize), SlidingWindow>,
    /// Sticky keys that a canary has answered, with its version.
    sticky_versions: BTreeMap<String, Version>,
}

impl ExposureLimiter {
    /// No arrivals yet; `class_count`: how many classes there are.
    #[must_use]
    pub fn new(config: ExposureConfig, class_count: usize) -> Self {
        ExposureLimiter {
            config,
            rollout: None,
            arrivals: vec![SlidingWindow::default(); class_count],
            attempts_by_version: BTreeMap::new(),
            sticky_versions: BTreeMap::new(),
        }
    }

    /// The bucket in which a class is counted.
    fn bucket(&self, class: usize) -> usize {
        if self.config.per_class { class } else { 0 }
    }

    fn retention(&self) -> Millis {
        2.0 * self.config.window
    }

    /// Records a request that arrived at a time in ms.
    pub fn record_arrival(&mut self, class: usize, arrived_at: Millis) {
        let (bucket, retention) = (self.bucket(class), self.retention());
        self.arrivals[bucket].record(arrived_at, retention);
    }

    /// Records an attempt; versions without attempts within the retention are removed.
    pub fn record_attempt(&mut self, version: Version, class: usize, now: Millis) {
        let (bucket, retention) = (self.bucket(class), self.retention());
        if !self.attempts_by_version.contains_key(&(version, bucket)) {
            self.attempts_by_version.retain(|_, attempts| attempts.count_since(now - retention) > 0);
        }
        self.attempts_by_version.entry((version, bucket)).or_default().record(now, retention);
    }

    /// Versions whose attempts are retained, once for each bucket.
    #[must_use]
    pub fn retained_versions(&self) -> usize {
        self.attempts_by_version.len()
    }

    /// Requests in the bucket of a class since a time in ms.
    #[must_use]
    pub fn arrivals_since(&self, class: usize, moment: Millis) -> usize {
        self.arrivals[self.bucket(class)].count_since(moment)
    }

    /// Attempts at a version in the bucket of a class since a time in ms.
    #[must_use]
    pub fn attempts_since(&self, version: Version, class: usize, moment: Millis) -> usize {
        let attempts = self.attempts_by_version.get(&(version, self.bucket(class)));
        attempts.map_or(0, |attempts| attempts.count_since(moment))
    }

    /// The version that a sticky key must not go below.
    #[must_use]
    pub fn sticky_version(&self, key: Option<&String>) -> Option<Version> {
        self.sticky_versions.get(key?).copied()
    }

    /// Records that a version has answered a key: while that version is not rolled back, the key goes to no earlier one.
    pub fn record_sticky_key(&mut self, key: &str, version: Version, lowest_version: Version) {
        let is_in_use = self.rollout.is_none_or(|rollout| {
            if is_in_use(&rollout) { version >= rollout.version } else { version > rollout.version }
        });
        if self.config.sticky_keys && version > lowest_version && is_in_use {
            let sticky = self.sticky_versions.entry(key.to_string()).or_insert(version);
            *sticky = version.max(*sticky);
        }
    }

    /// Applies the state of the rollout; keys of versions that are rolled back are released.
    pub fn apply_rollout(&mut self, rollout: RolloutState) {
        let newest = rollout.version;
        let is_newest_in_use = is_in_use(&rollout);
        let is_retained = |version: Version| version > newest || (version == newest && is_newest_in_use);
        self.sticky_versions.retain(|_, version| is_retained(*version));
        self.rollout = Some(rollout);
    }

    /// Cap and stage of a version if it is a canary; one whose rollout is not reported yet counts as in the first stage.
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

    /// The newest version is being rolled back.
    #[must_use]
    pub fn is_rolling_back(&self) -> bool {
        self.rollout.is_some_and(|rollout| rollout.phase == RolloutPhase::RollingBack)
    }
}

/// The version is a canary or promoted, and not rolled back.
fn is_in_use(rollout: &RolloutState) -> bool {
    matches!(rollout.phase, RolloutPhase::Canary | RolloutPhase::Promoted)
}
