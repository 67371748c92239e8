//! Which connections are opened, kept and closed, and which call gets one. Pure: a driver carries out what it says.
//!
//! A process sticks to one gateway, by a rank of its own, so that processes share gateways evenly. When that is lost,
//! all processes lose it at once: each comes back, there or to the next by its rank, at a moment of its own within some
//! seconds; first with one connection, and with more once that has answered.

use crate::call::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// After a loss the first dial is at a moment drawn from so many ms, doubling with each further failure.
const RETURN: Ms = 4_000.0;
const RETURN_MOST: Ms = 10_000.0;
/// ms in which a crowd of a thousand returns, where a gateway tells its size: it takes that many in as it can.
const RETURN_A_THOUSAND: Ms = 500.0;
/// Queries in a row without any answer, none from another, that tell of a gateway that is lost and says nothing.
const SILENT: u32 = 2;
/// A gateway that answered for so long has no failures behind it.
const SOUND: Ms = 30_000.0;
/// One of so many connections goes to whoever waits longest, whatever it waits with.
const FAIR: u64 = 4;
/// The age at which a connection is closed varies by this part, so that those opened together do not end together.
const AGE_VARIES: f64 = 0.2;

/// What bounds a pool.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections at once, and those being opened.
    pub connections: usize,
    pub dials: usize,
    /// Calls that wait for one.
    pub waiting: usize,
    /// ms after which an idle connection, and any, is closed: before gateways do.
    pub idle: Ms,
    pub age: Ms,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// Open a connection to a gateway, by its place in the list.
    Dial {
        link: u64,
        gateway: usize,
    },
    /// This call gets this connection.
    Give {
        call: u64,
        link: u64,
    },
    Close {
        link: u64,
    },
    /// Too many wait: this call gets none.
    Turn {
        call: u64,
    },
}

#[derive(Clone, Debug, Default)]
struct Gateway {
    /// Smaller ones go first for this process.
    rank: f64,
    failures: u32,
    /// Not dialled before.
    until: Ms,
    /// It answered last at; none: since its last failure it has not.
    answered: Option<Ms>,
    /// Queries in a row on which nothing came.
    silent: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Dialling,
    Idle(Ms),
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    gateway: usize,
    state: State,
    ends: Ms,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    call: u64,
    /// Higher ones go first when room is short.
    worth: f64,
    came: u64,
}

/// The connections of one process.
#[derive(Clone, Debug)]
pub struct Pool {
    bounds: Bounds,
    gateways: Vec<Gateway>,
    links: BTreeMap<u64, Link>,
    waiting: Vec<Waiter>,
    next: u64,
    given: u64,
    rng: Pcg64Mcg,
    /// No gateway is dialled before: the one that this process stuck to was just lost.
    moves: Ms,
}

impl Pool {
    /// A pool for so many gateways; the seed ranks them and spreads returns.
    pub fn new(gateways: usize, bounds: Bounds, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let gateway = |rank: f64| Gateway { rank, ..Gateway::default() };
        let gateways = (0..gateways).map(|_| gateway(rng.random())).collect();
        let (links, waiting) = Default::default();
        Pool { bounds, gateways, links, waiting, next: 0, given: 0, rng, moves: f64::NEG_INFINITY }
    }

    /// A call wants a connection.
    pub fn want(&mut self, call: u64, worth: f64, now: Ms) -> Vec<Do> {
        self.next += 1;
        self.waiting.push(Waiter { call, worth, came: self.next });
        let mut todo = Vec::new();
        if self.waiting.len() > self.bounds.waiting {
            // The one worth least goes, and of those the newest: it has lost least.
            let least = self
                .waiting
                .iter()
                .enumerate()
                .min_by(|(_, a), (_, b)| a.worth.total_cmp(&b.worth).then(b.came.cmp(&a.came)));
            if let Some(n) = least.map(|(n, _)| n) {
                todo.push(Do::Turn { call: self.waiting.remove(n).call });
            }
        }
        todo.extend(self.turn(now));
        todo
    }

    /// A call wants none any more.
    pub fn unwant(&mut self, call: u64) {
        self.waiting.retain(|waiter| waiter.call != call);
    }

    /// A connection is up.
    pub fn up(&mut self, link: u64, now: Ms) -> Vec<Do> {
        let age = self.bounds.age * (1.0 - AGE_VARIES * self.rng.random::<f64>());
        if let Some(link) = self.links.get_mut(&link) {
            (link.state, link.ends) = (State::Idle(now), now + age);
        }
        self.turn(now)
    }

