//! Plain records that the decisions keep; no decisions here.

use crate::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Tenants that are kept at most: a bound of memory, far above those that matter at once.
const TENANTS_KEPT: usize = 512;

/// One submission of a txn.
#[derive(Clone, Debug)]
pub struct Submission {
    pub server: usize,
    /// Which life of that dense index it went to; ids are reused.
    pub life: u32,
    pub build: Version,
    pub zone: String,
    pub cell: u32,
    pub sent: Millis,
    /// Capacity that the instance had at least, when it was sent.
    pub warmth: f64,
    pub ending: Option<AttemptOutcome>,
    pub recalled: bool,
}

/// A txn taken and not yet forgotten.
#[derive(Clone, Debug)]
pub struct Txn {
    pub product: usize,
    pub tenant: Option<String>,
    pub key: Option<String>,
    pub came: Millis,
    /// When the client gives up on this try.
    pub expires: Millis,
    /// When an answer stops being in time.
    pub in_time: Millis,
    pub work: Option<Millis>,
    pub submissions: Vec<Submission>,
    pub streaming: bool,
    pub answered: bool,
}

impl Txn {
    pub fn new(
        product: usize, tenant: Option<String>, key: Option<String>, work: Option<Millis>, now: Millis,
        left: Millis, sla: Millis,
    ) -> Txn {
        let (submissions, streaming, answered) = (Vec::new(), false, false);
        let (came, expires, in_time) = (now, now + left, now + sla.min(left));
        Txn { product, tenant, key, came, expires, in_time, work, submissions, streaming, answered }
    }

    pub fn outstanding(&self) -> usize {
        self.submissions.iter().filter(|s| s.ending.is_none()).count()
    }

    /// Submissions that may have run, or may still.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Submission> {
        self.submissions
            .iter()
            .filter(|sub| !sub.ending.is_some_and(AttemptOutcome::is_definitely_not_executed))
    }
}

/// Count, mean and summed squared deviations of scores.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arm {
    pub count: f64,
    pub mean: f64,
    pub squares: f64,
}

impl Arm {
    pub fn add(&mut self, score: f64) {
        self.count += 1.0;
        let off = score - self.mean;
        self.mean += off / self.count;
        self.squares += off * (score - self.mean);
    }

    /// Turns one score of 1 into 0.
    pub fn zero_one(&mut self) {
        if self.count >= 1.0 && self.mean > 0.0 {
            let was = self.mean;
            self.mean = (was - 1.0 / self.count).max(0.0);
            self.squares = (self.squares + self.count * (was * was - self.mean * self.mean) - 1.0).max(0.0);
        }
    }

    pub fn merge(&mut self, other: &Arm) {
        let count = self.count + other.count;
        if count > 0.0 {
            let off = other.mean - self.mean;
            self.squares += other.squares + off * off * self.count * other.count / count;
            self.mean += off * other.count / count;
            self.count = count;
        }
    }

    /// The arms of several instances as one.
    pub fn pool(arms: &[Arm], members: &[usize], left_out: Option<usize>) -> Arm {
        let mut sum = Arm::default();
        members.iter().filter(|i| Some(**i) != left_out).for_each(|i| sum.merge(&arms[*i]));
        sum
    }

    /// The same without the one that costs most: a single machine may be sick.
    pub fn pool_but_worst(arms: &[Arm], members: &[usize]) -> Arm {
        let all = Arm::pool(arms, members, None);
        let harm = |i: &usize| arms[*i].count * (all.mean - arms[*i].mean);
        let worst = members.iter().copied().max_by(|a, b| harm(a).total_cmp(&harm(b)));
        Arm::pool(arms, members, worst.filter(|_| members.len() > 1))
    }

    /// Weighs down what was, and adds so many scores of this mean.
    pub fn follow(&mut self, keep: f64, count: f64, mean: f64) {
        self.fade(keep);
        self.merge(&Arm { count, mean, squares: 0.0 });
    }

    /// Weighs all scores so far down to this share.
    pub fn fade(&mut self, share: f64) {
        self.count *= share;
        self.squares *= share;
    }
}

/// Moments, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Times(VecDeque<Millis>);

