//! The checker of a run's history reports each kind of violation, and none if the history follows the rules.

use latchhaven_test_support::history::{
    ArrivalRecord, History, Moment, OutageRecord, ProcessEvent, ProcessRecord, RequestEnd, RequestRecord,
    StatusChangeRecord, Violation,
};
use std::collections::BTreeMap;
use std::time::Duration;

const DRAIN_GRACE: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn request(sent_at: u64, end: RequestEnd, ended_at: u64) -> RequestRecord {
    RequestRecord {
        id: "a1".to_string(),
        gateway: 0,
        is_non_idempotent: true,
        sent_at: at(sent_at),
        timeout: at(900),
        end,
        ended_at: at(ended_at),
    }
}

fn arrival(ms: u64, is_executed: bool) -> ArrivalRecord {
    ArrivalRecord { id: "a1".to_string(), server: 0, at: at(ms), is_executed }
}

fn process(ms: u64, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { gateway: 0, at: at(ms), event }
}

fn history(requests: Vec<RequestRecord>, arrivals: Vec<ArrivalRecord>) -> History {
    History { requests, arrivals, ..History::default() }
}

fn lost(end: RequestEnd) -> Vec<Violation> {
    vec![Violation::Lost { id: "a1".to_string(), end }]
}

#[test]
fn history_that_follows_the_rules_has_no_violations() {
    let compliant = history(vec![request(0, RequestEnd::Served, 100)], vec![arrival(50, true)]);
    assert_eq!(compliant.violations(DRAIN_GRACE), []);
}

#[test]
fn missing_late_or_wrong_response_is_a_lost_request() {
    for (end, ended_at) in [
        (RequestEnd::Unanswered, 2000),
        (RequestEnd::Closed, 100),
        (RequestEnd::WrongValue, 100),
        (RequestEnd::Served, 1800),
    ] {
        assert_eq!(history(vec![request(0, end, ended_at)], vec![]).violations(DRAIN_GRACE), lost(end));
    }
}

#[test]
fn pending_requests_may_be_lost_by_sigkill_but_not_after_sigterm() {
    let mut killed = history(vec![request(1000, RequestEnd::Closed, 1200)], vec![]);
    killed.processes = vec![process(0, ProcessEvent::Started), process(1200, ProcessEvent::Killed)];
    assert_eq!(killed.violations(DRAIN_GRACE), []);
    killed.processes.insert(1, process(500, ProcessEvent::Terminated));
    assert_eq!(killed.violations(DRAIN_GRACE), lost(RequestEnd::Closed));
    killed.requests[0].ended_at = at(1030);
    assert_eq!(
        killed.violations(DRAIN_GRACE),
        [],
        "the connection may have been closed before the query arrived"
    );
}

#[test]
fn second_execution_and_rejection_of_an_execution_are_duplicates() {
    let twice =
        history(vec![request(0, RequestEnd::Served, 100)], vec![arrival(20, true), arrival(50, true)]);
    assert_eq!(twice.violations(DRAIN_GRACE), [Violation::Duplicate { id: "a1".to_string() }]);
    let rejected = history(vec![request(0, RequestEnd::Rejected, 100)], vec![arrival(20, true)]);
    assert_eq!(rejected.violations(DRAIN_GRACE), [Violation::Duplicate { id: "a1".to_string() }]);
    let retried =
        history(vec![request(0, RequestEnd::Served, 100)], vec![arrival(20, false), arrival(50, true)]);
    assert_eq!(retried.violations(DRAIN_GRACE), []);
}

fn drained(written_at: BTreeMap<usize, Moment>, arrives_at: u64) -> History {
    let mut drained = history(
        vec![request(arrives_at, RequestEnd::Served, arrives_at + 10)],
        vec![arrival(arrives_at, true)],
    );
    drained.status_changes =
        vec![StatusChangeRecord { server: 0, at: at(1000), is_ready: false, written_at }];
    drained
}

#[test]
fn query_to_a_draining_server_is_a_violation_after_notification_and_grace() {
    let written = || BTreeMap::from([(0, at(1100))]);
    assert_eq!(drained(written(), 2300).violations(DRAIN_GRACE), []);
    let found =
        Violation::Drain { id: "a1".to_string(), gateway: 0, server: 0, at: at(2500), after: at(1400) };
    assert_eq!(drained(written(), 2500).violations(DRAIN_GRACE), [found]);
    assert_eq!(drained(BTreeMap::new(), 8200).violations(DRAIN_GRACE), [], "notified 6 s later");
    assert_eq!(drained(BTreeMap::new(), 8400).violations(DRAIN_GRACE).len(), 1);
}

#[test]
fn outage_delays_the_notification_and_a_start_or_a_ready_status_resets_it() {
    let mut outage = drained(BTreeMap::new(), 12_000);
    outage.outages = vec![OutageRecord { gateway: 0, from: at(500), until: at(5000) }];
    assert_eq!(outage.violations(DRAIN_GRACE), []);
    let mut restarted = drained(BTreeMap::new(), 9000);
    restarted.processes = vec![process(8000, ProcessEvent::Started)];
    assert_eq!(restarted.violations(DRAIN_GRACE), []);
    let mut ready = drained(BTreeMap::new(), 9000);
    let written_at = BTreeMap::new();
    ready.status_changes.push(StatusChangeRecord { server: 0, at: at(3000), is_ready: true, written_at });
    assert_eq!(ready.violations(DRAIN_GRACE), []);
}
