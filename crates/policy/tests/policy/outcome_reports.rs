//! Verdicts on a canary by the platform's outcome reports and by responses reported wrong to any gateway.

use crate::support::{SentAttempt, TestConfig, TestGateway, among_300_gateways, fail_every, succeed};
use latchhaven_policy::{AttemptOutcome, Event, Millis, RolloutPhase, Verdict, Version};
use rstest::rstest;

/// Attempts, failures and mean latency in the platform's reports of one version and period.
type Counts = (u64, u64, Millis);

/// One of 300 gateways sees few outcomes of its own: the platform's reports on canary and baseline decide. At full
/// traffic the baseline's counts are too small, and the canary is compared with the time before.
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
    #[case] cap: f64, #[case] canary: Counts, #[case] baseline: Counts, #[case] is_bad: bool,
) {
    let mut gateway = among_300_gateways(7, cap, succeed);
    // Failures of warming endpoints are not compared.
    gateway.report_outcomes(Version(2), 40, 30, 300.0);
    gateway.report_outcomes(Version(1), 100, 2, 60.0);
    gateway.serve_for(4000.0, 40);
    for _ in 0..5 {
        gateway.report_outcomes(Version(2), canary.0, canary.1, canary.2);
        gateway.report_outcomes(Version(1), baseline.0, baseline.1, baseline.2);
        gateway.serve_for(2000.0, 40);
    }
    // Few of many gateways vote at an analysis: runs until this one is drawn.
    gateway.run_for(20_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), is_bad);
}

/// Two endpoints of the canary are warm and receive its requests, a third has just started. Failures are compared,
/// since the endpoints are warm on average; latencies are not, since the third is not warm yet.
#[rstest]
#[case::failures_compare((60, 30, 60.0), true)]
#[case::latencies_do_not((60, 0, 150.0), false)]
fn failures_compare_while_canary_warms_up_and_latencies_do_not(#[case] canary: Counts, #[case] is_bad: bool) {
    let mut gateway = among_300_gateways(7, 0.5, succeed);
    gateway.serve_for(4000.0, 40);
    gateway.start_endpoints(&["a32"], Version(2));
    gateway.serve_for(500.0, 40);
    for _ in 0..4 {
        gateway.report_outcomes(Version(2), canary.0, canary.1, canary.2);
        gateway.report_outcomes(Version(1), 100, 2, 60.0);
        gateway.serve_for(250.0, 40);
    }
    // Few of many gateways vote at an analysis: runs until this one is drawn.
    gateway.run_for(60_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), is_bad);
}

/// A canary with much traffic can make the baseline's endpoints fail as well: a comparison of the two shows no
/// difference. Failures that began before, under a higher load or in small numbers are not attributed to it. A period
/// consists of the canary's attempts and failures, then the baseline's.
#[rstest]
#[case::since_its_larger_share([(12, 0, 88, 2), (12, 0, 88, 2), (30, 15, 70, 35), (30, 15, 70, 35)], true)]
#[case::present_before([(12, 0, 88, 2), (6, 3, 94, 47), (30, 15, 70, 35), (30, 15, 70, 35)], false)]
#[case::ended_and_begun_again([(6, 3, 94, 47), (12, 0, 88, 2), (30, 15, 70, 35), (30, 15, 70, 35)], true)]
#[case::under_more_load([(12, 0, 88, 2), (12, 0, 88, 2), (60, 30, 140, 70), (60, 30, 140, 70)], false)]
#[case::too_few([(12, 0, 88, 2), (12, 0, 88, 2), (30, 3, 70, 7), (30, 3, 70, 7)], false)]
#[case::it_carries_little([(12, 0, 88, 2), (12, 0, 88, 2), (12, 6, 88, 44), (12, 6, 88, 44)], false)]
fn common_failures_are_attributed_to_canary_with_a_large_share(
    #[case] periods: [(u64, u64, u64, u64); 4], #[case] is_bad: bool,
) {
    let mut gateway = among_300_gateways(7, 0.5, succeed);
    gateway.serve_for(4000.0, 40);
    for (canary_attempts, canary_failures, baseline_attempts, baseline_failures) in periods {
        gateway.report_outcomes(Version(2), canary_attempts, canary_failures, 60.0);
        gateway.report_outcomes(Version(1), baseline_attempts, baseline_failures, 60.0);
        gateway.serve_for(2000.0, 40);
    }
    gateway.run_for(20_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), is_bad, "{:?}", gateway.logs());
}

/// Two of the canary's four endpoints are faulty. One gateway's own errors reject the version unless reports over all
/// gateways show no more failures than expected.
#[rstest]
#[case::reports_show_none(Some(0), false)]
#[case::reports_show_them(Some(10), true)]
#[case::no_reports(None, true)]
fn own_errors_count_unless_reports_contradict_them(
    #[case] reported_failures: Option<u64>, #[case] is_bad: bool,
) {
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
        if let Some(failures) = reported_failures {
            gateway.report_outcomes(Version(2), 40, failures, 60.0);
            gateway.report_outcomes(Version(1), 80, 1, 60.0);
        }
        gateway.serve_for(250.0, 4);
    }
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), is_bad);
}

/// Clients of one gateway report few responses as wrong: reports that peers relay count as much as this gateway's own.
#[rstest]
#[case::peers_report_the_canary(false, Version(2), true)]
#[case::peers_report_both(false, Version(1), false)]
#[case::own_reports(true, Version(2), true)]
fn reports_of_wrong_responses_add_up_over_gateways(
    #[case] is_own: bool, #[case] other: Version, #[case] is_bad: bool,
) {
    let mut gateway = among_300_gateways(7, 0.5, succeed);
    gateway.serve_for(4000.0, 40);
    for number in 0..24u32 {
        let version: Version = if number % 3 == 0 { Version(2) } else { other };
        let (endpoint, class) = ("a30".to_string(), "look".to_string());
        let relayed = Event::PeerMessage { from: number, data: version.0.to_be_bytes().to_vec() };
        gateway.deliver(if is_own {
            Event::WrongResponseReported { endpoint, class, age: 1000.0 }
        } else {
            relayed
        });
        gateway.report_outcomes(Version(2), 20, 0, 60.0);
        gateway.report_outcomes(Version(1), 60, 0, 60.0);
        gateway.serve_for(500.0, 40);
    }
    gateway.run_for(20_000.0);
    assert_eq!(gateway.has_voted(Version(2), Verdict::RollBack), is_bad);
}
