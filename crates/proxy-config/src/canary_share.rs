//! The share of a build on trial. Each proxy draws by chance for each txn, so that what a window brings is a sum of
//! draws: the share is the largest at which that sum stays within `free + cap x txns` but for a negligible chance.

/// Chance per window that draws exceed the cap: once in 60 years of windows of 2 s.
const CHANCE: f64 = 1e-9;
/// Halvings while searching a share: finer than the parts of a million that proxies draw in.
const HALVINGS: usize = 40;
/// Parts of a million that proxies draw in.
pub const MILLION: u32 = 1_000_000;

/// The largest safe share where a window brings at least `least` txns. By Bernstein's bound
/// P(X >= ns + t) <= exp(-t^2 / (2 (ns + t/3))); it is taken at the number of txns at which it is weakest.
pub fn max_safe_share(cap: f64, free: f64, least: f64) -> f64 {
    if cap >= 1.0 {
        return 1.0;
    }
    if !(cap > 0.0 && free >= 0.0 && least >= 0.0) {
        return 0.0;
    }
    let wanted = -CHANCE.ln();
    let holds = |share: f64| {
        let weakest = (free / (cap - share)).max(least).max(1.0);
        let room = free + (cap - share) * weakest;
        room * room / (2.0 * (weakest * share + room / 3.0)) >= wanted
    };
    let (mut low, mut high) = (0.0, cap);
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if holds(middle) { low = middle } else { high = middle }
    }
    low
}

/// Parts of a million, never above the share.
pub fn to_parts_per_million(share: f64) -> u32 {
    (share.clamp(0.0, 1.0) * f64::from(MILLION)).floor() as u32
}

/// What a cold trial may carry: at most so much of all txns that each unit of its present capacity gets no more than
/// half the told multiple of what each unit of all capacity gets.
pub fn max_warmup_share(multiple: f64, trial: f64, all: f64) -> f64 {
    /// Half: the load may double before proxies are told anew.
    const COLD_PART: f64 = 0.5;
    (COLD_PART * multiple * trial / all.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use rand::{RngExt, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    proptest! {
        #![proptest_config(latchhaven_proptest_config::deterministic())]

        #[test]
        fn it_grows_with_cap_free_and_traffic_and_stays_below_the_cap(
            cap in 0.001f64..0.999, free in 0.0f64..20.0, least in 0.0f64..1e6
        ) {
            let share = max_safe_share(cap, free, least);
            prop_assert!((0.0..=cap).contains(&share));
            prop_assert!(max_safe_share(cap, free + 1.0, least) >= share - 1e-9);
            prop_assert!(max_safe_share(cap, free, least * 2.0 + 1.0) >= share - 1e-9);
            prop_assert!(max_safe_share((cap + 0.001).min(0.999), free, least) >= share - 1e-9);
        }
    }

    /// Windows of any size from the least on, drawn many times: none is over. At the cap itself half of them are.
    #[test]
    fn no_window_is_over_and_at_the_cap_itself_many_are() {
        let mut rng = Pcg64Mcg::seed_from_u64(5);
        let mut over = |share: f64, cap: f64, free: f64, txns: u32| {
            let sent = (0..txns).filter(|_| rng.random::<f64>() < share).count() as f64;
            sent > free + cap * f64::from(txns)
        };
        let mut at_cap = 0;
        for (cap, free, least) in [(0.04, 2.0, 500), (0.15, 1.0, 200), (0.5, 0.0, 2000), (0.04, 2.0, 0)] {
            let share = max_safe_share(cap, free, f64::from(least));
            for _ in 0..3000 {
                for txns in [least, least + 40, 2 * least + 7] {
                    assert!(!over(share, cap, free, txns));
                }
                at_cap += u32::from(over(cap, cap, free, least + 40));
            }
        }
        assert!(at_cap > 2000, "{at_cap}");
        assert!(max_safe_share(0.5, 0.0, 4000.0) > 0.4 && max_safe_share(0.04, 2.0, 4000.0) > 0.018);
    }

    #[test]
    fn odd_figures_give_nothing() {
        for (cap, free, least) in
            [(0.0, 1.0, 1.0), (f64::NAN, 1.0, 1.0), (0.5, -1.0, 1.0), (0.5, 1.0, f64::NAN)]
        {
            assert_eq!(max_safe_share(cap, free, least), 0.0);
        }
        assert_eq!(max_safe_share(1.0, 0.0, 0.0), 1.0);
        assert_eq!(to_parts_per_million(0.25), 250_000);
    }
}
