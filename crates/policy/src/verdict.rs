//! Tests the evidence on a canary, and casts this gateway's votes on the version.
//!
//! Problem: each gateway sees a part of the outcomes, tests them repeatedly and must not roll back a good version.
//! Method: non-inferiority tests of the evidence that [`crate::canary`] collects. Means are compared by Monte Carlo
//! draws from Student-t posteriors, failures by one-sided Poisson tests. A test exceeds its threshold if the
//! probability that the canary is worse is above 1 - [`TestResult::false_rejection_rate`]. That rate follows from the
//! accepted probability δ of a wrong rollback by a Bonferroni correction: δ is divided by the number of analyses of a
//! version and, for a gateway's own outcomes, by the number of groups of gateways that can decide on a rollback. A
//! canary is rejected once some test has exceeded its threshold at every analysis for
//! [`REJECTION_CONFIRMATION_DURATION`].
//!
//! [`Policy`](crate::Policy) calls [`CanaryAnalysis::analyse`] at intervals while a rollout is known. Votes for the
//! platform and log events are returned as actions.

use crate::action::Action;
use crate::canary::{FAILURE_RATE_MARGIN, MAX_LOAD_RATIO, MIN_OUTCOMES, SPEED_MARGIN};
use crate::config::{GatewayIdentity, VoteMode, VotingConfig};
use crate::log_event::RejectionReason;
use crate::rollout::{RolloutPhase, RolloutState, Verdict};
use crate::state::canary::{AnalysisView, CanaryAnalysis, CanaryContext, CastVote, TestResult};
use crate::state::endpoint::Metric;
use crate::state::evidence::PRIOR_FAILURES;
use crate::state::registry::EndpointTable;
use crate::statistics::{MeanComparison, RunningMoments, poisson_probability_of_fewer};
use crate::time::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// How means of own outcomes and of reported latencies are compared.
const MEAN_COMPARISON: MeanComparison =
    MeanComparison { min_draws: 200.0, max_draws: 4000.0, min_samples: MIN_OUTCOMES, min_variance: 0.01 };
/// Accepted probability δ, from 0 to 1, that all gateways together roll back a version that is not worse.
pub(crate) const ROLLBACK_ERROR_RATE: f64 = 0.05;
/// Highest probability of being worse, from 0 to 1, at which a canary is promoted. Above it, gateways vote for a pause
/// if stages pass by time.
const MAX_PROBABILITY_WORSE: f64 = 0.8;
/// Time for which some test must exceed its threshold at every analysis before the canary is rejected.
const REJECTION_CONFIRMATION_DURATION: Millis = 1000.0;
/// Time since the start of the canary's newest endpoint before which the canary is not promoted.
const MIN_CANARY_AGE: Millis = 3000.0;
/// Time since the start of the canary's newest endpoint, per stage reached, after which a canary with too few outcomes
/// for a comparison is promoted nevertheless.
const LOW_TRAFFIC_PROMOTION_DELAY: Millis = 4000.0;
/// Weighted number of own outcomes before the canary from which their latencies are reliable. If these were slow
/// already, a rollback would not restore lower ones, and failures do not prevent a promotion.
const MIN_PRE_CANARY_OUTCOMES: f64 = 100.0;
/// Reported failures that count as one independent event of a Poisson test: failures are correlated in time and by
/// endpoint.
const FAILURES_PER_CLUSTER: f64 = 3.0;
/// Limit on the number of failures in a Poisson test.
const MAX_COUNTED_FAILURES: f64 = 1e4;
/// Time after a promotion during which reported failures are still attributed to the promoted version.
const POST_PROMOTION_ANALYSIS_DURATION: Millis = 15000.0;
/// Time for which a canary without a cap receives nearly all requests before its promotion.
const FULL_TRAFFIC_DURATION: Millis = 6000.0;
/// Replaces [`FULL_TRAFFIC_DURATION`] while no baseline endpoint is ready.
const FULL_TRAFFIC_DURATION_WITHOUT_BASELINE: Millis = 3000.0;
/// Effective number of independent analyses of one version, among which δ is divided: successive ones share evidence.
const ANALYSES_PER_VERSION: f64 = 10.0;
/// Natural logarithm of the ratio of latencies, 1.2, above which all endpoints count as slower than before the canary.
const SLOWDOWN_MARGIN: f64 = SPEED_MARGIN / 2.0;
/// Non-inferiority margin of the share of attempts within the latency objective: any lower share counts as worse.
const SUCCESS_RATE_MARGIN: f64 = 0.0;
/// Number of samples of the fixed value 0 with which logarithms of latency ratios are compared: with so many samples
/// the variance of their mean is negligible.
const FIXED_VALUE_SAMPLES: f64 = 1e6;
/// Lower bound on a number of outcomes by which failures are divided.
const MIN_DIVISOR: f64 = 1.0;
/// Probability that the canary is worse before any test, from 0 to 1.
const PRIOR_PROBABILITY: f64 = 0.5;
/// Share of a vote's lease, from 0 to 1, after which the vote is renewed.
const VOTE_RENEWAL_SHARE: f64 = 0.5;
/// Time after which a vote that did not count is cast again.
const VOTE_RETRY_INTERVAL: Millis = 500.0;
/// Average number of gateways that vote at one analysis, per vote of the quorum: the platform accepts few calls.
const VOTERS_PER_ANALYSIS: f64 = 8.0;

