//! The evidence on a canary: what this gateway's own attempts and the platform's counts tell of it.

use crate::outlier::RUNNING_MEAN_WEIGHT;
use crate::request::AttemptOutcome;
use crate::rollout::RolloutState;
use crate::state::canary::{AnalysisView, CanaryAnalysis};
use crate::state::endpoint::{Endpoint, Metric};
use crate::state::evidence::{BySide, CommonFailures, ComparableCounts, OutcomeCounts};
use crate::state::registry::EndpointTable;
use crate::state::requests::{Attempt, Request};
use crate::statistics::{RunningMoments, half_life_decay, indicator};
use crate::time::Millis;

/// Outcomes per version before a comparison means anything (design page).
pub(crate) const MIN_OUTCOMES: f64 = 10.0;
/// Log of 1.5: good versions, and the machines they happen to get, differ by less.
pub(crate) const SPEED_MARGIN: f64 = 0.4;
/// Times the others' share of errors and wrong answers that chance and peeking allow.
pub(crate) const FAILURE_MARGIN: f64 = 1.5;
/// Times the requests for each answering endpoint up to which speeds compare over time.
pub(crate) const MAX_LOAD_RATIO: f64 = 1.2;
/// ms in which an outcome's weight halves: long for power, short for late harm.
const OUTCOME_HALF_LIFE: Millis = 4000.0;
/// Outcomes at an endpoint from which old ones lose weight: few are all there is.
const MIN_DECAYING_OUTCOMES: f64 = 20.0;
/// ms in which the weight of reported counts halves: several periods of few counts.
const REPORT_HALF_LIFE: Millis = 8000.0;
/// Weight kept of an earlier stage's reported counts: its few machines may have been faulty.
const STAGE_WEIGHT: f64 = 0.3;
/// Capacity of the canary's endpoints from which reported counts compare.
const MIN_COMPARABLE_WARMUP: f64 = 0.7;
/// Weight kept per outcome of the time before: some hundreds count.
const USUAL_SPEED_DECAY: f64 = 0.995;
/// Weight of the newest latency at an endpoint.
const LATENCY_BIAS_WEIGHT: f64 = 0.3;
/// Share of failures on top of those before the canary that no good version costs.
const COLLAPSE_RATE: f64 = 0.2;
/// Share of failures of all versions on top of those before that a canary is held responsible for.
const COMMON_FAILURE_RATE: f64 = 0.1;
/// Share of the counted attempts from which a canary can harm all endpoints.
const MIN_HARMFUL_SHARE: f64 = 0.25;

