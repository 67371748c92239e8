//! All decisions of a gateway: where each txn goes, what is given up, how builds are voted on.
//!
//! Callers build one [`Choice`] from the records of [`crate::api`], then hand every batch of events with its
//! clock to [`Choice::decide`] and carry out the actions in order. Nothing else steers it; chance comes from
//! the seed. The ordinary path is FIESTA's top-two rule, see docs/design.md for what was added and why.

use crate::api::*;
use crate::state::{Arm, Servers, Submission, Txn};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, StudentT};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// ms between looks at held and silent txns: a few of the finest batches.
const TICK: Ms = 10.0;
/// ms between two judgements (design page).
const JUDGE_EVERY: Ms = 250.0;
/// Draws per build for π (design page).
const DRAWS: u32 = 200;
/// Outcomes per build before π means anything (design page).
const LEAST_OUTCOMES: f64 = 10.0;
/// Least summed squared deviation per outcome (design page).
const SQUARES_FLOOR: f64 = 0.01;
/// Chance of a wrong way back (design page), shared among all gateways whose single vote suffices.
const DELTA: f64 = 0.05;
/// π of the earlier build above which nothing goes on (design page).
const DOUBT: f64 = 0.8;
/// ms that π must stay above 1 - δ (design page).
const SURE_FOR: Ms = 1000.0;
/// ms the same where one machine alone carries the trial: long enough for a passing trouble of its own.
const SOLO_SURE_FOR: Ms = 4000.0;
/// ms after the newest trial start before going on (design page).
const SETTLE: Ms = 3000.0;
/// ms after the newest trial start when too few outcomes no longer keep a trial waiting.
const FEW_PATIENCE: Ms = 6000.0;
/// ms in which the weight of an outcome halves: long enough for hundreds of them, short enough for late harm.
const FADE_HALF: Ms = 8000.0;
/// Log of the slowdown that is no matter of taste: good builds differ by less.
const PACE_MARGIN: f64 = 0.26;
/// Weight of the newest value in running means.
const NEWEST: f64 = 0.1;
/// In-flight caps per instance: fresh, known from the start, and the most.
const FRESH_CAP: f64 = 2.0;
const KNOWN_CAP: f64 = 8.0;
const MOST_CAP: f64 = 64.0;
/// Factor on the cap when answers come late or are turned away.
const CAP_CUT: f64 = 0.7;
/// Share of the SLA time after which an answer shows a queue, unless the txn itself was that heavy.
const LATE_SHARE: f64 = 0.7;
/// Share of the SLA time that a silent instance gets before a txn is sent elsewhere.
const PATIENCE: f64 = 0.5;
/// Share of errors at which an instance is left aside, and of the others of its build below which it is alone.
const SICK_ERRORS: f64 = 0.6;
const WELL_ERRORS: f64 = 0.25;
/// ms that an instance is left aside at first, and at most.
const ASIDE: Ms = 500.0;
const ASIDE_MOST: Ms = 4000.0;
/// Further submissions per txn taken, and how many may be saved up: more would feed an overload.
const RESEND_SHARE: f64 = 0.15;
const RESEND_SAVED: f64 = 10.0;
/// ms kept from the end of a span that a rule sets, for the way there.
const MARGIN: Ms = 20.0;
/// Submissions that a cold instance may get at once beyond its part.
const COLD_BURST: f64 = 1.0;
/// ms over which this gateway's own rate is taken.
const RATE_SPAN: Ms = 2000.0;
/// A rate this much above the usual is no measure of what a cold instance can take.
const RATE_SURGE: f64 = 1.5;
/// Share of warm instances from which the rate counts as usual.
const MOSTLY_WARM: f64 = 0.8;
/// In-flight that an instance across zones counts extra, where crossing costs.
const CROSS_BIAS: f64 = 0.7;
/// ms before a failed call for the list is repeated, and before an unanswered one is.
const ASK_AGAIN: Ms = 500.0;
const ASK_LOST: Ms = 4000.0;
/// ms before a vote that did not count is repeated.
const VOTE_AGAIN: Ms = 500.0;

/// The rule on exposure: what each build on trial got, against what came in.
struct Exposure {
    terms: ExposureTerms,
    news: Option<StageNews>,
    arrivals: Vec<VecDeque<Ms>>,
    sends: BTreeMap<(Build, usize), VecDeque<Ms>>,
    bound: BTreeMap<String, Build>,
}

impl Exposure {
    fn lane(&self, product: usize) -> usize {
        if self.terms.by_product { product } else { 0 }
    }

    /// Cap and stage of a build on trial; none for builds that are not.
    fn on_trial(&self, build: Build, lowest: Build) -> Option<(f64, u32)> {
        match &self.news {
            // Without news the newest builds are taken as unannounced: the first stage's cap.
            None => (build > lowest).then_some((self.terms.caps[0], 0)),
            Some(news) if build > news.build => Some((self.terms.caps[0], 0)),
            Some(news) if build == news.build && news.phase == Phase::OnTrial => Some((news.cap, news.stage)),
            Some(news) if build == news.build && news.phase != Phase::Released => {
                Some((news.cap, news.stage))
            }
            Some(_) => None,
        }
    }

