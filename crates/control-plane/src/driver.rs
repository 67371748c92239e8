//! The driver round [`ControlPlane`]: sockets, disk, signals and the clock.

use crate::control_plane::ControlPlane;
use crate::state_store;
use ipnet::IpNet;
use latchhaven_gateway::gateway::Clock;
use latchhaven_gateway::net::platform::Vote;
use latchhaven_gateway::net::{NOTES_HELD, Note, VOTES_HELD, list, platform};
use latchhaven_operator_config::{ControlConfig, OutcomeSource};
use latchhaven_policy::{Action, Event, OutcomeReport, VoteOutcome};
use latchhaven_proxy_config::proxy_config;
use latchhaven_proxy_config::version::VersionSigner;
use latchhaven_simulator_protocol::WireFault;
use latchhaven_simulator_protocol::terms::{self, Terms};
use latchhaven_xds::resources::ListenerConfig;
use latchhaven_xds::server::{self, SentCounters, ServerContext, ServerEvent};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::select;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tonic::Status;

/// What streams have told and was not taken in yet; a stream that tells more waits.
const TOLD_HELD: usize = 1024;
/// Threads that write to proxies: more bring nothing that a network would carry.
const THREADS_MOST: usize = 4;
/// Taken in at most before the decisions are asked again.
const BATCH: usize = 256;

/// The settings of a plan, read and checked.
///
/// # Errors
/// What is wrong with them, beginning with the key.
pub fn settings(plan: &ControlConfig) -> Result<Terms, String> {
    terms::read(&plan.settings.to_string()).map_err(|why| match why {
        WireFault::Settings(why) => format!("settings.{why}"),
        why => format!("settings: {why}"),
    })
}

/// Serves as a plan says, until SIGTERM or SIGINT, within a `LocalSet` on a runtime of one thread.
///
/// # Errors
/// Settings that cannot be, a key that cannot be read, or a listener that cannot be had.
pub async fn serve(plan: ControlConfig) -> io::Result<()> {
    let (mut term, mut int) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut asked = signal(SignalKind::user_defined1())?;
    let clock = Clock::start();
    let key = plan.shared_key_file.as_ref().map(|path| {
        let unread = |fault| io::Error::other(format!("shared_key_file: {}: {fault}", path.display()));
        std::fs::read(path).map_err(unread)
    });
    let key = key.transpose()?;
    let given = settings(&plan).map_err(io::Error::other)?.asking();
    let (connections, (exposure, cold, submissions)) = (given.connections(), given.bounds());
    let terms = proxy_config::ProxyConfigSettings {
        classes: given.products(),
        exposure,
        slow_start: cold,
        max_attempts: submissions,
        max_in_flight_per_endpoint: plan.xds.in_flight_per_host,
    };
    let front = ListenerConfig {
        address: plan.xds.listener,
        class_header: plan.xds.product_header.clone(),
        key_header: plan.xds.key_header.clone(),
        connect_timeout: f64::from(plan.xds.connect_within_ms),
        separate_endpoints: plan.xds.hosts_apart,
    };
    let (keeper, kept) = state_store::open(plan.state.as_deref());
    let labels = VersionSigner::new(key);
    let products: Arc<Vec<String>> = Arc::new(terms.classes.iter().map(|known| known.name.clone()).collect());
    let platform_only = plan.xds.evidence == OutcomeSource::Platform;
    let choice = given.start(plan.seed);
    let core =
        ControlPlane::new(choice, terms, front, labels.clone(), plan.xds.streams_most, platform_only, kept);

    let listener = std::net::TcpListener::bind(plan.xds.listen)
        .map_err(|fault| io::Error::new(fault.kind(), format!("xds.listen: {}: {fault}", plan.xds.listen)))?;
    listener.set_nonblocking(true)?;
    let listening = listener.local_addr()?;
    let (notes, noted) = mpsc::channel(NOTES_HELD);
    let (votes, cast) = mpsc::channel(VOTES_HELD);
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let (_platform, at) = watch::channel(plan.platform);
    let within = Duration::from_secs_f64(connections.vote_timeout / 1000.0);
    tokio::task::spawn_local(platform::feed(at.clone(), Pcg64Mcg::from_rng(&mut rng), notes.clone()));
    tokio::task::spawn_local(platform::votes(at, within, cast, notes.clone()));
    let (told, telling) = mpsc::channel(TOLD_HELD);
    let (snapshots, handed) = watch::channel(None);
    let sent = Arc::new(SentCounters::default());
    let ground = ServerContext {
        snapshots: handed,
        events: told,
        signer: labels,
        classes: products,
        counters: sent.clone(),
    };
    let front = beside(listener, plan.xds.allowed_networks.clone(), plan.xds.streams_most, ground)?;
    tracing::info!(name = plan.name, %listening, "control service starts");
    let hub = ControlPlaneDriver {
        core,
        clock,
        list_addr: plan.discovery,
        version: 0,
        watch: None,
        fetching: None,
        called: 0,
        votes,
        notes,
        turns: BTreeMap::new(),
        keeper,
        snapshots,
    };
    let printing = async {
        while asked.recv().await.is_some() {
            let of = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
            let (messages, bytes) = (of(&sent.messages), of(&sent.bytes));
            let (apart, apart_bytes) = (of(&sent.incremental_messages), of(&sent.incremental_bytes));
            tracing::info!(messages, bytes, apart, apart_bytes, "counters");
        }
    };
    select! {
        _ = term.recv() => tracing::info!("control service stops: proxies keep what they have"),
        _ = int.recv() => tracing::info!("control service stops: proxies keep what they have"),
        served = front => served.map_err(io::Error::other)??,
        () = hub.run(noted, telling) => {}
        () = printing => {}
    }
    Ok(())
}

