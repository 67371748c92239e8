//! The state of the newest version's rollout. It is reported by the feed and by answers to votes, on different
//! connections, so an older state may be received after a newer one: the state that began last is current.

use crate::limits::platform::is_older_state;
use latchhaven_policy::{Millis, RolloutState};

/// What a reported state changes.
pub(super) enum RolloutChange {
    /// It is the current state.
    Unchanged(RolloutState),
    /// It is older than the current state, which is given here with its age now.
    Superseded(RolloutState),
    /// It is current from now on.
    Changed(RolloutState),
}

/// A state and its start time in ms.
struct KnownRollout {
    state: RolloutState,
    began_at: Millis,
}

/// The current state, if one was reported.
#[derive(Default)]
pub(super) struct RolloutTracker {
    known: Option<KnownRollout>,
}

impl RolloutTracker {
    /// Applies a reported state. `now` in ms.
    pub(super) fn apply(&mut self, state: RolloutState, now: Millis) -> RolloutChange {
        let began_at = now - state.age;
        if let Some(known) = &self.known {
            if is_same_state(&known.state, &state) {
                return RolloutChange::Unchanged(state);
            }
            let is_superseded = state.version < known.state.version
                || state.version == known.state.version && is_older_state(began_at, known.began_at);
            if is_superseded {
                return RolloutChange::Superseded(RolloutState { age: now - known.began_at, ..known.state });
            }
        }
        self.known = Some(KnownRollout { state, began_at });
        RolloutChange::Changed(state)
    }
}

/// The states differ at most in their age.
fn is_same_state(left: &RolloutState, right: &RolloutState) -> bool {
    left.version == right.version
        && left.stage == right.stage
        && left.phase == right.phase
        && left.traffic_cap == right.traffic_cap
}