    /// A connection did not come up.
    pub fn not_up(&mut self, link: u64, now: Ms) -> Vec<Do> {
        if let Some(link) = self.links.remove(&link) {
            self.failed(link.gateway, None, now);
        }
        self.turn(now)
    }

    /// A call is done with a connection, which may be used again.
    pub fn free(&mut self, link: u64, now: Ms) -> Vec<Do> {
        if let Some(link) = self.links.get_mut(&link) {
            link.state = State::Idle(now);
            let gateway = &mut self.gateways[link.gateway];
            (gateway.answered, gateway.silent) = (Some(now), 0);
        }
        self.turn(now)
    }

    /// Nothing came on a connection as long as was waited, and it was closed.
    pub fn silent(&mut self, link: u64, now: Ms) -> Vec<Do> {
        if let Some(link) = self.links.remove(&link) {
            let gateway = &mut self.gateways[link.gateway];
            gateway.silent += 1;
            if gateway.silent >= SILENT {
                self.failed(link.gateway, None, now);
            }
        }
        self.turn(now)
    }

    /// A call gave a connection up: the gateway did nothing wrong.
    pub fn dropped(&mut self, link: u64, now: Ms) -> Vec<Do> {
        self.links.remove(&link);
        self.turn(now)
    }

    /// A connection ended. Where nothing was under way on it that is no failure; where something was, its gateway is
    /// lost, and all that is open there with it. `crowd`: how many come back, where the gateway told it.
    pub fn broke(&mut self, link: u64, crowd: Option<u64>, now: Ms) -> Vec<Do> {
        let Some(link) = self.links.remove(&link) else { return Vec::new() };
        if link.state == State::Busy {
            self.failed(link.gateway, crowd, now);
        }
        self.turn(now)
    }

    fn failed(&mut self, n: usize, crowd: Option<u64>, now: Ms) {
        let gateway = &mut self.gateways[n];
        // Connections break together: the loss of one gateway is one failure.
        if gateway.until > now {
            return;
        }
        let sound = gateway.answered.is_some_and(|at| now - at < SOUND && gateway.failures > 0);
        gateway.failures = if sound { 1 } else { gateway.failures + 1 };
        (gateway.answered, gateway.silent) = (None, 0);
        let told = crowd.map_or(0.0, |crowd| RETURN_A_THOUSAND * crowd as f64 / 1000.0);
        let span = (RETURN * f64::from(1u32 << (gateway.failures - 1).min(8))).min(RETURN_MOST).max(told);
        gateway.until = now + span * self.rng.random::<f64>();
        // Neither are the others dialled at once: all processes that lost this one would move at the same moment.
        self.moves = self.moves.max(now + RETURN.max(told) * self.rng.random::<f64>());
    }

    /// Gives connections out, and opens and closes some.
    pub fn turn(&mut self, now: Ms) -> Vec<Do> {
        let mut todo = Vec::new();
        let over = |link: &Link| match link.state {
            State::Idle(since) => now - since >= self.bounds.idle || now >= link.ends,
            _ => false,
        };
        let ended: Vec<u64> = self.links.iter().filter(|(_, link)| over(link)).map(|(n, _)| *n).collect();
        for link in ended {
            self.links.remove(&link);
            todo.push(Do::Close { link });
        }
        loop {
            // The one used last: the others may idle out.
            let idle = self.links.iter().filter_map(|(n, link)| match link.state {
                State::Idle(since) => Some((*n, since)),
                _ => None,
            });
            let Some((link, _)) = idle.max_by(|a, b| a.1.total_cmp(&b.1)) else { break };
            let Some(call) = self.first() else { break };
            if let Some(link) = self.links.get_mut(&link) {
                link.state = State::Busy;
            }
            todo.push(Do::Give { call, link });
        }
        todo.extend(self.dial(now));
        todo
    }

    /// Who gets the next connection: whoever is worth most, and now and then whoever waits longest.
    fn first(&mut self) -> Option<u64> {
        self.given += 1;
        let fair = self.given.is_multiple_of(FAIR);
        let first = self.waiting.iter().enumerate().min_by(|(_, a), (_, b)| {
            let worth = if fair { std::cmp::Ordering::Equal } else { b.worth.total_cmp(&a.worth) };
            worth.then(a.came.cmp(&b.came))
        });
        let n = first.map(|(n, _)| n)?;
        Some(self.waiting.remove(n).call)
    }

    /// One more call waits than connections are being opened, and one more may be.
    fn room(&self) -> bool {
        let dialling = self.links.values().filter(|link| link.state == State::Dialling).count();
        let room = self.links.len() < self.bounds.connections && dialling < self.bounds.dials;
        room && self.waiting.len() > dialling
    }

