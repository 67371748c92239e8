//! Runs a schedule: starts each fault at its time, and its later steps.

use super::clients::{ClientSetup, start_client, start_connection_flood};
use super::directory::Directory;
use super::gateways::{GatewayGroup, SHUTDOWN_TIME};
use super::schedule::{Fault, Schedule};
use super::sizes::Sizes;
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::history::{ArrivalRecord, History, RequestEnd, RequestRecord};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The interval of checks for due faults and steps.
const TICK: Duration = Duration::from_millis(2);
/// The interval of keepalives of discovery.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The time from the listing of a server as draining until it rejects requests.
const DRAIN_NOTICE: Duration = Duration::from_millis(200);
/// The time from there until its process ends.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// The time from there until another process answers at its address, and from there until it is listed.
const BOOT_TIME: Duration = Duration::from_millis(1500);
/// The reply of a draining server: the query was not executed.
const DRAINING: ServerBehavior = ServerBehavior::Fail("53300");
/// The first client number of connection floods.
const FIRST_FLOOD: usize = 1 << 16;

/// A later step of a fault.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill { gateway: usize },
    Resume { gateway: usize },
    RecoverDiscovery { gateway: usize },
    RejectRequests { server: usize },
    Stop { server: usize },
    Boot { server: usize },
    List { server: usize },
    Answer { server: usize },
}

/// The records of a run.
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
    /// Servers that are being replaced or do not respond.
    busy_servers: Vec<bool>,
    directory: Directory,
    gateways: GatewayGroup,
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
        let gateways = GatewayGroup::start(started_at, &directory, sizes.gateways);
        let is_over = Arc::new(AtomicBool::new(false));
        let (sender, records) = mpsc::channel();
        let setup = |(gateway, address)| ClientSetup {
            gateway,
            address,
            started_at,
            is_over: is_over.clone(),
            records: sender.clone(),
        };
        let setups: Vec<ClientSetup> = gateways.addresses().into_iter().enumerate().map(setup).collect();
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
            gateways,
            threads: clients.collect(),
            setups,
            is_over,
            records,
            steps: Vec::new(),
            floods: 0,
        }
    }

    /// Runs all faults until the end of the run.
    pub(super) fn play(&mut self, schedule: &Schedule) {
        let end = Duration::from_secs(self.sizes.seconds);
        let mut faults = schedule.0.iter().peekable();
        let mut keepalive_at = Duration::ZERO;
        while self.now() < end {
            let now = self.now();
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
                self.inject(*fault);
            }
            self.run_due_steps(now);
            if keepalive_at <= now {
                self.directory.send_keepalives();
                keepalive_at = now + KEEPALIVE_INTERVAL;
            }
            thread::sleep(TICK);
        }
    }

    /// Waits for the answers to all requests, and collects the records.
    pub(super) fn finish(mut self) -> Outcome {
        self.is_over.store(true, SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.setups.clear();
        (0..self.sizes.gateways).for_each(|gateway| self.directory.end_fault(gateway));
        if self.sizes.verbose {
            self.gateways.logs().iter().for_each(|line| eprintln!("{line}"));
        }
        self.gateways.stop();
        let (status_changes, outages) = self.directory.records();
        let requests: Vec<RequestRecord> = self.records.try_iter().collect();
        let count = |end| requests.iter().filter(|request| request.end == end).count();
        let (served, rejected) = (count(RequestEnd::Served), count(RequestEnd::Rejected));
        let arrivals = self.arrivals();
        let processes = std::mem::take(&mut self.gateways.processes);
        let history = History { requests, arrivals, status_changes, processes, outages };
        Outcome { history, served, rejected, crashes: std::mem::take(&mut self.gateways.crashes) }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.steps.push((self.now() + after, step));
    }

    fn inject(&mut self, fault: Fault) {
        if self.sizes.verbose {
            eprintln!("{:.3} {fault:?}", self.now().as_secs_f64());
        }
        match fault {
            Fault::Kill { gateway } if !self.gateways.is_ending(gateway) => {
                self.gateways.replace(gateway, &self.directory);
            }
            Fault::Restart { gateway } if !self.gateways.is_ending(gateway) => {
                self.gateways.terminate(gateway);
                self.schedule(SHUTDOWN_TIME, Step::Kill { gateway });
            }
            Fault::Reload { gateway, times } if !self.gateways.is_ending(gateway) => {
                (0..times).for_each(|_| self.gateways.reload(gateway, &self.directory));
            }
            Fault::Pause { gateway, duration } => {
                self.gateways.signal(gateway, "STOP");
                self.schedule(duration, Step::Resume { gateway });
            }
            Fault::Discovery { gateway, fault, duration } => {
                let affected = gateway.map_or(0..self.sizes.gateways, |gateway| gateway..gateway + 1);
                for gateway in affected {
                    if self.directory.begin_fault(gateway, fault) {
                        self.schedule(duration, Step::RecoverDiscovery { gateway });
                    }
                }
            }
            Fault::Replace { server } if self.reserve(server) => {
                self.directory.list_server(server, "draining");
                self.schedule(DRAIN_NOTICE, Step::RejectRequests { server });
            }
            Fault::Hang { server, duration } if self.reserve(server) => {
                self.servers[server].set_behavior(ServerBehavior::NeverRespond);
                self.schedule(duration, Step::Answer { server });
            }
            Fault::Reset { server } => self.servers[server].close_connections(),
            Fault::ConnectionFlood { gateway } => {
                self.floods += 1;
                let flood = start_connection_flood(&self.setups[gateway], FIRST_FLOOD + self.floods);
                self.threads.push(flood);
            }
            // The server or gateway is under another fault.
            _ => {}
        }
    }

    /// Reserves a server for a fault, unless it is under one or fewer than half would remain.
    fn reserve(&mut self, server: usize) -> bool {
        let available = self.busy_servers.iter().filter(|is_busy| !**is_busy).count();
        if self.busy_servers[server] || 2 * available <= self.servers.len() {
            return false;
        }
        self.busy_servers[server] = true;
        true
    }

    fn run_due_steps(&mut self, now: Duration) {
        let (due, later) = std::mem::take(&mut self.steps).into_iter().partition(|(at, _)| *at <= now);
        self.steps = later;
        let due: Vec<(Duration, Step)> = due;
        for (_, step) in due {
            self.run_step(step);
        }
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Kill { gateway } => self.gateways.replace(gateway, &self.directory),
            Step::Resume { gateway } => self.gateways.signal(gateway, "CONT"),
            Step::RecoverDiscovery { gateway } => self.directory.end_fault(gateway),
            Step::RejectRequests { server } => {
                self.servers[server].set_behavior(DRAINING);
                self.schedule(DRAIN_TIME, Step::Stop { server });
            }
            Step::Stop { server } => {
                self.directory.list_server(server, "removed");
                self.servers[server].set_behavior(ServerBehavior::NeverHandshake);
                self.servers[server].close_connections();
                self.schedule(BOOT_TIME, Step::Boot { server });
            }
            Step::Boot { server } => {
                self.servers[server].close_connections();
                self.servers[server].set_behavior(ServerBehavior::Succeed);
                // Some are listed only after gateways have forgotten their earlier entry.
                let listed_after = BOOT_TIME * if server.is_multiple_of(2) { 1 } else { 6 };
                self.schedule(listed_after, Step::List { server });
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
