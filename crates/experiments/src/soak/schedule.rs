//! The faults of a run and their times: the same seed gives the same schedule.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const MILLIS_PER_SECOND: u64 = 1000;
/// Time before the first fault, in which all gateways get an endpoint list.
const WARM_UP_MS: u64 = 2000;
/// Time before the end of the run in which no fault begins.
const COOL_DOWN_MS: u64 = 4000;
const FAULT_INTERVALS_MS: std::ops::Range<u64> = 150..1500;
/// Range of the durations of discovery faults: some shorter and some longer than the 6 s after which a change counts
/// as reported.
const DISCOVERY_FAULT_DURATIONS_MS: std::ops::Range<u64> = 300..9000;
/// Range of the durations for which a gateway process is suspended.
const PAUSE_DURATIONS_MS: std::ops::Range<u64> = 20..150;
/// Range of the durations for which a server does not respond.
const HANG_DURATIONS_MS: std::ops::Range<u64> = 100..2000;
/// Probability that the faults of a run include connection floods.
const FLOOD_PROBABILITY: f64 = 0.4;

/// How discovery fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DiscoveryFault {
    /// Calls get status 503, and open watches are closed.
    Unavailable,
    /// Calls get no reply; open watches stay open without messages.
    Silent,
    /// Replies are cut off within a list, and open watches are closed.
    CutOff,
}

/// A fault that is injected at one time of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// SIGKILL without SIGTERM, and a restart.
    Kill { gateway: usize },
    /// SIGTERM, SIGKILL after the shutdown time, and a restart.
    Restart { gateway: usize },
    /// SIGHUPs in succession, each after discovery moved to another address.
    Reload { gateway: usize, times: u32 },
    /// The process is suspended.
    Pause { gateway: usize, duration: Duration },
    /// Discovery fails for one gateway, or for all.
    Discovery { gateway: Option<usize>, fault: DiscoveryFault, duration: Duration },
    /// A server drains, stops, and restarts at its address before being listed again.
    Replace { server: usize },
    /// A server accepts requests but does not respond, and closes its connections afterwards.
    Hang { server: usize, duration: Duration },
    /// A server closes all its connections.
    Reset { server: usize },
    /// Many clients connect concurrently; half of them stay idle.
    ConnectionFlood { gateway: usize },
}

impl Fault {
    /// Name of the fault in the printed results.
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
    /// Draws the faults of a run of this length from the seed.
    pub(super) fn draw(seed: u64, gateways: usize, servers: usize, seconds: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let has_floods = rng.random_bool(FLOOD_PROBABILITY);
        let mut faults = Vec::new();
        let mut at = WARM_UP_MS;
        while at + COOL_DOWN_MS < seconds * MILLIS_PER_SECOND {
            let fault = draw_fault(&mut rng, gateways, servers, has_floods);
            faults.push((Duration::from_millis(at), fault));
            at += rng.random_range(FAULT_INTERVALS_MS);
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
        4 => Fault::Pause { gateway, duration: Duration::from_millis(rng.random_range(PAUSE_DURATIONS_MS)) },
        5 | 6 => draw_discovery_fault(rng, gateway),
        7 | 8 => Fault::Replace { server },
        9 if rng.random_bool(0.5) => Fault::Reset { server },
        9 => Fault::Hang { server, duration: Duration::from_millis(rng.random_range(HANG_DURATIONS_MS)) },
        _ => Fault::ConnectionFlood { gateway },
    }
}

fn draw_discovery_fault(rng: &mut Pcg64Mcg, gateway: usize) -> Fault {
    let kinds = [DiscoveryFault::Unavailable, DiscoveryFault::Silent, DiscoveryFault::CutOff];
    Fault::Discovery {
        gateway: rng.random_bool(0.5).then_some(gateway),
        fault: kinds[rng.random_range(0..kinds.len())],
        duration: Duration::from_millis(rng.random_range(DISCOVERY_FAULT_DURATIONS_MS)),
    }
}