impl Times {
    /// Notes a moment, which may lie before the newest, and forgets those more than `keep` before it.
    pub fn note(&mut self, moment: Millis, keep: Millis) {
        while self.0.front().is_some_and(|time| *time < moment - keep) {
            self.0.pop_front();
        }
        let at = self.0.partition_point(|time| *time <= moment);
        self.0.insert(at, moment);
    }

    /// How many there were after a moment.
    pub fn since(&self, moment: Millis) -> usize {
        self.0.len() - self.0.partition_point(|time| *time <= moment)
    }
}

/// Kinds of arms: served in time, log of the pace, neither error nor flagged.
pub const SCORE: usize = 0;
pub const PACE: usize = 1;
pub const RIGHT: usize = 2;

/// Figures on instances, in parallel arrays under one dense index.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    pub id: Vec<String>,
    pub zone: Vec<String>,
    pub cell: Vec<u32>,
    pub build: Vec<Version>,
    pub weight: Vec<f64>,
    pub since: Vec<Millis>,
    pub ready: Vec<bool>,
    /// It left the list: its index is free for another once nothing is out there.
    pub gone: Vec<bool>,
    /// Counts the lives of an index: ids return with other builds and after restarts.
    pub life: Vec<u32>,
    pub in_flight: Vec<u32>,
    pub in_flight_cap: Vec<f64>,
    pub last_answer: Vec<Millis>,
    pub errors: Vec<f64>,
    pub aside_until: Vec<Millis>,
    pub aside_times: Vec<u32>,
    /// Arms by kind, then by instance.
    pub arms: [Vec<Arm>; 3],
    /// Submissions in a row without an answer.
    pub silent: Vec<u32>,
    /// How slow it lately answered, in log of its usual time, and when.
    pub slow: Vec<f64>,
    pub slow_at: Vec<Millis>,
    /// Submissions that a cold instance may still get from this gateway.
    pub cold_part: Vec<f64>,
    /// Under which share of the fleet a gateway's subset has it.
    pub spread: Vec<f64>,
}

impl Servers {
    /// Makes room for one more instance and returns its index.
    pub fn add(&mut self, entry: &EndpointEntry) -> usize {
        self.id.push(entry.endpoint.clone());
        self.zone.push(entry.zone.clone());
        self.cell.push(entry.cell);
        self.build.push(entry.version);
        self.weight.push(1.0);
        self.since.push(entry.started_at);
        self.ready.push(false);
        self.gone.push(false);
        self.life.push(0);
        self.in_flight.push(0);
        self.in_flight_cap.push(0.0);
        self.last_answer.push(0.0);
        self.errors.push(0.0);
        self.aside_until.push(0.0);
        self.aside_times.push(0);
        self.arms.iter_mut().for_each(|arms| arms.push(Arm::default()));
        self.silent.push(0);
        self.slow.push(0.0);
        self.slow_at.push(0.0);
        self.cold_part.push(0.0);
        self.spread.push(0.0);
        self.id.len() - 1
    }

    /// Takes over what the list says of an instance.
    pub fn relist(&mut self, i: usize, entry: &EndpointEntry) {
        self.build[i] = entry.version;
        self.since[i] = self.since[i].max(entry.started_at);
        self.weight[i] = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        self.zone[i].clone_from(&entry.zone);
        self.cell[i] = entry.cell;
        self.ready[i] = entry.status == EndpointStatus::Ready;
        self.gone[i] = entry.status == EndpointStatus::Removed;
    }

    /// The arms of all instances as one, by kind.
    pub fn pooled(&self) -> [Arm; 3] {
        let everyone: Vec<usize> = (0..self.id.len()).collect();
        [SCORE, PACE, RIGHT].map(|kind| Arm::pool(&self.arms[kind], &everyone, None))
    }

    /// An index that nothing refers to any more, if there is one; the life there ends.
    fn free(&mut self, entry: &EndpointEntry) -> Option<usize> {
        let i = (0..self.id.len()).find(|i| self.gone[*i] && self.in_flight[*i] == 0)?;
        (self.id[i], self.since[i]) = (entry.endpoint.clone(), entry.started_at);
        // No build has this number: whatever comes begins a life of its own.
        self.build[i] = Version::INVALID;
        Some(i)
    }

