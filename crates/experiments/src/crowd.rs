//! A crowd loses a gateway at once, in simulated time: the library's decisions beside three ways in which apps of their
//! own come back. The same seed gives the same clients, calls and loss.

use crate::agenda::Agenda;
use clap::Args;
use latchhaven_client::call::{AttemptOutcome, Call, CallOutcome, Idempotency, NextStep};
use latchhaven_client::pool::{Pool, PoolAction, PoolLimits};
use latchhaven_client::retry_budget::RetryBudget;
use latchhaven_client::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

type Ms = f64;

/// How many, for how long, and how busy.
#[derive(Args, Clone, Debug)]
pub struct Sizes {
    #[arg(long, default_value_t = 10_000)]
    clients: usize,
    #[arg(long, default_value_t = 5)]
    gateways: usize,
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Part of what all gateways can do that clients ask for while all are well.
    #[arg(long, default_value_t = 0.7)]
    load: f64,
}

/// The gateway is lost at, and back at.
const LOST: Ms = 10_000.0;
const BACK: Ms = 35_000.0;
/// Calls of a client a second.
const CALLS: f64 = 0.5;
/// A new connection costs a gateway as much as so many txns.
const HANDSHAKE: f64 = 3.0;
/// Connections that wait to be accepted at most; further ones are refused.
const BACKLOG: usize = 1024;
const SLA: Ms = 600.0;
const EXPIRY: Ms = 2_500.0;
/// Hosts drop repeats of referenced txns for so long.
const REMEMBER: Ms = 5_000.0;
/// A message takes so long.
const WAY: Ms = 1.0;
/// A payment in so many calls is referenced, or once-only.
const KINDS: [Idempotency; 4] = [
    Idempotency::Idempotent,
    Idempotency::Idempotent,
    Idempotency::IdempotencyKey { dedup_window: REMEMBER },
    Idempotency::NonIdempotent,
];
const REVENUE: [f64; 4] = [1.0, 1.0, 2.0, 3.0];
/// The wait of those that wait the same time, and the first of those that double it.
const FIXED: Ms = 1_000.0;
const FIRST: Ms = 100.0;
const MOST: Ms = 10_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Style {
    Library,
    Immediate,
    Fixed,
    Exponential,
}

#[derive(Clone, Copy, Debug)]
enum What {
    /// A client's next call.
    Call(usize),
    /// A try of a call may go out.
    Try(u64),
    /// A client's pool is to be looked at.
    Look(usize),
    /// A gateway has done the work at its head.
    Worked(usize, u64),
    /// A client dials, at a gateway.
    Arrive {
        client: usize,
        link: u64,
        gateway: usize,
    },
    /// A call is over, whatever is under way.
    Expire(u64),
    Lose,
    Return,
}

#[derive(Clone, Copy)]
enum Work {
    Handshake { client: usize, link: u64 },
    Txn { client: usize, link: u64, call: u64 },
}

struct Gateway {
    up: bool,
    /// Counts its lives: work of an earlier one is void.
    life: u64,
    queue: VecDeque<Work>,
    handshakes: usize,
    busy: bool,
}

struct ClientState {
    pool: Pool,
    budget: RetryBudget,
    rng: Pcg64Mcg,
    /// Gateways of open links.
    links: BTreeMap<u64, usize>,
    looks: Ms,
    /// Tries that failed in a row, for those that count them.
    failures: u32,
    /// It lost its gateway, and was not served since.
    struck: bool,
}

struct CallState {
    client: usize,
    kind: usize,
    came: Ms,
    call: Call,
    sent: Option<(Ms, u64)>,
    waiting: bool,
    tries: u32,
}

#[derive(Default)]
struct Count {
    asked: f64,
    in_time: f64,
    wasted: f64,
    worked: f64,
    dials: BTreeMap<u64, u64>,
    effects: BTreeMap<u64, u32>,
    served_again: Vec<Ms>,
    struck: usize,
    unknown: u64,
    busiest: usize,
}

