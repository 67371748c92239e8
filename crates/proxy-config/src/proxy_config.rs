//! The outlook of the decisions as proxies are told it: clusters by build and product, hosts by build, a route by
//! product. What the five rules demand of a front that is not asked for each txn is seen to here.

use crate::canary_share::{MILLION, max_safe_share, max_warmup_share, to_parts_per_million};
use crate::share_ledger::{CanaryShares, ShareLedger};
use latchhaven_policy::{
    DedupScope, EndpointSnapshot, ExposureConfig, Idempotency, Millis, PolicySnapshot, RequestClass,
    SlowStartConfig, Version,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A window brings at least this part of the txns of late: traffic may fall before proxies are told anew.
const LEAST_OF_LATE: f64 = 0.5;
/// Steps of capacity in which hosts are weighed: finer ones would send anew all the time while hosts warm up.
const WEIGHT_STEPS: f64 = 20.0;
/// Steps in which shares below the cap and drops are told, in parts of a million: hundredths.
const STEP: u32 = 10_000;
/// Times its even part of a build's room in flight that each proxy may use: clients spread unevenly.
const UNEVEN: f64 = 2.0;
/// In flight that a proxy may have at a build at least.
const IN_FLIGHT_LEAST: u32 = 4;
/// ms between two tries of a proxy at most, beside the time of the try itself.
const BACK_OFF: Millis = 100.0;

/// What stays the same from handout to handout.
#[derive(Clone, Debug)]
pub struct ProxyConfigSettings {
    pub classes: Vec<RequestClass>,
    pub exposure: ExposureConfig,
    pub slow_start: SlowStartConfig,
    /// Submissions of a txn at most.
    pub max_attempts: usize,
    /// In flight that a warm host of weight 1 can hold, over all proxies.
    pub max_in_flight_per_endpoint: u32,
}

/// Everything that proxies are told.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyConfig {
    pub clusters: Vec<Cluster>,
    pub endpoints: BTreeMap<Version, Vec<ConfiguredEndpoint>>,
    /// In parts of a million, to be declined at once.
    pub shed_share: u32,
    pub routes: Vec<Route>,
    /// The trial's share by product.
    pub canary_shares: CanaryShares,
}

/// One product's way to one build.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    pub version: Version,
    pub class: usize,
    /// In flight at most, at each proxy.
    pub max_in_flight: u32,
    /// Repeats may go there: not while a cap counts every submission.
    pub allows_retries: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    Healthy,
    /// Left aside for now.
    Unhealthy,
    /// It wants nothing new.
    Draining,
}

/// One host of a build.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfiguredEndpoint {
    pub endpoint: String,
    pub address: SocketAddr,
    pub zone: String,
    pub weight: u32,
    pub health: EndpointHealth,
}

/// Where a part of a product's txns goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteTarget {
    Version(Version),
    /// Nowhere: declined at once.
    Reject,
}

/// Which failed submissions a proxy may repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Those that provably never ran: no connection, or refused unprocessed.
    NotExecuted,
    /// Any.
    Any,
}

/// How one product's txns go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub class: usize,
    /// In parts of a million, one whole in all.
    pub shares: Vec<(RouteTarget, u32)>,
    /// The same for txns with a key, where keys may not go back.
    pub sticky_shares: Option<Vec<(RouteTarget, u32)>>,
    pub timeout: Millis,
    pub attempt_timeout: Option<Millis>,
    pub max_retries: u32,
    pub retry_scope: RetryScope,
}

/// Builds whose ready hosts are all left aside: that is no choice left, they are tried rather than none.
fn all_aside(outlook: &PolicySnapshot) -> BTreeSet<Version> {
    let builds = |aside: bool| {
        let hosts = outlook.endpoints.iter().filter(move |host| host.is_ready && host.is_ejected == aside);
        hosts.map(|host| host.version).collect::<BTreeSet<Version>>()
    };
    &builds(true) - &builds(false)
}

/// Capacity of the hosts of each build that get txns.
fn capacities(outlook: &PolicySnapshot, tried: &BTreeSet<Version>) -> BTreeMap<Version, f64> {
    let mut capacities: BTreeMap<Version, f64> = BTreeMap::new();
    let serving =
        |host: &&EndpointSnapshot| host.is_ready && (!host.is_ejected || tried.contains(&host.version));
    for host in outlook.endpoints.iter().filter(serving) {
        *capacities.entry(host.version).or_default() += host.capacity;
    }
    capacities
}

