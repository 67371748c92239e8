//! One tiny fake host: a clock, a list, and instances that end what they get as a story wants.

use latchhaven_policy::api::*;
use latchhaven_policy::choice::Choice;
use std::collections::BTreeMap;

pub const STEP: Ms = 10.0;
pub type Behaviour = Box<dyn Fn(&Sent) -> (Ending, Ms)>;

/// One submission, as an instance sees it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Ms,
    pub id: TxnId,
    pub n: u32,
    pub instance: String,
    pub build: Build,
    pub started: Ms,
    pub load: usize,
}

pub struct Terms {
    pub seed: u64,
    pub gateways: u32,
    pub products: Vec<Product>,
    pub permits: Permits,
    pub exposure: ExposureTerms,
    pub votes: VoteTerms,
}

pub fn product(name: &str, effect: Effect, group: Group) -> Product {
    let (name, remember, sla, expiry) = (name.to_string(), 3000.0, 500.0, 2000.0);
    let (sla_stretch, revenue, late_share, streamed) = (0.0, 1.0, 0.0, false);
    Product { name, effect, group, remember, sla, sla_stretch, expiry, revenue, late_share, streamed }
}

impl Default for Terms {
    fn default() -> Self {
        let permits = Permits {
            submissions: 3,
            second_copies: true,
            recall: true,
            probes: false,
            peers: false,
            come_back: None,
        };
        let caps = vec![0.1, 0.5, 1.0];
        let exposure = ExposureTerms {
            free: 2.0,
            caps,
            window: 2000.0,
            by_product: false,
            closed_stages: 0,
            no_return: false,
        };
        let votes = VoteTerms { to_go: 1, to_revert: 1, stands: 4000.0, ..VoteTerms::default() };
        let products = vec![
            product("look", Effect::InquiryLike, Group::All),
            product("book", Effect::Referenced, Group::Zone),
            product("pay", Effect::OnceOnly, Group::All),
        ];
        Terms { seed: 7, gateways: 4, products, permits, exposure, votes }
    }
}

pub struct Host {
    choice: Choice,
    pub now: Ms,
    /// How long txns have waited for their turn when they are told.
    pub waited: Ms,
    pub behave: Behaviour,
    listed: BTreeMap<String, Listing>,
    due: Vec<(Ms, Sent, Ending)>,
    deadlines: BTreeMap<TxnId, Ms>,
    news: Vec<Event>,
    pub sent: Vec<Sent>,
    /// Final answers, with their time and whether they settled the txn.
    pub answers: BTreeMap<TxnId, Vec<(Ms, Action)>>,
    pub settled: BTreeMap<TxnId, Ms>,
    pub all: Vec<(Ms, Action)>,
    next: TxnId,
}

impl Host {
    pub fn new(terms: Terms) -> Self {
        let place = Place { me: 0, gateways: terms.gateways, zone: "a".to_string() };
        let list = ListTerms { asked: true, ask_within: 10_000.0, drain_grace: 1000.0 };
        let cold = ColdStart { from: 0.4, warm_up: 4000.0, multiple: 2.0, span: 1000.0 };
        let (permits, exposure, votes) = (terms.permits, terms.exposure, terms.votes);
        let costs = Costs::default();
        let choice =
            Choice::new(terms.seed, place, terms.products, permits, list, cold, exposure, votes, costs);
        let mut host = Host {
            choice,
            now: 100_000.0,
            waited: 0.0,
            behave: Box::new(|_| (Ending::Settled, 50.0)),
            listed: BTreeMap::new(),
            due: Vec::new(),
            deadlines: BTreeMap::new(),
            news: Vec::new(),
            sent: Vec::new(),
            answers: BTreeMap::new(),
            settled: BTreeMap::new(),
            all: Vec::new(),
            next: 0,
        };
        host.tell(Event::Fleet { kind: ListKind::Cached, version: 0, entries: vec![] });
        host.step();
        host
    }

    /// A host with warm instances of build 1, named a0, a1, b2, b3 ... by zone, and this behaviour.
    pub fn with(terms: Terms, count: usize, behave: impl Fn(&Sent) -> (Ending, Ms) + 'static) -> Self {
        let mut host = Host::new(terms);
        host.behave = Box::new(behave);
        let names: Vec<String> =
            (0..count).map(|i| format!("{}{i}", if i < count / 2 { "a" } else { "b" })).collect();
        names.iter().for_each(|name| drop(host.list(name, 1, Standing::Ready, 0.0)));
        host.step();
        host
    }

    pub fn list(&mut self, name: &str, build: Build, state: Standing, since: Ms) -> Listing {
        let (instance, zone, kind) = (name.to_string(), name[..1].to_string(), "std".to_string());
        let entry = Listing { instance, state, build, zone, cell: 0, kind, weight: 1.0, since };
        self.listed.insert(name.to_string(), entry.clone());
        self.tell(Event::Fleet { kind: ListKind::Changes, version: 1, entries: vec![entry.clone()] });
        entry
    }

