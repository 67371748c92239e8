//! Slow start: how many attempts an endpoint gets while it warms up, under one budget for all gateways.
//!
//! Problem: attempts of several gateways together overload an endpoint that is warming up, and no gateway knows its own
//! share of the traffic. Method: each gateway has a token bucket per endpoint that refills in proportion to its own
//! arrival rate per unit of capacity. Summed over gateways, the tokens amount to a fixed share of the budget, however
//! uneven the traffic.
//!
//! The endpoint registry calls [`refill`] before queued requests are sent, and [`start_by_own_clock`] when the list
//! shows a new start. All inputs are parameters.

use crate::config::SlowStartConfig;
use crate::time::Millis;

/// Share of a warming endpoint's budget (the attempts beyond which it is overloaded) that all gateways together use at
/// full load.
const BUDGET_SHARE: f64 = 0.5;
/// Ratio to the mean arrival rate up to which a burst raises the refill rate.
const MAX_BURST_RATIO: f64 = 1.5;
/// Interval within which each endpoint of a gateway's subset gets a request, so that its state is current.
const SUBSET_VISIT_INTERVAL: Millis = 4000.0;
/// Number of endpoints in the smallest subset.
const MIN_SUBSET_SIZE: f64 = 8.0;
/// Share of the tokens refilled per overload window that an endpoint may accumulate beyond one token.
const MAX_TOKENS_SHARE: f64 = 0.5;
/// Window over which the arrival rate is counted, and time constant of its running mean.
pub(crate) const ARRIVAL_RATE_WINDOW: Millis = 2000.0;
pub(crate) const ARRIVAL_RETENTION: Millis = 2.0 * ARRIVAL_RATE_WINDOW;
/// Longest plausible time from an endpoint's start until a change of the list reports the start. If a change (not a
/// snapshot) states a start longer ago than this, the start counts as now.
const MAX_START_REPORT_DELAY: Millis = 60_000.0;

/// When an endpoint started by this gateway's clock; `listed_start`: the time on the list. The wall clocks of gateways
/// and of the machines that list starts may differ by an hour. Therefore a start in the future counts as now, and so
/// does one long ago that arrives as a change.
pub(crate) fn start_by_own_clock(listed_start: Millis, is_snapshot: bool, now: Millis) -> Millis {
    let is_recent = now - listed_start <= MAX_START_REPORT_DELAY;
    let is_plausible = listed_start <= now && (is_recent || is_snapshot);
    if is_plausible { listed_start } else { now }
}

/// Inputs of one refill of a gateway's token buckets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefillInputs {
    /// Time since the last refill.
    pub(crate) elapsed: Millis,
    /// Requests that arrived within [`ARRIVAL_RATE_WINDOW`], without retries.
    pub(crate) arrivals: usize,
    /// Number of ready endpoints.
    pub(crate) ready_endpoints: usize,
    /// Sum of the warm-up factors of the ready endpoints: the number of warm endpoints with the same capacity.
    pub(crate) total_warmup_factor: f64,
    /// Running mean, before the refill, of arrivals per millisecond and unit of capacity.
    pub(crate) mean_arrival_rate: f64,
}

/// Rates of one refill of a gateway's token buckets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refill {
    /// Running mean, after the refill, of arrivals per millisecond and unit of capacity.
    pub(crate) mean_arrival_rate: f64,
    /// The share of the endpoints that is this gateway's subset.
    pub(crate) subset_share: f64,
    /// Tokens per millisecond of an endpoint at full capacity.
    token_rate: f64,
    /// Time since the last refill.
    elapsed: Millis,
}

/// Computes the refill rates, the subset's size and the mean arrival rate from recent arrivals.
pub(crate) fn refill(inputs: &RefillInputs, config: &SlowStartConfig) -> Refill {
    let RefillInputs { elapsed, arrivals, ready_endpoints, total_warmup_factor, .. } = *inputs;
    let arrival_rate = arrivals as f64 / ARRIVAL_RATE_WINDOW / total_warmup_factor.max(1.0);
    let mean_arrival_rate = inputs.mean_arrival_rate
        + (elapsed / ARRIVAL_RATE_WINDOW).min(1.0) * (arrival_rate - inputs.mean_arrival_rate);
    let subset_size = (SUBSET_VISIT_INTERVAL * mean_arrival_rate * total_warmup_factor).max(MIN_SUBSET_SIZE);
    let bounded_rate = arrival_rate.min(MAX_BURST_RATIO * mean_arrival_rate);
    Refill {
        mean_arrival_rate,
        subset_share: subset_size / ready_endpoints.max(1) as f64,
        token_rate: BUDGET_SHARE * config.overload_multiple * bounded_rate,
        elapsed,
    }
}

impl Refill {
    /// The tokens of an endpoint after the refill; at most one more than those refilled in half the overload window.
    pub(crate) fn refilled(&self, tokens: f64, warmup_factor: f64, config: &SlowStartConfig) -> f64 {
        let rate = self.token_rate * warmup_factor;
        let max_tokens = 1.0 + rate * config.overload_window * MAX_TOKENS_SHARE;
        (tokens + rate * self.elapsed).min(max_tokens)
    }
}
