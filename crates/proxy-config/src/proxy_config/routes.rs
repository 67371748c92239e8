//! The route of each request class: the shares of canaries and baselines, and the retries.

use super::context::{BaselineCapacity, ConfigContext};
use super::model::{RetryScope, Route, RouteShare, RouteTarget};
use crate::canary_share::{max_share_within_cap, max_warmup_share};
use crate::limits::{self, SHARE_STEP};
use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::{Canary, DedupScope, Idempotency, Millis, RequestClass, Version};

/// The route of one class, and the sum of the canaries' shares in it.
pub(super) struct ClassRoute {
    pub(super) route: Route,
    pub(super) canary_share: PartsPerMillion,
}

/// The retries that a proxy may send for one class's requests.
struct RetryPolicy {
    scope: RetryScope,
    max_retries: u32,
    attempt_timeout: Option<Millis>,
}

impl ConfigContext<'_> {
    pub(super) fn route(&self, class: usize) -> ClassRoute {
        let request_class = &self.settings.classes[class];
        let canary_shares = self.canary_shares(class);
        let canary_share = canary_shares.iter().map(|canary| canary.share).sum();
        let sticky_shares =
            if self.settings.exposure.sticky_keys { Some(self.sticky_shares(&canary_shares)) } else { None };
        let retries = retry_policy(request_class, self.settings.max_attempts);
        let route = Route {
            class,
            shares: add_baseline_shares(canary_shares, &self.baselines),
            sticky_shares,
            timeout: request_class.timeout,
            attempt_timeout: retries.attempt_timeout,
            max_retries: retries.max_retries,
            retry_scope: retries.scope,
        };
        ClassRoute { route, canary_share }
    }

    /// The shares for requests with a sticky key. A key must not return from the canary to a baseline. All requests
    /// with a key therefore go to the baselines while there are any, and to the canaries after that.
    fn sticky_shares(&self, canary_shares: &[RouteShare]) -> Vec<RouteShare> {
        let canary_shares = if self.baselines.is_empty() { canary_shares.to_vec() } else { Vec::new() };
        add_baseline_shares(canary_shares, &self.baselines)
    }

    /// Each canary's share of a class: its part, by capacity, of the share that the policy requests, within the limits.
    fn canary_shares(&self, class: usize) -> Vec<RouteShare> {
        let canaries = &self.snapshot.canaries;
        let canary_capacity = canaries.iter().map(|canary| self.capacity(canary.version)).sum::<f64>();
        let requested_share = self.snapshot.canary_share.min(self.warmup_limit(canary_capacity));
        let min_requests = self.min_requests_per_window(class);
        let mut shares = Vec::new();
        for canary in canaries {
            let capacity = self.capacity(canary.version);
            if capacity > 0.0 {
                let max_share = self.max_canary_share(canary, class, min_requests);
                let share = (requested_share * capacity / canary_capacity).min(max_share);
                let step = limits::canary_share_step(canary.traffic_cap);
                let share = PartsPerMillion::from_fraction_floor(share).round_down_to_multiple_of(step);
                shares.push(RouteShare { target: RouteTarget::Version(canary.version), share });
            }
        }
        shares
    }

    /// The largest share for all canaries together, from 0 to 1. Below 1 only while one of them is warming up and a
    /// baseline could get the requests instead.
    fn warmup_limit(&self, canary_capacity: f64) -> f64 {
        let canaries = &self.snapshot.canaries;
        let is_any_warming_up = canaries.iter().any(|canary| self.is_warming_up(canary.version));
        if !is_any_warming_up || self.baselines.is_empty() {
            return 1.0;
        }
        let total_capacity = self.capacities.values().sum::<f64>();
        max_warmup_share(self.settings.slow_start.overload_multiple, canary_capacity, total_capacity)
    }

    fn is_warming_up(&self, version: Version) -> bool {
        let endpoints = &self.snapshot.endpoints;
        endpoints
            .iter()
            .any(|endpoint| endpoint.version == version && endpoint.is_ready && endpoint.is_warming_up)
    }

    /// The fewest requests that a window of the exposure rule is expected to have. Counts the requests of `class` if
    /// the rule counts each class separately, else those of all classes.
    fn min_requests_per_window(&self, class: usize) -> f64 {
        let exposure = &self.settings.exposure;
        let request_rate: f64 = if exposure.per_class {
            self.published_shares.request_rate(class)
        } else {
            let classes = 0..self.settings.classes.len();
            classes.map(|class| self.published_shares.request_rate(class)).sum()
        };
        limits::min_requests_per_window(request_rate, exposure.window)
    }

    /// The largest share of a class for a canary, from 0 to 1: within its traffic cap, reduced by what unreachable
    /// proxies may be using. 0 if the canary's stage does not permit the class.
    fn max_canary_share(&self, canary: &Canary, class: usize, min_requests: f64) -> f64 {
        let exposure = &self.settings.exposure;
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        let is_class_allowed = canary.stage >= exposure.idempotent_only_stages || is_idempotent;
        let total_share = if is_class_allowed {
            max_share_within_cap(canary.traffic_cap, exposure.allowance, min_requests)
        } else {
            0.0
        };
        self.published_shares.remaining_share(class, total_share, self.now)
    }
}

