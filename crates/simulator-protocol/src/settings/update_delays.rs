//! When a change of the endpoint list counts as reported to a gateway that did not receive it.

use latchhaven_policy::Millis;

/// Polling intervals after which the simulator counts a change as reported to a gateway whose call failed.
const FAILED_CALL_POLLS: f64 = 4.0;
/// Time in ms after which discovery counts a change as reported to a gateway on sockets that it cannot reach.
const SOCKET_UPDATE_DELAY: Millis = 6000.0;
/// Time in ms after which it does so where the gateway has moved to another address.
const SOCKET_MOVE_DELAY: Millis = 4000.0;

/// When changes count as reported to a gateway that misses them, in ms.
pub(super) struct UpdateDelays {
    /// Since the gateway's start.
    pub(super) start: Millis,
    /// Since its watch was lost.
    pub(super) lost_watch: Millis,
    /// Since the last message on a watch that is still open.
    pub(super) silent_watch: Millis,
    /// Since it moved to another address of discovery.
    pub(super) moved: Millis,
}

impl UpdateDelays {
    /// The delays in the simulator, given the longest polling interval in ms.
    pub(super) fn in_simulator(max_poll_interval: Millis) -> Self {
        let delay = FAILED_CALL_POLLS * max_poll_interval;
        UpdateDelays { start: delay, lost_watch: delay, silent_watch: delay, moved: delay }
    }

    /// The delays on sockets. Where the settings say that lists are pushed, a change counts as reported immediately, unless the
    /// watch is open and silent or the gateway has moved.
    pub(super) fn on_sockets(is_pushed: bool) -> Self {
        UpdateDelays {
            start: 0.0,
            lost_watch: if is_pushed { 0.0 } else { SOCKET_UPDATE_DELAY },
            silent_watch: SOCKET_UPDATE_DELAY,
            moved: SOCKET_MOVE_DELAY,
        }
    }
}
