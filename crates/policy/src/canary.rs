//! Collects the evidence on a canary: outcomes of this gateway's own attempts, and counts that the platform reports.
//!
//! Problem: a canary must not be judged by the mix of requests that it receives, by single faulty endpoints or by
//! faults common to all versions. Method: own outcomes are recorded per endpoint, with latencies relative to the
//! reference of the request class; reported counts are compared with the baseline's of the same period and class
//! (stratification). Successes, latencies and reported counts lose weight exponentially with age.
//!
//! [`Policy`](crate::Policy) calls [`CanaryAnalysis::record_outcome`] for each completed attempt; each analysis
//! ([`CanaryAnalysis::analyse`]) first calls [`CanaryAnalysis::refresh`]. [`crate::verdict`] tests the evidence.

use crate::outlier::NEWEST_SAMPLE_WEIGHT;
use crate::request::AttemptOutcome;
use crate::rollout::RolloutState;
use crate::state::canary::{AnalysisView, CanaryAnalysis};
use crate::state::endpoint::{Endpoint, Metric};
use crate::state::evidence::{ByVersionGroup, CommonFailures, ComparableCounts, OutcomeCounts};
use crate::state::registry::EndpointTable;
use crate::state::requests::{Attempt, Request};
use crate::statistics::{RunningMoments, half_life_decay, indicator};
use crate::time::Millis;

/// Weighted number of outcomes per version group from which the groups are compared.
pub(crate) const MIN_OUTCOMES: f64 = 10.0;
/// Non-inferiority margin of latencies, as natural logarithm of their ratio: latencies up to 1.5 times as long count as
/// equal.
pub(crate) const SPEED_MARGIN: f64 = 0.4;
/// Natural logarithm of the ratio to the reference, 1.1, below which reported latencies count as unchanged.
const REFERENCE_LATENCY_MARGIN: f64 = SPEED_MARGIN / 4.0;
/// Non-inferiority margin of failure rates, as a factor: rates up to 1.5 times the baseline's count as equal.
pub(crate) const FAILURE_RATE_MARGIN: f64 = 1.5;
/// Ratio of the load per endpoint to the earlier load up to which the present is compared with the time before: a
/// higher load alone makes endpoints slower.
pub(crate) const MAX_LOAD_RATIO: f64 = 1.2;
/// Time in which the weight of an own outcome halves.
const OUTCOME_HALF_LIFE: Millis = 4000.0;
/// Weighted number of own outcomes at an endpoint up to which no weight decays, so that endpoints with little traffic
/// retain their evidence.
const MIN_DECAYING_OUTCOMES: f64 = 20.0;
/// Time in which the weight of reported counts halves.
const REPORT_HALF_LIFE: Millis = 8000.0;
/// Weight, from 0 to 1, that reported counts retain in the next stage: the few endpoints of the earlier stage may have
/// been faulty.
const STAGE_WEIGHT: f64 = 0.3;
/// Warm-up factor of the canary's endpoints, from 0 to 1, from which reported counts are compared.
const MIN_COMPARABLE_WARMUP: f64 = 0.7;
/// Factor on the weight of earlier outcomes in the reference speed, per new outcome.
const REFERENCE_SPEED_DECAY: f64 = 0.995;
/// Weight of the newest latency in an endpoint's latency bias, from 0 to 1.
const LATENCY_BIAS_WEIGHT: f64 = 0.3;
/// Excess over the reference failure rate, from 0 to 1, above which a canary without baseline traffic counts as
/// failing.
const COLLAPSE_EXCESS_RATE: f64 = 0.2;
/// Excess over the reference failure rate, from 0 to 1, above which failures of all versions may be due to the canary.
const COMMON_FAILURE_EXCESS_RATE: f64 = 0.1;
/// Lower bound on latency and expected work, so that their logarithms are finite.
const MIN_LATENCY: Millis = 0.1;
/// Expected work of requests without an estimate.
const DEFAULT_WORK: Millis = 1.0;
/// Mean latency assumed for reports without one.
pub(crate) const DEFAULT_LATENCY: Millis = 1.0;
/// Pairs of reported latencies that count as one sample.
const PAIRS_PER_SAMPLE: f64 = 2.0;
/// Variance assumed of the logarithm of a ratio of reported latencies: reports contain means only.
const ASSUMED_LOG_LATENCY_VARIANCE: f64 = 1.0;
/// Share of the reported attempts, from 0 to 1, from which a canary can cause failures at the endpoints of all
/// versions.
const MIN_ATTRIBUTABLE_SHARE: f64 = 0.25;

