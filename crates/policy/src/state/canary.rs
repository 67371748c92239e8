//! The evidence on a canary, and the votes cast on it.

use crate::action::Action;
use crate::config::VotingConfig;
use crate::log_event::{LogEvent, RejectionReason};
use crate::rollout::{RolloutPhase, RolloutState, Verdict, Version};
use crate::state::endpoint::{EndpointIndex, MetricMoments};
use crate::state::evidence::{BySide, ClassEvidence, CommonFailures, OutcomeCounts, WeightedEvidence};
use crate::state::registry::{EndpointRegistry, EndpointTable, Sides};
use crate::time::Millis;

/// A vote that was cast.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CastVote {
    /// The version voted on.
    pub version: Version,
    /// Its stage then.
    pub stage: u32,
    /// The vote.
    pub verdict: Verdict,
}

/// One test of a canary.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    /// The probability that the canary is worse.
    pub probability_worse: f64,
    /// The chance of being wrong that the test may take.
    pub error_rate: f64,
    /// What was tested, for the log.
    pub reason: RejectionReason,
}

impl Suspicion {
    /// The test that is surest; of equals the last.
    #[must_use]
    pub fn strongest(suspicions: Vec<Suspicion>) -> Option<Suspicion> {
        suspicions.into_iter().max_by(|a, b| a.probability_worse.total_cmp(&b.probability_worse))
    }
}

/// What tests of a canary depend on.
#[derive(Clone, Copy, Debug)]
pub struct CanaryContext {
    /// The newest version is the canary, here and for the platform.
    pub is_canary: bool,
    /// It gets all requests, or no baseline is left: nothing compares.
    pub is_alone: bool,
    /// The platform counted enough of its answers.
    pub is_reported: bool,
}

/// A version that was promoted, and since when that is known.
#[derive(Clone, Copy, Debug)]
pub struct Promotion {
    /// The version.
    pub version: Version,
    /// When this gateway learnt of it.
    pub seen_at: Millis,
}

/// The endpoints at the moment of an analysis.
pub struct AnalysisView {
    /// Ready endpoints of canaries.
    pub canary: Vec<EndpointIndex>,
    /// Ready endpoints of the baseline.
    pub baseline: Vec<EndpointIndex>,
    /// The least warm-up factor among the canary's endpoints.
    pub min_canary_warmup: f64,
    /// Their mean warm-up factor.
    pub mean_canary_warmup: f64,
    /// Requests of late for each endpoint that answered of late.
    pub load: f64,
    /// The time.
    pub now: Millis,
}

/// Everything that a gateway knows for its verdict.
#[derive(Default)]
pub struct CanaryAnalysis {
    /// How versions are voted on.
    pub voting: VotingConfig,
    /// The chance of a wrong rollback that this gateway may take.
    pub own_error_rate: f64,
    /// The probability of voting at a look, where a vote is due.
    pub vote_probability: f64,
    /// What is known of each class.
    pub classes: Vec<ClassEvidence>,

    /// When the last analysis was.
    pub analysed_at: Millis,
    /// The version that is a canary now.
    pub canary: Option<Version>,
    /// The version that is, or was last, a canary.
    pub watched_version: Option<Version>,
    /// The watched version was promoted a short while ago.
    pub promotion: Option<Promotion>,
    /// The version that was rejected: that verdict stays.
    pub rejected_version: Option<Version>,
    /// The version and stage that `reported_attempts` belongs to.
    pub stage: (Version, u32),

    /// The metrics of all endpoints as the canary came.
    pub metrics_before_canary: MetricMoments,
    /// The load of all endpoints as the canary came.
    pub load_before_canary: f64,
    /// No baseline endpoint takes requests any more.
    pub is_without_baseline: bool,

    /// The largest probability that the canary is worse.
    pub probability_worse: f64,
    /// Since when that is beyond doubt.
    pub confident_since: Option<Millis>,
    /// There are enough outcomes for a verdict.
    pub has_min_samples: bool,
    /// All endpoints are probably slower than before the canary.
    pub are_all_slower: bool,
    /// Since when the canary gets nearly all requests before its promotion.
    pub full_traffic_since: Option<Millis>,

    /// Attempts at the canary that the platform counted in the present stage.
    pub reported_attempts: f64,
    /// What those tell.
    pub evidence: WeightedEvidence,
    /// Answers that the platform counted.
    pub reported_answers: BySide<f64>,
    /// Answers that clients reported wrong, at any gateway.
    pub wrong_answers: BySide<f64>,
    /// Failures of all in the newest counts that the canary is held responsible for.
    pub common_failures: CommonFailures,
    /// Failures of all were there before the canary carried much.
    pub has_preexisting_failures: bool,
    /// Log of how many times longer answers took just now than before the canary.
    pub latency_ratio_log: f64,

    /// The last vote.
    pub last_vote: Option<CastVote>,
    /// When it was cast.
    pub last_vote_at: Millis,
    /// It counts, for all that is known.
    pub vote_is_active: bool,
    /// Why the version was rejected, until the vote on it is cast.
    pub rejection_log: Option<LogEvent>,
}

