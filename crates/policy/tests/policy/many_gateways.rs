//! Fleets of random size in one simulated run. Gateways do not coordinate, so only the sum of their actions shows
//! whether each stays within its part of a common limit.

use crate::support::{STEP, TestConfig, TestGateway};
use latchhaven_policy::{Action, EndpointStatus, Millis, RolloutPhase, Verdict, Version};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Mean time between two requests over all gateways, whatever their number.
const REQUEST_INTERVAL: Millis = 4.0;

/// The random inputs of one run.
#[derive(Clone, Copy, Debug)]
struct SimulationSize {
    gateways: u32,
    endpoints: usize,
    zones: usize,
    /// Request rate of the first gateway, as a multiple of the mean.
    first_share: f64,
    seed: u64,
}

fn sizes() -> impl Strategy<Value = SimulationSize> {
    let log_uniform = |max: f64| (0.0..max.ln()).prop_map(|size: f64| size.exp().round());
    (log_uniform(500.0), log_uniform(200.0), 1usize..4, 1.0..5.0f64, any::<u64>()).prop_map(
        |(gateways, endpoints, zones, first_share, seed)| SimulationSize {
            gateways: gateways as u32,
            endpoints: endpoints as usize,
            zones,
            first_share: first_share.min(gateways),
            seed,
        },
    )
}

struct Simulation {
    gateways: Vec<TestGateway>,
    /// Each gateway's share of all requests.
    shares: Vec<f64>,
    /// Requests that each gateway is due but has not received, accumulated step by step; below 1 after each step.
    accumulated_requests: Vec<f64>,
}

impl Simulation {
    /// Gateways that all have the same warm endpoints of version 1, named by zone.
    fn new(size: SimulationSize) -> Self {
        let count = f64::from(size.gateways);
        let others = (count - size.first_share) / f64::from(size.gateways - 1).max(1.0);
        let times_mean = |index| if index == 0 { size.first_share } else { others };
        let share = |index| times_mean(index) / count;
        let shares = (0..size.gateways).map(share).collect();
        let gateways = (0..size.gateways).map(|index| Simulation::gateway(size, index)).collect();
        // Fractions differ, so that gateways do not send simultaneously. Multiples of the golden ratio spread evenly.
        let accumulated_requests = (0..size.gateways).map(|index| f64::from(index) * 0.618 % 1.0).collect();
        Simulation { gateways, shares, accumulated_requests }
    }

