//! Events of the policy in the JSON log: the event's name as the message, its values as fields.

use latchhaven_gateway::policy_log::log_event;
use latchhaven_policy::{EjectionReason, LogEvent, RejectionReason, Verdict, Version};
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

/// The fields of the one line that an event is printed as, in the format of the gateway's JSON log.
fn fields(event: &LogEvent) -> Value {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .json()
        .flatten_event(true)
        .with_level(false)
        .with_target(false)
        .without_time()
        .finish();
    tracing::subscriber::with_default(subscriber, || log_event(event));
    let line = buffer.0.lock().expect("not poisoned").clone();
    serde_json::from_slice(&line).expect("one line of JSON")
}

#[rstest]
#[case::canary_rejected(
    LogEvent::CanaryRejected { version: Version(7), stage: 1, reason: RejectionReason::SuccessRate, probability: 0.996, failures: 8.5, expected_failures: 2.0 },
    json!({"message": "canary rejected", "version": 7, "stage": 1, "reason": "success rate", "probability": 0.996, "failures": 8.5, "expected_failures": 2.0})
)]
#[case::vote_cast(
    LogEvent::VoteCast { verdict: Verdict::RollBack, version: Version(7), stage: 1, probability_worse: 0.996 },
    json!({"message": "vote cast", "verdict": "RollBack", "version": 7, "stage": 1, "probability_worse": 0.996})
)]
#[case::endpoint_ejected(
    LogEvent::EndpointEjected { endpoint: "a:1".into(), incarnation: 2, reason: EjectionReason::ConnectFailures, ejected_for: 500.0, error_rate: 0.25, consecutive_timeouts: 2 },
    json!({"message": "endpoint ejected", "endpoint": "a:1", "incarnation": 2, "reason": "connect failures", "ejected_for_ms": 500.0, "error_rate": 0.25, "consecutive_timeouts": 2})
)]
fn event_is_printed_with_its_fields(#[case] event: LogEvent, #[case] expected: Value) {
    assert_eq!(fields(&event), expected);
    assert_eq!(expected["message"], event.name());
}