    fn admits(&self, txn: &Txn, effect: Effect, build: Build, lowest: Build, now: Ms) -> bool {
        if let Some(bound) = txn.key.as_ref().and_then(|key| self.bound.get(key)) {
            if build < *bound {
                return false;
            }
        }
        let Some((cap, stage)) = self.on_trial(build, lowest) else { return true };
        if cap <= 0.0 || (stage < self.terms.closed_stages && effect != Effect::InquiryLike) {
            return false;
        }
        let lane = self.lane(txn.product);
        let since = now - self.terms.window;
        let sent = self.sends.get(&(build, lane)).map_or(0, |sends| count_since(sends, since - MARGIN));
        let came = count_since(&self.arrivals[lane], since + MARGIN);
        (sent + 1) as f64 <= self.terms.free + cap * came as f64
    }

    fn note_send(&mut self, product: usize, build: Build, now: Ms) {
        let lane = self.lane(product);
        let sends = self.sends.entry((build, lane)).or_default();
        forget_before(sends, now - 2.0 * self.terms.window);
        sends.push_back(now);
    }

    fn note_arrival(&mut self, product: usize, now: Ms) {
        let lane = self.lane(product);
        forget_before(&mut self.arrivals[lane], now - 2.0 * self.terms.window);
        self.arrivals[lane].push_back(now);
    }

    /// A key that the new build has answered goes to no earlier one while the new one stands.
    fn note_answer(&mut self, key: &Option<String>, build: Build) {
        let stands = |news: &StageNews| matches!(news.phase, Phase::OnTrial | Phase::Released);
        let news = self.news.as_ref();
        let binds = news.is_none_or(|news| build > news.build || (build == news.build && stands(news)));
        if let Some(key) = key.as_ref().filter(|_| self.terms.no_return && binds) {
            let bound = self.bound.entry(key.clone()).or_insert(build);
            *bound = build.max(*bound);
        }
    }

    fn hear(&mut self, news: &StageNews) {
        if matches!(news.phase, Phase::GoingBack | Phase::Withdrawn) {
            self.bound.retain(|_, build| *build != news.build);
        }
        self.news = Some(news.clone());
    }
}

fn count_since(times: &VecDeque<Ms>, since: Ms) -> usize {
    times.len() - times.partition_point(|time| *time <= since)
}

fn forget_before(times: &mut VecDeque<Ms>, since: Ms) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}

/// What π says of a build on trial.
#[derive(Clone, Copy, Default)]
struct Doubt {
    /// The larger π of the earlier build, by scores or by pace.
    pi: f64,
    /// Enough outcomes on both sides.
    enough: bool,
    outcomes: f64,
}

/// Judges builds and votes.
struct Judge {
    terms: VoteTerms,
    delta: f64,
    judged: Ms,
    doubt: Doubt,
    sure_since: Option<Ms>,
    trial: Option<Build>,
    /// The build that was found bad: that verdict stays.
    condemned: Option<Build>,
    /// Last vote, when it was cast, and whether it is known to stand.
    vote: Option<(Build, u32, Verdict)>,
    voted: Ms,
    stands: bool,
    /// Mean log time per product on earlier builds.
    base: Vec<Arm>,
}

impl Judge {
    /// Takes one outcome into the arms of its instance.
    fn learn(
        &mut self,
        servers: &mut Servers,
        sub: &Submission,
        txn: &Txn,
        ending: Ending,
        took: Ms,
        sla: Ms,
    ) {
        let i = sub.server;
        // A machine that is down, full or silent tells of itself, not of its build.
        let quiet = ending == Ending::NoAnswer && servers.last_answer[i] < sub.sent;
        if quiet || !matches!(ending, Ending::Settled | Ending::Error | Ending::NoAnswer) {
            return;
        }
        // A cold machine is no slow build: its time counts as at the capacity that it had at least.
        let warm_time = took * sub.warmth;
        let in_time = ending == Ending::Settled && warm_time <= sla;
        servers.score[i].add(f64::from(u8::from(in_time)));
        if ending == Ending::Settled {
            let pace = -(warm_time.max(0.1) / txn.work.map_or(1.0, |work| work.max(0.1))).ln();
            let base = &mut self.base[txn.product];
            if self.trial != Some(sub.build) {
                base.add(pace);
                base.fade(0.995);
            }
            servers.pace[i].add(pace - base.mean);
        }
    }

    /// The share of draws in which the earlier build is best, even with a handicap.
    fn pi(rng: &mut Pcg64Mcg, earlier: &Arm, trial: &Arm, handicap: f64) -> f64 {
        let posterior = |arm: &Arm| {
            let squares = arm.squares.max(SQUARES_FLOOR * arm.count);
            let spread = (squares / (arm.count * (arm.count - 2.0))).sqrt();
            StudentT::new(arm.count - 2.0).ok().map(|t| (arm.mean, spread, t))
        };
        let (Some(earlier), Some(trial)) = (posterior(earlier), posterior(trial)) else { return 0.5 };
        let mut wins = 0.0;
        for _ in 0..DRAWS {
            let first = earlier.0 - handicap + earlier.1 * earlier.2.sample(rng);
            let second = trial.0 + trial.1 * trial.2.sample(rng);
            wins += if first > second { 1.0 } else { f64::from(u8::from(first == second)) * 0.5 };
        }
        wins / f64::from(DRAWS)
    }

