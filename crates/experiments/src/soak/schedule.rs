//! The faults of a run and their times: the same seed gives the same schedule.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time in ms before the first fault, in which all gateways get a list.
const QUIET_START: u64 = 2000;
/// The time in ms before the end in which no fault begins.
const QUIET_END: u64 = 4000;
/// The range of the time between two faults, in ms.
const FAULT_INTERVAL: std::ops::Range<u64> = 150..1500;
/// The range of outages of discovery, in ms: shorter and longer than the time after which a change counts as reported.
const OUTAGE: std::ops::Range<u64> = 300..9000;
/// The probability that a run has connection floods.
const FLOOD_SHARE: f64 = 0.4;

/// How discovery fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryFault {
    /// Calls end with 503.
    Unavailable,
    /// Calls are not answered; open watches stay open without messages.
    Silent,
    /// Answers are cut off within a list.
    CutOff,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// SIGKILL without notice, and a restart.
    Kill { gateway: usize },
    /// SIGTERM, SIGKILL after the shutdown time, and a restart.
    Restart { gateway: usize },
    /// SIGHUPs with discovery at another address each time.
    Reload { gateway: usize, times: u32 },
    /// The process is suspended.
    Pause { gateway: usize, duration: Duration },
    /// Discovery fails for one gateway, or for all.
    Discovery { gateway: Option<usize>, fault: DiscoveryFault, duration: Duration },
    /// A server drains, stops, and restarts at its address before it is listed again.
    Replace { server: usize },
    /// A server does not respond.
    Hang { server: usize, duration: Duration },
    /// A server closes its connections.
    Reset { server: usize },
    /// Many clients connect concurrently; half of them stay idle.
    ConnectionFlood { gateway: usize },
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Fault::Kill { .. } => "kill",
            Fault::Restart { .. } => "restart",
            Fault::Reload { .. } => "reload",
            Fault::Pause { .. } => "pause",
            Fault::Discovery { .. } => "discovery",
            Fault::Replace { .. } => "replace",
            Fault::Hang { .. } => "hang",
            Fault::Reset { .. } => "reset",
            Fault::ConnectionFlood { .. } => "connection_flood",
        }
    }
}

/// The faults of a run, ordered by their time since the start.
pub(super) struct Schedule(pub(super) Vec<(Duration, Fault)>);

impl Schedule {
    /// Draws the faults of a seed.
    pub(super) fn draw(seed: u64, gateways: usize, servers: usize, seconds: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let has_floods = rng.random_bool(FLOOD_SHARE);
        let mut faults = Vec::new();
        let mut at = QUIET_START;
        while at + QUIET_END < seconds * 1000 {
            let fault = draw_fault(&mut rng, gateways, servers, has_floods);
            faults.push((Duration::from_millis(at), fault));
            at += rng.random_range(FAULT_INTERVAL);
        }
        Schedule(faults)
    }

    /// The number of faults by kind.
    pub(super) fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for (_, fault) in &self.0 {
            *counts.entry(fault.name()).or_default() += 1;
        }
        counts
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, gateways: usize, servers: usize, has_floods: bool) -> Fault {
    let gateway = rng.random_range(0..gateways);
    let server = rng.random_range(0..servers);
    match rng.random_range(0..if has_floods { 11 } else { 10 }) {
        0 => Fault::Kill { gateway },
        1 | 2 => Fault::Restart { gateway },
        3 => Fault::Reload { gateway, times: rng.random_range(1..=3) },
        4 => Fault::Pause { gateway, duration: Duration::from_millis(rng.random_range(20..150)) },
        5 | 6 => draw_discovery_fault(rng, gateway),
        7 | 8 => Fault::Replace { server },
        9 if rng.random_bool(0.5) => Fault::Reset { server },
        9 => Fault::Hang { server, duration: Duration::from_millis(rng.random_range(100..2000)) },
        _ => Fault::ConnectionFlood { gateway },
    }
}

fn draw_discovery_fault(rng: &mut Pcg64Mcg, gateway: usize) -> Fault {
    let kinds = [DiscoveryFault::Unavailable, DiscoveryFault::Silent, DiscoveryFault::CutOff];
    Fault::Discovery {
        gateway: rng.random_bool(0.5).then_some(gateway),
        fault: kinds[rng.random_range(0..kinds.len())],
        duration: Duration::from_millis(rng.random_range(OUTAGE)),
    }
}