impl CanaryAnalysis {
    /// Records the outcome of a completed attempt as evidence on its endpoint's version. `elapsed` is the time since
    /// the attempt was sent, `objective` the latency objective of the request.
    pub(crate) fn record_outcome(
        &mut self, endpoint: &mut Endpoint, attempt: &Attempt, request: &Request, outcome: AttemptOutcome,
        elapsed: Millis, objective: Millis,
    ) {
        let is_success = outcome == AttemptOutcome::Success;
        // An endpoint that is down, full or unresponsive is no evidence against its version. A timeout counts only if
        // the endpoint has sent other responses since the attempt was sent.
        let is_response = is_success || outcome == AttemptOutcome::Error;
        if is_response {
            endpoint.metrics[Metric::Correctness].add(indicator(is_success));
        }
        let has_responded_since = endpoint.last_response_at >= attempt.sent_at;
        let is_evidence = is_response || (outcome == AttemptOutcome::Timeout && has_responded_since);
        // Latencies are scaled to full capacity, so that a version does not appear slow while its endpoints warm up.
        let warm_latency = elapsed * attempt.warmup_factor;
        let work = request.expected_work.map_or(DEFAULT_WORK, |work| work.max(MIN_LATENCY));
        let speed = -(warm_latency.max(MIN_LATENCY) / work).ln();
        let is_idle = self.is_idle();
        let reference = &mut self.classes[request.class].reference_speed;
        // The latency of a cancelled or timed-out attempt is at least `elapsed`: without such attempts, slow ones that
        // are retried early would not count.
        let is_overdue = matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::Timeout)
            && speed < reference.mean - SPEED_MARGIN;
        if is_evidence || (is_overdue && warm_latency > objective) {
            endpoint.metrics[Metric::Success].add(indicator(is_success && warm_latency <= objective));
        }
        if is_success || is_overdue {
            if is_idle || reference.count < MIN_OUTCOMES {
                reference.add(speed);
                reference.scale(REFERENCE_SPEED_DECAY);
            }
            endpoint.record_speed(speed - reference.mean, LATENCY_BIAS_WEIGHT, attempt.sent_at + elapsed);
        }
    }

    /// Reduces the weight of old evidence, applies changes of the canary and its stage, then adds the reports since the
    /// last analysis.
    pub(crate) fn refresh(
        &mut self, endpoints: &mut EndpointTable, view: &AnalysisView, rollout: &RolloutState,
    ) {
        let elapsed = view.now - self.analysed_at;
        let decay = |half_life: Millis| half_life_decay(elapsed.min(half_life), half_life);
        for metric in [Metric::Success, Metric::Speed] {
            endpoints.scale_metric(metric, MIN_DECAYING_OUTCOMES, decay(OUTCOME_HALF_LIFE));
        }
        self.evidence.scale(decay(REPORT_HALF_LIFE));
        let canary = view.canary.first().map(|index| endpoints[*index].version);
        self.on_canary_change(canary, endpoints, view.load);
        self.enter_stage(rollout, STAGE_WEIGHT);
        self.add_reports(view, rollout.is_uncapped());
    }

    /// Adds the reports since the last analysis to the evidence, class by class, then decides whether failures common
    /// to all versions are attributed to the canary. `is_uncapped`: all requests may be sent to the canary.
    fn add_reports(&mut self, view: &AnalysisView, is_uncapped: bool) {
        let ready = view.ready_count();
        let is_idle = self.is_idle();
        let mut comparable = ComparableCounts::default();
        for class in 0..self.classes.len() {
            let evidence = &mut self.classes[class];
            let reported = std::mem::take(&mut evidence.reported);
            if is_idle && reported.baseline.attempts > 0.0 {
                evidence.update_reference(&reported.baseline, ready, 1.0 - NEWEST_SAMPLE_WEIGHT);
            }
            if reported.total().attempts / ready <= MAX_LOAD_RATIO * evidence.reference_load.mean {
                comparable.add(&reported, evidence, COMMON_FAILURE_EXCESS_RATE);
            }
            self.count_reported(&reported);
            self.add_class_reports(class, reported, view, is_uncapped);
        }
        // A canary with a large share of the traffic can make the endpoints of all versions fail. Failures that began
        // while its share was small are not attributed to it.
        if comparable.total.attempts >= MIN_OUTCOMES {
            self.log_latency_ratio = comparable.total.mean_latency.ln();
            let has_little_traffic =
                comparable.canary_attempts < MIN_ATTRIBUTABLE_SHARE * comparable.total.attempts;
            let is_failing = comparable.failures.reported > comparable.failures.expected;
            self.has_preexisting_failures =
                is_failing && (has_little_traffic || self.has_preexisting_failures);
            let is_attributed = is_failing && !self.has_preexisting_failures;
            self.common_failures =
                if is_attributed { comparable.failures } else { CommonFailures::default() };
        }
    }

    /// Adds the reports of one class to the evidence. Failures are compared with the number expected at the baseline's
    /// failure rate; latencies as the logarithm of the ratio of means, with ab / (a + b) as the effective number of
    /// samples of groups with a and b successes. `is_uncapped`: all requests may be sent to the canary.
    fn add_class_reports(
        &mut self, class: usize, reported: ByVersionGroup<OutcomeCounts>, view: &AnalysisView,
        is_uncapped: bool,
    ) {
        let ByVersionGroup { baseline, canary } = reported;
        // Failures are compared once the canary's endpoints have warmed up on average, latencies once every one has.
        let is_warm = view.mean_canary_warmup >= MIN_COMPARABLE_WARMUP;
        let canary = if is_warm { canary } else { OutcomeCounts::default() };
        // No comparison is possible if the baseline was removed, or is idle while the canary receives nearly all
        // requests. The canary's failures are then compared with the reference rate plus an excess, divided by the
        // margin by which the test multiplies.
        let lacks_baseline = is_uncapped || baseline.attempts < MIN_OUTCOMES.min(canary.attempts);
        let references = &self.classes[class];
        let collapse_rate =
            (references.reference_failure_rate.mean + COLLAPSE_EXCESS_RATE) / FAILURE_RATE_MARGIN;
        let expected_rate = if lacks_baseline { collapse_rate } else { baseline.failure_rate() };
        let expected_failures = expected_rate * canary.attempts;
        self.evidence.expected_failures += expected_failures;
        // If latencies are unchanged, failures are attributed to a tenant or an endpoint, not to the version: they
        // count only up to the expected number.
        let max_latency = references.reference_latency.mean * REFERENCE_LATENCY_MARGIN.exp();
        let is_latency_unchanged = canary.successes() > 0.0 && canary.mean_latency < max_latency;
        self.evidence.failures += if lacks_baseline && is_latency_unchanged {
            canary.failures.min(expected_failures)
        } else {
            canary.failures
        };
        let (canary_successes, baseline_successes) = (canary.successes(), baseline.successes());
        let is_fully_warm = view.min_canary_warmup >= MIN_COMPARABLE_WARMUP;
        if !lacks_baseline && canary_successes > 0.0 && baseline_successes > 0.0 && is_fully_warm {
            let pairs = canary_successes * baseline_successes / (canary_successes + baseline_successes);
            let count = pairs / PAIRS_PER_SAMPLE;
            let mean = (baseline.mean_latency / (canary.mean_latency * view.min_canary_warmup)).ln();
            let sum_squared_deviations = ASSUMED_LOG_LATENCY_VARIANCE * count;
            self.evidence.speed.merge(&RunningMoments { count, mean, sum_squared_deviations });
        }
    }
}