/// Returns the accepted probability, from 0 to 1, that one gateway wrongly rejects a version by its own outcomes: δ
/// divided by the number of groups of gateways whose votes suffice for a rollback.
pub(crate) fn own_false_rejection_rate(identity: &GatewayIdentity, voting: &VotingConfig) -> f64 {
    let quorum_groups = f64::from(identity.gateway_count.max(1)) / f64::from(voting.rollback_quorum.max(1));
    ROLLBACK_ERROR_RATE / quorum_groups.max(1.0)
}

/// Returns the probability with which a gateway casts a vote that is due at one analysis. Above 1 with few gateways:
/// each then casts every vote that is due.
pub(crate) fn vote_probability(identity: &GatewayIdentity, voting: &VotingConfig) -> f64 {
    let quorum = voting.promote_quorum.max(voting.pause_quorum).max(voting.rollback_quorum).max(1);
    VOTERS_PER_ANALYSIS * f64::from(quorum) / f64::from(identity.gateway_count.max(1))
}

impl CanaryAnalysis {
    /// Analyses the canary, or the version promoted recently, and adds to `actions` this gateway's vote and log events,
    /// if any.
    pub(crate) fn analyse(
        &mut self, rng: &mut Pcg64Mcg, endpoints: &mut EndpointTable, view: &AnalysisView,
        rollout: &RolloutState, actions: &mut Vec<Action>,
    ) {
        self.refresh(endpoints, view, rollout);
        self.update_promotion(rollout, view, POST_PROMOTION_ANALYSIS_DURATION);
        let context = self.context(rollout, MIN_OUTCOMES);
        let test_results = self.test_results(rng, endpoints, view, context);
        let has_outcomes = |members| endpoints.pooled_metric(Metric::Success, members).count >= MIN_OUTCOMES;
        let has_min_own_outcomes =
            has_outcomes(&view.canary) && (context.lacks_baseline_traffic || has_outcomes(&view.baseline));
        self.has_min_samples =
            context.is_canary && (has_min_own_outcomes || self.reported_attempts >= MIN_OUTCOMES);
        self.apply_test_results(test_results, rollout, view.now);
        let canary_age = view.newest_endpoint_age(endpoints).filter(|_| context.is_canary);
        let verdict = self.verdict(rollout, canary_age, view.now);
        let vote = CastVote { version: rollout.version, stage: rollout.stage, verdict };
        // A few gateways, drawn at random, vote: the platform accepts few calls.
        if self.is_vote_due(vote, view.now) && rng.random::<f64>() < self.vote_probability {
            actions.extend(self.record_vote(vote, view.now));
        }
    }

