//! Valid and malformed lines of the simulator.

use latchhaven_policy::*;
use latchhaven_simulator_protocol::actions::{has_line, write_action};
use latchhaven_simulator_protocol::fields::Fields;
use latchhaven_simulator_protocol::messages::{Message, parse_endpoint_entry, parse_message};
use latchhaven_simulator_protocol::{InstanceHost, settings};
use rstest::rstest;

const SETTINGS: &str = r#"{"azs": ["x"], "classes": [{"aim-s": 0.5, "effect": "at_most_once", "gain": 1.0, "hard-limit-s": 2.0, "name": "pay"}], "domain": {"allowance": 1.0, "caps": [0.1, 1.0], "counts": "all", "style": "rolling", "vote-mode": "single", "vote-ttl-s": 4.0, "votes-to-go": 1, "votes-to-revert": 1, "window-s": 2.0}, "later-key": 1, "locality": "x", "me": 0, "permissions": {"cancelling": true, "second-copies": true, "try-limit": 3}, "registry-mode": "subscribe", "replicas-of-me": 2, "rules": {"ask-within-s": 10.0, "cold-from": 0.4, "drain-grace-s": 2.0, "fall-s": 1.5, "tip-multiple": 3.0, "warm-up-s": 4.0}}"#;

fn serve(input: &str) -> (String, Option<String>) {
    let mut output = Vec::new();
    let result = InstanceHost::default().serve(input.as_bytes(), &mut output);
    (String::from_utf8(output).expect("text"), result.err().map(|error| error.to_string()))
}

/// A batch that starts an instance with a list of one endpoint, and continues with `rest`.
fn batch_with_started_instance(rest: &str) -> String {
    format!(
        "MARK sim-time-s=9.5\nON i=gateway-0\nENLIST rng-seed=5 params={SETTINGS}\n\
         DIRECTORY bank=3 records=1\nENTRY instance=10.0.0.1:80 state=healthy build=4 az=x extra=1\n\
         SYNC index=1 kind=C bank=3\n{rest}"
    )
}

#[rstest]
#[case("REMINDER handle=tick", Event::TimerFired { token: "tick".into() })]
#[case("ABORTED handle=7 unknown=1", Event::ClientDisconnected { id: RequestId(7) })]
#[case("STREAMING handle=7 go=1 instance=a:1 duration-s=0.25",
    Event::ResponseStarted { id: RequestId(7), attempt: 1, endpoint: "a:1".into(), elapsed: 250.0 })]
#[case("RESOLVED handle=7 ending=turned_away go=1 duration-s=0.5 instance=a:1 metrics=rif:3,rate:2.5",
    Event::AttemptCompleted(CompletedAttempt { id: RequestId(7), attempt: 1, endpoint: "a:1".into(), outcome: AttemptOutcome::Rejected, is_final: false,
        elapsed: 500.0, load: LoadReport::from_iter([("rif".into(), 3.0), ("rate".into(), 2.5)]), connected_at: None }))]
#[case("CHECK_RESULT duration-s=0.5 instance=a:1 ending=no_connection",
    Event::HealthCheckCompleted { endpoint: "a:1".into(), outcome: AttemptOutcome::ConnectFailed, elapsed: 500.0, load: LoadReport::default() })]
#[case("PEER_DATA by=2 payload=aGk=", Event::PeerMessage { from: 2, data: b"hi".to_vec() })]
#[case("PEER_DATA by=2 payload=-", Event::PeerMessage { from: 2, data: vec![] })]
#[case("DIGEST rel=4 profile=pay count=8 errors=2 duration-s=0.5 age-s=1",
    Event::OutcomesReported(OutcomeReport { version: Version(4), class: "pay".into(), attempts: 8, failures: 2, mean_latency: Some(500.0), age: 1000.0 }))]
#[case("REPORTED_WRONG instance=a:1 profile=pay age-s=2",
    Event::WrongResponseReported { endpoint: "a:1".into(), class: "pay".into(), age: 2000.0 })]
