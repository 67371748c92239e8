//! The gateway: owns the decisions, open txns, the clock and timers. Notes of the drivers go in as events,
//! one wake-up's in one batch; actions are carried out in the order given.

use crate::config::Known;
use crate::counters::{COUNTERS, Count};
use crate::must;
use crate::net::list::{self, List};
use crate::net::platform::Vote;
use crate::net::servers::{Errand, Pool, Stopped};
use crate::net::{Answer, CROSSING, NOTES_HELD, Note, list_kind};
use crate::order::{Order, order};
use crate::proto::pg::{self, Statement};
use bytes::Bytes;
use latchhaven_policy::Policy;
use latchhaven_policy::RequestId;
use latchhaven_policy::{
    Action, AttemptOutcome, CompletedAttempt, Event, IncomingRequest, LoadReport, LoadReporting, Millis,
    OutcomeReport, RolloutState, UpdateKind, UpstreamConnectionConfig, VoteOutcome,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::select;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};

/// Unix time in ms at the start, and steady from there: the list gives starts of instances in Unix time.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: Millis,
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_secs_f64() * 1000.0, start: Instant::now() }
    }

    pub fn now(&self) -> Millis {
        self.unix + self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_secs_f64((at - self.unix).max(0.0) / 1000.0)
    }
}

/// A txn that was taken and is not yet over.
struct Open {
    statement: Rc<Statement>,
    expires: Millis,
    /// None: it has its final answer, or the client has gone away.
    reply: Option<oneshot::Sender<Answer>>,
    submissions: Vec<Sent>,
}

struct Sent {
    instance: String,
    at: Millis,
    ended: bool,
}

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(String),
    /// The gateway stops waiting for an errand.
    Limit(Errand),
    /// What was not written by now may not be written any more.
    Unwritten(Errand),
}

/// A call for the list that is out.
struct Call {
    number: u64,
    task: AbortHandle,
    /// It has told something.
    told: bool,
    /// How many lists had been taken over when it was made, or when it last told.
    lists: u64,
}

pub struct Gateway {
    choice: Policy,
    clock: Clock,
    open: BTreeMap<RequestId, Open>,
    pool: Pool,
    /// By microsecond.
    timers: BinaryHeap<Reverse<(u64, Due)>>,
    /// Events that actions brought about, for the next batch.
    next: Vec<Event>,
    probes: BTreeMap<u64, (String, Millis)>,
    probed: u64,
    connections: UpstreamConnectionConfig,
    /// The state of the newest build, and since when it stands so.
    news: Option<(RolloutState, Millis)>,
    list_addr: SocketAddr,
    version: u64,
    /// The calls for the list that are out; after a move the earlier watch goes on until the new one tells.
    watch: Option<Call>,
    leaving: Option<Call>,
    fetching: Option<Call>,
    called: u64,
    /// How many lists were taken over.
    lists: u64,
    votes: mpsc::Sender<Vote>,
    notes: mpsc::Sender<Note>,
}

impl Gateway {
    pub fn new(
        choice: Policy, clock: Clock, pool: Pool, connections: UpstreamConnectionConfig,
        list_addr: SocketAddr, votes: mpsc::Sender<Vote>, notes: mpsc::Sender<Note>,
    ) -> Self {
        Gateway {
            choice,
            clock,
            open: BTreeMap::new(),
            pool,
            timers: BinaryHeap::new(),
            next: Vec::new(),
            probes: BTreeMap::new(),
            probed: 0,
            connections,
            news: None,
            list_addr,
            version: 0,
            watch: None,
            leaving: None,
            fetching: None,
            called: 0,
            lists: 0,
            votes,
            notes,
        }
    }

