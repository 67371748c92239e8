//! All decisions of a gateway: where each txn goes, what is given up, how builds are voted on.
//! Callers build one [`Policy`] from a [`PolicyConfig`], hand each batch of events with its clock
//! to [`Policy::handle_events`] and carry out the actions in order. Chance comes from the seed; see docs/design.md.

use crate::state::*;
use crate::*;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_distr::{Distribution, StudentT};
use rand_pcg::Pcg64Mcg;
use statrs::distribution::{DiscreteCDF, Poisson};

type Out = Vec<Action>;

const TICK: Millis = 10.0; // ms between looks at held and silent txns: a few of the finest batches
const JUDGE_EVERY: Millis = 250.0; // ms between two judgements (design page)
const DRAWS: f64 = 200.0; // draws per build for π (design page)
const MOST_DRAWS: f64 = 4000.0; // the same while the earlier build wins all
const LEAST_OUTCOMES: f64 = 10.0; // outcomes per build before π means anything (design page)
const SQUARES_FLOOR: f64 = 0.01; // least summed squared deviation per outcome (design page)
const DELTA: f64 = 0.05; // chance of a wrong way back (design page), shared among all that may vote it alone
const DOUBT: f64 = 0.8; // π of the earlier build above which nothing goes on (design page)
const SURE_FOR: Millis = 1000.0; // ms that π must stay above 1 - δ (design page)
const SETTLE: Millis = 3000.0; // ms after the newest trial start before going on (design page)
const FEW_PATIENCE: Millis = 4000.0; // ms per stage after that start in which too few outcomes make it wait
const FADE_HALF: Millis = 4000.0; // ms in which an outcome's weight halves: long for power, short for late harm
const MANY: f64 = 100.0; // own outcomes from which a slow time before the build shows going back is no cure
const FADE_FROM: f64 = 20.0; // outcomes at an instance from which old ones fade: few are all there is
const PACE_MARGIN: f64 = 0.4; // log of 1.5: good builds, and the machines they happen to get, differ by less
const LOADED: f64 = 1.2; // times the txns for each answering instance up to which paces compare over time
const FAULT_MARGIN: f64 = 1.5; // times the others' share of errors and flags that chance and peeking allow
const CLUSTERS: f64 = 3.0; // failures in tallies that come as one: in time, and on few sick machines
const COLLAPSE: f64 = 0.2; // share of failures on top of those before the trial that no good build costs
const COMMON: f64 = 0.1; // share of failures of all builds on top of those before that a trial is blamed for
const CARRIES: f64 = 0.25; // share of the tallied txns from which a trial can harm all servers
const MOST_FAULTS: f64 = 1e4; // failures that are weighed at most: more tell nothing new
const WATCH: Millis = 15000.0; // ms after a release in which a collapse is laid to the build
const REHEARSAL: Millis = 6000.0; // ms that the trial carries nearly all before its release: costs little
const REHEARSED: f64 = 0.9; // share it then carries; the rest keeps the earlier build's figures fresh
const LOOKS: f64 = 10.0; // looks at new tallies of one build, which share δ
const TALLY_HALF: Millis = 8000.0; // ms in which the weight of tallies halves: several periods of few counts
const STAGE_KEPT: f64 = 0.3; // weight kept of an earlier stage's tallies: its few machines may have been sick
const TALLY_WARM: f64 = 0.7; // capacity of the trial's instances from which tallies compare
const BASE_FADE: f64 = 0.995; // weight kept per outcome of the time before: some hundreds count
const NEWEST: f64 = 0.1; // weight of the newest value in running means
const FRESH_CAP: f64 = 2.0; // in flight at a fresh instance: one running, one to follow
const SLOW_WEIGHT: f64 = 0.3; // weight of the newest answer time at an instance
const SLOW_HALF: Millis = 5000.0; // ms in which what answer times tell halves
const CAP_GAIN: f64 = 0.25; // how far one answer moves that cap
const QUEUE_SHARE: f64 = 0.25; // mean share of the SLA time that answers may take before the cap falls
const PATIENCE: f64 = 0.5; // share of the SLA time that a silent instance gets before a txn goes elsewhere
const HEAVY: f64 = 3.0; // times its usual or hinted time that a txn may take without suspicion
const SICK_ERRORS: f64 = 0.6; // share of errors of a sick machine; builds were never met that bad
const SILENT: u32 = 2; // submissions without an answer, and none from any other, that tell of a dead machine
const ASIDE: Millis = 500.0; // ms that an instance is left aside at first, doubling
const ASIDE_MOST: Millis = 4000.0; // ms that it is left aside at most: lost capacity costs too
const RESEND_SHARE: f64 = 0.15; // further submissions per txn taken: more would feed an overload
const RESEND_SAVED: f64 = 10.0; // of these that may be saved up
const MARGIN: Millis = 20.0; // ms kept from the ends of spans that rules set
const COLD_PART: f64 = 0.5; // share of a cold instance's budget used: twice the capacity may come
const RATE_SPAN: Millis = 2000.0; // ms over which this gateway's own rate is taken, and its usual one follows
const RATE_SURGE: f64 = 1.5; // times its usual rate that a burst may raise what cold instances get
const CROSS_BIAS: f64 = 0.25; // in flight that crossing zones counts extra: more would fill the own zone
const ASK_SPREAD: f64 = 0.2; // share of the time to ask within over which the first calls are spread
const IDLE: Millis = 1000.0; // ms between looks while there is nothing to judge: idle gateways are hundreds
const ASK_AGAIN: Millis = 500.0; // ms before a failed call for the list or a failed vote is repeated
const VOTERS: f64 = 8.0; // gateways that vote at each look, of all that would: the platform's calls are few
const SHED_BELOW: f64 = 0.8; // share of a tenant's txns served well under which some are declined at once
const GOOD_LEFT: f64 = 0.6; // share of the SLA time left that counts as served well
const REPEATS_SHED: f64 = 4.0; // times more of the repeats declined: clients repeat what was declined
const SHED_HALF: Millis = 1000.0; // ms in which the weight of a txn there halves: about the time an answer takes
const SHED_DOUBT: f64 = 2.0; // txns taken as served well beforehand: a gateway may see few
const ROUNDING: Millis = 1.0; // ms that a timer may come early
const STALL: Millis = 150.0; // ms that a timer may come late before this gateway's own times mean nothing
const SUBSET: Millis = 4000.0; // ms in which each instance of a gateway's subset is met: its state is known
const SUBSET_LEAST: f64 = 8.0; // instances of the smallest subset
const REFUSED: f64 = 0.02; // share of connections refused above which none is kept idle
const ASK_LOST: Millis = 4000.0; // ms before an unanswered call is taken as lost

impl Exposure {
    /// Cap and stage of a build on trial; one not announced yet counts as in the first stage.
    fn on_trial(&self, build: Version, lowest: Version) -> Option<(f64, u32)> {
        match &self.news {
            None => (build > lowest).then_some((self.terms.stage_caps[0], 0)),
            Some(news) if build > news.version => Some((self.terms.stage_caps[0], 0)),
            Some(news) if build < news.version || news.phase == RolloutPhase::Promoted => None,
            Some(news) => Some((news.traffic_cap, news.stage)),
        }
    }

