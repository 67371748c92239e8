//! The endpoint registry: the endpoints of the list by slot, the list's lease, and the gateway's arrival rate.
//!
//! [`Policy`](crate::Policy) applies updates of the list to the registry; the rule modules read it.

use crate::config::{DiscoveryConfig, SlowStartConfig};
use crate::endpoint::EndpointEntry;
use crate::list_lease::ListLease;
use crate::log_event::{EjectionReason, LogEvent};
use crate::rollout::Version;
use crate::slow_start::{self, ARRIVAL_RATE_WINDOW, RefillInputs, start_by_own_clock};
use crate::snapshot::EndpointSnapshot;
use crate::state::endpoint::{DEFAULT_WEIGHT, Endpoint, EndpointIndex, Metric, MetricMoments};
use crate::state::window::SlidingWindow;
use crate::statistics::RunningMoments;
use crate::time::Millis;
use latchhaven_backoff::ExponentialBackoff;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// Difference up to which two listed start times denote the same start: updates may round the time differently.
const START_TIME_TOLERANCE: Millis = 1.0;

/// All endpoints by slot, including removed ones whose slots are not reused yet.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable(Vec<Endpoint>);

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.0[index.0]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.0[index.0]
    }
}

impl EndpointTable {
    /// All slots, lowest first.
    pub fn indices(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        (0..self.0.len()).map(EndpointIndex)
    }

    /// All endpoints, by slot.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.0.iter()
    }

    /// All endpoints to be changed, by slot.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.0.iter_mut()
    }

    /// The slots of endpoints that the list shows as ready, including ejected ones.
    pub fn ready(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.indices().filter(|index| self[*index].is_ready)
    }

    /// One metric of each endpoint in `members`, in their order.
    #[must_use]
    pub fn metric_of(&self, metric: Metric, members: &[EndpointIndex]) -> Vec<&RunningMoments> {
        members.iter().map(|index| &self[*index].metrics[metric]).collect()
    }

    /// One metric pooled over the endpoints in `members`.
    #[must_use]
    pub fn pooled_metric(&self, metric: Metric, members: &[EndpointIndex]) -> RunningMoments {
        RunningMoments::pooled(self.metric_of(metric, members))
    }

    /// Each metric pooled over all endpoints.
    #[must_use]
    pub fn pooled_metrics(&self) -> MetricMoments {
        let pooled = |metric| RunningMoments::pooled(self.iter().map(|endpoint| &endpoint.metrics[metric]));
        MetricMoments {
            success: pooled(Metric::Success),
            speed: pooled(Metric::Speed),
            correctness: pooled(Metric::Correctness),
        }
    }

    /// Multiplies the weight of one metric's samples by `factor` at endpoints with more than `min_samples` samples.
    pub fn scale_metric(&mut self, metric: Metric, min_samples: f64, factor: f64) {
        let moments = self.0.iter_mut().map(|endpoint| &mut endpoint.metrics[metric]);
        moments.filter(|moments| moments.count > min_samples).for_each(|moments| moments.scale(factor));
    }

    /// The mean of this gateway's attempts in flight per endpoint of `members`; 0 if there is none.
    #[must_use]
    pub fn mean_in_flight(&self, members: &[EndpointIndex]) -> f64 {
        let in_flight = members.iter().map(|index| f64::from(self[*index].in_flight));
        in_flight.sum::<f64>() / members.len().max(1) as f64
    }

    /// Returns the slot for a new entry: one of a removed endpoint without attempts in flight, or else a new one.
    fn allocate(&mut self, entry: &EndpointEntry) -> EndpointIndex {
        let is_free = |endpoint: &Endpoint| endpoint.is_removed && endpoint.in_flight == 0;
        if let Some(free) = self.0.iter().position(is_free) {
            let endpoint = &mut self.0[free];
            endpoint.id.clone_from(&entry.endpoint);
            endpoint.listed_start = 0.0;
            endpoint.started_at = 0.0;
            // Differs from every listed version, so that the entry begins a new incarnation.
            endpoint.version = Version::INVALID;
            return EndpointIndex(free);
        }
        self.0.push(Endpoint {
            id: entry.endpoint.clone(),
            zone: entry.zone.clone(),
            cell: entry.cell,
            version: entry.version,
            weight: DEFAULT_WEIGHT,
            ..Endpoint::default()
        });
        EndpointIndex(self.0.len() - 1)
    }
}

