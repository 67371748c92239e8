//! The next step of a call, given the outcomes of its attempts.

use latchhaven_client::call::{AttemptOutcome, Call, CallOutcome, Idempotency, NextStep};
use latchhaven_client::retry_budget::RetryBudget;
use latchhaven_client::time::{Millis, Timestamp};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const MIN_REQUEST_TIME: Millis = 5.0;

fn timestamp_at(time: Millis) -> Timestamp {
    Timestamp { monotonic: time, wall: 1e9 + time }
}

/// A call, and the state that its decisions depend on.
struct Scenario {
    call: Call,
    budget: RetryBudget,
    rng: Pcg64Mcg,
}

impl Scenario {
    /// Creates a call that starts at 0.
    fn new(idempotency: Idempotency, timeout: Millis, seed: u64) -> Self {
        Scenario {
            call: Call::new(idempotency, timeout, MIN_REQUEST_TIME, timestamp_at(0.0)),
            budget: RetryBudget::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Creates a call whose first attempt is written at 0.
    fn with_attempt(idempotency: Idempotency, timeout: Millis, seed: u64) -> Self {
        let mut scenario = Scenario::new(idempotency, timeout, seed);
        assert_eq!(scenario.start(), NextStep::Attempt { backoff: 0.0, is_retry: false });
        assert!(scenario.call.begin_attempt(&timestamp_at(0.0)).is_some());
        scenario
    }

    fn start(&mut self) -> NextStep {
        self.call.start(&mut self.budget, &timestamp_at(0.0))
    }

    /// Ends the attempt that was written at `sent_at`.
    fn end_attempt(&mut self, outcome: AttemptOutcome, sent_at: Millis, now: Timestamp) -> NextStep {
        self.call.on_attempt_ended(outcome, timestamp_at(sent_at), &mut self.budget, &mut self.rng, &now)
    }
}

#[test]
fn non_idempotent_call_that_was_possibly_executed_is_unknown_and_never_sent_again() {
    for outcome in [AttemptOutcome::ConnectionLost, AttemptOutcome::Failed, AttemptOutcome::Timeout] {
        let mut scenario = Scenario::with_attempt(Idempotency::NonIdempotent, 2_000.0, 3);
        let next = scenario.end_attempt(outcome, 0.0, timestamp_at(10.0));
        assert_eq!(next, NextStep::Finish(CallOutcome::Unknown), "{outcome:?}");
        assert_eq!(scenario.call.begin_attempt(&timestamp_at(11.0)), None, "finished");
    }
    for outcome in [AttemptOutcome::NotSent, AttemptOutcome::Rejected { retry_after: None }] {
        let mut scenario = Scenario::with_attempt(Idempotency::NonIdempotent, 2_000.0, 3);
        let next = scenario.end_attempt(outcome, 0.0, timestamp_at(10.0));
        assert!(matches!(next, NextStep::Attempt { is_retry: true, .. }), "{outcome:?}");
    }
}

#[test]
fn retry_after_is_a_minimum_and_is_not_waited_for_beyond_the_deadline() {
    for seed in 0..200 {
        let mut scenario = Scenario::with_attempt(Idempotency::Idempotent, 2_000.0, seed);
        let outcome = AttemptOutcome::Rejected { retry_after: Some(400.0) };
        match scenario.end_attempt(outcome, 0.0, timestamp_at(100.0)) {
            NextStep::Attempt { backoff, .. } => assert!((400.0..=600.0).contains(&backoff), "{backoff}"),
            other => panic!("{other:?}"),
        }
        let mut late =
            Scenario { rng: scenario.rng, ..Scenario::with_attempt(Idempotency::Idempotent, 2_000.0, 3) };
        let outcome = AttemptOutcome::Rejected { retry_after: Some(2_500.0) };
        let next = late.end_attempt(outcome, 0.0, timestamp_at(100.0));
        assert_eq!(next, NextStep::Finish(CallOutcome::Rejected));
        let budget = &mut late.budget;
        assert!(
            budget.try_spend(100.0) && budget.try_spend(100.0),
            "a retry that is not sent spends nothing"
        );
    }
}

#[test]
fn suspended_process_or_clock_step_sends_nothing_after_the_dedup_window() {
    let idempotency = Idempotency::IdempotencyKey { dedup_window: 1_000.0 };
    for (monotonic, wall) in [(100.0, 60_000.0), (60_000.0, -90_000.0)] {
        let mut scenario = Scenario::with_attempt(idempotency, 100_000.0, 1);
        let now = Timestamp { monotonic, wall: 1e9 + wall };
        let next = scenario.end_attempt(AttemptOutcome::ConnectionLost, 0.0, now);
        assert_eq!(next, NextStep::Finish(CallOutcome::Unknown), "{monotonic} {wall}");
    }
    // The backoff ends within the window, but the call is queued for a connection until the window is nearly over.
    let mut scenario = Scenario::with_attempt(idempotency, 100_000.0, 1);
    let next = scenario.end_attempt(AttemptOutcome::ConnectionLost, 0.0, timestamp_at(50.0));
    assert!(matches!(next, NextStep::Attempt { .. }));
    assert_eq!(scenario.call.begin_attempt(&timestamp_at(990.0)), None);
    assert_eq!(scenario.call.abandon(), CallOutcome::Unknown);
}

fn any_outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Success),
        (0.0f64..800.0).prop_map(|time| AttemptOutcome::Rejected { retry_after: Some(time) }),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::ConnectionLost),
        Just(AttemptOutcome::Timeout)
    ]
}

