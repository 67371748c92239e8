//! The state of a [`Policy`] and the handlers of its events. The rules that they call are in the rule modules,
//! [`Policy::handle_events`] is in `policy`.

use crate::action::{Action, UnservedReason};
use crate::admission;
use crate::canary;
use crate::config::{CostConfig, Permissions, PolicyConfig};
use crate::discovery_calls;
use crate::endpoint::{EndpointEntry, UpdateFailure, UpdateKind};
use crate::event::{EndpointOutcomes, Event, OutcomeReport};
use crate::list_lease::ListLease;
use crate::log_event::EjectionReason;
use crate::outlier;
use crate::request::{RequestClass, RequestId};
use crate::retry;
use crate::rollout::{RolloutPhase, Version, VoteOutcome};
use crate::routing::{self, AttemptRules, CanaryShareInputs};
use crate::snapshot::PolicySnapshot;
use crate::state::canary::{CanaryAnalysis, decode_wrong_response, encode_wrong_response};
use crate::state::endpoint::{EndpointIndex, Metric};
use crate::state::evidence::OutcomeCounts;
use crate::state::exposure::ExposureLimiter;
use crate::state::registry::{EndpointRegistry, VersionGroups};
use crate::state::requests::{Attempt, RequestTable};
use crate::state::timer::TickTimer;
use crate::statistics::indicator;
use crate::time::Millis;
use crate::verdict;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Decides on the attempts, final statuses and votes of one gateway. An adapter passes events to
/// [`Policy::handle_events`] and performs the actions returned.
pub struct Policy {
    pub(crate) zone: String,
    /// Number of gateways in the fleet, this one included.
    pub(crate) gateways: u32,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) permissions: Permissions,
    pub(crate) costs: CostConfig,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) registry: EndpointRegistry,
    pub(crate) exposure: ExposureLimiter,
    pub(crate) analysis: CanaryAnalysis,
    pub(crate) requests: RequestTable,
    pub(crate) actions: Vec<Action>,
    pub(crate) timer: TickTimer,
    /// When this process last resumed after a stall: latencies of attempts sent earlier are invalid. `None` before any
    /// stall.
    pub(crate) resumed_at: Option<Millis>,
}

impl Policy {
    /// Returns a policy without endpoints: it sends no attempt before the first update of the endpoint list.
    #[must_use]
    pub fn new(config: PolicyConfig) -> Self {
        let PolicyConfig { identity, classes, voting, discovery, .. } = config;
        let rng = Pcg64Mcg::seed_from_u64(config.seed);
        let own_false_rejection_rate = verdict::own_false_rejection_rate(&identity, &voting);
        let vote_probability = verdict::vote_probability(&identity, &voting);
        let typical_latency = classes.iter().map(admission::initial_latency).collect();
        Policy {
            registry: EndpointRegistry {
                next_watch_call_at: discovery.requires_subscription.then_some(0.0),
                discovery,
                slow_start: config.slow_start,
                logs_ejections: outlier::logs_ejections(&identity),
                ..EndpointRegistry::default()
            },
            exposure: ExposureLimiter::new(config.exposure, classes.len()),
            analysis: CanaryAnalysis::new(voting, own_false_rejection_rate, vote_probability, classes.len()),
            requests: RequestTable::new(
                typical_latency,
                retry::MAX_EARLY_RETRY_BUDGET,
                admission::SERVICE_LEVEL_HALF_LIFE,
            ),
            zone: identity.zone,
            gateways: identity.gateway_count,
            classes,
            permissions: config.permissions,
            costs: config.costs,
            rng,
            actions: Vec::new(),
            timer: TickTimer::default(),
            resumed_at: None,
        }
    }

