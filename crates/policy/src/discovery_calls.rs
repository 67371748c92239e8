//! When the endpoint list is asked for. Gateways share one discovery service, and it works through calls in turn, also
//! through those that waited too long: calls of hundreds at once are spread over the time that it may take for them.

use crate::config::DiscoveryConfig;
use crate::time::Millis;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// ms of the span of calls for each other gateway: as much as the slowest service needs for a few callers.
const CALL_SPREAD: Millis = 250.0;
/// ms within which a new process calls for the list: until then it takes no clients.
pub const MAX_FIRST_CALL_DELAY: Millis = 4000.0;
/// ms of the span of calls of a large fleet: a service that is made for it needs about so long for one call of each.
const MAX_CALL_SPREAD: Millis = 6000.0;
/// Share of that span over which watches are opened anew that broke, and that passes before a failed call is repeated:
/// what waits at an overloaded service has to be worked through first.
const SHORT_SHARE: f64 = 1.0 / 3.0;
/// Times the span grows with each call that fails: a small fleet may have too many calls as well.
const RETRY_SPREAD_GROWTH: f64 = 2.0;
/// Share of the polling interval that the span may reach: a fleet that waited out an outage has to learn of its end.
const MAX_SPREAD_OF_POLLS: f64 = 0.8;

/// ms after which a call without an answer is repeated.
pub(crate) const CALL_TIMEOUT: Millis = 4000.0;

/// Time until a new process calls for the list.
pub(crate) fn first_call_delay(gateways: u32, rng: &mut Pcg64Mcg) -> Millis {
    rng.random_range(0.0..=call_spread(gateways).min(MAX_FIRST_CALL_DELAY))
}

fn call_spread(gateways: u32) -> Millis {
    (CALL_SPREAD * f64::from(gateways.saturating_sub(1))).min(MAX_CALL_SPREAD)
}

/// Time until a call is repeated after so many failed; 0: the watch broke that stood.
pub(crate) fn retry_delay(
    failed_calls: u32, gateways: u32, discovery: &DiscoveryConfig, rng: &mut Pcg64Mcg,
) -> Millis {
    let spread = call_spread(gateways).max(CALL_SPREAD);
    if failed_calls == 0 {
        return rng.random_range(0.0..=SHORT_SHARE * spread);
    }
    let growth = RETRY_SPREAD_GROWTH.powf(f64::from(failed_calls - 1));
    let max_spread = MAX_SPREAD_OF_POLLS * discovery.max_poll_interval;
    (SHORT_SHARE * spread).min(max_spread) + rng.random_range(0.0..=(growth * spread).min(max_spread))
}
