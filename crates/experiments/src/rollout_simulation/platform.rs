//! The platform: starts hosts, advances rollouts, and reports the endpoint list, rollout states and outcomes.

use super::model::{CapChange, RoutingMode, Vote};
use super::outcomes::outcome_report;
use super::parameters::{
    INITIAL_VERSION, OUTCOME_REPORT_INTERVAL, ROLLBACK_TIME, ROLLOUT_STARTS, ROLLOUT_VERSIONS, SOAK_TIME,
    STAGE_CAPS, STAGE_HOST_SHARES, STAGE_TIME_WITHOUT_ANALYSIS, host_address,
};
use super::simulation::Simulation;
use latchhaven_policy::{
    EndpointEntry, Event, Millis, RolloutPhase, RolloutState, UpdateKind, Verdict, Version,
};

impl Simulation {
    /// Reports the endpoint list to the control service and all gateways.
    pub(super) fn publish_endpoints(&mut self) {
        let entries: Vec<EndpointEntry> =
            self.hosts.iter().enumerate().map(|(index, host)| host.entry(index)).collect();
        let list_version = self.rollout.list_version;
        if let Some(proxy_group) = &mut self.proxy_group {
            let entries = entries.iter().cloned().enumerate();
            let addressed = entries.map(|(index, entry)| (entry, host_address(index))).collect();
            proxy_group.control_plane.on_endpoint_list(list_version, true, addressed, self.now);
        }
        for gateway in &mut self.gateways {
            let entries = entries.clone();
            let update = Event::EndpointUpdate { kind: UpdateKind::Snapshot, list_version, entries };
            gateway.events.push(update);
        }
        self.rollout.list_version += 1;
    }

    /// Reports the rollout's state to the control service and all gateways.
    pub(super) fn publish_rollout(&mut self) {
        let state = RolloutState { age: self.now - self.rollout.state_since, ..self.rollout.state };
        if let Some(proxy_group) = &mut self.proxy_group {
            proxy_group.control_plane.on_rollout_state(state, self.now);
        }
        for gateway in &mut self.gateways {
            gateway.events.push(Event::RolloutUpdate(state));
        }
    }

    fn set_rollout(&mut self, version: Version, stage: u32, phase: RolloutPhase, traffic_cap: f64) {
        let age = self.rollout.state.age;
        self.rollout.state = RolloutState { version, stage, phase, traffic_cap, age };
        self.rollout.state_since = self.now;
        self.rollout.cap_history.push(CapChange { at: self.now, cap: traffic_cap });
        self.publish_rollout();
    }

    /// Restarts hosts with a version until a share of all hosts runs it, and publishes the endpoint list. Attempts in
    /// flight complete as drawn.
    fn deploy_version(&mut self, host_share: f64, version: Version) {
        let count = (host_share * self.hosts.len() as f64).round() as usize;
        for host in self.hosts.iter_mut().take(count).filter(|host| host.version != version) {
            host.version = version;
            host.started_at = Some(self.now);
        }
        self.publish_endpoints();
    }

    /// Advances the rollout by votes or, in the mode without canary analysis, by time.
    pub(super) fn advance_rollout(&mut self) {
        let RolloutState { version, stage, phase, .. } = self.rollout.state;
        match phase {
            RolloutPhase::Promoted | RolloutPhase::RolledBack => self.start_due_rollout(),
            RolloutPhase::RollingBack => self.finish_due_rollback(version, stage),
            RolloutPhase::Canary => self.advance_canary(version, stage),
        }
        // Voters may reject a version after its promotion.
        let is_rejected = self.has_vote(version, stage, Verdict::RollBack) && version > INITIAL_VERSION;
        if phase == RolloutPhase::Promoted && is_rejected {
            self.set_rollout(version, stage, RolloutPhase::RollingBack, 0.0);
        }
    }

    fn has_vote(&self, version: Version, stage: u32, verdict: Verdict) -> bool {
        self.votes.contains(&Vote { version, stage, verdict })
    }

    fn time_in_state(&self) -> Millis {
        self.now - self.rollout.state_since
    }

    fn start_due_rollout(&mut self) {
        let started_rollouts = self.rollout.started_rollouts;
        if started_rollouts >= ROLLOUT_STARTS.len() || self.now < ROLLOUT_STARTS[started_rollouts] {
            return;
        }
        self.rollout.started_rollouts += 1;
        let version = ROLLOUT_VERSIONS[started_rollouts];
        self.set_rollout(version, 0, RolloutPhase::Canary, STAGE_CAPS[0]);
        self.deploy_version(STAGE_HOST_SHARES[0], version);
    }

    fn finish_due_rollback(&mut self, version: Version, stage: u32) {
        if self.time_in_state() < ROLLBACK_TIME {
            return;
        }
        let [first, second] = ROLLOUT_VERSIONS;
        // The baseline is the version before, or the initial version if the version before is bad.
        let baseline = if version == second && !self.rollout.is_bad(first) { first } else { INITIAL_VERSION };
        self.deploy_version(1.0, baseline);
        self.set_rollout(version, stage, RolloutPhase::RolledBack, 0.0);
    }

    fn advance_canary(&mut self, version: Version, stage: u32) {
        if self.has_vote(version, stage, Verdict::RollBack) {
            return self.set_rollout(version, stage, RolloutPhase::RollingBack, 0.0);
        }
        let is_approved =
            self.has_vote(version, stage, Verdict::Promote) && self.time_in_state() >= SOAK_TIME;
        let is_unanalysed =
            self.mode == RoutingMode::Even && self.time_in_state() >= STAGE_TIME_WITHOUT_ANALYSIS;
        if !is_approved && !is_unanalysed {
            return;
        }
        let next_stage = stage as usize + 1;
        if next_stage == STAGE_CAPS.len() {
            self.set_rollout(version, stage, RolloutPhase::Promoted, 1.0);
        } else {
            self.set_rollout(version, next_stage as u32, RolloutPhase::Canary, STAGE_CAPS[next_stage]);
            self.deploy_version(STAGE_HOST_SHARES[next_stage], version);
        }
    }

    /// Reports the sampled outcomes to the control service and all gateways when the report interval has passed.
    pub(super) fn report_outcomes(&mut self) {
        if self.now - self.outcomes.last_reported_at < OUTCOME_REPORT_INTERVAL {
            return;
        }
        self.outcomes.last_reported_at = self.now;
        for ((version, class), counts) in std::mem::take(&mut self.outcomes.counts) {
            let report = Event::OutcomesReported(outcome_report(version, class, counts));
            if let Some(proxy_group) = &mut self.proxy_group {
                proxy_group.control_plane.on_outcome_report(report.clone(), self.now);
            }
            for gateway in &mut self.gateways {
                gateway.events.push(report.clone());
            }
        }
    }
}