    /// Returns `true` if `vote` differs from the last one, or if the last one did not count or is due for renewal. To
    /// abstain is the state without a vote: an abstention is due only to withdraw a vote of the same stage.
    fn is_vote_due(&self, vote: CastVote, now: Millis) -> bool {
        let renewal = VOTE_RENEWAL_SHARE * self.voting.vote_lease;
        let interval = if self.is_last_vote_counted { renewal } else { VOTE_RETRY_INTERVAL };
        match self.last_vote_on(vote.version) {
            None => vote.verdict != Verdict::Abstain,
            Some(last) if last != vote => vote.verdict != Verdict::Abstain || last.stage == vote.stage,
            Some(_) => vote.verdict != Verdict::Abstain && now - self.last_vote_at >= interval,
        }
    }

    /// Returns the results of all tests that apply, the prior probability first. If several have the largest probability,
    /// the last of them is logged.
    fn test_results(
        &mut self, rng: &mut Pcg64Mcg, endpoints: &EndpointTable, view: &AnalysisView, context: CanaryContext,
    ) -> Vec<TestResult> {
        // Own outcomes differ between gateways, among which δ is divided; reports are the same for all.
        let false_rejection_rate = self.own_false_rejection_rate / ANALYSES_PER_VERSION;
        let own = |probability_worse, reason| TestResult { probability_worse, false_rejection_rate, reason };
        let mut test_results = vec![own(PRIOR_PROBABILITY, RejectionReason::Prior)];
        // Own errors are attributed to single endpoints if reports show no more failures than expected.
        let is_contradicted_by_reports = context.has_min_reports
            && self.evidence.failures < FAILURE_RATE_MARGIN * self.evidence.expected_failures;
        if context.is_canary && !is_contradicted_by_reports {
            test_results.push(own(self.test_own_failures(endpoints, view), RejectionReason::OwnFailures));
        }
        let slowdown = self.test_overall_slowdown(rng, endpoints, view, context);
        test_results
            .extend(slowdown.map(|probability| own(probability, RejectionReason::AllEndpointsSlower)));
        if context.is_canary && !context.lacks_baseline_traffic {
            test_results.push(own(
                probability_baseline_better(rng, endpoints, view, Metric::Success, SUCCESS_RATE_MARGIN),
                RejectionReason::SuccessRate,
            ));
            let latency = probability_baseline_better(rng, endpoints, view, Metric::Speed, SPEED_MARGIN);
            // A single endpoint may be slow for other reasons than its version.
            test_results.extend((view.canary.len() > 1).then(|| own(latency, RejectionReason::Latency)));
        }
        if context.is_canary || self.promotion.is_some() {
            test_results.extend(self.report_test_results(rng));
        }
        test_results
    }

    /// One-sided Poisson test of own errors and responses reported wrong: returns the probability of fewer failures
    /// than the canary's, given the baseline's failure rate. The canary's worst endpoint is left out.
    fn test_own_failures(&self, endpoints: &EndpointTable, view: &AnalysisView) -> f64 {
        let failures = |moments: &RunningMoments| moments.count * (1.0 - moments.mean);
        let canary = endpoints.metric_of(Metric::Correctness, &view.canary);
        let canary = RunningMoments::pooled_without_worst(&canary);
        // Without a baseline the reference is the time before the canary.
        let baseline = if view.baseline.is_empty() {
            self.pre_canary_metrics[Metric::Correctness]
        } else {
            endpoints.pooled_metric(Metric::Correctness, &view.baseline)
        };
        let expected = FAILURE_RATE_MARGIN * canary.count * (failures(&baseline) + PRIOR_FAILURES)
            / baseline.count.max(MIN_DIVISOR);
        poisson_probability_of_fewer(expected, failures(&canary), MAX_COUNTED_FAILURES)
    }

