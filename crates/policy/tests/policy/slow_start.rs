//! The traffic of warming endpoints.

use crate::support::{TestConfig, TestGateway, succeed};
use latchhaven_policy::{EndpointStatus, Millis, Version};
use rstest::rstest;

#[rstest]
fn warming_endpoint_gets_its_share_and_no_burst() {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(3000.0, 1);
    gateway.start_endpoints(&["a7"], Version(1));
    let started = gateway.now;
    (0..200).for_each(|_| {
        gateway.request("look", None);
    });
    gateway.serve_for(1000.0, 1);
    let during_slow_start =
        gateway.sent.iter().filter(|sent| sent.endpoint == "a7" && sent.at >= started).count();
    // Its part of 100 requests a second, at 0.4 to 0.55 of its capacity beside four warm endpoints, is 10; the burst may
    // raise that by half.
    assert!((2..=21).contains(&during_slow_start), "{during_slow_start}");
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
    // 250 requests a second over 20 endpoints: a warm one gets 12.5; the budget is twice 0.4 to 0.55 of that.
    assert!((2..=12).contains(&sent), "{sent}");
}

/// The step of a wall clock in ms: one hour.
const HOUR: Millis = 3_600_000.0;

#[rstest]
#[case::ahead(HOUR)]
#[case::behind(-HOUR)]
fn endpoint_listed_by_a_stepped_clock_warms_up_once(#[case] step: Millis) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(3000.0, 1);
    let started = gateway.now;
    gateway.update_endpoint("a7", Version(1), EndpointStatus::Ready, 10.0 * HOUR + started + step);
    // The gateway's own clock is ten hours behind.
    let sent_since = |gateway: &TestGateway, at: Millis| {
        gateway.sent.iter().filter(|sent| sent.endpoint == "a7" && sent.at >= at).count()
    };
    gateway.serve_for(1000.0, 1);
    assert!(sent_since(&gateway, started) <= 21, "it is warming up");
    gateway.serve_for(4000.0, 1);
    let warm_at = gateway.now;
    gateway.serve_for(2000.0, 1);
    assert!(sent_since(&gateway, warm_at) >= 25, "it is warm after the warm-up");
}

#[rstest]
#[case::in_the_past(-HOUR)]
#[case::in_the_future(HOUR)]
fn restart_listed_by_a_stepped_clock_counts_from_now(#[case] step: Millis) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(3000.0, 1);
    let listed_at = gateway.now;
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 40.0 * HOUR);
    gateway.serve_for(10_000.0, 1);
    let restarted_at = gateway.now;
    gateway.update_endpoint("a0", Version(1), EndpointStatus::Ready, 40.0 * HOUR + step);
    gateway.serve_for(1000.0, 1);
    let sent = gateway.sent.iter().filter(|sent| sent.endpoint == "a0" && sent.at >= restarted_at).count();
    assert!(sent <= 25, "warming up again: {sent} since {restarted_at}, listed first at {listed_at}");
}