struct Crowd {
    style: Style,
    now: Ms,
    agenda: Agenda<What>,
    gateways: Vec<Gateway>,
    clients: Vec<ClientState>,
    calls: BTreeMap<u64, CallState>,
    next: u64,
    each: Ms,
    rng: Pcg64Mcg,
    count: Count,
}

impl Crowd {
    fn new(style: Style, sizes: &Sizes) -> Self {
        let bounds = PoolLimits {
            max_connections: 1,
            max_connecting: 1,
            max_queued_calls: 16,
            idle_timeout: 30_000.0,
            max_age: 600_000.0,
        };
        let mut rng = Pcg64Mcg::seed_from_u64(sizes.seed);
        let clients = (0..sizes.clients).map(|n| ClientState {
            pool: Pool::new(sizes.gateways, bounds, sizes.seed.wrapping_mul(1_000_003) ^ n as u64),
            budget: RetryBudget::default(),
            rng: Pcg64Mcg::seed_from_u64(sizes.seed ^ (n as u64) << 20),
            links: BTreeMap::new(),
            looks: f64::INFINITY,
            failures: 0,
            struck: false,
        });
        let clients: Vec<ClientState> = clients.collect();
        let gateway = || Gateway { up: true, life: 0, queue: VecDeque::new(), handshakes: 0, busy: false };
        // So long does one txn take a gateway, for the load that is wanted.
        let each = 1000.0 * sizes.load * sizes.gateways as f64 / (CALLS * sizes.clients as f64);
        let starts: Vec<Ms> = clients.iter().map(|_| rng.random_range(0.0..1000.0 / CALLS)).collect();
        let mut crowd = Crowd {
            style,
            now: 0.0,
            agenda: Agenda::new(),
            gateways: (0..sizes.gateways).map(|_| gateway()).collect(),
            clients,
            calls: BTreeMap::new(),
            next: 0,
            each,
            rng,
            count: Count::default(),
        };
        starts.into_iter().enumerate().for_each(|(n, at)| crowd.push(at, What::Call(n)));
        crowd.push(LOST, What::Lose);
        crowd.push(BACK, What::Return);
        crowd
    }

    fn push(&mut self, at: Ms, what: What) {
        self.agenda.push(at, what);
    }

    fn moment(&self) -> Timestamp {
        Timestamp { monotonic: self.now, wall: 1e12 + self.now }
    }

    fn play(mut self, until: Ms) -> Count {
        while let Some((at, what)) = self.agenda.pop(until) {
            self.now = at;
            match what {
                What::Call(client) => self.call(client),
                What::Try(call) => self.wants(call),
                What::Look(client) => self.look(client),
                What::Arrive { client, link, gateway } => self.arrive(client, link, gateway),
                What::Worked(gateway, life) => self.worked(gateway, life),
                What::Expire(call) => self.expire(call),
                What::Lose => self.lose(),
                What::Return => {
                    self.gateways[0].up = true;
                }
            }
        }
        self.count
    }