/// Serves proxies on threads of their own: writing whole states to a crowd must not delay decisions, which one thread
/// takes without locks. What crosses between them are two channels.
fn beside(
    listener: std::net::TcpListener, allowed: Vec<IpNet>, streams_most: usize, ground: ServerContext,
) -> io::Result<oneshot::Receiver<io::Result<()>>> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(THREADS_MOST);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build()?;
    let (ended, end) = oneshot::channel();
    std::thread::spawn(move || {
        let served = runtime.block_on(async {
            let listener = TcpListener::from_std(listener)?;
            server::serve(listener, allowed, streams_most, ground).await
        });
        let _ = ended.send(served);
    });
    Ok(end)
}

struct ControlPlaneDriver {
    core: ControlPlane,
    clock: Clock,
    list_addr: SocketAddr,
    version: u64,
    watch: Option<(u64, AbortHandle)>,
    fetching: Option<(u64, AbortHandle)>,
    called: u64,
    votes: mpsc::Sender<Vote>,
    notes: mpsc::Sender<Note>,
    turns: BTreeMap<u64, oneshot::Sender<Result<(), Status>>>,
    keeper: Option<state_store::StateWriter>,
    snapshots: watch::Sender<Option<Arc<latchhaven_xds::resources::ResourceSnapshot>>>,
}

impl ControlPlaneDriver {
    async fn run(mut self, mut noted: mpsc::Receiver<Note>, mut telling: mpsc::Receiver<ServerEvent>) {
        let (mut notes, mut told) = (Vec::new(), Vec::new());
        loop {
            let now = self.clock.now();
            let wait = (self.core.next_poll_at(now) - now).clamp(0.0, 1_000.0);
            let until = Instant::now() + Duration::from_secs_f64(wait / 1000.0);
            select! {
                biased;
                count = noted.recv_many(&mut notes, BATCH) => if count == 0 { return },
                count = telling.recv_many(&mut told, BATCH) => if count == 0 { return },
                () = sleep_until(until) => {}
            }
            let now = self.clock.now();
            notes.drain(..).for_each(|note| self.note(note, now));
            told.drain(..).for_each(|told| self.told(told, now));
            let doings = self.core.poll(now);
            for stream in doings.admitted_streams {
                let begun = self.turns.remove(&stream).is_some_and(|turn| turn.send(Ok(())).is_ok());
                if !begun {
                    self.core.on_stream_closed(stream, now);
                }
            }
            doings.actions.into_iter().for_each(|action| self.act(action));
            if let Some((snapshot, kept)) = doings.published {
                self.keeper.iter().for_each(|keeper| keeper.persist(kept.clone()));
                self.snapshots.send_replace(Some(snapshot));
            }
        }
    }