    fn admits(&self, txn: &Txn, effect: Idempotency, build: Version, lowest: Version, now: Millis) -> bool {
        let returns =
            txn.key.as_ref().and_then(|key| self.bound.get(key)).is_some_and(|bound| build < *bound);
        let Some((cap, stage)) = self.on_trial(build, lowest) else { return !returns };
        let open = cap > 0.0 && (stage >= self.terms.closed_stages || effect == Idempotency::Idempotent);
        let (lane, since) = (self.lane(txn.product), now - self.terms.window);
        let sent = self.sends.get(&(build, lane)).map_or(0, |sends| sends.since(since - MARGIN));
        let came = self.arrivals[lane].since(since + MARGIN);
        !returns && open && (sent + 1) as f64 <= self.terms.allowance + cap * came as f64
    }

    /// A key that the new build has answered goes to no earlier one while the new one stands.
    fn note_answer(&mut self, key: &Option<String>, build: Version, lowest: Version) {
        let over =
            |news: &RolloutState| matches!(news.phase, RolloutPhase::RollingBack | RolloutPhase::RolledBack);
        let stands = |news: &RolloutState| build > news.version || (build == news.version && !over(news));
        let binds = self.terms.sticky_keys && build > lowest && self.news.as_ref().is_none_or(stands);
        if let Some(key) = key.as_ref().filter(|_| binds) {
            let bound = self.bound.entry(key.clone()).or_insert(build);
            *bound = build.max(*bound);
        }
    }

    fn hear(&mut self, news: RolloutState) {
        let stands = matches!(news.phase, RolloutPhase::Canary | RolloutPhase::Promoted);
        self.bound.retain(|_, build| *build > news.version || (*build == news.version && stands));
        self.news = Some(news);
    }
}

impl Judge {
    fn learn(
        &mut self, s: &mut Servers, sub: &Submission, txn: &Txn, ending: AttemptOutcome, took: Millis,
        sla: Millis,
    ) {
        let (i, settled) = (sub.server, ending == AttemptOutcome::Success);
        // A machine that is down, full or silent tells of itself, not of its build.
        let error = ending == AttemptOutcome::Error;
        let right = (settled || error).then_some(f64::from(u8::from(settled)));
        right.into_iter().for_each(|right| s.arms[RIGHT][i].add(right));
        let heard = settled || error || (ending == AttemptOutcome::Timeout && s.last_answer[i] >= sub.sent);
        let calm = self.trial.is_none() && self.released.is_none();
        // A cold machine is no slow build: its time counts as at the capacity that it had at least.
        let warm_time = took * sub.warmth;
        let pace = -(warm_time.max(0.1) / txn.work.map_or(1.0, |work| work.max(0.1))).ln();
        // What was called back took at least that long: sent elsewhere, slowness would leave no trace.
        let overdue = matches!(ending, AttemptOutcome::Cancelled | AttemptOutcome::Timeout)
            && pace < self.base[txn.product].mean - PACE_MARGIN;
        if heard || (overdue && warm_time > sla) {
            s.arms[SCORE][i].add(f64::from(u8::from(settled && warm_time <= sla)));
        }
        if settled || overdue {
            let usual = &mut self.base[txn.product];
            if calm || usual.count < LEAST_OUTCOMES {
                usual.add(pace);
                usual.fade(BASE_FADE);
            }
            s.arms[PACE][i].add(pace - usual.mean);
            s.slow[i] += SLOW_WEIGHT * (usual.mean - pace - s.slow[i]);
            s.slow_at[i] = sub.sent + took;
        }
    }

    /// The share of draws in which the first arm is best, even with a handicap.
    fn pi(rng: &mut Pcg64Mcg, first: &Arm, second: &Arm, handicap: f64) -> f64 {
        let posterior = |arm: &Arm| {
            let squares = arm.squares.max(SQUARES_FLOOR * arm.count);
            let spread = (squares / (arm.count * (arm.count - 2.0))).sqrt();
            let t = StudentT::new(arm.count - 2.0).ok().filter(|_| arm.count >= LEAST_OUTCOMES);
            t.map(|t| (arm.mean, spread, t))
        };
        let (Some(first), Some(second)) = (posterior(first), posterior(second)) else { return 0.5 };
        let (mut wins, mut draws) = (0.0, 0.0);
        // A δ shared among hundreds is finer than the usual draws tell: while all are won, draw on.
        while draws < DRAWS || (wins >= draws && draws < MOST_DRAWS) {
            let one = first.0 - handicap + first.1 * first.2.sample(rng);
            let other = second.0 + second.1 * second.2.sample(rng);
            wins += if one > other { 1.0 } else { f64::from(u8::from(one == other)) * 0.5 };
            draws += 1.0;
        }
        wins / draws
    }

    /// π by one kind of arm, by all machines and without the worst.
    fn pi_by(rng: &mut Pcg64Mcg, arms: &[Arm], trial: &[usize], old: &Arm, handicap: f64) -> f64 {
        let (all, rest) = (Arm::pool(arms, trial, None), Arm::pool_but_worst(arms, trial));
        let rest = if rest.count < LEAST_OUTCOMES { all } else { rest };
        Self::pi(rng, old, &all, handicap).min(Self::pi(rng, old, &rest, handicap))
    }

    /// The chance of fewer faults than these where so many are expected.
    fn rare(expected: f64, faults: f64) -> f64 {
        let below = faults.clamp(0.0, MOST_FAULTS).round() as u64;
        let chances = Poisson::new(expected.max(f64::MIN_POSITIVE));
        chances.map_or(0.0, |chances| below.checked_sub(1).map_or(0.0, |most| chances.cdf(most)))
    }

    /// The chance of fewer own errors and flags, were the build as right as others: too rare for a Gaussian.
    /// Where no earlier instance answers any more, the time before the build came compares.
    fn faults(arms: &[Arm], trial: &[usize], earlier: &[usize], before: Arm) -> f64 {
        let wrong = |arm: &Arm| arm.count * (1.0 - arm.mean);
        let (new, old) = (Arm::pool_but_worst(arms, trial), Arm::pool(arms, earlier, None));
        let old = if earlier.is_empty() { before } else { old };
        Self::rare(FAULT_MARGIN * new.count * (wrong(&old) + 1.0) / old.count.max(1.0), wrong(&new))
    }