    pub(crate) fn on_event(&mut self, event: Event, now: Millis) {
        match event {
            Event::EndpointUpdate { kind, entries, .. } => self.on_endpoint_update(kind, &entries, now),
            Event::EndpointUpdateFailed(failure) => self.on_update_failed(&failure, now),
            Event::EndpointUpdateFromPreviousAddress { kind, entries } => {
                self.apply_entries(kind, &entries, now);
            }
            Event::DiscoveryMoved => self.registry.lease.on_discovery_moved(&self.registry.discovery, now),
            Event::RequestReceived(request) => self.on_request(request, now),
            Event::ResponseStarted { id, .. } => {
                if let Some(request) = self.requests.requests.get_mut(&id) {
                    request.is_streaming = true;
                }
            }
            Event::AttemptCompleted(attempt) => self.on_attempt_completed(&attempt, now),
            Event::Abandon { id } => self.finish_unserved(id, UnservedReason::Abandoned, now),
            Event::ClientDisconnected { id } => self.close(id, 0.0, now),
            Event::RolloutUpdate(rollout) | Event::VoteCompleted(VoteOutcome::Counted(rollout)) => {
                self.exposure.apply_rollout(rollout);
            }
            Event::VoteCompleted(VoteOutcome::NotCounted) => self.analysis.is_last_vote_counted = false,
            Event::WrongResponseReported { endpoint, .. } => self.on_wrong_response(&endpoint),
            Event::PeerMessage { data, .. } => {
                if let Some(version) = decode_wrong_response(&data) {
                    self.analysis.record_wrong_response(version);
                }
            }
            Event::OutcomesReported(report) => self.on_outcomes_reported(&report),
            Event::EndpointOutcomesReported(outcomes) => self.on_endpoint_outcomes(&outcomes, now),
            Event::VoteCompleted(VoteOutcome::Unknown)
            | Event::RolloutUnavailable
            | Event::TimerFired { .. }
            | Event::HealthCheckCompleted { .. } => {}
        }
    }

    pub(crate) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    fn on_endpoint_update(&mut self, kind: UpdateKind, entries: &[EndpointEntry], now: Millis) {
        let registry = &mut self.registry;
        match kind {
            UpdateKind::CachedSnapshot if registry.discovery.requires_subscription => {
                registry.lease = ListLease::cached(&registry.discovery, now);
                let delay = discovery_calls::first_call_delay(self.gateways, &mut self.rng);
                registry.next_watch_call_at = Some(now + delay);
            }
            UpdateKind::CachedSnapshot => {}
            UpdateKind::Snapshot | UpdateKind::Delta => {
                registry.lease = ListLease::Confirmed;
                registry.failed_calls = 0;
                registry.next_watch_call_at = None;
            }
        }
        self.apply_entries(kind, entries, now);
    }

    fn apply_entries(&mut self, kind: UpdateKind, entries: &[EndpointEntry], now: Millis) {
        let is_snapshot = matches!(kind, UpdateKind::Snapshot | UpdateKind::CachedSnapshot);
        let concurrency_limit = outlier::INITIAL_CONCURRENCY_LIMIT;
        self.registry.apply(entries, is_snapshot, concurrency_limit, &mut self.rng, now);
    }

    /// Shortens the list's lease after a call failed or a watch broke, and schedules the next call. If an update may
    /// have been lost, evidence of readiness expires earlier. The loss of an open watch does not count as a failed
    /// call.
    fn on_update_failed(&mut self, failure: &UpdateFailure, now: Millis) {
        let registry = &mut self.registry;
        if !registry.lease.is_confirmed() {
            registry.failed_calls += 1;
        }
        registry.lease.on_failure(failure, &registry.discovery, now);
        if failure.may_have_lost_update {
            registry.limit_readiness_evidence(ListLease::expiration(now, &registry.discovery));
        }
        let delay = discovery_calls::retry_delay(
            registry.failed_calls,
            self.gateways,
            &registry.discovery,
            &mut self.rng,
        );
        registry.next_watch_call_at = Some(now + delay);
    }

    fn on_wrong_response(&mut self, endpoint: &str) {
        let Some(index) = self.registry.index_of(endpoint) else { return };
        let endpoint = &mut self.registry.endpoints[index];
        endpoint.metrics[Metric::Success].replace_one_by_zero();
        endpoint.metrics[Metric::Correctness].replace_one_by_zero();
        self.analysis.record_wrong_response(endpoint.version);
        // One gateway receives too few reports for a verdict on a version: gateways share theirs.
        if self.permissions.peer_messages {
            let data = encode_wrong_response(endpoint.version);
            self.actions.push(Action::SendPeerMessage { to: None, data });
        }
    }

