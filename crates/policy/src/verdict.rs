//! The verdict on a canary, and the votes that follow from it.
//!
//! Problem: each gateway sees a part of the outcomes, tests them repeatedly and must not roll back a good version. Method:
//! several tests of the evidence ([`crate::canary`]): comparisons of means by draws from Student-t posteriors, and Poisson
//! tail probabilities of failures. A test rejects above 1 - [`TestResult::false_rejection_rate`]: δ is shared among the
//! analyses of a version and, for a gateway's own outcomes, among all that may roll back alone. A canary is rejected once
//! tests have done so for some time.
//!
//! [`Policy`](crate::Policy) calls [`CanaryAnalysis::analyse`] at intervals while a rollout is known. It returns votes for the
//! platform and log events as actions.

use crate::action::Action;
use crate::canary::{FAILURE_MARGIN, MAX_LOAD_RATIO, MIN_OUTCOMES, SPEED_MARGIN};
use crate::config::{GatewayIdentity, VoteMode, VotingConfig};
use crate::log_event::RejectionReason;
use crate::rollout::{RolloutPhase, RolloutState, Verdict};
use crate::state::canary::{AnalysisView, CanaryAnalysis, CanaryContext, CastVote, TestResult};
use crate::state::endpoint::Metric;
use crate::state::registry::EndpointTable;
use crate::statistics::{MeanComparison, RunningMoments, poisson_probability_of_fewer};
use crate::time::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// How means are compared: draws, samples and least variance.
const POSTERIOR: MeanComparison =
    MeanComparison { min_draws: 200.0, max_draws: 4000.0, min_samples: MIN_OUTCOMES, min_variance: 0.01 };
/// The probability of a wrong rollback, δ, over all gateways.
pub(crate) const ROLLBACK_ERROR_RATE: f64 = 0.05;
/// Probability that the canary is worse above which it is not promoted.
const MAX_DOUBT: f64 = 0.8;
/// ms for which tests must reject, at each analysis one at least, before the canary is rejected.
const CONFIDENCE_DURATION: Millis = 1000.0;
/// ms after the start of the canary's newest endpoint before a promotion.
const SETTLING_TIME: Millis = 3000.0;
/// ms after that start, for each stage so far, for which a canary with few outcomes is not promoted.
const FEW_OUTCOMES_PATIENCE: Millis = 4000.0;
/// Own outcomes from which the time before the canary shows that a rollback would not restore latencies.
const MIN_OUTCOMES_BEFORE: f64 = 100.0;
/// Reported failures that count as one independent event: they are correlated in time and by endpoint.
const CLUSTER_SIZE: f64 = 3.0;
/// Failures that are counted at most.
const MAX_FAILURES: f64 = 1e4;
/// ms after a promotion in which failures are still attributed to the version.
const PROMOTION_WATCH: Millis = 15000.0;
/// ms for which the canary gets nearly all requests before its promotion.
const FULL_TRAFFIC_DURATION: Millis = 6000.0;
/// Analyses of one version that share δ: the effective number of independent ones.
const ANALYSES_PER_VERSION: f64 = 10.0;
/// Log of the ratio of latencies above which all endpoints count as slower than before the canary.
const SLOWDOWN_MARGIN: f64 = SPEED_MARGIN / 2.0;
/// Samples of the reference with which reported latency ratios are compared: its variance is negligible.
const REFERENCE_SAMPLES: f64 = 1e6;
/// Probability that the canary is worse, before any test.
const PRIOR_PROBABILITY: f64 = 0.5;
/// Share of a vote's lease after which it is renewed.
const VOTE_RENEWAL_SHARE: f64 = 0.5;
/// ms after which a vote that did not count is cast again.
const VOTE_RETRY_INTERVAL: Millis = 500.0;
/// Gateways that vote at one analysis on average, for each vote of the quorum: the platform accepts few calls.
const VOTERS_PER_ANALYSIS: f64 = 8.0;

/// The probability of a wrong rollback that one gateway may accept: δ shared among all groups of gateways whose votes
/// suffice.
pub(crate) fn own_false_rejection_rate(identity: &GatewayIdentity, voting: &VotingConfig) -> f64 {
    let deciders = f64::from(identity.gateway_count.max(1)) / f64::from(voting.rollback_quorum.max(1));
    ROLLBACK_ERROR_RATE / deciders.max(1.0)
}