    /// This gateway's txns in flight per instance.
    pub fn mean_in_flight(&self, side: &[usize]) -> f64 {
        side.iter().map(|i| f64::from(self.in_flight[*i])).sum::<f64>() / side.len().max(1) as f64
    }

    /// A submission to an instance as it stands.
    pub fn submission(&self, server: usize, warmth: f64, sent: Millis) -> Submission {
        let (life, build, cell) = (self.life[server], self.build[server], self.cell[server]);
        let zone = self.zone[server].clone();
        Submission { server, life, build, zone, cell, sent, warmth, ending: None, recalled: false }
    }

    /// Forgets all that was learnt of an instance.
    pub fn begin_life(&mut self, i: usize, in_flight_cap: f64) {
        self.life[i] += 1;
        self.in_flight[i] = 0;
        self.in_flight_cap[i] = in_flight_cap;
        self.errors[i] = 0.0;
        self.aside_until[i] = 0.0;
        self.aside_times[i] = 0;
        self.arms.iter_mut().for_each(|arms| arms[i] = Arm::default());
        (self.silent[i], self.slow[i]) = (0, 0.0);
    }
}

/// The rule on exposure: what each build on trial got, against what came in.
pub struct Exposure {
    pub terms: ExposureConfig,
    pub news: Option<RolloutState>,
    pub arrivals: Vec<Times>,
    pub sends: BTreeMap<(Version, usize), Times>,
    pub bound: BTreeMap<String, Version>,
}

/// What the gateway sees of its fleet when it judges.
pub struct Sight {
    pub trial: Vec<usize>,
    pub earlier: Vec<usize>,
    /// Capacity that the coldest instance on trial has at least, and all of them on the mean.
    pub warmth: [f64; 2],
    /// Txns that lately came for each instance that lately answered.
    pub load: f64,
    pub now: Millis,
}

/// Judges builds and votes.
#[derive(Default)]
pub struct Judge {
    pub terms: VotingConfig,
    pub delta: f64,
    pub judged: Millis,
    /// The largest π against the trial.
    pub pi: f64,
    pub enough: bool,
    pub sure_since: Option<Millis>,
    /// The build now on trial, and the one last so.
    pub trial: Option<Version>,
    pub watched: Option<Version>,
    pub released: Option<(Version, Millis)>,
    pub rehearsed: Option<Millis>,
    /// The build that was found bad: that verdict stays.
    pub condemned: Option<Version>,
    pub vote: Option<(Version, u32, Verdict)>,
    pub voted: Millis,
    pub stands: bool,
    /// The chance that this gateway is one of those that vote.
    pub voters: f64,
    /// The arms of all instances as the build came on trial, by kind; these are clearly slower since.
    pub before: [Arm; 3],
    pub load_before: f64,
    pub dragged: bool,
    /// Mean log pace per product, while no build was on trial.
    pub base: Vec<Arm>,
    /// No earlier instance answers any more.
    pub alone: bool,
    /// What the platform counted, not yet weighed, by product: of the others, and of the watched build.
    pub tallies: Vec<[Count; 2]>,
    /// Share of failures before the trial, by product.
    pub tallied_before: Vec<Arm>,
    /// Mean time of an answer then.
    pub time_before: Vec<Arm>,
    /// Tallied at each instance in a period then.
    pub load_tallied: Vec<Arm>,
    /// Failures of all in the newest tallies that the trial is blamed for: those expected, and those seen.
    pub common: [f64; 2],
    /// They were there before it carried much.
    pub excused: bool,
    /// Log of how many times longer all answers took just now than before the trial.
    pub lag: f64,
    /// Counted at the present stage; what was weighed.
    pub stage: (Version, u32),
    pub tallied: f64,
    pub weighed: Weighed,
    /// Flags heard of by any gateway, and answers in tallies: of the others, and of the watched build.
    pub flags: [f64; 2],
    /// Why the build was found bad, until the vote is cast.
    pub verdict_log: Option<String>,
    pub answers: [f64; 2],
}