    /// Test for a slowdown of all endpoints: a canary can slow down those of the baseline as well, which a comparison
    /// of the version groups does not show. Returns the probability that the baseline's endpoints, or the canary's if
    /// there is no baseline, are slower than before the canary by more than [`SPEED_MARGIN`]. Returns `None` if the two
    /// times are not comparable or reports show no slowdown.
    fn test_overall_slowdown(
        &mut self, rng: &mut Pcg64Mcg, endpoints: &EndpointTable, view: &AnalysisView, context: CanaryContext,
    ) -> Option<f64> {
        let members = if view.baseline.is_empty() { &view.canary } else { &view.baseline };
        let speed = endpoints.pooled_metric(Metric::Speed, members);
        let before = self.pre_canary_metrics[Metric::Speed];
        // A higher load per endpoint, due to a burst or a loss of endpoints, would also slow them down.
        let is_comparable = context.is_canary
            && before.mean > -SPEED_MARGIN
            && !view.canary.is_empty()
            && view.load <= MAX_LOAD_RATIO * self.pre_canary_load;
        let mut slower = |margin| MEAN_COMPARISON.probability_first_is_higher(rng, &before, &speed, margin);
        let probability_slower = slower(SPEED_MARGIN);
        self.are_all_endpoints_slower = is_comparable && slower(SLOWDOWN_MARGIN) > MAX_PROBABILITY_WORSE;
        let reports_show_no_slowdown = context.has_min_reports && self.log_latency_ratio < SLOWDOWN_MARGIN;
        (is_comparable && !self.has_preexisting_failures && !reports_show_no_slowdown)
            .then_some(probability_slower)
    }

    /// Returns the results of the tests of the platform's reports, whose data is the same for all gateways: Poisson
    /// tests of the canary's failures, of failures common to all versions and of responses reported wrong, and a
    /// comparison of latencies.
    fn report_test_results(&self, rng: &mut Pcg64Mcg) -> [TestResult; 4] {
        let false_rejection_rate = ROLLBACK_ERROR_RATE / ANALYSES_PER_VERSION;
        let test = |probability_worse, reason| TestResult { probability_worse, false_rejection_rate, reason };
        let poisson =
            |expected, observed| poisson_probability_of_fewer(expected, observed, MAX_COUNTED_FAILURES);
        let expected = FAILURE_RATE_MARGIN * self.evidence.expected_failures / FAILURES_PER_CLUSTER;
        let failures = poisson(expected, self.evidence.failures / FAILURES_PER_CLUSTER);
        let expected = FAILURE_RATE_MARGIN * (self.common_failures.expected / FAILURES_PER_CLUSTER);
        let common = poisson(expected, self.common_failures.reported / FAILURES_PER_CLUSTER);
        let equal_speed = RunningMoments { count: FIXED_VALUE_SAMPLES, ..RunningMoments::default() };
        let speed = MEAN_COMPARISON.probability_first_is_higher(
            rng,
            &equal_speed,
            &self.evidence.speed,
            SPEED_MARGIN,
        );
        // Responses reported wrong to any gateway, per successful attempt, compared with earlier versions.
        let baseline_successes = self.reported_successes.baseline.max(MIN_OUTCOMES);
        let canary_successes = self.reported_successes.canary.max(MIN_OUTCOMES);
        let expected =
            FAILURE_RATE_MARGIN * (self.wrong_responses.baseline + PRIOR_FAILURES) * canary_successes
                / baseline_successes;
        let wrong_responses = poisson(expected, self.wrong_responses.canary);
        [
            test(failures, RejectionReason::ReportedFailures),
            test(common, RejectionReason::CommonFailures),
            test(speed, RejectionReason::ReportedLatency),
            test(wrong_responses, RejectionReason::WrongResponses),
        ]
    }

    /// Rejects the newest version if some test has exceeded its threshold at every analysis for
    /// [`REJECTION_CONFIRMATION_DURATION`]. The reason given is the test with the largest probability, which need not
    /// have exceeded its threshold, since thresholds differ.
    fn apply_test_results(&mut self, test_results: Vec<TestResult>, rollout: &RolloutState, now: Millis) {
        let is_above_threshold =
            test_results.iter().any(|test| test.probability_worse > 1.0 - test.false_rejection_rate);
        self.above_threshold_since = is_above_threshold.then(|| self.above_threshold_since.unwrap_or(now));
        let Some(strongest) = TestResult::strongest(test_results) else { return };
        self.probability_worse = strongest.probability_worse;
        let is_confirmed =
            self.above_threshold_since.is_some_and(|since| now - since >= REJECTION_CONFIRMATION_DURATION);
        if is_confirmed && self.rejected_version != Some(rollout.version) {
            self.reject(rollout, strongest.reason);
        }
    }

