//! Many gateways in one simulated run, over random sizes: what each does alone stays within a bound for all.

use crate::host::{Host, STEP, Terms};
use latchhaven_policy::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// ms between two txns of the whole fleet on the mean, so that small and large fleets take as many.
const APART: f64 = 4.0;

/// Gateways, instances, zones, how many times the mean the first gateway gets, and a seed.
fn sizes() -> impl Strategy<Value = (u32, usize, usize, f64, u64)> {
    let log = |most: f64| (0.0..most.ln()).prop_map(|size: f64| size.exp().round());
    (log(500.0), log(200.0), 1usize..4, 1.0..5.0f64, any::<u64>()).prop_map(
        |(gateways, instances, zones, times, seed)| {
            (gateways as u32, instances as usize, zones, times.min(gateways), seed)
        },
    )
}

struct Fleet {
    hosts: Vec<Host>,
    /// Txns that each gateway gets for each of the whole fleet, and what it is owed.
    shares: Vec<f64>,
    owed: Vec<f64>,
}

impl Fleet {
    /// Gateways of these sizes, all told the same warm instances of build 1, named by zone.
    fn new((gateways, instances, zones, times, seed): (u32, usize, usize, f64, u64)) -> Self {
        let others = (f64::from(gateways) - times) / f64::from(gateways - 1).max(1.0);
        let shares: Vec<f64> =
            (0..gateways).map(|me| if me == 0 { times } else { others } / f64::from(gateways)).collect();
        let mut hosts = Vec::new();
        for me in 0..gateways {
            let terms = Terms { seed: seed ^ u64::from(me), gateways, ..Terms::default() };
            let mut host = Host::new(terms);
            for i in 0..instances {
                host.list(
                    &format!("{}{i}", ["a", "b", "c"][i % zones]),
                    Version(1),
                    EndpointStatus::Ready,
                    0.0,
                );
            }
            host.stage(Version(1), 2, RolloutPhase::Promoted, 1.0);
            host.step();
            hosts.push(host);
        }
        // Each begins somewhere in its own turn: they do not send in step.
        let owed = (0..gateways).map(|me| f64::from(me) * 0.618 % 1.0).collect();
        Fleet { hosts, shares, owed }
    }

    fn serve(&mut self, ms: Millis) {
        for _ in 0..(ms / STEP) as usize {
            for ((host, share), owed) in self.hosts.iter_mut().zip(&self.shares).zip(&mut self.owed) {
                *owed += share * STEP / APART;
                while *owed >= 1.0 {
                    host.txn("look", None);
                    *owed -= 1.0;
                }
                host.step();
            }
        }
    }

    fn now(&self) -> Millis {
        self.hosts[0].now
    }

    /// Moments of all submissions to an instance since.
    fn sent_to(&self, instance: &str, since: Millis) -> Vec<Millis> {
        let all = self.hosts.iter().flat_map(|host| &host.sent);
        all.filter(|sent| sent.instance == instance && sent.at >= since).map(|sent| sent.at).collect()
    }

    fn tell(&mut self, told: impl Fn(&mut Host)) {
        self.hosts.iter_mut().for_each(told);
    }
}

fn config() -> ProptestConfig {
    ProptestConfig { cases: 24, ..latchhaven_proptest_config::deterministic() }
}