    fn note(&mut self, note: Note, now: f64) {
        match note {
            Note::List { call, list: told } => {
                let is = |out: &Option<(u64, AbortHandle)>| {
                    out.as_ref().is_some_and(|(number, _)| *number == call)
                };
                match told {
                    Some(list) if is(&self.watch) || is(&self.fetching) => {
                        // Watched from here on, once it was heard whole.
                        let first = self.version == 0 && list.whole;
                        self.version = if list.whole || self.version > 0 { list.version } else { 0 };
                        self.core.on_endpoint_list(list.version, list.whole, list.entries, now);
                        if first {
                            self.watch();
                        }
                    }
                    None if is(&self.watch) || is(&self.fetching) => self.core.on_endpoint_list_failed(),
                    _ => {}
                }
            }
            Note::Stage(news) => self.core.on_rollout_state(news, now),
            Note::VoteCompleted(outcome) => self.core.on_vote_completed(outcome, now),
            Note::Tally(tally) => {
                let report = OutcomeReport {
                    version: tally.build,
                    class: tally.product,
                    attempts: tally.count,
                    failures: tally.failed,
                    mean_latency: tally.took,
                    age: tally.age,
                };
                self.core.on_outcome_report(Event::OutcomesReported(report), now);
            }
            // Of gateways: there are no txns here.
            _ => {}
        }
    }

    fn told(&mut self, told: ServerEvent, now: f64) {
        match told {
            ServerEvent::StreamOpened { stream, node, reports_loads: loads, admitted: turn } => {
                let room = match loads {
                    true => self.core.open_load_stream(stream, &node),
                    false => self.core.request_stream(stream, node, now),
                };
                let full = || Status::resource_exhausted("too many streams: come again later");
                match (room, loads) {
                    (false, _) => drop(turn.send(Err(full()))),
                    (true, false) => drop(self.turns.insert(stream, turn)),
                    (true, true) if turn.send(Ok(())).is_err() => self.core.on_stream_closed(stream, now),
                    (true, true) => {}
                }
            }
            ServerEvent::StreamEvents { stream, events: said } => {
                self.core.on_stream_events(stream, said, now)
            }
            ServerEvent::RoutesSent { stream, canary_shares: trial } => {
                self.core.on_routes_sent(stream, &trial, now)
            }
            ServerEvent::LoadReport { stream, report, result: sound } => {
                let taken = self.core.on_load_report(stream, &report, now);
                let _ = sound.send(taken.map_err(|error| error.to_string()));
            }
            ServerEvent::StreamClosed { stream } => {
                self.turns.remove(&stream);
                self.core.on_stream_closed(stream, now);
            }
        }
    }

    fn watch(&mut self) {
        self.called += 1;
        let watch = list::watch(self.list_addr, self.version, self.called, self.notes.clone());
        let watch = tokio::task::spawn_local(watch).abort_handle();
        self.watch.replace((self.called, watch)).inspect(|(_, earlier)| earlier.abort());
    }

    fn fetch(&mut self) {
        self.called += 1;
        let fetch = list::fetch(self.list_addr, self.called, self.notes.clone());
        let fetch = tokio::task::spawn_local(fetch).abort_handle();
        self.fetching.replace((self.called, fetch)).inspect(|(_, earlier)| earlier.abort());
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::WatchEndpoints { enabled: on } => {
                self.watch.take().inspect(|(_, watch)| watch.abort());
                match (on, self.version) {
                    (true, 0) => self.fetch(),
                    (true, _) => self.watch(),
                    (false, _) => {}
                }
            }
            Action::FetchEndpoints => self.fetch(),
            Action::CastVote { version: build, stage, verdict } => {
                let vote = Vote { build, stage, verdict, cast: Instant::now() };
                if self.votes.try_send(vote).is_err() {
                    self.core.on_vote_completed(VoteOutcome::NotCounted, self.clock.now());
                }
            }
            Action::Log(line) => tracing::info!("{line}"),
            // Of gateways that carry txns themselves.
            _ => {}
        }
    }
}