    /// Gateways that may be dialled once their time has come. Half open, after a failure, one gets a single connection
    /// until it has answered.
    fn dialled(&self) -> impl Iterator<Item = (usize, &Gateway)> {
        let open: BTreeSet<usize> = self.links.values().map(|link| link.gateway).collect();
        let may = move |(n, gateway): &(usize, &Gateway)| {
            gateway.answered.is_some() || gateway.failures == 0 || !open.contains(n)
        };
        self.gateways.iter().enumerate().filter(may)
    }

    /// Opens as many as wait, within the bounds, to the first gateway by rank that may be dialled.
    fn dial(&mut self, now: Ms) -> Vec<Do> {
        let mut todo = Vec::new();
        while self.room() && now >= self.moves {
            let found = self.dialled().filter(|(_, gateway)| gateway.until <= now);
            let found = found.min_by(|(_, a), (_, b)| a.rank.total_cmp(&b.rank));
            let Some(gateway) = found.map(|(n, _)| n) else { break };
            self.next += 1;
            let link = self.next;
            self.links.insert(link, Link { gateway, state: State::Dialling, ends: f64::INFINITY });
            todo.push(Do::Dial { link, gateway });
        }
        todo
    }

    /// When [`Pool::turn`] is to be called next, at the latest.
    pub fn next(&self) -> Ms {
        let links = self.links.values().map(|link| match link.state {
            State::Idle(since) => (since + self.bounds.idle).min(link.ends),
            _ => f64::INFINITY,
        });
        // Where no room is left, or a gateway's one connection has yet to answer, only an event changes that.
        let dial = self.dialled().filter(|_| self.room()).map(|(_, gateway)| gateway.until.max(self.moves));
        let dial = dial.fold(f64::INFINITY, f64::min);
        links.fold(dial, f64::min)
    }

