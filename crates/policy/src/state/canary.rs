//! The state of the canary analysis: evidence, results of the statistical tests, and votes cast.
//!
//! `crate::canary` and `crate::verdict` update it. A rejection is final: the version remains in
//! [`CanaryAnalysis::rejected_version`] until a later version is rejected.

use crate::action::Action;
use crate::config::VotingConfig;
use crate::log_event::{LogEvent, RejectionReason};
use crate::rollout::{RolloutPhase, RolloutState, Verdict, Version};
use crate::state::endpoint::{EndpointIndex, MetricMoments};
use crate::state::evidence::{
    ByVersionGroup, ClassEvidence, CommonFailures, OutcomeCounts, WeightedEvidence,
};
use crate::state::registry::{EndpointRegistry, EndpointTable, VersionGroups};
use crate::time::Millis;

/// A vote of this gateway, with the version and stage that it applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CastVote {
    /// The newest version when the vote was cast.
    pub version: Version,
    /// The stage of the version's rollout when the vote was cast, from 0.
    pub stage: u32,
    /// The verdict that the platform receives.
    pub verdict: Verdict,
}

/// The result of one statistical test of a canary.
#[derive(Clone, Copy, Debug)]
pub struct TestResult {
    /// The probability that the canary is worse than what the test compares it with, from 0 to 1.
    pub probability_worse: f64,
    /// The accepted probability of rejecting a canary that is not worse, from 0 to 1. The threshold of
    /// `probability_worse` is 1 minus this rate.
    pub false_rejection_rate: f64,
    /// The test's name for the log.
    pub reason: RejectionReason,
}

impl TestResult {
    /// Returns the result with the largest probability, of equal ones the last; `None` without results.
    #[must_use]
    pub fn strongest(results: Vec<TestResult>) -> Option<TestResult> {
        results.into_iter().max_by(|a, b| a.probability_worse.total_cmp(&b.probability_worse))
    }
}

/// The conditions that decide which tests of the newest version apply.
#[derive(Clone, Copy, Debug)]
pub struct CanaryContext {
    /// Set when the newest version is a canary by the endpoint list as well as by the platform.
    pub is_canary: bool,
    /// Set when the canary may receive all requests or no baseline endpoint is ready, so that this gateway's own
    /// outcomes of the two version groups cannot be compared.
    pub lacks_baseline_traffic: bool,
    /// Set when the platform has reported the minimum of successes of the canary, from which reports outweigh this
    /// gateway's own outcomes.
    pub has_min_reports: bool,
}

/// A version that was a canary and was promoted recently: reports on the version are still tested.
#[derive(Clone, Copy, Debug)]
pub struct Promotion {
    /// The promoted version.
    pub version: Version,
    /// Time of the first analysis after this gateway learned of the promotion, in milliseconds.
    pub observed_at: Millis,
}

/// The ready endpoints by version group, with their warm-up and load, at the time of an analysis.
pub struct AnalysisView {
    /// Ready endpoints of canaries.
    pub canary: Vec<EndpointIndex>,
    /// Ready endpoints of the baseline.
    pub baseline: Vec<EndpointIndex>,
    /// Least warm-up factor among the canary's ready endpoints, from 0 to 1; 1 without any.
    pub min_canary_warmup: f64,
    /// Mean warm-up factor of the canary's ready endpoints, from 0 to 1; 0 without any.
    pub mean_canary_warmup: f64,
    /// Requests that arrived at this gateway within the load window, per endpoint that responded within the window.
    pub load: f64,
    /// Time of the analysis.
    pub now: Millis,
}

/// Evidence on the canary, results of the last analysis, and votes cast.
#[derive(Default)]
pub struct CanaryAnalysis {
    /// The voting rules of the platform.
    pub voting: VotingConfig,
    /// The accepted probability, from 0 to 1, that this gateway wrongly rejects one version by its own outcomes.
    pub own_false_rejection_rate: f64,
    /// The probability with which one analysis casts a vote that is due; above 1, every vote that is due is cast.
    pub vote_probability: f64,
    /// Reported counts and reference values, by the index of the request class.
    pub classes: Vec<ClassEvidence>,

    /// Time of the last analysis.
    pub analysed_at: Millis,
    /// The version of the first ready endpoint that runs a canary; `None` without one.
    pub canary: Option<Version>,
    /// The version in `canary`, or the last one there: reports of it still count as the canary's.
    pub last_canary: Option<Version>,
    /// The promotion of `last_canary`; `None` unless it was recent.
    pub promotion: Option<Promotion>,
    /// The last version that this gateway rejected.
    pub rejected_version: Option<Version>,
    /// The version and stage in which `reported_attempts` were counted.
    pub stage: (Version, u32),

    /// Metrics of all endpoints, pooled when `canary` last changed: the reference for slowdowns of all endpoints, and
    /// for a canary without a baseline.
    pub pre_canary_metrics: MetricMoments,
    /// [`AnalysisView::load`] when `canary` last changed.
    pub pre_canary_load: f64,
    /// Set when no baseline endpoint was ready at the last analysis.
    pub is_without_baseline: bool,