/// The probability that a gateway casts a vote that is due, at one analysis.
pub(crate) fn vote_probability(identity: &GatewayIdentity, voting: &VotingConfig) -> f64 {
    let quorum = voting.promote_quorum.max(voting.pause_quorum).max(voting.rollback_quorum).max(1);
    VOTERS_PER_ANALYSIS * f64::from(quorum) / f64::from(identity.gateway_count.max(1))
}

impl CanaryAnalysis {
    /// Analyses the canary, or the version just promoted, and adds votes to `actions`.
    pub(crate) fn analyse(
        &mut self, rng: &mut Pcg64Mcg, endpoints: &mut EndpointTable, view: &AnalysisView,
        rollout: &RolloutState, actions: &mut Vec<Action>,
    ) {
        self.refresh(endpoints, view, rollout);
        self.watch_promotion(rollout, view, PROMOTION_WATCH);
        let context = self.context(rollout, MIN_OUTCOMES);
        let test_results = self.test_results(rng, endpoints, view, context);
        let has_outcomes = |members| endpoints.pooled_metric(Metric::Success, members).count >= MIN_OUTCOMES;
        let has_own = has_outcomes(&view.canary) && (context.is_alone || has_outcomes(&view.baseline));
        self.has_min_samples = context.is_canary && (has_own || self.reported_attempts >= MIN_OUTCOMES);
        self.conclude(test_results, rollout, view.now);
        let since_start = view.since_newest_start(endpoints).filter(|_| context.is_canary);
        let verdict = self.verdict(rollout, since_start.unwrap_or(f64::NEG_INFINITY), view.now);
        let vote = CastVote { version: rollout.version, stage: rollout.stage, verdict };
        // The platform accepts few calls: at random, a few of the gateways vote.
        if self.is_vote_due(vote, view.now) && rng.random::<f64>() < self.vote_probability {
            actions.extend(self.record_vote(vote, view.now));
        }
    }

    /// Whether a vote is due: it is new, or a part of its lease has passed, or it did not count and is cast again.
    fn is_vote_due(&self, vote: CastVote, now: Millis) -> bool {
        let renewal = VOTE_RENEWAL_SHARE * self.voting.vote_lease;
        let interval = if self.is_last_vote_counted { renewal } else { VOTE_RETRY_INTERVAL };
        match self.last_vote_on(vote.version) {
            None => vote.verdict != Verdict::Abstain,
            Some(last) if last != vote => vote.verdict != Verdict::Abstain || last.stage == vote.stage,
            Some(_) => vote.verdict != Verdict::Abstain && now - self.last_vote_at >= interval,
        }
    }

    /// The results of all tests that apply; of equal ones the last is logged.
    fn test_results(
        &mut self, rng: &mut Pcg64Mcg, endpoints: &EndpointTable, view: &AnalysisView, context: CanaryContext,
    ) -> Vec<TestResult> {
        // Own outcomes differ between gateways, which share δ; reports are the same for all.
        let false_rejection_rate = self.own_false_rejection_rate / ANALYSES_PER_VERSION;
        let own = |probability_worse, reason| TestResult { probability_worse, false_rejection_rate, reason };
        let mut test_results = vec![own(PRIOR_PROBABILITY, RejectionReason::Prior)];
        // Own errors do not count where reports show no more failures than expected: they are due to single endpoints.
        let is_cleared_by_reports =
            context.is_reported && self.evidence.failures < FAILURE_MARGIN * self.evidence.expected_failures;
        if context.is_canary && !is_cleared_by_reports {
            test_results.push(own(self.own_failures(endpoints, view), RejectionReason::OwnFailures));
        }
        let slowdown = self.slowdown_of_all_endpoints(rng, endpoints, view, context);
        test_results
            .extend(slowdown.map(|probability| own(probability, RejectionReason::AllEndpointsSlower)));
        if context.is_canary && !context.is_alone {
            test_results
                .push(own(compare(rng, endpoints, view, Metric::Success, 0.0), RejectionReason::SuccessRate));
            let latency = compare(rng, endpoints, view, Metric::Speed, SPEED_MARGIN);
            // A single endpoint may be slow for other reasons than its version.
            test_results.extend((view.canary.len() > 1).then(|| own(latency, RejectionReason::Latency)));
        }
        if context.is_canary || self.promotion.is_some() {
            test_results.extend(self.report_test_results(rng));
        }
        test_results
    }

