//! The order of versions and the labels that carry them.

use latchhaven_policy::Version;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use latchhaven_proxy_config::version::{
    ConfigVersion, EndpointListVersion, ReportedVersion, RolloutStatus, RolloutVersion, VersionSigner,
};
use proptest::prelude::*;
use std::cmp::Ordering;

fn rollout_versions() -> impl Strategy<Value = RolloutVersion> {
    let statuses = prop_oneof![
        Just(RolloutStatus::Canary),
        Just(RolloutStatus::Rejected),
        Just(RolloutStatus::Promoted),
        Just(RolloutStatus::RollingBack),
        Just(RolloutStatus::RolledBack)
    ];
    (0u32..4, statuses, 0u32..4, 0u32..=1_000_000, 0u64..20_000).prop_map(
        |(version, status, stage, cap, since)| RolloutVersion {
            version: Version(version),
            status,
            stage,
            traffic_cap: PartsPerMillion::new(cap),
            since,
        },
    )
}

fn config_versions() -> impl Strategy<Value = ConfigVersion> {
    (rollout_versions(), 0u32..3, 0u64..9).prop_map(|(rollout, epoch, version)| ConfigVersion {
        rollout,
        endpoints: EndpointListVersion { epoch, version },
    })
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    #[test]
    fn parsed_label_equals_the_written_one(version in config_versions(), content_hash: u64, key in "[a-z]{0,9}") {
        let signer = VersionSigner::new(Some(key.clone().into_bytes()));
        let read = signer.parse_label(&signer.label(&version, content_hash));
        prop_assert_eq!(read, Some(ReportedVersion { version, content_hash, is_signed: !key.is_empty() }));
    }

    #[test]
    fn forged_label_is_never_signed(
        text in ".{0,200}", version in config_versions(), at in 0usize..80, to in "[0-9a-z]"
    ) {
        let signer = VersionSigner::new(Some(b"key".to_vec()));
        prop_assert!(signer.parse_label(&text).is_none_or(|label| !label.is_signed));
        let mut forged = signer.label(&version, 7);
        let at = at % forged.len();
        forged.replace_range(at..=at, &to);
        let read = signer.parse_label(&forged).filter(|label| label.is_signed);
        prop_assert!(read.is_none_or(|label| label.version == version), "{forged}");
    }

    #[test]
    fn merge_is_an_upper_bound_and_nothing_is_newer_than_itself(
        left in config_versions(), right in config_versions()
    ) {
        let merged = left.merge(&right);
        prop_assert!(merged.is_up_to_date_with(&left) && merged.is_up_to_date_with(&right));
        prop_assert!(!left.is_newer_than(&left));
        prop_assert!(!left.is_newer_than(&right) || !right.is_newer_than(&left));
    }
}

/// Proxies store labels, and services of earlier releases parse them.
#[test]
fn label_text_has_the_documented_format() {
    let version = |status| ConfigVersion {
        rollout: RolloutVersion {
            version: Version(7),
            status,
            stage: 3,
            traffic_cap: PartsPerMillion::new(125_000),
            since: 1_733_100_000_123,
        },
        endpoints: EndpointListVersion { epoch: 2, version: 41 },
    };
    let plain = VersionSigner::default();
    let letters = [
        (RolloutStatus::Canary, 't'),
        (RolloutStatus::Rejected, 'c'),
        (RolloutStatus::Promoted, 'r'),
        (RolloutStatus::RollingBack, 'b'),
        (RolloutStatus::RolledBack, 'w'),
    ];
    for (status, letter) in letters {
        let expected = format!("b7.{letter}3.125000.1733100000123.l2.41.00000000000000ff");
        assert_eq!(plain.label(&version(status), 255), expected);
    }
    let signer = VersionSigner::new(Some(b"site".to_vec()));
    let signed = signer.label(&version(RolloutStatus::Canary), 255);
    assert_eq!(signed, "b7.t3.125000.1733100000123.l2.41.f813a3bef8d5bc30.00000000000000ff");
}

#[test]
fn later_status_of_a_version_is_newer_whenever_it_began() {
    let canary = RolloutVersion {
        version: Version(4),
        status: RolloutStatus::Canary,
        stage: 3,
        traffic_cap: PartsPerMillion::FULL,
        since: 90_000,
    };
    let statuses = [
        RolloutStatus::Rejected,
        RolloutStatus::Promoted,
        RolloutStatus::RollingBack,
        RolloutStatus::RolledBack,
    ];
    let earlier = RolloutVersion { stage: 0, since: 0, ..canary };
    for status in statuses {
        let later = RolloutVersion { status, traffic_cap: PartsPerMillion::ZERO, ..earlier };
        assert_eq!(later.compare(&canary), Ordering::Greater);
    }
    let next = RolloutVersion { version: Version(5), ..earlier };
    assert_eq!(next.compare(&canary), Ordering::Greater);
    // Within a stage the cap was lowered. Two services compute start times that differ by less than the tolerance of
    // clocks, so that the lower cap is newer. A cap raised again much later is newer than both.
    let lowered = RolloutVersion { traffic_cap: PartsPerMillion::ZERO, since: 89_500, ..canary };
    assert_eq!(lowered.compare(&canary), Ordering::Greater);
    assert_eq!(RolloutVersion { since: 120_000, ..canary }.compare(&lowered), Ordering::Greater);
}