    /// Adds the new tallies, trial against earlier within each period and product, so that their mix does
    /// not count; and looks whether all fail alike, against the time before.
    fn weigh_tallies(&mut self, [least, mean]: [f64; 2], full: bool, ready: f64) {
        let calm = self.trial.is_none() && self.released.is_none();
        let (mut all, mut expected, mut carried) = (Count::default(), 0.0, 0.0);
        for (product, [old, new]) in self.tallies.iter_mut().enumerate() {
            let (old, new) = (std::mem::take(old), std::mem::take(new));
            let (usual, time) = (&mut self.tallied_before[product], &mut self.time_before[product]);
            if calm && old.count > 0.0 {
                usual.follow(1.0 - NEWEST, old.count, old.failed / old.count);
                time.follow(1.0 - NEWEST, old.served(), old.time);
                self.load_tallied[product].follow(1.0 - NEWEST, 1.0, old.count / ready);
            }
            let mut both = old;
            both.add(new.count, new.failed, new.time);
            if both.count / ready <= LOADED * self.load_tallied[product].mean {
                all.add(both.count, both.failed, both.time / time.mean.max(1.0));
                (expected, carried) = (expected + (usual.mean + COMMON) * both.count, carried + new.count);
            }
            self.tallied += new.count;
            self.answers = [self.answers[0] + old.served(), self.answers[1] + new.served()];
            // Failures compare once most of the trial is warm; times, which cold ones stretch, once all is.
            let new = if mean < TALLY_WARM { Count::default() } else { new };
            // Earlier instances that are gone, or idle while the build carries nearly all, are no comparison.
            let alone = full || old.count < LEAST_OUTCOMES.min(new.count);
            let rate = if alone { (usual.mean + COLLAPSE) / FAULT_MARGIN } else { old.failing() };
            self.weighed.expected += rate * new.count;
            // Failures beside answers as quick as ever are some tenant's or machine's, not a slow build's.
            let quick = alone && new.served() > 0.0 && new.time < time.mean * (PACE_MARGIN / 4.0).exp();
            self.weighed.failed += if quick { new.failed.min(rate * new.count) } else { new.failed };
            let (ours, theirs) = (new.served(), old.served());
            if !alone && ours > 0.0 && theirs > 0.0 && least >= TALLY_WARM {
                let count = ours * theirs / (ours + theirs) / 2.0;
                let mean = (old.time / (new.time * least)).ln();
                self.weighed.pace.merge(&Arm { count, mean, squares: count });
            }
        }
        if all.count < LEAST_OUTCOMES {
            return;
        }
        self.lag = all.time.ln();
        // What fails old and new alike is a build's doing once it carries much, unless it failed so before.
        let (ill, small) = (all.failed > expected, carried < CARRIES * all.count);
        self.excused = ill && (small || self.excused);
        self.common = if ill && !self.excused { [expected, all.failed] } else { [0.0; 2] };
    }

    /// Fades what is old; begins all arms together when a build comes on trial, lest earlier trouble count.
    fn refresh(&mut self, s: &mut Servers, trial: Option<Version>, since: Millis, load: f64) {
        let half = |half: Millis| 0.5f64.powf((since / half).min(1.0));
        let many = s.arms[..RIGHT].iter_mut().flatten().filter(|arm| arm.count > FADE_FROM);
        many.for_each(|arm| arm.fade(half(FADE_HALF)));
        self.weighed.fade(half(TALLY_HALF));
        if trial != self.trial {
            (self.trial, self.sure_since, self.rehearsed) = (trial, None, None);
            if trial.is_some() && trial != self.watched {
                self.watched = trial;
                (self.flags, self.answers, self.weighed, self.common) = Default::default();
            }
            self.before = s.pooled();
            self.load_before = load;
            s.arms.iter_mut().for_each(|arms| arms.fill(Arm::default()));
        }
    }

    /// Judges the build on trial, or just released, every so often, and votes.
    fn judge(
        &mut self, rng: &mut Pcg64Mcg, s: &mut Servers, sight: Sight, news: &RolloutState, out: &mut Out,
    ) {
        let now = sight.now;
        self.refresh(s, sight.trial.first().map(|i| s.build[*i]), now - self.judged, sight.load);
        if (news.version, news.stage) != self.stage {
            (self.stage, self.tallied) = ((news.version, news.stage), 0.0);
            self.weighed.fade(STAGE_KEPT);
        }
        let ready = (sight.trial.len() + sight.earlier.len()).max(1) as f64;
        self.weigh_tallies(sight.warmth, news.traffic_cap >= 1.0, ready);
        let newest = sight.trial.iter().map(|i| s.since[*i]).fold(0.0, f64::max);
        let (trial, earlier) = (&sight.trial, &sight.earlier);
        (self.judged, self.alone) = (now, earlier.is_empty());
        let on_trial = self.trial == Some(news.version) && news.phase == RolloutPhase::Canary;
        let at = self.released.filter(|(build, _)| *build == news.version).map_or(now, |(_, at)| at);
        let new = news.phase == RolloutPhase::Promoted && self.watched == Some(news.version);
        self.released = (new && now - at < WATCH).then_some((news.version, at));
        let full = on_trial && (news.traffic_cap >= 1.0 || self.alone);
        // δ is shared among looks, and among gateways but for tallies, which are the same for all.
        let (of_own, of_all) = (self.delta / LOOKS, DELTA / LOOKS);
        let mut found = vec![(0.5, of_own, "nothing")];
        let old = |kind: usize| Arm::pool(&s.arms[kind], earlier, None);
        let count = Arm::pool(&s.arms[SCORE], trial, None).count;
        let faults = Self::faults(&s.arms[RIGHT], trial, earlier, self.before[RIGHT]);
        // Some sick machines are no bad build: own errors tell nothing where tallies see no more than usual.
        let tallied = self.answers[1] >= LEAST_OUTCOMES;
        let vouched = tallied && self.weighed.failed < FAULT_MARGIN * self.weighed.expected;
        found.extend((on_trial && !vouched).then_some((faults, of_own, "own errors and flags")));
        // A build may slow all servers, old and new: then only the time before it came compares.
        let all = Arm::pool(&s.arms[PACE], if earlier.is_empty() { trial } else { earlier }, None);
        // More txns for each that answers, by a burst or where some are lost, slow them all as well.
        let sound = self.before[PACE].mean > -PACE_MARGIN;
        let alike = on_trial && sound && !trial.is_empty() && sight.load <= LOADED * self.load_before;
        let slower = Self::pi(rng, &self.before[PACE], &all, PACE_MARGIN);
        let blamed = alike && !self.excused && !(tallied && self.lag < PACE_MARGIN / 2.0);
        found.extend(blamed.then_some((slower, of_own, "pace of all")));
        self.dragged = alike && Self::pi(rng, &self.before[PACE], &all, PACE_MARGIN / 2.0) > DOUBT;
        if on_trial && !full {
            let score = Self::pi_by(rng, &s.arms[SCORE], trial, &old(SCORE), 0.0);
            found.push((score, of_own, "score"));
            let pace = Self::pi_by(rng, &s.arms[PACE], trial, &old(PACE), PACE_MARGIN);
            // A lone machine may well be slow by itself: only a second one can tell.
            found.extend((trial.len() > 1).then_some((pace, of_own, "pace")));
        }
        if on_trial || self.released.is_some() {
            let expected = FAULT_MARGIN * self.weighed.expected / CLUSTERS;
            found.push((Self::rare(expected, self.weighed.failed / CLUSTERS), of_all, "tallies"));
            let [expected, failed] = self.common.map(|sum| sum / CLUSTERS);
            found.push((Self::rare(FAULT_MARGIN * expected, failed), of_all, "common failures"));
            let even = Arm { count: 1e6, mean: 0.0, squares: 0.0 };
            let pace = Self::pi(rng, &even, &self.weighed.pace, PACE_MARGIN);
            found.push((pace, of_all, "times in tallies"));
            // Flags that gateways told each other, against those of other builds per answer.
            let [old, new] = self.answers.map(|count| count.max(LEAST_OUTCOMES));
            let expected = FAULT_MARGIN * (self.flags[0] + 1.0) * new / old;
            found.push((Self::rare(expected, self.flags[1]), of_all, "flags"));
        }
        self.sure_since =
            found.iter().any(|(pi, d, _)| *pi > 1.0 - d).then(|| self.sure_since.unwrap_or(now));
        let (pi, _, why) = found.into_iter().max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
        let own = count >= LEAST_OUTCOMES && (full || old(SCORE).count >= LEAST_OUTCOMES);
        self.enough = on_trial && (own || self.tallied >= LEAST_OUTCOMES);
        self.pi = pi;
        if self.condemned != Some(news.version)
            && self.sure_since.is_some_and(|since| now - since >= SURE_FOR)
        {
            self.condemned = Some(news.version);
            let Weighed { failed, expected, .. } = self.weighed;
            let by = format!("pi {pi:.3} by {why}, tallies fail {failed:.0} against {expected:.0}");
            self.verdict_log =
                Some(format!("build {} found bad at stage {}: {by}", news.version, news.stage));
        }
        let since_start = if on_trial && !trial.is_empty() { now - newest } else { f64::NEG_INFINITY };
        let verdict = self.verdict(news, since_start, now);
        self.cast(rng, news, verdict, now, out);
    }

