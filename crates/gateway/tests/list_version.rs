//! The order of two endpoint lists.

#![warn(clippy::pedantic)]

use latchhaven_gateway::discovery::list_version::{ReceivedVersion, VersionOrder, compare_versions};
use rstest::rstest;

#[rstest]
#[case::next_delta(41, 42, false, false, VersionOrder::Newer)]
#[case::same_version_again(41, 41, true, true, VersionOrder::Newer)]
#[case::snapshot_overtaken_by_another_call(43, 41, true, true, VersionOrder::Stale)]
#[case::delta_overtaken_by_another_call(43, 42, false, true, VersionOrder::Stale)]
#[case::snapshot_of_a_restarted_count(41, 3, true, false, VersionOrder::Newer)]
#[case::delta_to_a_list_never_received(41, 3, false, false, VersionOrder::Gap)]
fn compare_versions_of_two_lists_finds_the_newer_one(
    #[case] current: u64, #[case] version: u64, #[case] is_snapshot: bool, #[case] is_overtaken: bool,
    #[case] expected: VersionOrder,
) {
    let received = ReceivedVersion { version, is_snapshot, is_overtaken };
    assert_eq!(compare_versions(current, received), expected);
}
