//! Limits and rules of the proxy configuration. Each rule is a function of its inputs; the modules with state have no
//! limits of their own.

use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::Millis;
use std::ops::RangeInclusive;

// Shares of proxies.

/// Time after which a proxy that has not acknowledged its shares counts as unreachable. A quarter of a drain grace
/// period of 2 s, since the other proxies have to be updated within the rest. Independent of the configured grace
/// period.
pub const ACKNOWLEDGE_TIMEOUT: Millis = 500.0;
/// Time for which a disconnected proxy counts as still using its shares. A proxy that has been away for longer was shut
/// down, or its site is lost.
pub const DISCONNECTED_RETENTION: Millis = 600_000.0;
/// Minimum weight of a proxy, as a fraction of the busiest one's, since an idle proxy may receive requests again.
const MIN_RELATIVE_WEIGHT: f64 = 0.1;
/// Weight of the newest report in the exponential moving average of a proxy's request rate, from 0 to 1.
const RATE_SMOOTHING: f64 = 0.3;

// Shares of canaries.

/// Highest probability per window that the canary's requests exceed the cap: once in 60 years of windows of 2 s.
pub(crate) const MAX_EXCEEDANCE_PROBABILITY: f64 = 1e-9;
/// Fraction of its overload limit that a canary may receive while it warms up, since the load may double before the
/// next configuration is published.
pub(crate) const WARMUP_BUDGET_SHARE: f64 = 0.5;
/// Fraction of the recent request rate that a window is expected to have at least, since traffic may fall before
/// proxies are updated.
const MIN_TRAFFIC_RATIO: f64 = 0.5;
/// Step of the share of a canary with a traffic cap. Shares change in steps, so that proxies are updated less often.
const CAPPED_SHARE_STEP: PartsPerMillion = PartsPerMillion::new(1_000);
/// Step of the share that is shed and of all other shares.
pub(crate) const SHARE_STEP: PartsPerMillion = PartsPerMillion::new(10_000);

// Endpoints and clusters.

/// Weight of an endpoint per unit of capacity. Coarse, so that an endpoint that is warming up causes few updates.
const WEIGHT_PER_CAPACITY: f64 = 20.0;
const WEIGHT_RANGE: RangeInclusive<f64> = 1.0..=1e6;
/// Multiple of its equal part of a version's concurrency limit that a proxy may use, since clients are spread unevenly.
const UNEVEN_LOAD_FACTOR: f64 = 2.0;
/// Smallest limit of attempts in flight from one proxy at one cluster.
const MIN_IN_FLIGHT_LIMIT: u32 = 4;
/// Longest backoff of a proxy before a retry.
const MAX_RETRY_BACKOFF: Millis = 100.0;

// Load reports.

/// Time over which load reports are aggregated into one event for each cluster and each endpoint.
pub const REPORT_PERIOD: Millis = 1_000.0;
/// Time without a report after which the platform's counts are used instead.
const REPORT_TIMEOUT: Millis = 5_000.0;
/// Most attempts of one proxy that count, as a multiple of the mean over all reporting proxies. Without a limit a
/// single proxy could get a version rejected.
const MAX_MULTIPLE_OF_MEAN_ATTEMPTS: f64 = 4.0;
/// Fewest reporting proxies to which [`MAX_MULTIPLE_OF_MEAN_ATTEMPTS`] applies.
const MIN_PROXIES_TO_LIMIT: usize = 4;
/// Most attempts of a class at an endpoint that count per report, since the path from a single proxy may be faulty.
pub(crate) const MAX_ENDPOINT_ATTEMPTS: f64 = 20.0;
/// Largest count that is accepted in a report.
pub(crate) const MAX_COUNT: u64 = 1_000_000_000;
/// Periods that a report may cover: 1 ms to 1 h.
pub(crate) const REPORT_INTERVAL_RANGE: RangeInclusive<Millis> = 1.0..=3_600_000.0;
/// Largest mean latency that is accepted in a report: 1 h.
pub(crate) const MAX_MEAN_LATENCY: Millis = 3_600_000.0;

// Versions and freshness.

/// Number of rolled-back versions that are retained. Endpoints of older ones have been replaced.
pub(crate) const MAX_ROLLED_BACK_VERSIONS: usize = 64;
/// Time for which full lists must be stale, without a failed call to discovery in between, before a new epoch begins. A
/// lagging replica of discovery catches up sooner, so that discovery itself must have been restarted.
const NEW_EPOCH_DELAY: Millis = 60_000.0;
/// Tolerance by which a version that a proxy reports may be ahead of the local clock.
const MAX_CLOCK_SKEW: Millis = 60_000.0;
/// Tolerance within which two start times belong to one rollout state. Services compute the start time from an age that
/// they read at different moments, with different clocks.
const START_TIME_TOLERANCE_MS: u64 = 2_000;
/// Maximum length in bytes of a label's prefix, which ends with the signature if there is one.
pub const MAX_LABEL_PREFIX_LENGTH: usize = 160;

/// Returns `true` if a proxy counts as unreachable at `now` that has not acknowledged the shares sent at `sent_at`.
pub(crate) fn is_acknowledgement_overdue(now: Millis, sent_at: Millis) -> bool {
    now - sent_at >= ACKNOWLEDGE_TIMEOUT
}

/// Returns `true` if a proxy that disconnected at `disconnected_at` still counts as using its shares at `now`.
pub(crate) fn retains_disconnected(now: Millis, disconnected_at: Millis) -> bool {
    now - disconnected_at < DISCONNECTED_RETENTION
}

