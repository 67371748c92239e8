//! Shared test scenarios: functions that decide the outcome and latency of each attempt, and gateways at the start of
//! a canary.

use super::{SentAttempt, TestConfig, TestGateway};
use latchhaven_policy::{AttemptOutcome, Millis, RolloutPhase, Version};

/// When all endpoints become slower in [`slowed`]: shortly after the start of the canary in [`with_canary`].
const SLOWDOWN_AT: Millis = 104_100.0;

/// Every attempt succeeds after 50 ms.
pub(crate) fn succeed(_: &SentAttempt) -> (AttemptOutcome, Millis) {
    (AttemptOutcome::Success, 50.0)
}

/// Attempts at one in `count` requests get `outcome`; all others succeed.
pub(crate) fn fail_every(
    count: u32, sent: &SentAttempt, outcome: AttemptOutcome,
) -> (AttemptOutcome, Millis) {
    if sent.id.0.is_multiple_of(count) { (outcome, 50.0) } else { succeed(sent) }
}

/// Attempts at all endpoints succeed, after 50 ms until [`SLOWDOWN_AT`] and after 110 ms from then on.
pub(crate) fn slowed(sent: &SentAttempt) -> (AttemptOutcome, Millis) {
    (AttemptOutcome::Success, if sent.sent_at < SLOWDOWN_AT { 50.0 } else { 110.0 })
}

/// A gateway with four fully warmed-up endpoints of version 1, and three endpoints of version 2 that have just
/// started, a canary in this stage and with this traffic cap.
pub(crate) fn with_canary(
    config: TestConfig, stage: u32, cap: f64,
    behavior: impl Fn(&SentAttempt) -> (AttemptOutcome, Millis) + 'static,
) -> TestGateway {
    let mut gateway = TestGateway::with_endpoints(config, 4, behavior);
    gateway.serve_for(4000.0, 2);
    gateway.start_endpoints(&["a7", "b8", "b9"], Version(2));
    gateway.update_rollout(Version(2), stage, RolloutPhase::Canary, cap);
    gateway
}

/// One of 300 gateways, with 20 endpoints of version 1, and two of version 2 that have just started, a canary with this
/// traffic cap.
pub(crate) fn among_300_gateways(
    seed: u64, cap: f64, behavior: impl Fn(&SentAttempt) -> (AttemptOutcome, Millis) + 'static,
) -> TestGateway {
    let config = TestConfig { seed, gateway_count: 300, ..TestConfig::default() };
    let mut gateway = TestGateway::with_endpoints(config, 20, behavior);
    gateway.update_rollout(Version(1), 2, RolloutPhase::Promoted, 1.0);
    gateway.serve_for(4000.0, 40);
    for _ in 0..4 {
        gateway.report_outcomes(Version(1), 100, 2, 60.0);
        gateway.serve_for(250.0, 40);
    }
    gateway.start_endpoints(&["a30", "b31"], Version(2));
    gateway.update_rollout(Version(2), if cap < 1.0 { 1 } else { 2 }, RolloutPhase::Canary, cap);
    gateway
}