/// Makes a handout of what the decisions look like at one moment.
pub fn build_proxy_config(
    outlook: &PolicySnapshot, terms: &ProxyConfigSettings, withdrawn: &BTreeSet<Version>,
    addresses: &BTreeMap<String, SocketAddr>, ledger: &ShareLedger, now: Millis,
) -> ProxyConfig {
    let tried = all_aside(outlook);
    let (capacities, hosts) = (capacities(outlook, &tried), hosts(outlook, &tried, addresses));
    let trial_builds: BTreeSet<Version> = outlook.canaries.iter().map(|trial| trial.version).collect();
    let earlier: Vec<(Version, f64)> = capacities
        .iter()
        .filter(|(build, capacity)| {
            !trial_builds.contains(build) && !withdrawn.contains(build) && **capacity > 0.0
        })
        .map(|(build, capacity)| (*build, *capacity))
        .collect();
    let mut trial = CanaryShares::new();
    let routes = terms.classes.iter().enumerate().map(|(product, known)| {
        let parts = trial_parts(outlook, terms, &capacities, !earlier.is_empty(), product, ledger, now);
        trial.push(parts.iter().map(|(_, part)| part).sum());
        let keyed = terms.exposure.sticky_keys.then(|| {
            // A key that the trial answered must not return: with a key all stay where they are, then move once.
            let stays = if earlier.is_empty() { parts.clone() } else { Vec::new() };
            whole(stays, &earlier)
        });
        let (repeat, repeats, try_timeout) = repeats(known, terms.max_attempts);
        let shares = whole(parts, &earlier);
        Route {
            class: product,
            shares,
            sticky_shares: keyed,
            timeout: known.timeout,
            attempt_timeout: try_timeout,
            max_retries: repeats,
            retry_scope: repeat,
        }
    });
    let routes: Vec<Route> = routes.collect();
    let proxies = ledger.len().max(1) as f64;
    let clusters = hosts.keys().flat_map(|build| {
        let capacity = capacities.get(build).copied().unwrap_or(0.0);
        let room = f64::from(terms.max_in_flight_per_endpoint) * capacity * UNEVEN / proxies;
        // Powers of two: a proxy more or less, or a host, does not tell all of them anew.
        let in_flight = (room.ceil() as u32).max(IN_FLIGHT_LEAST).next_power_of_two();
        let capped = outlook.canaries.iter().any(|trial| trial.version == *build && trial.traffic_cap < 1.0);
        let cluster = move |product| Cluster {
            version: *build,
            class: product,
            max_in_flight: in_flight,
            allows_retries: !capped,
        };
        (0..terms.classes.len()).map(cluster)
    });
    let clusters = clusters.collect();
    let dropped = to_parts_per_million(outlook.shed_probability) / STEP * STEP;
    ProxyConfig { clusters, endpoints: hosts, shed_share: dropped, routes, canary_shares: trial }
}

fn hosts(
    outlook: &PolicySnapshot, tried: &BTreeSet<Version>, addresses: &BTreeMap<String, SocketAddr>,
) -> BTreeMap<Version, Vec<ConfiguredEndpoint>> {
    let mut hosts: BTreeMap<Version, Vec<ConfiguredEndpoint>> = BTreeMap::new();
    for host in &outlook.endpoints {
        let Some(addr) = addresses.get(&host.endpoint) else { continue };
        let health = match (host.is_ready, host.is_ejected) {
            (false, _) => EndpointHealth::Draining,
            (true, true) if !tried.contains(&host.version) => EndpointHealth::Unhealthy,
            (true, _) => EndpointHealth::Healthy,
        };
        let weight = ((host.capacity * WEIGHT_STEPS).floor().clamp(1.0, 1e6)) as u32;
        let (instance, zone) = (host.endpoint.clone(), host.zone.clone());
        hosts.entry(host.version).or_default().push(ConfiguredEndpoint {
            endpoint: instance,
            address: *addr,
            zone,
            weight,
            health,
        });
    }
    hosts.values_mut().for_each(|hosts| hosts.sort_by(|a, b| a.endpoint.cmp(&b.endpoint)));
    hosts
}

