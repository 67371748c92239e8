//! Limits and rules of the proxy configuration. Each rule is a function of its inputs; the modules with state have no
//! limits of their own. Times are in ms.

use crate::parts_per_million::PartsPerMillion;
use latchhaven_policy::Millis;
use std::ops::RangeInclusive;

// Shares of proxies.

/// ms after which a proxy that has not acknowledged its shares counts as unreachable. A quarter of a drain
/// grace of 2 s, whose remainder is needed to update the other proxies; it does not follow the setting.
pub const ACKNOWLEDGE_TIMEOUT: Millis = 500.0;
/// ms for which a disconnected proxy counts as using its shares; then it was shut down, or its site is lost.
pub const DISCONNECTED_RETENTION: Millis = 600_000.0;
/// The minimum weight of a proxy as a fraction of the busiest one's: an idle proxy may receive requests again.
const MIN_RELATIVE_WEIGHT: f64 = 0.1;
/// Weight of the newest report in a proxy's request rate.
const RATE_SMOOTHING: f64 = 0.3;

// Shares of canaries.

/// The probability per window that the canary's requests exceed the cap: once in 60 years of windows of 2 s.
pub(crate) const EXCEED_PROBABILITY: f64 = 1e-9;
/// The fraction of the overload budget that a warming canary may use: the load may double before the next configuration.
pub(crate) const WARMUP_BUDGET_SHARE: f64 = 0.5;
/// The fraction of the recent request rate that a window has at least: traffic may fall before proxies are updated.
const MIN_TRAFFIC_RATIO: f64 = 0.5;
/// Step of the share of a canary with a cap. Shares change in steps so that proxies are not updated all the time.
const CAPPED_SHARE_STEP: PartsPerMillion = PartsPerMillion::new(1_000);
/// Step of drop rates and of all other shares.
pub(crate) const SHARE_STEP: PartsPerMillion = PartsPerMillion::new(10_000);

// Endpoints and clusters.

/// Weight of an endpoint per unit of capacity. Coarse, so that a warming endpoint does not update proxies all the time.
const WEIGHT_PER_CAPACITY: f64 = 20.0;
/// The range of an endpoint's weight.
const WEIGHT_RANGE: RangeInclusive<f64> = 1.0..=1e6;
/// The multiple of its equal part of a version's concurrency limit that a proxy may use: clients are spread unevenly.
const UNEVENNESS: f64 = 2.0;
/// Attempts in flight that each proxy may have at a cluster at least.
const MIN_IN_FLIGHT: u32 = 4;
/// ms that a proxy waits between two attempts at most.
const MAX_RETRY_BACKOFF: Millis = 100.0;

// Load reports.

/// ms over which reports are aggregated into one event.
pub const REPORT_PERIOD: Millis = 1_000.0;
/// ms without a report after which the platform's counts are used instead.
const REPORT_TIMEOUT: Millis = 5_000.0;
/// The multiple of the mean over all reporting proxies that one of them counts at most: no single proxy can get a
/// version rejected.
const MAX_PROXY_MULTIPLE: f64 = 4.0;
/// Reporting proxies from which on [`MAX_PROXY_MULTIPLE`] applies.
const MIN_PROXIES_TO_LIMIT: usize = 4;
/// The most attempts of one class at one endpoint that count of one proxy's report: the path from a proxy may be faulty.
pub(crate) const MAX_ENDPOINT_ATTEMPTS: f64 = 20.0;
/// The largest plausible count of one report.
pub(crate) const MAX_COUNT: u64 = 1_000_000_000;
/// ms that a report may cover: 1 ms to 1 h.
pub(crate) const REPORT_INTERVAL_RANGE: RangeInclusive<Millis> = 1.0..=3_600_000.0;
/// The largest plausible mean latency in ms: 1 h.
pub(crate) const MAX_MEAN_LATENCY: Millis = 3_600_000.0;

// Versions and freshness.

/// Rolled-back versions that are retained: endpoints of older ones have been replaced.
pub(crate) const MAX_ROLLED_BACK_VERSIONS: usize = 64;
/// ms for which full lists must stay stale, while discovery answers, before a new epoch begins: then discovery itself
/// was restarted, whereas a lagging replica catches up sooner.
const NEW_EPOCH_DELAY: Millis = 60_000.0;
/// ms by which a version that a proxy reports may be ahead of the local clock.
const MAX_CLOCK_SKEW: Millis = 60_000.0;
/// ms by which the begins of one rollout state may differ: services read it at different moments, on different clocks.
const BEGIN_TOLERANCE: u64 = 2_000;
/// The maximum length in bytes of what precedes a label's signature.
pub const MAX_LABEL_LENGTH: usize = 160;

/// True where a proxy that was sent shares at `sent_at` and has not acknowledged them counts as unreachable at `now`.
pub(crate) fn is_acknowledgement_overdue(now: Millis, sent_at: Millis) -> bool {
    now - sent_at >= ACKNOWLEDGE_TIMEOUT
}

/// True where a proxy that disconnected at `disconnected_at` still counts as using its shares at `now`.
pub(crate) fn retains_disconnected(now: Millis, disconnected_at: Millis) -> bool {
    now - disconnected_at < DISCONNECTED_RETENTION
}

