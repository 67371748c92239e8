//! Routing of an attempt: a random draw between canary and baseline, then a choice between two endpoints.
//!
//! Problem: a gateway sees only its own attempts in flight, and must compare a canary with the baseline under equal
//! load. Method: a draw that equalises the attempts in flight per endpoint of both version groups (top-two sampling),
//! then the power of two choices (Mitzenmacher, 2001) on attempts in flight per unit of capacity.
//!
//! [`Policy`](crate::Policy) calls these rules for each queued request and each hedged request. No attempt is sent
//! unless [`AttemptRules`] allows it: it checks every rule that an attempt could violate. For adapters that publish
//! shares instead of routing each request, [`canary_share`] computes the canaries' share from capacities. It is 0 for a
//! rejected canary, whereas the draw still selects one.

use crate::config::Permissions;
use crate::exposure::TIME_LIMIT_SAFETY_MARGIN;
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

/// Share of requests for the canary at the end of its last stage; the baseline gets the rest, for comparison.
const FULL_TRAFFIC_SHARE: f64 = 0.9;
/// Additional attempts in flight that an endpoint in another zone counts as having, if crossing zones has a cost.
const CROSS_ZONE_BIAS: f64 = 0.25;
/// Time after which the weight of an endpoint's latency in its load has halved.
const LATENCY_BIAS_HALF_LIFE: Millis = 5000.0;

/// Inputs of the draw between canary and baseline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupDrawInputs {
    /// The share of the ready endpoints that run a canary.
    pub(crate) canary_endpoint_share: f64,
    /// Mean attempts in flight at a canary endpoint.
    pub(crate) canary_load: f64,
    /// Mean attempts in flight at a baseline endpoint.
    pub(crate) baseline_load: f64,
    /// Set when there are ready baseline endpoints.
    pub(crate) has_baseline: bool,
    /// Set while the newest version is being rolled back.
    pub(crate) is_rolling_back: bool,
    /// Set when the canary gets nearly all requests before its promotion.
    pub(crate) has_full_traffic: bool,
}

/// Whether canary endpoints are tried before baseline endpoints; `draw`: uniform between 0 and 1.
pub(crate) fn is_canary_first(draw: f64, inputs: &GroupDrawInputs) -> bool {
    if !inputs.has_baseline {
        return true;
    }
    let share = inputs.canary_endpoint_share;
    let is_full_traffic = inputs.has_full_traffic && draw < FULL_TRAFFIC_SHARE;
    // With less than one attempt in flight per endpoint, the comparison of loads is too coarse: the lower the load, the
    // closer the probability of the canary is to its share of the endpoints.
    let canary_probability = share + (0.5 - share).max(0.0) * inputs.baseline_load.min(1.0);
    let is_picked = draw < canary_probability && inputs.canary_load <= inputs.baseline_load;
    !inputs.is_rolling_back && (is_full_traffic || is_picked)
}

/// Endpoints of both version groups that are warming up, without those of a canary that is being rolled back. These are
/// tried before all others, since their slow start budget is small and randomly distributed over gateways.
pub(crate) fn warming_endpoints(
    groups: &VersionGroups, registry: &EndpointRegistry, is_rolling_back: bool, now: Millis,
) -> Vec<EndpointIndex> {
    let canary = if is_rolling_back { &[] } else { groups.canary.as_slice() };
    let eligible = groups.baseline.iter().chain(canary).copied();
    eligible.filter(|index| registry.warmup_factor(*index, now) < 1.0).collect()
}

/// Every rule that an attempt could violate, with the state that it depends on.
#[derive(Clone, Copy)]
pub(crate) struct AttemptRules<'a> {
    /// The endpoints with their readiness, leases and slow start tokens.
    pub(crate) registry: &'a EndpointRegistry,
    /// The rule on exposure, with the attempts that canaries have received.
    pub(crate) exposure: &'a ExposureLimiter,
    /// Whether attempts may be repeated or hedged.
    pub(crate) permissions: &'a Permissions,
    pub(crate) now: Millis,
}

