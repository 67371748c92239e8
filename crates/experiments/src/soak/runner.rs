//! Runs a schedule: injects each fault at its time, and carries out the later steps of faults.

use super::clients::{ClientSetup, start_client, start_connection_flood};
use super::directory::Directory;
use super::gateways::{GatewayGroup, SHUTDOWN_TIME};
use super::schedule::{Fault, Schedule};
use super::sizes::Sizes;
use super::stopping_clients::start_stopping_client;
use latchhaven_test_support::fake_server::{FakeServer, ServerBehavior};
use latchhaven_test_support::history::{ArrivalRecord, History, RequestEnd, RequestRecord};
use latchhaven_test_support::link::start_link;
use latchhaven_test_support::response_style::ResponseStyle;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Interval of checks for due faults and steps.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Interval of keepalives on the watches of discovery.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time from the listing of a server as draining until the server rejects requests.
const DRAIN_NOTICE: Duration = Duration::from_millis(200);
/// Time from when a draining server begins to reject requests until its process exits.
const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Time from the exit of a server until another process starts at its address, and from that start until a
/// server with an even number is listed again.
const RESTART_DELAY: Duration = Duration::from_millis(1500);
/// Time from the start of a server with an odd number until the server is listed again: by then, gateways have
/// forgotten the earlier entry.
const LONG_RELISTING_DELAY: Duration = RESTART_DELAY.saturating_mul(6);
/// Behavior of a draining server: rejects queries with an SQLSTATE that says that they were not executed.
const REJECT_WHILE_DRAINING: ServerBehavior = ServerBehavior::Fail("53300");
/// One-way delays of the links between gateways and servers, used in turn.
const LINK_DELAYS: [Duration; 4] =
    [Duration::from_micros(1400), Duration::from_micros(2600), Duration::ZERO, Duration::from_millis(2)];
/// One response in so many is followed by late bytes.
const LATE_BYTES_ONE_IN: usize = 20;
/// Clients of each gateway that stop within a large request and connect again once they are disconnected.
const STOPPING_CLIENTS: usize = 30;
/// Offset of the numbers of connection floods, above the numbers of all clients.
const FIRST_FLOOD_NUMBER: usize = 1 << 16;

/// A step of a fault that is due some time after the fault began.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill { gateway: usize },
    Resume { gateway: usize },
    EndDiscoveryFault { gateway: usize },
    RejectRequests { server: usize },
    StopServer { server: usize },
    StartServer { server: usize },
    ListServer { server: usize },
    EndHang { server: usize },
}

/// What was recorded in a run.
pub(super) struct RunRecords {
    pub(super) history: History,
    /// Requests that got their own value.
    pub(super) served: usize,
    /// Requests that were rejected, and so not executed.
    pub(super) rejected: usize,
    /// Gateway processes that exited without SIGTERM, or with an error status after it.
    pub(super) crashes: Vec<String>,
}

/// A run: servers, discovery, gateways and clients, and the steps of faults that are due later.
pub(super) struct SoakRun {
    sizes: Sizes,
    started_at: Instant,
    servers: Vec<FakeServer>,
    /// Whether each server is being replaced or does not respond.
    reserved_servers: Vec<bool>,
    directory: Directory,
    gateways: GatewayGroup,
    setups: Vec<ClientSetup>,
    /// Threads of the clients and of the connection floods.
    client_threads: Vec<JoinHandle<()>>,
    stop_requested: Arc<AtomicBool>,
    records: mpsc::Receiver<RequestRecord>,
    /// Later steps of faults, and when they are due.
    steps: Vec<(Duration, Step)>,
    /// Number of connection floods begun so far.
    flood_count: usize,
}

impl SoakRun {
    /// Starts servers, discovery, gateways and clients.
    pub(super) fn start(sizes: &Sizes) -> Self {
        let started_at = Instant::now();
        let style = ResponseStyle {
            has_long_values: true,
            late_bytes_one_in: LATE_BYTES_ONE_IN,
            has_complete_duplicates: sizes.complete_duplicates,
        };
        let server = |_| FakeServer::start_with_style(ServerBehavior::Succeed, style);
        let servers: Vec<FakeServer> = (0..sizes.servers).map(server).collect();
        let addresses: Vec<_> = servers
            .iter()
            .zip(LINK_DELAYS.iter().cycle())
            .map(|(server, delay)| start_link(server.addr, *delay))
            .collect();
        let directory = Directory::start(started_at, &addresses, sizes.gateways);
        let gateways = GatewayGroup::start(started_at, &directory, sizes.gateways);
        let stop_requested = Arc::new(AtomicBool::new(false));
        let (sender, records) = mpsc::channel();
        let setup = |(gateway, address)| ClientSetup {
            gateway,
            address,
            started_at,
            stop_requested: stop_requested.clone(),
            records: sender.clone(),
        };
        let setups: Vec<ClientSetup> = gateways.addresses().into_iter().enumerate().map(setup).collect();
        let clients = setups.iter().flat_map(|setup| {
            (0..sizes.clients).map(|index| {
                let number = setup.gateway * sizes.clients + index;
                start_client(setup.clone(), number, sizes.seed)
            })
        });
        let stopping = setups.iter().flat_map(|setup| {
            (0..STOPPING_CLIENTS).map(|number| start_stopping_client(setup.clone(), number))
        });
        SoakRun {
            sizes: sizes.clone(),
            started_at,
            reserved_servers: vec![false; servers.len()],
            servers,
            directory,
            gateways,
            client_threads: clients.chain(stopping).collect(),
            setups,
            stop_requested,
            records,
            steps: Vec::new(),
            flood_count: 0,
        }
    }

