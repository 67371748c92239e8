//! Which load reports are valid, and the events for the policy.

use latchhaven_policy::{EndpointOutcomes, Event, OutcomeReport, Version};
use latchhaven_proxy_config::load_reports::{
    ClusterReport, EndpointCounts, EndpointReport, LoadReportAggregator, ProxyReport, ReportError,
};
use proptest::prelude::*;
use std::net::SocketAddr;

/// The largest count of a valid report.
const MAX_COUNT: u64 = 1_000_000_000;

/// The endpoints at the ports 1 to 3, which run version 1.
fn endpoint_at(address: &SocketAddr, version: Version) -> Option<&'static str> {
    let names = ["s1", "s2", "s3"];
    names.get(usize::from(address.port().wrapping_sub(1))).copied().filter(|_| version == Version(1))
}

fn aggregator(uses_platform_only: bool) -> LoadReportAggregator {
    LoadReportAggregator::new(vec!["look".to_string()], uses_platform_only)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn report(version: u32, port: u16, counts: EndpointCounts) -> ProxyReport {
    let endpoints = vec![EndpointReport { address: address(port), counts }];
    let cluster = ClusterReport { version: Version(version), class: 0, endpoints, dropped: 0 };
    ProxyReport { interval: 1000.0, clusters: vec![cluster] }
}

fn counts(succeeded: u64, failed: u64) -> EndpointCounts {
    EndpointCounts { succeeded, failed, started: succeeded + failed, ..EndpointCounts::default() }
}

fn timed(total_latency: f64, latency_samples: u64) -> EndpointCounts {
    EndpointCounts { total_latency, latency_samples, ..counts(1, 0) }
}

#[test]
fn invalid_report_is_rejected_completely() {
    let mut aggregator = aggregator(false);
    let mut is_rejected = |report: ProxyReport| aggregator.add_report(1, &report, endpoint_at, 0.0).is_err();
    assert!(!is_rejected(report(1, 1, EndpointCounts { in_flight: 2, ..counts(5, 1) })));
    for invalid in [
        report(1, 9, counts(1, 0)),
        report(2, 1, counts(1, 0)),
        report(1, 1, counts(MAX_COUNT + 1, 0)),
        report(1, 1, timed(f64::INFINITY, 1)),
        report(1, 1, timed(f64::NAN, 1)),
        report(1, 1, timed(-3.0, 1)),
        report(1, 1, timed(3.0, 0)),
        report(1, 1, EndpointCounts { started: 1, succeeded: 9, ..EndpointCounts::default() }),
        ProxyReport { interval: f64::NAN, ..report(1, 1, counts(1, 0)) },
        ProxyReport { interval: 0.0, ..report(1, 1, counts(1, 0)) },
    ] {
        assert!(is_rejected(invalid.clone()), "{invalid:?}");
    }
    let events = aggregator.drain_events(2000.0);
    let observed = events.iter().find_map(|event| match event {
        Event::OutcomesReported(OutcomeReport { attempts, failures, .. }) => Some((*attempts, *failures)),
        _ => None,
    });
    assert_eq!(observed, Some((6, 1)), "only the valid report");
}

/// These texts are sent to proxies, so that they must not change unnoticed.
#[test]
fn report_error_text_names_field_and_problem() {
    let mut aggregator = aggregator(false);
    let mut error = |report: ProxyReport| aggregator.add_report(1, &report, endpoint_at, 0.0).unwrap_err();
    let too_short = ProxyReport { interval: 0.0, ..report(1, 1, counts(1, 0)) };
    let cluster = report(1, 1, counts(1, 0)).clusters.remove(0);
    let repeated = ProxyReport { interval: 1000.0, clusters: vec![cluster.clone(), cluster] };
    let errors = [
        (error(too_short), ReportError::InvalidInterval, "load_report_interval: not from 1 ms to 1 h"),
        (
            error(repeated),
            ReportError::UnknownOrRepeatedCluster,
            "cluster_stats: unknown cluster, or the same cluster twice",
        ),
        (
            error(report(1, 1, counts(MAX_COUNT + 1, 0))),
            ReportError::InvalidCounts(address(1)),
            "127.0.0.1:1: count above the limit",
        ),
        (
            error(report(1, 1, timed(3.0, 0))),
            ReportError::InvalidLatency(address(1)),
            "127.0.0.1:1: implausible latency",
        ),
        (
            error(report(1, 9, counts(1, 0))),
            ReportError::UnknownEndpoint(address(9)),
            "127.0.0.1:9: not an endpoint of its cluster",
        ),
    ];
    for (error, expected, text) in errors {
        assert_eq!(error.to_string(), text);
        assert_eq!(error, expected);
    }
    let text = ReportError::MoreCompletedThanStarted.to_string();
    assert_eq!(text, "cluster_stats: more attempts completed than started");
}

#[test]
fn one_proxy_gets_neither_a_version_nor_an_endpoint_rejected() {
    let mut aggregator = aggregator(false);
    for proxy in 0..9 {
        aggregator.add_report(proxy, &report(1, 1, counts(100, 0)), endpoint_at, 0.0).unwrap();
    }
    aggregator.add_report(9, &report(1, 1, counts(0, 1_000_000)), endpoint_at, 0.0).unwrap();
    let mut failure_rates = Vec::new();
    for event in aggregator.drain_events(2000.0) {
        match event {
            Event::OutcomesReported(OutcomeReport { attempts, failures, .. })
            | Event::EndpointOutcomesReported(EndpointOutcomes { attempts, failures, .. }) => {
                failure_rates.push(failures as f64 / attempts as f64);
            }
            _ => {}
        }
    }
    // Both are below 0.6, the failure rate from which an endpoint is ejected.
    assert!(failure_rates.len() == 2 && failure_rates[0] < 0.2, "{failure_rates:?}");
}

#[test]
fn attempts_are_never_counted_by_platform_and_proxies() {
    let mut reporting = aggregator(false);
    assert!(reporting.uses_platform_counts(0.0));
    reporting.add_report(1, &report(1, 1, counts(5, 0)), endpoint_at, 0.0).unwrap();
    assert!(!reporting.uses_platform_counts(4_000.0) && reporting.uses_platform_counts(6_000.0));
    let mut platform_only = aggregator(true);
    platform_only.add_report(1, &report(1, 1, counts(5, 0)), endpoint_at, 0.0).unwrap();
    assert!(platform_only.uses_platform_counts(1.0));
    let events = platform_only.drain_events(2000.0);
    assert!(events.iter().all(|event| matches!(event, Event::EndpointOutcomesReported(_))));
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    #[test]
    fn events_are_consistent_whatever_is_reported(
        reports in prop::collection::vec(
            (0u64..5, 0u16..5, any::<u64>(), any::<u64>(), any::<u64>(), any::<f64>(), any::<u64>()), 0..40)
    ) {
        let mut aggregator = aggregator(false);
        for (proxy, port, started, succeeded, failed, total_latency, latency_samples) in reports {
            let shorten = |count: u64| count >> (count % 64);
            let counts = EndpointCounts {
                started: shorten(started),
                succeeded: shorten(succeeded),
                failed: shorten(failed),
                in_flight: 0,
                total_latency,
                latency_samples: shorten(latency_samples),
            };
            let _ = aggregator.add_report(proxy, &report(1, port, counts), endpoint_at, 0.0);
        }
        for event in aggregator.drain_events(1500.0) {
            if let Event::OutcomesReported(OutcomeReport { attempts, failures, mean_latency, .. })
            | Event::EndpointOutcomesReported(EndpointOutcomes { attempts, failures, mean_latency, .. }) = event
            {
                prop_assert!(failures <= attempts);
                prop_assert!(mean_latency.is_none_or(|latency| latency.is_finite() && latency >= 0.0));
            }
        }
    }
}
