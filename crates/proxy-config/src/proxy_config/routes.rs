//! The route of each request class: the canary's share, the baselines' shares, and retries.

use super::builder::{BaselineCapacity, ConfigContext, SHARE_STEP};
use super::{RetryScope, Route, RouteShare, RouteTarget};
use crate::canary_share::{max_safe_share, max_warmup_share};
use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::{Canary, DedupScope, Idempotency, Millis, RequestClass, Version};

/// Part of the recent request rate that a window brings at least: traffic may fall before proxies are updated.
const MIN_TRAFFIC_RATIO: f64 = 0.5;
/// Steps of the share of a canary with a cap: one thousandth.
const CAPPED_SHARE_STEP: PartsPerMillion = PartsPerMillion::new(1_000);
/// The longest pause in ms of a proxy between two attempts.
const MAX_RETRY_BACKOFF: Millis = 100.0;

/// The route of one class and the share in it that canaries get.
pub(super) struct ClassRoute {
    pub(super) route: Route,
    pub(super) canary_share: PartsPerMillion,
}

/// The retries that a proxy may make of one class's requests.
struct RetryPolicy {
    scope: RetryScope,
    max_retries: u32,
    attempt_timeout: Option<Millis>,
}

impl ConfigContext<'_> {
    /// The route of a class.
    pub(super) fn route(&self, class: usize) -> ClassRoute {
        let request_class = &self.settings.classes[class];
        let canary_shares = self.canary_shares(class);
        let canary_share = canary_shares.iter().map(|canary| canary.share).sum();
        let sticky_shares =
            if self.settings.exposure.sticky_keys { Some(self.sticky_shares(&canary_shares)) } else { None };
        let retries = retry_policy(request_class, self.settings.max_attempts);
        let route = Route {
            class,
            shares: fill_with_baselines(canary_shares, &self.baselines),
            sticky_shares,
            timeout: request_class.timeout,
            attempt_timeout: retries.attempt_timeout,
            max_retries: retries.max_retries,
            retry_scope: retries.scope,
        };
        ClassRoute { route, canary_share }
    }

    /// The shares of requests with a key. A key that the canary served must not return to a baseline: requests with a
    /// key all stay with the baselines while there are any, then move once.
    fn sticky_shares(&self, canary_shares: &[RouteShare]) -> Vec<RouteShare> {
        let canary_shares = if self.baselines.is_empty() { canary_shares.to_vec() } else { Vec::new() };
        fill_with_baselines(canary_shares, &self.baselines)
    }

    /// The share of a class that each canary gets.
    fn canary_shares(&self, class: usize) -> Vec<RouteShare> {
        let canaries = &self.snapshot.canaries;
        let canary_capacity = canaries.iter().map(|canary| self.capacity(canary.version)).sum::<f64>();
        let wanted_share = self.snapshot.canary_share.min(self.warmup_limit(canary_capacity));
        let min_requests = self.min_requests_per_window(class);
        let mut shares = Vec::new();
        for canary in canaries {
            let capacity = self.capacity(canary.version);
            if capacity > 0.0 {
                let max_share = self.max_canary_share(canary, class, min_requests);
                let share = (wanted_share * capacity / canary_capacity).min(max_share);
                // Rounded down to coarse steps, so that a change of traffic does not update all proxies.
                let step = if canary.traffic_cap < 1.0 { CAPPED_SHARE_STEP } else { SHARE_STEP };
                let share = PartsPerMillion::from_fraction_floor(share).floor_to(step);
                shares.push(RouteShare { target: RouteTarget::Version(canary.version), share });
            }
        }
        shares
    }

    /// The largest share for all canaries while one of them warms up and a baseline can take the rest.
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

    /// Requests that a window of the exposure rule brings at least: of the class, or of all where it counts all.
    fn min_requests_per_window(&self, class: usize) -> f64 {
        let exposure = &self.settings.exposure;
        let request_rate: f64 = if exposure.per_class {
            self.share_ledger.request_rate(class)
        } else {
            let classes = 0..self.settings.classes.len();
            classes.map(|class| self.share_ledger.request_rate(class)).sum()
        };
        request_rate * exposure.window * MIN_TRAFFIC_RATIO
    }

    /// The largest share of a class for a canary: safe under its cap, less what unreachable proxies may be using.
    fn max_canary_share(&self, canary: &Canary, class: usize, min_requests: f64) -> f64 {
        let exposure = &self.settings.exposure;
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        let is_open = canary.stage >= exposure.closed_stages || is_idempotent;
        let safe_share =
            if is_open { max_safe_share(canary.traffic_cap, exposure.allowance, min_requests) } else { 0.0 };
        self.share_ledger.remaining_share(class, safe_share, self.now)
    }
}

/// Adds what is left of one whole, by capacity among the baselines; without one it is rejected.
fn fill_with_baselines(mut shares: Vec<RouteShare>, baselines: &[BaselineCapacity]) -> Vec<RouteShare> {
    let canary_share: PartsPerMillion = shares.iter().map(|share| share.share).sum();
    let mut unassigned = PartsPerMillion::FULL.saturating_sub(canary_share);
    let baseline_share = f64::from(unassigned.get());
    let total_capacity: f64 = baselines.iter().map(|baseline| baseline.capacity).sum();
    let Some((last, others)) = baselines.split_last() else {
        shares.push(RouteShare { target: RouteTarget::Reject, share: unassigned });
        shares.retain(|share| share.share > PartsPerMillion::ZERO || share.target != RouteTarget::Reject);
        return shares;
    };
    for baseline in others {
        let exact_parts = baseline_share * baseline.capacity / total_capacity.max(f64::MIN_POSITIVE);
        let share = PartsPerMillion::new(exact_parts as u32).floor_to(SHARE_STEP).min(unassigned);
        unassigned = unassigned.saturating_sub(share);
        shares.push(RouteShare { target: RouteTarget::Version(baseline.version), share });
    }
    shares.push(RouteShare { target: RouteTarget::Version(last.version), share: unassigned });
    shares
}

/// Which attempts of a class a proxy may retry, how often, and how long it waits for each.
fn retry_policy(class: &RequestClass, max_attempts: usize) -> RetryPolicy {
    let max_retries = max_attempts.saturating_sub(1) as u32;
    match class.idempotency {
        Idempotency::Idempotent => RetryPolicy {
            scope: RetryScope::Any,
            max_retries,
            attempt_timeout: Some(class.latency_objective),
        },
        // A proxy chooses the endpoint of a retry by itself: it may leave a smaller scope of deduplication.
        Idempotency::IdempotencyKey if class.dedup_scope == DedupScope::All => RetryPolicy {
            scope: RetryScope::Any,
            max_retries: max_retries.min(retries_in_dedup_window(class)),
            attempt_timeout: Some(class.latency_objective),
        },
        Idempotency::IdempotencyKey | Idempotency::NonIdempotent => {
            RetryPolicy { scope: RetryScope::NotExecuted, max_retries, attempt_timeout: None }
        }
    }
}

/// Retries of which even the last begins while endpoints still drop duplicates, if each attempt takes its full time.
fn retries_in_dedup_window(class: &RequestClass) -> u32 {
    let available_time = (class.dedup_window - MAX_RETRY_BACKOFF).max(0.0);
    let time_per_retry = class.latency_objective + MAX_RETRY_BACKOFF;
    (available_time / time_per_retry).floor() as u32
}