/// What each build on trial gets of a product's txns.
fn trial_parts(
    outlook: &PolicySnapshot, terms: &ProxyConfigSettings, capacities: &BTreeMap<Version, f64>, beside: bool,
    product: usize, ledger: &ShareLedger, now: Millis,
) -> Vec<(Version, u32)> {
    let capacity = |build: Version| capacities.get(&build).copied().unwrap_or(0.0);
    let (all, on_trial) = (
        capacities.values().sum::<f64>(),
        outlook.canaries.iter().map(|trial| capacity(trial.version)).sum::<f64>(),
    );
    let cold = |build: Version| {
        outlook.endpoints.iter().any(|host| host.version == build && host.is_ready && host.is_warming_up)
    };
    let any_cold = outlook.canaries.iter().any(|trial| cold(trial.version));
    let bound = if any_cold && beside {
        max_warmup_share(terms.slow_start.overload_multiple, on_trial, all)
    } else {
        1.0
    };
    let wanted = outlook.canary_share.min(bound);
    let rate: f64 = match terms.exposure.per_class {
        true => ledger.request_rate(product),
        false => (0..terms.classes.len()).map(|product| ledger.request_rate(product)).sum(),
    };
    let least = rate * terms.exposure.window * LEAST_OF_LATE;
    let mut found = Vec::new();
    for trial in outlook.canaries.iter().filter(|trial| capacity(trial.version) > 0.0) {
        let open = trial.stage >= terms.exposure.closed_stages
            || terms.classes[product].idempotency == Idempotency::Idempotent;
        let safe =
            if open { max_safe_share(trial.traffic_cap, terms.exposure.allowance, least) } else { 0.0 };
        let rest = ledger.remaining_share(product, safe, now);
        let part = (wanted * capacity(trial.version) / on_trial).min(rest);
        // Coarse steps downwards, so that a change of traffic does not tell all anew.
        let (part, step) =
            (to_parts_per_million(part), if trial.traffic_cap < 1.0 { STEP / 10 } else { STEP });
        found.push((trial.version, part / step * step));
    }
    found
}

/// The parts of a trial and what is left of one whole, by capacity among the earlier builds.
fn whole(trial: Vec<(Version, u32)>, earlier: &[(Version, f64)]) -> Vec<(RouteTarget, u32)> {
    let mut shares: Vec<(RouteTarget, u32)> =
        trial.into_iter().map(|(build, part)| (RouteTarget::Version(build), part)).collect();
    let left = MILLION - shares.iter().map(|(_, part)| *part).sum::<u32>().min(MILLION);
    let all: f64 = earlier.iter().map(|(_, capacity)| capacity).sum();
    let mut given = 0;
    for (n, (build, capacity)) in earlier.iter().enumerate() {
        let last = n + 1 == earlier.len();
        let part = f64::from(left) * capacity / all.max(f64::MIN_POSITIVE);
        let part = if last { left - given } else { (part as u32 / STEP * STEP).min(left - given) };
        given += part;
        shares.push((RouteTarget::Version(*build), part));
    }
    if earlier.is_empty() {
        shares.push((RouteTarget::Reject, left));
    }
    shares.retain(|(target, part)| *part > 0 || matches!(target, RouteTarget::Version(_)));
    shares
}