    fn verdict(&mut self, news: &RolloutState, since_start: Millis, now: Millis) -> Verdict {
        if self.condemned == Some(news.version) {
            let over = matches!(news.phase, RolloutPhase::RollingBack | RolloutPhase::RolledBack);
            return if over { Verdict::Abstain } else { Verdict::RollBack };
        }
        if self.terms.mode == VoteMode::Clocked {
            return if self.enough && self.pi > DOUBT { Verdict::Pause } else { Verdict::Abstain };
        }
        let ill = self.before[PACE].count >= MANY && self.before[PACE].mean <= -PACE_MARGIN;
        let calm = news.traffic_cap < 1.0 || ill || self.weighed.failed <= self.weighed.expected;
        let fit = since_start >= SETTLE && self.pi <= DOUBT && calm && !self.dragged;
        // Nothing is capped any more: the trial carries nearly all for a while, unless too much fails then.
        let rehearses = fit && news.traffic_cap >= 1.0 && (self.enough || self.rehearsed.is_some());
        self.rehearsed = if rehearses { self.rehearsed.or(Some(now)) } else { None };
        let heard = match self.rehearsed {
            Some(since) => self.enough && now - since >= if self.alone { SETTLE } else { REHEARSAL },
            None => self.enough || since_start >= FEW_PATIENCE * f64::from(news.stage + 1),
        };
        if fit && heard { Verdict::Promote } else { Verdict::Abstain }
    }

    fn cast(
        &mut self, rng: &mut Pcg64Mcg, news: &RolloutState, verdict: Verdict, now: Millis, out: &mut Out,
    ) {
        let wanted @ (build, stage, _) = (news.version, news.stage, verdict);
        let last = self.vote.filter(|last| last.0 == build);
        let due = match last {
            None => verdict != Verdict::Abstain,
            Some(last) if last != wanted => verdict != Verdict::Abstain || last.1 == stage,
            _ if verdict == Verdict::Abstain => false,
            _ => now - self.voted >= if self.stands { self.terms.vote_lease / 2.0 } else { ASK_AGAIN },
        };
        // One vote suffices where one is needed, and the platform takes few: gateways draw who votes.
        if due && rng.random::<f64>() < self.voters {
            (self.vote, self.voted, self.stands) = (Some(wanted), now, true);
            out.push(Action::CastVote { version: build, stage, verdict });
            out.extend(self.verdict_log.take().map(Action::Log));
            let line = format!("vote {verdict:?} on build {build} stage {stage}: pi {:.3}", self.pi);
            out.extend((last != self.vote && verdict != Verdict::Abstain).then_some(Action::Log(line)));
        }
    }
}

impl Fleet {
    fn hear(&mut self, rng: &mut Pcg64Mcg, kind: UpdateKind, entries: &[EndpointEntry], now: Millis) {
        self.ask_at = match kind {
            // The watch may stand or not: ask again, each time later, by chance, for all share one service.
            UpdateKind::Failed => {
                self.failures += 1;
                let wait = ASK_AGAIN * f64::from(1u32 << self.failures.min(8)) * rng.random_range(0.5..1.0);
                Some(now + wait.min(self.terms.max_poll_interval / 2.0))
            }
            UpdateKind::CachedSnapshot => self.ask_at,
            UpdateKind::Snapshot | UpdateKind::Delta => None,
        };
        self.failures *= u32::from(kind == UpdateKind::Failed);
        let whole = matches!(kind, UpdateKind::Snapshot | UpdateKind::CachedSnapshot);
        self.servers.ready.iter_mut().for_each(|ready| *ready &= !whole);
        for entry in entries {
            let i = self.slot(entry);
            let s = &mut self.servers;
            // An id may return with another build or after a restart: nothing learnt of it counts.
            if s.life[i] == 0 || s.build[i] != entry.version || entry.started_at > s.since[i] + 1.0 {
                // A fresh instance gets little at once; the cap grows with its answers.
                s.begin_life(i, FRESH_CAP);
                // By chance: of hundreds of gateways few have a submission to spare at once.
                (s.cold_part[i], s.spread[i]) = (rng.random(), rng.random());
            }
            s.relist(i, entry);
        }
        whole.then(|| self.leave_out(entries));
        self.lowest = self.ready().map(|i| self.servers.build[i]).min().unwrap_or(Version(0));
    }

    /// Adds to what each cold instance may get: its part of this gateway's own rate per unit of capacity.
    /// Summed over all gateways, however uneven, that is a fixed share of the budget.
    fn fill_cold_parts(&mut self, now: Millis) {
        let since = now - std::mem::replace(&mut self.filled, now);
        let capacity: f64 = self.ready().map(|i| self.warmth(i, now)).sum();
        let rate = self.arrivals.since(now - RATE_SPAN) as f64 / RATE_SPAN / capacity.max(1.0);
        self.usual += (since / RATE_SPAN).min(1.0) * (rate - self.usual);
        self.part = (SUBSET * self.usual * capacity).max(SUBSET_LEAST) / self.ready().count().max(1) as f64;
        let part = COLD_PART * self.cold.overload_multiple * rate.min(RATE_SURGE * self.usual);
        for i in 0..self.servers.id.len() {
            let gain = part * self.warmth(i, now);
            let most = 1.0 + gain * self.cold.overload_window / 2.0;
            self.servers.cold_part[i] = (self.servers.cold_part[i] + gain * since).min(most);
        }
    }

