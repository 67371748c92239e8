//! When a gateway calls the discovery service for the endpoint list.
//!
//! Problem: gateways share one discovery service, which processes its queue in order, including calls that have timed
//! out; calls of hundreds of gateways within a short time overload it for longer than their timeouts. Method: calls are
//! spread over an interval in proportion to the number of gateways, with full jitter and exponential backoff.
//!
//! [`Policy`](crate::Policy) draws [`first_call_delay`] when a process starts from a cached list, and [`retry_delay`]
//! when a call fails or a watch breaks. After that delay it calls, unless a list arrives first.

use crate::config::DiscoveryConfig;
use crate::time::Millis;
use latchhaven_backoff::{ExponentialBackoff, Jitter};
use rand_pcg::Pcg64Mcg;

/// Interval over which calls are spread, for each other gateway of the fleet.
const CALL_SPREAD_PER_GATEWAY: Millis = 250.0;
/// Longest delay in milliseconds of the first call for the endpoint list in a process that has a cached list. A process
/// without one calls immediately.
pub const MAX_FIRST_CALL_DELAY: Millis = 4000.0;
/// Upper bound of the interval over which calls are spread: the service scales with the number of gateways.
const MAX_CALL_SPREAD: Millis = 6000.0;
/// Share of that interval over which broken watches are reopened. This time also passes before a failed call is
/// retried, so that an overloaded service can process its queue.
const RECONNECT_SPREAD_SHARE: f64 = 1.0 / 3.0;
/// Share of the polling interval up to which the backoff grows, so that the end of an outage is noticed.
const MAX_BACKOFF_SHARE_OF_POLL_INTERVAL: f64 = 0.8;
/// Time after which a call without a reply is retried.
pub(crate) const CALL_TIMEOUT: Millis = 4000.0;

/// The delay of the first call for the list in a process with a cached list; `gateways`: size of the fleet.
pub(crate) fn first_call_delay(gateways: u32, rng: &mut Pcg64Mcg) -> Millis {
    Jitter::Full.draw(call_spread(gateways).min(MAX_FIRST_CALL_DELAY), rng)
}

/// The delay of the next call; `failed_calls`: consecutive failed calls, 0 if an open watch broke.
pub(crate) fn retry_delay(
    failed_calls: u32, gateways: u32, discovery: &DiscoveryConfig, rng: &mut Pcg64Mcg,
) -> Millis {
    let spread = call_spread(gateways).max(CALL_SPREAD_PER_GATEWAY);
    if failed_calls == 0 {
        return Jitter::Full.draw(RECONNECT_SPREAD_SHARE * spread, rng);
    }
    let max_spread = MAX_BACKOFF_SHARE_OF_POLL_INTERVAL * discovery.max_poll_interval;
    let backoff = ExponentialBackoff::new(spread, max_spread, Jitter::Full);
    (RECONNECT_SPREAD_SHARE * spread).min(max_spread) + backoff.delay(failed_calls - 1, rng)
}

/// The interval over which the calls of all gateways are spread.
fn call_spread(gateways: u32) -> Millis {
    (CALL_SPREAD_PER_GATEWAY * f64::from(gateways.saturating_sub(1))).min(MAX_CALL_SPREAD)
}