    /// π by one kind of arm; a single machine far worse than the rest of its build does not count.
    fn doubt_by(
        rng: &mut Pcg64Mcg,
        arms: &[Arm],
        trial: &[usize],
        earlier: &[usize],
        handicap: f64,
    ) -> Doubt {
        let pool = |members: &[usize], left_out: Option<usize>| {
            let mut sum = Arm::default();
            members.iter().filter(|i| Some(**i) != left_out).for_each(|i| sum.merge(&arms[*i]));
            sum
        };
        let (old, new) = (pool(earlier, None), pool(trial, None));
        let enough = |arm: &Arm| arm.count >= LEAST_OUTCOMES;
        if !enough(&old) || !enough(&new) {
            return Doubt { pi: 0.5, enough: false, outcomes: new.count };
        }
        let mut pi = Self::pi(rng, &old, &new, handicap);
        let harm = |i: &usize| arms[*i].count * (new.mean - arms[*i].mean);
        let worst = trial.iter().copied().max_by(|a, b| harm(a).total_cmp(&harm(b)));
        let rest = pool(trial, worst);
        if pi > DOUBT && enough(&rest) {
            pi = pi.min(Self::pi(rng, &old, &rest, handicap));
        }
        Doubt { pi, enough: true, outcomes: new.count }
    }

    /// Judges the build on trial every so often and says what was decided.
    fn judge(
        &mut self,
        rng: &mut Pcg64Mcg,
        servers: &mut Servers,
        trial: &[usize],
        earlier: &[usize],
        news: Option<&StageNews>,
        now: Ms,
        out: &mut Vec<Action>,
    ) {
        if now - self.judged < JUDGE_EVERY {
            return;
        }
        let fade = 0.5f64.powf((now - self.judged).min(FADE_HALF) / FADE_HALF);
        self.judged = now;
        servers.score.iter_mut().chain(servers.pace.iter_mut()).for_each(|arm| arm.fade(fade));
        let build = trial.first().map(|i| servers.build[*i]);
        if build != self.trial {
            // Both arms start together, so that an earlier trouble or calm counts for neither.
            self.trial = build;
            self.sure_since = None;
            servers.score.iter_mut().chain(servers.pace.iter_mut()).for_each(|arm| *arm = Arm::default());
        }
        let Some(news) = news else { return };
        if build == Some(news.build) && matches!(news.phase, Phase::OnTrial) {
            let by_score = Self::doubt_by(rng, &servers.score, trial, earlier, 0.0);
            let by_pace = Self::doubt_by(rng, &servers.pace, trial, earlier, PACE_MARGIN);
            self.doubt = if by_pace.pi > by_score.pi { by_pace } else { by_score };
            self.doubt.enough = by_score.enough;
            let sure = self.doubt.enough && self.doubt.pi > 1.0 - self.delta;
            self.sure_since = if sure { self.sure_since.or(Some(now)) } else { None };
            let sure_for = if trial.len() > 1 { SURE_FOR } else { SOLO_SURE_FOR };
            if self.condemned != build && self.sure_since.is_some_and(|since| now - since >= sure_for) {
                self.condemned = build;
                out.push(Action::Log(format!(
                    "build {} back at stage {}: pi {:.3} by {}, {:.0} outcomes on {} instances",
                    news.build,
                    news.stage,
                    self.doubt.pi,
                    if by_pace.pi > by_score.pi { "pace" } else { "score" },
                    self.doubt.outcomes,
                    trial.len()
                )));
            }
        }
        let newest = trial.iter().map(|i| servers.since[*i]).fold(0.0, f64::max);
        let verdict = self.verdict(news, now - newest, trial.is_empty());
        self.cast(news, verdict, now, out);
    }

    fn verdict(&self, news: &StageNews, since_start: Ms, nobody: bool) -> Verdict {
        if self.condemned == Some(news.build) {
            let over = matches!(news.phase, Phase::GoingBack | Phase::Withdrawn);
            return if over { Verdict::None } else { Verdict::Back };
        }
        if news.phase != Phase::OnTrial || nobody || self.trial != Some(news.build) {
            return Verdict::None;
        }
        if self.terms.mode == VoteMode::Clocked {
            let doubtful = self.doubt.enough && self.doubt.pi > DOUBT;
            return if doubtful { Verdict::Hold } else { Verdict::None };
        }
        let heard = self.doubt.enough || since_start >= FEW_PATIENCE;
        let fit = heard && since_start >= SETTLE && self.doubt.pi <= DOUBT;
        if fit { Verdict::On } else { Verdict::None }
    }

    /// Casts, renews, repeats or takes back the one vote of this gateway.
    fn cast(&mut self, news: &StageNews, verdict: Verdict, now: Ms, out: &mut Vec<Action>) {
        let wanted = (news.build, news.stage, verdict);
        let last = self.vote.filter(|last| last.0 == news.build);
        let due = match last {
            _ if verdict == Verdict::None => last.is_some_and(|(_, stage, was)| {
                was != Verdict::None && stage == news.stage && news.phase == Phase::OnTrial
            }),
            Some(last) if last == wanted => {
                now - self.voted >= if self.stands { self.terms.stands / 2.0 } else { VOTE_AGAIN }
            }
            _ => true,
        };
        if due {
            if last != Some(wanted) {
                let (build, stage, pi, n) = (news.build, news.stage, self.doubt.pi, self.doubt.outcomes);
                out.push(Action::Log(format!(
                    "vote {verdict:?} on build {build} stage {stage}: pi {pi:.3}, {n:.0} outcomes"
                )));
            }
            self.vote = Some(wanted);
            self.voted = now;
            self.stands = true;
            out.push(Action::Vote { build: news.build, stage: news.stage, verdict });
        }
    }
}

