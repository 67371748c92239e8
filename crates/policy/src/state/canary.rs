//! The state of the analysis of a canary: evidence, results of the tests, and the votes cast.
//!
//! `crate::canary` and `crate::verdict` update it. A rejection is final: it remains in
//! [`CanaryAnalysis::rejected_version`] until a later version is rejected.

use crate::action::Action;
use crate::config::VotingConfig;
use crate::log_event::{LogEvent, RejectionReason};
use crate::rollout::{RolloutPhase, RolloutState, Verdict, Version};
use crate::state::endpoint::{EndpointIndex, MetricMoments};
use crate::state::evidence::{BySide, ClassEvidence, CommonFailures, OutcomeCounts, WeightedEvidence};
use crate::state::registry::{EndpointRegistry, EndpointTable, VersionGroups};
use crate::time::Millis;

/// A vote that was cast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CastVote {
    /// The version voted on.
    pub version: Version,
    /// The stage of its rollout when it was cast, from 0.
    pub stage: u32,
    /// The vote.
    pub verdict: Verdict,
}

/// The result of one test of a canary.
#[derive(Clone, Copy, Debug)]
pub struct TestResult {
    /// The probability that the canary is worse.
    pub probability_worse: f64,
    /// The probability of a wrong rejection that the test may accept.
    pub false_rejection_rate: f64,
    /// The test, for the log.
    pub reason: RejectionReason,
}

impl TestResult {
    /// The result with the largest probability; of equal ones the last.
    #[must_use]
    pub fn strongest(results: Vec<TestResult>) -> Option<TestResult> {
        results.into_iter().max_by(|a, b| a.probability_worse.total_cmp(&b.probability_worse))
    }
}

/// Which tests of a canary apply.
#[derive(Clone, Copy, Debug)]
pub struct CanaryContext {
    /// The newest version is the canary, by the endpoint list and by the platform.
    pub is_canary: bool,
    /// It may get all requests, or has no baseline: there is no comparison.
    pub is_alone: bool,
    /// The platform has reported the minimum of its answers.
    pub is_reported: bool,
}

/// A version that was promoted recently.
#[derive(Clone, Copy, Debug)]
pub struct Promotion {
    /// The version.
    pub version: Version,
    /// When this gateway was notified of the promotion, in ms.
    pub seen_at: Millis,
}

/// The endpoints at the time of an analysis.
pub struct AnalysisView {
    /// Ready endpoints of canaries.
    pub canary: Vec<EndpointIndex>,
    /// Ready endpoints of the baseline.
    pub baseline: Vec<EndpointIndex>,
    /// The least warm-up factor among the canary's endpoints.
    pub min_canary_warmup: f64,
    /// Their mean warm-up factor.
    pub mean_canary_warmup: f64,
    /// Arrivals within the load window per endpoint that has answered within it.
    pub load: f64,
    /// The time in ms.
    pub now: Millis,
}

/// The evidence on a canary, the results of the last analysis, and the votes cast.
#[derive(Default)]
pub struct CanaryAnalysis {
    /// How versions are voted on.
    pub voting: VotingConfig,
    /// The probability of a wrong rollback that this gateway may accept.
    pub own_false_rejection_rate: f64,
    /// The probability of casting a vote that is due, at one analysis.
    pub vote_probability: f64,
    /// The evidence by class.
    pub classes: Vec<ClassEvidence>,

    /// When the last analysis was, in ms.
    pub analysed_at: Millis,
    /// The version that is a canary.
    pub canary: Option<Version>,
    /// The version that is or was last a canary.
    pub watched_version: Option<Version>,
    /// The promotion of the watched version, if it was recent.
    pub promotion: Option<Promotion>,
    /// The last version that was rejected.
    pub rejected_version: Option<Version>,
    /// The version and stage that `reported_attempts` belongs to.
    pub stage: (Version, u32),

    /// The metrics of all endpoints before the canary.
    pub metrics_before_canary: MetricMoments,
    /// The load per endpoint before the canary.
    pub load_before_canary: f64,
    /// No baseline endpoint is ready.
    pub is_without_baseline: bool,

