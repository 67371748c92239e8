//! Attempts at endpoints that are warming up.

use crate::support::{TestConfig, TestGateway, succeed};
use latchhaven_policy::{EndpointStatus, Millis, Version};
use rstest::rstest;

#[rstest]
fn warming_endpoint_gets_its_share_and_no_burst() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(3000.0, 1);
    gateway.start_endpoints(&["a7"], Version(1));
    let started_at = gateway.now;
    (0..200).for_each(|_| {
        gateway.request("look", None);
    });
    gateway.serve_for(1000.0, 1);
    let during_slow_start =
        gateway.sent.iter().filter(|sent| sent.endpoint == "a7" && sent.sent_at >= started_at).count();
    // Beside four warm endpoints, an endpoint with 0.4 to 0.55 of its capacity has a share of 10 of the 100 requests a
    // second. A burst of requests may raise that by half.
    assert!((2..=21).contains(&during_slow_start), "{during_slow_start} attempts in the first second");
}

#[rstest]
fn hundreds_of_gateways_together_stay_within_warming_budget() {
    let sent: usize = (0..100u64)
        .map(|seed| {
            let mut gateway = TestGateway::with_endpoints(
                TestConfig { seed, gateway_count: 100, ..TestConfig::default() },
                19,
                succeed,
            );
            gateway.serve_for(4000.0, 40);
            gateway.start_endpoints(&["b99"], Version(1));
            gateway.serve_for(1000.0, 40);
            gateway.sent.iter().filter(|sent| sent.endpoint == "b99").count()
        })
        .sum();
    // A warm endpoint gets 12.5 of 250 requests a second over 20 endpoints; the budget is twice 0.4 to 0.55 of that.
    assert!((2..=12).contains(&sent), "{sent} attempts in the first second");
}

/// Step of a wall clock.
const HOUR: Millis = 3_600_000.0;

#[rstest]
#[case::ahead(HOUR)]
#[case::behind(-HOUR)]
fn endpoint_listed_by_a_stepped_clock_warms_up_once(#[case] clock_step: Millis) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(3000.0, 1);
    let started_at = gateway.now;
    // The gateway's own clock is ten hours behind.
    gateway.update_endpoint("a7", Version(1), EndpointStatus::Ready, 10.0 * HOUR + started_at + clock_step);
    let sent_since = |gateway: &TestGateway, since: Millis| {
        gateway.sent.iter().filter(|sent| sent.endpoint == "a7" && sent.sent_at >= since).count()
    };
    gateway.serve_for(1000.0, 1);
    let attempts = sent_since(&gateway, started_at);
    assert!(attempts <= 21, "{attempts} attempts in the first second of the warm-up");
    gateway.serve_for(4000.0, 1);
    let warm_at = gateway.now;
    gateway.serve_for(2000.0, 1);
    let attempts = sent_since(&gateway, warm_at);
    assert!(attempts >= 25, "only {attempts} attempts in 2 s after the warm-up");
}

#[rstest]
#[case::in_the_past(-HOUR)]
#[case::in_the_future(HOUR)]
fn restart_listed_by_a_stepped_clock_counts_from_now(#[case] clock_step: Millis) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(3000.0, 1);
    let listed_at = gateway.now;
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 40.0 * HOUR);
    gateway.serve_for(10_000.0, 1);
    let restarted_at = gateway.now;
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 40.0 * HOUR + clock_step);
    gateway.serve_for(1000.0, 1);
    let sent =
        gateway.sent.iter().filter(|sent| sent.endpoint == "a0" && sent.sent_at >= restarted_at).count();
    assert!(
        sent <= 25,
        "{sent} attempts in the first second after the restart at {restarted_at}, listed first at {listed_at}"
    );
}