    fn on_outcomes_reported(&mut self, report: &OutcomeReport) {
        let Some(class) = self.class_index(&report.class) else { return };
        if report.failures > report.attempts {
            return;
        }
        let counts = OutcomeCounts {
            attempts: report.attempts as f64,
            failures: report.failures as f64,
            mean_latency: report.mean_latency.unwrap_or(canary::DEFAULT_LATENCY),
        };
        self.analysis.record_outcome_report(report.version, class, counts);
    }

    fn on_endpoint_outcomes(&mut self, outcomes: &EndpointOutcomes, now: Millis) {
        let index = self.registry.index_of(&outcomes.endpoint);
        let (Some(index), Some(class)) = (index, self.class_index(&outcomes.class)) else { return };
        if outcomes.attempts == 0 || outcomes.failures > outcomes.attempts {
            return;
        }
        let attempts = outcomes.attempts as f64;
        let error_rate = outcomes.failures as f64 / attempts;
        let endpoint = &mut self.registry.endpoints[index];
        if let Some(reason) = outlier::record_reported_errors(endpoint, attempts, error_rate, now) {
            self.eject(index, reason, now);
        }
        let objective = self.classes[class].latency_objective;
        let time_left = outcomes.mean_latency.map_or(0.0, |latency| 1.0 - latency / objective);
        let quality = admission::reported_quality(error_rate, time_left);
        self.requests.overall_service.record(now, attempts, quality);
    }

    /// Returns the policy's view at `now` in milliseconds, for adapters that publish decisions instead of routing each
    /// request.
    pub fn snapshot(&mut self, now: Millis) -> PolicySnapshot {
        let groups = self.partition(false);
        let newest = self.exposure.rollout.map(|rollout| rollout.version);
        let rejected = self.analysis.rejected_version;
        let is_canary_rejected = rejected.is_some() && rejected == newest;
        let endpoints = &self.registry.endpoints;
        let versions: BTreeSet<_> = groups.canary.iter().map(|index| endpoints[*index].version).collect();
        let lowest_version = self.registry.lowest_version;
        let canaries =
            versions.into_iter().filter_map(|version| self.exposure.canary(version, lowest_version));
        let share_inputs = CanaryShareInputs {
            has_canary: !groups.canary.is_empty(),
            has_baseline: !groups.baseline.is_empty(),
            canary_capacity: self.registry.healthy_capacity(&groups.canary, now),
            baseline_capacity: self.registry.healthy_capacity(&groups.baseline, now),
            phase: self.exposure.rollout.map_or(RolloutPhase::Canary, |rollout| rollout.phase),
            is_canary_rejected,
            has_full_traffic: self.analysis.full_traffic_since.is_some(),
        };
        PolicySnapshot {
            canaries: canaries.collect(),
            canary_share: routing::canary_share(&share_inputs),
            is_canary_rejected,
            endpoints: self.registry.snapshot(now),
            shed_probability: self.shed_probability(None, now).clamp(0.0, 1.0),
        }
    }

    /// Ready endpoints by version group; `only_subset`: only those of this gateway's subset.
    pub(crate) fn partition(&self, only_subset: bool) -> VersionGroups {
        let lowest_version = self.registry.lowest_version;
        self.registry
            .partition(only_subset, |version| self.exposure.canary(version, lowest_version).is_some())
    }

    /// Returns `true` if this process has resumed from a stall after `start`.
    pub(crate) fn has_stalled_since(&self, start: Millis) -> bool {
        self.resumed_at.is_some_and(|resumed_at| start < resumed_at)
    }

    /// Updates the typical latency of the class of a successful request, and the version of its sticky key; `elapsed`:
    /// the latency, `weight`: its weight in the running mean. Attempts with that key at earlier versions must not be
    /// written any more.
    pub(crate) fn record_success(&mut self, id: RequestId, version: Version, elapsed: Millis, weight: f64) {
        let request = &self.requests.requests[&id];
        let typical = &mut self.requests.typical_latency[request.class];
        *typical += weight * (elapsed - *typical);
        let Some(key) = &request.sticky_key else { return };
        if self.exposure.record_sticky_key(key, version, self.registry.lowest_version) {
            let outdated = self.requests.in_flight_below(key, version).into_iter();
            self.actions.extend(
                outdated.map(|(id, number)| Action::CancelUnwrittenAttempt { id, attempt: number as u32 }),
            );
        }
    }

