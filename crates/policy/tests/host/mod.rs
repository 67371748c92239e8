//! One tiny fake host: a clock, a list, and instances that end what they get as a story wants.

use latchhaven_policy::Policy;
use latchhaven_policy::*;
use std::collections::BTreeMap;

pub const STEP: Millis = 10.0;
pub type Behaviour = Box<dyn Fn(&Sent) -> (AttemptOutcome, Millis)>;

/// One submission, as an instance sees it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Millis,
    pub id: RequestId,
    pub n: u32,
    pub instance: String,
    pub build: Version,
    pub started: Millis,
    pub load: usize,
}

pub struct Terms {
    pub seed: u64,
    pub gateways: u32,
    pub products: Vec<RequestClass>,
    pub permits: Permissions,
    pub exposure: ExposureConfig,
    pub votes: VotingConfig,
}

pub fn product(name: &str, effect: Idempotency, group: DedupScope) -> RequestClass {
    let (name, remember, sla, expiry) = (name.to_string(), 3000.0, 500.0, 2000.0);
    let (sla_stretch, revenue, late_share, streamed) = (0.0, 1.0, 0.0, false);
    RequestClass {
        name,
        idempotency: effect,
        dedup_scope: group,
        dedup_window: remember,
        latency_objective: sla,
        objective_per_work: sla_stretch,
        timeout: expiry,
        priority_weight: revenue,
        late_value_share: late_share,
        streamed,
    }
}

impl Default for Terms {
    fn default() -> Self {
        let permits = Permissions {
            max_attempts: 3,
            hedging: true,
            cancel: true,
            health_checks: false,
            peer_messages: false,
            max_retry_after: None,
        };
        let caps = vec![0.1, 0.5, 1.0];
        let exposure = ExposureConfig {
            allowance: 2.0,
            stage_caps: caps,
            window: 2000.0,
            per_class: false,
            closed_stages: 0,
            sticky_keys: false,
        };
        let votes = VotingConfig {
            promote_quorum: 1,
            rollback_quorum: 1,
            vote_lease: 4000.0,
            ..VotingConfig::default()
        };
        let products = vec![
            product("look", Idempotency::Idempotent, DedupScope::All),
            product("book", Idempotency::IdempotencyKey, DedupScope::Zone),
            product("pay", Idempotency::NonIdempotent, DedupScope::All),
        ];
        Terms { seed: 7, gateways: 4, products, permits, exposure, votes }
    }
}

pub struct Host {
    choice: Policy,
    pub now: Millis,
    /// How long txns have waited for their turn when they are told.
    pub waited: Millis,
    pub behave: Behaviour,
    listed: BTreeMap<String, EndpointEntry>,
    due: Vec<(Millis, Sent, AttemptOutcome)>,
    deadlines: BTreeMap<RequestId, Millis>,
    news: Vec<Event>,
    pub sent: Vec<Sent>,
    /// Final answers, with their time and whether they settled the txn.
    pub answers: BTreeMap<RequestId, Vec<(Millis, Action)>>,
    pub settled: BTreeMap<RequestId, Millis>,
    pub all: Vec<(Millis, Action)>,
    next: RequestId,
}

impl Host {
    pub fn new(terms: Terms) -> Self {
        let choice = Policy::new(PolicyConfig {
            seed: terms.seed,
            identity: GatewayIdentity { index: 0, gateway_count: terms.gateways, zone: "a".to_string() },
            classes: terms.products,
            permissions: terms.permits,
            discovery: DiscoveryConfig {
                must_subscribe: true,
                max_poll_interval: 10_000.0,
                drain_grace: 1000.0,
            },
            slow_start: SlowStartConfig {
                initial_capacity: 0.4,
                duration: 4000.0,
                overload_multiple: 2.0,
                overload_window: 1000.0,
            },
            exposure: terms.exposure,
            voting: terms.votes,
            costs: CostConfig::default(),
        });
        let mut host = Host {
            choice,
            now: 100_000.0,
            waited: 0.0,
            behave: Box::new(|_| (AttemptOutcome::Success, 50.0)),
            listed: BTreeMap::new(),
            due: Vec::new(),
            deadlines: BTreeMap::new(),
            news: Vec::new(),
            sent: Vec::new(),
            answers: BTreeMap::new(),
            settled: BTreeMap::new(),
            all: Vec::new(),
            next: RequestId(0),
        };
        host.tell(Event::EndpointUpdate {
            kind: UpdateKind::CachedSnapshot,
            list_version: 0,
            entries: vec![],
        });
        host.step();
        host
    }

    /// A host with warm instances of build 1, named a0, a1, b2, b3 ... by zone, and this behaviour.
    pub fn with(
        terms: Terms, count: usize, behave: impl Fn(&Sent) -> (AttemptOutcome, Millis) + 'static,
    ) -> Self {
        let mut host = Host::new(terms);
        host.behave = Box::new(behave);
        let names: Vec<String> =
            (0..count).map(|i| format!("{}{i}", if i < count / 2 { "a" } else { "b" })).collect();
        names.iter().for_each(|name| drop(host.list(name, Version(1), EndpointStatus::Ready, 0.0)));
        host.step();
        host
    }

    pub fn list(
        &mut self, name: &str, build: Version, state: EndpointStatus, since: Millis,
    ) -> EndpointEntry {
        let (instance, zone, kind) = (name.to_string(), name[..1].to_string(), "std".to_string());
        let entry = EndpointEntry {
            endpoint: instance,
            status: state,
            version: build,
            zone,
            cell: 0,
            machine_type: kind,
            weight: 1.0,
            started_at: since,
        };
        self.listed.insert(name.to_string(), entry.clone());
        self.tell(Event::EndpointUpdate {
            kind: UpdateKind::Delta,
            list_version: 1,
            entries: vec![entry.clone()],
        });
        entry
    }