    /// Machines of a new build, started just now.
    pub fn start(&mut self, names: &[&str], build: Build) {
        names.iter().for_each(|name| drop(self.list(name, build, Standing::Ready, self.now)));
    }

    pub fn tell(&mut self, event: Event) {
        self.news.push(event);
    }

    pub fn stage(&mut self, build: Build, stage: u32, phase: Phase, cap: f64) {
        let (valid, unsure, answer, age) = (true, false, false, 0.0);
        self.tell(Event::Stage(StageNews { valid, unsure, answer, build, stage, phase, cap, age }));
    }

    pub fn txn(&mut self, product: &str, key: Option<&str>) -> TxnId {
        self.take(None, product, key, false, 2000.0)
    }

    pub fn txn_of(&mut self, tenant: Option<&str>, product: &str, repeat: bool, left: Ms) -> TxnId {
        self.take(tenant, product, None, repeat, left)
    }

    fn take(
        &mut self, tenant: Option<&str>, product: &str, key: Option<&str>, repeat: bool, left: Ms,
    ) -> TxnId {
        self.next += 1;
        let id = self.next;
        let (product, key, tenant) =
            (product.to_string(), key.map(str::to_string), tenant.map(str::to_string));
        self.deadlines.insert(id, self.now + left);
        let (waited, work, write) = (self.waited, Some(50.0), false);
        self.tell(Event::Txn { id, product, tenant, key, left, waited, work, repeat, write });
        id
    }

    /// What the platform counted of the first product over all gateways.
    pub fn tally(&mut self, build: Build, count: u64, failed: u64, took: Ms) {
        let (product, took, age) = ("look".to_string(), Some(took), 500.0);
        self.tell(Event::Tally { build, product, count, failed, took, age });
    }

    /// One batch: what is due, what was told, and what is decided.
    pub fn step(&mut self) {
        let mut news = std::mem::take(&mut self.news);
        let (due, later) = std::mem::take(&mut self.due).into_iter().partition(|(at, _, _)| *at <= self.now);
        self.due = later;
        for (_, sent, ending) in due {
            let (id, submission, instance, took) = (sent.id, sent.n, sent.instance, self.now - sent.at);
            let first = ending == Ending::Settled && !self.answers.contains_key(&id);
            if first {
                self.settled.entry(id).or_insert(self.now);
            }
            let closed = self.settled.contains_key(&id) || self.answers.contains_key(&id);
            news.push(Event::Ended { id, submission, instance, ending, closed, took, load: vec![] });
        }
        news.push(Event::Timer { token: "tick".to_string() });
        for action in self.choice.decide(self.now, news) {
            self.carry_out(&action);
            self.all.push((self.now, action));
        }
        self.now += STEP;
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Submit { id, instance, .. } => {
                let listed = &self.listed[instance];
                let n = self.sent.iter().filter(|sent| sent.id == *id).count() as u32;
                let load = self.due.iter().filter(|(_, sent, _)| sent.instance == *instance).count();
                let (build, started, instance) = (listed.build, listed.since, instance.clone());
                let sent = Sent { at: self.now, id: *id, n, instance, build, started, load };
                let (mut ending, took) = (self.behave)(&sent);
                let mut at = self.now + took;
                if at > self.deadlines[id] {
                    (ending, at) = (Ending::NoAnswer, self.deadlines[id]);
                }
                self.due.push((at, sent.clone(), ending));
                self.sent.push(sent);
            }
            Action::Recall { id, submission } => {
                let mine = |sent: &Sent| sent.id == *id && sent.n == *submission;
                if let Some(found) = self.due.iter_mut().find(|(_, sent, _)| mine(sent)) {
                    (found.0, found.2) = (self.now + STEP, Ending::Recalled);
                }
            }
            Action::Decline { id, .. } | Action::Void { id } => {
                self.answers.entry(*id).or_default().push((self.now, action.clone()));
            }
            _ => {}
        }
    }

    pub fn run(&mut self, ms: Ms) {
        (0..(ms / STEP) as usize).for_each(|_| self.step());
    }

    /// Runs with a txn of the first product every so many steps.
    pub fn serve(&mut self, ms: Ms, every: usize) {
        for k in 0..(ms / STEP) as usize {
            if k % every == 0 {
                self.txn("look", None);
            }
            self.step();
        }
    }

    pub fn sent_of(&self, id: TxnId) -> Vec<String> {
        self.sent.iter().filter(|sent| sent.id == id).map(|sent| sent.instance.clone()).collect()
    }

    /// What it logged, with its time: why a build was found bad.
    pub fn logged(&self) -> Vec<&(Ms, Action)> {
        self.all.iter().filter(|(_, action)| matches!(action, Action::Log(_))).collect()
    }

    pub fn voted(&self, build: Build, verdict: Verdict) -> bool {
        let wanted = |action: &Action| matches!(action, Action::Vote { build: b, verdict: v, .. } if (*b, *v) == (build, verdict));
        self.all.iter().any(|(_, action)| wanted(action))
    }
}
