//! Many gateways in one simulated run, over random sizes: what each does alone stays within a bound for all.

use crate::support::{STEP, TestConfig, TestGateway};
use latchhaven_policy::{Action, EndpointStatus, Millis, RolloutPhase, Verdict, Version};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// ms between two requests of the whole fleet on the mean, so that small and large fleets take as many.
const REQUEST_INTERVAL: f64 = 4.0;

/// The size of a fleet and of what it routes to.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    gateways: u32,
    endpoints: usize,
    zones: usize,
    /// How many times the mean of all gateways the first one gets.
    first_share: f64,
    seed: u64,
}

fn sizes() -> impl Strategy<Value = FleetSize> {
    let log = |max: f64| (0.0..max.ln()).prop_map(|size: f64| size.exp().round());
    (log(500.0), log(200.0), 1usize..4, 1.0..5.0f64, any::<u64>()).prop_map(
        |(gateways, endpoints, zones, first_share, seed)| FleetSize {
            gateways: gateways as u32,
            endpoints: endpoints as usize,
            zones,
            first_share: first_share.min(gateways),
            seed,
        },
    )
}

struct Fleet {
    gateways: Vec<TestGateway>,
    /// Requests that each gateway gets for each of the whole fleet, and the fractional requests pending there.
    shares: Vec<f64>,
    pending: Vec<f64>,
}

impl Fleet {
    /// Gateways of this size, all with the same warm endpoints of version 1, named by zone.
    fn new(size: FleetSize) -> Self {
        let count = f64::from(size.gateways);
        let others = (count - size.first_share) / f64::from(size.gateways - 1).max(1.0);
        let times_mean = |index| if index == 0 { size.first_share } else { others };
        let share = |index| times_mean(index) / count;
        let shares = (0..size.gateways).map(share).collect();
        let gateways = (0..size.gateways).map(|index| Fleet::gateway(size, index)).collect();
        // Each begins somewhere in its own turn: they do not send in step.
        let pending = (0..size.gateways).map(|index| f64::from(index) * 0.618 % 1.0).collect();
        Fleet { gateways, shares, pending }
    }

    fn gateway(size: FleetSize, index: u32) -> TestGateway {
        let mut gateway = TestGateway::new(TestConfig {
            seed: size.seed ^ u64::from(index),
            gateway_count: size.gateways,
            ..TestConfig::default()
        });
        for number in 0..size.endpoints {
            let zone = ["a", "b", "c"][number % size.zones];
            gateway.update_endpoint(&format!("{zone}{number}"), Version(1), EndpointStatus::Ready, 0.0);
        }
        gateway.update_rollout(Version(1), 2, RolloutPhase::Promoted, 1.0);
        gateway.step();
        gateway
    }

    fn serve_for(&mut self, duration: Millis) {
        for _ in 0..(duration / STEP) as usize {
            for ((gateway, share), pending) in
                self.gateways.iter_mut().zip(&self.shares).zip(&mut self.pending)
            {
                *pending += share * STEP / REQUEST_INTERVAL;
                while *pending >= 1.0 {
                    gateway.request("look", None);
                    *pending -= 1.0;
                }
                gateway.step();
            }
        }
    }

    fn now(&self) -> Millis {
        self.gateways[0].now
    }

    /// Moments of all attempts to an endpoint since.
    fn sent_to(&self, endpoint: &str, since: Millis) -> Vec<Millis> {
        let all = self.gateways.iter().flat_map(|gateway| &gateway.sent);
        all.filter(|sent| sent.endpoint == endpoint && sent.at >= since).map(|sent| sent.at).collect()
    }

    fn for_each(&mut self, act: impl Fn(&mut TestGateway)) {
        self.gateways.iter_mut().for_each(act);
    }
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 24, ..latchhaven_proptest_config::deterministic() }
}