/// The list of instances and how each one does.
#[derive(Default)]
pub struct Fleet {
    pub terms: DiscoveryConfig,
    pub cold: SlowStartConfig,
    pub servers: Servers,
    pub index: BTreeMap<String, usize>,
    pub ask_at: Option<Millis>,
    /// First tries that came in, their rate per ms and unit of capacity, and its running mean.
    pub arrivals: Times,
    pub usual: f64,
    /// The share of the instances that is this gateway's subset.
    pub part: f64,
    /// When the parts of cold instances were last added to.
    pub filled: Millis,
    /// The lowest build on the list.
    pub lowest: Version,
    /// Calls for the list that failed in a row.
    pub failures: u32,
    /// This gateway logs which instances it leaves aside.
    pub logs: bool,
}

impl Desk {
    pub fn submission(&mut self, id: RequestId, n: usize) -> Option<&mut Submission> {
        self.txns.get_mut(&id)?.submissions.get_mut(n)
    }

    /// Drops a txn that is answered and has nothing out.
    pub fn forget(&mut self, id: RequestId) {
        if self.txns.get(&id).is_some_and(|txn| txn.answered && txn.outstanding() == 0) {
            self.txns.remove(&id);
        }
    }

    /// How all txns are served, then those of one tenant.
    pub fn services(&mut self, tenant: &Option<String>) -> [&mut Service; 2] {
        // Names come from clients: those not heard of for longest are forgotten.
        if self.service.len() >= TENANTS_KEPT && !self.service.contains_key(tenant) {
            let oldest = self.service.iter().min_by(|a, b| a.1.at.total_cmp(&b.1.at));
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.and_then(|name| self.service.remove(&name));
        }
        [&mut self.all_service, self.service.entry(tenant.clone()).or_default()]
    }
}

/// How one tenant's txns are served, old ones faded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    pub came: f64,
    pub good: f64,
    pub at: Millis,
}

impl Service {
    pub fn fade(&mut self, now: Millis, half: Millis) {
        let share = 0.5f64.powf((now - self.at) / half);
        (self.came, self.good, self.at) = (self.came * share, self.good * share, now);
    }

    /// Notes so many txns of which this part was served well.
    pub fn note(&mut self, now: Millis, half: Millis, count: f64, good: f64) {
        self.fade(now, half);
        (self.came, self.good) = (self.came + count, self.good + count * good);
    }
}

/// Submissions counted by the platform: all, failed, mean time of the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub count: f64,
    pub failed: f64,
    pub time: Millis,
}

impl Count {
    /// Share of failures, one taken for granted.
    pub fn failing(&self) -> f64 {
        (self.failed + 1.0) / (self.count + 1.0)
    }

    pub fn served(&self) -> f64 {
        self.count - self.failed
    }

    pub fn add(&mut self, count: f64, failed: f64, time: Millis) {
        let time = time.max(0.001);
        let (had, more) = (self.count - self.failed, count - failed);
        self.time = (self.time * had + time * more) / (had + more).max(1.0);
        (self.count, self.failed) = (self.count + count, self.failed + failed);
    }
}

/// Tallies of the watched build: its pace against the others, its failures, and how many were expected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weighed {
    pub pace: Arm,
    pub failed: f64,
    pub expected: f64,
}

impl Weighed {
    pub fn fade(&mut self, share: f64) {
        self.pace.fade(share);
        (self.failed, self.expected) = (self.failed * share, self.expected * share);
    }
}

impl Fleet {
    /// The least share of its capacity that an instance has by now.
    pub fn warmth(&self, i: usize, now: Millis) -> f64 {
        let since = self.servers.since[i];
        let way = if since <= 0.0 { 1.0 } else { ((now - since) / self.cold.duration).clamp(0.0, 1.0) };
        self.cold.initial_capacity + (1.0 - self.cold.initial_capacity) * way
    }

    /// The index of an instance; ids come and go, indices are used again.
    pub fn slot(&mut self, entry: &EndpointEntry) -> usize {
        if let Some(i) = self.index.get(&entry.endpoint) {
            return *i;
        }
        let i = self.servers.free(entry).unwrap_or_else(|| self.servers.add(entry));
        self.index.retain(|_, taken| *taken != i);
        self.index.insert(entry.endpoint.clone(), i);
        i
    }

