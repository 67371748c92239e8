//! Load shedding, and the latency of admitted requests.

use crate::support::{SentAttempt, TestConfig, TestGateway, succeed};
use latchhaven_policy::{Action, AttemptOutcome, Millis};
use rstest::rstest;

#[rstest]
fn slow_tenant_displaces_no_other_tenant() {
    let slow = |sent: &SentAttempt| {
        (AttemptOutcome::Success, if sent.id.0.is_multiple_of(2) { 800.0 } else { 50.0 })
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, slow);
    let mut ids = Vec::new();
    for number in 0..2000 {
        let tenant = if (number + 1) % 2 == 0 { "slow" } else { "fast" };
        ids.push((gateway.request_from(Some(tenant), "look", false, 2000.0), tenant));
        gateway.step();
    }
    let count_rejected = |of: &str| {
        ids[1000..]
            .iter()
            .filter(|(id, tenant)| *tenant == of && gateway.endpoints_tried(*id).is_empty())
            .count()
    };
    let (of_slow, of_fast) = (count_rejected("slow"), count_rejected("fast"));
    assert!(
        of_slow > 250 && of_fast < 250,
        "rejected of 500 each: {of_slow} of the slow tenant, {of_fast} of the fast one"
    );
}

#[rstest]
#[case::first_attempt(false, 2000.0, true)]
#[case::early_retry(true, 1900.0, true)]
#[case::late_retry(true, 1200.0, false)]
fn retry_past_objective_of_first_attempt_is_rejected_immediately(
    #[case] is_retry: bool, #[case] time_remaining: Millis, #[case] sent: bool,
) {
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, succeed);
    gateway.serve_for(100.0, 1);
    let id = gateway.request_from(None, "look", is_retry, time_remaining);
    gateway.run_for(30.0);
    assert_eq!((gateway.endpoints_tried(id).is_empty(), gateway.unserved.contains_key(&id)), (!sent, !sent));
    // Attempts time out at the latency objective, so that endpoints may drop late ones unexecuted.
    let exceeds_objective = |action: &Action| match action {
        Action::SendAttempt { timeout, .. } => timeout.is_none_or(|timeout| timeout > 500.0),
        _ => false,
    };
    assert!(!gateway.actions.iter().any(|(_, action)| exceeds_objective(action)));
}

#[rstest]
fn overload_is_shed_immediately_and_admitted_requests_are_in_time() {
    // Each endpoint processes one request at a time, in order.
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, |sent| {
        (AttemptOutcome::Success, 100.0 * (sent.in_flight + 1) as f64)
    });
    gateway.serve_for(8000.0, 1);
    let mut rejected = 0;
    for (id, statuses) in &gateway.unserved {
        rejected += 1;
        assert_eq!(statuses.len(), 1, "final statuses of request {id}");
        assert!(!gateway.succeeded.contains_key(id));
    }
    assert!(rejected > 100, "requests arrive at twice the capacity, but only {rejected} are rejected");
    let slow = gateway
        .sent
        .iter()
        .filter(|s| gateway.succeeded.get(&s.id).is_some_and(|at| at - s.sent_at > 500.0))
        .count();
    assert!(
        gateway.succeeded.len() > 250 && slow * 10 < gateway.succeeded.len(),
        "{slow} of {} successes are later than the latency objective",
        gateway.succeeded.len()
    );
}

#[rstest]
#[case::little_traffic(10)]
#[case::much_traffic(2)]
fn load_shedding_ends_soon_after_an_overload(#[case] every: usize) {
    // For four seconds all attempts time out, then all succeed as before.
    let is_overloaded = |sent: &SentAttempt| (103_000.0..107_000.0).contains(&sent.sent_at);
    let behavior = move |sent: &SentAttempt| {
        if is_overloaded(sent) { (AttemptOutcome::Timeout, 500.0) } else { succeed(sent) }
    };
    let mut gateway = TestGateway::with_endpoints(TestConfig::default(), 4, behavior);
    gateway.serve_for(3000.0, every);
    assert!(gateway.unserved.is_empty(), "rejected without an overload");
    gateway.serve_for(4000.0, every);
    let rejected = |gateway: &TestGateway, from: Millis| {
        gateway.unserved.values().filter(|statuses| statuses[0].0 >= from).count()
    };
    assert!(rejected(&gateway, 105_000.0) * 2 * every > 100, "few requests are rejected during the overload");
    gateway.serve_for(5000.0, every);
    let rejected_late = rejected(&gateway, 109_500.0) * every;
    assert!(rejected_late <= 10, "{rejected_late} of 250 are rejected 2.5 to 5 s after the overload");
}

#[test]
fn lasting_overload_gets_few_attempts_from_gateway_with_little_traffic() {
    let (mut received, mut sent) = (0, 0);
    for seed in 0..10 {
        let overloaded = |sent: &SentAttempt| {
            if sent.sent_at > 103_000.0 { (AttemptOutcome::Timeout, 500.0) } else { succeed(sent) }
        };
        let mut gateway =
            TestGateway::with_endpoints(TestConfig { seed, ..TestConfig::default() }, 4, overloaded);
        gateway.serve_for(6000.0, 10);
        let before = gateway.request("look", None);
        gateway.serve_for(5000.0, 10);
        received += gateway.request("look", None).0 - before.0 - 1;
        sent += gateway.sent.iter().filter(|sent| sent.id > before && sent.number == 0).count() as u32;
    }
    assert!(sent * 4 < received, "{sent} of {received} requests are sent to endpoints where all time out");
}
