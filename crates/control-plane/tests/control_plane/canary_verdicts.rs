//! Verdicts on canaries, reached from the load reports of proxies.

use crate::support::{
    ReportedOutcomes, TestProxy, TestService, exchange_all, load_report, ready, service_with_canary,
};
use latchhaven_policy::{RolloutPhase, Verdict, Version};

/// Sends a load report with the same outcomes from each proxy, and polls the service for one second.
fn report_from_all<const N: usize>(
    service: &mut TestService, proxies: &mut [TestProxy], outcomes: impl Fn() -> [ReportedOutcomes; N],
) {
    for proxy in proxies.iter() {
        let stream = proxy.stream_id().expect("the proxy is connected");
        let report = load_report(outcomes());
        service.control_plane.on_load_report(stream, &report, service.now).expect("the report is valid");
    }
    service.advance(1_000.0);
    exchange_all(proxies, service);
}

#[test]
fn canary_after_a_rejected_one_gets_its_share() {
    let (mut service, mut proxies) = service_with_canary(3);
    let baseline = || ReportedOutcomes::new(Version(1), 1, 500, 0);
    for _ in 0..20 {
        let faulty = || ReportedOutcomes::new(Version(2), 3, 150, 150);
        report_from_all(&mut service, &mut proxies, || [baseline(), faulty()]);
    }
    assert_eq!(service.votes.last(), Some(&(Version(2), Verdict::RollBack)));
    service.report_rollout(Version(2), 1, RolloutPhase::RollingBack, 0.0);
    service.advance(1_000.0);
    service.report_rollout(Version(2), 1, RolloutPhase::RolledBack, 0.0);
    service.update_list(
        6,
        &[ready(1, Version(1)), ready(2, Version(1)), ready(3, Version(1)), ready(4, Version(3))],
    );
    service.advance(1_000.0);
    service.report_rollout(Version(3), 1, RolloutPhase::Canary, 0.5);
    for _ in 0..4 {
        let healthy = || ReportedOutcomes::new(Version(3), 4, 100, 0);
        report_from_all(&mut service, &mut proxies, || [baseline(), healthy()]);
    }
    let shares: Vec<f64> = proxies.iter().map(|proxy| proxy.share_of(Version(3))).collect();
    assert!(shares.iter().all(|share| *share > 0.1), "{shares:?}");
}

#[test]
fn load_reports_roll_back_a_faulty_canary_and_promote_a_healthy_one() {
    for (canary_failures, expected) in [(0, Verdict::Promote), (150, Verdict::RollBack)] {
        let (mut service, mut proxies) = service_with_canary(3);
        for _ in 0..40 {
            let baseline = || ReportedOutcomes::new(Version(1), 1, 499, 1).with_latency(20.0);
            let canary = || {
                ReportedOutcomes::new(Version(2), 3, 300 - canary_failures, canary_failures)
                    .with_latency(20.0)
            };
            report_from_all(&mut service, &mut proxies, || [baseline(), canary()]);
        }
        assert_eq!(service.votes.last(), Some(&(Version(2), expected)), "{:?}", service.votes);
        assert_eq!(proxies[0].share_of(Version(2)) == 0.0, expected == Verdict::RollBack);
    }
}