    /// The probability of fewer own errors and wrong answers, were the canary as correct as the baseline.
    fn own_failures(&self, endpoints: &EndpointTable, view: &AnalysisView) -> f64 {
        let wrong = |moments: &RunningMoments| moments.count * (1.0 - moments.mean);
        let canary = endpoints.metric_of(Metric::Correctness, &view.canary);
        let canary = RunningMoments::pooled_without_worst(&canary);
        // Without a baseline the canary is compared with the time before it.
        let baseline = if view.baseline.is_empty() {
            self.metrics_before_canary[Metric::Correctness]
        } else {
            endpoints.pooled_metric(Metric::Correctness, &view.baseline)
        };
        let expected = FAILURE_MARGIN * canary.count * (wrong(&baseline) + 1.0) / baseline.count.max(1.0);
        poisson_probability_of_fewer(expected, wrong(&canary), MAX_FAILURES)
    }

    /// The probability that all endpoints are slower than before the canary: it may slow those of the baseline as well.
    fn slowdown_of_all_endpoints(
        &mut self, rng: &mut Pcg64Mcg, endpoints: &EndpointTable, view: &AnalysisView, context: CanaryContext,
    ) -> Option<f64> {
        let members = if view.baseline.is_empty() { &view.canary } else { &view.baseline };
        let speed = endpoints.pooled_metric(Metric::Speed, members);
        let before = self.metrics_before_canary[Metric::Speed];
        // A higher load per endpoint, by a burst or a loss of endpoints, has the same effect.
        let is_comparable = context.is_canary
            && before.mean > -SPEED_MARGIN
            && !view.canary.is_empty()
            && view.load <= MAX_LOAD_RATIO * self.load_before_canary;
        let mut slower = |margin| POSTERIOR.probability_first_is_higher(rng, &before, &speed, margin);
        let clearly_slower = slower(SPEED_MARGIN);
        self.are_all_slower = is_comparable && slower(SLOWDOWN_MARGIN) > MAX_DOUBT;
        let reports_deny = context.is_reported && self.latency_ratio_log < SLOWDOWN_MARGIN;
        (is_comparable && !self.has_preexisting_failures && !reports_deny).then_some(clearly_slower)
    }

    /// The tests of the platform's reports, which are the same for all gateways.
    fn report_test_results(&self, rng: &mut Pcg64Mcg) -> [TestResult; 4] {
        let false_rejection_rate = ROLLBACK_ERROR_RATE / ANALYSES_PER_VERSION;
        let test = |probability_worse, reason| TestResult { probability_worse, false_rejection_rate, reason };
        let rare = |expected, counted| poisson_probability_of_fewer(expected, counted, MAX_FAILURES);
        let expected = FAILURE_MARGIN * self.evidence.expected_failures / CLUSTER_SIZE;
        let failures = rare(expected, self.evidence.failures / CLUSTER_SIZE);
        let expected = FAILURE_MARGIN * (self.common_failures.expected / CLUSTER_SIZE);
        let common = rare(expected, self.common_failures.counted / CLUSTER_SIZE);
        let even = RunningMoments { count: REFERENCE_SAMPLES, ..RunningMoments::default() };
        let speed = POSTERIOR.probability_first_is_higher(rng, &even, &self.evidence.speed, SPEED_MARGIN);
        // Wrong answers that any gateway's clients reported, per answer, compared with other versions.
        let baseline_answers = self.reported_answers.baseline.max(MIN_OUTCOMES);
        let answers = self.reported_answers.canary.max(MIN_OUTCOMES);
        let expected = FAILURE_MARGIN * (self.wrong_answers.baseline + 1.0) * answers / baseline_answers;
        let wrong = rare(expected, self.wrong_answers.canary);
        [
            test(failures, RejectionReason::ReportedFailures),
            test(common, RejectionReason::CommonFailures),
            test(speed, RejectionReason::ReportedLatency),
            test(wrong, RejectionReason::WrongResponses),
        ]
    }

