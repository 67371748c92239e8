//! The rollout state of the newest version. The feed and the replies to votes report the state on different
//! connections, so an older state may be received after a newer one. The current state is the one that began last.

use crate::limits::platform::is_older_state;
use latchhaven_policy::{Millis, RolloutState};

/// The effect of a reported state.
pub(super) enum RolloutReportEffect {
    /// The reported state, which is the current state already.
    Unchanged(RolloutState),
    /// The current state with its present age. The reported state is older.
    Superseded(RolloutState),
    /// The reported state, which has become the current state.
    Changed(RolloutState),
}

struct KnownRollout {
    state: RolloutState,
    began_at: Millis,
}

#[derive(Default)]
pub(super) struct RolloutTracker {
    /// The current state. `None` until one was reported.
    known: Option<KnownRollout>,
}

impl RolloutTracker {
    /// Makes a reported state the current one, unless the current state is the same or newer.
    pub(super) fn apply(&mut self, state: RolloutState, now: Millis) -> RolloutReportEffect {
        let began_at = now - state.age;
        if let Some(known) = &self.known {
            if is_same_state(&known.state, &state) {
                return RolloutReportEffect::Unchanged(state);
            }
            let is_superseded = state.version < known.state.version
                || state.version == known.state.version && is_older_state(began_at, known.began_at);
            if is_superseded {
                return RolloutReportEffect::Superseded(RolloutState {
                    age: now - known.began_at,
                    ..known.state
                });
            }
        }
        self.known = Some(KnownRollout { state, began_at });
        RolloutReportEffect::Changed(state)
    }
}

/// Returns `true` if the states differ at most in their age.
fn is_same_state(left: &RolloutState, right: &RolloutState) -> bool {
    left.version == right.version
        && left.stage == right.stage
        && left.phase == right.phase
        && left.traffic_cap == right.traffic_cap
}