impl AnalysisView {
    /// What is seen now; `load_window`: the time over which load is counted.
    #[must_use]
    pub fn new(registry: &EndpointRegistry, sides: Sides, load_window: Millis, now: Millis) -> Self {
        let warmup = |index: &EndpointIndex| registry.warmup_factor(*index, now);
        let warmup: Vec<f64> = sides.canary.iter().map(warmup).collect();
        AnalysisView {
            mean_canary_warmup: warmup.iter().sum::<f64>() / warmup.len().max(1) as f64,
            min_canary_warmup: warmup.into_iter().fold(1.0, f64::min),
            load: registry.arrivals_per_answering_endpoint(now - load_window),
            canary: sides.canary,
            baseline: sides.baseline,
            now,
        }
    }

    /// Endpoints on both sides, one at least.
    #[must_use]
    pub fn ready_count(&self) -> f64 {
        (self.canary.len() + self.baseline.len()).max(1) as f64
    }

    /// Time since the newest endpoint of the canary started, if it has any.
    #[must_use]
    pub fn since_newest_start(&self, endpoints: &EndpointTable) -> Option<Millis> {
        let starts = self.canary.iter().map(|index| endpoints[*index].started_at);
        (!self.canary.is_empty()).then(|| self.now - starts.fold(0.0, f64::max))
    }
}

impl CanaryAnalysis {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(voting: VotingConfig, own_error_rate: f64, vote_probability: f64, class_count: usize) -> Self {
        CanaryAnalysis {
            voting,
            own_error_rate,
            vote_probability,
            classes: vec![ClassEvidence::default(); class_count],
            ..CanaryAnalysis::default()
        }
    }

    /// No version is a canary, nor was promoted a short while ago.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.canary.is_none() && self.promotion.is_none()
    }

    /// Begins anew where another version is the canary now, lest earlier trouble count against it.
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

    /// Counts attempts and answers that were reported.
    pub fn count_reported(&mut self, reported: &BySide<OutcomeCounts>) {
        self.reported_attempts += reported.canary.attempts;
        self.reported_answers.baseline += reported.baseline.successes();
        self.reported_answers.canary += reported.canary.successes();
    }

    /// Counts reports by stage; `carry_over`: the weight kept of an earlier stage's.
    pub fn enter_stage(&mut self, rollout: &RolloutState, carry_over: f64) {
        let stage = (rollout.version, rollout.stage);
        if stage != self.stage {
            self.stage = stage;
            self.reported_attempts = 0.0;
            self.evidence.scale(carry_over);
        }
    }

    /// What tests of the newest version depend on; `min_answers`: reported answers of it that are enough.
    #[must_use]
    pub fn context(&self, rollout: &RolloutState, min_answers: f64) -> CanaryContext {
        let is_canary = self.canary == Some(rollout.version) && rollout.phase == RolloutPhase::Canary;
        CanaryContext {
            is_canary,
            is_alone: is_canary && (rollout.traffic_cap >= 1.0 || self.is_without_baseline),
            is_reported: self.reported_answers.canary >= min_answers,
        }
    }

    /// Notes the time of an analysis, and remembers the promotion of the watched version for a while.
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

    /// Rejects the newest version for good; the reason is logged with the vote on it.
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

    /// Whether a vote is to be cast now: it is new, or its lease is half over, or it did not count.
    #[must_use]
    pub fn is_vote_due(&self, vote: CastVote, retry_interval: Millis, now: Millis) -> bool {
        let lease = if self.vote_is_active { self.voting.vote_lease / 2.0 } else { retry_interval };
        match self.last_vote_on(vote.version) {
            None => vote.verdict != Verdict::Abstain,
            Some(last) if last != vote => vote.verdict != Verdict::Abstain || last.stage == vote.stage,
            Some(_) => vote.verdict != Verdict::Abstain && now - self.last_vote_at >= lease,
        }
    }

    fn last_vote_on(&self, version: Version) -> Option<CastVote> {
        self.last_vote.filter(|last| last.version == version)
    }

    /// Remembers a vote, and returns what is to be done about it.
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

    /// Adds what the platform counted.
    pub fn record_reported(&mut self, version: Version, class: usize, counts: OutcomeCounts) {
        let reported = &mut self.classes[class].reported;
        match self.watched_version == Some(version) {
            true => reported.canary.add(counts),
            false => reported.baseline.add(counts),
        }
    }
}

/// The message in which gateways tell each other of a wrong answer: the version, as four bytes.
#[must_use]
pub fn encode_wrong_answer(version: Version) -> Vec<u8> {
    version.0.to_be_bytes().to_vec()
}

/// The version that such a message tells of.
#[must_use]
pub fn decode_wrong_answer(message: &[u8]) -> Option<Version> {
    <[u8; 4]>::try_from(message).ok().map(|bytes| Version(u32::from_be_bytes(bytes)))
}