/// Ready endpoints by version group.
pub struct VersionGroups {
    /// Endpoints whose version is a canary.
    pub canary: Vec<EndpointIndex>,
    /// Endpoints of all other versions.
    pub baseline: Vec<EndpointIndex>,
}

impl VersionGroups {
    /// Share of the endpoints that belong to canaries, from 0 to 1; 0 without endpoints.
    #[must_use]
    pub fn canary_endpoint_share(&self) -> f64 {
        self.canary.len() as f64 / (self.canary.len() + self.baseline.len()).max(1) as f64
    }
}

/// The endpoints of the list, the lease of the list, and the arrival rate from which the slow-start budget follows.
#[derive(Default)]
pub struct EndpointRegistry {
    /// How the list arrives, and the delays from which its lease follows.
    pub discovery: DiscoveryConfig,
    /// How the capacity of a started endpoint grows.
    pub slow_start: SlowStartConfig,
    /// Endpoints of the list, and removed ones with attempts in flight.
    pub endpoints: EndpointTable,
    /// The slot of each endpoint by id; a removed endpoint has one until it is reused.
    pub index_by_id: BTreeMap<String, EndpointIndex>,
    /// Decides until when attempts may be sent to every ready endpoint.
    pub(crate) lease: ListLease,
    /// When the next call for a watch of the list is due; `None` while a watch is open or if the list is pushed.
    pub next_watch_call_at: Option<Millis>,
    /// Calls for the list that have failed in a row; determines the backoff of the next call.
    pub failed_calls: u32,
    /// The lowest version among the ready endpoints, which is the baseline until a rollout is reported.
    pub lowest_version: Version,
    /// Times at which requests arrived; retries by clients are not counted.
    pub arrivals: SlidingWindow,
    /// Running mean of arrivals per millisecond and fully warmed-up endpoint.
    pub mean_arrival_rate: f64,
    /// Share of the ready endpoints that this gateway tries first; above 1 if its traffic suffices for all of them.
    pub subset_share: f64,
    /// When slow-start tokens were last added to all endpoints.
    pub tokens_refilled_at: Millis,
    /// Set when this gateway logs its ejections: a few gateways suffice for the operators.
    pub logs_ejections: bool,
}

impl EndpointRegistry {
    /// The slot of an endpoint, or `None` if the list has not contained it.
    #[must_use]
    pub fn index_of(&self, id: &str) -> Option<EndpointIndex> {
        self.index_by_id.get(id).copied()
    }

    /// Until when attempts may be sent to a ready endpoint: until the list's lease expires, or the endpoint's own
    /// evidence of readiness if that is later.
    pub(crate) fn lease_expires_at(&self, index: EndpointIndex) -> Millis {
        let list_expires_at = self.lease.expires_at();
        let evidence_expires_at = self.endpoints[index].readiness_evidence_expires_at;
        evidence_expires_at.map_or(list_expires_at, |expires_at| list_expires_at.max(expires_at))
    }

    /// Records that an attempt sent at `sent_at` succeeded, on a connection established at `connected_at`, as
    /// evidence that its endpoint was ready.
    pub(crate) fn record_readiness_evidence(
        &mut self, index: EndpointIndex, connected_at: Option<Millis>, sent_at: Millis,
    ) {
        let Some(expires_at) = self.lease.evidence_expires_at(connected_at, sent_at, &self.discovery) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        let previous = endpoint.readiness_evidence_expires_at;
        endpoint.readiness_evidence_expires_at =
            Some(previous.map_or(expires_at, |previous| previous.max(expires_at)));
    }