/// The list of instances and how each one does.
struct Fleet {
    terms: ListTerms,
    cold: ColdStart,
    servers: Servers,
    index: BTreeMap<String, usize>,
    asked: Option<Ms>,
    ask_at: Option<Ms>,
    /// Txns that came in, and their usual rate per warm instance and ms.
    arrivals: VecDeque<Ms>,
    usual: f64,
}

impl Fleet {
    fn hear(&mut self, kind: ListKind, entries: &[Listing], now: Ms) {
        if kind == ListKind::Failed {
            // It does not say whether the watch stands: ask again soon, or the gateway is deemed told.
            self.asked = None;
            self.ask_at = Some(now + ASK_AGAIN.min(self.terms.ask_within / 2.0));
            return;
        }
        if kind != ListKind::Cached {
            self.asked = None;
        }
        if kind != ListKind::Changes {
            self.servers.ready.iter_mut().for_each(|ready| *ready = false);
        }
        for entry in entries {
            let i = self.known(entry);
            let s = &mut self.servers;
            // An id may return with another build or after a restart: nothing learnt of it counts.
            if s.build[i] != entry.build || entry.since > s.since[i] + 1.0 {
                fresh(s, i, entry.since > 0.0);
            }
            s.build[i] = entry.build;
            s.since[i] = s.since[i].max(entry.since);
            s.weight[i] = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            s.zone[i].clone_from(&entry.zone);
            s.cell[i] = entry.cell;
            s.ready[i] = entry.state == Standing::Ready;
        }
    }

    fn known(&mut self, entry: &Listing) -> usize {
        if let Some(i) = self.index.get(&entry.instance) {
            return *i;
        }
        let s = &mut self.servers;
        let i = s.id.len();
        self.index.insert(entry.instance.clone(), i);
        s.id.push(entry.instance.clone());
        s.zone.push(entry.zone.clone());
        s.cell.push(entry.cell);
        s.build.push(entry.build);
        s.weight.push(1.0);
        s.since.push(entry.since);
        s.ready.push(false);
        s.life.push(0);
        s.in_flight.push(0);
        s.in_flight_cap.push(KNOWN_CAP);
        s.last_answer.push(0.0);
        s.last_cut.push(0.0);
        s.errors.push(0.0);
        s.aside_until.push(0.0);
        s.aside_times.push(0);
        s.score.push(Arm::default());
        s.pace.push(Arm::default());
        s.sends.push(VecDeque::new());
        fresh(s, i, entry.since > 0.0);
        i
    }

    fn ask(&mut self, now: Ms, out: &mut Vec<Action>) {
        let lost = self.asked.is_some_and(|asked| now - asked > ASK_LOST);
        if self.terms.asked && (lost || self.ask_at.is_some_and(|at| at <= now)) {
            self.asked = Some(now);
            self.ask_at = None;
            out.push(Action::Watch { on: true });
        }
    }

    /// The least share of its capacity that an instance has by now.
    fn warmth(&self, i: usize, now: Ms) -> f64 {
        let since = self.servers.since[i];
        let age = if since > 0.0 { (now - since).max(0.0) } else { f64::INFINITY };
        let way = if age >= self.cold.warm_up { 1.0 } else { age / self.cold.warm_up };
        self.cold.from + (1.0 - self.cold.from) * way
    }

    fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.id.len()).filter(|i| self.servers.ready[*i])
    }

    fn lowest_build(&self) -> Build {
        self.ready().map(|i| self.servers.build[i]).min().unwrap_or(0)
    }

    /// This gateway's txns per ms and unit of capacity: uneven traffic scales its part by itself.
    fn rate(&mut self, now: Ms) -> f64 {
        let (mut capacity, mut warm, mut all) = (0.0, 0.0, 0.0);
        for i in self.ready() {
            let warmth = self.warmth(i, now);
            capacity += warmth;
            warm += f64::from(u8::from(warmth >= 1.0));
            all += 1.0;
        }
        forget_before(&mut self.arrivals, now - RATE_SPAN);
        let rate = self.arrivals.len() as f64 / RATE_SPAN / f64::max(capacity, 1.0);
        if warm >= MOSTLY_WARM * all {
            self.usual += NEWEST * (rate - self.usual);
        }
        if self.usual > 0.0 { rate.min(RATE_SURGE * self.usual) } else { rate }
    }

    /// The budget of a cold instance: its part of this gateway's own rate, and hardly any burst.
    fn cold_room(&self, i: usize, rate: f64, now: Ms) -> bool {
        let warmth = self.warmth(i, now);
        let sent = count_since(&self.servers.sends[i], now - self.cold.span);
        warmth >= 1.0 || (sent + 1) as f64 <= COLD_BURST + rate * warmth * self.cold.span
    }

    fn leave_aside(&mut self, i: usize, why: &str, now: Ms, out: &mut Vec<Action>) {
        let s = &mut self.servers;
        if s.aside_until[i] <= now {
            let wait = (ASIDE * f64::from(1u32 << s.aside_times[i].min(8))).min(ASIDE_MOST);
            s.aside_until[i] = now + wait;
            s.aside_times[i] += 1;
            s.in_flight_cap[i] = 1.0;
            if s.aside_times[i] == 1 {
                out.push(Action::Log(format!("instance {} aside: {why}", s.id[i])));
            }
        }
    }

    /// What one ending tells of the instance.
    fn learn(
        &mut self,
        sub: &Submission,
        ending: Ending,
        took: Ms,
        slow: bool,
        now: Ms,
        out: &mut Vec<Action>,
    ) {
        let i = sub.server;
        let error = ending == Ending::Error;
        if error || ending == Ending::Settled {
            let s = &mut self.servers;
            s.last_answer[i] = now;
            s.errors[i] += NEWEST * (f64::from(u8::from(error)) - s.errors[i]);
        }
        match ending {
            Ending::Settled if !slow => {
                let s = &mut self.servers;
                s.aside_times[i] = 0;
                if f64::from(s.in_flight[i]) + 1.0 >= s.in_flight_cap[i] / 2.0 {
                    let cap = s.in_flight_cap[i];
                    let step = if cap < KNOWN_CAP { 1.0 } else { 1.0 / cap };
                    s.in_flight_cap[i] = (cap + step).min(MOST_CAP);
                }
            }
            Ending::Settled | Ending::TurnedAway | Ending::NoAnswer => {
                let s = &mut self.servers;
                if now - s.last_cut[i] > took.max(100.0) {
                    s.last_cut[i] = now;
                    s.in_flight_cap[i] = (s.in_flight_cap[i] * CAP_CUT).max(1.0);
                }
            }
            Ending::NoConnection => self.leave_aside(i, "no connection", now, out),
            Ending::ConnectionLost => self.leave_aside(i, "connection lost", now, out),
            Ending::Error if self.servers.errors[i] > SICK_ERRORS => {
                let s = &self.servers;
                let others = self.ready().filter(|o| *o != i && s.build[*o] == s.build[i]);
                let (sum, count) =
                    others.fold((0.0, 0.0), |(sum, count), o| (sum + s.errors[o], count + 1.0));
                if count == 0.0 || sum / count < WELL_ERRORS {
                    self.leave_aside(i, "errors that its like don't have", now, out);
                }
            }
            _ => {}
        }
    }
}

fn fresh(s: &mut Servers, i: usize, cold: bool) {
    s.life[i] += 1;
    s.in_flight[i] = 0;
    s.in_flight_cap[i] = if cold { FRESH_CAP } else { KNOWN_CAP };
    s.errors[i] = 0.0;
    s.aside_until[i] = 0.0;
    s.aside_times[i] = 0;
    s.score[i] = Arm::default();
    s.pace[i] = Arm::default();
    s.sends[i].clear();
}

/// The decisions of one gateway.
pub struct Choice {
    place: Place,
    products: Vec<Product>,
    tenants: Vec<Tenant>,
    permits: Permits,
    costs: Costs,
    evidence: Evidence,
    rng: Pcg64Mcg,
    fleet: Fleet,
    exposure: Exposure,
    judge: Judge,
    txns: BTreeMap<TxnId, Txn>,
    waiting: Vec<TxnId>,
    /// Usual time of an answer, by product.
    typical: Vec<Ms>,
    resends: f64,
    /// Txns left in each tenant's share, and when that was reckoned.
    shares: Vec<(f64, Ms)>,
    /// This gateway's part of all traffic.
    part: f64,
    tallied: f64,
    rate: f64,
    ticking: bool,
    out: Vec<Action>,
}

