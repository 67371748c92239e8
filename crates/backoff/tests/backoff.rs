//! The upper bounds of delays, and the range from which each kind of jitter draws.

use latchhaven_backoff::{ExponentialBackoff, Jitter, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const INITIAL: Millis = 100.0;
const MAX: Millis = 1_600.0;

fn rng() -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(7)
}

#[rstest]
#[case(0, 100.0)]
#[case(1, 200.0)]
#[case(4, 1_600.0)]
#[case(5, 1_600.0)]
#[case(u32::MAX, 1_600.0)]
fn upper_bound_doubles_up_to_its_maximum(#[case] doublings: u32, #[case] expected: Millis) {
    let backoff = ExponentialBackoff::new(INITIAL, MAX, Jitter::Full);
    assert_eq!(backoff.upper_bound(doublings), expected);
}

#[test]
fn upper_bound_that_starts_above_its_maximum_is_the_maximum() {
    assert_eq!(ExponentialBackoff::new(500.0, 200.0, Jitter::None).upper_bound(0), 200.0);
}

#[rstest]
#[case(Jitter::Half, 400.0)]
#[case(Jitter::Full, 0.0)]
fn delays_cover_the_range_of_the_jitter(#[case] jitter: Jitter, #[case] min: Millis) {
    let backoff = ExponentialBackoff::new(INITIAL, MAX, jitter);
    let mut rng = rng();
    let delays: Vec<Millis> = (0..1000).map(|_| backoff.delay(3, &mut rng)).collect();
    assert!(delays.iter().all(|delay| (min..=800.0).contains(delay)));
    let tenth = 0.1 * (800.0 - min);
    assert!(delays.iter().any(|delay| *delay < min + tenth));
    assert!(delays.iter().any(|delay| *delay > 800.0 - tenth));
}

#[test]
fn without_jitter_no_random_number_is_drawn() {
    let mut rng = rng();
    let delay = ExponentialBackoff::new(INITIAL, MAX, Jitter::None).delay(2, &mut rng);
    assert_eq!(delay, 400.0);
    assert_eq!(rng.random::<u64>(), self::rng().random::<u64>());
}

#[test]
fn upper_bound_of_zero_gives_a_delay_of_zero() {
    assert_eq!(Jitter::Full.draw(0.0, &mut rng()), 0.0);
}
