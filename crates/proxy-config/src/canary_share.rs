//! The share of requests that may be routed to a canary.
//!
//! Problem: a traffic cap limits the requests that a canary gets in each window, but every proxy draws at random for
//! each request, so that the number in a window is a sum of independent draws and varies. Method: Bernstein's
//! inequality (S. N. Bernstein, 1924) bounds the probability that the sum exceeds
//! `allowance + traffic_cap * requests`; the share is the largest at which this bound is at most
//! `MAX_EXCEEDANCE_PROBABILITY`.

use crate::limits::{MAX_EXCEEDANCE_PROBABILITY, WARMUP_BUDGET_SHARE};

/// Halvings of an interval of at most 1: the remaining error of 2^-40 is below one part per million.
const BISECTION_STEPS: usize = 40;

/// The largest share of requests, from 0 to 1, at which random draws stay within a canary's traffic cap.
///
/// - `traffic_cap`: the cap as a fraction of the requests, from 0 to 1; with 1 the share is not limited.
/// - `allowance`: requests per window that are permitted regardless of the cap, at least 0.
/// - `min_requests`: the fewest requests that a window is expected to have, at least 0. More requests permit a larger
///   share, since their sum varies less in proportion.
///
/// Bernstein's inequality for the number `X` of draws for the canary, among `n` draws with the probability `share`:
/// `P(X >= n * share + t) <= exp(-t^2 / (2 * (n * share + t / 3)))`. Here `t` is the distance from the mean to the
/// permitted number: `allowance + (traffic_cap - share) * n`. The bound is evaluated at
/// `n = allowance / (traffic_cap - share)`, where it is weakest if the term `t / 3` is neglected, but not below
/// `min_requests`.
///
/// Returns 0 if an argument is negative or not a number, or if the cap is 0.
#[must_use]
pub fn max_share_within_cap(traffic_cap: f64, allowance: f64, min_requests: f64) -> f64 {
    if traffic_cap >= 1.0 {
        return 1.0;
    }
    if !(traffic_cap > 0.0 && allowance >= 0.0 && min_requests >= 0.0) {
        return 0.0;
    }
    let required_exponent = -MAX_EXCEEDANCE_PROBABILITY.ln();
    let is_within_cap = |share: f64| {
        let requests = (allowance / (traffic_cap - share)).max(min_requests).max(1.0);
        let margin = allowance + (traffic_cap - share) * requests;
        margin * margin / (2.0 * (requests * share + margin / 3.0)) >= required_exponent
    };
    let mut low = 0.0;
    let mut high = traffic_cap;
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if is_within_cap(middle) { low = middle } else { high = middle }
    }
    low
}

/// The largest share of all requests, from 0 to 1, for canaries that are warming up.
///
/// With this share, the requests per unit of the canaries' present capacity are at most half of `overload_multiple`
/// times the requests per unit of the total capacity. Both capacities are sums of the endpoints' weights times
/// warm-up factors.
#[must_use]
pub fn max_warmup_share(overload_multiple: f64, canary_capacity: f64, total_capacity: f64) -> f64 {
    let share =
        WARMUP_BUDGET_SHARE * overload_multiple * canary_capacity / total_capacity.max(f64::MIN_POSITIVE);
    share.clamp(0.0, 1.0)
}