/// Adds targets for the requests that no canary gets: the baselines, in proportion to their capacities. The last
/// baseline also gets what rounding leaves over. Without a baseline these requests are rejected.
fn add_baseline_shares(mut shares: Vec<RouteShare>, baselines: &[BaselineCapacity]) -> Vec<RouteShare> {
    let canary_share: PartsPerMillion = shares.iter().map(|share| share.share).sum();
    let mut unassigned = PartsPerMillion::FULL.saturating_sub(canary_share);
    let baseline_parts = f64::from(unassigned.get());
    let total_capacity: f64 = baselines.iter().map(|baseline| baseline.capacity).sum();
    let Some((last, others)) = baselines.split_last() else {
        if unassigned > PartsPerMillion::ZERO {
            shares.push(RouteShare { target: RouteTarget::Reject, share: unassigned });
        }
        return shares;
    };
    for baseline in others {
        let exact_parts = baseline_parts * baseline.capacity / total_capacity.max(f64::MIN_POSITIVE);
        let share =
            PartsPerMillion::new(exact_parts as u32).round_down_to_multiple_of(SHARE_STEP).min(unassigned);
        unassigned = unassigned.saturating_sub(share);
        shares.push(RouteShare { target: RouteTarget::Version(baseline.version), share });
    }
    shares.push(RouteShare { target: RouteTarget::Version(last.version), share: unassigned });
    shares
}

/// The retries that are safe for a class: without duplicate effects, and not more than `max_attempts` permits.
fn retry_policy(class: &RequestClass, max_attempts: usize) -> RetryPolicy {
    let max_retries = u32::try_from(max_attempts.saturating_sub(1)).unwrap_or(u32::MAX);
    match class.idempotency {
        Idempotency::Idempotent => RetryPolicy {
            scope: RetryScope::Any,
            max_retries,
            attempt_timeout: Some(class.latency_objective),
        },
        // A proxy may choose any endpoint for a retry. Only endpoints that all deduplicate by the same keys detect
        // the repeat.
        Idempotency::IdempotencyKey if class.dedup_scope == DedupScope::All => RetryPolicy {
            scope: RetryScope::Any,
            max_retries: max_retries
                .min(limits::retries_in_dedup_window(class.dedup_window, class.latency_objective)),
            attempt_timeout: Some(class.latency_objective),
        },
        Idempotency::IdempotencyKey | Idempotency::NonIdempotent => {
            RetryPolicy { scope: RetryScope::NotExecuted, max_retries, attempt_timeout: None }
        }
    }
}