    fn leave_aside(&mut self, i: usize, why: &str, now: Millis, out: &mut Out) {
        let s = &mut self.servers;
        if s.aside_until[i] <= now {
            s.aside_until[i] = now + (ASIDE * f64::from(1u32 << s.aside_times[i].min(8))).min(ASIDE_MOST);
            s.aside_times[i] += 1;
            s.in_flight_cap[i] = 1.0;
            let line = format!("instance {} aside: {why}", s.id[i]);
            out.extend((s.aside_times[i] == 1 && self.logs).then_some(Action::Log(line)));
        }
    }

    /// What others saw of an instance: a share of errors over so many submissions.
    fn seen(&mut self, i: usize, count: f64, errors: f64, now: Millis, out: &mut Out) {
        let s = &mut self.servers;
        let keep = (1.0 - NEWEST).powf(count);
        s.errors[i] = keep * s.errors[i] + (1.0 - keep) * errors;
        s.last_answer[i] = if errors < 1.0 { now } else { s.last_answer[i] };
        if s.errors[i] > SICK_ERRORS {
            self.leave_aside(i, "errors seen by others", now, out);
        } else {
            s.aside_times[i] *= u32::from(errors > SICK_ERRORS);
        }
    }

    /// What one ending tells of the instance; `queue`: its time against what is wanted.
    fn learn(&mut self, i: usize, ending: AttemptOutcome, queue: f64, now: Millis, out: &mut Out) {
        let s = &mut self.servers;
        let (error, settled) = (ending == AttemptOutcome::Error, ending == AttemptOutcome::Success);
        if error || settled {
            (s.last_answer[i], s.silent[i]) = (now, 0);
            s.errors[i] += NEWEST * (f64::from(u8::from(error)) - s.errors[i]);
        }
        // A single connection may be lost or refused where the server is well.
        let cut = matches!(
            ending,
            AttemptOutcome::Timeout | AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost
        );
        s.silent[i] += u32::from(cut);
        let mute = s.silent[i] >= SILENT;
        match ending {
            AttemptOutcome::Timeout if mute => self.leave_aside(i, "silent", now, out),
            // Answers in good time open the instance further, late ones and refusals close it.
            AttemptOutcome::Success | AttemptOutcome::Rejected | AttemptOutcome::Timeout => {
                let step = CAP_GAIN * (1.0 - if settled { queue.min(HEAVY) } else { HEAVY });
                s.aside_times[i] *= u32::from(!settled);
                let most = 2.0 * f64::from(s.in_flight[i] + 1).max(s.in_flight_cap[i] / 2.0);
                s.in_flight_cap[i] = (s.in_flight_cap[i] + step).clamp(1.0, most);
            }
            AttemptOutcome::ConnectFailed if mute => self.leave_aside(i, "no connection", now, out),
            AttemptOutcome::ConnectionLost if mute => self.leave_aside(i, "connection lost", now, out),
            AttemptOutcome::Error if s.errors[i] > SICK_ERRORS => self.leave_aside(i, "errors", now, out),
            _ => {}
        }
    }
}

/// How long a referenced txn that may have run is still dropped as a repeat, from its first submission on.
fn repeat_within(txn: &Txn, product: &RequestClass, now: Millis) -> Option<Millis> {
    let first = txn.may_have_run().map(|sub| sub.sent).min_by(f64::total_cmp);
    first
        .filter(|_| product.idempotency == Idempotency::IdempotencyKey)
        .map(|at| at + product.dedup_window - MARGIN - now)
}

pub struct Policy {
    zone: String,
    products: Vec<RequestClass>,
    permits: Permissions,
    costs: CostConfig,
    rng: Pcg64Mcg,
    fleet: Fleet,
    exposure: Exposure,
    judge: Judge,
    desk: Desk,
}

impl Policy {
    pub fn new(config: PolicyConfig) -> Self {
        let PolicyConfig { seed, identity, classes, permissions, discovery, .. } = config;
        let PolicyConfig { slow_start, exposure, voting, costs, .. } = config;
        let (count, gateways) = (classes.len(), f64::from(identity.gateway_count.max(1)));
        let delta = DELTA / (gateways / f64::from(voting.rollback_quorum.max(1))).max(1.0);
        let quorum = voting.promote_quorum.max(voting.pause_quorum).max(voting.rollback_quorum).max(1);
        let voters = VOTERS * f64::from(quorum) / gateways;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let spread = ASK_SPREAD * discovery.max_poll_interval;
        let ask_at = discovery.must_subscribe.then(|| rng.random_range(0.0..=spread));
        let logs = f64::from(identity.index) < VOTERS;
        Policy {
            fleet: Fleet { terms: discovery, cold: slow_start, logs, ask_at, ..Fleet::default() },
            exposure: Exposure::new(exposure, count),
            judge: Judge::new(voting, delta, voters, count),
            desk: Desk::new(
                classes.iter().map(|class| class.latency_objective / 4.0).collect(),
                RESEND_SAVED,
            ),
            zone: identity.zone,
            products: classes,
            permits: permissions,
            costs,
            rng,
        }
    }

    /// The one entry: what happened since, in order, and what is to be done about it.
    pub fn handle_events(&mut self, now: Millis, news: Vec<Event>) -> Vec<Action> {
        // A gateway that stood still learns nothing from the times of what it had out.
        self.desk.stalled = if now > self.desk.wake_at + STALL { now } else { self.desk.stalled };
        for event in news {
            self.hear(event, now);
        }
        if self.desk.look_at <= now + ROUNDING {
            self.look_round(now);
        }
        self.serve_waiting(now);
        let rest =
            if self.judge.trial.is_some() || self.judge.released.is_some() { JUDGE_EVERY } else { IDLE };
        let next = now + if self.desk.txns.is_empty() { rest } else { TICK };
        let desk = &mut self.desk;
        desk.look_at = desk.look_at.min(next).min(self.fleet.ask_at.map_or(next, |at| at.max(now + TICK)));
        if desk.look_at < desk.wake_at || desk.wake_at <= now + ROUNDING {
            desk.wake_at = desk.look_at;
            desk.out.push(Action::SetTimer { after: desk.look_at - now, token: "look".to_string() });
        }
        std::mem::take(&mut desk.out)
    }

