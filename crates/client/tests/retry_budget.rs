//! The number of retries that a process may make.

use latchhaven_client::retry_budget::RetryBudget;

#[test]
fn retries_are_limited_to_a_tenth_of_first_attempts_and_a_small_reserve() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for number in 0..10_000 {
        let now = f64::from(number);
        budget.on_first_attempt(now);
        retries += u32::from(budget.try_spend(now));
    }
    assert!((1_000..=1_010).contains(&retries), "{retries}");
    // After a minute without first attempts only the reserve is available.
    let retries = (0..100).filter(|number| budget.try_spend(70_000.0 + f64::from(*number))).count();
    assert_eq!(retries, 2);
}