    fn gateway(size: SimulationSize, index: u32) -> TestGateway {
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
            for ((gateway, share), accumulated_requests) in
                self.gateways.iter_mut().zip(&self.shares).zip(&mut self.accumulated_requests)
            {
                *accumulated_requests += share * STEP / REQUEST_INTERVAL;
                while *accumulated_requests >= 1.0 {
                    gateway.request("look", None);
                    *accumulated_requests -= 1.0;
                }
                gateway.step();
            }
        }
    }

    fn now(&self) -> Millis {
        self.gateways[0].now
    }

    /// Times of all attempts at an endpoint from `since` on.
    fn sent_to(&self, endpoint: &str, since: Millis) -> Vec<Millis> {
        let all = self.gateways.iter().flat_map(|gateway| &gateway.sent);
        all.filter(|sent| sent.endpoint == endpoint && sent.sent_at >= since)
            .map(|sent| sent.sent_at)
            .collect()
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

    /// All gateways together stay within the budget of a warming endpoint at every size, however uneven their rates.
    #[test]
    fn warming_endpoint_gets_no_more_than_its_budget_from_all_gateways(size in sizes()) {
        let mut simulation = Simulation::new(size);
        simulation.serve_for(3000.0);
        let start = simulation.now();
        simulation.for_each(|gateway| gateway.start_endpoints(&["a999"], Version(1)));
        simulation.serve_for(2000.0);
        // The budget is twice the endpoint's share, by capacity, of all requests within 1 s. The capacity grows from
        // 0.4 to 1 in 4 s.
        let times = simulation.sent_to("a999", start);
        let total_capacity = size.endpoints as f64 + 0.4;
        for from in [start, start + 500.0, start + 1000.0] {
            let attempts = times.iter().filter(|at| (from..from + 1000.0).contains(*at)).count() as f64;
            let capacity = 0.4 + 0.6 * (from - start) / 4000.0;
            let budget = 2.0 * capacity / total_capacity * 1000.0 / REQUEST_INTERVAL;
            let max = budget + 3.0 * budget.sqrt() + 3.0;
            let after = from - start;
            prop_assert!(attempts <= max, "{attempts} attempts of {max} from {after} ms on, {size:?}");
        }
    }

    /// The number of votes per analysis is bounded at every size, and a bad version is rolled back.
    #[test]
    fn votes_per_analysis_are_bounded_and_bad_version_is_rolled_back(size in sizes()) {
        let mut simulation = Simulation::new(size);
        simulation.serve_for(500.0);
        for _ in 0..4 {
            simulation.for_each(|gateway| gateway.report_outcomes(Version(1), 100, 1, 60.0));
            simulation.serve_for(250.0);
        }
        simulation.for_each(|gateway| {
            gateway.start_endpoints(&["a998", "a999"], Version(2));
            gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5);
        });
        simulation.serve_for(4000.0);
        for _ in 0..4 {
            simulation.for_each(|gateway| {
                gateway.report_outcomes(Version(2), 60, 40, 60.0);
                gateway.report_outcomes(Version(1), 80, 1, 60.0);
            });
            simulation.serve_for(1000.0);
        }
        let mut votes_by_interval: BTreeMap<u64, usize> = BTreeMap::new();
        let mut rollback_votes = 0;
        for (at, action) in simulation.gateways.iter().flat_map(|gateway| &gateway.actions) {
            if let Action::CastVote { verdict, .. } = action {
                *votes_by_interval.entry((at / 250.0) as u64).or_default() += 1;
                rollback_votes += usize::from(*verdict == Verdict::RollBack);
            }
        }
        let max = votes_by_interval.values().max().copied().unwrap_or(0);
        // Each gateway draws independently, with a mean of eight votes in all.
        prop_assert!(max <= 24, "{max} votes within 250 ms, {size:?}");
        prop_assert!(rollback_votes > 0, "no rollback vote, {size:?}");
    }

    #[test]
    fn same_events_and_seeds_give_same_actions_at_any_size(size in sizes()) {
        let run = || {
            let gateways = size.gateways.min(40);
            let first_share = size.first_share.min(f64::from(gateways));
            let mut simulation = Simulation::new(SimulationSize { gateways, first_share, ..size });
            simulation.serve_for(1000.0);
            simulation.for_each(|gateway| gateway.start_endpoints(&["a999"], Version(2)));
            simulation.for_each(|gateway| gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5));
            simulation.serve_for(1500.0);
            simulation.gateways.into_iter().map(|gateway| gateway.actions).collect::<Vec<_>>()
        };
        prop_assert!(run() == run(), "{size:?}");
    }

    /// Every endpoint is in the subset of some gateway, and subsets follow the rate of their gateway.
    #[test]
    fn subsets_of_all_gateways_cover_every_endpoint(size in sizes()) {
        let mut simulation = Simulation::new(size);
        simulation.serve_for(8000.0);
        let mut gateways_by_endpoint: BTreeMap<&str, usize> = BTreeMap::new();
        let mut subsets = Vec::new();
        for gateway in &simulation.gateways {
            let mut names: Vec<&str> = gateway.sent.iter().map(|sent| sent.endpoint.as_str()).collect();
            names.sort_unstable();
            names.dedup();
            subsets.push((names.len(), gateway.sent.len()));
            for name in names {
                *gateways_by_endpoint.entry(name).or_default() += 1;
            }
        }
        // 2,000 requests over at most 200 endpoints: at least ten per endpoint.
        let used = gateways_by_endpoint.len();
        prop_assert!(used == size.endpoints, "{used} of {} endpoints are used, {size:?}", size.endpoints);
        // A subset has at least eight endpoints, or as many as the gateway sends requests in 4 s, drawn at random.
        for (names, requests) in subsets {
            let subset = (requests as f64 / 2.0).max(8.0);
            let max = subset + 2.0 * subset.sqrt() + 4.0;
            prop_assert!(names as f64 <= max, "{names} endpoints used by {requests} requests, {size:?}");
        }
    }
}
