//! How much endpoints get while they warm up: one budget over all gateways.

use crate::Millis;
use crate::policy::RATE_WINDOW;
use crate::state::EndpointRegistry;

/// Share of a warming endpoint's budget that is used: twice the capacity may come.
const BUDGET_SHARE: f64 = 0.5;
/// Times its usual rate that a burst may raise what warming endpoints get.
const MAX_RATE_SURGE: f64 = 1.5;
/// ms in which each endpoint of a gateway's subset is met: its state is known.
const SUBSET_VISIT_INTERVAL: Millis = 4000.0;
/// Endpoints of the smallest subset.
const MIN_SUBSET: f64 = 8.0;

/// ms after its start in which an endpoint is listed, as far as the start that is listed with a change is believed.
const MAX_DISCOVERY_DELAY: Millis = 60_000.0;

/// When an endpoint started that was not listed before, or not with this start, by this gateway's clock. The wall clocks
/// of gateways and of the machines that list starts may be an hour apart: a start that is still to come, and one of long ago
/// that only now comes as a change, are taken to be of this moment.
pub(crate) fn start_by_own_clock(listed_start: Millis, is_snapshot: bool, now: Millis) -> Millis {
    let is_recent = now - listed_start <= MAX_DISCOVERY_DELAY;
    let is_believed = listed_start <= now && (is_recent || is_snapshot);
    if is_believed { listed_start } else { now }
}

impl EndpointRegistry {
    /// Adds to what each warming endpoint may get: summed over all gateways, a fixed share of its budget.
    pub(crate) fn refill_slow_start_tokens(&mut self, now: Millis) {
        let elapsed = now - std::mem::replace(&mut self.tokens_refilled_at, now);
        let capacity: f64 = self.endpoints.ready().map(|index| self.warmup_factor(index, now)).sum();
        let rate = self.arrivals.count_since(now - RATE_WINDOW) as f64 / RATE_WINDOW / capacity.max(1.0);
        self.usual_rate += (elapsed / RATE_WINDOW).min(1.0) * (rate - self.usual_rate);
        let subset = (SUBSET_VISIT_INTERVAL * self.usual_rate * capacity).max(MIN_SUBSET);
        self.subset_size = subset / self.endpoints.ready().count().max(1) as f64;
        let rate = rate.min(MAX_RATE_SURGE * self.usual_rate);
        let refill_rate = BUDGET_SHARE * self.slow_start.overload_multiple * rate;
        for index in self.endpoints.indices() {
            let gain = refill_rate * self.warmup_factor(index, now);
            let max_tokens = 1.0 + gain * self.slow_start.overload_window / 2.0;
            let tokens = &mut self.endpoints[index].slow_start_tokens;
            *tokens = (*tokens + gain * elapsed).min(max_tokens);
        }
    }
}
