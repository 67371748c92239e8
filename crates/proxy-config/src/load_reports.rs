//! Load reports of proxies: checked, weighed against each other, and turned into tallies and figures on instances.
//! They are counts over a period; no outcome is made up that nobody saw.

use latchhaven_policy::{EndpointOutcomes, Event, Millis, OutcomeReport, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Reports are gathered for so many ms before the decisions hear of them: news of a period, not of each proxy.
pub const REPORT_PERIOD: Millis = 1_000.0;
/// Without a report for so many ms the platform's tallies count instead.
const SILENT: Millis = 5_000.0;
/// Times the mean of all reporting proxies that one of them counts at most, where at least so many report: one that
/// is wrong, or lies, condemns nothing alone.
const CLIP: f64 = 4.0;
const CLIP_FROM: usize = 4;
/// Submissions to one instance that count at most of one proxy and period: a broken way from one proxy is no sick host.
const HOST_CLIP: f64 = 20.0;
/// No proxy sends more in a period; figures above are nonsense.
const COUNT_MOST: u64 = 1_000_000_000;
/// The longest and shortest periods in ms that a report may cover.
const INTERVAL: std::ops::RangeInclusive<Millis> = 1.0..=3_600_000.0;
/// The longest mean time of an answer in ms that is believed: an hour.
const TOOK_MOST: Millis = 3_600_000.0;
/// Weight of the newest report in a proxy's rate.
const NEWEST: f64 = 0.3;

/// What a proxy counted at one host since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointCounts {
    /// Submissions begun; 0 where the proxy doesn't count them.
    pub started: u64,
    pub succeeded: u64,
    pub failed: u64,
    /// Still out when the report was made.
    pub in_flight: u64,
    /// Sum of the times in ms of so many settled ones.
    pub total_latency: f64,
    pub latency_samples: u64,
}

/// What a proxy counted in one cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterReport {
    pub version: Version,
    pub class: usize,
    pub endpoints: Vec<(SocketAddr, EndpointCounts)>,
    pub dropped: u64,
}

/// One report of one proxy; `interval`: ms that it covers.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyReport {
    pub interval: Millis,
    pub clusters: Vec<ClusterReport>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    count: f64,
    failed: f64,
    took: f64,
    timed: f64,
}

impl Sum {
    fn of(figures: &EndpointCounts) -> Sum {
        let (count, failed) = ((figures.succeeded + figures.failed) as f64, figures.failed as f64);
        Sum { count, failed, took: figures.total_latency, timed: figures.latency_samples as f64 }
    }

    /// Adds another sum, weighed down to so many submissions.
    fn add(&mut self, other: &Sum, most: f64) {
        let share = if other.count > most { most / other.count } else { 1.0 };
        self.count += share * other.count;
        self.failed += share * other.failed;
        self.took += share * other.took;
        self.timed += share * other.timed;
    }

    /// Submissions, those that failed, and the mean time of the others.
    fn told(&self) -> (u64, u64, Option<Millis>) {
        let (count, failed) = (self.count.round() as u64, self.failed.round() as u64);
        (count, failed.min(count), (self.timed > 0.0).then(|| self.took / self.timed))
    }
}

/// What one proxy told of late.
#[derive(Clone, Debug, Default)]
struct Reporter {
    rate: Vec<f64>,
    /// Still out at each cluster when it last reported.
    out: BTreeMap<(Version, usize), u64>,
}

/// All reports since they were last taken.
#[derive(Clone, Debug)]
pub struct LoadReportAggregator {
    products: Vec<String>,
    /// By build and product, then proxy.
    tallies: BTreeMap<(Version, usize), BTreeMap<u64, Sum>>,
    hosts: BTreeMap<(String, usize), Sum>,
    reporters: BTreeMap<u64, Reporter>,
    heard: Option<Millis>,
    taken: Millis,
    platform_only: bool,
}

impl LoadReportAggregator {
    /// Gathers by these products; `platform_only`: proxies' counts judge no build.
    pub fn new(products: Vec<String>, platform_only: bool) -> Self {
        let (tallies, hosts, reporters) = Default::default();
        LoadReportAggregator { products, tallies, hosts, reporters, heard: None, taken: 0.0, platform_only }
    }

