//! When the endpoint list is asked for. Gateways share one discovery service, and it works through calls in turn, also
//! through those that waited too long: calls of hundreds at once are spread over the time that it may take for them.

use crate::Millis;
use crate::config::DiscoveryConfig;
use crate::list_lease::ListLease;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// ms of the span of first calls for each other gateway.
const FIRST_CALL_SPREAD: Millis = 15.0;
/// Share of the time for which a cached list is gone by within which the first call is made.
const MAX_FIRST_CALL_SHARE: f64 = 0.7;
/// ms of the span of repeated calls for each gateway: as much as the slowest service needs for a few callers.
const RETRY_SPREAD: Millis = 250.0;
/// ms of the span of repeated calls of a large fleet: what the service needs for one call of each.
const MAX_RETRY_SPREAD: Millis = 6000.0;
/// Share of that span over which watches are opened anew that broke, and that passes before a failed call is repeated:
/// what waits at an overloaded service has to be worked through first.
const SHORT_SHARE: f64 = 1.0 / 3.0;
/// Times the span grows with each call that fails: some hundred calls a second may still be too many.
const RETRY_SPREAD_GROWTH: f64 = 1.4;
/// Times the polling interval that the span may reach.
const MAX_SPREAD_OF_POLLS: f64 = 1.6;

/// Time until a new process calls for the list.
pub(crate) fn first_call_delay(gateways: u32, discovery: &DiscoveryConfig, rng: &mut Pcg64Mcg) -> Millis {
    let spread = FIRST_CALL_SPREAD * f64::from(gateways.saturating_sub(1));
    let max_spread = MAX_FIRST_CALL_SHARE * ListLease::cached_duration(discovery).min(MAX_RETRY_SPREAD);
    rng.random_range(0.0..=spread.min(max_spread).max(0.0))
}

/// Time until a call is repeated after so many failed; 0: the watch broke that stood.
pub(crate) fn retry_delay(
    failed_calls: u32, gateways: u32, discovery: &DiscoveryConfig, rng: &mut Pcg64Mcg,
) -> Millis {
    let spread = (RETRY_SPREAD * f64::from(gateways)).min(MAX_RETRY_SPREAD);
    if failed_calls == 0 {
        return rng.random_range(0.0..=SHORT_SHARE * spread);
    }
    let growth = RETRY_SPREAD_GROWTH.powf(f64::from(failed_calls - 1));
    let max_spread = MAX_SPREAD_OF_POLLS * discovery.max_poll_interval;
    (SHORT_SHARE * spread).min(max_spread) + rng.random_range(0.0..=(growth * spread).min(max_spread))
}
