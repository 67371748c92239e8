//! The clients of the discovery service: which calls they start and abort, and which lists they apply.

#![warn(clippy::pedantic)]

use latchhaven_gateway::discovery::calls::{CallId, DiscoveryCommand};
use latchhaven_gateway::discovery::ordered_client::{EndpointListClient, ListDecision};
use latchhaven_gateway::discovery::snapshot_client::SnapshotFirstClient;
use std::net::SocketAddr;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn watch(call: u64, port: u16, after_version: u64) -> DiscoveryCommand {
    DiscoveryCommand::StartWatch { call: CallId(call), address: address(port), after_version }
}

fn fetch(call: u64, port: u16) -> DiscoveryCommand {
    DiscoveryCommand::StartFetch { call: CallId(call), address: address(port) }
}

fn abort(call: u64) -> DiscoveryCommand {
    DiscoveryCommand::Abort { call: CallId(call) }
}

fn none_finished(_: CallId) -> bool {
    false
}

/// Returns a gateway's client with a list of version 5. Call 1 is the client's watch at port 1.
fn watching_client() -> EndpointListClient {
    let mut client = EndpointListClient::new(address(1));
    client.restore(5);
    client.set_watch(true);
    assert_eq!(client.take_commands(), [watch(1, 1, 5)]);
    client
}

#[test]
fn ordered_client_watch_disabled_and_enabled_aborts_and_starts_from_the_current_version() {
    let mut client = watching_client();
    assert_eq!(client.on_list(CallId(1), 6, false), ListDecision::Apply);
    client.set_watch(false);
    assert_eq!(client.take_commands(), [abort(1)]);
    assert_eq!(client.on_list(CallId(1), 7, false), ListDecision::Ignored);
    client.set_watch(true);
    assert_eq!(client.take_commands(), [watch(2, 1, 6)]);
    client.set_watch(true);
    assert_eq!(client.take_commands(), [abort(2), watch(3, 1, 6)]);
}

#[test]
fn ordered_client_second_fetch_replaces_the_first() {
    let mut client = watching_client();
    client.fetch();
    client.fetch();
    assert_eq!(client.take_commands(), [fetch(2, 1), fetch(3, 1), abort(2)]);
    assert_eq!(client.on_list(CallId(2), 9, true), ListDecision::Ignored);
    assert!(!client.on_failure(CallId(2)));
    assert!(client.on_failure(CallId(3)));
    assert_eq!(client.on_list(CallId(3), 9, true), ListDecision::Apply);
    assert_eq!(client.current_version(), 9);
}

#[test]
fn ordered_client_overtaken_fetch_is_discarded_and_the_version_stays() {
    let mut client = watching_client();
    client.fetch();
    client.take_commands();
    assert_eq!(client.on_list(CallId(1), 8, false), ListDecision::Apply);
    assert_eq!(client.on_list(CallId(2), 7, true), ListDecision::Discard { is_current: true });
    assert_eq!(client.take_commands(), [abort(2)]);
    assert_eq!(client.current_version(), 8);
    assert!(client.on_failure(CallId(2)), "the fetch stays current until another one replaces it");
}

#[test]
fn ordered_client_restarted_count_is_applied_from_a_snapshot_and_refetched_after_a_delta() {
    let mut client = watching_client();
    assert_eq!(client.on_list(CallId(1), 3, true), ListDecision::Apply);
    assert_eq!(client.current_version(), 3);
    assert_eq!(client.on_list(CallId(1), 2, false), ListDecision::Discard { is_current: true });
    assert_eq!(client.current_version(), 0);
    client.set_watch(true);
    assert_eq!(client.take_commands(), [abort(1), abort(1), watch(2, 1, 0)]);
}

#[test]
fn ordered_client_same_address_again_starts_nothing() {
    let mut client = watching_client();
    client.on_address_changed(address(1), none_finished);
    assert_eq!(client.take_commands(), []);
}

#[test]
fn ordered_client_moved_keeps_the_previous_watch_until_the_new_one_delivers() {
    let mut client = watching_client();
    assert_eq!(client.on_list(CallId(1), 6, false), ListDecision::Apply);
    client.on_address_changed(address(2), none_finished);
    assert_eq!(client.take_commands(), [watch(2, 2, 6)]);
    assert_eq!(client.on_list(CallId(1), 7, false), ListDecision::Apply);
    assert!(!client.on_failure(CallId(1)), "a failure of the previous watch is not reported");
    assert!(client.on_failure(CallId(2)));
    assert_eq!(client.take_commands(), []);
    assert_eq!(client.on_list(CallId(2), 7, false), ListDecision::Apply);
    assert_eq!(client.take_commands(), [abort(1)]);
    assert_eq!(client.on_list(CallId(1), 8, false), ListDecision::Ignored);
}

