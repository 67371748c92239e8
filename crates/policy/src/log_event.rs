//! Events for the operators' log, with typed fields. Adapters print them; [`Display`](fmt::Display) gives one line of
//! text for adapters without structured logs.

use crate::rollout::{Verdict, Version};
use crate::time::Millis;
use std::fmt;

/// Why an endpoint was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// Several attempts in a row timed out without any answer in between; the last one by timeout.
    Timeouts,
    /// Several attempts in a row got no answer; the last one no connection.
    ConnectFailures,
    /// Several attempts in a row got no answer; the last one's connection was lost.
    ConnectionsLost,
    /// Its error rate exceeded the maximum.
    Errors,
    /// Its error rate, as other senders report it, exceeded the maximum.
    ReportedErrors,
}

impl EjectionReason {
    /// The reason as log lines show it.
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

/// Which test rejected a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// No test: the prior probability.
    Prior,
    /// Errors and wrong answers of this gateway's own attempts.
    OwnFailures,
    /// All endpoints are slower than before the canary.
    AllEndpointsSlower,
    /// The canary's share of answers within the latency objective is below the baseline's.
    SuccessRate,
    /// The canary is slower than the baseline.
    Latency,
    /// Reported failures of the canary exceed those expected of the baseline.
    ReportedFailures,
    /// Reported failures of all versions exceed those before the canary.
    CommonFailures,
    /// Reported latencies of the canary exceed the baseline's.
    ReportedLatency,
    /// Clients report more wrong answers of the canary than of other versions.
    WrongResponses,
}

impl RejectionReason {
    /// The reason as log lines show it.
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
    /// A canary was rejected; logged with the first vote on it afterwards.
    CanaryRejected {
        /// The version.
        version: Version,
        /// The stage of its rollout, from 0.
        stage: u32,
        /// The test that rejected it.
        reason: RejectionReason,
        /// The probability, by that test, that the canary is worse.
        probability: f64,
        /// Its reported failures, weighted by age.
        failures: f64,
        /// Failures that were expected of the baseline in their place.
        expected_failures: f64,
    },
    /// A vote was cast that differs from the previous one.
    VoteCast {
        /// The vote.
        verdict: Verdict,
        /// The version voted on.
        version: Version,
        /// The stage of its rollout, from 0.
        stage: u32,
        /// The largest probability over all tests that the canary is worse.
        probability_worse: f64,
    },
    /// An endpoint was ejected, for the first time in a row.
    EndpointEjected {
        /// The endpoint's id.
        endpoint: String,
        /// Counts the endpoints and restarts that had its place in the table.
        incarnation: u32,
        /// Why.
        reason: EjectionReason,
        /// For how long, in ms.
        ejected_for: Millis,
        /// The running mean of its error rate.
        error_rate: f64,
        /// Attempts in a row that got no answer.
        consecutive_timeouts: u32,
    },
}

impl LogEvent {
    /// The event's name, without its fields.
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
