//! Routing of an attempt: a coin between baseline and canary, then a choice between two endpoints.
//!
//! Problem: a gateway sees only its own attempts in flight, and must compare a canary with the baseline under equal load.
//! Method: a top-two coin that equalises the attempts in flight per endpoint of both sides (top-two sampling), then the
//! power of two choices (Mitzenmacher, 2001) on attempts in flight per unit of capacity.
//!
//! [`Policy`](crate::Policy) calls these rules for each queued request and each hedged request. [`AttemptGate`] is the only
//! way out for attempts: it applies every rule that an attempt could violate. [`canary_share`] decides the corresponding
//! share, from capacities, for adapters that publish shares instead of routing each request; unlike the coin it gives a
//! rejected canary nothing.

use crate::config::Permissions;
use crate::exposure::SAFETY_MARGIN;
use crate::request::{Idempotency, RequestClass};
use crate::rollout::RolloutPhase;
use crate::state::endpoint::EndpointIndex;
use crate::state::exposure::ExposureLimiter;
use crate::state::registry::{EndpointRegistry, VersionGroups};
use crate::state::requests::{Attempt, Request};
use crate::statistics::{half_life_decay, indicator};
use crate::time::Millis;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// Share of requests for the canary at the end of its last stage; the rest remains a comparison.
const FULL_TRAFFIC_SHARE: f64 = 0.9;
/// Attempts in flight that an endpoint in another zone counts extra, where crossing zones has a cost.
const CROSS_ZONE_BIAS: f64 = 0.25;
/// ms in which the weight of an endpoint's latency in its load halves.
const LATENCY_BIAS_HALF_LIFE: Millis = 5000.0;

/// What the coin between baseline and canary depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoinInputs {
    /// The share of the ready endpoints that are canaries'.
    pub(crate) canary_endpoint_share: f64,
    /// Mean attempts in flight at a canary endpoint.
    pub(crate) canary_load: f64,
    /// Mean attempts in flight at a baseline endpoint.
    pub(crate) baseline_load: f64,
    /// There are ready baseline endpoints.
    pub(crate) has_baseline: bool,
    /// The newest version is being rolled back.
    pub(crate) is_rolling_back: bool,
    /// The canary gets nearly all requests before its promotion.
    pub(crate) has_full_traffic: bool,
}

/// The top-two coin: true where canary endpoints are tried first; `coin`: uniform between 0 and 1.
pub(crate) fn is_canary_first(coin: f64, inputs: &CoinInputs) -> bool {
    if !inputs.has_baseline {
        return true;
    }
    let share = inputs.canary_endpoint_share;
    let is_full_traffic = inputs.has_full_traffic && coin < FULL_TRAFFIC_SHARE;
    // With less than one attempt in flight per endpoint, equal load is too coarse: the coin approaches the share.
    let parity = share + (0.5 - share).max(0.0) * inputs.baseline_load.min(1.0);
    let is_picked = coin < parity && inputs.canary_load <= inputs.baseline_load;
    !inputs.is_rolling_back && (is_full_traffic || is_picked)
}

/// Endpoints that are warming up, of both sides; none of a canary that is being rolled back. They are tried before either
/// side: their slow start budget is small and randomly distributed over gateways.
pub(crate) fn warming_endpoints(
    sides: &VersionGroups, registry: &EndpointRegistry, is_rolling_back: bool, now: Millis,
) -> Vec<EndpointIndex> {
    let canary = if is_rolling_back { &[] } else { sides.canary.as_slice() };
    let eligible = sides.baseline.iter().chain(canary).copied();
    eligible.filter(|index| registry.warmup_factor(*index, now) < 1.0).collect()
}

/// The gate of all attempts: every rule that one could violate.
#[derive(Clone, Copy)]
pub(crate) struct AttemptGate<'a> {
    /// Readiness, leases and slow start of the endpoints.
    pub(crate) registry: &'a EndpointRegistry,
    /// What canaries have received, and the rule on exposure.
    pub(crate) exposure: &'a ExposureLimiter,
    /// What the gateway may do.
    pub(crate) permissions: &'a Permissions,
    /// The time in ms.
    pub(crate) now: Millis,
}

impl AttemptGate<'_> {
    /// Whether an attempt at a request of a class may be sent to an endpoint now.
    pub(crate) fn admits(&self, request: &Request, class: &RequestClass, index: EndpointIndex) -> bool {
        self.admits_attempt(request, class) && self.admits_endpoint(request, class, index)
    }

    /// ms within which an admitted attempt must be written, so that the endpoint's lease and the deduplication window have
    /// not ended by then; none without such a limit.
    pub(crate) fn write_within(
        &self, request: &Request, class: &RequestClass, index: EndpointIndex,
    ) -> Option<Millis> {
        let lease_left =
            Some(self.registry.lease_expires_at(index) - self.now).filter(|left| left.is_finite());
        let window_left = request.dedup_window_left(class, SAFETY_MARGIN, self.now);
        [lease_left, window_left].into_iter().flatten().reduce(f64::min)
    }

    /// Whether one more attempt at a request may be sent at all.
    fn admits_attempt(&self, request: &Request, class: &RequestClass) -> bool {
        let dedup_window_left = request.dedup_window_left(class, SAFETY_MARGIN, self.now);
        request.awaits_response()
            && self.now < request.deadline
            && request.attempts.len() < self.permissions.max_attempts
            && (request.attempts_in_flight() == 0 || self.permissions.hedging)
            && dedup_window_left.is_none_or(|left| left > 0.0)
    }

    /// Whether an endpoint may get one more attempt at a request.
    fn admits_endpoint(&self, request: &Request, class: &RequestClass, index: EndpointIndex) -> bool {
        let endpoint = &self.registry.endpoints[index];
        let is_repeatable = |attempt: &Attempt| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey => attempt.is_recognised_by(endpoint, class.dedup_scope),
        };
        let (version, lowest_version) = (endpoint.version, self.registry.lowest_version);
        request.possibly_executed().all(is_repeatable)
            && endpoint.is_ready
            && self.now < self.registry.lease_expires_at(index)
            && (endpoint.slow_start_tokens >= 1.0 || self.registry.warmup_factor(index, self.now) >= 1.0)
            && self.exposure.admits(request, class.idempotency, version, lowest_version, self.now)
    }
}