    fn call(&mut self, client: usize) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.push(self.now + 1000.0 / CALLS * gap, What::Call(client));
        let kind = self.rng.random_range(0..KINDS.len());
        self.next += 1;
        let id = self.next;
        let now = self.moment();
        let mut call = Call::new(KINDS[kind], EXPIRY, 5.0, now);
        call.start(&mut self.clients[client].budget, &now);
        let came = self.now;
        self.count.asked += REVENUE[kind];
        self.calls.insert(id, CallState { client, kind, came, call, sent: None, waiting: false, tries: 0 });
        self.push(came + EXPIRY, What::Expire(id));
        self.wants(id);
    }

    fn wants(&mut self, id: u64) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.waiting && call.sent.is_none()) else {
            return;
        };
        call.waiting = true;
        let (client, worth) = (call.client, REVENUE[call.kind]);
        let todo = self.clients[client].pool.acquire(id, worth, self.now);
        self.carry_out(client, todo);
    }

    fn look(&mut self, client: usize) {
        self.clients[client].looks = f64::INFINITY;
        let todo = self.clients[client].pool.poll(self.now);
        self.carry_out(client, todo);
    }

    /// The library's pool holds connections for all styles; the others dial as they like.
    fn carry_out(&mut self, client: usize, todo: Vec<PoolAction>) {
        let mut todo = VecDeque::from(todo);
        while let Some(one) = todo.pop_front() {
            match one {
                PoolAction::Connect { connection: link, gateway } => {
                    let gateway = match self.style {
                        Style::Library => gateway,
                        _ => self.clients[client].rng.random_range(0..self.gateways.len()),
                    };
                    *self.count.dials.entry((self.now / 1000.0) as u64).or_default() += 1;
                    self.push(self.now + WAY, What::Arrive { client, link, gateway });
                }
                PoolAction::Assign { call, connection: link } => {
                    let now = self.moment();
                    let may = self.calls.get_mut(&call).filter(|call| call.waiting).is_some_and(|call| {
                        call.waiting = false;
                        call.call.begin_attempt(&now).is_some()
                    });
                    if may {
                        let state = self.calls.get_mut(&call).expect("open");
                        (state.sent, state.tries) = (Some((self.now, link)), state.tries + 1);
                        let gateway = self.clients[client].links[&link];
                        self.work(gateway, Work::Txn { client, link, call });
                    } else {
                        todo.extend(self.clients[client].pool.release(link, self.now));
                    }
                }
                PoolAction::Close { connection: link } => drop(self.clients[client].links.remove(&link)),
                PoolAction::Reject { call } => {
                    if let Some(call) = self.calls.get_mut(&call) {
                        call.waiting = false;
                    }
                }
            }
        }
        let next = self.clients[client].pool.next_poll_at();
        if next < self.clients[client].looks && next.is_finite() {
            self.clients[client].looks = next;
            self.push(next.max(self.now + 0.1), What::Look(client));
        }
    }

    fn arrive(&mut self, client: usize, link: u64, gateway: usize) {
        if !self.gateways[gateway].up || self.gateways[gateway].handshakes >= BACKLOG {
            return self.refused(client, link);
        }
        self.gateways[gateway].handshakes += 1;
        self.clients[client].links.insert(link, gateway);
        self.work(gateway, Work::Handshake { client, link });
    }

    /// A dial failed. The library's pool waits by itself; the others wait in their own ways.
    fn refused(&mut self, client: usize, link: u64) {
        let state = &mut self.clients[client];
        state.links.remove(&link);
        state.failures += 1;
        let todo = match self.style {
            Style::Library => state.pool.on_connect_failed(link, self.now),
            _ => state.pool.discard(link, self.now),
        };
        if self.style == Style::Library {
            return self.carry_out(client, todo);
        }
        // What `dropped` would dial at once is dialled after the style's own wait.
        let wait = self.wait(client);
        for one in todo {
            match one {
                PoolAction::Connect { connection: link, .. } => {
                    let gateway = self.clients[client].rng.random_range(0..self.gateways.len());
                    let at = self.now + wait;
                    *self.count.dials.entry((at / 1000.0) as u64).or_default() += 1;
                    self.push(at + WAY, What::Arrive { client, link, gateway });
                }
                other => self.carry_out(client, vec![other]),
            }
        }
    }

    fn wait(&self, client: usize) -> Ms {
        let failures = self.clients[client].failures.min(16);
        match self.style {
            Style::Library => 0.0,
            Style::Immediate => 10.0,
            Style::Fixed => FIXED,
            Style::Exponential => (FIRST * f64::from(1u32 << failures)).min(MOST),
        }
    }

    fn work(&mut self, gateway: usize, work: Work) {
        self.gateways[gateway].queue.push_back(work);
        self.count.busiest = self.count.busiest.max(self.gateways[gateway].queue.len());
        self.begin(gateway);
    }

    fn begin(&mut self, gateway: usize) {
        let one = &mut self.gateways[gateway];
        if one.busy || !one.up {
            return;
        }
        let Some(work) = one.queue.front() else { return };
        one.busy = true;
        let takes = self.each * if matches!(work, Work::Handshake { .. }) { HANDSHAKE } else { 1.0 };
        let life = one.life;
        self.count.worked += takes;
        self.push(self.now + takes, What::Worked(gateway, life));
    }

    fn worked(&mut self, gateway: usize, life: u64) {
        if self.gateways[gateway].life != life {
            return;
        }
        self.gateways[gateway].busy = false;
        let Some(work) = self.gateways[gateway].queue.pop_front() else { return };
        match work {
            Work::Handshake { client, link } => {
                self.gateways[gateway].handshakes -= 1;
                if self.clients[client].links.contains_key(&link) {
                    self.clients[client].failures = 0;
                    let todo = self.clients[client].pool.on_connected(link, self.now);
                    self.carry_out(client, todo);
                } else {
                    self.count.wasted += self.each * HANDSHAKE;
                }
            }
            Work::Txn { client, link, call } => {
                let open =
                    self.calls.get(&call).is_some_and(|state| state.sent.is_some_and(|(_, on)| on == link));
                // The effect comes about whether anybody still waits or not.
                if self.calls.get(&call).is_some_and(|state| state.kind == 3) {
                    *self.count.effects.entry(call).or_default() += 1;
                }
                if open {
                    self.ended(call, AttemptOutcome::Success);
                    self.clients[client].failures = 0;
                    if std::mem::take(&mut self.clients[client].struck) {
                        self.count.served_again.push(self.now - LOST);
                    }
                    let todo = self.clients[client].pool.release(link, self.now);
                    self.carry_out(client, todo);
                } else {
                    self.count.wasted += self.each;
                }
            }
        }
        self.begin(gateway);
    }

    fn ended(&mut self, id: u64, end: AttemptOutcome) {
        let now = self.moment();
        let Some(state) = self.calls.get_mut(&id) else { return };
        let Some((sent, _)) = state.sent.take() else { return };
        let client = state.client;
        if end == AttemptOutcome::Success {
            if self.now - state.came <= SLA {
                self.count.in_time += REVENUE[state.kind];
            }
            self.calls.remove(&id);
            return;
        }
        if self.style != Style::Library {
            // Sent again after the wait, whatever it was, as long as anybody waits.
            self.clients[client].failures += 1;
            let came = state.came;
            let (wait, expires) = (self.wait(client), came + EXPIRY);
            let began = Timestamp { monotonic: came, wall: 1e12 + came };
            let Some(state) = self.calls.get_mut(&id) else { return };
            state.call = Call::new(Idempotency::Idempotent, EXPIRY, 5.0, began);
            if self.now + wait < expires {
                self.push(self.now + wait, What::Try(id));
            }
            return;
        }
        let sent = Timestamp { monotonic: sent, wall: 1e12 + sent };
        let clients = &mut self.clients[client];
        match state.call.on_attempt_ended(end, sent, &mut clients.budget, &mut clients.rng, &now) {
            NextStep::Attempt { backoff: after, .. } => self.push(self.now + after, What::Try(id)),
            NextStep::Finish(verdict) => {
                self.count.unknown += u64::from(verdict == CallOutcome::Unknown);
                self.calls.remove(&id);
            }
        }
    }

    /// Nobody waits for this call any more: what is out is closed.
    fn expire(&mut self, id: u64) {
        let Some(state) = self.calls.remove(&id) else { return };
        let (client, sent) = (state.client, state.sent);
        self.clients[client].pool.cancel_acquire(id);
        if state.kind == 3 && sent.is_some() {
            // Kept for the count of its effect only.
            self.calls.insert(id, CallState { sent: None, waiting: false, ..state });
        }
        if let Some((_, link)) = sent {
            self.clients[client].links.remove(&link);
            let todo = match self.style {
                Style::Library => self.clients[client].pool.on_timeout(link, self.now),
                _ => self.clients[client].pool.discard(link, self.now),
            };
            self.carry_out(client, todo);
        }
    }

    fn lose(&mut self) {
        let gateway = &mut self.gateways[0];
        (gateway.up, gateway.life, gateway.busy, gateway.handshakes) = (false, gateway.life + 1, false, 0);
        gateway.queue.clear();
        for client in 0..self.clients.len() {
            let lost: Vec<u64> = self.clients[client]
                .links
                .iter()
                .filter(|(_, gateway)| **gateway == 0)
                .map(|(link, _)| *link)
                .collect();
            for link in lost {
                self.clients[client].links.remove(&link);
                self.clients[client].struck = true;
                self.count.struck += 1;
                let out: Vec<u64> = self
                    .calls
                    .iter()
                    .filter(|(_, call)| call.client == client && call.sent.is_some_and(|(_, on)| on == link))
                    .map(|(id, _)| *id)
                    .take(1)
                    .collect();
                for id in out {
                    // Half of the payments on their way had come about; only the answer was lost.
                    if self.calls[&id].kind == 3 && self.rng.random::<f64>() < 0.5 {
                        *self.count.effects.entry(id).or_default() += 1;
                    }
                    self.ended(id, AttemptOutcome::ConnectionLost);
                }
                let state = &mut self.clients[client];
                let todo = match self.style {
                    Style::Library => state.pool.on_connection_lost(link, None, self.now),
                    _ => state.pool.discard(link, self.now),
                };
                self.carry_out(client, todo);
                // Apps of their own dial at once, whether they ask or not: they hold a connection.
                if self.style != Style::Library {
                    let todo = self.clients[client].pool.acquire(u64::MAX - client as u64, 0.0, self.now);
                    self.carry_out(client, todo);
                }
            }
        }
    }
}

