//! The endpoint registry: the endpoints of the list by place, the list's lease, and the gateway's arrival rate.
//!
//! [`Policy`](crate::Policy) applies updates of the list; the rule modules read it.

use crate::config::{DiscoveryConfig, SlowStartConfig};
use crate::endpoint::EndpointEntry;
use crate::list_lease::ListLease;
use crate::log_event::{EjectionReason, LogEvent};
use crate::rollout::Version;
use crate::slow_start::{self, ARRIVAL_RATE_WINDOW, RefillInputs, start_by_own_clock};
use crate::snapshot::EndpointSnapshot;
use crate::state::endpoint::{Endpoint, EndpointIndex, Metric, MetricMoments};
use crate::state::window::SlidingWindow;
use crate::statistics::RunningMoments;
use crate::time::Millis;
use latchhaven_backoff::ExponentialBackoff;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// ms by which the listed clock time of one start may vary between updates.
const START_ROUNDING: Millis = 1.0;

/// All endpoints, by their place.
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
    /// All places, lowest first.
    pub fn indices(&self) -> impl Iterator<Item = EndpointIndex> + use<> {
        (0..self.0.len()).map(EndpointIndex)
    }

    /// All endpoints, by their place.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.0.iter()
    }

    /// All endpoints, by their place.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.0.iter_mut()
    }

    /// The places of endpoints that accept new requests.
    pub fn ready(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.indices().filter(|index| self[*index].is_ready)
    }

    /// One metric of each of some endpoints.
    #[must_use]
    pub fn metric_of(&self, metric: Metric, members: &[EndpointIndex]) -> Vec<&RunningMoments> {
        members.iter().map(|index| &self[*index].metrics[metric]).collect()
    }

    /// One metric pooled over some endpoints.
    #[must_use]
    pub fn pooled_metric(&self, metric: Metric, members: &[EndpointIndex]) -> RunningMoments {
        RunningMoments::pooled(self.metric_of(metric, members))
    }

    /// All metrics pooled over all endpoints.
    #[must_use]
    pub fn pooled_metrics(&self) -> MetricMoments {
        let pooled = |metric| RunningMoments::pooled(self.iter().map(|endpoint| &endpoint.metrics[metric]));
        MetricMoments {
            success: pooled(Metric::Success),
            speed: pooled(Metric::Speed),
            correctness: pooled(Metric::Correctness),
        }
    }

    /// Scales the weight of one metric at endpoints with more than `min_samples` samples.
    pub fn scale_metric(&mut self, metric: Metric, min_samples: f64, factor: f64) {
        let moments = self.0.iter_mut().map(|endpoint| &mut endpoint.metrics[metric]);
        moments.filter(|moments| moments.count > min_samples).for_each(|moments| moments.scale(factor));
    }

    /// The mean of this gateway's attempts in flight at each of some endpoints.
    #[must_use]
    pub fn mean_in_flight(&self, members: &[EndpointIndex]) -> f64 {
        let in_flight = members.iter().map(|index| f64::from(self[*index].in_flight));
        in_flight.sum::<f64>() / members.len().max(1) as f64
    }

    /// A place for a new entry: one of a removed endpoint without attempts in flight, else a new one.
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
            weight: 1.0,
            ..Endpoint::default()
        });
        EndpointIndex(self.0.len() - 1)
    }
}

/// Ready endpoints, by whether their version is a canary.
pub struct Sides {
    /// Those of canaries.
    pub canary: Vec<EndpointIndex>,
    /// All others.
    pub baseline: Vec<EndpointIndex>,
}

impl Sides {
    /// The share of the endpoints that are canaries'.
    #[must_use]
    pub fn canary_endpoint_share(&self) -> f64 {
        self.canary.len() as f64 / (self.canary.len() + self.baseline.len()).max(1) as f64
    }
}

/// The endpoint list, its lease, and the arrival rate.
#[derive(Default)]
pub struct EndpointRegistry {
    /// How the list is obtained, and the delays of its lease.
    pub discovery: DiscoveryConfig,
    /// How endpoints warm up.
    pub slow_start: SlowStartConfig,
    /// All endpoints.
    pub endpoints: EndpointTable,
    /// The place of each endpoint that has one, including removed ones until it is reused.
    pub index_by_id: BTreeMap<String, EndpointIndex>,
    /// Until when the list may be used.
    pub(crate) lease: ListLease,
    /// When the next call for a watch of the list is due, in ms; none while a watch is open.
    pub next_watch_call_at: Option<Millis>,
    /// Calls for the list that have failed in a row.
    pub failed_calls: u32,
    /// The lowest version among the ready endpoints.
    pub lowest_version: Version,
    /// Times of arrivals, without retries.
    pub arrivals: SlidingWindow,
    /// Running mean of arrivals per ms and unit of capacity.
    pub usual_rate: f64,
    /// The share of the endpoints that is this gateway's subset.
    pub subset_share: f64,
    /// When slow start tokens were last added, in ms.
    pub tokens_refilled_at: Millis,
    /// This gateway logs its ejections.
    pub logs_ejections: bool,
}

impl EndpointRegistry {
    /// The place of a listed endpoint.
    #[must_use]
    pub fn index_of(&self, id: &str) -> Option<EndpointIndex> {
        self.index_by_id.get(id).copied()
    }

