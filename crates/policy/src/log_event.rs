//! Events for the operators' log, with typed fields. Adapters print the fields; [`Display`](fmt::Display) formats one
//! line of text for adapters without structured logs.

use crate::rollout::{Verdict, Version};
use crate::time::Millis;
use std::fmt;

/// Why outlier detection ejected an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Consecutive attempts without a response reached the limit; the last of them timed out.
    Timeouts,
    /// Consecutive attempts without a response reached the limit; the last of them failed to connect.
    ConnectFailures,
    /// Consecutive attempts without a response reached the limit; the last of them lost its connection.
    ConnectionsLost,
    /// The running mean of the endpoint's error rate exceeded the limit after an error of this gateway's own attempt.
    Errors,
    /// The running mean of the endpoint's error rate exceeded the limit after a report on attempts of
    /// other senders, such as proxies.
    ReportedErrors,
}

impl EjectionReason {
    /// Returns the text that log lines show, which operators' searches name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            EjectionReason::Timeouts => "timeouts",
            EjectionReason::ConnectFailures => "connect failures",
            EjectionReason::ConnectionsLost => "connections lost",
            EjectionReason::Errors => "errors",
            EjectionReason::ReportedErrors => "reported errors",
        }
    }
}

/// The statistical test with the highest probability when a canary was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No test: the prior probability, which applies while there is no evidence.
    Prior,
    /// Errors of this gateway's own attempts and responses reported wrong, compared with the baseline's.
    OwnFailures,
    /// Latencies at the baseline's endpoints, or at the canary's if there is no baseline, compared with those before
    /// the canary.
    AllEndpointsSlower,
    /// Shares of this gateway's own attempts that succeeded within the latency objective, canary and baseline.
    SuccessRate,
    /// Latencies of this gateway's own attempts, canary and baseline.
    Latency,
    /// Failures of the canary in the platform's reports, compared with the number expected at the baseline's failure
    /// rate.
    ReportedFailures,
    /// Failures of all versions in the platform's reports, compared with those before the canary.
    CommonFailures,
    /// Latencies in the platform's reports, canary and baseline.
    ReportedLatency,
    /// Responses that clients of all gateways reported wrong, canary and baseline.
    WrongResponses,
}

impl RejectionReason {
    /// Returns the text that log lines show, which operators' searches name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionReason::Prior => "nothing",
            RejectionReason::OwnFailures => "own errors and wrong answers",
            RejectionReason::AllEndpointsSlower => "fleet slowdown",
            RejectionReason::SuccessRate => "success rate",
            RejectionReason::Latency => "latency",
            RejectionReason::ReportedFailures => "reported failures",
            RejectionReason::CommonFailures => "common failures",
            RejectionReason::ReportedLatency => "reported latency",
            RejectionReason::WrongResponses => "wrong answers",
        }
    }
}

/// An event for the operators' log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// This gateway rejected a version; logged with the gateway's next vote.
    CanaryRejected {
        /// The rejected version.
        version: Version,
        /// The stage of the version's rollout at the rejection, from 0.
        stage: u32,
        /// The test with the highest probability, which need not be one that exceeded its threshold.
        reason: RejectionReason,
        /// The probability of that test that the canary is worse, from 0 to 1.
        probability: f64,
        /// Number of the canary's failures in the platform's reports, weighted by age.
        failures: f64,
        /// Number of failures expected of the canary at the baseline's failure rate, weighted by age.
        expected_failures: f64,
    },
    /// This gateway cast a vote that differs from its previous one.
    VoteCast {
        /// The vote; never [`Verdict::Abstain`].
        verdict: Verdict,
        /// The version voted on.
        version: Version,
        /// The stage of the version's rollout, from 0.
        stage: u32,
        /// The highest probability of all tests that the version is worse, from 0 to 1.
        probability_worse: f64,
    },
    /// An endpoint was ejected after a time of health; further ejections in a row are not logged.
    EndpointEjected {
        /// The endpoint's id.
        endpoint: String,
        /// Number of endpoints and restarts so far that occupied this slot of the endpoint table.
        incarnation: u32,
        /// The condition that led to the ejection.
        reason: EjectionReason,
        /// Duration of the ejection.
        ejected_for: Millis,
        /// Running mean of the share of the endpoint's responses that are errors, from 0 to 1.
        error_rate: f64,
        /// Number of consecutive attempts that timed out, did not connect or lost their connection.
        consecutive_timeouts: u32,
    },
}

impl LogEvent {
    /// Returns the event's name, which begins the log line; the fields follow.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            LogEvent::CanaryRejected { .. } => "canary rejected",
            LogEvent::VoteCast { .. } => "vote cast",
            LogEvent::EndpointEjected { .. } => "endpoint ejected",
        }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.name();
        match self {
            LogEvent::CanaryRejected { version, stage, reason, probability, failures, expected_failures } => {
                let reason = reason.as_str();
                write!(f, "{name} version={version} stage={stage} reason={reason:?} ")?;
                write!(f, "probability={probability:.3} failures={failures:.0} ")?;
                write!(f, "expected={expected_failures:.0}")
            }
            LogEvent::VoteCast { verdict, version, stage, probability_worse } => {
                write!(f, "{name} verdict={verdict:?} version={version} stage={stage} ")?;
                write!(f, "probability_worse={probability_worse:.3}")
            }
            LogEvent::EndpointEjected { endpoint, reason, .. } => {
                write!(f, "{name} endpoint={endpoint} reason={:?}", reason.as_str())
            }
        }
    }
}