    /// How far the decisions stand, for a front that hands them on instead of asking for each txn.
    pub fn snapshot(&mut self, now: Millis) -> PolicySnapshot {
        let (trial, earlier) = self.sides(false);
        let (fleet, s) = (&self.fleet, &self.fleet.servers);
        let well = |i: &usize| s.aside_until[*i] <= now;
        let capacity = |i: usize| s.weight[i] * fleet.warmth(i, now);
        let sum = |side: &[usize]| side.iter().copied().filter(well).map(capacity).sum::<f64>();
        let (new, old) = (sum(&trial), sum(&earlier));
        let phase = self.exposure.news.as_ref().map_or(RolloutPhase::Canary, |news| news.phase);
        let newest = self.exposure.news.as_ref().map(|news| news.version);
        let condemned = self.judge.condemned.is_some() && self.judge.condemned == newest;
        // Over all traffic parity in flight at each instance comes to the share of capacity.
        let share = match (earlier.is_empty(), phase) {
            (true, _) => f64::from(u8::from(!trial.is_empty())),
            (false, RolloutPhase::RollingBack | RolloutPhase::RolledBack) => 0.0,
            (false, RolloutPhase::Canary) if condemned => 0.0,
            (false, _) if self.judge.rehearsed.is_some() && new > 0.0 => REHEARSED,
            _ => new / (new + old).max(f64::MIN_POSITIVE),
        };
        let mut trials: Vec<Canary> = Vec::new();
        for build in trial.iter().map(|i| s.build[*i]).collect::<std::collections::BTreeSet<_>>() {
            let on = self.exposure.on_trial(build, fleet.lowest);
            trials.extend(on.map(|(cap, stage)| Canary { version: build, traffic_cap: cap, stage }));
        }
        let instances = (0..s.id.len()).filter(|i| !s.gone[*i]).map(|i| EndpointSnapshot {
            endpoint: s.id[i].clone(),
            version: s.build[i],
            zone: s.zone[i].clone(),
            is_ready: s.ready[i],
            is_ejected: !well(&i),
            capacity: capacity(i),
            is_warming_up: fleet.warmth(i, now) < 1.0,
        });
        let instances = instances.collect();
        let shed = self.shed_share(&None, now).clamp(0.0, 1.0);
        PolicySnapshot {
            canaries: trials,
            canary_share: share,
            is_canary_rejected: condemned,
            shed_probability: shed,
            endpoints: instances,
        }
    }

    fn hear(&mut self, event: Event, now: Millis) {
        match event {
            Event::EndpointUpdate { kind, entries, .. } => {
                self.fleet.hear(&mut self.rng, kind, &entries, now)
            }
            Event::RequestReceived(IncomingRequest {
                id,
                class: product,
                tenant,
                sticky_key: key,
                time_remaining: left,
                queued_for: waited,
                expected_work: work,
                is_retry: repeat,
                ..
            }) => {
                let known = self.products.iter().position(|known| known.name == product);
                let Some(product) = known else { return self.desk.out.push(Action::Fail { id }) };
                (!repeat).then(|| self.fleet.arrivals.note(now, 2.0 * RATE_SPAN));
                self.exposure.note_arrival(product, now - waited, 2.0 * self.exposure.terms.window);
                self.desk.resends = (self.desk.resends + RESEND_SHARE).min(RESEND_SAVED);
                // Less time than a first try gets: a repeat, whose SLA time began with the first.
                let (known, longest) = (&self.products[product], &mut self.desk.longest[product]);
                *longest = longest.max(left);
                let sla = known.objective_for(work);
                let late = repeat && left < *longest - MARGIN && left >= sla;
                let sla = if late { (sla - (known.timeout - left)).max(0.0) } else { sla };
                let times = if repeat { REPEATS_SHED } else { 1.0 };
                let shed = self.rng.random::<f64>() < times * self.shed_share(&tenant, now);
                self.desk.txns.insert(id, Txn::new(product, tenant, key, work, now, left, sla));
                if shed { self.answer(id, now) } else { self.desk.waiting.push(id) }
            }
            Event::ResponseStarted { id, .. } => {
                self.desk.txns.entry(id).and_modify(|txn| txn.streaming = true);
            }
            Event::AttemptCompleted(CompletedAttempt {
                id,
                attempt: submission,
                outcome: ending,
                is_final: closed,
                elapsed: took,
                ..
            }) => {
                self.ended(id, submission as usize, ending, closed, took, now);
            }
            Event::Abandon { id } => self.answer(id, now),
            Event::ClientDisconnected { id } => self.close(id, 0.0, now),
            Event::RolloutUpdate(news) | Event::VoteCompleted(VoteOutcome::Counted(news)) => {
                self.exposure.hear(news)
            }
            Event::VoteCompleted(VoteOutcome::NotCounted) => self.judge.stands = false,
            Event::VoteCompleted(VoteOutcome::Unknown) | Event::RolloutUnavailable => {}
            Event::WrongAnswerReported { endpoint: instance, .. } => {
                let (Some(i), s) = (self.fleet.index.get(&instance), &mut self.fleet.servers) else { return };
                s.arms[SCORE][*i].zero_one();
                s.arms[RIGHT][*i].zero_one();
                let build = s.build[*i];
                self.judge.note_flag(Some(build));
                // One flag tells a gateway little, those of hundreds tell of the build: four bytes each.
                if self.permits.peer_messages {
                    self.desk
                        .out
                        .push(Action::SendPeerMessage { to: None, data: build.0.to_be_bytes().to_vec() });
                }
            }
            Event::PeerMessage { data, .. } => self.judge.note_flag(build_told(&data)),
            Event::OutcomesReported(OutcomeReport {
                version: build,
                class: product,
                attempts: count,
                failures: failed,
                mean_latency: took,
                ..
            }) => {
                let known = self.products.iter().position(|known| known.name == product);
                let side = usize::from(self.judge.watched == Some(build));
                let tally =
                    known.filter(|_| failed <= count).map(|product| &mut self.judge.tallies[product][side]);
                tally
                    .into_iter()
                    .for_each(|tally| tally.add(count as f64, failed as f64, took.unwrap_or(1.0)));
            }
            Event::EndpointOutcomesReported(EndpointOutcomes {
                endpoint: instance,
                class: product,
                attempts: count,
                failures: failed,
                mean_latency: took,
            }) => {
                let known = self.products.iter().find(|known| known.name == product);
                let (Some(i), Some(known)) = (self.fleet.index.get(&instance), known) else { return };
                if count == 0 || failed > count {
                    return;
                }
                let (count, part) = (count as f64, failed as f64 / count as f64);
                self.fleet.seen(*i, count, part, now, &mut self.desk.out);
                let left = took.map_or(0.0, |took| 1.0 - took / known.latency_objective);
                let good = (1.0 - part) * (left / GOOD_LEFT).clamp(0.0, 1.0);
                self.desk.all_service.note(now, SHED_HALF, count, good);
            }
            Event::TimerFired { .. } | Event::HealthCheckCompleted { .. } => {}
        }
    }