    /// The largest probability over all tests that the canary is worse.
    pub probability_worse: f64,
    /// Since when a test has exceeded its threshold, in ms.
    pub confident_since: Option<Millis>,
    /// The minimum of outcomes for a verdict is reached.
    pub has_min_samples: bool,
    /// All endpoints are probably slower than before the canary.
    pub are_all_slower: bool,
    /// Since when the canary gets nearly all requests before its promotion, in ms.
    pub full_traffic_since: Option<Millis>,

    /// Reported attempts at the canary in the present stage.
    pub reported_attempts: f64,
    /// The canary's reported outcomes compared with the baseline's.
    pub evidence: WeightedEvidence,
    /// Reported answers.
    pub reported_answers: BySide<f64>,
    /// Answers that clients reported wrong, at any gateway.
    pub wrong_answers: BySide<f64>,
    /// Failures common to all versions, in the newest reports, that are attributed to the canary.
    pub common_failures: CommonFailures,
    /// Failures common to all versions preceded the canary's traffic.
    pub has_preexisting_failures: bool,
    /// Log of the ratio of latencies in the newest reports to those before the canary.
    pub latency_ratio_log: f64,

    /// The last vote.
    pub last_vote: Option<CastVote>,
    /// When it was cast, in ms.
    pub last_vote_at: Millis,
    /// It counts, unless the platform has answered otherwise.
    pub vote_is_active: bool,
    /// The log event of a rejection, until the next vote is cast: only gateways that are drawn to vote print it.
    pub rejection_log: Option<LogEvent>,
}

impl AnalysisView {
    /// The endpoints at `now`; `load_window`: ms over which load is counted.
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

    /// The number of endpoints on both sides, at least one.
    #[must_use]
    pub fn ready_count(&self) -> f64 {
        (self.canary.len() + self.baseline.len()).max(1) as f64
    }

    /// ms since the start of the canary's newest endpoint; none without any.
    #[must_use]
    pub fn since_newest_start(&self, endpoints: &EndpointTable) -> Option<Millis> {
        let starts = self.canary.iter().map(|index| endpoints[*index].started_at);
        (!self.canary.is_empty()).then(|| self.now - starts.fold(0.0, f64::max))
    }
}

impl CanaryAnalysis {
    /// No evidence yet.
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