impl AttemptRules<'_> {
    /// Whether an attempt at a request of a class may be sent to an endpoint now.
    pub(crate) fn allows(&self, request: &Request, class: &RequestClass, index: EndpointIndex) -> bool {
        self.allows_another_attempt(request, class) && self.allows_endpoint(request, class, index)
    }

    /// The time within which an allowed attempt must be written, so that by then neither the endpoint's lease nor the
    /// deduplication window has expired; `None` if neither applies.
    pub(crate) fn write_timeout(
        &self, request: &Request, class: &RequestClass, index: EndpointIndex,
    ) -> Option<Millis> {
        let lease_left =
            Some(self.registry.lease_expires_at(index) - self.now).filter(|left| left.is_finite());
        let window_left = request.dedup_window_left(class, TIME_LIMIT_SAFETY_MARGIN, self.now);
        [lease_left, window_left].into_iter().flatten().reduce(f64::min)
    }

    /// Whether one more attempt at a request may be sent to any endpoint.
    fn allows_another_attempt(&self, request: &Request, class: &RequestClass) -> bool {
        let dedup_window_left = request.dedup_window_left(class, TIME_LIMIT_SAFETY_MARGIN, self.now);
        request.awaits_response()
            && self.now < request.deadline
            && request.attempts.len() < self.permissions.max_attempts
            && (request.attempts_in_flight() == 0 || self.permissions.hedging)
            && dedup_window_left.is_none_or(|left| left > 0.0)
    }

    /// Whether one more attempt at a request may be sent to this endpoint.
    fn allows_endpoint(&self, request: &Request, class: &RequestClass, index: EndpointIndex) -> bool {
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
            && self.exposure.allows(request, class.idempotency, version, lowest_version, self.now)
    }
}

/// The candidates that may get an attempt at the request now and are below their concurrency limit. Candidates that the
/// request was sent to before are only included if there are no others.
pub(crate) fn available_endpoints(
    candidates: &[EndpointIndex], request: &Request, class: &RequestClass, rules: &AttemptRules,
) -> Vec<EndpointIndex> {
    let endpoints = &rules.registry.endpoints;
    // An ejected endpoint is used only if all are: waiting costs a request less than a failed attempt.
    let all_ejected = !endpoints.ready().any(|index| endpoints[index].is_healthy(rules.now));
    let is_available = |index: &EndpointIndex| {
        let endpoint = &endpoints[*index];
        f64::from(endpoint.in_flight) < endpoint.concurrency_limit
            && (endpoint.is_healthy(rules.now) || all_ejected)
            && rules.allows(request, class, *index)
    };
    let available: Vec<EndpointIndex> = candidates.iter().copied().filter(is_available).collect();
    let is_untried =
        |index: &EndpointIndex| request.attempts.iter().all(|attempt| attempt.endpoint != *index);
    let untried: Vec<EndpointIndex> = available.iter().copied().filter(is_untried).collect();
    if untried.is_empty() { available } else { untried }
}

/// Power of two choices: the less loaded of two endpoints drawn at random; `None` if no endpoint is available.
pub(crate) fn choose_of_two(
    available: &[EndpointIndex], load: impl Fn(EndpointIndex) -> f64, rng: &mut Pcg64Mcg,
) -> Option<EndpointIndex> {
    let first = *available.choose(rng)?;
    let second = *available.choose(rng)?;
    Some(if load(second) < load(first) { second } else { first })
}

/// Inputs of an endpoint's load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointLoad {
    /// This gateway's attempts in flight at the endpoint.
    pub(crate) in_flight: u32,
    /// Set when the endpoint is in another zone and crossing zones has a cost.
    pub(crate) crosses_zones: bool,
    /// Logarithm of the ratio of the endpoint's recent latencies to the usual ones.
    pub(crate) latency_bias: f64,
    /// Time since the last update of the latency bias.
    pub(crate) latency_bias_age: Millis,
    /// The endpoint's weight times its warm-up factor.
    pub(crate) capacity: f64,
}

impl EndpointLoad {
    /// Expected attempts in flight per unit of capacity after one more is sent. Raised by [`CROSS_ZONE_BIAS`] for an
    /// endpoint in another zone, and by high latencies: they show the load that other gateways cause, which a gateway
    /// with few attempts of its own in flight does not see otherwise.
    pub(crate) fn expected_load(&self) -> f64 {
        let bias = if self.crosses_zones { CROSS_ZONE_BIAS } else { 0.0 };
        let decay = half_life_decay(self.latency_bias_age, LATENCY_BIAS_HALF_LIFE);
        let slowness = (self.latency_bias * decay).exp();
        (f64::from(self.in_flight) + bias + 1.0) * slowness / self.capacity
    }
}

/// Inputs of the published share of the canaries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CanaryShareInputs {
    /// Set when there are ready canary endpoints.
    pub(crate) has_canary: bool,
    /// Set when there are ready baseline endpoints.
    pub(crate) has_baseline: bool,
    /// Capacity of the canary endpoints that are not ejected.
    pub(crate) canary_capacity: f64,
    /// Capacity of the baseline endpoints that are not ejected.
    pub(crate) baseline_capacity: f64,
    /// Phase of the newest version's rollout.
    pub(crate) phase: RolloutPhase,
    /// Set when this gateway has rejected the newest version.
    pub(crate) is_canary_rejected: bool,
    /// Set when the canary gets nearly all requests before its promotion.
    pub(crate) has_full_traffic: bool,
}

/// The share of all requests, from 0 to 1, that canaries are to get. With equally many attempts in flight at every
/// endpoint, canaries get their share of the capacity.
pub(crate) fn canary_share(inputs: &CanaryShareInputs) -> f64 {
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