proptest! {
    #![proptest_config(config())]

    /// One instance of many starts cold: all gateways together push it over at no size, however uneven.
    #[test]
    fn a_cold_instance_gets_no_more_than_its_budget_of_all_gateways_together(size in sizes()) {
        let mut fleet = Fleet::new(size);
        fleet.serve(3000.0);
        let start = fleet.now();
        fleet.tell(|host| host.start(&["a999"], Version(1)));
        fleet.serve(2000.0);
        // The host's terms: twice what its capacity takes of the fleet's txns, within 1 s; 0.4 of it at first,
        // 0.55 after one of the four seconds, of which it warms up within each span.
        let moments = fleet.sent_to("a999", start);
        let capacity = size.1 as f64 + 0.4;
        for from in [start, start + 500.0, start + 1000.0] {
            let got = moments.iter().filter(|at| (from..from + 1000.0).contains(*at)).count() as f64;
            let warm = 0.4 + 0.6 * (from - start) / 4000.0;
            let budget = 2.0 * warm / capacity * 1000.0 / APART;
            let most = budget + 3.0 * budget.sqrt() + 3.0;
            prop_assert!(got <= most, "{got} of {most} from {} on, {size:?}", from - start);
        }
    }

    /// Votes of the whole fleet at one look do not grow with it, and a bad build goes back at every size.
    #[test]
    fn few_vote_at_each_look_and_a_bad_build_goes_back(size in sizes()) {
        let mut fleet = Fleet::new(size);
        fleet.serve(500.0);
        for _ in 0..4 {
            fleet.tell(|host| host.tally(Version(1), 100, 1, 60.0));
            fleet.serve(250.0);
        }
        fleet.tell(|host| {
            host.start(&["a998", "a999"], Version(2));
            host.stage(Version(2), 1, RolloutPhase::Canary, 0.5);
        });
        fleet.serve(4000.0);
        for _ in 0..4 {
            fleet.tell(|host| {
                host.tally(Version(2), 60, 40, 60.0);
                host.tally(Version(1), 80, 1, 60.0);
            });
            fleet.serve(1000.0);
        }
        let mut looks: BTreeMap<u64, usize> = BTreeMap::new();
        let mut backs = 0;
        for (at, action) in fleet.hosts.iter().flat_map(|host| &host.all) {
            if let Action::CastVote { verdict, .. } = action {
                *looks.entry((at / 250.0) as u64).or_default() += 1;
                backs += usize::from(*verdict == Verdict::RollBack);
            }
        }
        let most = looks.values().max().copied().unwrap_or(0);
        // Eight of all by chance; the draw of each is its own.
        prop_assert!(most <= 24, "{most} votes within 250 ms, {size:?}");
        prop_assert!(backs > 0, "nobody voted back, {size:?}");
    }

    /// The same events and seeds give the same actions, whatever the size.
    #[test]
    fn a_fleet_does_the_same_again(size in sizes()) {
        let day = || {
            let (few, times) = (size.0.min(40), size.3.min(f64::from(size.0.min(40))));
            let mut fleet = Fleet::new((few, size.1, size.2, times, size.4));
            fleet.serve(1000.0);
            fleet.tell(|host| host.start(&["a999"], Version(2)));
            fleet.tell(|host| host.stage(Version(2), 1, RolloutPhase::Canary, 0.5));
            fleet.serve(1500.0);
            fleet.hosts.into_iter().map(|host| host.all).collect::<Vec<_>>()
        };
        prop_assert!(day() == day(), "{size:?}");
    }

    /// No instance is left out by all, and no gateway of little traffic meets them all.
    #[test]
    fn the_parts_of_all_gateways_cover_every_instance(size in sizes()) {
        let mut fleet = Fleet::new(size);
        fleet.serve(8000.0);
        let mut met: BTreeMap<&str, usize> = BTreeMap::new();
        let mut held = Vec::new();
        for host in &fleet.hosts {
            let mut names: Vec<&str> = host.sent.iter().map(|sent| sent.instance.as_str()).collect();
            names.sort_unstable();
            names.dedup();
            held.push((names.len(), host.sent.len()));
            names.into_iter().for_each(|name| *met.entry(name).or_default() += 1);
        }
        // 2,000 txns over 200 instances at most: ten for each.
        prop_assert!(met.len() == size.1, "{} of {} are met, {size:?}", met.len(), size.1);
        // A part is eight at least, or what its traffic meets every 4 s, drawn by chance.
        for (names, txns) in held {
            let part = (txns as f64 / 2.0).max(8.0);
            prop_assert!(names as f64 <= part + 2.0 * part.sqrt() + 4.0, "{names} met, {txns} txns, {size:?}");
        }
    }
}
