//! Rules that follow from the gateway's limits.

#![warn(clippy::pedantic)]
#![allow(clippy::float_cmp, reason = "the expected values are exact")]

use latchhaven_gateway::clock::{duration, millis};
use latchhaven_gateway::limits::clients::{
    EvictionCandidate, FIRST_REQUEST_TIMEOUT, IDLE_TIMEOUT, InputProgress, MESSAGE_TIMEOUT, SessionState,
    choose_eviction, large_message_memory,
};
use latchhaven_gateway::limits::discovery::silence_after_missed_keepalive;
use latchhaven_gateway::limits::platform::{FEED_BACKOFF, MAX_REPORT_AGE, is_older_state};
use latchhaven_gateway::limits::shutdown::{CloseTime, ShutdownSchedule, WaitingConnection};
use latchhaven_gateway::limits::start::DescriptorShares;
use latchhaven_gateway::limits::upstream::{
    attempt_deadline, idle_close_after, max_idle_for_reuse, settle_time,
};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the index of the candidate that is evicted. Each candidate has a state and the milliseconds since its last
/// final response or its accept.
fn evicted_index(candidates: &[(SessionState, u64)]) -> Option<u64> {
    let now = Instant::now() + ms(60_000);
    let candidates = (0..).zip(candidates).map(|(id, (state, duration_ms))| EvictionCandidate {
        id,
        state: *state,
        last_activity: now - ms(*duration_ms),
    });
    choose_eviction(&candidates, now).map(|candidate| candidate.id)
}

#[rstest]
#[case::closing_first(&[(SessionState::New, 500), (SessionState::Idle, 3000), (SessionState::Closing, 0)], Some(2))]
#[case::silent_before_idle(&[(SessionState::Idle, 3000), (SessionState::New, 50)], Some(1))]
#[case::longest_silent(&[(SessionState::New, 60), (SessionState::New, 90), (SessionState::New, 70)], Some(1))]
#[case::longest_idle(&[(SessionState::Idle, 2000), (SessionState::Idle, 2001)], Some(1))]
#[case::first_of_equals(&[(SessionState::Idle, 2500), (SessionState::Idle, 2500)], Some(0))]
#[case::silent_too_briefly(&[(SessionState::New, 49), (SessionState::Idle, 2000)], Some(1))]
#[case::idle_too_briefly(&[(SessionState::New, 49), (SessionState::Idle, 1999)], None)]
#[case::in_use(&[(SessionState::Busy, 9000), (SessionState::Evicted, 9000)], None)]
fn eviction_chooses(#[case] candidates: &[(SessionState, u64)], #[case] expected: Option<u64>) {
    assert_eq!(evicted_index(candidates), expected);
}

/// Too little would delay the requests of clients that send completely, whatever the limit of memory is. Too much, with
/// the read-ahead of all connections, would exceed the limit.
#[rstest]
#[case::half_of_the_limit(192 << 20, 488, 96 << 20)]
#[case::lowest_limit_of_the_settings(32 << 20, 488, 16 << 20)]
#[case::little_memory_for_many_clients(24 << 20, 488, (24 << 20) - (8 << 20) - (488 << 14))]
#[case::at_least_24_messages(1 << 20, 488, 24 * 139_264)]
fn memory_for_large_messages_follows_the_limit(
    #[case] limit: usize, #[case] max_sessions: usize, #[case] expected: usize,
) {
    assert_eq!(large_message_memory(limit, max_sessions), expected);
}

/// A duplicate that is under way as the next query is written was sent less than a round trip before.
#[rstest]
#[case::short_round_trip(999, None, 5)]
#[case::network(1000, None, 20)]
#[case::recent_unsolicited_bytes(500, Some(59_999), 20)]
#[case::earlier_ones(500, Some(60_000), 5)]
fn connections_settle_by_round_trip_and_unsolicited_bytes(
    #[case] round_trip_us: u64, #[case] since_ms: Option<u64>, #[case] expected_ms: u64,
) {
    assert_eq!(settle_time(Duration::from_micros(round_trip_us), since_ms.map(ms)), ms(expected_ms));
}

#[test]
fn input_deadline_depends_on_first_request_and_message_start() {
    let since = Instant::now();
    let message_began = Some(since + ms(300));
    let new = InputProgress { last_activity: since, has_requested: false, message_began };
    assert_eq!(new.deadline(), since + FIRST_REQUEST_TIMEOUT);
    let idle = InputProgress { last_activity: since, has_requested: true, message_began: None };
    assert_eq!(idle.deadline(), since + IDLE_TIMEOUT);
    assert!(idle.is_idle());
    let receiving = InputProgress { last_activity: since, has_requested: true, message_began };
    assert_eq!(receiving.deadline(), since + ms(300) + MESSAGE_TIMEOUT);
    assert!(!new.is_idle() && !receiving.is_idle());
}

