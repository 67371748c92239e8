//! Where a request goes: the coin between baseline and canary, then a choice of two endpoints.

use crate::dispatch::Policy;
use crate::exposure::SAFETY_MARGIN;
use crate::state::{Attempt, EndpointIndex, Request, Sides};
use crate::statistics::{half_life_decay, indicator};
use crate::{Idempotency, Millis, RequestId, RolloutPhase};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// Share that the canary carries at the end of its last stage; the rest keeps the baseline's figures fresh.
const FULL_TRAFFIC_SHARE: f64 = 0.9;
/// In flight that crossing zones counts extra: more would fill the own zone.
const CROSS_ZONE_BIAS: f64 = 0.25;
/// ms in which what latencies tell of load halves.
const LATENCY_BIAS_HALF_LIFE: Millis = 5000.0;

impl Policy {
    /// Sends a request to an endpoint, if one is open to it.
    pub(crate) fn route(&mut self, id: RequestId, sides: &Sides, now: Millis) -> bool {
        let canary_first = self.flip_top_two_coin(sides);
        let registry = &self.registry;
        // What a warming endpoint may get is little, by chance and soon used: it goes before the coin.
        let canary = if self.exposure.is_rolling_back() { &[] } else { sides.canary.as_slice() };
        let eligible = sides.baseline.iter().chain(canary).copied();
        let warming = eligible.filter(|index| registry.warmup_factor(*index, now) < 1.0).collect();
        let order = match canary_first {
            true => [&warming, &sides.canary, &sides.baseline],
            false => [&warming, &sides.baseline, &sides.canary],
        };
        let chosen = order.into_iter().find_map(|candidates| self.choose_endpoint(id, candidates, now));
        chosen.is_some_and(|index| self.send_attempt(id, index, now))
    }

    /// The top-two coin: true where the canary is to be tried first.
    fn flip_top_two_coin(&mut self, sides: &Sides) -> bool {
        let canary_load = self.registry.endpoints.mean_in_flight(&sides.canary);
        let baseline_load = self.registry.endpoints.mean_in_flight(&sides.baseline);
        let share = sides.canary_share();
        let coin = self.rng.random::<f64>();
        let carries_all = self.analysis.full_traffic_since.is_some() && coin < FULL_TRAFFIC_SHARE;
        // Parity of less than a request in flight at each endpoint tells little: the coin turns to the share.
        let parity = share + (0.5 - share).max(0.0) * baseline_load.min(1.0);
        let is_picked = coin < parity && canary_load <= baseline_load;
        sides.baseline.is_empty() || (!self.exposure.is_rolling_back() && (carries_all || is_picked))
    }

    /// Power of two choices on attempts in flight, per unit of capacity, among those open to the request.
    fn choose_endpoint(
        &mut self, id: RequestId, candidates: &[EndpointIndex], now: Millis,
    ) -> Option<EndpointIndex> {
        let request = &self.requests.requests[&id];
        let endpoints = &self.registry.endpoints;
        // Better to wait for a healthy one than to use up a request's attempts on ejected ones.
        let all_ejected = !endpoints.ready().any(|index| endpoints[index].is_healthy(now));
        let is_open = |index: &EndpointIndex| {
            let endpoint = &endpoints[*index];
            f64::from(endpoint.in_flight) < endpoint.concurrency_limit
                && (endpoint.is_healthy(now) || all_ejected)
                && self.admits(request, *index, now)
        };
        let open: Vec<EndpointIndex> = candidates.iter().copied().filter(is_open).collect();
        let is_untried = |index: &EndpointIndex| request.attempts.iter().all(|a| a.endpoint != *index);
        let untried: Vec<EndpointIndex> = open.iter().copied().filter(is_untried).collect();
        let open = if untried.is_empty() { open } else { untried };
        let first = *open.choose(&mut self.rng)?;
        let second = *open.choose(&mut self.rng)?;
        Some(if self.load(second, now) < self.load(first, now) { second } else { first })
    }

    fn load(&self, index: EndpointIndex, now: Millis) -> f64 {
        let endpoint = &self.registry.endpoints[index];
        let crosses_zones = self.costs.cross_zone > 0.0 && endpoint.zone != self.zone;
        let bias = if crosses_zones { CROSS_ZONE_BIAS } else { 0.0 };
        // With hardly anything in flight of its own, a gateway's own latencies tell of load.
        let age = now - endpoint.latency_bias_at;
        let slowness = (endpoint.latency_bias * half_life_decay(age, LATENCY_BIAS_HALF_LIFE)).exp();
        (f64::from(endpoint.in_flight) + bias + 1.0) * slowness / self.registry.capacity(index, now)
    }

    /// The gate of all attempts: every rule that one could break.
    pub(crate) fn admits(&self, request: &Request, index: EndpointIndex, now: Millis) -> bool {
        let class = &self.classes[request.class];
        let endpoint = &self.registry.endpoints[index];
        let is_repeatable = |attempt: &Attempt| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey => endpoint.recognises_key_of(attempt, class.dedup_scope),
        };
        let (version, lowest_version) = (endpoint.version, self.registry.lowest_version);
        request.is_open()
            && now < request.deadline
            && request.attempts.len() < self.permissions.max_attempts
            && (request.attempts_in_flight() == 0 || self.permissions.hedging)
            && request.possibly_executed().all(is_repeatable)
            && request.dedup_window_left(class, SAFETY_MARGIN, now).is_none_or(|left| left > 0.0)
            && endpoint.is_ready
            && now < self.registry.lease_expires_at(index)
            && (endpoint.slow_start_tokens >= 1.0 || self.registry.warmup_factor(index, now) >= 1.0)
            && self.exposure.admits(request, class.idempotency, version, lowest_version, now)
    }

    /// The share of all requests that canaries are to get, for adapters that publish decisions.
    pub(crate) fn canary_share(&self, sides: &Sides, is_canary_rejected: bool, now: Millis) -> f64 {
        if sides.baseline.is_empty() {
            return indicator(!sides.canary.is_empty());
        }
        let canary = self.registry.healthy_capacity(&sides.canary, now);
        let baseline = self.registry.healthy_capacity(&sides.baseline, now);
        match self.exposure.rollout.map_or(RolloutPhase::Canary, |rollout| rollout.phase) {
            RolloutPhase::RollingBack | RolloutPhase::RolledBack => 0.0,
            RolloutPhase::Canary if is_canary_rejected => 0.0,
            _ if self.analysis.full_traffic_since.is_some() && canary > 0.0 => FULL_TRAFFIC_SHARE,
            // Over all traffic parity in flight at each endpoint comes to the share of capacity.
            _ => canary / (canary + baseline).max(f64::MIN_POSITIVE),
        }
    }
}
