//! Outlier detection: which endpoints are ejected, and how many attempts each may have in flight.
//!
//! [`Policy`](crate::Policy) calls [`record_outcome`] for each attempt that ended and [`record_reported_errors`] for each
//! report of other senders; both update the endpoint and return the reason for which it is to be ejected, if any. The time
//! of an ejection follows [`EJECTION_BACKOFF`]. The concurrency limit grows with answers well within the latency objective
//! and shrinks with late ones.

use crate::config::GatewayIdentity;
use crate::log_event::EjectionReason;
use crate::request::AttemptOutcome;
use crate::retry::HEAVY_WORK_FACTOR;
use crate::state::endpoint::Endpoint;
use crate::time::Millis;
use latchhaven_backoff::{ExponentialBackoff, Jitter};

/// Attempts in flight at an endpoint without history: one running, one queued.
pub(crate) const INITIAL_CONCURRENCY_LIMIT: f64 = 2.0;
/// Attempts by which one answer moves that limit.
const CONCURRENCY_LIMIT_GAIN: f64 = 0.25;
/// Running mean of errors above which an endpoint is ejected: nine errors in a row from none.
const MAX_ERROR_RATE: f64 = 0.6;
/// Attempts in a row that time out, get no connection or lose it, without an answer in between, that eject an endpoint: a
/// single connection may be lost by the network. A rejection neither counts nor resets. An ejection resets neither this
/// count nor the error rate: one more failure afterwards ejects again.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;
/// ms that an ejection lasts, doubling with each in a row up to a maximum.
pub(crate) const EJECTION_BACKOFF: ExponentialBackoff = ExponentialBackoff::new(500.0, 4000.0, Jitter::None);
/// Weight of the newest value in running means.
pub(crate) const RUNNING_MEAN_WEIGHT: f64 = 0.1;
/// Share of the latency objective that an answer may take before the concurrency limit falls.
const MAX_QUEUEING_SHARE: f64 = 0.25;
/// Gateways with a lower index log their ejections, the first one in a row.
const MAX_LOGGING_GATEWAYS: u32 = 8;
/// Factor on the expected work up to which an answer is acceptable in any case.
const MAX_WORK_RATIO: f64 = 2.0;
/// Share of attempts without a connection above which idle connections are closed.
const MAX_CONNECT_FAILURE_RATE: f64 = 0.02;

/// Whether a gateway logs the endpoints that it ejects: a few suffice for the operators.
pub(crate) fn logs_ejections(identity: &GatewayIdentity) -> bool {
    identity.index < MAX_LOGGING_GATEWAYS
}

/// The ratio of the time of an answer to the acceptable one: above 1 the concurrency limit falls. `elapsed`, `objective` and
/// `expected_work` in ms; `warmup_factor`: the share of its capacity that the endpoint had reached.
pub(crate) fn lateness_ratio(
    elapsed: Millis, warmup_factor: f64, objective: Millis, expected_work: Option<Millis>,
) -> f64 {
    let acceptable = (MAX_QUEUEING_SHARE * objective).max(MAX_WORK_RATIO * expected_work.unwrap_or(0.0));
    elapsed * warmup_factor / acceptable
}

/// Whether idle connections to an endpoint are closed, so that other gateways can connect: a share of attempts got no
/// connection, and none is in flight there.
pub(crate) fn closes_idle_connections(connect_failure_rate: f64, in_flight: u32) -> bool {
    connect_failure_rate > MAX_CONNECT_FAILURE_RATE && in_flight == 0
}

/// Updates an endpoint by what other senders report: a share of errors over so many attempts.
pub(crate) fn record_reported_errors(
    endpoint: &mut Endpoint, attempts: f64, error_rate: f64, now: Millis,
) -> Option<EjectionReason> {
    endpoint.record_reported_outcomes(attempts, error_rate, RUNNING_MEAN_WEIGHT, now);
    if endpoint.error_rate > MAX_ERROR_RATE {
        return Some(EjectionReason::ReportedErrors);
    }
    if error_rate <= MAX_ERROR_RATE {
        endpoint.ejection_count = 0;
    }
    None
}

/// Updates an endpoint by the outcome of one attempt; `lateness_ratio`: see [`lateness_ratio`].
pub(crate) fn record_outcome(
    endpoint: &mut Endpoint, outcome: AttemptOutcome, lateness_ratio: f64, now: Millis,
) -> Option<EjectionReason> {
    use AttemptOutcome::{
        Cancelled, ConnectFailed, ConnectionLost, Error, NotSent, Rejected, Success, Timeout,
    };
    if matches!(outcome, Success | Error) {
        endpoint.record_response(outcome == Error, RUNNING_MEAN_WEIGHT, now);
    }
    endpoint.consecutive_timeouts += u32::from(matches!(outcome, Timeout | ConnectFailed | ConnectionLost));
    let is_unresponsive = endpoint.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS;
    match outcome {
        Timeout if is_unresponsive => return Some(EjectionReason::Timeouts),
        ConnectFailed if is_unresponsive => return Some(EjectionReason::ConnectFailures),
        ConnectionLost if is_unresponsive => return Some(EjectionReason::ConnectionsLost),
        Error if endpoint.error_rate > MAX_ERROR_RATE => return Some(EjectionReason::Errors),
        Success => {
            endpoint.ejection_count = 0;
            let step = 1.0 - lateness_ratio.min(HEAVY_WORK_FACTOR);
            endpoint.adjust_concurrency_limit(CONCURRENCY_LIMIT_GAIN * step);
        }
        Rejected | Timeout => {
            endpoint.adjust_concurrency_limit(CONCURRENCY_LIMIT_GAIN * (1.0 - HEAVY_WORK_FACTOR));
        }
        Error | Cancelled | ConnectFailed | ConnectionLost | NotSent => {}
    }
    None
}
