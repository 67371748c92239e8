//! Hundreds of gateways and a discovery service of limited rate, on an injected clock.

use crate::support::TestConfig;
use latchhaven_policy::{Action, Event, Millis, Policy, UpdateFailure, UpdateKind};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Unix time in ms at which the simulation starts, as the clock of a gateway in service is not near 0.
const START: Millis = 1_700_000_000_000.0;
/// ms after which the service fails a queued call.
const SERVICE_TIMEOUT: Millis = 2000.0;
/// ms of work that may be queued; further calls are rejected immediately.
const MAX_BACKLOG: Millis = 6000.0;
/// ms in which the service answers one call of each gateway: the slowest service that operators specify.
const ALL_CALLS: Millis = 8000.0;
/// Number of gateways.
const GATEWAYS: usize = 300;
/// ms between the end of a process and its restart.
const RESTART: Millis = 1500.0;

/// An event of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Timer,
    WatchLost,
    CallFailed,
    CallAnswered,
    Killed,
    Started,
}

/// Time in µs since [`START`], gateway, number of its process, event.
type Entry = Reverse<(u64, usize, u32, Kind)>;

struct SimulatedGateway {
    policy: Policy,
    /// Number of its process; events of earlier ones are dropped.
    process: u32,
    /// When its present process received a list.
    listed_at: Option<Millis>,
}

/// A service that processes calls in order, abandoned ones included, and its callers.
struct Simulation {
    gateways: Vec<SimulatedGateway>,
    entries: BinaryHeap<Entry>,
    /// When the service will have processed its queue.
    free_at: Millis,
    /// Start and end of the outage of the service.
    outage: (Millis, Millis),
    calls: usize,
    answered: usize,
}

fn policy(gateway: usize, process: u32) -> Policy {
    let seed = (gateway as u64) << 16 | u64::from(process);
    Policy::new(TestConfig { seed, gateway_count: GATEWAYS as u32, ..TestConfig::default() }.into())
}

impl Simulation {
    fn new(outage: (Millis, Millis)) -> Self {
        let gateways = (0..GATEWAYS).map(|gateway| SimulatedGateway {
            policy: policy(gateway, 0),
            process: 0,
            listed_at: None,
        });
        let mut simulation = Simulation {
            gateways: gateways.collect(),
            entries: BinaryHeap::new(),
            free_at: START,
            outage,
            calls: 0,
            answered: 0,
        };
        for gateway in 0..GATEWAYS {
            simulation.schedule(START, gateway, Kind::Started);
            simulation.schedule(outage.0, gateway, Kind::WatchLost);
        }
        simulation
    }

    fn schedule(&mut self, at: Millis, gateway: usize, kind: Kind) {
        let process = self.gateways[gateway].process;
        self.schedule_for(process, at, gateway, kind);
    }

    fn schedule_for(&mut self, process: u32, at: Millis, gateway: usize, kind: Kind) {
        self.entries.push(Reverse((((at - START) * 1000.0).ceil() as u64, gateway, process, kind)));
    }

    /// Kills seven in ten gateways simultaneously; each restarts after [`RESTART`].
    fn kill_seven_in_ten(&mut self, at: Millis) {
        for gateway in (0..GATEWAYS).filter(|gateway| gateway % 10 < 7) {
            self.schedule(at, gateway, Kind::Killed);
        }
    }

    fn run_until(&mut self, end: Millis) {
        while let Some(Reverse((micros, gateway, process, kind))) = self.entries.pop() {
            let now = START + micros as f64 / 1000.0;
            if now > end {
                return;
            }
            let is_lifecycle = matches!(kind, Kind::Killed | Kind::Started);
            if is_lifecycle || process == self.gateways[gateway].process {
                self.on_entry(gateway, kind, now);
            }
        }
    }

    fn on_entry(&mut self, gateway: usize, kind: Kind, now: Millis) {
        let event = match kind {
            Kind::Timer => Event::TimerFired { token: "look".to_string() },
            Kind::WatchLost | Kind::CallFailed => Event::EndpointUpdateFailed(UpdateFailure::default()),
            Kind::CallAnswered => endpoint_update(UpdateKind::Snapshot),
            Kind::Started => endpoint_update(UpdateKind::CachedSnapshot),
            Kind::Killed => return self.kill(gateway, now),
        };
        match kind {
            Kind::WatchLost => self.gateways[gateway].listed_at = None,
            Kind::CallAnswered => self.gateways[gateway].listed_at = Some(now),
            _ => {}
        }
        for action in self.gateways[gateway].policy.handle_events(now, vec![event]) {
            match action {
                Action::SetTimer { after, .. } => self.schedule(now + after, gateway, Kind::Timer),
                Action::WatchEndpoints { enabled: true } => self.call(gateway, now),
                _ => {}
            }
        }
    }

    fn kill(&mut self, gateway: usize, now: Millis) {
        let killed = &mut self.gateways[gateway];
        killed.process += 1;
        killed.listed_at = None;
        killed.policy = policy(gateway, killed.process);
        self.schedule(now + RESTART, gateway, Kind::Started);
    }

    fn call(&mut self, gateway: usize, now: Millis) {
        self.calls += 1;
        if (self.outage.0..self.outage.1).contains(&now) {
            return self.schedule(now + SERVICE_TIMEOUT, gateway, Kind::CallFailed);
        }
        if self.free_at - now > MAX_BACKLOG {
            return self.schedule(now, gateway, Kind::CallFailed);
        }
        self.free_at = self.free_at.max(now) + ALL_CALLS / GATEWAYS as f64;
        if self.free_at - now > SERVICE_TIMEOUT {
            return self.schedule(now + SERVICE_TIMEOUT, gateway, Kind::CallFailed);
        }
        self.answered += 1;
        self.schedule(self.free_at, gateway, Kind::CallAnswered);
    }

    /// The number of gateways that have a list.
    fn listed(&self) -> usize {
        self.gateways.iter().filter(|gateway| gateway.listed_at.is_some()).count()
    }
}

fn endpoint_update(kind: UpdateKind) -> Event {
    Event::EndpointUpdate { kind, list_version: 1, entries: Vec::new() }
}

#[test]
fn gateways_restarted_behind_an_outage_get_their_lists_from_a_slow_service() {
    let outage = (START + 20_000.0, START + 28_000.0);
    let mut simulation = Simulation::new(outage);
    simulation.run_until(START + 19_000.0);
    assert_eq!(simulation.listed(), GATEWAYS, "all gateways that start together have a list");
    simulation.kill_seven_in_ten(START + 31_000.0);
    let calls_before = simulation.calls;
    let restarted_at = START + 31_000.0 + RESTART;
    simulation.run_until(restarted_at + 1.5 * ALL_CALLS);
    let listed_soon = simulation.listed();
    simulation.run_until(restarted_at + 5.0 * ALL_CALLS);
    let calls = simulation.calls - calls_before;
    assert_eq!(simulation.listed(), GATEWAYS, "all gateways have a list again");
    assert!(
        10 * listed_soon >= 5 * GATEWAYS,
        "{listed_soon} have a list within 1.5 times the service's time for all calls"
    );
    assert!(calls <= 5 * GATEWAYS, "{calls} calls");
}
