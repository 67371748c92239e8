//! How far the world is known to be, and whether anything may be handed out at all.
//!
//! The list comes from discovery, states of the newest build from the platform, and both as evidence from what
//! proxies hold and from what was kept on disk. No state that is older than one known is taken over, and nothing is
//! handed out before the list was heard whole and the platform has told how the newest build stands, each at least
//! as far as what is known to have been handed out.

use crate::version::{ConfigVersion, EndpointListVersion, RolloutStatus, RolloutVersion, SignedVersion};
use latchhaven_policy::{Millis, RolloutState, Version};
use std::cmp::Ordering;
use std::collections::BTreeSet;

/// Withdrawn builds that are remembered: instances of older ones have long been replaced.
const WITHDRAWN_KEPT: usize = 64;
/// A list that stays behind what is known for so many ms, while discovery answers, counts anew: discovery itself was
/// restarted. A copy that lags catches up much sooner.
const COUNTS_ANEW: Millis = 60_000.0;
/// Evidence may be ahead of this service's own clock by so many ms at most: clocks differ, but not by more.
const AHEAD: Millis = 60_000.0;

/// What is known.
#[derive(Clone, Debug, Default)]
pub struct KnownState {
    news: Option<RolloutVersion>,
    /// The platform itself has told, in this life, a state at least as far.
    told: bool,
    /// The list now held, if one was heard whole in this life.
    list: Option<EndpointListVersion>,
    /// The furthest list known of.
    furthest: EndpointListVersion,
    /// Since when whole lists were behind that, without a break.
    behind: Option<Millis>,
    /// The list that came last was whole, and stale.
    is_snapshot_stale: bool,
    withdrawn: BTreeSet<Version>,
}

/// What becomes of a list that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// It holds from now on.
    Applied,
    /// It is older than what is known: the earlier one stays.
    Stale,
}

impl KnownState {
    /// Begins from what was kept: nothing is handed out that is older.
    pub fn restore(kept: Option<ConfigVersion>, withdrawn: impl IntoIterator<Item = Version>) -> Self {
        let mut world = KnownState { withdrawn: withdrawn.into_iter().collect(), ..KnownState::default() };
        if let Some(kept) = kept {
            (world.news, world.furthest) = (Some(kept.rollout), kept.endpoints);
        }
        world
    }

    /// What the platform tells. The state to go on with, if it is not older than the one known.
    pub fn apply_rollout_state(
        &mut self, news: &RolloutState, condemned: bool, now: Millis,
    ) -> Option<RolloutState> {
        let mark = RolloutVersion::from_state(news, condemned, now);
        match self.news {
            Some(known) => match mark.compare(&known) {
                Ordering::Less => return None,
                // A beginning that was labelled once stays: labels of one state do not drift apart.
                Ordering::Equal => self.told = true,
                Ordering::Greater => self.take(mark),
            },
            None => self.take(mark),
        }
        self.told = true;
        Some(*news)
    }

    /// The newest build was found bad here: from now on it is so for all who are told.
    pub fn reject_canary(&mut self) {
        if let Some(known) = self.news {
            let mark = RolloutVersion { status: known.status.max(RolloutStatus::Rejected), ..known };
            self.news = Some(mark);
        }
    }

    /// What a peer holds. A signed label tells how far the world is; the state to go on with, if it was not known.
    pub fn apply_proxy_version(&mut self, label: &SignedVersion, now: Millis) -> Option<RolloutState> {
        let ConfigVersion { rollout: news, endpoints: list } = label.version;
        // A state that has yet to begin cannot have been handed out.
        if !label.is_signed || news.since as Millis > now + AHEAD {
            return None;
        }
        self.furthest = self.furthest.max(list);
        let newer = self.news.is_none_or(|known| news.compare(&known) == Ordering::Greater);
        newer.then(|| {
            self.take(news);
            news.to_state(now)
        })
    }

    fn take(&mut self, mark: RolloutVersion) {
        if mark.status == RolloutStatus::RolledBack {
            self.withdrawn.insert(mark.version);
            while self.withdrawn.len() > WITHDRAWN_KEPT {
                self.withdrawn.pop_first();
            }
        }
        self.news = Some(mark);
    }