    /// Takes a report over, whole or not at all; `whose` tells the instance at an address that has, or lately had, a
    /// build.
    ///
    /// # Errors
    /// What cannot be in it: figures that contradict, times that are none, hosts that are not in their cluster.
    pub fn add_report<'a>(
        &mut self, proxy: u64, report: &ProxyReport, whose: impl Fn(&SocketAddr, Version) -> Option<&'a str>,
        now: Millis,
    ) -> Result<Vec<f64>, String> {
        if !INTERVAL.contains(&report.interval) {
            return Err("load_report_interval: not from 1 ms to 1 h".to_string());
        }
        let before = self.reporters.get(&proxy);
        let mut seen = BTreeSet::new();
        for cluster in &report.clusters {
            let at = (cluster.version, cluster.class);
            if cluster.class >= self.products.len() || !seen.insert(at) {
                return Err("cluster_stats: a cluster that is unknown, or there twice".to_string());
            }
            let (mut begun, mut ended) = (0u64, 0u64);
            for (host, figures) in &cluster.endpoints {
                let EndpointCounts {
                    started: issued,
                    succeeded: settled,
                    failed,
                    in_flight: out,
                    total_latency: took,
                    latency_samples: timed,
                } = *figures;
                if [issued, settled, failed, out, timed, cluster.dropped]
                    .iter()
                    .any(|count| *count > COUNT_MOST)
                {
                    return Err(format!("{host}: counts that cannot be"));
                }
                let mean = if timed > 0 { took / timed as f64 } else { took };
                if !(0.0..=TOOK_MOST).contains(&mean) || (timed == 0 && took != 0.0) {
                    return Err(format!("{host}: times that cannot be"));
                }
                if whose(host, cluster.version).is_none() {
                    return Err(format!("{host}: no host of its cluster"));
                }
                (begun, ended) = (begun + issued, ended + settled + failed);
            }
            let out = before.and_then(|before| before.out.get(&at));
            if let Some(out) = out.filter(|_| begun > 0)
                && ended > begun + out
            {
                return Err("cluster_stats: more ended than had begun".to_string());
            }
        }
        let mut rate = vec![0.0; self.products.len()];
        let mut out = BTreeMap::new();
        for cluster in &report.clusters {
            let at = (cluster.version, cluster.class);
            let sum = self.tallies.entry(at).or_default().entry(proxy).or_default();
            for (host, figures) in &cluster.endpoints {
                let ended = Sum::of(figures);
                sum.add(&ended, f64::INFINITY);
                if let Some(instance) = whose(host, cluster.version) {
                    let sum = self.hosts.entry((instance.to_string(), cluster.class)).or_default();
                    sum.add(&ended, HOST_CLIP);
                }
                rate[cluster.class] += ended.count.max(figures.started as f64) / report.interval;
                *out.entry(at).or_default() += figures.in_flight;
            }
            rate[cluster.class] += cluster.dropped as f64 / report.interval;
        }
        let reporter = self.reporters.entry(proxy).or_default();
        if reporter.rate.is_empty() {
            reporter.rate = rate;
        } else {
            reporter.rate.iter_mut().zip(&rate).for_each(|(held, new)| *held += NEWEST * (new - *held));
        }
        (reporter.out, self.heard) = (out, Some(now));
        Ok(reporter.rate.clone())
    }

    /// A proxy went away.
    pub fn disconnected(&mut self, proxy: u64) {
        self.reporters.remove(&proxy);
    }

    /// Whether the platform's tallies count now: never both its and the proxies', which saw the same submissions.
    pub fn uses_platform_counts(&self, now: Millis) -> bool {
        self.platform_only || self.heard.is_none_or(|heard| now - heard > SILENT)
    }

    /// What a period brought, for the decisions; nothing before it is over.
    pub fn drain_events(&mut self, now: Millis) -> Vec<Event> {
        if now - self.taken < REPORT_PERIOD {
            return Vec::new();
        }
        let age = (now - self.taken) / 2.0;
        self.taken = now;
        let mut events = Vec::new();
        for ((instance, product), sum) in std::mem::take(&mut self.hosts) {
            let (product, (count, failed, took)) = (self.products[product].clone(), sum.told());
            events.push(Event::EndpointOutcomesReported(EndpointOutcomes {
                endpoint: instance,
                class: product,
                attempts: count,
                failures: failed,
                mean_latency: took,
            }));
        }
        for ((build, product), sums) in std::mem::take(&mut self.tallies) {
            if self.platform_only {
                continue;
            }
            let mean = sums.values().map(|sum| sum.count).sum::<f64>() / sums.len().max(1) as f64;
            let most = if sums.len() >= CLIP_FROM { CLIP * mean } else { f64::INFINITY };
            let mut all = Sum::default();
            sums.values().for_each(|sum| all.add(sum, most));
            let (product, (count, failed, took)) = (self.products[product].clone(), all.told());
            events.push(Event::OutcomesReported(OutcomeReport {
                version: build,
                class: product,
                attempts: count,
                failures: failed,
                mean_latency: took,
                age,
            }));
        }
        events
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Hosts 1 to 3 have build 1.
    fn known(host: &SocketAddr, build: Version) -> Option<&'static str> {
        let names = ["s1", "s2", "s3"];
        names.get(usize::from(host.port().wrapping_sub(1))).copied().filter(|_| build == Version(1))
    }

    fn report(build: Version, host: u16, figures: EndpointCounts) -> ProxyReport {
        let hosts = vec![(SocketAddr::from(([127, 0, 0, 1], host)), figures)];
        ProxyReport {
            interval: 1000.0,
            clusters: vec![ClusterReport { version: build, class: 0, endpoints: hosts, dropped: 0 }],
        }
    }

    fn ok(settled: u64, failed: u64) -> EndpointCounts {
        EndpointCounts { succeeded: settled, failed, started: settled + failed, ..EndpointCounts::default() }
    }

    #[test]
    fn what_cannot_be_is_refused_whole() {
        let mut all = LoadReportAggregator::new(vec!["look".to_string()], false);
        let mut refused = |report: ProxyReport| all.add_report(1, &report, known, 0.0).is_err();
        assert!(!refused(report(Version(1), 1, EndpointCounts { in_flight: 2, ..ok(5, 1) })));
        for bad in [
            report(Version(1), 9, ok(1, 0)),
            report(Version(2), 1, ok(1, 0)),
            report(Version(1), 1, ok(COUNT_MOST + 1, 0)),
            report(
                Version(1),
                1,
                EndpointCounts { total_latency: f64::INFINITY, latency_samples: 1, ..ok(1, 0) },
            ),
            report(Version(1), 1, EndpointCounts { total_latency: f64::NAN, latency_samples: 1, ..ok(1, 0) }),
            report(Version(1), 1, EndpointCounts { total_latency: -3.0, latency_samples: 1, ..ok(1, 0) }),
            report(Version(1), 1, EndpointCounts { total_latency: 3.0, latency_samples: 0, ..ok(1, 0) }),
            report(Version(1), 1, EndpointCounts { started: 1, succeeded: 9, ..EndpointCounts::default() }),
            ProxyReport { interval: f64::NAN, ..report(Version(1), 1, ok(1, 0)) },
            ProxyReport { interval: 0.0, ..report(Version(1), 1, ok(1, 0)) },
        ] {
            assert!(refused(bad.clone()), "{bad:?}");
        }
        let events = all.drain_events(2000.0);
        let tallied = events.iter().find_map(|event| match event {
            Event::OutcomesReported(OutcomeReport { attempts: count, failures: failed, .. }) => {
                Some((*count, *failed))
            }
            _ => None,
        });
        assert_eq!(tallied, Some((6, 1)), "only what was sound");
    }

    #[test]
    fn one_proxy_condemns_neither_a_build_nor_a_host() {
        let mut all = LoadReportAggregator::new(vec!["look".to_string()], false);
        for proxy in 0..9 {
            all.add_report(proxy, &report(Version(1), 1, ok(100, 0)), known, 0.0).unwrap();
        }
        all.add_report(9, &report(Version(1), 1, ok(0, 1_000_000)), known, 0.0).unwrap();
        let mut failing = Vec::new();
        for event in all.drain_events(2000.0) {
            match event {
                Event::OutcomesReported(OutcomeReport { attempts: count, failures: failed, .. })
                | Event::EndpointOutcomesReported(EndpointOutcomes {
                    attempts: count,
                    failures: failed,
                    ..
                }) => {
                    failing.push(failed as f64 / count as f64);
                }
                _ => {}
            }
        }
        // A host is left aside from 0.6 on.
        assert!(failing.len() == 2 && failing[0] < 0.2, "{failing:?}");
    }

    #[test]
    fn submissions_are_never_counted_by_both() {
        let mut all = LoadReportAggregator::new(vec!["look".to_string()], false);
        assert!(all.uses_platform_counts(0.0));
        all.add_report(1, &report(Version(1), 1, ok(5, 0)), known, 0.0).unwrap();
        assert!(!all.uses_platform_counts(4_000.0) && all.uses_platform_counts(6_000.0));
        let mut all = LoadReportAggregator::new(vec!["look".to_string()], true);
        all.add_report(1, &report(Version(1), 1, ok(5, 0)), known, 0.0).unwrap();
        assert!(all.uses_platform_counts(1.0));
        assert!(
            all.drain_events(2000.0)
                .iter()
                .all(|event| matches!(event, Event::EndpointOutcomesReported(EndpointOutcomes { .. })))
        );
    }

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        #[test]
        fn whatever_is_reported_no_event_contradicts_itself(
            reports in prop::collection::vec(
                (0u64..5, 0u16..5, any::<u64>(), any::<u64>(), any::<u64>(), any::<f64>(), any::<u64>()), 0..40)
        ) {
            let mut all = LoadReportAggregator::new(vec!["look".to_string()], false);
            for (proxy, host, issued, settled, failed, took, timed) in reports {
                let cut = |count: u64| count >> (count % 64);
                let (issued, settled, failed) = (cut(issued), cut(settled), cut(failed));
                let figures = EndpointCounts { started: issued, succeeded: settled, failed, in_flight: 0, total_latency: took, latency_samples: cut(timed) };
                let _ = all.add_report(proxy, &report(Version(1), host, figures), known, 0.0);
            }
            for event in all.drain_events(1500.0) {
                if let Event::OutcomesReported(OutcomeReport { attempts: count, failures: failed, mean_latency: took, .. }) | Event::EndpointOutcomesReported(EndpointOutcomes { attempts: count, failures: failed, mean_latency: took, .. }) = event {
                    prop_assert!(failed <= count);
                    prop_assert!(took.is_none_or(|took| took.is_finite() && took >= 0.0));
                }
            }
        }
    }
}