    /// Runs all faults of the schedule; returns at the end of the run.
    pub(super) fn run_schedule(&mut self, schedule: &Schedule) {
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
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the outcomes of all requests, stops the gateways, and collects the records.
    pub(super) fn finish(mut self) -> RunRecords {
        self.stop_requested.store(true, SeqCst);
        for thread in self.client_threads.drain(..) {
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
        RunRecords { history, served, rejected, crashes: std::mem::take(&mut self.gateways.crashes) }
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
            Fault::Kill { gateway } if !self.gateways.is_shutting_down(gateway) => {
                self.gateways.kill_and_restart(gateway, &self.directory);
            }
            Fault::Restart { gateway } if !self.gateways.is_shutting_down(gateway) => {
                self.gateways.terminate(gateway);
                self.schedule(SHUTDOWN_TIME, Step::Kill { gateway });
            }
            Fault::Reload { gateway, times } if !self.gateways.is_shutting_down(gateway) => {
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
                        self.schedule(duration, Step::EndDiscoveryFault { gateway });
                    }
                }
            }
            Fault::Replace { server } if self.reserve(server) => {
                self.directory.list_server(server, "draining");
                self.schedule(DRAIN_NOTICE, Step::RejectRequests { server });
            }
            Fault::Hang { server, duration } if self.reserve(server) => {
                self.servers[server].set_behavior(ServerBehavior::NeverRespond);
                self.schedule(duration, Step::EndHang { server });
            }
            Fault::Reset { server } => self.servers[server].close_connections(),
            Fault::ConnectionFlood { gateway } => {
                self.flood_count += 1;
                let flood =
                    start_connection_flood(&self.setups[gateway], FIRST_FLOOD_NUMBER + self.flood_count);
                self.client_threads.push(flood);
            }
            // The gateway is shutting down, or `reserve` refused the server: the fault is skipped.
            _ => {}
        }
    }

    /// Reserves a server for a fault. Returns `false` if the server is already reserved, or if no more than half of the
    /// servers are without a reservation.
    fn reserve(&mut self, server: usize) -> bool {
        let available = self.reserved_servers.iter().filter(|is_reserved| !**is_reserved).count();
        if self.reserved_servers[server] || 2 * available <= self.servers.len() {
            return false;
        }
        self.reserved_servers[server] = true;
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
            Step::Kill { gateway } => self.gateways.kill_and_restart(gateway, &self.directory),
            Step::Resume { gateway } => self.gateways.signal(gateway, "CONT"),
            Step::EndDiscoveryFault { gateway } => self.directory.end_fault(gateway),
            Step::RejectRequests { server } => {
                self.servers[server].set_behavior(REJECT_WHILE_DRAINING);
                self.schedule(DRAIN_TIME, Step::StopServer { server });
            }
            Step::StopServer { server } => {
                self.directory.list_server(server, "removed");
                self.servers[server].set_behavior(ServerBehavior::NeverHandshake);
                self.servers[server].close_connections();
                self.schedule(RESTART_DELAY, Step::StartServer { server });
            }
            Step::StartServer { server } => {
                self.servers[server].close_connections();
                self.servers[server].set_behavior(ServerBehavior::Succeed);
                let is_relisted_soon = server.is_multiple_of(2);
                let listed_after = if is_relisted_soon { RESTART_DELAY } else { LONG_RELISTING_DELAY };
                self.schedule(listed_after, Step::ListServer { server });
            }
            Step::ListServer { server } => {
                self.directory.list_server(server, "up");
                self.reserved_servers[server] = false;
            }
            Step::EndHang { server } => {
                self.servers[server].set_behavior(ServerBehavior::Succeed);
                self.servers[server].close_connections();
                self.reserved_servers[server] = false;
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