    /// A list that discovery told. Changes build upon the list held; only a whole one begins.
    pub fn apply_endpoint_list(&mut self, version: u64, whole: bool, now: Millis) -> UpdateResult {
        let result = self.apply_list_version(version, whole, now);
        self.is_snapshot_stale = whole && result == UpdateResult::Stale;
        result
    }

    fn apply_list_version(&mut self, version: u64, whole: bool, now: Millis) -> UpdateResult {
        let Some(held) = self.list.filter(|_| !whole) else {
            return if whole { self.whole(version, now) } else { UpdateResult::Stale };
        };
        let mark = EndpointListVersion { version, ..held };
        if mark < held {
            return UpdateResult::Stale;
        }
        (self.list, self.furthest) = (Some(mark), self.furthest.max(mark));
        UpdateResult::Applied
    }

    fn whole(&mut self, version: u64, now: Millis) -> UpdateResult {
        let here = EndpointListVersion { epoch: self.furthest.epoch, version };
        if here >= self.furthest {
            (self.list, self.furthest, self.behind) = (Some(here), here, None);
            return UpdateResult::Applied;
        }
        let since = *self.behind.get_or_insert(now);
        if now - since < COUNTS_ANEW {
            // Held all the same where nothing was: it may be watched until it has caught up.
            let first = self.list.is_none();
            self.list = self.list.or(Some(here));
            return if first { UpdateResult::Applied } else { UpdateResult::Stale };
        }
        let anew = EndpointListVersion { epoch: here.epoch + 1, version };
        (self.list, self.furthest, self.behind) = (Some(anew), anew, None);
        UpdateResult::Applied
    }

    /// A watch or call failed: what was behind may have caught up unseen.
    pub fn endpoint_list_failed(&mut self) {
        self.behind = None;
    }

    /// The state that is known, told or not.
    pub fn rollout(&self) -> Option<RolloutVersion> {
        self.news
    }

    /// Builds that were withdrawn.
    pub fn rolled_back_versions(&self) -> &BTreeSet<Version> {
        &self.withdrawn
    }

    /// A snapshot of the list has to be fetched: the list that is held is older than one known of, or the last snapshot
    /// was stale.
    pub fn needs_snapshot(&self) -> bool {
        let is_list_stale = self.list.is_some_and(|list| list < self.furthest);
        is_list_stale || self.is_snapshot_stale
    }

    /// What a handout made now is based on; none while none may be made, and why.
    pub fn config_version(&self) -> Result<ConfigVersion, &'static str> {
        let list = self.list.ok_or("the list was not heard whole yet")?;
        let news =
            self.news.filter(|_| self.told).ok_or("the platform has not told the newest build's state")?;
        if list < self.furthest {
            return Err("the list is older than one that was handed out");
        }
        Ok(ConfigVersion { rollout: news, endpoints: list })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::version::VersionSigner;
    use latchhaven_policy::RolloutPhase;
    use proptest::prelude::*;

    fn state(build: Version, stage: u32, phase: RolloutPhase, cap: f64) -> RolloutState {
        RolloutState { version: build, stage, phase, traffic_cap: cap, age: 0.0 }
    }

    #[test]
    fn nothing_goes_out_before_list_and_platform_are_as_far_as_what_was_kept() {
        let news = RolloutVersion {
            version: Version(7),
            status: RolloutStatus::RolledBack,
            stage: 1,
            traffic_cap: 0,
            since: 5_000,
        };
        let kept = ConfigVersion { rollout: news, endpoints: EndpointListVersion { epoch: 0, version: 40 } };
        let mut world = KnownState::restore(Some(kept), [Version(7)]);
        assert!(world.config_version().is_err());
        // The list is 30 s old, and the platform's replica too.
        assert_eq!(world.apply_endpoint_list(31, true, 9_000.0), UpdateResult::Applied);
        assert!(
            world
                .apply_rollout_state(&state(Version(7), 1, RolloutPhase::Canary, 0.5), false, 9_000.0)
                .is_none()
        );
        assert!(world.config_version().is_err());
        assert!(
            world
                .apply_rollout_state(&state(Version(7), 1, RolloutPhase::RolledBack, 0.0), false, 9_500.0)
                .is_some()
        );
        assert!(world.config_version().is_err());
        assert_eq!(world.apply_endpoint_list(41, false, 10_000.0), UpdateResult::Applied);
        assert_eq!(world.config_version().map(|basis| basis.endpoints.version), Ok(41));
        assert!(world.rolled_back_versions().contains(&Version(7)));
    }

