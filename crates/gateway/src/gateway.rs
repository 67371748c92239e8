//! The gateway: owns the decisions, open txns, the clock and timers. Notes of the drivers go in as events,
//! one wake-up's in one batch; actions are carried out in the order given.

use crate::config::Known;
use crate::counters::{COUNTERS, Metric};
use crate::discovery::calls::CallId;
use crate::discovery::ordered_client::{EndpointListClient, ListDecision};
use crate::invariant;
use crate::net::discovery_tasks::DiscoveryTasks;
use crate::net::list::List;
use crate::net::platform::Vote;
use crate::net::servers::{Errand, Pool, Stopped};
use crate::net::{Answer, CROSSING, NOTES_HELD, Note, list_kind};
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
    discovery: EndpointListClient,
    discovery_tasks: DiscoveryTasks,
    votes: mpsc::Sender<Vote>,
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
            discovery: EndpointListClient::new(list_addr),
            discovery_tasks: DiscoveryTasks::new(notes),
            votes,
        }
    }

    /// Starts from what was held, and serves until dropped.
    pub async fn run(mut self, held: Known, mut notes: mpsc::Receiver<Note>) {
        let told = held.news.map(|news| Event::RolloutUpdate(self.staged(news)));
        self.discovery.restore(held.list.version);
        let listed = self.apply_list(UpdateKind::CachedSnapshot, held.list);
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
        COUNTERS.batches.increment();
        let actions = self.choice.handle_events(self.clock.now(), events);
        for action in actions {
            self.act(action);
        }
        COUNTERS.now_txns.set(self.open.len());
        COUNTERS.now_timers.set(self.timers.len());
        self.pool.count();
    }

    fn hear(&mut self, note: Note, events: &mut Vec<Event>) {
        let now = self.clock.now();
        match note {
            Note::Txn { id, statement, came, reply } => {
                COUNTERS.txns.increment();
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
                invariant!(self.open.insert(id, open).is_none(), "a txn has an id of its own");
            }
            Note::Gone { id } => {
                COUNTERS.clients_gone.increment();
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
            Note::List { call, list } => self.on_list_answer(call, list, events),
            Note::Moved { list } => self.on_discovery_moved(list),
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
                COUNTERS.tallies_told.increment();
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

    /// A call for the endpoint list has delivered a list, or failed.
    fn on_list_answer(&mut self, call: CallId, list: Option<List>, events: &mut Vec<Event>) {
        let Some(list) = list else {
            if self.discovery.on_failure(call) {
                events.push(self.endpoint_update_failed());
            }
            return;
        };
        let decision = self.discovery.on_list(call, list.version, list.whole);
        self.run_discovery_commands();
        match decision {
            ListDecision::Ignored => {}
            ListDecision::Apply => {
                COUNTERS.list_changes.increment();
                tracing::debug!(list.version, list.whole, entries = list.entries.len(), "list: told");
                events.push(self.apply_list(list_kind(list.whole), list));
            }
            ListDecision::Discard { is_current } => {
                tracing::info!(list.version, list.whole, "list: not newer than the one held, asked for anew");
                COUNTERS.list_failures.increment();
                if is_current {
                    events.push(self.endpoint_update_failed());
                }
            }
        }
    }

    fn endpoint_update_failed(&self) -> Event {
        let list_version = self.discovery.held_version();
        Event::EndpointUpdate { kind: UpdateKind::Failed, list_version, entries: Vec::new() }
    }

    fn run_discovery_commands(&mut self) {
        self.discovery_tasks.run(self.discovery.take_commands());
    }

    /// Applies a list; what was not yet written to an instance that changed is decided anew.
    fn apply_list(&mut self, kind: UpdateKind, list: List) -> Event {
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
        COUNTERS.states_told.increment();
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
            Stopped::Unknown => drop(invariant!(false, "what has not ended is out somewhere")),
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
        count(ending).increment();
        let Some(sent) = self.sent(id, n) else {
            invariant!(false, "a submission ends once");
            return;
        };
        sent.ended = true;
        let (instance, took) = (sent.instance.clone(), now - sent.at);
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(value) = value.filter(|_| ending == AttemptOutcome::Success)
            && let Some(reply) = open.reply.take()
        {
            COUNTERS.settled.increment();
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
                self.discovery.set_watch(on);
                self.run_discovery_commands();
            }
            Action::FetchEndpoints => {
                self.discovery.fetch();
                self.run_discovery_commands();
            }
            Action::CastVote { version: build, stage, verdict } => {
                let vote = Vote { build, stage, verdict, cast: Instant::now() };
                invariant!(self.votes.try_send(vote).is_ok(), "few votes wait for the platform");
            }
            Action::Log(line) => tracing::info!("{line}"),
            // How gateways speak to each other is not laid down.
            Action::SendPeerMessage { .. } => {}
        }
    }

    /// The discovery service is at another address from now on.
    fn on_discovery_moved(&mut self, address: SocketAddr) {
        let tasks = &self.discovery_tasks;
        self.discovery.on_address_changed(address, |call| tasks.is_finished(call));
        self.run_discovery_commands();
    }

    fn answer(&mut self, id: RequestId, answer: Answer, count: &Metric) {
        let Some(reply) = self.open.get_mut(&id).and_then(|open| open.reply.take()) else { return };
        count.increment();
        let _ = reply.send(answer);
        self.closed(id);
    }

    fn submit(
        &mut self, id: RequestId, instance: String, limit: Option<Millis>, write_within: Option<Millis>,
    ) {
        let now = self.clock.now();
        let by = write_within.map(|within| now + within);
        let Some(open) = self.open.get_mut(&id) else {
            invariant!(false, "only open txns are sent on");
            return;
        };
        COUNTERS.submissions.increment();
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
        COUNTERS.probes.increment();
        self.probed += 1;
        let (errand, until) = (Errand::Probe(self.probed), now + self.connections.connect_timeout);
        self.probes.insert(self.probed, (instance.clone(), now));
        let allowed = invariant!(self.connections.health_checks, "probes only where allowed");
        if allowed && self.pool.send(&instance, errand, None, until, None, now) {
            self.remind(until, Due::Limit(errand));
        } else {
            self.hand_back(vec![errand]);
        }
    }
}

fn count(ending: AttemptOutcome) -> &'static Metric {
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