/// Which submissions of a product a proxy may repeat, how often, and how long it waits for each.
fn repeats(product: &RequestClass, submissions: usize) -> (RetryScope, u32, Option<Millis>) {
    let most = submissions.saturating_sub(1) as u32;
    match product.idempotency {
        Idempotency::Idempotent => (RetryScope::Any, most, Some(product.latency_objective)),
        // A proxy chooses the host of a repeat by itself: it may leave the group that drops repeats.
        Idempotency::IdempotencyKey if product.dedup_scope == DedupScope::All => {
            // Each try takes its time at most; the last has to begin while repeats are still dropped.
            let span = (product.dedup_window - BACK_OFF).max(0.0);
            let fit = (span / (product.latency_objective + BACK_OFF)).floor() as u32;
            (RetryScope::Any, most.min(fit), Some(product.latency_objective))
        }
        Idempotency::IdempotencyKey | Idempotency::NonIdempotent => (RetryScope::NotExecuted, most, None),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use latchhaven_policy::Canary;
    use proptest::prelude::*;

    fn product(effect: Idempotency, group: DedupScope, remember: Millis) -> RequestClass {
        let name = format!("{effect:?}{group:?}");
        let (sla, expiry) = (600.0, 2000.0);
        RequestClass {
            name,
            idempotency: effect,
            dedup_scope: group,
            dedup_window: remember,
            latency_objective: sla,
            objective_per_work: 0.0,
            timeout: expiry,
            priority_weight: 1.0,
            late_value_share: 0.0,
            streamed: false,
        }
    }

    fn terms() -> ProxyConfigSettings {
        let products = vec![
            product(Idempotency::Idempotent, DedupScope::All, 0.0),
            product(Idempotency::IdempotencyKey, DedupScope::All, 1500.0),
            product(Idempotency::IdempotencyKey, DedupScope::Zone, 5000.0),
            product(Idempotency::NonIdempotent, DedupScope::All, 0.0),
        ];
        let exposure = ExposureConfig {
            allowance: 2.0,
            stage_caps: vec![0.1, 1.0],
            window: 2000.0,
            per_class: false,
            closed_stages: 1,
            sticky_keys: true,
        };
        let cold = SlowStartConfig {
            initial_capacity: 0.4,
            duration: 5000.0,
            overload_multiple: 3.0,
            overload_window: 1500.0,
        };
        ProxyConfigSettings {
            classes: products,
            exposure,
            slow_start: cold,
            max_attempts: 3,
            max_in_flight_per_endpoint: 64,
        }
    }

    fn host(n: usize, build: Version, ready: bool, aside: bool, cold: bool) -> EndpointSnapshot {
        let capacity = if cold { 0.4 } else { 1.0 };
        EndpointSnapshot {
            endpoint: format!("s{n}"),
            version: build,
            zone: "a".to_string(),
            is_ready: ready,
            is_ejected: aside,
            capacity,
            is_warming_up: cold,
        }
    }

    fn addresses(n: usize) -> BTreeMap<String, SocketAddr> {
        (0..n).map(|n| (format!("s{n}"), SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)))).collect()
    }

    fn busy(rate: f64) -> ShareLedger {
        let mut ledger = ShareLedger::new(10);
        ledger.connected(1);
        ledger.set_request_rate(1, vec![rate; 4]);
        ledger
    }

    #[test]
    fn closed_stages_and_keys_keep_all_but_inquiries_with_the_earlier_build() {
        let hosts = vec![host(0, Version(1), true, false, false), host(1, Version(2), true, false, false)];
        let trials = vec![Canary { version: Version(2), traffic_cap: 0.1, stage: 0 }];
        let outlook = PolicySnapshot {
            canaries: trials,
            canary_share: 0.5,
            endpoints: hosts,
            ..PolicySnapshot::default()
        };
        let made = build_proxy_config(&outlook, &terms(), &BTreeSet::new(), &addresses(2), &busy(1.0), 0.0);
        assert!(
            made.canary_shares[0] > 30_000 && made.canary_shares[0] < 100_000,
            "{:?}",
            made.canary_shares
        );
        assert_eq!(made.canary_shares[1..], [0, 0, 0]);
        let earlier_only = vec![(RouteTarget::Version(Version(1)), MILLION)];
        assert!(made.routes.iter().all(|route| route.sticky_shares.as_ref() == Some(&earlier_only)));
        assert!(
            made.clusters.iter().all(|cluster| cluster.allows_retries == (cluster.version == Version(1)))
        );
    }

    #[test]
    fn a_withdrawn_build_gets_nothing_though_the_next_one_is_on_trial() {
        let hosts = vec![
            host(0, Version(1), true, false, false),
            host(1, Version(2), true, false, false),
            host(2, Version(3), true, false, false),
        ];
        let trials = vec![Canary { version: Version(3), traffic_cap: 0.1, stage: 1 }];
        let outlook = PolicySnapshot {
            canaries: trials,
            canary_share: 0.3,
            endpoints: hosts,
            ..PolicySnapshot::default()
        };
        let made = build_proxy_config(
            &outlook,
            &terms(),
            &BTreeSet::from([Version(2)]),
            &addresses(3),
            &busy(1.0),
            0.0,
        );
        let given = |target| {
            made.routes.iter().any(|route| {
                route
                    .shares
                    .iter()
                    .chain(route.sticky_shares.iter().flatten())
                    .any(|share| share.0 == target && share.1 > 0)
            })
        };
        assert!(
            given(RouteTarget::Version(Version(1)))
                && given(RouteTarget::Version(Version(3)))
                && !given(RouteTarget::Version(Version(2)))
        );
    }

    #[test]
    fn repeats_follow_what_a_product_allows() {
        let made = repeats(&product(Idempotency::NonIdempotent, DedupScope::All, 9000.0), 3);
        assert_eq!(made, (RetryScope::NotExecuted, 2, None));
        assert_eq!(
            repeats(&product(Idempotency::IdempotencyKey, DedupScope::Cell, 9000.0), 3).0,
            RetryScope::NotExecuted
        );
        assert_eq!(
            repeats(&product(Idempotency::IdempotencyKey, DedupScope::All, 9000.0), 3),
            (RetryScope::Any, 2, Some(600.0))
        );
        // Only one repeat begins before the window is over, or none.
        assert_eq!(repeats(&product(Idempotency::IdempotencyKey, DedupScope::All, 900.0), 3).1, 1);
        assert_eq!(repeats(&product(Idempotency::IdempotencyKey, DedupScope::All, 700.0), 3).1, 0);
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        /// Whatever the fleet looks like: each route is one whole, the trial within the cap and open only where it
        /// may be, a withdrawn build gets nothing, and each build's cold hosts no more than their budget.
        #[test]
        fn every_handout_keeps_the_rules(
            fleet in prop::collection::vec((1u32..5, any::<bool>(), any::<bool>(), any::<bool>()), 0..12),
            cap in 0.0f64..=1.0, stage in 0u32..2, share in 0.0f64..=1.0, rate in 0.0f64..10.0,
            withdrawn in prop::collection::btree_set((1u32..3).prop_map(Version), 0..2), shed in 0.0f64..=1.0
        ) {
            let instances: Vec<EndpointSnapshot> = fleet
                .iter()
                .enumerate()
                .map(|(n, (build, ready, aside, cold))| host(n, Version(*build), *ready, *aside, *cold))
                .collect();
            let on: BTreeSet<Version> =
                instances.iter().filter(|host| host.is_ready && host.version >= Version(3)).map(|host| host.version).collect();
            let trials: Vec<Canary> = on.iter().map(|build| Canary { version: *build, traffic_cap: cap, stage }).collect();
            let outlook = PolicySnapshot { canaries: trials, canary_share: share, shed_probability: shed, endpoints: instances, ..PolicySnapshot::default() };
            let terms = terms();
            let made = build_proxy_config(&outlook, &terms, &withdrawn, &addresses(12), &busy(rate), 0.0);
            let safe = to_parts_per_million(max_safe_share(cap, 2.0, rate * 4.0 * 2000.0 * LEAST_OF_LATE));
            for route in &made.routes {
                for shares in [Some(&route.shares), route.sticky_shares.as_ref()].into_iter().flatten() {
                    prop_assert_eq!(shares.iter().map(|(_, part)| *part).sum::<u32>(), MILLION);
                    for (target, part) in shares {
                        let RouteTarget::Version(build) = target else { continue };
                        prop_assert!(*part == 0 || !withdrawn.contains(build) || on.contains(build));
                        let closed = stage < 1 && terms.classes[route.class].idempotency != Idempotency::Idempotent;
                        prop_assert!(!on.contains(build) || (*part <= safe && (*part == 0 || !closed)));
                        prop_assert!(made.endpoints.contains_key(build), "no reference dangles");
                    }
                }
            }
            for cluster in &made.clusters {
                prop_assert!(made.endpoints.contains_key(&cluster.version));
                prop_assert!(!cluster.allows_retries || cap >= 1.0 || !on.contains(&cluster.version));
            }
            for (build, hosts) in &made.endpoints {
                for host in hosts {
                    let listed = &outlook.endpoints[host.endpoint[1..].parse::<usize>().unwrap()];
                    prop_assert!(listed.is_ready || host.health == EndpointHealth::Draining);
                    prop_assert_eq!(listed.version, *build);
                }
            }
        }
    }
}