    /// Limits earlier evidence of readiness to `limit`, because an update may have been lost.
    pub(crate) fn limit_readiness_evidence(&mut self, limit: Millis) {
        for endpoint in self.endpoints.iter_mut() {
            endpoint.readiness_evidence_expires_at =
                endpoint.readiness_evidence_expires_at.map(|expires_at| expires_at.min(limit));
        }
    }

    /// Returns `true` if the list shows ready endpoints, but attempts may no longer be sent to any of them.
    pub(crate) fn is_list_expired(&self, now: Millis) -> bool {
        let mut ready = self.endpoints.ready().peekable();
        ready.peek().is_some() && ready.all(|index| self.lease_expires_at(index) <= now)
    }

    /// Ejects an endpoint, unless it is ejected already. Returns the event for the log at the first ejection in a
    /// row, if this gateway logs ejections.
    pub fn eject(
        &mut self, index: EndpointIndex, reason: EjectionReason, backoff: &ExponentialBackoff, now: Millis,
    ) -> Option<LogEvent> {
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_healthy(now) {
            return None;
        }
        let ejected_for = endpoint.eject(backoff, now);
        let is_first_in_a_row = endpoint.ejection_count == 1;
        let is_logged = is_first_in_a_row && self.logs_ejections;
        is_logged.then(|| LogEvent::EndpointEjected {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            reason,
            ejected_for,
            error_rate: endpoint.error_rate,
            consecutive_timeouts: endpoint.consecutive_timeouts,
        })
    }

    /// Adds slow-start tokens to all endpoints, by the arrivals and the time since the last refill.
    pub(crate) fn refill_slow_start_tokens(&mut self, now: Millis) {
        let elapsed = now - std::mem::replace(&mut self.tokens_refilled_at, now);
        let inputs = RefillInputs {
            elapsed,
            arrivals: self.arrivals.count_since(now - ARRIVAL_RATE_WINDOW),
            ready_endpoints: self.endpoints.ready().count(),
            total_warmup_factor: self.endpoints.ready().map(|index| self.warmup_factor(index, now)).sum(),
            mean_arrival_rate: self.mean_arrival_rate,
        };
        let refill = slow_start::refill(&inputs, &self.slow_start);
        self.mean_arrival_rate = refill.mean_arrival_rate;
        self.subset_share = refill.subset_share;
        for index in self.endpoints.indices() {
            let warmup_factor = self.warmup_factor(index, now);
            let tokens = &mut self.endpoints[index].slow_start_tokens;
            *tokens = refill.refilled(*tokens, warmup_factor, &self.slow_start);
        }
    }

    /// The least share of its full capacity that an endpoint has reached, from `initial_capacity` to 1.
    #[must_use]
    pub fn warmup_factor(&self, index: EndpointIndex, now: Millis) -> f64 {
        let started_at = self.endpoints[index].started_at;
        let progress = if started_at <= 0.0 {
            1.0
        } else {
            ((now - started_at) / self.slow_start.duration).clamp(0.0, 1.0)
        };
        self.slow_start.initial_capacity + (1.0 - self.slow_start.initial_capacity) * progress
    }

    /// The present capacity of an endpoint relative to others: its weight times its warm-up factor.
    #[must_use]
    pub fn capacity(&self, index: EndpointIndex, now: Millis) -> f64 {
        self.endpoints[index].weight * self.warmup_factor(index, now)
    }

    /// The sum of the present capacity of the endpoints in `members` that are not ejected.
    #[must_use]
    pub fn healthy_capacity(&self, members: &[EndpointIndex], now: Millis) -> f64 {
        let healthy = members.iter().filter(|index| self.endpoints[**index].is_healthy(now));
        healthy.map(|index| self.capacity(*index, now)).sum()
    }