    fn ended(
        &mut self, id: RequestId, n: usize, ending: AttemptOutcome, closed: bool, took: Millis, now: Millis,
    ) {
        let Some(txn) = self.desk.txns.get_mut(&id) else { return };
        let Some(sub) = txn.submissions.get_mut(n).filter(|sub| sub.ending.is_none()) else { return };
        sub.ending = Some(ending);
        let (sub, txn) = (sub.clone(), &*txn);
        let servers = &mut self.fleet.servers;
        let same = servers.life[sub.server] == sub.life;
        servers.in_flight[sub.server] = servers.in_flight[sub.server].saturating_sub(u32::from(same));
        // Where connections are refused all over, those that idle here take the places of others.
        self.desk.refused +=
            NEWEST * (f64::from(u8::from(ending == AttemptOutcome::ConnectFailed)) - self.desk.refused);
        if self.desk.refused > REFUSED && servers.in_flight[sub.server] == 0 {
            self.desk.out.push(Action::CloseIdleConnections { endpoint: servers.id[sub.server].clone() });
        }
        if same && sub.sent >= self.desk.stalled {
            let sla = self.products[txn.product].objective_for(txn.work);
            self.judge.learn(servers, &sub, txn, ending, took, sla);
            let wanted = (QUEUE_SHARE * sla).max(2.0 * txn.work.unwrap_or(0.0));
            self.fleet.learn(sub.server, ending, took * sub.warmth / wanted, now, &mut self.desk.out);
        }
        if ending == AttemptOutcome::Success {
            let typical = &mut self.desk.typical[txn.product];
            *typical += NEWEST * (took - *typical);
            self.exposure.note_answer(&txn.key, sub.build, self.fleet.lowest);
        }
        if closed {
            // Half the SLA time is good service; what barely makes it tells of queues that leave no room.
            let left = (txn.in_time - now) / (txn.in_time - txn.came).max(1.0);
            let good =
                if ending == AttemptOutcome::Success { (left / GOOD_LEFT).clamp(0.0, 1.0) } else { 0.0 };
            self.close(id, good, now);
        } else if !txn.answered && txn.outstanding() == 0 && !txn.streaming {
            if now >= txn.in_time - MARGIN || !self.may_resend(id) {
                self.answer(id, now);
            } else if !self.desk.waiting.contains(&id) {
                self.desk.waiting.push(id);
            }
        }
        self.desk.forget(id);
    }

    /// The share of a tenant's txns to decline at once: its few weighed with those of all tenants here.
    fn shed_share(&mut self, tenant: &Option<String>, now: Millis) -> f64 {
        let mut good = 1.0;
        for service in self.desk.services(tenant) {
            service.fade(now, SHED_HALF);
            good = (service.good + SHED_DOUBT * good) / (service.came + SHED_DOUBT);
        }
        1.0 - good / SHED_BELOW
    }

    fn may_resend(&self, id: RequestId) -> bool {
        let txn = &self.desk.txns[&id];
        let once = self.products[txn.product].idempotency == Idempotency::NonIdempotent;
        txn.submissions.len() < self.permits.max_attempts && !(once && txn.may_have_run().next().is_some())
    }

