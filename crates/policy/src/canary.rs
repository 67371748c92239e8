//! The evidence on a canary: outcomes of this gateway's own attempts, and counts that the platform reports.
//!
//! Problem: the mix of requests, faulty endpoints and faults common to all versions must not count against a canary. Method:
//! each outcome is recorded per endpoint relative to what is usual for its class; reported counts are compared with the
//! baseline's within each period and class. All evidence loses weight with age.
//!
//! [`Policy`](crate::Policy) calls [`CanaryAnalysis::record_outcome`] for each attempt that ended; each analysis
//! ([`CanaryAnalysis::analyse`]) first calls [`CanaryAnalysis::refresh`]. The verdict is in [`crate::verdict`].

use crate::outlier::NEWEST_SAMPLE_WEIGHT;
use crate::request::AttemptOutcome;
use crate::rollout::RolloutState;
use crate::state::canary::{AnalysisView, CanaryAnalysis};
use crate::state::endpoint::{Endpoint, Metric};
use crate::state::evidence::{BySide, CommonFailures, ComparableCounts, OutcomeCounts};
use crate::state::registry::EndpointTable;
use crate::state::requests::{Attempt, Request};
use crate::statistics::{RunningMoments, half_life_decay, indicator};
use crate::time::Millis;

/// Outcomes per version from which versions are compared.
pub(crate) const MIN_OUTCOMES: f64 = 10.0;
/// Log of the ratio of latencies (1.5) up to which versions and their endpoints count as equal.
pub(crate) const SPEED_MARGIN: f64 = 0.4;
/// Log of the ratio of reported latencies to the usual ones below which answers count as fast as usual.
const FAST_MARGIN: f64 = SPEED_MARGIN / 4.0;
/// Factor on the baseline's failure rate up to which versions count as equal.
pub(crate) const FAILURE_MARGIN: f64 = 1.5;
/// Ratio of the load per endpoint up to which latencies are compared over time.
pub(crate) const MAX_LOAD_RATIO: f64 = 1.2;
/// ms in which the weight of an outcome halves.
const OUTCOME_HALF_LIFE: Millis = 4000.0;
/// Outcomes at an endpoint above which old ones lose weight.
const MIN_DECAYING_OUTCOMES: f64 = 20.0;
/// ms in which the weight of reported counts halves.
const REPORT_HALF_LIFE: Millis = 8000.0;
/// Weight of an earlier stage's reported counts: its few endpoints may have been faulty.
const STAGE_WEIGHT: f64 = 0.3;
/// Warm-up factor of the canary's endpoints from which reported counts are compared.
const MIN_COMPARABLE_WARMUP: f64 = 0.7;
/// Weight of the earlier outcomes in the usual speed, per new outcome.
const USUAL_SPEED_DECAY: f64 = 0.995;
/// Weight of the newest latency in an endpoint's latency bias.
const LATENCY_BIAS_WEIGHT: f64 = 0.3;
/// Failure rate above the usual one from which a version without a comparison counts as collapsed.
const COLLAPSE_RATE: f64 = 0.2;
/// Failure rate of all versions above the usual one from which it is attributed to the canary.
const COMMON_FAILURE_RATE: f64 = 0.1;
/// ms of the shortest latency and of the least work: bounds on their logarithms.
const MIN_LATENCY: Millis = 0.1;
/// ms assumed for reports without a mean latency.
pub(crate) const DEFAULT_LATENCY: Millis = 1.0;
/// Pairs of reported latencies that count as one sample.
const PAIRS_PER_SAMPLE: f64 = 2.0;
/// Share of the reported attempts from which a canary can affect all endpoints.
const MIN_HARMFUL_SHARE: f64 = 0.25;