/// Plays the loss in all four ways; the figures, and whether the library held what it must.
pub fn run(sizes: &Sizes) -> (Value, bool) {
    let until = sizes.seconds as Ms * 1000.0;
    let mut rows = serde_json::Map::new();
    let mut figures: BTreeMap<Style, (f64, u64, u64, f64)> = BTreeMap::new();
    let styles = [
        ("library", Style::Library),
        ("immediate", Style::Immediate),
        ("fixed_wait", Style::Fixed),
        ("exponential_without_jitter", Style::Exponential),
    ];
    for (name, style) in styles {
        let mut count = Crowd::new(style, sizes).play(until);
        let lost = (LOST / 1000.0) as u64;
        let after = |from: u64, to: u64| count.dials.range(lost + from..lost + to).map(|(_, dials)| *dials);
        let peak = after(0, 25).max().unwrap_or(0);
        let whole: u64 = after(0, 25).sum();
        count.served_again.sort_by(f64::total_cmp);
        let part = |part: f64| {
            let n = (count.struck as f64 * part).ceil() as usize;
            count.served_again.get(n.saturating_sub(1)).copied()
        };
        let (half, most) = (part(0.5), part(0.99));
        let repeated = count.effects.values().filter(|effects| **effects > 1).count() as u64;
        let in_time = count.in_time / count.asked;
        figures.insert(style, (in_time, peak, repeated, most.unwrap_or(f64::INFINITY)));
        rows.insert(
            name.to_string(),
            json!({
                "struck": count.struck, "dials_peak_a_second": peak, "dials_in_25_s": whole,
                "served_again_half_ms": half, "served_again_99_ms": most, "revenue_in_time": in_time,
                "wasted_work": count.wasted / count.worked, "payments_repeated": repeated,
                "unknown": count.unknown, "longest_queue": count.busiest,
                "dials_by_second": after(0, 12).collect::<Vec<_>>(),
            }),
        );
    }
    let library = figures[&Style::Library];
    let others = [Style::Immediate, Style::Fixed, Style::Exponential].map(|style| figures[&style]);
    let must = [
        ("no payment twice", library.2 == 0),
        ("returns spread over 3 to 10 s", (3_000.0..=10_000.0).contains(&library.3)),
        ("peak below a fifth of the immediate one's", library.1 * 5 < others[0].1),
        ("revenue lost lower than each baseline's", others.iter().all(|other| other.0 < library.0)),
    ];
    let broken: Vec<&str> = must.iter().filter(|(_, held)| !held).map(|(what, _)| *what).collect();
    let held = broken.is_empty();
    let figures = json!({"experiment": "crowd", "clients": sizes.clients, "gateways": sizes.gateways,
        "seconds": sizes.seconds, "seed": sizes.seed, "load": sizes.load, "ways": rows, "broken": broken,
        "servers": "simulated, in simulated time"});
    (figures, held)
}
