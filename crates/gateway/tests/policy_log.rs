//! Log lines of the policy's events: the event's name is the message, and its values are the fields.

use latchhaven_gateway::policy_log::{log_event, log_unserved};
use latchhaven_policy::{
    AttemptOutcome, EjectionReason, LogEvent, RejectionReason, RequestId, UnservedReason, Verdict, Version,
};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns what `print` logs, in the format of the gateway's JSON log or of its text log.
fn logged(is_json: bool, print: impl FnOnce()) -> String {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .with_max_level(tracing::Level::DEBUG)
        .with_ansi(false)
        .with_level(false)
        .with_target(false)
        .without_time();
    if is_json {
        tracing::subscriber::with_default(subscriber.json().flatten_event(true).finish(), print);
    } else {
        tracing::subscriber::with_default(subscriber.finish(), print);
    }
    let bytes = buffer.0.lock().expect("not poisoned").clone();
    String::from_utf8(bytes).expect("UTF-8")
}

fn fields(print: impl FnOnce()) -> Value {
    serde_json::from_str(&logged(true, print)).expect("one line of JSON")
}

#[test]
fn text_lines_begin_as_the_on_call_page_shows_them() {
    let rejected = LogEvent::CanaryRejected {
        version: Version(7),
        stage: 1,
        reason: RejectionReason::SuccessRate,
        probability: 0.996,
        failures: 8.5,
        expected_failures: 2.0,
    };
    let text = logged(false, || log_event(&rejected));
    let start = r#"canary rejected version=7 stage=1 reason="success rate" probability=0.996 "#;
    assert!(text.starts_with(start), "{text}");
    let ejected = LogEvent::EndpointEjected {
        endpoint: "a:1".into(),
        incarnation: 2,
        reason: EjectionReason::ConnectFailures,
        ejected_for: 500.0,
        error_rate: 0.25,
        consecutive_timeouts: 2,
    };
    let text = logged(false, || log_event(&ejected));
    assert!(text.starts_with(r#"endpoint ejected endpoint=a:1 reason="connect failures" "#), "{text}");
    let vote = LogEvent::VoteCast {
        verdict: Verdict::RollBack,
        version: Version(7),
        stage: 1,
        probability_worse: 0.996,
    };
    let text = logged(false, || log_event(&vote));
    assert!(text.starts_with("vote cast verdict=RollBack version=7 stage=1 "), "{text}");
}

#[rstest]
#[case::canary_rejected(
    LogEvent::CanaryRejected {
        version: Version(7),
        stage: 1,
        reason: RejectionReason::SuccessRate,
        probability: 0.996,
        failures: 8.5,
        expected_failures: 2.0,
    },
    json!({
        "message": "canary rejected",
        "version": 7,
        "stage": 1,
        "reason": "success rate",
        "probability": 0.996,
        "failures": 8.5,
        "expected_failures": 2.0
    })
)]
#[case::vote_cast(
    LogEvent::VoteCast {
        verdict: Verdict::RollBack,
        version: Version(7),
        stage: 1,
        probability_worse: 0.996,
    },
    json!({
        "message": "vote cast",
        "verdict": "RollBack",
        "version": 7,
        "stage": 1,
        "probability_worse": 0.996
    })
)]
#[case::endpoint_ejected(
    LogEvent::EndpointEjected {
        endpoint: "a:1".into(),
        incarnation: 2,
        reason: EjectionReason::ConnectFailures,
        ejected_for: 500.0,
        error_rate: 0.25,
        consecutive_timeouts: 2,
    },
    json!({
        "message": "endpoint ejected",
        "endpoint": "a:1",
        "incarnation": 2,
        "reason": "connect failures",
        "ejected_for_ms": 500.0,
        "error_rate": 0.25,
        "consecutive_timeouts": 2
    })
)]
fn event_is_printed_with_its_fields(#[case] event: LogEvent, #[case] expected: Value) {
    assert_eq!(fields(|| log_event(&event)), expected);
    assert_eq!(expected["message"], event.name());
}

#[rstest]
#[case::overload(
    UnservedReason::Overload { shed_probability: 0.25 },
    json!({"reason": "Overload", "shed_probability": 0.25})
)]
#[case::no_endpoint(
    UnservedReason::NoEndpoint { ready_endpoints: 3, expected_latency: 40.0, objective_left: 12.5 },
    json!({
        "reason": "NoEndpoint",
        "ready_endpoints": 3,
        "expected_latency_ms": 40.0,
        "objective_left_ms": 12.5
    })
)]
#[case::list_expired(
    UnservedReason::ListExpired { expired_for: 7.5 },
    json!({"reason": "ListExpired", "expired_for_ms": 7.5})
)]
#[case::attempts_failed(
    UnservedReason::AttemptsFailed { attempts: 2, last_outcome: AttemptOutcome::Timeout, objective_left: -3.0 },
    json!({"reason": "AttemptsFailed", "attempts": 2, "last_outcome": "Timeout", "objective_left_ms": -3.0})
)]
#[case::overdue(
    UnservedReason::Overdue { attempts: 1, overdue_for: 5.0 },
    json!({"reason": "Overdue", "attempts": 1, "overdue_for_ms": 5.0})
)]
#[case::abandoned(UnservedReason::Abandoned, json!({"reason": "Abandoned"}))]
#[case::unknown_class(UnservedReason::UnknownClass, json!({"reason": "UnknownClass"}))]
fn unserved_request_is_printed_with_the_inputs_of_its_rule(
    #[case] reason: UnservedReason, #[case] mut expected: Value,
) {
    expected["message"] = "request: no result".into();
    expected["id"] = 42.into();
    assert_eq!(fields(|| log_unserved(RequestId(42), &reason)), expected);
}
