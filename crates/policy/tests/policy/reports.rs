//! Verdicts from outcome reports of the platform and wrong-answer reports of other gateways.

use crate::support::{SentAttempt, TestConfig, TestGateway, among_300_gateways, fail_every, succeed};
use latchhaven_policy::{AttemptOutcome, Event, Millis, RolloutPhase, Verdict, Version};
use rstest::rstest;

#[rstest]
#[case::failures(0.5, (40, 12, 60.0), (100, 2, 60.0), true)]
#[case::failures_of_both(0.5, (40, 12, 60.0), (100, 30, 60.0), false)]
#[case::slow(0.5, (40, 0, 150.0), (100, 2, 60.0), true)]
#[case::slow_both(0.5, (40, 0, 150.0), (100, 2, 150.0), false)]
#[case::few_of_few(0.5, (2, 1, 60.0), (100, 2, 60.0), false)]
#[case::warming_endpoints(0.5, (0, 0, 60.0), (100, 2, 60.0), false)]
#[case::collapse_at_full_traffic(1.0, (200, 120, 150.0), (4, 0, 60.0), true)]
#[case::one_tenant_fails_and_latencies_stay(1.0, (200, 120, 60.0), (4, 0, 60.0), false)]
#[case::all_fail(1.0, (200, 200, 0.0), (4, 0, 60.0), true)]
#[case::few_more_failures_at_full_traffic(1.0, (200, 20, 60.0), (4, 0, 60.0), false)]
fn reported_outcomes_decide_where_own_outcomes_are_few(
    #[case] cap: f64, #[case] new: (u64, u64, Millis), #[case] old: (u64, u64, Millis), #[case] bad: bool,
) {
    let mut gateway = among_300_gateways(7, cap, succeed);
    // Failures of warming endpoints are not compared.
    gateway.report_outcomes(Version(2), 40, 30, 300.0);
    gateway.report_outcomes(Version(1), 100, 2, 60.0);
    gateway.serve_for(4000.0, 40);
    for _ in 0..5 {
        gateway.report_outcomes(Version(2), new.0, new.1, new.2);
        gateway.report_outcomes(Version(1), old.0, old.1, old.2);
        gateway.serve_for(2000.0, 40);
    }
    // Few of many gateways vote; run until this one is drawn.
    gateway.run_for(20_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad);
}

/// Two endpoints of the canary are warm and carry its requests, a third has just started.
#[rstest]
#[case::failures_compare((60, 30, 60.0), true)]
#[case::latencies_do_not((60, 0, 150.0), false)]
fn failures_compare_while_canary_warms_up_and_latencies_do_not(
    #[case] new: (u64, u64, Millis), #[case] bad: bool,
) {
    let mut gateway = among_300_gateways(7, 0.5, succeed);
    gateway.serve_for(4000.0, 40);
    gateway.start_endpoints(&["a32"], Version(2));
    gateway.serve_for(500.0, 40);
    for _ in 0..4 {
        gateway.report_outcomes(Version(2), new.0, new.1, new.2);
        gateway.report_outcomes(Version(1), 100, 2, 60.0);
        gateway.serve_for(250.0, 40);
    }
    // Few of many gateways vote; run until this one is drawn.
    gateway.run_for(60_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad);
}

/// Failures common to canary and baseline, in reports over all gateways. A period has the canary's attempts and failures,
/// then the baseline's.
#[rstest]
#[case::since_its_larger_share([(12, 0, 88, 2), (12, 0, 88, 2), (30, 15, 70, 35), (30, 15, 70, 35)], true)]
#[case::present_before([(12, 0, 88, 2), (6, 3, 94, 47), (30, 15, 70, 35), (30, 15, 70, 35)], false)]
#[case::ended_and_begun_again([(6, 3, 94, 47), (12, 0, 88, 2), (30, 15, 70, 35), (30, 15, 70, 35)], true)]
#[case::under_more_load([(12, 0, 88, 2), (12, 0, 88, 2), (60, 30, 140, 70), (60, 30, 140, 70)], false)]
#[case::too_few([(12, 0, 88, 2), (12, 0, 88, 2), (30, 3, 70, 7), (30, 3, 70, 7)], false)]
#[case::it_carries_little([(12, 0, 88, 2), (12, 0, 88, 2), (12, 6, 88, 44), (12, 6, 88, 44)], false)]
fn common_failures_are_attributed_to_canary_with_a_large_share(
    #[case] periods: [(u64, u64, u64, u64); 4], #[case] bad: bool,
) {
    let mut gateway = among_300_gateways(7, 0.5, succeed);
    gateway.serve_for(4000.0, 40);
    for (new, failed, old, old_failed) in periods {
        gateway.report_outcomes(Version(2), new, failed, 60.0);
        gateway.report_outcomes(Version(1), old, old_failed, 60.0);
        gateway.serve_for(2000.0, 40);
    }
    gateway.run_for(20_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad, "{:?}", gateway.logs());
}

/// Two of four endpoints of the canary are outliers, and this gateway uses them.
#[rstest]
#[case::reports_show_none(Some(0), false)]
#[case::reports_show_them(Some(10), true)]
#[case::no_reports(None, true)]
fn own_errors_count_unless_reports_contradict_them(#[case] failed: Option<u64>, #[case] bad: bool) {
    let behavior = |sent: &SentAttempt| match sent.endpoint.as_str() {
        "a7" | "b8" => fail_every(2, sent, AttemptOutcome::Error),
        _ => succeed(sent),
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 8, behavior);
    gateway.update_rollout(Version(1), 2, RolloutPhase::Promoted, 1.0);
    gateway.serve_for(4000.0, 4);
    gateway.start_endpoints(&["a7", "b8", "a9", "b10"], Version(2));
    gateway.update_rollout(Version(2), 1, RolloutPhase::Canary, 0.5);
    for _ in 0..40 {
        if let Some(failed) = failed {
            gateway.report_outcomes(Version(2), 40, failed, 60.0);
            gateway.report_outcomes(Version(1), 80, 1, 60.0);
        }
        gateway.serve_for(250.0, 4);
    }
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad);
}

#[rstest]
#[case::peers_report_the_canary(false, Version(2), true)]
#[case::peers_report_both(false, Version(1), false)]
#[case::own_reports(true, Version(2), true)]
fn wrong_answer_reports_add_up_over_gateways(#[case] own: bool, #[case] other: Version, #[case] bad: bool) {
    let mut gateway = among_300_gateways(7, 0.5, succeed);
    gateway.serve_for(4000.0, 40);
    for k in 0..24u32 {
        let version: Version = if k % 3 == 0 { Version(2) } else { other };
        let (endpoint, class) = ("a30".to_string(), "look".to_string());
        let relayed = Event::PeerMessage { from: k, data: version.0.to_be_bytes().to_vec() };
        gateway.deliver(if own {
            Event::WrongResponseReported { endpoint, class, age: 1000.0 }
        } else {
            relayed
        });
        gateway.report_outcomes(Version(2), 20, 0, 60.0);
        gateway.report_outcomes(Version(1), 60, 0, 60.0);
        gateway.serve_for(500.0, 40);
    }
    gateway.run_for(20_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), bad);
}