    /// The highest probability of all tests at the last analysis that the canary is worse, from 0 to 1.
    pub probability_worse: f64,
    /// Time since which some test has exceeded its threshold at every analysis, in milliseconds.
    pub above_threshold_since: Option<Millis>,
    /// Set when own or reported outcomes of the canary suffice for a verdict.
    pub has_min_samples: bool,
    /// Set when all endpoints are probably slower than before the canary; prevents a promotion.
    pub are_all_endpoints_slower: bool,
    /// Time since which the canary has received nearly all requests before its promotion, in milliseconds.
    pub full_traffic_since: Option<Millis>,

    /// Number of attempts at the canary that the platform has reported in the present stage.
    pub reported_attempts: f64,
    /// Reported outcomes of the canary compared with the baseline's.
    pub evidence: WeightedEvidence,
    /// Number of successful attempts that the platform has reported, since `last_canary` last changed.
    pub reported_successes: ByVersionGroup<f64>,
    /// Number of responses that clients of all gateways have reported wrong, since `last_canary` last changed.
    pub wrong_responses: ByVersionGroup<f64>,
    /// Failures common to all versions in the newest reports that are attributed to the canary; 0 if they are not.
    pub common_failures: CommonFailures,
    /// Set when failures common to all versions began while the canary received little traffic; cleared when they end.
    pub has_preexisting_failures: bool,
    /// Natural logarithm of the latency of all versions in the newest reports divided by the reference latency.
    pub log_latency_ratio: f64,

    /// The vote that this gateway cast last.
    pub last_vote: Option<CastVote>,
    /// Time at which the last vote was cast.
    pub last_vote_at: Millis,
    /// Cleared when the platform replies that the last vote does not count, so that it is cast again.
    pub is_last_vote_counted: bool,
    /// The log event of a rejection until the next vote is cast: only gateways that are drawn to vote print it.
    pub pending_rejection_log: Option<LogEvent>,
}

impl AnalysisView {
    /// Collects the endpoints' state at `now`; arrivals are counted over the last `load_window` milliseconds.
    #[must_use]
    pub fn new(registry: &EndpointRegistry, sides: VersionGroups, load_window: Millis, now: Millis) -> Self {
        let warmup = |index: &EndpointIndex| registry.warmup_factor(*index, now);
        let warmup: Vec<f64> = sides.canary.iter().map(warmup).collect();
        AnalysisView {
            mean_canary_warmup: warmup.iter().sum::<f64>() / warmup.len().max(1) as f64,
            min_canary_warmup: warmup.into_iter().fold(1.0, f64::min),
            load: registry.arrivals_per_responding_endpoint(now - load_window),
            canary: sides.canary,
            baseline: sides.baseline,
            now,
        }
    }

    /// Returns the number of ready endpoints of both version groups, at least 1 so that it can be a divisor.
    #[must_use]
    pub fn ready_count(&self) -> f64 {
        (self.canary.len() + self.baseline.len()).max(1) as f64
    }

    /// Returns the time since the start of the canary's newest endpoint; `None` without one. An unknown start counts as
    /// long ago.
    #[must_use]
    pub fn newest_endpoint_age(&self, endpoints: &EndpointTable) -> Option<Millis> {
        let starts = self.canary.iter().map(|index| endpoints[*index].started_at);
        (!self.canary.is_empty()).then(|| self.now - starts.fold(0.0, f64::max))
    }
}

impl CanaryAnalysis {
    /// Returns an analysis without evidence, for request classes with the indices below `class_count`.
    #[must_use]
    pub fn new(
        voting: VotingConfig, own_false_rejection_rate: f64, vote_probability: f64, class_count: usize,
    ) -> Self {
        CanaryAnalysis {
            voting,
            own_false_rejection_rate,
            vote_probability,
            classes: vec![ClassEvidence::default(); class_count],
            ..CanaryAnalysis::default()
        }
    }