impl CanaryAnalysis {
    /// Records what one attempt tells of its endpoint's version.
    pub(crate) fn record_outcome(
        &mut self, endpoint: &mut Endpoint, attempt: &Attempt, request: &Request, outcome: AttemptOutcome,
        elapsed: Millis, objective: Millis,
    ) {
        let is_success = outcome == AttemptOutcome::Success;
        // A machine that is down, full or unresponsive tells of itself, not of its version.
        let is_answer = is_success || outcome == AttemptOutcome::Error;
        if is_answer {
            endpoint.metrics[Metric::Correctness].add(indicator(is_success));
        }
        let answered_others = endpoint.last_answer_at >= attempt.sent_at;
        let is_telling = is_answer || (outcome == AttemptOutcome::Timeout && answered_others);
        // A warming endpoint is no slow version: its time counts as at the capacity that it had at least.
        let warm_latency = elapsed * attempt.warmup_factor;
        let work = request.expected_work.map_or(1.0, |work| work.max(0.1));
        let speed = -(warm_latency.max(0.1) / work).ln();
        let is_idle = self.is_idle();
        let usual = &mut self.classes[request.class].usual_speed;
        // What was cancelled took at least that long: sent elsewhere, slowness would leave no trace.
        let is_overdue = matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::Timeout)
            && speed < usual.mean - SPEED_MARGIN;
        if is_telling || (is_overdue && warm_latency > objective) {
            endpoint.metrics[Metric::Success].add(indicator(is_success && warm_latency <= objective));
        }
        if is_success || is_overdue {
            if is_idle || usual.count < MIN_OUTCOMES {
                usual.add(speed);
                usual.scale(USUAL_SPEED_DECAY);
            }
            endpoint.record_speed(speed - usual.mean, LATENCY_BIAS_WEIGHT, attempt.sent_at + elapsed);
        }
    }

    /// Lets old evidence lose weight, then takes in what is new.
    pub(crate) fn refresh(
        &mut self, endpoints: &mut EndpointTable, view: &AnalysisView, rollout: &RolloutState,
    ) {
        let elapsed = view.now - self.analysed_at;
        let decay = |half_life: Millis| half_life_decay(elapsed.min(half_life), half_life);
        for metric in [Metric::Success, Metric::Latency] {
            endpoints.scale_metric(metric, MIN_DECAYING_OUTCOMES, decay(OUTCOME_HALF_LIFE));
        }
        self.evidence.scale(decay(REPORT_HALF_LIFE));
        let canary = view.canary.first().map(|index| endpoints[*index].version);
        self.begin(canary, endpoints, view.load);
        self.enter_stage(rollout, STAGE_WEIGHT);
        self.weigh_reports(view, rollout.traffic_cap >= 1.0);
    }

    /// Weighs the new reports within each period and class, so that their mix does not count.
    fn weigh_reports(&mut self, view: &AnalysisView, is_uncapped: bool) {
        let ready = view.ready_count();
        let is_idle = self.is_idle();
        let mut comparable = ComparableCounts::default();
        for class in 0..self.classes.len() {
            let evidence = &mut self.classes[class];
            let reported = std::mem::take(&mut evidence.reported);
            if is_idle && reported.baseline.attempts > 0.0 {
                evidence.record_usual(&reported.baseline, ready, 1.0 - RUNNING_MEAN_WEIGHT);
            }
            if reported.total().attempts / ready <= MAX_LOAD_RATIO * evidence.usual_load.mean {
                comparable.add(&reported, evidence, COMMON_FAILURE_RATE);
            }
            self.count_reported(&reported);
            self.weigh_class(class, reported, view, is_uncapped);
        }
        // Failures common to old and new are attributed to a canary that carries much, unless they were there before.
        if comparable.total.attempts >= MIN_OUTCOMES {
            self.latency_ratio_log = comparable.total.mean_latency.ln();
            let carries_little = comparable.canary_attempts < MIN_HARMFUL_SHARE * comparable.total.attempts;
            let is_failing = comparable.failures.counted > comparable.failures.expected;
            self.has_preexisting_failures = is_failing && (carries_little || self.has_preexisting_failures);
            let is_attributed = is_failing && !self.has_preexisting_failures;
            self.common_failures =
                if is_attributed { comparable.failures } else { CommonFailures::default() };
        }
    }

    fn weigh_class(
        &mut self, class: usize, reported: BySide<OutcomeCounts>, view: &AnalysisView, is_uncapped: bool,
    ) {
        let BySide { baseline, canary } = reported;
        // Failures compare once most of the canary is warm; latencies, which cold ones stretch, once all is.
        let is_warm = view.mean_canary_warmup >= MIN_COMPARABLE_WARMUP;
        let canary = if is_warm { canary } else { OutcomeCounts::default() };
        // A baseline that is gone, or idle while the canary carries nearly all, is no comparison.
        let is_alone = is_uncapped || baseline.attempts < MIN_OUTCOMES.min(canary.attempts);
        let usual = &self.classes[class];
        let collapse_rate = (usual.usual_failure_rate.mean + COLLAPSE_RATE) / FAILURE_MARGIN;
        let expected_rate = if is_alone { collapse_rate } else { baseline.failure_rate() };
        let expected_failures = expected_rate * canary.attempts;
        self.evidence.expected_failures += expected_failures;
        // Failures beside answers as quick as ever are some tenant's or machine's, not a slow version's.
        let quick_latency = usual.usual_latency.mean * (SPEED_MARGIN / 4.0).exp();
        let is_quick = canary.successes() > 0.0 && canary.mean_latency < quick_latency;
        let max_failures = if is_alone && is_quick { expected_failures } else { f64::INFINITY };
        self.evidence.failures += canary.failures.min(max_failures);
        let (ours, theirs) = (canary.successes(), baseline.successes());
        let is_fully_warm = view.min_canary_warmup >= MIN_COMPARABLE_WARMUP;
        if !is_alone && ours > 0.0 && theirs > 0.0 && is_fully_warm {
            let count = ours * theirs / (ours + theirs) / 2.0;
            let mean = (baseline.mean_latency / (canary.mean_latency * view.min_canary_warmup)).ln();
            self.evidence.speed.merge(&RunningMoments { count, mean, sum_squared_deviations: count });
        }
    }
}
