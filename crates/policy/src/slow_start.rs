//! Slow start: how many attempts an endpoint gets while it warms up, under one budget for all gateways.
//!
//! Problem: an endpoint that warms up is overloaded by attempts of several gateways, and no gateway knows its part of the
//! traffic. Method: a token bucket per endpoint that fills in proportion to this gateway's own arrival rate per unit of
//! capacity; summed over gateways it amounts to a fixed share of the budget, however uneven their traffic.
//!
//! The endpoint registry calls [`refill`] before queued requests are sent, and [`start_by_own_clock`] when the list
//! shows a new start. All inputs are parameters.

use crate::config::SlowStartConfig;
use crate::time::Millis;

/// Share of a warming endpoint's budget that is used at full load.
const BUDGET_SHARE: f64 = 0.5;
/// Factor on the usual arrival rate up to which a burst raises the refill rate.
const MAX_RATE_SURGE: f64 = 1.5;
/// ms within which each endpoint of a gateway's subset gets a request, so that its state is current.
const SUBSET_VISIT_INTERVAL: Millis = 4000.0;
/// Endpoints of the smallest subset.
const MIN_SUBSET: f64 = 8.0;
/// Share of the tokens of one overload window that an endpoint accumulates beyond one token.
const MAX_TOKENS_SHARE: f64 = 0.5;
/// ms over which the arrival rate is counted, and in which the usual one follows.
pub(crate) const ARRIVAL_RATE_WINDOW: Millis = 2000.0;
/// ms for which times of arrivals are retained.
pub(crate) const ARRIVAL_RETENTION: Millis = 2.0 * ARRIVAL_RATE_WINDOW;
/// ms between a start and its listing as a change beyond which the listed clock time is not used.
const MAX_DISCOVERY_DELAY: Millis = 60_000.0;

/// When an endpoint started by this gateway's clock, in ms; `listed_start`: the clock time on the list. The wall clocks
/// of gateways and of the machines that list starts may differ by an hour: a start in the future, and one of long ago that
/// is listed as a change, count as now.
pub(crate) fn start_by_own_clock(listed_start: Millis, is_snapshot: bool, now: Millis) -> Millis {
    let is_recent = now - listed_start <= MAX_DISCOVERY_DELAY;
    let is_plausible = listed_start <= now && (is_recent || is_snapshot);
    if is_plausible { listed_start } else { now }
}

/// What a refill depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefillInputs {
    /// ms since the last refill.
    pub(crate) elapsed: Millis,
    /// Requests that arrived within [`ARRIVAL_RATE_WINDOW`], without retries.
    pub(crate) arrivals: usize,
    /// Ready endpoints.
    pub(crate) ready_endpoints: usize,
    /// Sum of their warm-up factors.
    pub(crate) total_warmup_factor: f64,
    /// Running mean of arrivals per ms and unit of capacity before.
    pub(crate) usual_rate: f64,
}

/// What a refill leads to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refill {
    /// Running mean of arrivals per ms and unit of capacity.
    pub(crate) usual_rate: f64,
    /// The share of the endpoints that is this gateway's subset.
    pub(crate) subset_share: f64,
    /// Tokens per ms of an endpoint at full capacity.
    token_rate: f64,
    /// ms since the last refill.
    elapsed: Millis,
}

/// The rates that follow from recent arrivals.
pub(crate) fn refill(inputs: &RefillInputs, config: &SlowStartConfig) -> Refill {
    let RefillInputs { elapsed, arrivals, ready_endpoints, total_warmup_factor, .. } = *inputs;
    let arrival_rate = arrivals as f64 / ARRIVAL_RATE_WINDOW / total_warmup_factor.max(1.0);
    let usual_rate =
        inputs.usual_rate + (elapsed / ARRIVAL_RATE_WINDOW).min(1.0) * (arrival_rate - inputs.usual_rate);
    let subset = (SUBSET_VISIT_INTERVAL * usual_rate * total_warmup_factor).max(MIN_SUBSET);
    let bounded_rate = arrival_rate.min(MAX_RATE_SURGE * usual_rate);
    Refill {
        usual_rate,
        subset_share: subset / ready_endpoints.max(1) as f64,
        token_rate: BUDGET_SHARE * config.overload_multiple * bounded_rate,
        elapsed,
    }
}

impl Refill {
    /// The tokens of an endpoint after the refill, at most one plus those of half the overload window.
    pub(crate) fn refilled(&self, tokens: f64, warmup_factor: f64, config: &SlowStartConfig) -> f64 {
        let gain = self.token_rate * warmup_factor;
        let max_tokens = 1.0 + gain * config.overload_window * MAX_TOKENS_SHARE;
        (tokens + gain * self.elapsed).min(max_tokens)
    }
}
