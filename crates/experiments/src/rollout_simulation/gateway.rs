//! One gateway with its policy.

use latchhaven_policy::{Event, Millis, Policy};

/// One gateway.
pub(super) struct Gateway {
    pub(super) policy: Policy,
    /// Events that the policy has not handled.
    pub(super) events: Vec<Event>,
    /// When its timer fires, in ms.
    pub(super) timer_at: Millis,
}

impl Gateway {
    pub(super) fn new(policy: Policy) -> Self {
        Gateway { policy, events: Vec::new(), timer_at: 0.0 }
    }
}
