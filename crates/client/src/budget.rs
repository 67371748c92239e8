//! How many tries beyond the first a process may make. Each first try earns a part of one more, so that repeats never
//! multiply an overload; a small reserve lets quiet processes repeat at all.

use crate::call::Ms;

/// Part of a further try that each first one earns: a site that loses a fifth of its hosts needs no more.
const SHARE: f64 = 0.1;
/// Further tries that may be saved up.
const SAVED: f64 = 10.0;
/// A quiet process earns one further try in so many ms, up to the reserve.
const QUIET: Ms = 2_000.0;
const RESERVE: f64 = 2.0;

/// What is saved up.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
    at: Option<Ms>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { saved: RESERVE, at: None }
    }
}

impl Budget {
    /// A first try begins; `now`: monotonic ms.
    pub fn first(&mut self, now: Ms) {
        self.pass(now);
        self.saved = (self.saved + SHARE).min(SAVED);
    }

    /// Whether a further try may be made; if so it is spent.
    pub fn further(&mut self, now: Ms) -> bool {
        self.pass(now);
        let may = self.saved >= 1.0;
        self.saved -= if may { 1.0 } else { 0.0 };
        may
    }

    /// A quiet process earns up to the reserve. One that slept earns no more than that.
    fn pass(&mut self, now: Ms) {
        let since = now - self.at.replace(now).unwrap_or(now);
        if self.saved < RESERVE {
            self.saved = (self.saved + since.max(0.0) / QUIET).min(RESERVE);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn further_tries_are_a_share_of_first_ones_and_a_small_reserve() {
        let mut budget = Budget::default();
        let mut further = 0;
        for n in 0..10_000 {
            budget.first(f64::from(n));
            further += u32::from(budget.further(f64::from(n)));
        }
        assert!((1_000..=1_010).contains(&further), "{further}");
        // Then nobody asks for a minute, and one call goes wrong again and again.
        let further = (0..100).filter(|n| budget.further(70_000.0 + f64::from(*n))).count();
        assert_eq!(further, 2);
    }
}
