//! The state of the newest version's rollout. The feed and the answers to votes come on connections of their own and
//! may cross: the state that began last holds.

use latchhaven_policy::{Millis, RolloutState};

/// ms by which the beginnings of two states may differ by chance: ages come in whole ms and a little late.
const AGE_TOLERANCE: Millis = 20.0;

/// What becomes of a reported state.
pub(super) enum RolloutChange {
    /// It is the state that is known.
    Unchanged(RolloutState),
    /// It is older than the state that is known, which is given here with its present age.
    Superseded(RolloutState),
    /// It holds from now on.
    Changed(RolloutState),
}

/// A state, and the time at which it began.
struct KnownRollout {
    state: RolloutState,
    began_at: Millis,
}

/// The state that is known, if there is one.
#[derive(Default)]
pub(super) struct RolloutTracker {
    known: Option<KnownRollout>,
}

impl RolloutTracker {
    /// Takes in a reported state.
    pub(super) fn apply(&mut self, state: RolloutState, now: Millis) -> RolloutChange {
        let began_at = now - state.age;
        if let Some(known) = &self.known {
            if is_same_state(&known.state, &state) {
                return RolloutChange::Unchanged(state);
            }
            let is_older_version = state.version < known.state.version;
            let is_older_state =
                state.version == known.state.version && began_at < known.began_at - AGE_TOLERANCE;
            if is_older_version || is_older_state {
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
