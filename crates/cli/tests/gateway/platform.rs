//! The platform: the feed that it sends, and the votes that it receives.

use latchhaven_test_support::fake_http::{HttpReply, chunk, response};
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::gateway::Gateway;
use latchhaven_test_support::platform_messages::{rollout_state, start_feed};
use latchhaven_test_support::postgres::select;
use latchhaven_test_support::wait::wait_until;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::TcpListener;

/// A vote that certainly was not received must not count as one with an unknown outcome: it may be cast again.
#[test]
fn vote_without_a_connection_is_not_counted() {
    let (baseline, canary) =
        (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let gateway = Gateway::start_with(&[&baseline, &canary], |config| {
        let closed = TcpListener::bind("127.0.0.1:0").unwrap();
        config["known"]["hosts"][1]["release"] = json!(2);
        config["pipeline"]["news"] = rollout_state(2, 0, "IN_PROGRESS", 0.5);
        config["pipeline"]["address"] = json!(closed.local_addr().unwrap().to_string());
    });
    wait_until("the vote outcome is counted", || gateway.counter("votes_not_counted_total") >= 1);
    assert_eq!((gateway.counter("votes_counted_total"), gateway.counter("votes_unknown_total")), (0, 0));
}

/// Without a feed the gateway would use an outdated rollout state. After a malformed line, the start of the next one
/// is uncertain.
#[test]
fn feed_is_reopened_after_a_malformed_line_or_a_disconnect() {
    let server = FakeServer::start(ServerBehavior::Succeed);
    let gateway = Gateway::start(&[&server]);
    wait_until("the feed is open", || gateway.platform.count_calls_containing("GET /v1/feed") == 1);
    let outcome_report = json!({"version": 1, "kind": "look", "requests": 57, "failures": 2, "avgMs": 18.5});
    let line = json!({"type": "SAMPLE", "object": outcome_report});
    gateway.platform.write(&chunk(&format!("{{}}\n{line}\n{{nonsense\n{line}\n")));
    wait_until("the feed is reopened", || gateway.platform.count_calls_containing("GET /v1/feed") == 2);
    // Lines after the malformed one are not applied.
    assert_eq!(gateway.counter("outcome_reports_total"), 1);
    gateway.platform.close_streams();
    wait_until("the feed is reopened", || gateway.platform.count_calls_containing("GET /v1/feed") == 3);
}

/// If a vote that the platform may have counted were recorded as not counted, it would be cast twice; if one that it
/// rejected were recorded as counted, it would be lost.
#[rstest]
#[case::counted(
    HttpReply::KeepOpen(response(200, &rollout_state(2, 1, "IN_PROGRESS", 1.0).to_string())),
    "votes_counted_total"
)]
#[case::busy(HttpReply::KeepOpen(response(429, r#"{"error":"BUSY"}"#)), "votes_not_counted_total")]
#[case::stale(HttpReply::KeepOpen(response(409, r#"{"error":"STALE"}"#)), "votes_not_counted_total")]
#[case::failed(HttpReply::KeepOpen(response(500, r#"{"error":"FAILED"}"#)), "votes_not_counted_total")]
#[case::syntax(HttpReply::KeepOpen(response(400, r#"{"error":"SYNTAX"}"#)), "votes_not_counted_total")]
#[case::truncated_head(HttpReply::Close("HTTP/1.1 200 OK\r\nContent-Le".to_string()), "votes_unknown_total")]
#[case::unreadable(HttpReply::KeepOpen(response(200, "{}")), "votes_unknown_total")]
#[case::trailing_data(
    HttpReply::KeepOpen(response(200, &(rollout_state(2, 1, "IN_PROGRESS", 1.0).to_string() + "x"))),
    "votes_unknown_total"
)]
#[case::truncated_body(HttpReply::KeepOpen(response(429, "{\"error\":\"BU")), "votes_unknown_total")]
#[case::mismatched_error(HttpReply::KeepOpen(response(409, "{\"error\":\"BUSY\"}")), "votes_unknown_total")]
#[case::silent(HttpReply::Nothing, "votes_unknown_total")]
fn vote_reply_decides_the_vote_outcome(#[case] reply: HttpReply, #[case] counter: &str) {
    let (baseline, canary) =
        (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    let platform = start_feed(&rollout_state(2, 0, "IN_PROGRESS", 0.5), move |_| reply.clone());
    let gateway = Gateway::start_with_platform(&[&baseline, &canary], platform, |config| {
        config["known"]["hosts"][1]["release"] = json!(2);
        config["pipeline"]["news"] = rollout_state(2, 0, "IN_PROGRESS", 0.5);
    });
    wait_until("a vote is cast", || gateway.platform.count_calls_containing("POST /v1/ballots") > 0);
    wait_until("the vote outcome is counted", || gateway.counter(counter) >= 1);
    let calls = gateway.platform.calls.lock().unwrap().clone();
    let body = &calls.iter().find(|call| call.request_line.contains("ballots")).unwrap().body;
    let vote: Value = serde_json::from_str(body).unwrap();
    assert_eq!(vote, json!({"version": 2, "step": 0, "vote": "approve"}));
    let other_counters = ["votes_counted_total", "votes_not_counted_total", "votes_unknown_total"]
        .into_iter()
        .filter(|other| *other != counter);
    let others: Vec<(&str, u64)> = other_counters.map(|other| (other, gateway.counter(other))).collect();
    assert!(others.iter().all(|(_, count)| *count == 0), "{others:?}");
}

/// The reply to a vote contains the rollout state. A delayed reply would return the gateway to an earlier stage.
#[test]
fn later_rollout_state_takes_precedence_over_a_delayed_vote_reply() {
    let (baseline, canary) =
        (FakeServer::start(ServerBehavior::Succeed), FakeServer::start(ServerBehavior::Succeed));
    // The feed reports stage 1; replies to votes arrive later but report an older state.
    let mut old_state = rollout_state(2, 0, "IN_PROGRESS", 0.5);
    old_state["observedAgoMs"] = json!(60_000);
    let platform = start_feed(&rollout_state(2, 1, "IN_PROGRESS", 1.0), move |_| {
        HttpReply::KeepOpen(response(200, &old_state.to_string()))
    });
    let gateway = Gateway::start_with_platform(&[&baseline, &canary], platform, |config| {
        config["known"]["hosts"][1]["release"] = json!(2);
        config["pipeline"]["news"] = rollout_state(2, 1, "IN_PROGRESS", 1.0);
        config["settings"]["domain"]["vote-ttl-s"] = json!(1.0);
    });
    let mut client = gateway.client();
    let mut number = 0;
    wait_until("two votes are counted", || {
        number += 1;
        client.query(&select(&format!("a{number}"), "look", 900));
        gateway.counter("votes_counted_total") >= 2
    });
    let calls = gateway.platform.calls.lock().unwrap().clone();
    let votes = calls.iter().filter(|call| call.request_line.contains("ballots"));
    assert!(votes.map(|call| &call.body).all(|body| body.contains("\"step\":1")), "{calls:?}");
}
