//! Hundreds of gateways that restart after an outage of a slow discovery service, on an injected clock. The service
//! also processes calls that have timed out: if gateways call too often, none gets its list.

use crate::support::TestConfig;
use latchhaven_policy::{Action, Event, Millis, Policy, UpdateFailure, UpdateKind};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

/// Unix time at which the simulation starts, in milliseconds: gateways in production have clocks that are not near 0.
const START: Millis = 1_700_000_000_000.0;
/// Time after which a queued call fails.
const SERVICE_TIMEOUT: Millis = 2000.0;
/// Work that the service may have queued; it rejects further calls immediately.
const MAX_BACKLOG: Millis = 6000.0;
/// Time in which the service processes one call of each gateway: the slowest service that operators specify.
const ALL_CALLS_DURATION: Millis = 8000.0;
const GATEWAYS: usize = 300;
/// Time between the exit of a process and its restart.
const RESTART_DELAY: Millis = 1500.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GatewayEvent {
    Timer,
    WatchLost,
    CallFailed,
    CallCompleted,
    Killed,
    Started,
}

/// An event at the time when it happens. Events are ordered by the fields in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    /// Time since [`START`] in microseconds.
    at_micros: u64,
    gateway: usize,
    /// Number of the gateway's process that the event is for.
    process: u32,
    event: GatewayEvent,
}

struct SimulatedGateway {
    policy: Policy,
    /// Number of the gateway's current process; events for earlier ones are dropped.
    process: u32,
    /// When the current process received its list; `None` before that, and after the loss of the watch.
    listed_at: Option<Millis>,
}

/// A discovery service that processes calls in order, including those that have timed out, and the gateways that call
/// it.
struct Simulation {
    gateways: Vec<SimulatedGateway>,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// When the service will have processed its queue.
    queue_empty_at: Millis,
    /// Period in which the service is down.
    outage: Range<Millis>,
    calls: usize,
}

fn policy(gateway: usize, process: u32) -> Policy {
    let seed = (gateway as u64) << 16 | u64::from(process);
    Policy::new(TestConfig { seed, gateway_count: GATEWAYS as u32, ..TestConfig::default() }.into())
}

impl Simulation {
    fn new(outage: Range<Millis>) -> Self {
        let gateways = (0..GATEWAYS).map(|gateway| SimulatedGateway {
            policy: policy(gateway, 0),
            process: 0,
            listed_at: None,
        });
        let watches_lost_at = outage.start;
        let mut simulation = Simulation {
            gateways: gateways.collect(),
            events: BinaryHeap::new(),
            queue_empty_at: START,
            outage,
            calls: 0,
        };
        for gateway in 0..GATEWAYS {
            simulation.schedule(START, gateway, GatewayEvent::Started);
            simulation.schedule(watches_lost_at, gateway, GatewayEvent::WatchLost);
        }
        simulation
    }

    /// Schedules an event for the current process of a gateway.
    fn schedule(&mut self, at: Millis, gateway: usize, event: GatewayEvent) {
        let process = self.gateways[gateway].process;
        let at_micros = ((at - START) * 1000.0).ceil() as u64;
        self.events.push(Reverse(ScheduledEvent { at_micros, gateway, process, event }));
    }

    /// Kills seven in ten gateways simultaneously; each restarts after [`RESTART_DELAY`].
    fn kill_seven_in_ten(&mut self, at: Millis) {
        for gateway in (0..GATEWAYS).filter(|gateway| gateway % 10 < 7) {
            self.schedule(at, gateway, GatewayEvent::Killed);
        }
    }

    fn run_until(&mut self, end: Millis) {
        while let Some(Reverse(ScheduledEvent { at_micros, gateway, process, event })) = self.events.pop() {
            let now = START + at_micros as f64 / 1000.0;
            if now > end {
                return;
            }
            let is_lifecycle = matches!(event, GatewayEvent::Killed | GatewayEvent::Started);
            if is_lifecycle || process == self.gateways[gateway].process {
                self.on_event(gateway, event, now);
            }
        }
    }

    fn on_event(&mut self, gateway: usize, event: GatewayEvent, now: Millis) {
        let policy_event = match event {
            GatewayEvent::Timer => Event::TimerFired { token: "look".to_string() },
            GatewayEvent::WatchLost | GatewayEvent::CallFailed => {
                Event::EndpointUpdateFailed(UpdateFailure::default())
            }
            GatewayEvent::CallCompleted => endpoint_update(UpdateKind::Snapshot),
            GatewayEvent::Started => endpoint_update(UpdateKind::CachedSnapshot),
            GatewayEvent::Killed => return self.kill(gateway, now),
        };
        match event {
            GatewayEvent::WatchLost => self.gateways[gateway].listed_at = None,
            GatewayEvent::CallCompleted => self.gateways[gateway].listed_at = Some(now),
            _ => {}
        }
        for action in self.gateways[gateway].policy.handle_events(now, vec![policy_event]) {
            match action {
                Action::SetTimer { after, .. } => self.schedule(now + after, gateway, GatewayEvent::Timer),
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
        self.schedule(now + RESTART_DELAY, gateway, GatewayEvent::Started);
    }

    fn call(&mut self, gateway: usize, now: Millis) {
        self.calls += 1;
        if self.outage.contains(&now) {
            return self.schedule(now + SERVICE_TIMEOUT, gateway, GatewayEvent::CallFailed);
        }
        if self.queue_empty_at - now > MAX_BACKLOG {
            return self.schedule(now, gateway, GatewayEvent::CallFailed);
        }
        self.queue_empty_at = self.queue_empty_at.max(now) + ALL_CALLS_DURATION / GATEWAYS as f64;
        if self.queue_empty_at - now > SERVICE_TIMEOUT {
            return self.schedule(now + SERVICE_TIMEOUT, gateway, GatewayEvent::CallFailed);
        }
        self.schedule(self.queue_empty_at, gateway, GatewayEvent::CallCompleted);
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
fn gateways_restarted_after_an_outage_get_their_lists_from_a_slow_service() {
    let outage = START + 20_000.0..START + 28_000.0;
    let mut simulation = Simulation::new(outage);
    simulation.run_until(START + 19_000.0);
    assert_eq!(simulation.listed(), GATEWAYS, "gateways with a list after all started together");
    simulation.kill_seven_in_ten(START + 31_000.0);
    let calls_before = simulation.calls;
    let restarted_at = START + 31_000.0 + RESTART_DELAY;
    simulation.run_until(restarted_at + 1.5 * ALL_CALLS_DURATION);
    let listed_soon = simulation.listed();
    simulation.run_until(restarted_at + 5.0 * ALL_CALLS_DURATION);
    let calls = simulation.calls - calls_before;
    assert_eq!(simulation.listed(), GATEWAYS, "gateways with a list after the restart");
    assert!(
        10 * listed_soon >= 5 * GATEWAYS,
        "only {listed_soon} gateways have a list when the service could have processed 1.5 calls of each"
    );
    assert!(calls <= 5 * GATEWAYS, "{calls} calls after the restart");
}