    /// Connections that are open or being opened.
    pub fn open(&self) -> usize {
        self.links.len()
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn bounds() -> Bounds {
        Bounds { connections: 4, dials: 2, waiting: 8, idle: 1_500.0, age: 60_000.0 }
    }

    fn dials(todo: &[Do]) -> Vec<(u64, usize)> {
        let dial =
            |one: &Do| if let Do::Dial { link, gateway } = one { Some((*link, *gateway)) } else { None };
        todo.iter().filter_map(dial).collect()
    }

    /// Ten thousand processes lose a gateway at once: when each dials again, and where.
    #[test]
    fn a_crowd_returns_over_seconds_and_shares_the_survivors() {
        let (mut by_tenth, mut by_gateway) = ([0u32; 120], [0u32; 5]);
        for seed in 0..10_000 {
            let mut pool = Pool::new(5, bounds(), seed);
            let todo = pool.want(1, 1.0, 0.0);
            let (link, lost) = dials(&todo)[0];
            assert!(pool.up(link, 5.0).contains(&Do::Give { call: 1, link }));
            pool.broke(link, None, 10.0);
            let mut todo = pool.want(2, 1.0, 10.0);
            let mut now = 10.0;
            while dials(&todo).is_empty() {
                now = pool.next().max(now);
                todo = pool.turn(now);
                assert!(now < 12_000.0, "{pool:?}");
            }
            by_tenth[((now - 10.0) / 100.0) as usize] += 1;
            by_gateway[dials(&todo)[0].1] += 1;
            assert!(dials(&todo)[0].1 != lost || now - 10.0 > 0.0);
        }
        let peak = by_tenth.iter().max().unwrap();
        assert!(*peak < 400, "of 10,000 in a tenth of a second: {peak}");
        assert!(by_gateway.iter().all(|count| (1_500..2_500).contains(count)), "{by_gateway:?}");
    }

    #[test]
    fn an_idle_connection_that_is_closed_is_no_failure() {
        let mut pool = Pool::new(1, bounds(), 1);
        let (link, _) = dials(&pool.want(1, 1.0, 0.0))[0];
        pool.up(link, 1.0);
        pool.free(link, 2.0);
        pool.broke(link, None, 3.0);
        assert_eq!(dials(&pool.want(2, 1.0, 4.0)).len(), 1, "dialled at once");
    }

    #[test]
    fn a_gateway_that_comes_back_gets_one_connection_until_it_has_answered() {
        let mut pool = Pool::new(1, bounds(), 1);
        let (link, _) = dials(&pool.want(0, 1.0, 0.0))[0];
        pool.up(link, 1.0);
        pool.broke(link, None, 2.0);
        let todo: Vec<Do> = (1..6).flat_map(|call| pool.want(call, 1.0, 3.0)).collect();
        assert!(dials(&todo).is_empty());
        let at = pool.next();
        let first = dials(&pool.turn(at));
        assert_eq!(first.len(), 1);
        assert!(dials(&pool.up(first[0].0, at + 1.0)).is_empty(), "half open");
        assert_eq!(dials(&pool.free(first[0].0, at + 2.0)).len(), 2, "as many as may be dialled at once");
    }

    #[test]
    fn a_gateway_that_takes_queries_and_says_nothing_is_lost_after_two() {
        let mut pool = Pool::new(2, bounds(), 1);
        let mut todo = pool.want(0, 1.0, 0.0);
        let first = dials(&todo)[0].1;
        for call in 1..3 {
            let (link, gateway) = dials(&todo)[0];
            assert_eq!(gateway, first);
            pool.up(link, 1.0);
            todo = pool.silent(link, 2.0);
            todo.extend(pool.want(call, 1.0, 2.0));
        }
        assert!(dials(&todo).is_empty());
        let todo = pool.turn(pool.next());
        assert!(!dials(&todo).is_empty());
    }

    #[test]
    fn payments_go_first_when_room_is_short_and_others_are_not_starved() {
        let mut pool = Pool::new(1, Bounds { connections: 1, waiting: 100, ..bounds() }, 1);
        let (link, _) = dials(&pool.want(0, 1.0, 0.0))[0];
        pool.up(link, 1.0);
        (1..=40).for_each(|call| drop(pool.want(call, if call > 20 { 3.0 } else { 1.0 }, 2.0)));
        let mut order = Vec::new();
        for n in 0..40 {
            let given = pool.free(link, 3.0 + f64::from(n));
            order.extend(given.into_iter().filter_map(|one| match one {
                Do::Give { call, .. } => Some(call),
                _ => None,
            }));
        }
        let payments = order.iter().take(20).filter(|call| **call > 20).count();
        assert!((14..=16).contains(&payments) && order.len() == 40, "{order:?}");
        let mut pool = Pool::new(1, Bounds { waiting: 2, ..bounds() }, 1);
        pool.want(1, 1.0, 0.0);
        pool.want(2, 3.0, 0.0);
        assert!(pool.want(3, 3.0, 0.0).contains(&Do::Turn { call: 1 }));
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        /// Over any order of events: bounds hold, each call is given one connection or turned away once, and no
        /// connection is two calls'.
        #[test]
        fn bounds_hold_and_no_connection_is_two_calls(
            steps in prop::collection::vec((0u8..7, any::<usize>(), 0.0f64..3_000.0), 0..200), seed: u64
        ) {
            let mut pool = Pool::new(3, bounds(), seed);
            let (mut dialling, mut busy, mut idle) = (Vec::new(), Vec::new(), BTreeSet::new());
            let (mut now, mut calls, mut ended) = (0.0, 0u64, BTreeSet::new());
            for (kind, pick, passes) in steps {
                let take = |from: &mut Vec<u64>| (!from.is_empty()).then(|| from.swap_remove(pick % from.len()));
                let todo = match kind {
                    0 | 1 => {
                        calls += 1;
                        pool.want(calls, (pick % 3) as f64, now)
                    }
                    2 => match take(&mut dialling) {
                        Some(link) => {
                            idle.insert(link);
                            pool.up(link, now)
                        }
                        None => Vec::new(),
                    },
                    3 => take(&mut dialling).map_or(Vec::new(), |link| pool.not_up(link, now)),
                    4 => match take(&mut busy) {
                        Some(link) => {
                            idle.insert(link);
                            pool.free(link, now)
                        }
                        None => Vec::new(),
                    },
                    5 => take(&mut busy).map_or(Vec::new(), |link| pool.broke(link, None, now)),
                    _ => {
                        now += passes;
                        pool.turn(now)
                    }
                };
                for one in todo {
                    match one {
                        Do::Dial { link, gateway } => {
                            prop_assert!(gateway < 3);
                            dialling.push(link);
                        }
                        Do::Give { call, link } => {
                            prop_assert!(idle.remove(&link) && ended.insert(call));
                            busy.push(link);
                        }
                        Do::Close { link } => prop_assert!(idle.remove(&link)),
                        Do::Turn { call } => prop_assert!(ended.insert(call)),
                    }
                }
                prop_assert!(pool.next() > now, "it would be looked at again and again");
                prop_assert!(pool.open() <= 4 && dialling.len() <= 2 && pool.waiting() <= 8);
                prop_assert_eq!(pool.open(), dialling.len() + busy.len() + idle.len());
                prop_assert_eq!(calls as usize, ended.len() + pool.waiting());
            }
        }
    }
}