    /// Ejects an endpoint unless it is already ejected.
    pub(crate) fn eject(&mut self, index: EndpointIndex, reason: EjectionReason, now: Millis) {
        let event = self.registry.eject(index, reason, &outlier::EJECTION_DURATION, now);
        self.actions.extend(event.map(Action::Log));
    }

    /// Sends an attempt if the rules allow it. Returns `true` if it was sent.
    pub(crate) fn send_attempt(&mut self, id: RequestId, index: EndpointIndex, now: Millis) -> bool {
        let request = &self.requests.requests[&id];
        let class = &self.classes[request.class];
        let (registry, exposure, permissions) = (&self.registry, &self.exposure, &self.permissions);
        let rules = AttemptRules { registry, exposure, permissions, now };
        if !rules.allows(request, class, index) {
            return false;
        }
        let write_timeout = rules.write_timeout(request, class, index);
        let timeout = Some(retry::attempt_timeout(request, now));
        let warmup_factor = registry.warmup_factor(index, now);
        let endpoint = &mut self.registry.endpoints[index];
        endpoint.in_flight += 1;
        endpoint.slow_start_tokens -= indicator(warmup_factor < 1.0);
        let attempt = Attempt::new(index, endpoint, warmup_factor, now);
        self.exposure.record_attempt(attempt.version, request.class, now);
        let endpoint = endpoint.id.clone();
        self.actions.push(Action::SendAttempt { id, endpoint, timeout, write_timeout });
        self.requests.requests.entry(id).and_modify(|request| request.attempts.push(attempt));
        true
    }

    /// Whether an attempt that has waited, for example for a connection, may be written now. If not, the adapter ends it
    /// with [`AttemptOutcome::NotSent`](crate::AttemptOutcome::NotSent).
    ///
    /// The rule on exposure counts attempts when endpoints receive them, so it is checked again: in the meantime the
    /// requests that allowed the attempt may have left the window, or the canary may have served its sticky key.
    #[must_use]
    pub fn confirm_attempt(&mut self, id: RequestId, number: u32, now: Millis) -> bool {
        let Some(request) = self.requests.requests.get(&id) else { return false };
        let Some(attempt) = request.attempts.get(number as usize) else { return false };
        let (version, recorded_at) = (attempt.version, attempt.sent_at);
        let lowest_version = self.registry.lowest_version;
        let class = request.class;
        self.exposure.remove_attempt(version, class, recorded_at);
        let idempotency = self.classes[class].idempotency;
        let is_allowed = self.exposure.allows(request, idempotency, version, lowest_version, now);
        if is_allowed {
            self.exposure.record_attempt(version, class, now);
        }
        is_allowed
    }

    /// Cancels an attempt that is in flight. Returns `false` if that is not permitted or the attempt was cancelled
    /// before.
    pub(crate) fn cancel(&mut self, id: RequestId, number: usize) -> bool {
        let Some(attempt) = self.requests.attempt_mut(id, number) else { return false };
        if !self.permissions.cancel || attempt.outcome.is_some() || attempt.is_cancelled {
            return false;
        }
        attempt.is_cancelled = true;
        self.actions.push(Action::CancelAttempt { id, attempt: number as u32 });
        true
    }

    /// Closes a request and cancels its attempts in flight; `quality`: its service quality, from 0 to 1.
    pub(crate) fn close(&mut self, id: RequestId, quality: f64, now: Millis) {
        let Some(request) = self.requests.requests.get_mut(&id) else { return };
        let was_closed = std::mem::replace(&mut request.is_closed, true);
        let (tenant, attempts) = (request.tenant.clone(), request.attempts.len());
        let arrived_at = request.arrived_at;
        if !was_closed && !self.has_stalled_since(arrived_at) && attempts > 0 {
            for service in self.requests.service_levels(tenant.as_deref()) {
                service.record(now, 1.0, quality);
            }
        }
        for attempt in 0..attempts {
            self.cancel(id, attempt);
        }
        self.requests.remove_if_finished(id);
    }
}