/// Those of some endpoints that may get an attempt at a request now and are below their concurrency limit; among them
/// those that the request has not tried, if there are any.
pub(crate) fn available_endpoints(
    candidates: &[EndpointIndex], request: &Request, class: &RequestClass, gate: &AttemptGate,
) -> Vec<EndpointIndex> {
    let endpoints = &gate.registry.endpoints;
    // An ejected endpoint is used only where all are: waiting costs a request less than a failed attempt.
    let all_ejected = !endpoints.ready().any(|index| endpoints[index].is_healthy(gate.now));
    let is_available = |index: &EndpointIndex| {
        let endpoint = &endpoints[*index];
        f64::from(endpoint.in_flight) < endpoint.concurrency_limit
            && (endpoint.is_healthy(gate.now) || all_ejected)
            && gate.admits(request, class, *index)
    };
    let available: Vec<EndpointIndex> = candidates.iter().copied().filter(is_available).collect();
    let is_untried =
        |index: &EndpointIndex| request.attempts.iter().all(|attempt| attempt.endpoint != *index);
    let untried: Vec<EndpointIndex> = available.iter().copied().filter(is_untried).collect();
    if untried.is_empty() { available } else { untried }
}

/// Power of two choices: the less loaded of two endpoints drawn at random; none where none is available.
pub(crate) fn choose_of_two(
    available: &[EndpointIndex], load: impl Fn(EndpointIndex) -> f64, rng: &mut Pcg64Mcg,
) -> Option<EndpointIndex> {
    let first = *available.choose(rng)?;
    let second = *available.choose(rng)?;
    Some(if load(second) < load(first) { second } else { first })
}

/// What the load of an endpoint is computed from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointLoad {
    /// This gateway's attempts in flight there.
    pub(crate) in_flight: u32,
    /// It is in another zone, and crossing zones has a cost.
    pub(crate) crosses_zones: bool,
    /// Log of the ratio of its recent latencies to the usual ones.
    pub(crate) latency_bias: f64,
    /// ms since that was updated.
    pub(crate) latency_bias_age: Millis,
    /// Its weight, times the least share of its capacity that it has reached.
    pub(crate) capacity: f64,
}

impl EndpointLoad {
    /// Expected attempts in flight per unit of capacity, were one more sent. A gateway with few attempts of its own in
    /// flight infers the load of others from latencies.
    pub(crate) fn value(&self) -> f64 {
        let bias = if self.crosses_zones { CROSS_ZONE_BIAS } else { 0.0 };
        let decay = half_life_decay(self.latency_bias_age, LATENCY_BIAS_HALF_LIFE);
        let slowness = (self.latency_bias * decay).exp();
        (f64::from(self.in_flight) + bias + 1.0) * slowness / self.capacity
    }
}

/// What the published share of the canaries depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareInputs {
    /// There are ready canary endpoints.
    pub(crate) has_canary: bool,
    /// There are ready baseline endpoints.
    pub(crate) has_baseline: bool,
    /// Capacity of the canary endpoints that are not ejected.
    pub(crate) canary_capacity: f64,
    /// Capacity of the baseline endpoints that are not ejected.
    pub(crate) baseline_capacity: f64,
    /// The phase of the newest version's rollout.
    pub(crate) phase: RolloutPhase,
    /// The newest version was rejected here.
    pub(crate) is_canary_rejected: bool,
    /// The canary gets nearly all requests before its promotion.
    pub(crate) has_full_traffic: bool,
}

/// The share of all requests, from 0 to 1, that canaries are to get. Over all traffic, equal attempts in flight per
/// endpoint amount to the canaries' share of the capacity.
pub(crate) fn canary_share(inputs: &ShareInputs) -> f64 {
    if !inputs.has_baseline {
        return indicator(inputs.has_canary);
    }
    match inputs.phase {
        RolloutPhase::RollingBack | RolloutPhase::RolledBack => 0.0,
        RolloutPhase::Canary if inputs.is_canary_rejected => 0.0,
        _ if inputs.has_full_traffic && inputs.canary_capacity > 0.0 => FULL_TRAFFIC_SHARE,
        _ => {
            let capacity = inputs.canary_capacity + inputs.baseline_capacity;
            inputs.canary_capacity / capacity.max(f64::MIN_POSITIVE)
        }
    }
}