    /// Returns this gateway's vote on the newest version. `canary_age`: time since the start of the canary's newest
    /// endpoint, `None` if the newest version is no canary or has no ready endpoint.
    fn verdict(&mut self, rollout: &RolloutState, canary_age: Option<Millis>, now: Millis) -> Verdict {
        if self.rejected_version == Some(rollout.version) {
            let is_rolled_back =
                matches!(rollout.phase, RolloutPhase::RollingBack | RolloutPhase::RolledBack);
            return if is_rolled_back { Verdict::Abstain } else { Verdict::RollBack };
        }
        if self.voting.mode == VoteMode::Clocked {
            let is_probably_worse = self.has_min_samples && self.probability_worse > MAX_PROBABILITY_WORSE;
            return if is_probably_worse { Verdict::Pause } else { Verdict::Abstain };
        }
        let is_promotable = self.is_promotable(rollout, canary_age);
        self.update_full_traffic(rollout, is_promotable, now);
        let has_evidence = self.has_evidence(rollout, canary_age, now);
        if is_promotable && has_evidence { Verdict::Promote } else { Verdict::Abstain }
    }

    /// Starts or ends the time of full traffic: before its promotion a canary without a cap receives nearly all
    /// requests, from the minimum of outcomes on and as long as it is promotable.
    fn update_full_traffic(&mut self, rollout: &RolloutState, is_promotable: bool, now: Millis) {
        let is_started = self.has_min_samples || self.full_traffic_since.is_some();
        let is_full = is_promotable && rollout.is_uncapped() && is_started;
        self.full_traffic_since = is_full.then(|| self.full_traffic_since.unwrap_or(now));
    }

    /// Returns `true` if the evidence suffices for a promotion. With full traffic: the minimum of outcomes, and the
    /// required time of full traffic. Otherwise: the minimum of outcomes, or the delay after which few outcomes
    /// suffice.
    fn has_evidence(&self, rollout: &RolloutState, canary_age: Option<Millis>, now: Millis) -> bool {
        let duration = if self.is_without_baseline {
            FULL_TRAFFIC_DURATION_WITHOUT_BASELINE
        } else {
            FULL_TRAFFIC_DURATION
        };
        let delay = LOW_TRAFFIC_PROMOTION_DELAY * f64::from(rollout.stage + 1);
        match self.full_traffic_since {
            Some(since) => self.has_min_samples && now - since >= duration,
            None => self.has_min_samples || canary_age.is_some_and(|age| age >= delay),
        }
    }

    /// Returns `true` if no test, no excess of failures and no slowdown prevents a promotion. Without a cap, failures
    /// may exceed the expected number only if endpoints were slow already before the canary.
    fn is_promotable(&self, rollout: &RolloutState, canary_age: Option<Millis>) -> bool {
        let before = &self.pre_canary_metrics[Metric::Speed];
        let was_slow_before = before.count >= MIN_PRE_CANARY_OUTCOMES && before.mean <= -SPEED_MARGIN;
        let has_few_failures = self.evidence.failures <= self.evidence.expected_failures;
        let are_failures_acceptable = rollout.traffic_cap < 1.0 || was_slow_before || has_few_failures;
        canary_age.is_some_and(|age| age >= MIN_CANARY_AGE)
            && self.probability_worse <= MAX_PROBABILITY_WORSE
            && are_failures_acceptable
            && !self.are_all_endpoints_slower
    }
}

/// Returns the probability that the baseline's mean of `metric` exceeds the canary's by more than `margin`: the lower
/// of two results, with all of the canary's endpoints and without the worst one.
fn probability_baseline_better(
    rng: &mut Pcg64Mcg, endpoints: &EndpointTable, view: &AnalysisView, metric: Metric, margin: f64,
) -> f64 {
    let baseline = endpoints.pooled_metric(metric, &view.baseline);
    let canary = endpoints.metric_of(metric, &view.canary);
    let all = RunningMoments::pooled(canary.iter().copied());
    let rest = RunningMoments::pooled_without_worst(&canary);
    let rest = if rest.count < MIN_OUTCOMES { all } else { rest };
    let by_all = MEAN_COMPARISON.probability_first_is_higher(rng, &baseline, &all, margin);
    by_all.min(MEAN_COMPARISON.probability_first_is_higher(rng, &baseline, &rest, margin))
}
