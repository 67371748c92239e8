//! Plays a schedule: carries out each fault as its time comes, and what follows from it later.

use super::clients::{ClientSetup, start_client, start_connection_flood};
use super::directory::Directory;
use super::fleet::{Fleet, SHUTDOWN_TIME};
use super::schedule::{Fault, Schedule};
use super::sizes::Sizes;
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::history::{ArrivalRecord, History, RequestEnd, RequestRecord};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(2);
/// Time between two keepalives of discovery.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// From the listing of a server as draining until it turns requests away.
const DRAIN_NOTICE: Duration = Duration::from_millis(200);
/// From there until its process ends.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// From there until another process answers at its address, and from there until it is listed.
const BOOT_TIME: Duration = Duration::from_millis(1500);
/// A query to a server that drains was not executed.
const DRAINING: ServerBehavior = ServerBehavior::Fail("53300");
/// Client numbers of floods of connections begin here.
const FIRST_FLOOD: usize = 1 << 16;

/// What follows from a fault later.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill { gateway: usize },
    Resume { gateway: usize },
    RecoverDiscovery { gateway: usize },
    TurnAway { server: usize },
    Vanish { server: usize },
    Boot { server: usize },
    List { server: usize },
    Answer { server: usize },
}

/// What a run has left behind.
pub(super) struct Outcome {
    pub(super) history: History,
    pub(super) served: usize,
    pub(super) rejected: usize,
    pub(super) crashes: Vec<String>,
}

/// A run.
pub(super) struct Run {
    sizes: Sizes,
    started_at: Instant,
    servers: Vec<FakeServer>,
    /// Servers that are being replaced or hang.
    busy_servers: Vec<bool>,
    directory: Directory,
    fleet: Fleet,
    setups: Vec<ClientSetup>,
    threads: Vec<JoinHandle<()>>,
    is_over: Arc<AtomicBool>,
    records: mpsc::Receiver<RequestRecord>,
    steps: Vec<(Duration, Step)>,
    floods: usize,
}

impl Run {
    /// Starts servers, discovery, gateways and clients.
    pub(super) fn start(sizes: &Sizes) -> Self {
        let started_at = Instant::now();
        let servers: Vec<FakeServer> =
            (0..sizes.servers).map(|_| FakeServer::start(ServerBehavior::Succeed)).collect();
        let addresses: Vec<_> = servers.iter().map(|server| server.addr).collect();
        let directory = Directory::start(started_at, &addresses, sizes.gateways);
        let fleet = Fleet::start(started_at, &directory, sizes.gateways);
        let is_over = Arc::new(AtomicBool::new(false));
        let (sender, records) = mpsc::channel();
        let setup = |(gateway, address)| ClientSetup {
            gateway,
            address,
            started_at,
            is_over: is_over.clone(),
            records: sender.clone(),
        };
        let setups: Vec<ClientSetup> = fleet.addresses().into_iter().enumerate().map(setup).collect();
        let clients = setups.iter().flat_map(|setup| {
            (0..sizes.clients).map(|index| {
                let number = setup.gateway * sizes.clients + index;
                start_client(setup.clone(), number, sizes.seed)
            })
        });
        Run {
            sizes: sizes.clone(),
            started_at,
            busy_servers: vec![false; servers.len()],
            servers,
            directory,
            fleet,
            threads: clients.collect(),
            setups,
            is_over,
            records,
            steps: Vec::new(),
            floods: 0,
        }
    }