    /// Returns `true` if no version is a canary and none was promoted recently: reference values are recorded then.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.canary.is_none() && self.promotion.is_none()
    }

    /// Applies a change of the canary: another version, or none. The metrics and load of all endpoints so far become
    /// the reference, and the endpoints' metrics are reset. A version that was not the last canary also starts without
    /// reported evidence, so that earlier faults do not count against it.
    pub fn on_canary_change(&mut self, canary: Option<Version>, endpoints: &mut EndpointTable, load: f64) {
        if canary == self.canary {
            return;
        }
        self.canary = canary;
        self.above_threshold_since = None;
        self.full_traffic_since = None;
        if canary.is_some() && canary != self.last_canary {
            self.last_canary = canary;
            self.wrong_responses = ByVersionGroup::default();
            self.reported_successes = ByVersionGroup::default();
            self.evidence = WeightedEvidence::default();
            self.common_failures = CommonFailures::default();
        }
        self.pre_canary_metrics = endpoints.pooled_metrics();
        self.pre_canary_load = load;
        endpoints.iter_mut().for_each(|endpoint| endpoint.metrics = MetricMoments::default());
    }

    /// Adds one class's newest reports to the total numbers of attempts and successes.
    pub fn count_reported(&mut self, reported: &ByVersionGroup<OutcomeCounts>) {
        self.reported_attempts += reported.canary.attempts;
        self.reported_successes.baseline += reported.baseline.successes();
        self.reported_successes.canary += reported.canary.successes();
    }

    /// Starts a new count of reported attempts if the version or the stage changed; the weight of earlier reported
    /// evidence is multiplied by `retained_weight`, from 0 to 1.
    pub fn enter_stage(&mut self, rollout: &RolloutState, retained_weight: f64) {
        let stage = (rollout.version, rollout.stage);
        if stage != self.stage {
            self.stage = stage;
            self.reported_attempts = 0.0;
            self.evidence.scale(retained_weight);
        }
    }

    /// Returns the conditions that decide which tests apply; `min_successes` is the number of reported successes of the
    /// canary from which reports can contradict own outcomes.
    #[must_use]
    pub fn context(&self, rollout: &RolloutState, min_successes: f64) -> CanaryContext {
        let is_canary = self.canary == Some(rollout.version) && rollout.phase == RolloutPhase::Canary;
        CanaryContext {
            is_canary,
            lacks_baseline_traffic: is_canary && (rollout.is_uncapped() || self.is_without_baseline),
            has_min_reports: self.reported_successes.canary >= min_successes,
        }
    }

    /// Records the time of an analysis and whether there is a baseline. A promotion of the last canary is retained for
    /// `duration` milliseconds from its first analysis, then dropped for one analysis and observed again.
    pub fn update_promotion(&mut self, rollout: &RolloutState, view: &AnalysisView, duration: Millis) {
        self.analysed_at = view.now;
        self.is_without_baseline = view.baseline.is_empty();
        let (version, now) = (rollout.version, view.now);
        let known = self.promotion.filter(|promotion| promotion.version == version);
        let observed_at = known.map_or(now, |promotion| promotion.observed_at);
        let is_promoted = rollout.phase == RolloutPhase::Promoted && self.last_canary == Some(version);
        let is_recent = is_promoted && now - observed_at < duration;
        self.promotion = is_recent.then_some(Promotion { version, observed_at });
    }

    /// Marks the newest version as rejected, and prepares the log event that the next vote prints.
    pub fn reject(&mut self, rollout: &RolloutState, reason: RejectionReason) {
        let RolloutState { version, stage, .. } = *rollout;
        let WeightedEvidence { failures, expected_failures, .. } = self.evidence;
        self.rejected_version = Some(version);
        self.pending_rejection_log = Some(LogEvent::CanaryRejected {
            version,
            stage,
            reason,
            probability: self.probability_worse,
            failures,
            expected_failures,
        });
    }

    /// Returns the last vote if it was on `version`, whatever the stage.
    pub(crate) fn last_vote_on(&self, version: Version) -> Option<CastVote> {
        self.last_vote.filter(|last| last.version == version)
    }

    /// Records a vote and returns the actions that cast it and log a pending rejection. The vote is logged if it
    /// differs from the last one and is not [`Verdict::Abstain`].
    pub fn record_vote(&mut self, vote: CastVote, now: Millis) -> Vec<Action> {
        let CastVote { version, stage, verdict } = vote;
        let is_new = self.last_vote_on(version) != Some(vote);
        self.last_vote = Some(vote);
        self.last_vote_at = now;
        self.is_last_vote_counted = true;
        let mut actions = vec![Action::CastVote { version, stage, verdict }];
        actions.extend(self.pending_rejection_log.take().map(Action::Log));
        if is_new && verdict != Verdict::Abstain {
            let probability_worse = self.probability_worse;
            actions.push(Action::Log(LogEvent::VoteCast { verdict, version, stage, probability_worse }));
        }
        actions
    }

    /// Counts a response of `version` that a client reported wrong; ignored for versions later than the last canary.
    pub fn record_wrong_response(&mut self, version: Version) {
        match self.last_canary {
            Some(canary) if version == canary => self.wrong_responses.canary += 1.0,
            Some(canary) if version < canary => self.wrong_responses.baseline += 1.0,
            _ => {}
        }
    }

    /// Adds the platform's counts for a version and a class; the next analysis evaluates them.
    pub fn record_outcome_report(&mut self, version: Version, class: usize, counts: OutcomeCounts) {
        let reported = &mut self.classes[class].reported;
        let is_canary = self.last_canary == Some(version);
        let group = if is_canary { &mut reported.canary } else { &mut reported.baseline };
        group.add(counts);
    }
}

/// Returns the message by which a gateway notifies its peers of a response reported wrong: the number of the version
/// that sent the response, as 4 bytes in big-endian order.
#[must_use]
pub fn encode_wrong_response(version: Version) -> Vec<u8> {
    version.0.to_be_bytes().to_vec()
}

/// Returns the version in a message of [`encode_wrong_response`]; `None` if the message does not have 4 bytes.
#[must_use]
pub fn decode_wrong_response(message: &[u8]) -> Option<Version> {
    <[u8; 4]>::try_from(message).ok().map(|bytes| Version(u32::from_be_bytes(bytes)))
}
