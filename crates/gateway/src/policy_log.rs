//! Log lines of the policy. Each event of the policy becomes a tracing event with the event's name as the message and
//! its values as fields. Gateways and control services log them with [`log_event`].

use latchhaven_policy::{LogEvent, RequestId, UnservedReason};

/// Logs an event of the policy at `info`.
pub fn log_event(event: &LogEvent) {
    match event {
        LogEvent::CanaryRejected { version, stage, reason, probability, failures, expected_failures } => {
            let reason = reason.as_str();
            tracing::info!(
                version = version.0,
                stage,
                reason,
                probability,
                failures,
                expected_failures,
                "canary rejected"
            );
        }
        LogEvent::VoteCast { verdict, version, stage, probability_worse } => {
            tracing::info!(?verdict, version = version.0, stage, probability_worse, "vote cast");
        }
        LogEvent::EndpointEjected {
            endpoint,
            incarnation,
            reason,
            ejected_for,
            error_rate,
            consecutive_timeouts,
        } => {
            let reason = reason.as_str();
            tracing::info!(
                %endpoint,
                reason,
                incarnation,
                ejected_for_ms = ejected_for,
                error_rate,
                consecutive_timeouts,
                "endpoint ejected"
            );
        }
    }
}

/// Logs at `debug` why a request gets no result, with the inputs of the rule that decided.
pub fn log_unserved(id: RequestId, reason: &UnservedReason) {
    let id = id.0;
    let rule = reason.name();
    match reason {
        UnservedReason::Overload { shed_probability } => {
            tracing::debug!(id, reason = %rule, shed_probability, "request: no result");
        }
        UnservedReason::NoEndpoint { ready_endpoints, expected_latency, objective_left } => tracing::debug!(
            id,
            reason = %rule,
            ready_endpoints,
            expected_latency_ms = expected_latency,
            objective_left_ms = objective_left,
            "request: no result"
        ),
        UnservedReason::ListExpired { expired_for } => {
            tracing::debug!(id, reason = %rule, expired_for_ms = expired_for, "request: no result");
        }
        UnservedReason::AttemptsFailed { attempts, last_outcome, objective_left } => tracing::debug!(
            id,
            reason = %rule,
            attempts,
            ?last_outcome,
            objective_left_ms = objective_left,
            "request: no result"
        ),
        UnservedReason::Overdue { attempts, overdue_for } => {
            tracing::debug!(id, reason = %rule, attempts, overdue_for_ms = overdue_for, "request: no result");
        }
        UnservedReason::Abandoned | UnservedReason::UnknownClass => {
            tracing::debug!(id, reason = %rule, "request: no result");
        }
    }
}
