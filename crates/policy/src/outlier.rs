//! Ejection of endpoints that fail, and how much each may have in flight.

use crate::policy::RUNNING_MEAN_WEIGHT;
use crate::retry::HEAVY_WORK_FACTOR;
use crate::state::{EndpointIndex, EndpointRegistry};
use crate::{Action, AttemptOutcome, Millis};

/// Attempts in flight at a fresh endpoint: one running, one to follow.
pub(crate) const INITIAL_CONCURRENCY_LIMIT: f64 = 2.0;
/// How far one answer moves that limit.
const CONCURRENCY_LIMIT_GAIN: f64 = 0.25;
/// Share of errors of a faulty machine; versions were never met that bad.
const MAX_ERROR_RATE: f64 = 0.6;
/// Attempts without an answer, and none from any other, that tell of a dead machine.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;
/// ms that an endpoint is ejected at first, doubling.
const EJECTION_TIME: Millis = 500.0;
/// ms that it is ejected at most: lost capacity costs too.
const MAX_EJECTION_TIME: Millis = 4000.0;

impl EndpointRegistry {
    fn eject(&mut self, index: EndpointIndex, reason: &str, now: Millis, actions: &mut Vec<Action>) {
        if self.endpoints[index].is_healthy(now) {
            actions.extend(self.eject_for(index, EJECTION_TIME, MAX_EJECTION_TIME, reason, now));
        }
    }

    /// Learns what other senders saw of an endpoint: a share of errors over so many attempts.
    pub(crate) fn record_reported_errors(
        &mut self, index: EndpointIndex, attempts: f64, error_rate: f64, now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = &mut self.endpoints[index];
        endpoint.record_answers(attempts, error_rate, RUNNING_MEAN_WEIGHT, now);
        if endpoint.error_rate > MAX_ERROR_RATE {
            self.eject(index, "reported errors", now, actions);
        } else if error_rate <= MAX_ERROR_RATE {
            endpoint.ejection_count = 0;
        }
    }

    /// Learns what one outcome tells of the endpoint; `queueing`: its latency against what is wanted.
    pub(crate) fn record_outcome(
        &mut self, index: EndpointIndex, outcome: AttemptOutcome, queueing: f64, now: Millis,
        actions: &mut Vec<Action>,
    ) {
        use AttemptOutcome::*;
        let endpoint = &mut self.endpoints[index];
        if matches!(outcome, Success | Error) {
            endpoint.record_answer(outcome == Error, RUNNING_MEAN_WEIGHT, now);
        }
        endpoint.consecutive_timeouts +=
            u32::from(matches!(outcome, Timeout | ConnectFailed | ConnectionLost));
        // A single connection may be lost or refused where the machine is well.
        let is_unresponsive = endpoint.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS;
        match outcome {
            Timeout if is_unresponsive => self.eject(index, "timeouts", now, actions),
            ConnectFailed if is_unresponsive => self.eject(index, "connect failures", now, actions),
            ConnectionLost if is_unresponsive => self.eject(index, "connections lost", now, actions),
            Error if endpoint.error_rate > MAX_ERROR_RATE => self.eject(index, "errors", now, actions),
            // Answers in good time open the endpoint further, late ones and rejections close it.
            Success => {
                endpoint.ejection_count = 0;
                let step = 1.0 - queueing.min(HEAVY_WORK_FACTOR);
                endpoint.move_concurrency_limit(CONCURRENCY_LIMIT_GAIN * step);
            }
            Rejected | Timeout => {
                endpoint.move_concurrency_limit(CONCURRENCY_LIMIT_GAIN * (1.0 - HEAVY_WORK_FACTOR));
            }
            Error | Cancelled | ConnectFailed | ConnectionLost | NotSent => {}
        }
    }
}
