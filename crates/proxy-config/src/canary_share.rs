//! The share of requests that a canary may get.
//!
//! Each proxy draws at random for each request, so that the canary's requests in a window are a sum of draws. The safe
//! share is the largest at which this sum stays within `allowance + traffic_cap * requests`, except for a negligible
//! probability.

/// Probability per window that the draws exceed the cap: once in 60 years of windows of 2 s.
const EXCEED_PROBABILITY: f64 = 1e-9;
/// Steps of the bisection: finer than the parts of a million that proxies draw in.
const BISECTION_STEPS: usize = 40;
/// Part of the overload budget that a warming canary may use: load may double before proxies get a new configuration.
const WARMUP_BUDGET_SHARE: f64 = 0.5;

/// The largest safe share where a window has at least `min_requests` requests.
///
/// By Bernstein's inequality `P(X >= n * share + t) <= exp(-t^2 / (2 * (n * share + t / 3)))`; it is applied at the
/// number of requests `n` at which it is weakest. Returns 0 where an argument is negative or not a number.
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
        let middle = (low + high) / 2.0;
        if is_safe(middle) { low = middle } else { high = middle }
    }
    low
}

/// The largest share of all requests for canaries that are warming up.
///
/// Each unit of the canaries' present capacity gets at most half of `overload_multiple` times what a unit of the total
/// capacity gets.
pub fn max_warmup_share(overload_multiple: f64, canary_capacity: f64, total_capacity: f64) -> f64 {
    let share =
        WARMUP_BUDGET_SHARE * overload_multiple * canary_capacity / total_capacity.max(f64::MIN_POSITIVE);
    share.clamp(0.0, 1.0)
}