    /// No version is a canary, and none was promoted recently.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.canary.is_none() && self.promotion.is_none()
    }

    /// Another version is the canary now, or none is any more: records the metrics and the load of all endpoints as those
    /// before it, and resets them. A version that was not watched before also starts without reported evidence, so that
    /// earlier faults do not count against it.
    pub fn begin(&mut self, canary: Option<Version>, endpoints: &mut EndpointTable, load: f64) {
        if canary == self.canary {
            return;
        }
        self.canary = canary;
        self.confident_since = None;
        self.full_traffic_since = None;
        if canary.is_some() && canary != self.watched_version {
            self.watched_version = canary;
            self.wrong_answers = BySide::default();
            self.reported_answers = BySide::default();
            self.evidence = WeightedEvidence::default();
            self.common_failures = CommonFailures::default();
        }
        self.metrics_before_canary = endpoints.pooled_metrics();
        self.load_before_canary = load;
        endpoints.iter_mut().for_each(|endpoint| endpoint.metrics = MetricMoments::default());
    }

    /// Counts reported attempts and answers.
    pub fn count_reported(&mut self, reported: &BySide<OutcomeCounts>) {
        self.reported_attempts += reported.canary.attempts;
        self.reported_answers.baseline += reported.baseline.successes();
        self.reported_answers.canary += reported.canary.successes();
    }

    /// Counts reports by stage; `carry_over`: the weight of the previous stage's.
    pub fn enter_stage(&mut self, rollout: &RolloutState, carry_over: f64) {
        let stage = (rollout.version, rollout.stage);
        if stage != self.stage {
            self.stage = stage;
            self.reported_attempts = 0.0;
            self.evidence.scale(carry_over);
        }
    }

    /// Which tests of the newest version apply; `min_answers`: its minimum of reported answers.
    #[must_use]
    pub fn context(&self, rollout: &RolloutState, min_answers: f64) -> CanaryContext {
        let is_canary = self.canary == Some(rollout.version) && rollout.phase == RolloutPhase::Canary;
        CanaryContext {
            is_canary,
            is_alone: is_canary && (rollout.traffic_cap >= 1.0 || self.is_without_baseline),
            is_reported: self.reported_answers.canary >= min_answers,
        }
    }

    /// Records the time of an analysis, and retains the promotion of the watched version for `duration` ms.
    pub fn watch_promotion(&mut self, rollout: &RolloutState, view: &AnalysisView, duration: Millis) {
        self.analysed_at = view.now;
        self.is_without_baseline = view.baseline.is_empty();
        let (version, now) = (rollout.version, view.now);
        let known = self.promotion.filter(|promotion| promotion.version == version);
        let seen_at = known.map_or(now, |promotion| promotion.seen_at);
        let is_promoted = rollout.phase == RolloutPhase::Promoted && self.watched_version == Some(version);
        let is_recent = is_promoted && now - seen_at < duration;
        self.promotion = is_recent.then_some(Promotion { version, seen_at });
    }

    /// Rejects the newest version; the reason is logged with the next vote.
    pub fn reject(&mut self, rollout: &RolloutState, reason: RejectionReason) {
        let RolloutState { version, stage, .. } = *rollout;
        let WeightedEvidence { failures, expected_failures, .. } = self.evidence;
        self.rejected_version = Some(version);
        self.rejection_log = Some(LogEvent::CanaryRejected {
            version,
            stage,
            reason,
            probability: self.probability_worse,
            failures,
            expected_failures,
        });
    }

    /// The last vote, if it was on that version.
    pub(crate) fn last_vote_on(&self, version: Version) -> Option<CastVote> {
        self.last_vote.filter(|last| last.version == version)
    }

    /// Records a vote and returns the actions that cast and log it.
    pub fn record_vote(&mut self, vote: CastVote, now: Millis) -> Vec<Action> {
        let CastVote { version, stage, verdict } = vote;
        let is_new = self.last_vote_on(version) != Some(vote);
        self.last_vote = Some(vote);
        self.last_vote_at = now;
        self.vote_is_active = true;
        let mut actions = vec![Action::CastVote { version, stage, verdict }];
        actions.extend(self.rejection_log.take().map(Action::Log));
        if is_new && verdict != Verdict::Abstain {
            let probability_worse = self.probability_worse;
            actions.push(Action::Log(LogEvent::VoteCast { verdict, version, stage, probability_worse }));
        }
        actions
    }

    /// Counts a wrong answer of the watched version, or of an earlier one.
    pub fn record_wrong_answer(&mut self, version: Version) {
        match self.watched_version {
            Some(watched) if version == watched => self.wrong_answers.canary += 1.0,
            Some(watched) if version < watched => self.wrong_answers.baseline += 1.0,
            _ => {}
        }
    }

    /// Adds reported counts of a version and class.
    pub fn record_reported(&mut self, version: Version, class: usize, counts: OutcomeCounts) {
        let reported = &mut self.classes[class].reported;
        let is_watched = self.watched_version == Some(version);
        let side = if is_watched { &mut reported.canary } else { &mut reported.baseline };
        side.add(counts);
    }
}

/// Encodes the message by which gateways notify each other of a wrong answer: its version, as four bytes.
#[must_use]
pub fn encode_wrong_answer(version: Version) -> Vec<u8> {
    version.0.to_be_bytes().to_vec()
}

/// Decodes such a message; none if it is malformed.
#[must_use]
pub fn decode_wrong_answer(message: &[u8]) -> Option<Version> {
    <[u8; 4]>::try_from(message).ok().map(|bytes| Version(u32::from_be_bytes(bytes)))
}