#[case("JOB_IN handle=7 profile=pay ttl-s=0.5 again-by-client=1 target-key=k:1 mutates=0 realm=0",
    Event::RequestReceived(IncomingRequest { id: RequestId(7), class: "pay".into(), tenant: None, sticky_key: Some("k:1".into()), time_remaining: 500.0, queued_for: 0.0, expected_work: None,
        is_retry: true, is_write: false }))]
#[case("SHIP_STATE ending=served where-at=1 allowed=0.5 rel=4 wave=2 age-s=0.5 how=1",
    Event::VoteCompleted(VoteOutcome::Counted(RolloutState { version: Version(4), stage: 2,
        phase: RolloutPhase::RollingBack, traffic_cap: 0.5, age: 500.0 })))]
#[case("SHIP_STATE ending=served where-at=1 allowed=0.5 rel=4 wave=2 age-s=0.5 how=0",
    Event::RolloutUpdate(RolloutState { version: Version(4), stage: 2,
        phase: RolloutPhase::RollingBack, traffic_cap: 0.5, age: 500.0 }))]
#[case("SHIP_STATE ending=no_answer how=1", Event::VoteCompleted(VoteOutcome::Unknown))]
#[case("SHIP_STATE ending=turned_away how=1", Event::VoteCompleted(VoteOutcome::NotCounted))]
#[case("SHIP_STATE ending=no_answer", Event::RolloutUnavailable)]
fn message_is_parsed_as_event(#[case] line: &str, #[case] event: Event) {
    let (name, rest) = line.split_once(' ').expect("fields");
    assert_eq!(parse_message(name, &Fields::parse(rest).expect("pairs")), Ok(Message::Event(event)));
}

#[rstest]
#[case(Action::SendAttempt { id: RequestId(7), endpoint: "a:1".into(), timeout: Some(80.0), write_timeout: None }, "PASS_ON handle=7 instance=a:1 max-wait-s=0.08")]
#[case(Action::Reject { id: RequestId(7), retry_after: Some(500.0), reason: UnservedReason::Overload { shed_probability: 0.5 } }, "DENY handle=7 retry-after-s=0.5")]
#[case(Action::Reject { id: RequestId(7), retry_after: None, reason: UnservedReason::Overload { shed_probability: 0.5 } }, "DENY handle=7")]
#[case(Action::Fail { id: RequestId(7), reason: UnservedReason::Overload { shed_probability: 0.5 } }, "FAIL handle=7")]
#[case(Action::CancelAttempt { id: RequestId(7), attempt: 2 }, "ABANDON handle=7 go=2")]
#[case(Action::SetTimer { after: 10.0, token: "t".into() }, "WAKE_ME delay-s=0.01 handle=t")]
#[case(Action::HealthCheck { endpoint: "a:1".into() }, "SOUND_OUT instance=a:1")]
#[case(Action::CloseIdleConnections { endpoint: "a:1".into() }, "CLOSE_IDLE instance=a:1")]
#[case(Action::SendPeerMessage { to: None, data: b"hi".to_vec() }, "WRITE_PEER target=* payload=aGk=")]
#[case(Action::SendPeerMessage { to: Some(3), data: vec![] }, "WRITE_PEER target=3 payload=-")]
#[case(Action::WatchEndpoints { enabled: true }, "SUBSCRIBE active=1")]
#[case(Action::FetchEndpoints, "PULL")]
#[case(Action::CastVote { version: Version(4), stage: 1, verdict: Verdict::RollBack }, "BALLOT rel=4 wave=1 how=3")]
#[case(Action::Log(LogEvent::CanaryRejected { version: Version(4), stage: 1, reason: RejectionReason::SuccessRate, probability: 0.9904, failures: 7.6, expected_failures: 2.0 }), "EMIT what=canary rejected version=4 stage=1 reason=\"success rate\" probability=0.990 failures=8 expected=2")]
#[case(Action::Log(LogEvent::VoteCast { verdict: Verdict::RollBack, version: Version(4), stage: 1, probability_worse: 1.0 }), "EMIT what=vote cast verdict=RollBack version=4 stage=1 probability_worse=1.000")]
#[case(Action::Log(LogEvent::EndpointEjected { endpoint: "a:1".into(), incarnation: 2, reason: EjectionReason::ConnectFailures, ejected_for: 500.0, error_rate: 0.1, consecutive_timeouts: 2 }), "EMIT what=endpoint ejected endpoint=a:1 reason=\"connect failures\"")]
fn action_is_written_as_line(#[case] action: Action, #[case] line: &str) {
    let mut out = Vec::new();
    write_action(&action, &mut out).expect("written");
    assert_eq!(String::from_utf8(out).expect("text"), format!("{line}\n"));
}

