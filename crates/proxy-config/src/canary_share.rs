//! The share of requests that may be routed to a canary.
//!
//! Problem: each proxy draws at random for each request, so that the canary's requests in a window are a sum of draws.
//! Method: the safe share is the largest at which this sum stays within `allowance + traffic_cap * requests`, except for
//! a negligible probability, by Bernstein's inequality (S. N. Bernstein, 1924).

use crate::limits::{EXCEED_PROBABILITY, WARMUP_BUDGET_SHARE};

/// Steps of the bisection: finer than one part per million.
const BISECTION_STEPS: usize = 40;

/// The largest safe share, from 0 to 1, where a window has at least `min_requests` requests.
///
/// `traffic_cap` is from 0 to 1, `allowance` in requests per window. By Bernstein's inequality
/// `P(X >= n * share + t) <= exp(-t^2 / (2 * (n * share + t / 3)))`; it is applied at the number of requests `n` at which
/// it is weakest. Returns 0 where an argument is negative or not a number.
#[must_use]
pub fn max_safe_share(traffic_cap: f64, allowance: f64, min_requests: f64) -> f64 {
    if traffic_cap >= 1.0 {
        return 1.0;
    }
    if !(traffic_cap > 0.0 && allowance >= 0.0 && min_requests >= 0.0) {
        return 0.0;
    }
    let required_exponent = -EXCEED_PROBABILITY.ln();
    let is_safe = |share: f64| {
        let weakest_requests = (allowance / (traffic_cap - share)).max(min_requests).max(1.0);
        let margin = allowance + (traffic_cap - share) * weakest_requests;
        margin * margin / (2.0 * (weakest_requests * share + margin / 3.0)) >= required_exponent
    };
    let mut low = 0.0;
    let mut high = traffic_cap;
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if is_safe(middle) { low = middle } else { high = middle }
    }
    low
}

/// The largest share of all requests for canaries that are warming up, from 0 to 1.
///
/// Each unit of the canaries' present capacity receives at most half of `overload_multiple` times the requests of a unit
/// of the total capacity.
#[must_use]
pub fn max_warmup_share(overload_multiple: f64, canary_capacity: f64, total_capacity: f64) -> f64 {
    let share =
        WARMUP_BUDGET_SHARE * overload_multiple * canary_capacity / total_capacity.max(f64::MIN_POSITIVE);
    share.clamp(0.0, 1.0)
}