    /// Starts from what was held, and serves until dropped.
    pub async fn run(mut self, held: Known, mut notes: mpsc::Receiver<Note>) {
        let told = held.news.map(|news| Event::RolloutUpdate(self.staged(news)));
        let listed = self.listed(UpdateKind::CachedSnapshot, held.list);
        self.decide(told.into_iter().chain([listed]).collect());
        let mut batch = Vec::new();
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| self.clock.instant(*at as f64 / 1000.0));
            // Tasks run in the order in which they were woken: all that this wake-up brought is there by now.
            if self.next.is_empty() {
                select! {
                    _ = notes.recv_many(&mut batch, NOTES_HELD) => {}
                    () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
                }
            } else {
                tokio::task::yield_now().await;
            }
            while let Ok(note) = notes.try_recv() {
                batch.push(note);
            }
            // What the list and the platform told comes before all that is decided after it.
            batch.sort_by_key(|note| {
                !matches!(note, Note::List { .. } | Note::Stage(_) | Note::VoteCompleted(_) | Note::Tally(_))
            });
            let mut events = std::mem::take(&mut self.next);
            for note in batch.drain(..) {
                self.hear(note, &mut events);
            }
            self.come_due(&mut events);
            if !events.is_empty() {
                self.decide(events);
            }
        }
    }

    fn decide(&mut self, events: Vec<Event>) {
        COUNTERS.batches.add();
        let actions = self.choice.handle_events(self.clock.now(), events);
        for action in actions {
            self.act(action);
        }
        COUNTERS.now_txns.now(self.open.len());
        COUNTERS.now_timers.now(self.timers.len());
        self.pool.count();
    }

    fn hear(&mut self, note: Note, events: &mut Vec<Event>) {
        let now = self.clock.now();
        match note {
            Note::Txn { id, statement, came, reply } => {
                COUNTERS.txns.add();
                let expires = came + statement.left;
                events.push(Event::RequestReceived(IncomingRequest {
                    id,
                    class: statement.product.clone(),
                    tenant: statement.tenant.clone(),
                    sticky_key: statement.item.clone(),
                    time_remaining: expires - now,
                    queued_for: now - came,
                    expected_work: statement.work,
                    is_retry: statement.repeat,
                    is_write: statement.write,
                }));
                let open = Open { statement, expires, reply: Some(reply), submissions: Vec::new() };
                must!(self.open.insert(id, open).is_none(), "a txn has an id of its own");
            }
            Note::Gone { id } => {
                COUNTERS.clients_gone.add();
                if let Some(open) = self.open.get_mut(&id) {
                    open.reply = None;
                    events.push(Event::ClientDisconnected { id });
                }
                self.closed(id);
            }
            Note::GiveUp { id } => events.push(Event::Abandon { id }),
            Note::Free { link, first } => self.pool.free(link, first, now),
            Note::NotUp { link } => {
                if let Some(errand) = self.pool.not_up(&link) {
                    self.ended(errand, AttemptOutcome::ConnectFailed, None, LoadReport::default(), events);
                }
            }
            Note::Over { link } => self.pool.over(&link),
            Note::Ended { link, ending, value, load } => {
                if let Some(errand) = self.pool.ended(&link) {
                    self.ended(errand, ending, value, load, events);
                }
            }
            Note::List { call, list } => self.hear_list(call, list, events),
            Note::Moved { list } => self.moved(list),
            Note::Stage(stage) => {
                let stage = self.staged(stage);
                events.push(Event::RolloutUpdate(stage));
            }
            Note::VoteCompleted(VoteOutcome::Counted(stage)) => {
                let stage = self.staged(stage);
                events.push(Event::VoteCompleted(VoteOutcome::Counted(stage)));
            }
            Note::VoteCompleted(outcome) => events.push(Event::VoteCompleted(outcome)),
            Note::Tally(tally) => {
                COUNTERS.tallies_told.add();
                tracing::debug!(?tally, "platform: tally");
                events.push(Event::OutcomesReported(OutcomeReport {
                    version: tally.build,
                    class: tally.product,
                    attempts: tally.count,
                    failures: tally.failed,
                    mean_latency: tally.took,
                    age: tally.age,
                }));
            }
        }
    }

    /// A call for the list has told something, or failed.
    fn hear_list(&mut self, number: u64, list: Option<List>, events: &mut Vec<Event>) {
        let is = |out: &Option<Call>| out.as_ref().is_some_and(|out| out.number == number);
        let new = is(&self.watch) || is(&self.fetching);
        let calls = [&mut self.watch, &mut self.fetching, &mut self.leaving];
        // Others were made before a move, or before a later call.
        let Some(Some(out)) = calls.into_iter().find(|out| is(out)) else { return };
        if let Some(list) = list {
            match order(self.version, list.version, list.whole, out.lists < self.lists) {
                Order::Newer => {
                    (out.told, out.lists) = (true, self.lists + 1);
                    // Both would tell the same, and the earlier one later.
                    self.leaving.take_if(|_| new).inspect(|earlier| earlier.task.abort());
                    COUNTERS.list_changes.add();
                    tracing::debug!(list.version, list.whole, entries = list.entries.len(), "list: told");
                    let event = self.listed(list_kind(list.whole), list);
                    return events.push(event);
                }
                Order::Older => {}
                // What it changes is not known here: the whole list has to come.
                Order::Gapped => self.version = 0,
            }
            tracing::info!(list.version, list.whole, "list: not newer than the one held, asked for anew");
            COUNTERS.list_failures.add();
            out.task.abort();
        }
        if new {
            let (kind, version) = (UpdateKind::Failed, self.version);
            events.push(Event::EndpointUpdate { kind, list_version: version, entries: Vec::new() });
        }
    }

    /// Takes over a list; what was not yet written to an instance that changed is decided anew.
    fn listed(&mut self, kind: UpdateKind, list: List) -> Event {
        (self.version, self.lists) = (list.version, self.lists + 1);
        let mut back = Vec::new();
        if kind != UpdateKind::Delta {
            let here = |id: &String| list.entries.iter().any(|(listing, _)| listing.endpoint == *id);
            let left: Vec<String> = self.pool.listed().into_iter().filter(|id| !here(id)).collect();
            left.iter().for_each(|id| back.append(&mut self.pool.delist(id)));
        }
        for (listing, addr) in &list.entries {
            back.append(&mut self.pool.relist(listing, *addr));
        }
        self.hand_back(back);
        let entries = list.entries.into_iter().map(|(listing, _)| listing).collect();
        Event::EndpointUpdate { kind, list_version: list.version, entries }
    }

    /// Takes over news of the newest build. Feed and answers to votes come on connections of their own and
    /// may cross: the state that began last stands.
    fn staged(&mut self, stage: RolloutState) -> RolloutState {
        COUNTERS.states_told.add();
        tracing::debug!(?stage, "platform: state");
        let now = self.clock.now();
        let since = now - stage.age;
        let said = |news: &RolloutState| (news.version, news.stage, news.phase, news.traffic_cap);
        match &self.news {
            Some((held, _)) if said(held) == said(&stage) => return stage,
            Some((held, from))
                if stage.version < held.version
                    || (stage.version == held.version && since < from - CROSSING) =>
            {
                return RolloutState { age: now - from, ..*held };
            }
            _ => self.news = Some((stage, since)),
        }
        // Decided under the news before, and not yet written: it would count under these.
        let back = self.pool.unwritten();
        self.hand_back(back);
        stage
    }

    fn hand_back(&mut self, errands: Vec<Errand>) {
        let mut events = Vec::new();
        for errand in errands {
            self.ended(errand, AttemptOutcome::NotSent, None, LoadReport::default(), &mut events);
        }
        self.next.append(&mut events);
    }

    fn come_due(&mut self, events: &mut Vec<Event>) {
        let now = (self.clock.now() * 1000.0) as u64;
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, due))) = self.timers.pop() else { return };
            match due {
                Due::Wake(token) => events.push(Event::TimerFired { token }),
                Due::Limit(errand) => self.stop(errand, AttemptOutcome::Timeout, events),
                Due::Unwritten(errand) => self.take_back(errand, events),
            }
        }
    }

    fn remind(&mut self, at: Millis, due: Due) {
        self.timers.push(Reverse(((at.max(0.0) * 1000.0).ceil() as u64, due)));
    }

    /// Stops waiting for an errand. What was never written never ran.
    fn stop(&mut self, errand: Errand, ending: AttemptOutcome, events: &mut Vec<Event>) {
        let instance = match errand {
            Errand::Submission { id, n } => self.sent(id, n).map(|sent| sent.instance.clone()),
            Errand::Probe(number) => self.probes.get(&number).map(|(instance, _)| instance.clone()),
        };
        let Some(instance) = instance else { return };
        match self.pool.stop(&instance, errand) {
            Stopped::Written => self.ended(errand, ending, None, LoadReport::default(), events),
            Stopped::Unwritten => {
                self.ended(errand, AttemptOutcome::NotSent, None, LoadReport::default(), events)
            }
            Stopped::Unknown => drop(must!(false, "what has not ended is out somewhere")),
        }
    }

    /// Gives up an errand if its last byte was not written yet.
    fn take_back(&mut self, errand: Errand, events: &mut Vec<Event>) {
        let Errand::Submission { id, n } = errand else { return };
        let Some(instance) = self.sent(id, n).map(|sent| sent.instance.clone()) else { return };
        if self.pool.take_back(&instance, errand) {
            self.ended(errand, AttemptOutcome::NotSent, None, LoadReport::default(), events);
        }
    }

    /// A txn has its final answer, or its client has gone: what waits for a connection is sent no more,
    /// whether the decisions may recall or not.
    fn closed(&mut self, id: RequestId) {
        let count = self.open.get(&id).map_or(0, |open| open.submissions.len() as u32);
        let mut events = Vec::new();
        for n in 0..count {
            self.take_back(Errand::Submission { id, n }, &mut events);
        }
        self.next.append(&mut events);
        self.forget(id);
    }

    /// A submission that has not ended.
    fn sent(&mut self, id: RequestId, n: u32) -> Option<&mut Sent> {
        self.open.get_mut(&id)?.submissions.get_mut(n as usize).filter(|sent| !sent.ended)
    }

    /// The one ending of an errand. The first value goes to the client at once.
    fn ended(
        &mut self, errand: Errand, ending: AttemptOutcome, value: Option<[Bytes; 3]>, load: LoadReport,
        events: &mut Vec<Event>,
    ) {
        let now = self.clock.now();
        let (id, n) = match errand {
            Errand::Submission { id, n } => (id, n),
            Errand::Probe(number) => {
                let Some((instance, at)) = self.probes.remove(&number) else { return };
                let report = value
                    .as_ref()
                    .filter(|_| self.connections.load_reporting == LoadReporting::InHealthChecks);
                let load = report.and_then(|[_, row, _]| pg::text_of(row)).map(pg::load).unwrap_or(load);
                return events.push(Event::HealthCheckCompleted {
                    endpoint: instance,
                    outcome: ending,
                    elapsed: now - at,
                    load,
                });
            }
        };
        count(ending).add();
        let Some(sent) = self.sent(id, n) else {
            must!(false, "a submission ends once");
            return;
        };
        sent.ended = true;
        let (instance, took) = (sent.instance.clone(), now - sent.at);
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(value) = value.filter(|_| ending == AttemptOutcome::Success)
            && let Some(reply) = open.reply.take()
        {
            COUNTERS.settled.add();
            let _ = reply.send(Answer::Settled(value));
        }
        let closed = open.reply.is_none();
        events.push(Event::AttemptCompleted(CompletedAttempt {
            id,
            attempt: n,
            endpoint: instance,
            outcome: ending,
            is_final: closed,
            elapsed: took,
            load,
        }));
        if closed {
            self.closed(id)
        }
    }

    /// Drops a txn that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        let over = |open: &Open| open.reply.is_none() && open.submissions.iter().all(|sent| sent.ended);
        if self.open.get(&id).is_some_and(over) {
            self.open.remove(&id);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, endpoint: instance, timeout: limit, write_within } => {
                self.submit(id, instance, limit, write_within)
            }
            Action::Reject { id, retry_after: come_back } => {
                self.answer(id, Answer::Declined { come_back }, &COUNTERS.declined);
            }
            Action::Fail { id } => self.answer(id, Answer::Voided, &COUNTERS.voided),
            Action::CancelAttempt { id, attempt: submission } => {
                let mut events = Vec::new();
                self.stop(Errand::Submission { id, n: submission }, AttemptOutcome::Cancelled, &mut events);
                self.next.append(&mut events);
            }
            Action::SetTimer { after, token } => self.remind(self.clock.now() + after, Due::Wake(token)),
            Action::HealthCheck { endpoint: instance } => self.probe(instance),
            Action::CloseIdleConnections { endpoint: instance } => self.pool.close_idle(&instance),
            Action::WatchEndpoints { enabled: on } => {
                self.watch.take().inspect(|watch| watch.task.abort());
                if on {
                    self.watch();
                }
            }
            Action::FetchEndpoints => self.fetch(),
            Action::CastVote { version: build, stage, verdict } => {
                let vote = Vote { build, stage, verdict, cast: Instant::now() };
                must!(self.votes.try_send(vote).is_ok(), "few votes wait for the platform");
            }
            Action::Log(line) => tracing::info!("{line}"),
            // How gateways speak to each other is not laid down.
            Action::SendPeerMessage { .. } => {}
        }
    }

    fn call(&mut self, task: impl Future<Output = ()> + 'static) -> Option<Call> {
        let task = tokio::task::spawn_local(task).abort_handle();
        Some(Call { number: self.called, task, told: false, lists: self.lists })
    }

    fn watch(&mut self) {
        self.called += 1;
        self.watch = self.call(list::watch(self.list_addr, self.version, self.called, self.notes.clone()));
    }

    fn fetch(&mut self) {
        self.called += 1;
        let fetch = self.call(list::fetch(self.list_addr, self.called, self.notes.clone()));
        std::mem::replace(&mut self.fetching, fetch).inspect(|earlier| earlier.task.abort());
    }

    /// Calls that are out, or were to be made again later, go to the new address at once.
    fn moved(&mut self, list: SocketAddr) {
        if std::mem::replace(&mut self.list_addr, list) == list {
            return;
        }
        if let Some(watch) = self.watch.take() {
            // Of two that are out the one that has told goes on: the other one may never tell anything.
            let earlier = self.leaving.take().filter(|earlier| !earlier.task.is_finished());
            let (goes_on, ends) = match earlier {
                Some(earlier) if !watch.told => (earlier, Some(watch)),
                earlier => (watch, earlier),
            };
            ends.inspect(|ends| ends.task.abort());
            self.leaving = Some(goes_on);
            self.watch();
        }
        if self.fetching.as_ref().is_some_and(|fetch| !fetch.task.is_finished()) {
            self.fetch();
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer, count: &Count) {
        let Some(reply) = self.open.get_mut(&id).and_then(|open| open.reply.take()) else { return };
        count.add();
        let _ = reply.send(answer);
        self.closed(id);
    }

    fn submit(
        &mut self, id: RequestId, instance: String, limit: Option<Millis>, write_within: Option<Millis>,
    ) {
        let now = self.clock.now();
        let by = write_within.map(|within| now + within);
        let Some(open) = self.open.get_mut(&id) else {
            must!(false, "only open txns are sent on");
            return;
        };
        COUNTERS.submissions.add();
        let until = limit.map_or(open.expires, |limit| (now + limit).min(open.expires));
        let n = open.submissions.len() as u32;
        open.submissions.push(Sent { instance: instance.clone(), at: now, ended: false });
        let (errand, wanted) = (Errand::Submission { id, n }, open.reply.is_some() && until > now);
        let statement = open.statement.clone();
        let at = by.map(|by| self.clock.instant(by));
        if wanted && self.pool.send(&instance, errand, Some(statement), until, at, now) {
            self.remind(until, Due::Limit(errand));
            by.filter(|by| *by < until).into_iter().for_each(|by| self.remind(by, Due::Unwritten(errand)));
        } else {
            self.hand_back(vec![errand]);
        }
    }

    fn probe(&mut self, instance: String) {
        let now = self.clock.now();
        COUNTERS.probes.add();
        self.probed += 1;
        let (errand, until) = (Errand::Probe(self.probed), now + self.connections.connect_timeout);
        self.probes.insert(self.probed, (instance.clone(), now));
        let allowed = must!(self.connections.health_checks, "probes only where allowed");
        if allowed && self.pool.send(&instance, errand, None, until, None, now) {
            self.remind(until, Due::Limit(errand));
        } else {
            self.hand_back(vec![errand]);
        }
    }
}

fn count(ending: AttemptOutcome) -> &'static Count {
    match ending {
        AttemptOutcome::Success => &COUNTERS.sub_settled,
        AttemptOutcome::Error => &COUNTERS.sub_error,
        AttemptOutcome::Rejected => &COUNTERS.sub_turned_away,
        AttemptOutcome::Timeout => &COUNTERS.sub_no_answer,
        AttemptOutcome::ConnectFailed => &COUNTERS.sub_no_connection,
        AttemptOutcome::ConnectionLost => &COUNTERS.sub_lost,
        AttemptOutcome::Cancelled => &COUNTERS.sub_recalled,
        AttemptOutcome::NotSent => &COUNTERS.sub_not_sent,
    }
}