#[rstest]
#[case::short_timeout(800.0, 1250)]
#[case::longest_counted_timeout(3000.0, 3450)]
#[case::longer_timeout(60_000.0, 3450)]
fn shutdown_drain_time_follows_the_longest_timeout(#[case] longest_timeout: f64, #[case] drain_ms: u64) {
    let schedule = ShutdownSchedule::new(longest_timeout);
    assert_eq!(schedule.abandon_after(), ms(drain_ms));
    assert_eq!(schedule.close_after(), ms(drain_ms + 200));
}

#[rstest]
#[case::before_shutdown(900.0, 0, false)]
#[case::within_window(1599.0, 599, false)]
#[case::after_window(1600.0, 600, true)]
#[case::waited_past_drain_time(1100.0, 1250, true)]
fn request_during_shutdown_is_rejected(
    #[case] arrived_at: f64, #[case] elapsed_ms: u64, #[case] expected: bool,
) {
    assert_eq!(ShutdownSchedule::new(800.0).rejects_request(arrived_at, 1000.0, ms(elapsed_ms)), expected);
}

#[test]
fn waiting_connection_closes_by_its_state_during_shutdown() {
    let since = Instant::now();
    let idle = WaitingConnection {
        is_evicted: false,
        has_requested: true,
        has_partial_message: false,
        is_pipelined: false,
        last_activity: since,
        waiting_since: since + ms(100),
    };
    let began = since + ms(200);
    assert_eq!(idle.close_time(None), CloseTime::Undecided);
    assert_eq!(idle.close_time(Some(began)), CloseTime::Now);
    let evicted = WaitingConnection { is_evicted: true, has_partial_message: true, ..idle };
    assert_eq!(evicted.close_time(None), CloseTime::Now);
    let receiving = WaitingConnection { has_partial_message: true, ..idle };
    assert_eq!(receiving.close_time(Some(began)), CloseTime::Undecided);
    let pipelined = WaitingConnection { is_pipelined: true, ..idle };
    assert_eq!(pipelined.close_time(Some(began)), CloseTime::At(since + ms(110)));
    let new = WaitingConnection { has_requested: false, is_pipelined: true, ..idle };
    assert_eq!(new.close_time(Some(began)), CloseTime::At(began + ms(250)));
    assert_eq!(new.close_time(Some(since - ms(50))), CloseTime::At(since + ms(250)));
}

#[test]
fn descriptors_are_divided_between_clients_and_endpoints() {
    assert_eq!(DescriptorShares::of(64), DescriptorShares { clients: 8, endpoints: 8 });
    assert_eq!(DescriptorShares::of(1023), DescriptorShares { clients: 487, endpoints: 488 });
}

#[test]
fn idle_connection_is_closed_between_reuse_and_the_endpoints_timeout() {
    assert_eq!(max_idle_for_reuse(1000.0), ms(800));
    assert_eq!(idle_close_after(1000.0), ms(900));
}

#[rstest]
#[case::request_deadline(None, 5000.0)]
#[case::attempt_timeout(Some(300.0), 1300.0)]
#[case::timeout_beyond_request(Some(9000.0), 5000.0)]
fn attempt_deadline_is_within_the_request_deadline(#[case] timeout: Option<f64>, #[case] expected: f64) {
    assert_eq!(attempt_deadline(1000.0, timeout, 5000.0), expected);
}

#[test]
fn watch_silence_counts_after_a_missed_keepalive() {
    assert_eq!(silence_after_missed_keepalive(true, ms(2000)), 0.0);
    assert_eq!(silence_after_missed_keepalive(true, ms(2500)), 2500.0);
    assert_eq!(silence_after_missed_keepalive(false, ms(2500)), 0.0);
}

#[test]
fn rollout_state_is_older_beyond_the_tolerance() {
    assert!(!is_older_state(80.0, 100.0));
    assert!(is_older_state(79.0, 100.0));
}

#[test]
fn feed_backoff_doubles_up_to_its_maximum() {
    let bounds: Vec<f64> = (0..6).map(|failures| FEED_BACKOFF.upper_bound(failures)).collect();
    assert_eq!(bounds, [100.0, 200.0, 400.0, 800.0, 1600.0, 1600.0]);
}

#[rstest]
#[case(20)]
#[case(450)]
#[case(600)]
#[case(3000)]
#[case(3_600_000)]
fn integral_milliseconds_are_converted_exactly(#[case] milliseconds: u32) {
    assert_eq!(millis(ms(milliseconds.into())), f64::from(milliseconds));
    assert_eq!(duration(f64::from(milliseconds)), ms(milliseconds.into()));
}

#[test]
fn highest_age_is_a_year() {
    assert_eq!(millis(MAX_REPORT_AGE), 365.0 * 86_400_000.0);
}