fn any_idempotency() -> impl Strategy<Value = Idempotency> {
    prop_oneof![
        Just(Idempotency::Idempotent),
        (50.0f64..3_000.0).prop_map(|dedup_window| Idempotency::IdempotencyKey { dedup_window }),
        Just(Idempotency::NonIdempotent)
    ]
}

fn is_possibly_executed(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::Failed | AttemptOutcome::ConnectionLost | AttemptOutcome::Timeout)
}

/// Returns `true` if an attempt may be sent at this time after the first attempt that was possibly executed.
fn may_be_sent_again(idempotency: Idempotency, elapsed: Millis) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey { dedup_window } => elapsed < dedup_window,
        Idempotency::NonIdempotent => false,
    }
}

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    /// For any outcomes at any times: a non-idempotent call makes no attempt after one that was possibly executed, a
    /// keyed call only within its deduplication window, no attempt is written after the deadline, and a call ends once.
    #[test]
    fn every_call_respects_its_idempotency_and_deadline(
        idempotency in any_idempotency(), timeout in 1.0f64..5_000.0, seed: u64,
        attempts in prop::collection::vec((any_outcome(), 0.0f64..800.0, 0.0f64..800.0), 1..20)
    ) {
        let mut scenario = Scenario::new(idempotency, timeout, seed);
        let mut now: Millis = 0.0;
        let mut possibly_executed_at: Option<Millis> = None;
        let mut results = 0;
        let mut next = scenario.start();
        for (outcome, queue_time, latency) in attempts {
            let NextStep::Attempt { backoff, .. } = next else { break };
            now += backoff + queue_time;
            let Some(time_remaining) = scenario.call.begin_attempt(&timestamp_at(now)) else {
                let result = scenario.call.abandon();
                prop_assert!((result == CallOutcome::Rejected) == possibly_executed_at.is_none());
                results += 1;
                break;
            };
            prop_assert!(now < timeout && time_remaining <= timeout - now + 1e-6);
            prop_assert!(possibly_executed_at.is_none_or(|at| may_be_sent_again(idempotency, now - at)));
            let sent_at = now;
            now += latency;
            if is_possibly_executed(outcome) {
                possibly_executed_at = possibly_executed_at.or(Some(sent_at));
            }
            next = scenario.end_attempt(outcome, sent_at, timestamp_at(now));
        }
        if let NextStep::Finish(result) = next {
            results += 1;
            let is_idempotent = idempotency == Idempotency::Idempotent;
            let may_be_unknown = possibly_executed_at.is_some() && !is_idempotent;
            prop_assert!(result != CallOutcome::Unknown || may_be_unknown);
            prop_assert!(result != CallOutcome::Rejected || possibly_executed_at.is_none());
            prop_assert_eq!(scenario.call.begin_attempt(&timestamp_at(now)), None);
        }
        prop_assert!(results <= 1);
    }
}