proptest! {
    #![proptest_config(config())]

    /// One endpoint of many is warming up: all gateways together overload it at no size, however uneven.
    #[test]
    fn warming_endpoint_gets_no_more_than_its_budget_from_all_gateways(size in sizes()) {
        let mut fleet = Fleet::new(size);
        fleet.serve_for(3000.0);
        let start = fleet.now();
        fleet.for_each(|gateway| gateway.start_endpoints(&["a999"], Version(1)));
        fleet.serve_for(2000.0);
        // The gateway's config: twice what its capacity takes of the fleet's requests, within 1 s; 0.4 of it at first,
        // 0.55 after one of the four seconds, of which it warms up within each span.
        let moments = fleet.sent_to("a999", start);
        let capacity = size.endpoints as f64 + 0.4;
        for from in [start, start + 500.0, start + 1000.0] {
            let got = moments.iter().filter(|at| (from..from + 1000.0).contains(*at)).count() as f64;
            let warm = 0.4 + 0.6 * (from - start) / 4000.0;
            let budget = 2.0 * warm / capacity * 1000.0 / REQUEST_INTERVAL;
            let max = budget + 3.0 * budget.sqrt() + 3.0;
            prop_assert!(got <= max, "{got} of {max} from {} on, {size:?}", from - start);
        }
    }

    /// Votes of the whole fleet at one look do not grow with it, and a bad version goes back at every size.
    #[test]
    fn few_vote_at_each_look_and_a_bad_version_is_rolled_back(size in sizes()) {
        let mut fleet = Fleet::new(size);
        fleet.serve_for(500.0);
        for _ in 0..4 {
            fleet.for_each(|gateway| gateway.report_outcomes(Version(1), 100, 1, 60.0));
            fleet.serve_for(250.0);
        }
        fleet.for_each(|gateway| {
            gateway.start_endpoints(&["a998", "a999"], Version(2));
            gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5);
        });
        fleet.serve_for(4000.0);
        for _ in 0..4 {
            fleet.for_each(|gateway| {
                gateway.report_outcomes(Version(2), 60, 40, 60.0);
                gateway.report_outcomes(Version(1), 80, 1, 60.0);
            });
            fleet.serve_for(1000.0);
        }
        let mut looks: BTreeMap<u64, usize> = BTreeMap::new();
        let mut backs = 0;
        for (at, action) in fleet.gateways.iter().flat_map(|gateway| &gateway.actions) {
            if let Action::CastVote { verdict, .. } = action {
                *looks.entry((at / 250.0) as u64).or_default() += 1;
                backs += usize::from(*verdict == Verdict::RollBack);
            }
        }
        let max = looks.values().max().copied().unwrap_or(0);
        // Eight of all by chance; the draw of each is its own.
        prop_assert!(max <= 24, "{max} votes within 250 ms, {size:?}");
        prop_assert!(backs > 0, "nobody voted back, {size:?}");
    }

    /// The same events and seeds give the same actions, whatever the size.
    #[test]
    fn same_events_and_seeds_give_same_actions_at_any_size(size in sizes()) {
        let day = || {
            let gateways = size.gateways.min(40);
            let first_share = size.first_share.min(f64::from(gateways));
            let mut fleet = Fleet::new(FleetSize { gateways, first_share, ..size });
            fleet.serve_for(1000.0);
            fleet.for_each(|gateway| gateway.start_endpoints(&["a999"], Version(2)));
            fleet.for_each(|gateway| gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5));
            fleet.serve_for(1500.0);
            fleet.gateways.into_iter().map(|gateway| gateway.actions).collect::<Vec<_>>()
        };
        prop_assert!(day() == day(), "{size:?}");
    }

    /// No endpoint is left out by all, and no gateway of little traffic meets them all.
    #[test]
    fn subsets_of_all_gateways_cover_every_endpoint(size in sizes()) {
        let mut fleet = Fleet::new(size);
        fleet.serve_for(8000.0);
        let mut met: BTreeMap<&str, usize> = BTreeMap::new();
        let mut held = Vec::new();
        for gateway in &fleet.gateways {
            let mut names: Vec<&str> = gateway.sent.iter().map(|sent| sent.endpoint.as_str()).collect();
            names.sort_unstable();
            names.dedup();
            held.push((names.len(), gateway.sent.len()));
            names.into_iter().for_each(|name| *met.entry(name).or_default() += 1);
        }
        // 2,000 requests over 200 endpoints at most: ten for each.
        prop_assert!(met.len() == size.endpoints, "{} of {} are met, {size:?}", met.len(), size.endpoints);
        // A part is eight at least, or what its traffic meets every 4 s, drawn by chance.
        for (names, requests) in held {
            let part = (requests as f64 / 2.0).max(8.0);
            prop_assert!(names as f64 <= part + 2.0 * part.sqrt() + 4.0, "{names} met, {requests} requests, {size:?}");
        }
    }
}