/// The simulator's attempts are written as soon as they are sent: there is no line to cancel them before.
#[test]
fn cancellation_of_unwritten_attempt_has_no_line() {
    let action = Action::CancelUnwrittenAttempt { id: RequestId(7), attempt: 2 };
    let mut out = Vec::new();
    write_action(&action, &mut out).expect("written");
    assert!(out.is_empty() && !has_line(&action));
}

#[rstest]
#[case("instance=a:1 state=cordoned build=4", Ok((EndpointStatus::Draining, 0.0)))]
#[case("instance=a:1 state=healthy build=4 online-since-s=6.1", Ok((EndpointStatus::Ready, 6100.0)))]
#[case("instance=a:1 state=well build=4", Err("field 'state' has an invalid value: 'well'"))]
#[case("instance=a:1 state=healthy build=4.5", Err("field 'build' has an invalid value: '4.5'"))]
fn list_entry_is_parsed(#[case] line: &str, #[case] expected: Result<(EndpointStatus, Millis), &str>) {
    let entry = parse_endpoint_entry(&Fields::parse(line).expect("pairs"));
    assert_eq!(
        entry.map(|entry| (entry.status, entry.started_at)).map_err(|error| error.to_string()),
        expected.map_err(str::to_string)
    );
}

#[rstest]
fn batch_output_ends_with_yield_and_restarted_instance_has_no_state() {
    let first = batch_with_started_instance("JOB_IN handle=7 profile=pay ttl-s=0.5\nFLUSH\n\n");
    let (output, error) = serve(&first);
    assert_eq!(error, None);
    assert!(output.starts_with("CONTEXT i=gateway-0\n") && output.ends_with("YIELD\n"), "{output}");
    assert!(output.contains("PASS_ON handle=7 instance=10.0.0.1:80 max-wait-s="));
    let again =
        format!("{first}{}FLUSH\n", batch_with_started_instance("").replace("ENLIST", "HALT\nENLIST"));
    let (output, error) = serve(&again);
    assert_eq!((error, output.matches("WAKE_ME").count()), (None, 2));
}

#[rstest]
fn slot_contains_the_list_sent_last() {
    let second = "DIRECTORY bank=3 records=1\nENTRY instance=10.0.0.2:80 state=healthy build=4\n\
                  SYNC index=2 kind=F bank=3\nJOB_IN handle=7 profile=pay ttl-s=0.5\nFLUSH\n";
    let (output, error) = serve(&batch_with_started_instance(second));
    assert_eq!(error, None);
    assert!(output.contains("PASS_ON handle=7 instance=10.0.0.2:80"), "{output}");
}