    /// Plays all faults, until the time is over.
    pub(super) fn play(&mut self, schedule: &Schedule) {
        let end = Duration::from_secs(self.sizes.seconds);
        let mut faults = schedule.0.iter().peekable();
        let mut keepalive_at = Duration::ZERO;
        while self.now() < end {
            let now = self.now();
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
                self.inject(*fault);
            }
            self.take_due_steps(now);
            if keepalive_at <= now {
                self.directory.send_keepalives();
                keepalive_at = now + KEEPALIVE_INTERVAL;
            }
            thread::sleep(TICK);
        }
    }

    /// Lets all that was taken be answered, and collects what was seen.
    pub(super) fn finish(mut self) -> Outcome {
        self.is_over.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.setups.clear();
        (0..self.sizes.gateways).for_each(|gateway| self.directory.recover(gateway));
        if self.sizes.verbose {
            self.fleet.logs().iter().for_each(|line| eprintln!("{line}"));
        }
        self.fleet.stop();
        let (status_changes, outages) = self.directory.records();
        let requests: Vec<RequestRecord> = self.records.try_iter().collect();
        let count = |end| requests.iter().filter(|request| request.end == end).count();
        let (served, rejected) = (count(RequestEnd::Served), count(RequestEnd::Rejected));
        let arrivals = self.arrivals();
        let processes = std::mem::take(&mut self.fleet.processes);
        let history = History { requests, arrivals, status_changes, processes, outages };
        Outcome { history, served, rejected, crashes: std::mem::take(&mut self.fleet.crashes) }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn later(&mut self, after: Duration, step: Step) {
        self.steps.push((self.now() + after, step));
    }

    fn inject(&mut self, fault: Fault) {
        if self.sizes.verbose {
            eprintln!("{:.3} {fault:?}", self.now().as_secs_f64());
        }
        match fault {
            Fault::Kill { gateway } if !self.fleet.is_ending(gateway) => {
                self.fleet.replace(gateway, &self.directory);
            }
            Fault::Restart { gateway } if !self.fleet.is_ending(gateway) => {
                self.fleet.terminate(gateway);
                self.later(SHUTDOWN_TIME, Step::Kill { gateway });
            }
            Fault::Reload { gateway, times } if !self.fleet.is_ending(gateway) => {
                (0..times).for_each(|_| self.fleet.reload(gateway, &self.directory));
            }
            Fault::Pause { gateway, duration } => {
                self.fleet.signal(gateway, "STOP");
                self.later(duration, Step::Resume { gateway });
            }
            Fault::Discovery { gateway, fault, duration } => {
                let affected = gateway.map_or(0..self.sizes.gateways, |gateway| gateway..gateway + 1);
                for gateway in affected {
                    if self.directory.fail(gateway, fault) {
                        self.later(duration, Step::RecoverDiscovery { gateway });
                    }
                }
            }
            Fault::Replace { server } if self.reserve(server) => {
                self.directory.list_server(server, "draining");
                self.later(DRAIN_NOTICE, Step::TurnAway { server });
            }
            Fault::Hang { server, duration } if self.reserve(server) => {
                self.servers[server].set_behavior(ServerBehavior::NeverRespond);
                self.later(duration, Step::Answer { server });
            }
            Fault::Reset { server } => self.servers[server].close_connections(),
            Fault::ConnectionFlood { gateway } => {
                self.floods += 1;
                let flood = start_connection_flood(&self.setups[gateway], FIRST_FLOOD + self.floods);
                self.threads.push(flood);
            }
            // What it concerns is under another fault.
            _ => {}
        }
    }

    /// Takes a server for a fault, unless it is under one or too few would be left.
    fn reserve(&mut self, server: usize) -> bool {
        let well = self.busy_servers.iter().filter(|is_busy| !**is_busy).count();
        if self.busy_servers[server] || 2 * well <= self.servers.len() {
            return false;
        }
        self.busy_servers[server] = true;
        true
    }

    fn take_due_steps(&mut self, now: Duration) {
        let (due, later) = std::mem::take(&mut self.steps).into_iter().partition(|(at, _)| *at <= now);
        self.steps = later;
        let due: Vec<(Duration, Step)> = due;
        for (_, step) in due {
            self.take_step(step);
        }
    }

    fn take_step(&mut self, step: Step) {
        match step {
            Step::Kill { gateway } => self.fleet.replace(gateway, &self.directory),
            Step::Resume { gateway } => self.fleet.signal(gateway, "CONT"),
            Step::RecoverDiscovery { gateway } => self.directory.recover(gateway),
            Step::TurnAway { server } => {
                self.servers[server].set_behavior(DRAINING);
                self.later(DRAIN_TIME, Step::Vanish { server });
            }
            Step::Vanish { server } => {
                self.directory.list_server(server, "removed");
                self.servers[server].set_behavior(ServerBehavior::NeverHandshake);
                self.servers[server].close_connections();
                self.later(BOOT_TIME, Step::Boot { server });
            }
            Step::Boot { server } => {
                self.servers[server].close_connections();
                self.servers[server].set_behavior(ServerBehavior::Succeed);
                // Listed soon, or only once what was told of it before has long been forgotten.
                let listed_after = BOOT_TIME * if server.is_multiple_of(2) { 1 } else { 6 };
                self.later(listed_after, Step::List { server });
            }
            Step::List { server } => {
                self.directory.list_server(server, "up");
                self.busy_servers[server] = false;
            }
            Step::Answer { server } => {
                self.servers[server].set_behavior(ServerBehavior::Succeed);
                self.servers[server].close_connections();
                self.busy_servers[server] = false;
            }
        }
    }

    fn arrivals(&self) -> Vec<ArrivalRecord> {
        let mut arrivals = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            for received in server.arrivals() {
                arrivals.push(ArrivalRecord {
                    id: received.id,
                    server: index,
                    at: received.at.saturating_duration_since(self.started_at),
                    is_executed: received.is_executed,
                });
            }
        }
        arrivals
    }
}