    /// Machines of a new build, started just now.
    pub fn start(&mut self, names: &[&str], build: Version) {
        names.iter().for_each(|name| drop(self.list(name, build, EndpointStatus::Ready, self.now)));
    }

    pub fn tell(&mut self, event: Event) {
        self.news.push(event);
    }

    pub fn stage(&mut self, build: Version, stage: u32, phase: RolloutPhase, cap: f64) {
        self.tell(Event::RolloutUpdate(RolloutState {
            version: build,
            stage,
            phase,
            traffic_cap: cap,
            age: 0.0,
        }));
    }

    pub fn txn(&mut self, product: &str, key: Option<&str>) -> RequestId {
        self.take(None, product, key, false, 2000.0)
    }

    pub fn txn_of(&mut self, tenant: Option<&str>, product: &str, repeat: bool, left: Millis) -> RequestId {
        self.take(tenant, product, None, repeat, left)
    }

    fn take(
        &mut self, tenant: Option<&str>, product: &str, key: Option<&str>, repeat: bool, left: Millis,
    ) -> RequestId {
        self.next.0 += 1;
        let id = self.next;
        let (product, key, tenant) =
            (product.to_string(), key.map(str::to_string), tenant.map(str::to_string));
        self.deadlines.insert(id, self.now + left);
        let (waited, work, write) = (self.waited, Some(50.0), false);
        self.tell(Event::RequestReceived(IncomingRequest {
            id,
            class: product,
            tenant,
            sticky_key: key,
            time_remaining: left,
            queued_for: waited,
            expected_work: work,
            is_retry: repeat,
            is_write: write,
        }));
        id
    }

    /// What the platform counted of the first product over all gateways.
    pub fn tally(&mut self, build: Version, count: u64, failed: u64, took: Millis) {
        let (product, took, age) = ("look".to_string(), Some(took), 500.0);
        self.tell(Event::OutcomesReported(OutcomeReport {
            version: build,
            class: product,
            attempts: count,
            failures: failed,
            mean_latency: took,
            age,
        }));
    }

    /// One batch: what is due, what was told, and what is decided.
    pub fn step(&mut self) {
        let mut news = std::mem::take(&mut self.news);
        let (due, later) = std::mem::take(&mut self.due).into_iter().partition(|(at, _, _)| *at <= self.now);
        self.due = later;
        for (_, sent, ending) in due {
            let (id, submission, instance, took) = (sent.id, sent.n, sent.instance, self.now - sent.at);
            let first = ending == AttemptOutcome::Success && !self.answers.contains_key(&id);
            if first {
                self.settled.entry(id).or_insert(self.now);
            }
            let closed = self.settled.contains_key(&id) || self.answers.contains_key(&id);
            news.push(Event::AttemptCompleted(CompletedAttempt {
                id,
                attempt: submission,
                endpoint: instance,
                outcome: ending,
                is_final: closed,
                elapsed: took,
                load: LoadReport::default(),
            }));
        }
        news.push(Event::TimerFired { token: "tick".to_string() });
        for action in self.choice.handle_events(self.now, news) {
            self.carry_out(&action);
            self.all.push((self.now, action));
        }
        self.now += STEP;
    }

    fn carry_out(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { id, endpoint: instance, .. } => {
                let listed = &self.listed[instance];
                let n = self.sent.iter().filter(|sent| sent.id == *id).count() as u32;
                let load = self.due.iter().filter(|(_, sent, _)| sent.instance == *instance).count();
                let (build, started, instance) = (listed.version, listed.started_at, instance.clone());
                let sent = Sent { at: self.now, id: *id, n, instance, build, started, load };
                let (mut ending, took) = (self.behave)(&sent);
                let mut at = self.now + took;
                if at > self.deadlines[id] {
                    (ending, at) = (AttemptOutcome::Timeout, self.deadlines[id]);
                }
                self.due.push((at, sent.clone(), ending));
                self.sent.push(sent);
            }
            Action::CancelAttempt { id, attempt: submission } => {
                let mine = |sent: &Sent| sent.id == *id && sent.n == *submission;
                if let Some(found) = self.due.iter_mut().find(|(_, sent, _)| mine(sent)) {
                    (found.0, found.2) = (self.now + STEP, AttemptOutcome::Cancelled);
                }
            }
            Action::Reject { id, .. } | Action::Fail { id } => {
                self.answers.entry(*id).or_default().push((self.now, action.clone()));
            }
            _ => {}
        }
    }

    pub fn run(&mut self, ms: Millis) {
        (0..(ms / STEP) as usize).for_each(|_| self.step());
    }

    /// Runs with a txn of the first product every so many steps.
    pub fn serve(&mut self, ms: Millis, every: usize) {
        for k in 0..(ms / STEP) as usize {
            if k % every == 0 {
                self.txn("look", None);
            }
            self.step();
        }
    }

    pub fn sent_of(&self, id: RequestId) -> Vec<String> {
        self.sent.iter().filter(|sent| sent.id == id).map(|sent| sent.instance.clone()).collect()
    }

    /// What it logged, with its time: why a build was found bad.
    pub fn logged(&self) -> Vec<&(Millis, Action)> {
        self.all.iter().filter(|(_, action)| matches!(action, Action::Log(_))).collect()
    }

    pub fn voted(&self, build: Version, verdict: Verdict) -> bool {
        let wanted = |action: &Action| matches!(action, Action::CastVote { version: b, verdict: v, .. } if (*b, *v) == (build, verdict));
        self.all.iter().any(|(_, action)| wanted(action))
    }
}
