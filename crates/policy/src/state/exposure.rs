//! What limits the exposure of requests to a canary: counts of attempts and arrivals, and versions of sticky keys.
//!
//! [`Policy`](crate::Policy) records each arrival and each attempt; the rule in `crate::exposure` reads the counts.

use crate::config::ExposureConfig;
use crate::rollout::{RolloutPhase, RolloutState, Version};
use crate::snapshot::Canary;
use crate::state::window::SlidingWindow;
use crate::time::Millis;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Windows for which arrivals and attempts are retained: the rule counts over one window and its safety margin.
const RETAINED_WINDOWS: f64 = 2.0;
/// The bucket of all requests, if the limits do not apply to each class separately.
const COMMON_BUCKET: usize = 0;
/// The stage of a version until the platform reports its rollout.
const FIRST_STAGE: u32 = 0;
/// Sticky keys that are recorded at most: clients set them, and memory is limited.
const MAX_STICKY_KEYS: usize = 65_536;

/// Counts the attempts at each version within the sliding window, and stores which version a sticky key requires.
///
/// Each count has a bucket for each class, or one for all classes, by [`ExposureConfig::per_class`].
pub struct ExposureLimiter {
    /// The limits that the settings define.
    pub config: ExposureConfig,
    /// The state of the newest version's rollout; `None` until the platform reports one.
    pub rollout: Option<RolloutState>,
    /// Times at which requests arrived, by bucket.
    arrivals: Vec<SlidingWindow>,
    /// Times at which attempts were sent, by version and bucket.
    attempts_by_version: BTreeMap<(Version, usize), SlidingWindow>,
    /// The highest version that has served each sticky key, by the hash of the key, for keys that a canary has served.
    sticky_versions: BTreeMap<u64, Version>,
}

impl ExposureLimiter {
    /// State without arrivals or attempts; `class_count` is the number of classes that the settings define.
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

    fn bucket(&self, class: usize) -> usize {
        if self.config.per_class { class } else { COMMON_BUCKET }
    }

    fn retention(&self) -> Millis {
        RETAINED_WINDOWS * self.config.window
    }

    /// Records a request of the class with index `class`.
    pub fn record_arrival(&mut self, class: usize, arrived_at: Millis) {
        let (bucket, retention) = (self.bucket(class), self.retention());
        self.arrivals[bucket].record(arrived_at, retention);
    }

    /// Records an attempt at a request of the class with index `class`. Removes versions without recent attempts, which
    /// limits memory.
    pub fn record_attempt(&mut self, version: Version, class: usize, now: Millis) {
        let (bucket, retention) = (self.bucket(class), self.retention());
        if !self.attempts_by_version.contains_key(&(version, bucket)) {
            self.attempts_by_version.retain(|_, attempts| attempts.count_since(now - retention) > 0);
        }
        self.attempts_by_version.entry((version, bucket)).or_default().record(now, retention);
    }

    /// Removes an attempt that was recorded at `recorded_at`.
    pub fn remove_attempt(&mut self, version: Version, class: usize, recorded_at: Millis) {
        let bucket = self.bucket(class);
        if let Some(attempts) = self.attempts_by_version.get_mut(&(version, bucket)) {
            attempts.remove(recorded_at);
        }
    }

    /// The number of pairs of a version and a bucket for which attempt times are retained.
    #[must_use]
    pub fn attempt_window_count(&self) -> usize {
        self.attempts_by_version.len()
    }

    /// The number of requests after `start` that are counted together with the class with index `class`.
    #[must_use]
    pub fn arrivals_since(&self, class: usize, start: Millis) -> usize {
        self.arrivals[self.bucket(class)].count_since(start)
    }

    /// The number of attempts at a version after `start` that are counted together with the class with index `class`.
    #[must_use]
    pub fn attempts_since(&self, version: Version, class: usize, start: Millis) -> usize {
        let attempts = self.attempts_by_version.get(&(version, self.bucket(class)));
        attempts.map_or(0, |attempts| attempts.count_since(start))
    }

