//! When a configuration may be published, and which reported states replace the newest known ones.

use latchhaven_policy::{Millis, RolloutPhase, RolloutState, Version};
use latchhaven_proxy_config::freshness::{UpdateResult, VersionTracker};
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::version::{
    ConfigVersion, EndpointListVersion, RolloutStatus, RolloutVersion, VersionSigner,
};
use proptest::prelude::*;

const PHASES: [RolloutPhase; 4] =
    [RolloutPhase::Canary, RolloutPhase::Promoted, RolloutPhase::RollingBack, RolloutPhase::RolledBack];

fn rollout_state(version: u32, stage: u32, phase: RolloutPhase, traffic_cap: f64) -> RolloutState {
    RolloutState { version: Version(version), stage, phase, traffic_cap, age: 0.0 }
}

fn rollout_version(version: u32, status: RolloutStatus, stage: u32, since: u64) -> RolloutVersion {
    RolloutVersion { version: Version(version), status, stage, traffic_cap: PartsPerMillion::ZERO, since }
}

fn list_version(version: u64) -> EndpointListVersion {
    EndpointListVersion { epoch: 0, version }
}

#[test]
fn nothing_is_published_before_list_and_platform_reach_the_stored_version() {
    let stored = ConfigVersion {
        rollout: rollout_version(7, RolloutStatus::RolledBack, 1, 5_000),
        endpoints: list_version(40),
    };
    let mut tracker = VersionTracker::restore(Some(stored), [Version(7)]);
    assert!(tracker.config_version().is_err());
    // Replicas of discovery and of the platform lag 30 s behind.
    assert_eq!(tracker.apply_endpoint_list(31, true, 9_000.0), UpdateResult::Applied);
    let old_canary = rollout_state(7, 1, RolloutPhase::Canary, 0.5);
    assert!(tracker.apply_rollout_state(&old_canary, false, 9_000.0).is_none());
    assert!(tracker.config_version().is_err());
    let rolled_back = rollout_state(7, 1, RolloutPhase::RolledBack, 0.0);
    assert!(tracker.apply_rollout_state(&rolled_back, false, 9_500.0).is_some());
    assert!(tracker.config_version().is_err());
    assert_eq!(tracker.apply_endpoint_list(41, false, 10_000.0), UpdateResult::Applied);
    assert_eq!(tracker.config_version().map(|version| version.endpoints.version), Ok(41));
    assert!(tracker.rolled_back_versions().contains(&Version(7)));
}

#[test]
fn newer_version_of_a_proxy_is_applied_only_with_a_signature() {
    let signer = VersionSigner::new(Some(b"site".to_vec()));
    let held = ConfigVersion {
        rollout: rollout_version(9, RolloutStatus::RollingBack, 2, 1_000),
        endpoints: list_version(12),
    };
    let canary = rollout_state(9, 2, RolloutPhase::Canary, 0.5);
    let mut tracker = VersionTracker::default();
    tracker.apply_endpoint_list(11, true, 2_000.0);
    tracker.apply_rollout_state(&canary, false, 2_000.0);
    assert!(tracker.config_version().is_ok());
    let plain = VersionSigner::default().parse_label(&VersionSigner::default().label(&held, 0)).unwrap();
    assert!(tracker.apply_proxy_version(&plain, 2_000.0).is_none() && tracker.config_version().is_ok());
    let signed = signer.parse_label(&signer.label(&held, 0)).unwrap();
    assert_eq!(
        tracker.apply_proxy_version(&signed, 2_000.0).map(|rollout| rollout.phase),
        Some(RolloutPhase::RollingBack)
    );
    assert!(tracker.config_version().is_err(), "the list in use is older than the proxy's");
    assert!(tracker.apply_rollout_state(&canary, false, 2_100.0).is_none());
}

#[test]
fn list_that_stays_stale_without_failed_calls_begins_an_epoch() {
    let mut tracker = VersionTracker::default();
    tracker.apply_endpoint_list(500, true, 0.0);
    tracker.apply_rollout_state(&rollout_state(1, 0, RolloutPhase::Promoted, 1.0), false, 0.0);
    assert_eq!(tracker.apply_endpoint_list(3, true, 1_000.0), UpdateResult::Stale);
    assert_eq!(tracker.apply_endpoint_list(4, true, 50_000.0), UpdateResult::Stale);
    tracker.on_endpoint_list_failed();
    assert_eq!(
        tracker.apply_endpoint_list(4, true, 62_000.0),
        UpdateResult::Stale,
        "a failed call restarts the delay"
    );
    assert_eq!(tracker.apply_endpoint_list(5, true, 122_001.0), UpdateResult::Applied);
    assert_eq!(
        tracker.config_version().map(|version| version.endpoints),
        Ok(EndpointListVersion { epoch: 1, version: 5 })
    );
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    /// Whatever order of states, lists and proxy versions is received, neither part of the version becomes older.
    #[test]
    fn config_version_never_goes_back(
        steps in prop::collection::vec((0u8..4, 0u32..3, 0u32..3, 0u8..4, 0u64..6, 0u32..=2), 1..60)
    ) {
        let signer = VersionSigner::new(Some(b"k".to_vec()));
        let mut tracker = VersionTracker::default();
        let mut last: Option<ConfigVersion> = None;
        let mut now: Millis = 10_000.0;
        for (kind, version, stage, phase, list, cap) in steps {
            now += 700.0;
            let reported = rollout_state(version, stage, PHASES[phase as usize], f64::from(cap) / 2.0);
            match kind {
                0 => drop(tracker.apply_rollout_state(&reported, false, now)),
                1 => drop(tracker.apply_endpoint_list(list, true, now)),
                2 => drop(tracker.apply_endpoint_list(list, false, now)),
                _ => {
                    let rollout = RolloutVersion::from_state(&reported, false, now);
                    let held = ConfigVersion { rollout, endpoints: list_version(list) };
                    let label = signer.parse_label(&signer.label(&held, 1)).unwrap();
                    tracker.apply_proxy_version(&label, now);
                }
            }
            if let Ok(current) = tracker.config_version() {
                let is_regression = last.is_some_and(|last| !current.is_up_to_date_with(&last));
                prop_assert!(!is_regression, "{current:?} after {last:?}");
                last = Some(current);
            }
        }
    }
}