#[rstest]
#[case("FLUSH\n", "line 1: expected MARK to start a batch, found FLUSH")]
#[case("MARK sim-time-s=x\n", "line 1: field 'sim-time-s' has an invalid value: 'x'")]
#[case("MARK\n", "line 1: field 'sim-time-s' is missing")]
#[case("MARK sim-time-s=1\nABORTED handle=1\n", "line 2: expected ON to select an instance, found ABORTED")]
#[case(
    "MARK sim-time-s=1\nON i=gateway-9\nABORTED handle=1\n",
    "line 3: instance 'gateway-9' is not running, expected ENLIST"
)]
#[case(
    "MARK sim-time-s=1\nON i=gateway-9\nFLUSH\n",
    "line 3: instance 'gateway-9' is not running, expected ENLIST"
)]
#[case("MARK sim-time-s=1\nDIRECTORY bank=99 records=0\n", "line 2: field 'bank' has an invalid value: '99'")]
#[case("MARK sim-time-s=1\nENTRY instance=a\n", "line 2: expected DIRECTORY before ENTRY")]
#[case("MARK sim-time-s=1\nWHAT now\n", "line 2: expected a name=value pair, found 'now'")]
#[case("MARK sim-time-s=1\n", "line 2: expected FLUSH to end the batch, found the end of input")]
#[case("MARK sim-time-s=1\nMARK sim-time-s=2\n", "line 2: expected FLUSH to end the batch, found MARK")]
#[case(
    "MARK sim-time-s=1\nDIRECTORY bank=3 records=1\nFLUSH\n",
    "line 3: expected ENTRY inside an endpoint list, found FLUSH"
)]
fn malformed_line_is_reported_with_its_number(#[case] input: &str, #[case] expected: &str) {
    assert_eq!(serve(input).1.as_deref(), Some(expected));
}

#[rstest]
#[case("WHAT handle=1", "unknown message 'WHAT'")]
#[case("ABORTED handle=x", "field 'handle' has an invalid value: 'x'")]
#[case(
    "RESOLVED handle=1 ending=great go=0 instance=a duration-s=1",
    "field 'ending' has an invalid value: 'great'"
)]
#[case("SYNC index=1 kind=F bank=9", "endpoint list 9 was not sent")]
fn malformed_message_to_instance_is_reported(#[case] line: &str, #[case] expected: &str) {
    let error = serve(&batch_with_started_instance(&format!("{line}\n"))).1.expect("an error");
    assert!(error.ends_with(expected), "{error}");
}

#[rstest]
#[case(r#""allowance": 1.0, "#, "", "missing field `allowance`")]
#[case(r#""caps": [0.1, 1.0]"#, r#""caps": []"#, "domain.caps: expected at least one cap, found none")]
#[case(r#""fall-s": 1.5"#, r#""fall-s": 0"#, "rules.fall-s: expected a number above 0, found 0")]
#[case(
    r#""replicas-of-me": 2"#,
    r#""replicas-of-me": 0"#,
    "me: expected a number below replicas-of-me (0), found 0"
)]
#[case(
    r#""hard-limit-s": 2.0"#,
    r#""hard-limit-s": 0.2"#,
    "hard-limit-s: expected at least aim-s (0.5), found 0.2"
)]
#[case(
    r#""at_most_once""#,
    r#""deduplicated""#,
    "dedup-window-s: expected a number above 0 with effect deduplicated, found 0"
)]
#[case(r#"[0.1, 1.0]"#, r#"[0.1, 1.5]"#, "domain.caps: expected caps from 0 to 1, found 1.5")]
#[case(r#""locality": "x""#, r#""locality": "y""#, "locality: expected one of azs (x), found 'y'")]
#[case(r#""fall-s": 1.5"#, r#""fall-ms": 1500"#, "rules.fall-ms: unknown unit, expected seconds")]
#[case(r#""single""#, r#""clocked""#, "domain.to-pause: expected at least 1 with vote-mode clocked, found 0")]
fn incomplete_or_contradictory_settings_are_rejected(
    #[case] old: &str, #[case] new: &str, #[case] expected: &str,
) {
    assert!(settings::parse(SETTINGS).is_ok() && SETTINGS.contains(old));
    let error = settings::parse(&SETTINGS.replace(old, new)).err().expect("an error").to_string();
    assert!(error.contains(expected), "{error}");
}