    /// Those that a whole list leaves out are gone.
    pub fn leave_out(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.endpoint.as_str()).collect();
        let left = self.index.iter().filter(|(id, _)| !listed.contains(id.as_str()));
        left.for_each(|(_, i)| self.servers.gone[*i] = true);
    }

    /// First tries that came since, for each instance that answered since.
    pub fn load_since(&self, moment: Millis) -> f64 {
        let answered = self.ready().filter(|i| self.servers.last_answer[*i] > moment).count();
        self.arrivals.since(moment) as f64 / answered.max(1) as f64
    }

    pub fn ready(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.id.len()).filter(|i| self.servers.ready[*i])
    }
}

impl Exposure {
    /// Under which index a product is counted.
    pub fn lane(&self, product: usize) -> usize {
        if self.terms.per_class { product } else { 0 }
    }

    pub fn note_arrival(&mut self, product: usize, now: Millis, keep: Millis) {
        let lane = self.lane(product);
        self.arrivals[lane].note(now, keep);
    }

    /// Notes a submission; builds that got none for as long are forgotten.
    pub fn note_send(&mut self, build: Version, product: usize, now: Millis, keep: Millis) {
        let lane = self.lane(product);
        if !self.sends.contains_key(&(build, lane)) {
            self.sends.retain(|_, sends| sends.since(now - keep) > 0);
        }
        self.sends.entry((build, lane)).or_default().note(now, keep);
    }

    pub fn new(terms: ExposureConfig, products: usize) -> Self {
        let (arrivals, sends, bound) = (vec![Times::default(); products], BTreeMap::new(), BTreeMap::new());
        Exposure { terms, news: None, arrivals, sends, bound }
    }
}

impl Judge {
    /// Counts a flag of the watched build, or of an earlier one.
    pub fn note_flag(&mut self, build: Option<Version>) {
        if let (Some(build), Some(watched)) = (build, self.watched) {
            self.flags[usize::from(build == watched)] += f64::from(u8::from(build <= watched));
        }
    }

    pub fn new(terms: VotingConfig, delta: f64, voters: f64, products: usize) -> Self {
        let base = vec![Arm::default(); products];
        let (tallied_before, time_before, load_tallied) = (base.clone(), base.clone(), base.clone());
        let tallies = vec![Default::default(); products];
        Judge {
            terms,
            delta,
            voters,
            base,
            tallied_before,
            time_before,
            load_tallied,
            tallies,
            ..Judge::default()
        }
    }
}

/// What lies on a gateway's desk: its txns, and when it looks at them.
pub struct Desk {
    pub txns: BTreeMap<RequestId, Txn>,
    pub waiting: Vec<RequestId>,
    /// Usual time of an answer, and the longest time left to a try, by product.
    pub typical: Vec<Millis>,
    pub longest: Vec<Millis>,
    /// How txns are served: by tenant, and all.
    pub service: BTreeMap<Option<String>, Service>,
    pub all_service: Service,
    /// Further submissions saved up.
    pub resends: f64,
    /// Share of submissions lately that got no connection.
    pub refused: f64,
    pub look_at: Millis,
    pub wake_at: Millis,
    /// Until when this gateway last stood still.
    pub stalled: Millis,
    pub out: Vec<Action>,
}

impl Desk {
    pub fn new(typical: Vec<Millis>, resends: f64) -> Self {
        let (look_at, wake_at, stalled) = (0.0, f64::INFINITY, f64::NEG_INFINITY);
        let (txns, service, all_service) = (BTreeMap::new(), BTreeMap::new(), Service::default());
        let (longest, waiting, out) = (vec![0.0; typical.len()], Vec::new(), Vec::new());
        Desk {
            txns,
            waiting,
            typical,
            longest,
            service,
            all_service,
            resends,
            refused: 0.0,
            look_at,
            wake_at,
            stalled,
            out,
        }
    }
}

/// The build that a gateway's message tells was flagged.
pub fn build_told(data: &[u8]) -> Option<Version> {
    <[u8; 4]>::try_from(data).ok().map(|bytes| Version(u32::from_be_bytes(bytes)))
}