    /// Until when attempts may be sent to a ready endpoint, in ms: by the list's lease or by its own proof.
    pub(crate) fn lease_expires_at(&self, index: EndpointIndex) -> Millis {
        self.lease.expires_at().max(self.endpoints[index].proof_expires_at)
    }

    /// Records that an endpoint has answered an attempt; `connected_at`: when its connection was established, in ms.
    pub(crate) fn record_proof(
        &mut self, index: EndpointIndex, connected_at: Option<Millis>, sent_at: Millis,
    ) {
        let Some(expires_at) = self.lease.evidence_expires_at(connected_at, sent_at, &self.discovery) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.proof_expires_at = endpoint.proof_expires_at.max(expires_at);
    }

    /// An update may have been lost: earlier proofs expire at `limit` at the latest, in ms.
    pub(crate) fn limit_proofs(&mut self, limit: Millis) {
        for endpoint in self.endpoints.iter_mut() {
            endpoint.proof_expires_at = endpoint.proof_expires_at.min(limit);
        }
    }

    /// The list shows ready endpoints, but the leases of all have expired.
    pub(crate) fn is_list_expired(&self, now: Millis) -> bool {
        let mut ready = self.endpoints.ready().peekable();
        ready.peek().is_some() && ready.all(|index| self.lease_expires_at(index) <= now)
    }

    /// Ejects an endpoint that is not ejected already; the first ejection in a row may be logged.
    pub fn eject(
        &mut self, index: EndpointIndex, reason: EjectionReason, backoff: &ExponentialBackoff, now: Millis,
    ) -> Option<LogEvent> {
        let endpoint = &mut self.endpoints[index];
        if !endpoint.is_healthy(now) {
            return None;
        }
        let ejected_for = endpoint.eject(backoff, now);
        let is_logged = endpoint.ejection_count == 1 && self.logs_ejections;
        is_logged.then(|| LogEvent::EndpointEjected {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            reason,
            ejected_for,
            error_rate: endpoint.error_rate,
            consecutive_timeouts: endpoint.consecutive_timeouts,
        })
    }

    /// Adds slow start tokens to all endpoints.
    pub(crate) fn refill_slow_start_tokens(&mut self, now: Millis) {
        let elapsed = now - std::mem::replace(&mut self.tokens_refilled_at, now);
        let inputs = RefillInputs {
            elapsed,
            arrivals: self.arrivals.count_since(now - ARRIVAL_RATE_WINDOW),
            ready_endpoints: self.endpoints.ready().count(),
            total_warmup_factor: self.endpoints.ready().map(|index| self.warmup_factor(index, now)).sum(),
            usual_rate: self.usual_rate,
        };
        let refill = slow_start::refill(&inputs, &self.slow_start);
        self.usual_rate = refill.usual_rate;
        self.subset_share = refill.subset_share;
        for index in self.endpoints.indices() {
            let warmup_factor = self.warmup_factor(index, now);
            let tokens = &mut self.endpoints[index].slow_start_tokens;
            *tokens = refill.refilled(*tokens, warmup_factor, &self.slow_start);
        }
    }

    /// The share of its capacity, from 0 to 1, that an endpoint has reached at least.
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

    /// An endpoint's weight times its warm-up factor.
    #[must_use]
    pub fn capacity(&self, index: EndpointIndex, now: Millis) -> f64 {
        self.endpoints[index].weight * self.warmup_factor(index, now)
    }

    /// The capacity of those of some endpoints that are not ejected.
    #[must_use]
    pub fn healthy_capacity(&self, members: &[EndpointIndex], now: Millis) -> f64 {
        let healthy = members.iter().filter(|index| self.endpoints[**index].is_healthy(now));
        healthy.map(|index| self.capacity(*index, now)).sum()
    }

    /// Ready endpoints by side; `only_subset`: only those of this gateway's subset.
    pub fn partition(&self, only_subset: bool, is_canary: impl Fn(Version) -> bool) -> Sides {
        let is_mine = |index: &EndpointIndex| {
            !only_subset || self.endpoints[*index].subset_position < self.subset_share
        };
        let ready = self.endpoints.ready().filter(is_mine);
        let (canary, baseline) = ready.partition(|index| is_canary(self.endpoints[*index].version));
        Sides { canary, baseline }
    }

    /// All listed endpoints at `now` in ms.
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

    /// Applies entries of the list; `concurrency_limit`: that of a new incarnation.
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
            // After a restart or a change of version the earlier state is invalid. Starts are compared for difference
            // only: the clock that lists them may have been set back.
            let is_restarted =
                entry.started_at > 0.0 && (entry.started_at - endpoint.listed_start).abs() > START_ROUNDING;
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

    /// Arrivals since a time in ms per ready endpoint that has answered since.
    #[must_use]
    pub fn arrivals_per_answering_endpoint(&self, since: Millis) -> f64 {
        let answers = |index: &EndpointIndex| self.endpoints[*index].last_answer_at > since;
        let answering = self.endpoints.ready().filter(answers).count();
        self.arrivals.count_since(since) as f64 / answering.max(1) as f64
    }
}