/// The weight of a proxy among all proxies, from its request rate and the busiest proxy's, both in the same unit. A
/// proxy that has not reported a rate counts like the busiest one.
pub(crate) fn proxy_weight(request_rate: Option<f64>, busiest_rate: f64) -> f64 {
    let assumed_rate = if busiest_rate > 0.0 { busiest_rate } else { 1.0 };
    request_rate.unwrap_or(assumed_rate).max(assumed_rate * MIN_RELATIVE_WEIGHT)
}

/// Weights of proxies for one request class. A proxy's weight is its request rate, with a minimum.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShareUsage {
    /// The weight of all proxies.
    pub(crate) total_weight: f64,
    /// The weight of unreachable proxies.
    pub(crate) unreachable_weight: f64,
    /// The part of `unreachable_weight` that may be routed to canaries: weight times share, summed over the proxies.
    pub(crate) unreachable_usage: f64,
}

/// The share, from 0 to `total_share`, that each reachable proxy may use so that all proxies together use at most
/// `total_share` of the requests. Returns 0 if the unreachable proxies alone may use more.
pub(crate) fn remaining_share(total_share: f64, usage: ShareUsage) -> f64 {
    // If unreachable proxies use less than their part, the others do not get the rest: an unreachable proxy may be
    // updated at any moment and then use its part.
    if usage.unreachable_usage <= total_share * usage.unreachable_weight {
        return total_share;
    }
    if usage.total_weight <= usage.unreachable_weight {
        return 0.0;
    }
    let remaining = total_share * usage.total_weight - usage.unreachable_usage;
    (remaining / (usage.total_weight - usage.unreachable_weight)).clamp(0.0, total_share)
}

/// The exponential moving average of a proxy's request rate after a report. Both rates are in requests per ms.
pub(crate) fn smoothed_rate(rate: f64, reported: f64) -> f64 {
    rate + RATE_SMOOTHING * (reported - rate)
}

/// Fewest requests that a window of the exposure rule is expected to have. `request_rate` is in requests per ms.
pub(crate) fn min_requests_per_window(request_rate: f64, window: Millis) -> f64 {
    request_rate * window * MIN_TRAFFIC_RATIO
}

/// The step to a multiple of which a canary's share is rounded down. `traffic_cap` is from 0 to 1; 1 is no cap.
pub(crate) fn canary_share_step(traffic_cap: f64) -> PartsPerMillion {
    if traffic_cap < 1.0 { CAPPED_SHARE_STEP } else { SHARE_STEP }
}

/// The weight of an endpoint among the endpoints of its version. `capacity` is the endpoint's weight in discovery times
/// its warm-up factor.
pub(crate) fn endpoint_weight(capacity: f64) -> u32 {
    let steps = (capacity * WEIGHT_PER_CAPACITY).floor();
    steps.clamp(*WEIGHT_RANGE.start(), *WEIGHT_RANGE.end()) as u32
}

/// Limit of the attempts in flight from one of `proxies` proxies at a version with this total capacity. Proxies that
/// disconnected within [`DISCONNECTED_RETENTION`] count too. The limit is a power of two, so that one more proxy or
/// endpoint rarely changes it, which would update all proxies.
pub(crate) fn max_in_flight(per_endpoint: u32, capacity: f64, proxies: usize) -> u32 {
    let limit = f64::from(per_endpoint) * capacity * UNEVEN_LOAD_FACTOR / proxies.max(1) as f64;
    (limit.ceil() as u32).max(MIN_IN_FLIGHT_LIMIT).next_power_of_two()
}

/// Number of retries that begin while endpoints still deduplicate by key, even if each attempt lasts until its timeout.
pub(crate) fn retries_in_dedup_window(dedup_window: Millis, attempt_timeout: Millis) -> u32 {
    let available_time = (dedup_window - MAX_RETRY_BACKOFF).max(0.0);
    let time_per_retry = attempt_timeout + MAX_RETRY_BACKOFF;
    (available_time / time_per_retry).floor() as u32
}

/// Returns `true` if the report period that began at `last_drained_at` is complete at `now`.
pub(crate) fn is_report_period_complete(now: Millis, last_drained_at: Millis) -> bool {
    now - last_drained_at >= REPORT_PERIOD
}

/// Returns `true` if no proxy has reported within [`REPORT_TIMEOUT`]. The last report arrived at `last_report_at`;
/// `None` if there was no report.
pub(crate) fn have_reports_stopped(now: Millis, last_report_at: Option<Millis>) -> bool {
    last_report_at.is_none_or(|reported_at| now - reported_at > REPORT_TIMEOUT)
}

/// Most attempts of one proxy that count, if `proxies` proxies reported `total_attempts` together. `None` if all
/// attempts count, since there are too few proxies for a comparison.
pub(crate) fn max_attempts_per_proxy(proxies: usize, total_attempts: f64) -> Option<f64> {
    let mean_attempts = total_attempts / proxies.max(1) as f64;
    (proxies >= MIN_PROXIES_TO_LIMIT).then_some(MAX_MULTIPLE_OF_MEAN_ATTEMPTS * mean_attempts)
}

/// Returns `true` if full lists have been stale for so long, since `stale_since`, that discovery was restarted.
pub(crate) fn was_discovery_restarted(now: Millis, stale_since: Millis) -> bool {
    now - stale_since >= NEW_EPOCH_DELAY
}

/// Returns `true` if a rollout state that began at `since` is further in the future than clocks can differ. Both
/// times are Unix times in ms.
pub(crate) fn is_too_far_in_future(since: u64, now: Millis) -> bool {
    since as Millis > now + MAX_CLOCK_SKEW
}

/// Returns `true` if two start times, as Unix times in ms, may be those of one rollout state.
pub(crate) fn is_same_start_time(since: u64, other: u64) -> bool {
    since.abs_diff(other) <= START_TIME_TOLERANCE_MS
}
