//! A simulated gateway: its policy, pending events and timer.

use latchhaven_policy::{Event, Millis, Policy};

pub(super) struct Gateway {
    pub(super) policy: Policy,
    /// Events that were not passed to the policy yet.
    pub(super) events: Vec<Event>,
    /// When the policy's timer fires; `None` if no timer is set.
    pub(super) timer_at: Option<Millis>,
}

impl Gateway {
    pub(super) fn new(policy: Policy) -> Self {
        Gateway { policy, events: Vec::new(), timer_at: Some(0.0) }
    }
}