    /// Ready endpoints by version group. With `only_subset`, only endpoints of this gateway's subset are included.
    pub fn partition(&self, only_subset: bool, is_canary: impl Fn(Version) -> bool) -> VersionGroups {
        let is_included = |index: &EndpointIndex| {
            !only_subset || self.endpoints[*index].subset_position < self.subset_share
        };
        let ready = self.endpoints.ready().filter(is_included);
        let (canary, baseline) = ready.partition(|index| is_canary(self.endpoints[*index].version));
        VersionGroups { canary, baseline }
    }

    /// The state of all endpoints on the list, for adapters that publish decisions.
    #[must_use]
    pub fn snapshot(&self, now: Millis) -> Vec<EndpointSnapshot> {
        let listed = self.endpoints.indices().filter(|index| !self.endpoints[*index].is_removed);
        let snapshots = listed.map(|index| {
            let endpoint = &self.endpoints[index];
            EndpointSnapshot {
                endpoint: endpoint.id.clone(),
                version: endpoint.version,
                zone: endpoint.zone.clone(),
                is_ready: endpoint.is_ready,
                is_ejected: !endpoint.is_healthy(now),
                capacity: self.capacity(index, now),
                is_warming_up: self.warmup_factor(index, now) < 1.0,
            }
        });
        snapshots.collect()
    }

    /// Applies entries of the list; a snapshot also removes endpoints that it does not contain. A new incarnation
    /// starts with `concurrency_limit`.
    pub fn apply(
        &mut self, entries: &[EndpointEntry], is_snapshot: bool, concurrency_limit: f64, rng: &mut Pcg64Mcg,
        now: Millis,
    ) {
        if is_snapshot {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.is_ready = false);
        }
        for entry in entries {
            let index = self.index_for(entry);
            let endpoint = &mut self.endpoints[index];
            // After a restart or a change of version the observed state is invalid. Any other start time is a
            // restart, even an earlier one: the clock that lists starts may have been set back.
            let is_restarted = entry.started_at > 0.0
                && (entry.started_at - endpoint.listed_start).abs() > START_TIME_TOLERANCE;
            if endpoint.incarnation == 0 || endpoint.version != entry.version || is_restarted {
                endpoint.begin_incarnation(concurrency_limit, rng);
            }
            if is_restarted {
                endpoint.listed_start = entry.started_at;
                endpoint.started_at = start_by_own_clock(entry.started_at, is_snapshot, now);
            }
            endpoint.apply(entry);
        }
        if is_snapshot {
            self.remove_unlisted(entries);
        }
        let versions = self.endpoints.ready().map(|index| self.endpoints[index].version);
        self.lowest_version = versions.min().unwrap_or_default();
    }

    fn index_for(&mut self, entry: &EndpointEntry) -> EndpointIndex {
        if let Some(index) = self.index_of(&entry.endpoint) {
            return index;
        }
        let index = self.endpoints.allocate(entry);
        self.index_by_id.retain(|_, taken| *taken != index);
        self.index_by_id.insert(entry.endpoint.clone(), index);
        index
    }

    fn remove_unlisted(&mut self, entries: &[EndpointEntry]) {
        let listed: BTreeSet<&str> = entries.iter().map(|entry| entry.endpoint.as_str()).collect();
        for (id, index) in &self.index_by_id {
            if !listed.contains(id.as_str()) {
                self.endpoints[*index].is_removed = true;
            }
        }
    }

    /// Arrivals after `since`, per ready endpoint that has sent a response after `since`.
    #[must_use]
    pub fn arrivals_per_responding_endpoint(&self, since: Millis) -> f64 {
        let has_responded = |index: &EndpointIndex| self.endpoints[*index].last_response_at > since;
        let responding = self.endpoints.ready().filter(has_responded).count();
        self.arrivals.count_since(since) as f64 / responding.max(1) as f64
    }
}