    #[test]
    fn a_peer_that_holds_more_tells_of_it_only_with_a_signature() {
        let labels = VersionSigner::new(Some(b"site".to_vec()));
        let news = RolloutVersion {
            version: Version(9),
            status: RolloutStatus::RollingBack,
            stage: 2,
            traffic_cap: 0,
            since: 1_000,
        };
        let basis = ConfigVersion { rollout: news, endpoints: EndpointListVersion { epoch: 0, version: 12 } };
        let mut world = KnownState::default();
        world.apply_endpoint_list(11, true, 2_000.0);
        world.apply_rollout_state(&state(Version(9), 2, RolloutPhase::Canary, 0.5), false, 2_000.0);
        assert!(world.config_version().is_ok());
        let plain = VersionSigner::default().parse_label(&VersionSigner::default().label(&basis, 0)).unwrap();
        assert!(world.apply_proxy_version(&plain, 2_000.0).is_none() && world.config_version().is_ok());
        let signed = labels.parse_label(&labels.label(&basis, 0)).unwrap();
        assert_eq!(
            world.apply_proxy_version(&signed, 2_000.0).map(|news| news.phase),
            Some(RolloutPhase::RollingBack)
        );
        assert!(world.config_version().is_err(), "its list is behind");
        assert!(
            world
                .apply_rollout_state(&state(Version(9), 2, RolloutPhase::Canary, 0.5), false, 2_100.0)
                .is_none()
        );
    }

    #[test]
    fn a_list_that_stays_behind_while_discovery_answers_counts_anew() {
        let mut world = KnownState::default();
        world.apply_endpoint_list(500, true, 0.0);
        world.apply_rollout_state(&state(Version(1), 0, RolloutPhase::Promoted, 1.0), false, 0.0);
        assert_eq!(world.apply_endpoint_list(3, true, 1_000.0), UpdateResult::Stale);
        assert_eq!(world.apply_endpoint_list(4, true, 50_000.0), UpdateResult::Stale);
        world.endpoint_list_failed();
        assert_eq!(
            world.apply_endpoint_list(4, true, 62_000.0),
            UpdateResult::Stale,
            "a break begins the count again"
        );
        assert_eq!(world.apply_endpoint_list(5, true, 122_001.0), UpdateResult::Applied);
        assert_eq!(
            world.config_version().map(|basis| basis.endpoints),
            Ok(EndpointListVersion { epoch: 1, version: 5 })
        );
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        /// Over any news, lists and evidence the basis only ever moves on.
        #[test]
        fn no_basis_is_followed_by_one_that_does_not_cover_it(
            steps in prop::collection::vec((0u8..4, 0u32..3, 0u32..3, 0u8..4, 0u64..6, 0u32..=2), 1..60)
        ) {
            let labels = VersionSigner::new(Some(b"k".to_vec()));
            let (mut world, mut last, mut now): (KnownState, Option<ConfigVersion>, Millis) = (KnownState::default(), None, 10_000.0);
            for (kind, build, stage, phase, version, cap) in steps {
                now += 700.0;
                let phase = [RolloutPhase::Canary, RolloutPhase::Promoted, RolloutPhase::RollingBack, RolloutPhase::RolledBack][phase as usize];
                let news = state(Version(build), stage, phase, f64::from(cap) / 2.0);
                match kind {
                    0 => drop(world.apply_rollout_state(&news, false, now)),
                    1 => drop(world.apply_endpoint_list(version, true, now)),
                    2 => drop(world.apply_endpoint_list(version, false, now)),
                    _ => {
                        let list = EndpointListVersion { epoch: 0, version };
                        let basis = ConfigVersion { rollout: RolloutVersion::from_state(&news, false, now), endpoints: list };
                        let label = labels.parse_label(&labels.label(&basis, 1)).unwrap();
                        world.apply_proxy_version(&label, now);
                    }
                }
                if let Ok(basis) = world.config_version() {
                    prop_assert!(last.is_none_or(|last| basis.dominates(&last)), "{basis:?} after {last:?}");
                    last = Some(basis);
                }
            }
        }
    }
}
