//! Delays after which an update of the endpoint list counts as delivered to a gateway that did not receive it.

use latchhaven_policy::Millis;

/// In the simulator, an update counts as delivered this number of longest polling intervals after a failed call.
const FAILED_CALL_POLLS: f64 = 4.0;
/// Outside the simulator, gateways and discovery communicate over sockets. If discovery cannot reach a gateway there,
/// it counts an update as delivered to that gateway after this time.
const SOCKET_UPDATE_DELAY: Millis = 6000.0;
/// The same, if the gateway has switched to another address of discovery.
const SOCKET_MOVE_DELAY: Millis = 4000.0;

/// Times from an event until a missed update counts as delivered; see `latchhaven_policy::DiscoveryConfig`.
pub(super) struct UpdateDelays {
    pub(super) start: Millis,
    pub(super) watch_loss: Millis,
    /// Counted from the last message on a watch that is still open.
    pub(super) watch_silence: Millis,
    /// Counted from the gateway's switch to another address of discovery.
    pub(super) address_change: Millis,
}

impl UpdateDelays {
    pub(super) fn in_simulator(max_poll_interval: Millis) -> Self {
        let delay = FAILED_CALL_POLLS * max_poll_interval;
        UpdateDelays { start: delay, watch_loss: delay, watch_silence: delay, address_change: delay }
    }

    /// If the settings state that lists are pushed, a missed update counts as delivered immediately, unless the watch
    /// is open and silent or the gateway has switched to another address.
    pub(super) fn on_sockets(is_pushed: bool) -> Self {
        UpdateDelays {
            start: 0.0,
            watch_loss: if is_pushed { 0.0 } else { SOCKET_UPDATE_DELAY },
            watch_silence: SOCKET_UPDATE_DELAY,
            address_change: SOCKET_MOVE_DELAY,
        }
    }
}