impl CanaryAnalysis {
    /// Records one attempt that ended, as evidence on its endpoint's version; `elapsed` and `objective` in ms.
    pub(crate) fn record_outcome(
        &mut self, endpoint: &mut Endpoint, attempt: &Attempt, request: &Request, outcome: AttemptOutcome,
        elapsed: Millis, objective: Millis,
    ) {
        let is_success = outcome == AttemptOutcome::Success;
        // An endpoint that is down, full or unresponsive is no evidence on its version.
        let is_answer = is_success || outcome == AttemptOutcome::Error;
        if is_answer {
            endpoint.metrics[Metric::Correctness].add(indicator(is_success));
        }
        let answered_others = endpoint.last_answer_at >= attempt.sent_at;
        let is_evidence = is_answer || (outcome == AttemptOutcome::Timeout && answered_others);
        // An endpoint that warms up is no slow version: latencies are scaled to full capacity.
        let warm_latency = elapsed * attempt.warmup_factor;
        let work = request.expected_work.map_or(1.0, |work| work.max(MIN_LATENCY));
        let speed = -(warm_latency.max(MIN_LATENCY) / work).ln();
        let is_idle = self.is_idle();
        let usual = &mut self.classes[request.class].usual_speed;
        // A cancelled attempt took at least that long: without it, slow attempts that are retried would not count.
        let is_overdue = matches!(outcome, AttemptOutcome::Cancelled | AttemptOutcome::Timeout)
            && speed < usual.mean - SPEED_MARGIN;
        if is_evidence || (is_overdue && warm_latency > objective) {
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

    /// Reduces the weight of old evidence, then adds the reports since the last analysis.
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
        self.begin(canary, endpoints, view.load);
        self.enter_stage(rollout, STAGE_WEIGHT);
        self.weigh_reports(view, rollout.traffic_cap >= 1.0);
    }

    /// Compares the new reports within each period and class, so that the mix of requests does not count.
    fn weigh_reports(&mut self, view: &AnalysisView, is_uncapped: bool) {
        let ready = view.ready_count();
        let is_idle = self.is_idle();
        let mut comparable = ComparableCounts::default();
        for class in 0..self.classes.len() {
            let evidence = &mut self.classes[class];
            let reported = std::mem::take(&mut evidence.reported);
            if is_idle && reported.baseline.attempts > 0.0 {
                evidence.record_usual(&reported.baseline, ready, 1.0 - NEWEST_SAMPLE_WEIGHT);
            }
            if reported.total().attempts / ready <= MAX_LOAD_RATIO * evidence.usual_load.mean {
                comparable.add(&reported, evidence, COMMON_FAILURE_RATE);
            }
            self.count_reported(&reported);
            self.weigh_class(class, reported, view, is_uncapped);
        }
        // Failures common to all versions are attributed to a canary with much traffic, unless they preceded it.
        if comparable.total.attempts >= MIN_OUTCOMES {
            self.latency_ratio_log = comparable.total.mean_latency.ln();
            let has_little_traffic =
                comparable.canary_attempts < MIN_HARMFUL_SHARE * comparable.total.attempts;
            let is_failing = comparable.failures.counted > comparable.failures.expected;
            self.has_preexisting_failures =
                is_failing && (has_little_traffic || self.has_preexisting_failures);
            let is_attributed = is_failing && !self.has_preexisting_failures;
            self.common_failures =
                if is_attributed { comparable.failures } else { CommonFailures::default() };
        }
    }

    /// Adds the reports of one class to the evidence; `is_uncapped`: the canary may get all requests.
    fn weigh_class(
        &mut self, class: usize, reported: BySide<OutcomeCounts>, view: &AnalysisView, is_uncapped: bool,
    ) {
        let BySide { baseline, canary } = reported;
        // Failures are compared once most of the canary's endpoints have warmed up, latencies once all have.
        let is_warm = view.mean_canary_warmup >= MIN_COMPARABLE_WARMUP;
        let canary = if is_warm { canary } else { OutcomeCounts::default() };
        // A baseline that has left, or is idle while the canary gets nearly all requests, is no comparison.
        let lacks_baseline = is_uncapped || baseline.attempts < MIN_OUTCOMES.min(canary.attempts);
        let usual = &self.classes[class];
        let collapse_rate = (usual.usual_failure_rate.mean + COLLAPSE_RATE) / FAILURE_MARGIN;
        let expected_rate = if lacks_baseline { collapse_rate } else { baseline.failure_rate() };
        let expected_failures = expected_rate * canary.attempts;
        self.evidence.expected_failures += expected_failures;
        // With latencies as usual, failures are attributed to a tenant or an endpoint, not to the version.
        let fast_latency = usual.usual_latency.mean * FAST_MARGIN.exp();
        let is_fast = canary.successes() > 0.0 && canary.mean_latency < fast_latency;
        let max_failures = if lacks_baseline && is_fast { expected_failures } else { f64::INFINITY };
        self.evidence.failures += canary.failures.min(max_failures);
        let (ours, theirs) = (canary.successes(), baseline.successes());
        let is_fully_warm = view.min_canary_warmup >= MIN_COMPARABLE_WARMUP;
        if !lacks_baseline && ours > 0.0 && theirs > 0.0 && is_fully_warm {
            let count = ours * theirs / (ours + theirs) / PAIRS_PER_SAMPLE;
            let mean = (baseline.mean_latency / (canary.mean_latency * view.min_canary_warmup)).ln();
            self.evidence.speed.merge(&RunningMoments { count, mean, sum_squared_deviations: count });
        }
    }
}