#[test]
fn ordered_client_stale_list_of_the_previous_watch_is_discarded_without_a_report() {
    let mut client = watching_client();
    client.on_address_changed(address(2), none_finished);
    client.fetch();
    assert_eq!(client.on_list(CallId(3), 9, true), ListDecision::Apply);
    assert_eq!(client.take_commands(), [watch(2, 2, 5), fetch(3, 2), abort(1)]);

    let mut client = watching_client();
    client.on_address_changed(address(2), none_finished);
    client.take_commands();
    assert_eq!(client.on_list(CallId(1), 4, false), ListDecision::Discard { is_current: false });
    assert_eq!(client.take_commands(), [abort(1)]);
}

#[test]
fn ordered_client_moved_twice_keeps_the_watch_that_has_delivered() {
    let mut client = watching_client();
    client.on_list(CallId(1), 6, false);
    client.on_address_changed(address(2), none_finished);
    client.on_address_changed(address(3), none_finished);
    assert_eq!(client.take_commands(), [watch(2, 2, 6), abort(2), watch(3, 3, 6)]);
    assert_eq!(client.on_list(CallId(1), 7, false), ListDecision::Apply);

    let mut client = watching_client();
    client.on_address_changed(address(2), none_finished);
    client.on_list(CallId(2), 6, false);
    client.on_address_changed(address(3), none_finished);
    assert_eq!(client.take_commands(), [watch(2, 2, 5), abort(1), watch(3, 3, 6)]);
    assert_eq!(client.on_list(CallId(2), 7, false), ListDecision::Apply);
}

#[test]
fn ordered_client_moved_twice_drops_a_previous_watch_that_has_finished() {
    let mut client = watching_client();
    client.on_list(CallId(1), 6, false);
    client.on_address_changed(address(2), none_finished);
    client.on_address_changed(address(3), |call| call == CallId(1));
    assert_eq!(client.take_commands(), [watch(2, 2, 6), watch(3, 3, 6)]);
    assert_eq!(client.on_list(CallId(1), 7, false), ListDecision::Ignored);
    assert_eq!(client.on_list(CallId(2), 7, false), ListDecision::Apply);
}

#[test]
fn ordered_client_moved_repeats_only_a_fetch_that_has_not_finished() {
    let mut client = EndpointListClient::new(address(1));
    client.fetch();
    client.on_address_changed(address(2), none_finished);
    assert_eq!(client.take_commands(), [fetch(1, 1), fetch(2, 2), abort(1)]);
    client.on_address_changed(address(3), |_| true);
    assert_eq!(client.take_commands(), []);
}

#[test]
fn snapshot_client_without_a_version_fetches_first_and_then_watches() {
    let mut client = SnapshotFirstClient::new(address(1));
    client.set_watch(true);
    assert_eq!(client.take_commands(), [fetch(1, 1)]);
    assert!(client.on_list(CallId(1), 5, true));
    assert_eq!(client.take_commands(), [watch(2, 1, 5)]);
    assert!(client.on_list(CallId(2), 6, false));
    client.set_watch(true);
    assert_eq!(client.take_commands(), [abort(2), watch(3, 1, 6)]);
    client.set_watch(false);
    assert_eq!(client.take_commands(), [abort(3)]);
}

#[test]
fn snapshot_client_passes_on_every_list_of_a_current_call_in_any_order() {
    let mut client = SnapshotFirstClient::new(address(1));
    client.fetch();
    assert!(client.on_list(CallId(1), 7, false), "the owner decides about a delta before any snapshot");
    assert_eq!(client.take_commands(), [fetch(1, 1)], "no watch before the first snapshot");
    assert!(client.on_list(CallId(1), 9, true));
    assert_eq!(client.take_commands(), [watch(2, 1, 9)]);
    assert!(client.on_list(CallId(2), 3, false));
    client.set_watch(true);
    assert_eq!(client.take_commands(), [abort(2), watch(3, 1, 3)], "the order of lists is not checked");
    assert!(!client.on_list(CallId(2), 10, true));
    assert!(!client.on_failure(CallId(2)));
    assert!(client.on_failure(CallId(3)));
}

#[test]
fn snapshot_client_first_snapshot_replaces_a_watch_and_a_later_fetch_the_earlier_one() {
    let mut client = SnapshotFirstClient::new(address(1));
    client.fetch();
    client.fetch();
    assert_eq!(client.take_commands(), [fetch(1, 1), fetch(2, 1), abort(1)]);
    assert!(!client.on_list(CallId(1), 4, true));
    assert!(client.on_list(CallId(2), 5, true));
    assert!(client.on_list(CallId(2), 0, true));
    assert!(client.on_list(CallId(2), 6, true));
    assert_eq!(client.take_commands(), [watch(3, 1, 5), watch(4, 1, 6), abort(3)]);
}
