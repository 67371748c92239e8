//! The largest share of requests at which a canary stays within its traffic cap.

use latchhaven_proxy_config::canary_share::max_share_within_cap;
use latchhaven_proxy_config::parts_per_million::PartsPerMillion;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

proptest! {
    #![proptest_config(latchhaven_proptest_config::deterministic())]

    #[test]
    fn share_grows_with_cap_allowance_and_traffic_and_stays_below_the_cap(
        cap in 0.001f64..0.999, allowance in 0.0f64..20.0, min_requests in 0.0f64..1e6
    ) {
        let share = max_share_within_cap(cap, allowance, min_requests);
        prop_assert!((0.0..=cap).contains(&share));
        prop_assert!(max_share_within_cap(cap, allowance + 1.0, min_requests) >= share - 1e-9);
        prop_assert!(max_share_within_cap(cap, allowance, min_requests * 2.0 + 1.0) >= share - 1e-9);
        prop_assert!(max_share_within_cap((cap + 0.001).min(0.999), allowance, min_requests) >= share - 1e-9);
    }
}

/// Draws random windows of several sizes, from the minimum on. At the computed share none exceeds the cap. At a share
/// equal to the cap about half of the windows exceed it, which shows that the draws test the bound.
#[test]
fn no_window_exceeds_the_cap_at_the_computed_share() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut exceeds = |share: f64, cap: f64, allowance: f64, requests: u32| {
        let sent = (0..requests).filter(|_| rng.random::<f64>() < share).count() as f64;
        sent > allowance + cap * f64::from(requests)
    };
    let mut exceeded_at_cap = 0;
    for (cap, allowance, min_requests) in
        [(0.04, 2.0, 500), (0.15, 1.0, 200), (0.5, 0.0, 2000), (0.04, 2.0, 0)]
    {
        let share = max_share_within_cap(cap, allowance, f64::from(min_requests));
        for _ in 0..3000 {
            for requests in [min_requests, min_requests + 40, 2 * min_requests + 7] {
                assert!(!exceeds(share, cap, allowance, requests));
            }
            exceeded_at_cap += u32::from(exceeds(cap, cap, allowance, min_requests + 40));
        }
    }
    assert!(exceeded_at_cap > 2000, "{exceeded_at_cap}");
    assert!(max_share_within_cap(0.5, 0.0, 4000.0) > 0.4 && max_share_within_cap(0.04, 2.0, 4000.0) > 0.018);
}

#[test]
fn share_is_zero_for_invalid_arguments_and_full_without_a_cap() {
    for (cap, allowance, min_requests) in
        [(0.0, 1.0, 1.0), (f64::NAN, 1.0, 1.0), (0.5, -1.0, 1.0), (0.5, 1.0, f64::NAN)]
    {
        assert_eq!(max_share_within_cap(cap, allowance, min_requests), 0.0);
    }
    assert_eq!(max_share_within_cap(1.0, 0.0, 0.0), 1.0);
    assert_eq!(PartsPerMillion::from_fraction_floor(0.25), PartsPerMillion::new(250_000));
}