    /// The gate of all submissions: every rule that a send could break.
    fn admits(&self, txn: &Txn, i: usize, now: Millis) -> bool {
        let (s, product) = (&self.fleet.servers, &self.products[txn.product]);
        let dropped = |sub: &Submission| match product.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => sub.zone == s.zone[i],
            DedupScope::Cell => sub.cell == s.cell[i] && sub.zone == s.zone[i],
        };
        let repeatable = |sub: &Submission| match product.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey => dropped(sub),
        };
        !txn.answered
            && !txn.streaming
            && now < txn.expires
            && txn.submissions.len() < self.permits.max_attempts
            && (txn.outstanding() == 0 || self.permits.hedging)
            && txn.may_have_run().all(repeatable)
            && repeat_within(txn, product, now).is_none_or(|left| left > 0.0)
            && s.ready[i]
            && (s.cold_part[i] >= 1.0 || self.fleet.warmth(i, now) >= 1.0)
            && self.exposure.admits(txn, product.idempotency, s.build[i], self.fleet.lowest, now)
    }

    fn submit(&mut self, id: RequestId, i: usize, now: Millis) -> bool {
        let txn = &self.desk.txns[&id];
        if !self.admits(txn, i, now) {
            return false;
        }
        let warmth = self.fleet.warmth(i, now);
        let s = &mut self.fleet.servers;
        let sub = s.submission(i, warmth, now);
        s.in_flight[i] += 1;
        s.cold_part[i] -= if warmth < 1.0 { 1.0 } else { 0.0 };
        // What is late helps nobody: a limit lets servers drop it unbegun.
        let limit = Some((txn.in_time - now).max(MARGIN));
        let write_within = repeat_within(txn, &self.products[txn.product], now);
        self.desk.out.push(Action::SendAttempt {
            id,
            endpoint: s.id[i].clone(),
            timeout: limit,
            write_within,
        });
        self.exposure.note_send(sub.build, txn.product, now, 2.0 * self.exposure.terms.window);
        self.desk.txns.entry(id).and_modify(|txn| txn.submissions.push(sub));
        true
    }

    /// The gate of all final answers: declined where trying again is harmless, voided otherwise.
    fn answer(&mut self, id: RequestId, now: Millis) {
        let Some(txn) = self.desk.txns.get(&id).filter(|txn| !txn.answered) else { return };
        let product = &self.products[txn.product];
        let harmless = match product.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey if product.dedup_scope == DedupScope::All => true,
            _ => txn.may_have_run().next().is_none(),
        };
        let come_back = self.permits.max_retry_after.map(|most| product.latency_objective.min(most));
        self.desk.out.push(if harmless {
            Action::Reject { id, retry_after: come_back }
        } else {
            Action::Fail { id }
        });
        self.close(id, 0.0, now);
    }

    /// Nothing more is sent for this txn; what is still out is called back.
    fn close(&mut self, id: RequestId, good: f64, now: Millis) {
        let Some(txn) = self.desk.txns.get_mut(&id) else { return };
        let (tenant, count) = (txn.tenant.clone(), txn.submissions.len());
        if !std::mem::replace(&mut txn.answered, true) && txn.came >= self.desk.stalled && count > 0 {
            for service in self.desk.services(&tenant) {
                service.note(now, SHED_HALF, 1.0, good);
            }
        }
        (0..count).for_each(|n| self.recall(id, n));
        self.desk.forget(id);
    }

    fn recall(&mut self, id: RequestId, n: usize) {
        let Some(sub) = self.desk.submission(id, n) else { return };
        if self.permits.cancel && sub.ending.is_none() && !std::mem::replace(&mut sub.recalled, true) {
            self.desk.out.push(Action::CancelAttempt { id, attempt: n as u32 });
        }
    }

    fn sides(&self, subset: bool) -> (Vec<usize>, Vec<usize>) {
        let (lowest, s) = (self.fleet.lowest, &self.fleet.servers);
        let mine = |i: &usize| !subset || s.spread[*i] < self.fleet.part;
        self.fleet.ready().filter(mine).partition(|i| self.exposure.on_trial(s.build[*i], lowest).is_some())
    }

    /// Two random choices on in-flight, per unit of capacity, among those that are open to the txn.
    fn pick(&mut self, id: RequestId, side: &[usize], now: Millis) -> Option<usize> {
        let (txn, s) = (&self.desk.txns[&id], &self.fleet.servers);
        // Better to wait for one that is well than to use up a txn's submissions on those left aside.
        let well = |i: &usize| s.aside_until[*i] <= now;
        let none = !self.fleet.ready().any(|i| well(&i));
        let fits = |i: &usize| f64::from(s.in_flight[*i]) < s.in_flight_cap[*i] && (well(i) || none);
        let mut open: Vec<usize> = side.iter().copied().filter(fits).collect();
        open.retain(|i| self.admits(txn, *i, now));
        let untried = |i: &usize| txn.submissions.iter().all(|sub| sub.server != *i);
        let fresh: Vec<usize> = open.iter().copied().filter(untried).collect();
        let open = if fresh.is_empty() { open } else { fresh };
        let load = |i: usize| {
            let away = self.costs.cross_zone > 0.0 && s.zone[i] != self.zone;
            let bias = if away { CROSS_BIAS } else { 0.0 };
            // With hardly anything in flight of its own, a gateway's own answer times tell of load.
            let slow = (s.slow[i] * 0.5f64.powf((now - s.slow_at[i]) / SLOW_HALF)).exp();
            (f64::from(s.in_flight[i]) + bias + 1.0) * slow / (s.weight[i] * self.fleet.warmth(i, now))
        };
        let (first, second) = (*open.choose(&mut self.rng)?, *open.choose(&mut self.rng)?);
        Some(if load(second) < load(first) { second } else { first })
    }

    /// The top-two coin between the earlier and the trial build, then an instance.
    fn place(&mut self, id: RequestId, (trial, earlier): &(Vec<usize>, Vec<usize>), now: Millis) -> bool {
        let s = &self.fleet.servers;
        let per_server = |side: &[usize]| s.mean_in_flight(side);
        let share = trial.len() as f64 / (trial.len() + earlier.len()).max(1) as f64;
        let going = self.exposure.news.as_ref().is_none_or(|news| news.phase != RolloutPhase::RollingBack);
        let coin = self.rng.random::<f64>();
        let rehearses = self.judge.rehearsed.is_some() && coin < REHEARSED;
        // Parity of less than a txn in flight at each instance tells little: the coin turns to the share.
        let fair = share + (0.5 - share).max(0.0) * per_server(earlier).min(1.0);
        let picked = coin < fair && per_server(trial) <= per_server(earlier);
        let trial_first = earlier.is_empty() || (going && (rehearses || picked));
        // The part of a cold instance is small, by chance and soon used: it goes before the coin.
        let cold = earlier.iter().chain(trial.iter().filter(|_| going)).copied();
        let cold = cold.filter(|i| self.fleet.warmth(*i, now) < 1.0).collect();
        let order = if trial_first { [&cold, trial, earlier] } else { [&cold, earlier, trial] };
        order.into_iter().find_map(|side| self.pick(id, side, now)).is_some_and(|i| self.submit(id, i, now))
    }

    /// Sends what waits, newest first: in order all would be late. Gives up at once what can't be in time.
    fn serve_waiting(&mut self, now: Millis) {
        if self.desk.waiting.is_empty() {
            return;
        }
        self.fleet.fill_cold_parts(now);
        let sides = [self.sides(true), self.sides(false)];
        let mut waiting = std::mem::take(&mut self.desk.waiting);
        waiting.retain(|id| self.desk.txns.get(id).is_some_and(|txn| !txn.answered));
        let rank = |id: &RequestId| {
            (self.products[self.desk.txns[id].product].priority_weight, self.desk.txns[id].came)
        };
        waiting.sort_by(|a, b| rank(b).partial_cmp(&rank(a)).unwrap_or(a.cmp(b)).then(a.cmp(b)));
        for id in waiting {
            let txn = &self.desk.txns[&id];
            let hopeless = now + self.desk.typical[txn.product].max(txn.work.unwrap_or(0.0)) > txn.in_time;
            match now < txn.in_time - MARGIN && sides.iter().any(|sides| self.place(id, sides, now)) {
                true => {}
                false if hopeless => self.answer(id, now),
                false => self.desk.waiting.push(id),
            }
        }
    }

    /// Every tick: the list, silent instances, txns near their expiry, and the judge.
    fn look_round(&mut self, now: Millis) {
        self.desk.look_at = f64::INFINITY;
        if self.fleet.ask_at.is_some_and(|at| at <= now + ROUNDING) {
            self.fleet.ask_at = Some(now + ASK_LOST);
            self.desk.out.push(Action::WatchEndpoints { enabled: true });
        }
        let (mut stuck, mut over) = (Vec::new(), Vec::new());
        let s = &self.fleet.servers;
        for (id, txn) in self.desk.txns.iter().filter(|(_, txn)| !txn.streaming) {
            let (usual, sla) = (self.desk.typical[txn.product], self.products[txn.product].latency_objective);
            let patience = (PATIENCE * sla).max(HEAVY * usual.max(txn.work.unwrap_or(0.0))).min(sla);
            let waits = |sub: &Submission| sub.ending.is_none() && now - sub.sent >= patience;
            for (n, sub) in txn.submissions.iter().enumerate().filter(|(_, sub)| waits(sub)) {
                let silent = s.life[sub.server] != sub.life || s.last_answer[sub.server] < sub.sent;
                if silent && !txn.answered && txn.outstanding() == 1 && now < txn.in_time {
                    stuck.push((*id, n));
                }
            }
            if !txn.answered && now >= txn.expires {
                over.push(*id);
            }
        }
        over.into_iter().for_each(|id| self.answer(id, now));
        stuck.into_iter().for_each(|(id, n)| self.send_elsewhere(id, n, now));
        let due = now - self.judge.judged >= JUDGE_EVERY - ROUNDING;
        if let Some(news) = self.exposure.news.as_ref().filter(|_| due) {
            let (trial, earlier) = self.sides(false);
            let warmths: Vec<f64> = trial.iter().map(|i| self.fleet.warmth(*i, now)).collect();
            let mean = warmths.iter().sum::<f64>() / warmths.len().max(1) as f64;
            let warmth = [warmths.into_iter().fold(1.0, f64::min), mean];
            let load = self.fleet.load_since(now - RATE_SPAN);
            let sight = Sight { warmth, trial, earlier, load, now };
            self.judge.judge(&mut self.rng, &mut self.fleet.servers, sight, news, &mut self.desk.out);
        }
    }

    /// A txn stuck at a silent instance: a second copy where permitted, else recalled to be sent again.
    fn send_elsewhere(&mut self, id: RequestId, n: usize, now: Millis) {
        // In an overload a second copy only takes another's place.
        let overloaded = self.shed_share(&None, now) > 0.0;
        if overloaded || self.desk.resends < 1.0 || !self.may_resend(id) {
            return;
        }
        if !self.permits.hedging {
            let counts = self.permits.cancel && !self.desk.txns[&id].submissions[n].recalled;
            self.recall(id, n);
            self.desk.resends -= f64::from(u8::from(counts));
        } else if self.place(id, &self.sides(false), now) {
            self.desk.resends -= 1.0;
        }
    }
}
