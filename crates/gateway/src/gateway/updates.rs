//! Updates of the endpoint list and of the rollout state.

use super::Gateway;
use super::rollout_tracker::RolloutReportEffect;
use crate::counters::COUNTERS;
use crate::discovery::calls::CallId;
use crate::discovery::ordered_client::ListDecision;
use crate::net::list::ListUpdate;
use crate::net::update_kind;
use latchhaven_policy::{EndpointEntry, Event, RolloutState, UpdateFailure, UpdateKind};
use std::net::SocketAddr;

impl Gateway {
    /// Handles that a call for the endpoint list delivered a list, or failed.
    pub(super) fn on_list_reply(
        &mut self, call: CallId, list: Result<ListUpdate, UpdateFailure>, events: &mut Vec<Event>,
    ) {
        let list = match list {
            Ok(list) => list,
            Err(failure) => {
                if self.discovery.on_failure(call) {
                    self.list_confirmation.on_confirmation_lost();
                    events.push(Event::EndpointUpdateFailed(failure));
                }
                return;
            }
        };
        let is_current = self.discovery.is_current(call);
        let current_version = self.discovery.current_version();
        let decision = self.discovery.on_list(call, list.version, list.is_snapshot);
        self.run_discovery_commands();
        match decision {
            ListDecision::Ignored => {}
            ListDecision::Apply => {
                COUNTERS.endpoint_list_updates_total.increment();
                tracing::debug!(
                    call = call.0,
                    list.version,
                    list.is_snapshot,
                    entries = list.entries.len(),
                    "discovery: list applied"
                );
                let kind = update_kind(list.is_snapshot);
                events.push(self.apply_received_list(kind, list, is_current));
            }
            ListDecision::Discard { is_current } => {
                tracing::info!(
                    call = call.0,
                    list.version,
                    list.is_snapshot,
                    current_version,
                    "discovery: list not newer, requested again"
                );
                COUNTERS.discovery_failures_total.increment();
                if is_current {
                    self.list_confirmation.on_confirmation_lost();
                    let failure = UpdateFailure { may_have_lost_update: true, ..UpdateFailure::default() };
                    events.push(Event::EndpointUpdateFailed(failure));
                }
            }
        }
    }

    /// Handles that the configuration was reloaded, possibly with another address of the discovery service.
    pub(super) fn on_discovery_moved(&mut self, address: SocketAddr, events: &mut Vec<Event>) {
        let tasks = &self.discovery_tasks;
        if self.discovery.on_address_changed(address, |call| tasks.is_finished(call)) {
            self.list_confirmation.on_confirmation_lost();
            events.push(Event::DiscoveryMoved);
        }
        self.run_discovery_commands();
    }

    pub(super) fn run_discovery_commands(&mut self) {
        self.discovery_tasks.run(self.discovery.take_commands());
    }

    fn apply_received_list(&mut self, kind: UpdateKind, list: ListUpdate, is_current: bool) -> Event {
        let list_version = list.version;
        let entries = self.apply_list(kind, list);
        if !is_current {
            return Event::EndpointUpdateFromPreviousAddress { kind, entries };
        }
        self.readiness.set_ready();
        self.list_confirmation.on_list_confirmed(list_version);
        Event::EndpointUpdate { kind, list_version, entries }
    }

    /// Applies the list from the configuration file, and returns the event for the policy.
    pub(super) fn apply_cached_list(&mut self, list: ListUpdate) -> Event {
        let kind = UpdateKind::CachedSnapshot;
        let list_version = list.version;
        Event::EndpointUpdate { kind, list_version, entries: self.apply_list(kind, list) }
    }

    /// Updates the connection pool, and returns the entries of the list. Attempts that were not yet written to a
    /// changed endpoint end with `NotSent`, so that the policy decides again.
    fn apply_list(&mut self, kind: UpdateKind, list: ListUpdate) -> Vec<EndpointEntry> {
        let mut unsent = Vec::new();
        if kind != UpdateKind::Delta {
            let is_listed = |id: &String| list.entries.iter().any(|(entry, _)| entry.endpoint == *id);
            for endpoint in self.pool.endpoints() {
                if !is_listed(&endpoint) {
                    unsent.append(&mut self.pool.remove_endpoint(&endpoint));
                }
            }
        }
        for (entry, address) in &list.entries {
            unsent.append(&mut self.pool.update_endpoint(entry, *address));
        }
        self.report_not_sent(unsent);
        list.entries.into_iter().map(|(entry, _)| entry).collect()
    }

    /// Applies a reported rollout state, and returns the state that is then current.
    pub(super) fn apply_rollout(&mut self, state: RolloutState) -> RolloutState {
        COUNTERS.rollout_updates_total.increment();
        tracing::debug!(?state, "platform: rollout state");
        match self.rollout.apply(state, self.clock.now()) {
            RolloutReportEffect::Unchanged(state) | RolloutReportEffect::Superseded(state) => state,
            RolloutReportEffect::Changed(state) => {
                // The policy chose the endpoints of unwritten attempts under the earlier state.
                let unsent = self.pool.take_queued();
                self.report_not_sent(unsent);
                state
            }
        }
    }
}