impl Choice {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u64,
        place: Place,
        products: Vec<Product>,
        tenants: Vec<Tenant>,
        permits: Permits,
        list: ListTerms,
        cold: ColdStart,
        exposure: ExposureTerms,
        votes: VoteTerms,
        evidence: Evidence,
        costs: Costs,
    ) -> Self {
        let count = products.len();
        // One vote of many that each look often: the chance of a wrong one is shared.
        let peeking = f64::from(place.gateways) / f64::from(votes.to_revert.max(1));
        Choice {
            fleet: Fleet {
                ask_at: list.asked.then_some(0.0),
                terms: list,
                cold,
                servers: Servers::default(),
                index: BTreeMap::new(),
                asked: None,
                arrivals: VecDeque::new(),
                usual: 0.0,
            },
            exposure: Exposure {
                terms: exposure,
                news: None,
                arrivals: vec![VecDeque::new(); count],
                sends: BTreeMap::new(),
                bound: BTreeMap::new(),
            },
            judge: Judge {
                terms: votes,
                delta: DELTA / peeking.max(1.0),
                judged: 0.0,
                doubt: Doubt::default(),
                sure_since: None,
                trial: None,
                condemned: None,
                vote: None,
                voted: 0.0,
                stands: false,
                base: vec![Arm::default(); count],
            },
            typical: products.iter().map(|product| product.sla / 4.0).collect(),
            shares: tenants.iter().map(|tenant| (tenant.quota_per_s, 0.0)).collect(),
            part: 1.0 / f64::from(place.gateways.max(1)),
            rng: Pcg64Mcg::seed_from_u64(seed),
            place,
            products,
            tenants,
            permits,
            costs,
            evidence,
            txns: BTreeMap::new(),
            waiting: Vec::new(),
            resends: RESEND_SAVED,
            tallied: 0.0,
            rate: 0.0,
            ticking: false,
            out: Vec::new(),
        }
    }

    /// The one entry: what happened since, in order, and what is to be done about it.
    pub fn decide(&mut self, now: Ms, news: Vec<Event>) -> Vec<Action> {
        let mut tick = !self.ticking;
        for event in news {
            match event {
                Event::Timer { .. } => tick = true,
                event => self.hear(event, now),
            }
        }
        if tick {
            self.ticking = true;
            self.out.push(Action::Wake { after: TICK, token: "tick".to_string() });
            self.look_round(now);
        }
        self.settle_tallies(now);
        self.serve_waiting(now);
        std::mem::take(&mut self.out)
    }

    fn hear(&mut self, event: Event, now: Ms) {
        match event {
            Event::Fleet { kind, entries, .. } => self.fleet.hear(kind, &entries, now),
            Event::Txn { id, product, tenant, key, left, work, .. } => {
                let Some(product) = self.products.iter().position(|known| known.name == product) else {
                    self.out.push(Action::Void { id });
                    return;
                };
                let tenant = tenant.and_then(|name| self.tenants.iter().position(|known| known.name == name));
                self.fleet.arrivals.push_back(now);
                self.exposure.note_arrival(product, now);
                self.resends = (self.resends + RESEND_SHARE).min(RESEND_SAVED);
                let terms = &self.products[product];
                let sla = terms.sla + terms.sla_stretch * work.unwrap_or(0.0);
                let txn = Txn {
                    product,
                    tenant,
                    key,
                    came: now,
                    expires: now + left,
                    in_time: now + sla.min(left),
                    work,
                    over_share: tenant.is_some_and(|tenant| self.over_share(tenant, now)),
                    submissions: Vec::new(),
                    streaming: false,
                    answered: false,
                };
                self.txns.insert(id, txn);
                self.waiting.push(id);
            }
            Event::Began { id, .. } => {
                if let Some(txn) = self.txns.get_mut(&id) {
                    txn.streaming = true;
                }
            }
            Event::Ended { id, submission, ending, closed, took, .. } => {
                self.ended(id, submission as usize, ending, closed, took, now);
            }
            Event::ClientGone { id } => {
                if let Some(txn) = self.txns.get_mut(&id) {
                    txn.answered = true;
                }
                self.forget(id);
            }
            Event::Stage(news) => self.hear_stage(news),
            Event::Tally { count, .. } => self.tallied += count as f64,
            Event::Flagged { instance, .. } => {
                if let Some(i) = self.fleet.index.get(&instance) {
                    self.fleet.servers.score[*i].zero_one();
                }
            }
            Event::Timer { .. } | Event::Probed { .. } | Event::Peer { .. } => {}
        }
    }

    fn hear_stage(&mut self, news: StageNews) {
        if news.valid {
            self.exposure.hear(&news);
        } else if news.answer && !news.unsure {
            self.judge.stands = false;
        }
    }

    /// Takes one txn out of its tenant's share; true where nothing is left of it.
    fn over_share(&mut self, tenant: usize, now: Ms) -> bool {
        let per_ms = self.tenants[tenant].quota_per_s * self.part / 1000.0;
        let (left, at) = self.shares[tenant];
        let most = (per_ms * RATE_SPAN).max(1.0);
        let left = (left + per_ms * (now - at)).min(most);
        let over = left < 1.0;
        self.shares[tenant] = (if over { left } else { left - 1.0 }, now);
        over
    }

    /// Tallies cover all gateways: set against its own traffic, they show this gateway's part.
    fn settle_tallies(&mut self, now: Ms) {
        if self.tallied > 0.0 && self.evidence.tally > 0.0 && self.evidence.tally_share > 0.0 {
            let all = self.tallied / self.evidence.tally_share / self.evidence.tally;
            let mine = count_since(&self.fleet.arrivals, now - RATE_SPAN) as f64 / RATE_SPAN;
            self.part += 2.0 * NEWEST * ((mine / all).min(1.0) - self.part);
        }
        self.tallied = 0.0;
    }

    fn ended(&mut self, id: TxnId, n: usize, ending: Ending, closed: bool, took: Ms, now: Ms) {
        let Some(txn) = self.txns.get_mut(&id) else { return };
        let Some(sub) = txn.submissions.get_mut(n) else { return };
        if sub.ending.replace(ending).is_some() {
            return;
        }
        let (sub, txn) = (sub.clone(), &*txn);
        let servers = &mut self.fleet.servers;
        let product = &self.products[txn.product];
        if servers.life[sub.server] == sub.life {
            servers.in_flight[sub.server] = servers.in_flight[sub.server].saturating_sub(1);
            let sla = product.sla + product.sla_stretch * txn.work.unwrap_or(0.0);
            self.judge.learn(servers, &sub, txn, ending, took, sla);
            let slow =
                took * sub.warmth > LATE_SHARE * product.sla && txn.work.is_none_or(|work| took > 3.0 * work);
            self.fleet.learn(&sub, ending, took, slow, now, &mut self.out);
        }
        if ending == Ending::Settled {
            let typical = &mut self.typical[txn.product];
            *typical += NEWEST * (took - *typical);
            self.exposure.note_answer(&txn.key, sub.build);
        }
        if closed {
            let others: Vec<usize> = (0..txn.submissions.len()).filter(|k| *k != n).collect();
            self.txns.entry(id).and_modify(|txn| txn.answered = true);
            others.into_iter().for_each(|k| self.recall(id, k));
        } else if !txn.answered && txn.outstanding() == 0 && !txn.streaming {
            if now >= txn.expires - TICK || !self.may_resend(id) {
                self.answer(id);
            } else if !self.waiting.contains(&id) {
                self.waiting.push(id);
            }
        }
        self.forget(id);
    }

    /// Some instance could still get this txn, as far as the rules on repeats go.
    fn may_resend(&self, id: TxnId) -> bool {
        let txn = &self.txns[&id];
        txn.submissions.len() < self.permits.submissions
            && !(self.products[txn.product].effect == Effect::OnceOnly && may_have_run(txn).next().is_some())
    }

    /// The gate of all submissions: every rule that a send could break.
    fn admits(&self, txn: &Txn, i: usize, now: Ms) -> bool {
        let s = &self.fleet.servers;
        let product = &self.products[txn.product];
        let alone = txn.outstanding() == 0 || self.permits.second_copies;
        let repeatable = may_have_run(txn).all(|sub| match product.effect {
            Effect::InquiryLike => true,
            Effect::OnceOnly => false,
            Effect::Referenced => {
                let dropped = match product.group {
                    Group::All => true,
                    Group::Zone => sub.zone == s.zone[i],
                    Group::Cell => sub.cell == s.cell[i] && sub.zone == s.zone[i],
                };
                dropped && now - sub.sent < product.remember - MARGIN
            }
        });
        !txn.answered
            && !txn.streaming
            && now < txn.expires
            && txn.submissions.len() < self.permits.submissions
            && alone
            && repeatable
            && s.ready[i]
            && self.fleet.cold_room(i, self.rate, now)
            && self.exposure.admits(txn, product.effect, s.build[i], self.fleet.lowest_build(), now)
    }

    fn submit(&mut self, id: TxnId, i: usize, now: Ms) -> bool {
        let txn = &self.txns[&id];
        if !self.admits(txn, i, now) {
            return false;
        }
        let warmth = self.fleet.warmth(i, now);
        let s = &mut self.fleet.servers;
        let sub = Submission {
            server: i,
            life: s.life[i],
            build: s.build[i],
            zone: s.zone[i].clone(),
            cell: s.cell[i],
            sent: now,
            warmth,
            ending: None,
            recalled: false,
        };
        s.in_flight[i] += 1;
        if warmth < 1.0 {
            forget_before(&mut s.sends[i], now - 2.0 * self.fleet.cold.span);
            s.sends[i].push_back(now);
        }
        let (build, product) = (sub.build, txn.product);
        self.out.push(Action::Submit { id, instance: s.id[i].clone(), limit: None });
        self.exposure.note_send(product, build, now);
        self.txns.entry(id).and_modify(|txn| txn.submissions.push(sub));
        true
    }

    /// The gate of all final answers: declined where trying again is harmless, voided otherwise.
    fn answer(&mut self, id: TxnId) {
        let Some(txn) = self.txns.get_mut(&id).filter(|txn| !txn.answered) else { return };
        txn.answered = true;
        let product = &self.products[txn.product];
        let harmless = match product.effect {
            Effect::InquiryLike => true,
            Effect::Referenced => product.group == Group::All || may_have_run(txn).next().is_none(),
            Effect::OnceOnly => may_have_run(txn).next().is_none(),
        };
        self.out.push(if harmless {
            Action::Decline { id, come_back: self.permits.come_back.map(|most| product.sla.min(most)) }
        } else {
            Action::Void { id }
        });
        let count = txn.submissions.len();
        (0..count).for_each(|n| self.recall(id, n));
        self.forget(id);
    }

    fn recall(&mut self, id: TxnId, n: usize) {
        let Some(sub) = self.txns.get_mut(&id).and_then(|txn| txn.submissions.get_mut(n)) else { return };
        if self.permits.recall && sub.ending.is_none() && !sub.recalled {
            sub.recalled = true;
            self.out.push(Action::Recall { id, submission: n as u32 });
        }
    }

    fn forget(&mut self, id: TxnId) {
        if self.txns.get(&id).is_some_and(|txn| txn.answered && txn.outstanding() == 0) {
            self.txns.remove(&id);
        }
    }

    /// Ready instances of the build on trial and of the earlier ones; the newest earlier build first.
    fn sides(&self) -> (Vec<usize>, Vec<usize>) {
        let lowest = self.fleet.lowest_build();
        let s = &self.fleet.servers;
        self.fleet.ready().partition(|i| self.exposure.on_trial(s.build[*i], lowest).is_some())
    }

    /// Two random choices on in-flight, per unit of capacity, among those that are open to the txn.
    fn pick(&mut self, id: TxnId, side: &[usize], now: Ms) -> Option<usize> {
        let txn = &self.txns[&id];
        let s = &self.fleet.servers;
        let tried = |i: &usize| txn.submissions.iter().any(|sub| sub.server == *i);
        let fits = |i: &usize| f64::from(s.in_flight[*i]) < s.in_flight_cap[*i] && self.admits(txn, *i, now);
        let mut open: Vec<usize> = side.iter().copied().filter(fits).collect();
        for wish in [&(|i: &usize| s.aside_until[*i] <= now) as &dyn Fn(&usize) -> bool, &|i| !tried(i)] {
            if open.iter().any(wish) {
                open.retain(wish);
            }
        }
        if open.is_empty() {
            return None;
        }
        let load = |i: usize| {
            let away = self.costs.cross_zone > 0.0 && s.zone[i] != self.place.zone;
            let bias = if away { CROSS_BIAS } else { 0.0 };
            (f64::from(s.in_flight[i]) + bias) / (s.weight[i] * self.fleet.warmth(i, now))
        };
        let first = open[self.rng.random_range(0..open.len())];
        let second = open[self.rng.random_range(0..open.len())];
        Some(if load(second) < load(first) { second } else { first })
    }

    /// The top-two coin between the earlier and the trial build, then an instance.
    fn place(&mut self, id: TxnId, sides: &(Vec<usize>, Vec<usize>), now: Ms) -> bool {
        let (trial, earlier) = sides;
        let s = &self.fleet.servers;
        let per_server = |side: &[usize]| {
            side.iter().map(|i| f64::from(s.in_flight[*i])).sum::<f64>() / side.len().max(1) as f64
        };
        let share = trial.len() as f64 / (trial.len() + earlier.len()).max(1) as f64;
        let going = self.exposure.news.as_ref().is_none_or(|news| news.phase != Phase::GoingBack);
        let parity = earlier.is_empty() || per_server(trial) <= per_server(earlier);
        let coin = self.rng.random::<f64>() < share.max(0.5);
        let trial_first = earlier.is_empty() || (going && coin && parity);
        // Released: the newest build of the earlier ones serves, the others are on their way out.
        let newest = earlier.iter().map(|i| s.build[*i]).max().unwrap_or(0);
        let newest: Vec<usize> = earlier.iter().copied().filter(|i| s.build[*i] == newest).collect();
        let order = if trial_first { [trial, &newest, earlier] } else { [&newest, earlier, trial] };
        for side in order {
            if let Some(i) = self.pick(id, side, now) {
                return self.submit(id, i, now);
            }
        }
        false
    }

    /// Sends what waits, the best paid first, and gives up at once what can no longer be in time.
    fn serve_waiting(&mut self, now: Ms) {
        if self.waiting.is_empty() {
            return;
        }
        self.rate = self.fleet.rate(now);
        let sides = self.sides();
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|id| self.txns.get(id).is_some_and(|txn| !txn.answered));
        let value = |id: &TxnId| {
            let txn = &self.txns[id];
            self.products[txn.product].revenue * if txn.over_share { self.costs.over_share } else { 1.0 }
        };
        let came = |id: &TxnId| self.txns[id].came;
        waiting
            .sort_by(|a, b| value(b).total_cmp(&value(a)).then(came(a).total_cmp(&came(b))).then(a.cmp(b)));
        for id in waiting {
            if self.place(id, &sides, now) {
                continue;
            }
            let txn = &self.txns[&id];
            let needs = self.typical[txn.product].max(txn.work.unwrap_or(0.0)) * 0.5;
            if now + needs > txn.in_time || now >= txn.expires - TICK {
                self.answer(id);
            } else {
                self.waiting.push(id);
            }
        }
    }

    /// Every tick: the list, silent instances, txns near their expiry, and the judge.
    fn look_round(&mut self, now: Ms) {
        self.fleet.ask(now, &mut self.out);
        let mut stuck = Vec::new();
        let mut over = Vec::new();
        let mut silent: BTreeMap<usize, u32> = BTreeMap::new();
        for (id, txn) in self.txns.iter().filter(|(_, txn)| !txn.streaming) {
            let sla = self.products[txn.product].sla;
            for (n, sub) in txn.submissions.iter().enumerate().filter(|(_, sub)| sub.ending.is_none()) {
                let s = &self.fleet.servers;
                let same = s.life[sub.server] == sub.life;
                let quiet = !same || s.last_answer[sub.server] < sub.sent;
                if quiet && now - sub.sent > PATIENCE * sla {
                    if same {
                        *silent.entry(sub.server).or_default() += 1;
                    }
                    if !txn.answered && txn.outstanding() == 1 {
                        stuck.push((*id, n));
                    }
                }
            }
            if !txn.answered && now >= txn.expires {
                over.push(*id);
            }
        }
        for (i, _) in silent.into_iter().filter(|(_, count)| *count >= 2) {
            self.fleet.leave_aside(i, "silent", now, &mut self.out);
        }
        over.into_iter().for_each(|id| self.answer(id));
        for (id, n) in stuck {
            self.send_elsewhere(id, n, now);
        }
        let (trial, earlier) = self.sides();
        let news = self.exposure.news.as_ref();
        let servers = &mut self.fleet.servers;
        self.judge.judge(&mut self.rng, servers, &trial, &earlier, news, now, &mut self.out);
    }

    /// A txn stuck at a silent instance: a second copy where permitted, else recalled to be sent again.
    fn send_elsewhere(&mut self, id: TxnId, n: usize, now: Ms) {
        let txn = &self.txns[&id];
        let effect = self.products[txn.product].effect;
        if self.resends < 1.0 || now >= txn.in_time || effect == Effect::OnceOnly || !self.may_resend(id) {
            return;
        }
        if !self.permits.second_copies {
            self.resends -= f64::from(u8::from(self.permits.recall && !txn.submissions[n].recalled));
            self.recall(id, n);
        } else {
            let sides = self.sides();
            if self.place(id, &sides, now) {
                self.resends -= 1.0;
            }
        }
    }
}

/// Submissions that may have run, or may still.
fn may_have_run(txn: &Txn) -> impl Iterator<Item = &Submission> {
    txn.submissions.iter().filter(|sub| !sub.ending.is_some_and(Ending::never_ran))
}