/// The weight of a proxy among all proxies, from its request rate and the busiest proxy's. A proxy that has not reported
/// counts like the busiest one.
pub(crate) fn proxy_weight(request_rate: Option<f64>, busiest_rate: f64) -> f64 {
    let assumed_rate = if busiest_rate > 0.0 { busiest_rate } else { 1.0 };
    request_rate.unwrap_or(assumed_rate).max(assumed_rate * MIN_RELATIVE_WEIGHT)
}

/// Weights of proxies, and the part that may still be used by those that cannot be updated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShareUsage {
    /// The weight of all proxies.
    pub(crate) total_weight: f64,
    /// The weight of unreachable proxies.
    pub(crate) unreachable_weight: f64,
    /// The weight that unreachable proxies may send to the canary.
    pub(crate) unreachable_usage: f64,
}

/// The share that each reachable proxy may use, so that the sum over all proxies is at most `total_share` of the
/// requests, from 0 to 1.
pub(crate) fn remaining_share(total_share: f64, usage: ShareUsage) -> f64 {
    // Unused share of unreachable proxies is not given to others: a proxy may be updated at any moment.
    if usage.unreachable_usage <= total_share * usage.unreachable_weight {
        return total_share;
    }
    if usage.total_weight <= usage.unreachable_weight {
        return 0.0;
    }
    let remaining = total_share * usage.total_weight - usage.unreachable_usage;
    (remaining / (usage.total_weight - usage.unreachable_weight)).clamp(0.0, total_share)
}

/// The request rate of a proxy after a report, in requests per ms.
pub(crate) fn smoothed_rate(rate: f64, reported: f64) -> f64 {
    rate + RATE_SMOOTHING * (reported - rate)
}

/// Requests that a window of the exposure rule has at least. `request_rate` is in requests per ms, `window` in ms.
pub(crate) fn min_requests_per_window(request_rate: f64, window: Millis) -> f64 {
    request_rate * window * MIN_TRAFFIC_RATIO
}

/// The step of a canary's share, which is rounded down to it. `traffic_cap` is from 0 to 1; 1 is no cap.
pub(crate) fn canary_share_step(traffic_cap: f64) -> PartsPerMillion {
    if traffic_cap < 1.0 { CAPPED_SHARE_STEP } else { SHARE_STEP }
}

/// The weight of an endpoint among the endpoints of its version.
pub(crate) fn endpoint_weight(capacity: f64) -> u32 {
    let steps = (capacity * WEIGHT_PER_CAPACITY).floor();
    steps.clamp(*WEIGHT_RANGE.start(), *WEIGHT_RANGE.end()) as u32
}

/// Attempts in flight that one of `proxies` proxies may have at a version with this capacity; proxies that disconnected
/// within [`DISCONNECTED_RETENTION`] count too. A power of two: one more
/// proxy or endpoint rarely updates all proxies.
pub(crate) fn max_in_flight(per_endpoint: u32, capacity: f64, proxies: usize) -> u32 {
    let limit = f64::from(per_endpoint) * capacity * UNEVENNESS / proxies.max(1) as f64;
    (limit.ceil() as u32).max(MIN_IN_FLIGHT).next_power_of_two()
}

/// Retries of which the last begins while endpoints still deduplicate by key, if each attempt takes its full time.
pub(crate) fn retries_in_dedup_window(dedup_window: Millis, attempt_timeout: Millis) -> u32 {
    let available_time = (dedup_window - MAX_RETRY_BACKOFF).max(0.0);
    let time_per_retry = attempt_timeout + MAX_RETRY_BACKOFF;
    (available_time / time_per_retry).floor() as u32
}

/// True where a period of reports that began at `last_drained_at` is complete at `now`.
pub(crate) fn is_report_period_complete(now: Millis, last_drained_at: Millis) -> bool {
    now - last_drained_at >= REPORT_PERIOD
}

/// True where proxies have stopped reporting: the last report arrived at `last_report_at`.
pub(crate) fn have_reports_stopped(now: Millis, last_report_at: Option<Millis>) -> bool {
    last_report_at.is_none_or(|reported_at| now - reported_at > REPORT_TIMEOUT)
}

/// Attempts that one of `proxies` proxies counts at most, where their reports have `total_attempts`.
pub(crate) fn max_attempts_per_proxy(proxies: usize, total_attempts: f64) -> f64 {
    let mean_attempts = total_attempts / proxies.max(1) as f64;
    if proxies >= MIN_PROXIES_TO_LIMIT { MAX_PROXY_MULTIPLE * mean_attempts } else { f64::INFINITY }
}

/// True where full lists have been stale since `stale_since` for so long that discovery was restarted.
pub(crate) fn begins_new_epoch(now: Millis, stale_since: Millis) -> bool {
    now - stale_since >= NEW_EPOCH_DELAY
}

/// True where a rollout state that begins at `since` cannot have been published by `now`; both in Unix ms.
pub(crate) fn is_in_future(since: u64, now: Millis) -> bool {
    since as Millis > now + MAX_CLOCK_SKEW
}

/// True where two begins, in Unix ms, may be those of one rollout state.
pub(crate) fn is_same_begin(since: u64, other: u64) -> bool {
    since.abs_diff(other) <= BEGIN_TOLERANCE
}