    /// The lowest version that requests with a sticky key may go to; `None` if the key may go to every version.
    ///
    /// Once no further key can be recorded, a version that is completely rolled out may have served any key.
    #[must_use]
    pub fn sticky_version(&self, key: Option<&String>) -> Option<Version> {
        let recorded = self.sticky_versions.get(&hash(key?)).copied();
        let promoted = self.rollout.filter(|rollout| rollout.phase == RolloutPhase::Promoted);
        recorded.or_else(|| promoted.filter(|_| self.has_max_sticky_keys()).map(|rollout| rollout.version))
    }

    /// Whether a canary may serve requests with this sticky key: the key is recorded, or still can be.
    #[must_use]
    pub fn may_become_sticky(&self, key: Option<&String>) -> bool {
        let is_recorded = |key: &String| self.sticky_versions.contains_key(&hash(key));
        !self.config.sticky_keys || !self.has_max_sticky_keys() || key.is_none_or(is_recorded)
    }

    fn has_max_sticky_keys(&self) -> bool {
        self.sticky_versions.len() >= MAX_STICKY_KEYS
    }

    /// Records that `version` has served a request with a sticky key, which then goes to no earlier version until
    /// `version` is rolled back. `lowest_version` is the lowest among the ready endpoints and needs no record.
    ///
    /// Returns `true` if the key could go to an earlier version before.
    pub fn record_sticky_key(&mut self, key: &str, version: Version, lowest_version: Version) -> bool {
        let is_serving = self.rollout.is_none_or(|rollout| {
            if is_serving(&rollout) { version >= rollout.version } else { version > rollout.version }
        });
        if !self.config.sticky_keys || version <= lowest_version || !is_serving {
            return false;
        }
        let key = hash(key);
        let recorded = self.sticky_versions.get(&key);
        if recorded.is_some_and(|sticky| version <= *sticky)
            || recorded.is_none() && self.has_max_sticky_keys()
        {
            return false;
        }
        self.sticky_versions.insert(key, version);
        true
    }

    /// The number of sticky keys that are recorded, which is limited.
    #[must_use]
    pub fn sticky_key_count(&self) -> usize {
        self.sticky_versions.len()
    }

    /// Applies a state of the rollout that the platform reported. Sticky keys of versions that are rolled back may go
    /// to every version again.
    pub fn apply_rollout(&mut self, rollout: RolloutState) {
        let newest = rollout.version;
        let is_newest_serving = is_serving(&rollout);
        let is_retained = |version: Version| version > newest || (version == newest && is_newest_serving);
        self.sticky_versions.retain(|_, version| is_retained(*version));
        self.rollout = Some(rollout);
    }

    /// The cap and stage of a version, or `None` if the version is not a canary. A version whose rollout is not
    /// reported yet has the first stage and its cap, or a cap of 0 if the settings define no stage.
    #[must_use]
    pub fn canary(&self, version: Version, lowest_version: Version) -> Option<Canary> {
        let first_cap = self.config.stage_caps.first().copied().unwrap_or(0.0);
        let unreported = Canary { version, traffic_cap: first_cap, stage: FIRST_STAGE };
        match self.rollout {
            None => (version > lowest_version).then_some(unreported),
            Some(rollout) if version > rollout.version => Some(unreported),
            Some(rollout) if version < rollout.version || rollout.phase == RolloutPhase::Promoted => None,
            Some(rollout) => Some(Canary { version, traffic_cap: rollout.traffic_cap, stage: rollout.stage }),
        }
    }

    /// Returns `true` if the platform is rolling back the newest version.
    #[must_use]
    pub fn is_rolling_back(&self) -> bool {
        self.rollout.is_some_and(|rollout| rollout.phase == RolloutPhase::RollingBack)
    }
}

/// The hash of a sticky key. Two keys with the same hash are served by the same versions, which breaks no rule.
fn hash(key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// Returns `true` if the version of the rollout serves requests, as a canary or as the new baseline.
fn is_serving(rollout: &RolloutState) -> bool {
    matches!(rollout.phase, RolloutPhase::Canary | RolloutPhase::Promoted)
}
