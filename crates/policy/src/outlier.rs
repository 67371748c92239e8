//! Outlier detection: which endpoints are ejected, and how many attempts each may have in flight.
//!
//! [`Policy`](crate::Policy) calls [`record_outcome`] for each completed attempt and [`record_reported_errors`] for
//! each report on the attempts of other senders, such as proxies. Each of the two functions updates the endpoint and
//! returns the reason to eject it, or `None` if the endpoint is not to be ejected. An ejection lasts for
//! [`EJECTION_DURATION`]. The concurrency limit grows with responses well within the latency objective and falls with
//! late ones.

use crate::config::GatewayIdentity;
use crate::log_event::EjectionReason;
use crate::request::AttemptOutcome;
use crate::retry::MAX_LATENCY_RATIO;
use crate::state::endpoint::Endpoint;
use crate::time::Millis;
use latchhaven_backoff::{ExponentialBackoff, Jitter};

/// Concurrency limit of an endpoint without history: one attempt running, one queued.
pub(crate) const INITIAL_CONCURRENCY_LIMIT: f64 = 2.0;
/// Attempts by which one fast success raises the concurrency limit at most. A late one lowers the limit by up to twice
/// as much, a rejection or a timeout by twice as much.
const CONCURRENCY_LIMIT_GAIN: f64 = 0.25;
/// Running mean of the share of errors above which an endpoint is ejected; nine consecutive errors raise it from 0.
const MAX_ERROR_RATE: f64 = 0.6;
/// Consecutive attempts without a response (timeout, no connection, connection lost) after which an endpoint is
/// ejected. A single one may be due to the network. A response resets the count. A rejection neither counts nor resets
/// the count. An ejection resets neither the count nor the error rate: one more failure afterwards ejects the endpoint
/// again.
const CONSECUTIVE_TIMEOUTS_TO_EJECT: u32 = 2;
/// Duration of an ejection in milliseconds: doubles with each consecutive one, up to a maximum.
pub(crate) const EJECTION_DURATION: ExponentialBackoff = ExponentialBackoff::new(500.0, 4000.0, Jitter::None);
/// Weight of the newest sample in running means.
pub(crate) const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;
/// Share of the latency objective that a success may take before the concurrency limit falls.
const ACCEPTABLE_LATENCY_SHARE: f64 = 0.25;
/// Number of gateways, from index 0, that log their ejections: a few suffice for the operators.
const EJECTION_LOGGING_GATEWAYS: u32 = 8;
/// Ratio of the latency to the expected work up to which a success never lowers the concurrency limit.
const ACCEPTABLE_WORK_RATIO: f64 = 2.0;
/// Running mean of the share of attempts without a connection above which idle connections are closed.
const MAX_CONNECT_FAILURE_RATE: f64 = 0.02;

pub(crate) fn logs_ejections(identity: &GatewayIdentity) -> bool {
    identity.index < EJECTION_LOGGING_GATEWAYS
}

/// The ratio of the latency of a response to the acceptable one: above 1 the concurrency limit falls. `elapsed`: the
/// latency; `warmup_factor`: the share of its capacity that the endpoint had reached.
pub(crate) fn lateness_ratio(
    elapsed: Millis, warmup_factor: f64, objective: Millis, expected_work: Option<Millis>,
) -> f64 {
    let acceptable =
        (ACCEPTABLE_LATENCY_SHARE * objective).max(ACCEPTABLE_WORK_RATIO * expected_work.unwrap_or(0.0));
    elapsed * warmup_factor / acceptable
}

/// Whether idle connections to an endpoint are closed so that other gateways can connect. That is so if too many
/// attempts got no connection; `in_flight`: attempts at this endpoint, which must be 0.
pub(crate) fn closes_idle_connections(connect_failure_rate: f64, in_flight: u32) -> bool {
    connect_failure_rate > MAX_CONNECT_FAILURE_RATE && in_flight == 0
}

/// Updates an endpoint by a report on attempts of other senders, such as proxies. Returns the reason to eject the
/// endpoint, or `None` if it is not to be ejected. `error_rate`: the share of the `attempts` that failed.
pub(crate) fn record_reported_errors(
    endpoint: &mut Endpoint, attempts: f64, error_rate: f64, now: Millis,
) -> Option<EjectionReason> {
    endpoint.record_reported_outcomes(attempts, error_rate, NEWEST_SAMPLE_WEIGHT, now);
    if endpoint.error_rate > MAX_ERROR_RATE {
        return Some(EjectionReason::ReportedErrors);
    }
    if error_rate <= MAX_ERROR_RATE {
        endpoint.ejection_count = 0;
    }
    None
}

/// Updates an endpoint by the outcome of one attempt and returns the reason to eject it, if there is one.
/// `lateness_ratio`: of the response, as computed by [`lateness_ratio`].
pub(crate) fn record_outcome(
    endpoint: &mut Endpoint, outcome: AttemptOutcome, lateness_ratio: f64, now: Millis,
) -> Option<EjectionReason> {
    use AttemptOutcome::{
        Cancelled, ConnectFailed, ConnectionLost, Error, NotSent, Rejected, Success, Timeout,
    };
    if matches!(outcome, Success | Error) {
        endpoint.record_response(outcome == Error, NEWEST_SAMPLE_WEIGHT, now);
    }
    endpoint.consecutive_timeouts += u32::from(matches!(outcome, Timeout | ConnectFailed | ConnectionLost));
    let is_unresponsive = endpoint.consecutive_timeouts >= CONSECUTIVE_TIMEOUTS_TO_EJECT;
    match outcome {
        Timeout if is_unresponsive => return Some(EjectionReason::Timeouts),
        ConnectFailed if is_unresponsive => return Some(EjectionReason::ConnectFailures),
        ConnectionLost if is_unresponsive => return Some(EjectionReason::ConnectionsLost),
        Error if endpoint.error_rate > MAX_ERROR_RATE => return Some(EjectionReason::Errors),
        Success => {
            endpoint.ejection_count = 0;
            let step = 1.0 - lateness_ratio.min(MAX_LATENCY_RATIO);
            endpoint.adjust_concurrency_limit(CONCURRENCY_LIMIT_GAIN * step);
        }
        Rejected | Timeout => {
            endpoint.adjust_concurrency_limit(CONCURRENCY_LIMIT_GAIN * (1.0 - MAX_LATENCY_RATIO));
        }
        Error | Cancelled | ConnectFailed | ConnectionLost | NotSent => {}
    }
    None
}