    /// Rejects the version once, at each analysis for [`CONFIDENCE_DURATION`], some test has exceeded its threshold. The
    /// reason is the test with the largest probability, which need not be the one over its threshold.
    fn conclude(&mut self, test_results: Vec<TestResult>, rollout: &RolloutState, now: Millis) {
        let is_confident =
            test_results.iter().any(|test| test.probability_worse > 1.0 - test.false_rejection_rate);
        self.confident_since = is_confident.then(|| self.confident_since.unwrap_or(now));
        let Some(strongest) = TestResult::strongest(test_results) else { return };
        self.probability_worse = strongest.probability_worse;
        let is_confirmed = self.confident_since.is_some_and(|since| now - since >= CONFIDENCE_DURATION);
        if is_confirmed && self.rejected_version != Some(rollout.version) {
            self.reject(rollout, strongest.reason);
        }
    }

    /// The vote on the rollout's version; `since_start`: ms since the start of the canary's newest endpoint.
    fn verdict(&mut self, rollout: &RolloutState, since_start: Millis, now: Millis) -> Verdict {
        if self.rejected_version == Some(rollout.version) {
            let is_over = matches!(rollout.phase, RolloutPhase::RollingBack | RolloutPhase::RolledBack);
            return if is_over { Verdict::Abstain } else { Verdict::RollBack };
        }
        if self.voting.mode == VoteMode::Clocked {
            let is_doubtful = self.has_min_samples && self.probability_worse > MAX_DOUBT;
            return if is_doubtful { Verdict::Pause } else { Verdict::Abstain };
        }
        let is_promotable = self.is_promotable(rollout, since_start);
        self.update_full_traffic(rollout, is_promotable, now);
        let has_evidence = self.has_evidence(rollout, since_start, now);
        if is_promotable && has_evidence { Verdict::Promote } else { Verdict::Abstain }
    }

    /// Without a cap a canary gets nearly all requests for a while before its promotion, as long as it is promotable.
    fn update_full_traffic(&mut self, rollout: &RolloutState, is_promotable: bool, now: Millis) {
        let is_started = self.has_min_samples || self.full_traffic_since.is_some();
        let is_full = is_promotable && rollout.traffic_cap >= 1.0 && is_started;
        self.full_traffic_since = is_full.then(|| self.full_traffic_since.unwrap_or(now));
    }

    /// Whether there is the evidence required for a promotion. With full traffic: the minimum of outcomes, after a time of it.
    /// Otherwise: the minimum of outcomes, or the patience with few outcomes has passed.
    fn has_evidence(&self, rollout: &RolloutState, since_start: Millis, now: Millis) -> bool {
        let duration = if self.is_without_baseline { SETTLING_TIME } else { FULL_TRAFFIC_DURATION };
        let patience = FEW_OUTCOMES_PATIENCE * f64::from(rollout.stage + 1);
        match self.full_traffic_since {
            Some(since) => self.has_min_samples && now - since >= duration,
            None => self.has_min_samples || since_start >= patience,
        }
    }

    /// Whether nothing speaks against a promotion.
    fn is_promotable(&self, rollout: &RolloutState, since_start: Millis) -> bool {
        let before = &self.metrics_before_canary[Metric::Speed];
        let was_slow_before = before.count >= MIN_OUTCOMES_BEFORE && before.mean <= -SPEED_MARGIN;
        let has_few_failures = self.evidence.failures <= self.evidence.expected_failures;
        let has_accepted_failures = rollout.traffic_cap < 1.0 || was_slow_before || has_few_failures;
        let is_past_settling_time = since_start >= SETTLING_TIME;
        is_past_settling_time
            && self.probability_worse <= MAX_DOUBT
            && has_accepted_failures
            && !self.are_all_slower
    }
}

/// The probability that the baseline is better in one metric, by all of the canary's endpoints and without the worst.
fn compare(
    rng: &mut Pcg64Mcg, endpoints: &EndpointTable, view: &AnalysisView, metric: Metric, handicap: f64,
) -> f64 {
    let baseline = endpoints.pooled_metric(metric, &view.baseline);
    let canary = endpoints.metric_of(metric, &view.canary);
    let all = RunningMoments::pooled(canary.iter().copied());
    let rest = RunningMoments::pooled_without_worst(&canary);
    let rest = if rest.count < MIN_OUTCOMES { all } else { rest };
    let by_all = POSTERIOR.probability_first_is_higher(rng, &baseline, &all, handicap);
    by_all.min(POSTERIOR.probability_first_is_higher(rng, &baseline, &rest, handicap))
}
