//! The state of one endpoint: its entry on the list, and what this gateway has observed.
//!
//! `crate::outlier`, `crate::canary` and the registry update this state; `crate::routing` reads it.

use crate::endpoint::{EndpointEntry, EndpointStatus};
use crate::rollout::Version;
use crate::statistics::{RunningMoments, indicator};
use crate::time::Millis;
use latchhaven_backoff::ExponentialBackoff;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::{Index, IndexMut};

/// The weight of an endpoint whose entry states none.
pub(super) const DEFAULT_WEIGHT: f64 = 1.0;
/// The least concurrency limit: without any attempt, the limit could not grow again.
const MIN_CONCURRENCY_LIMIT: f64 = 1.0;
/// The concurrency limit grows up to this ratio to the number of attempts in flight plus one.
const MAX_CONCURRENCY_HEADROOM: f64 = 2.0;

/// The slot of an endpoint in the [`EndpointTable`](super::EndpointTable). Slots of removed endpoints are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(pub(super) usize);

/// A metric by which versions are compared; recorded at each endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// 1 for an attempt that succeeded within the latency objective, 0 for any other that is evidence on the version.
    Success,
    /// Logarithm of the speed of an attempt (expected work by latency), minus the usual one of its class. Higher is
    /// faster.
    Speed,
    /// 1 for a successful response, 0 for an error or a response that a client reported as wrong.
    Correctness,
}

/// Count, mean and deviations of each [`Metric`], by which the struct is indexed.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricMoments {
    pub(super) success: RunningMoments,
    pub(super) speed: RunningMoments,
    pub(super) correctness: RunningMoments,
}

impl Index<Metric> for MetricMoments {
    type Output = RunningMoments;

    fn index(&self, metric: Metric) -> &RunningMoments {
        match metric {
            Metric::Success => &self.success,
            Metric::Speed => &self.speed,
            Metric::Correctness => &self.correctness,
        }
    }
}

impl IndexMut<Metric> for MetricMoments {
    fn index_mut(&mut self, metric: Metric) -> &mut RunningMoments {
        match metric {
            Metric::Success => &mut self.success,
            Metric::Speed => &mut self.speed,
            Metric::Correctness => &mut self.correctness,
        }
    }
}

/// One endpoint, as one gateway sees it.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Assigned by the discovery service; unique on the list and the same at every gateway.
    pub id: String,
    /// The zone that the endpoint runs in; empty if the list has no zones.
    pub zone: String,
    /// Group of endpoints within the zone that may share a record of idempotency keys.
    pub cell: u32,
    /// The software version that the endpoint runs.
    pub version: Version,
    /// Capacity at full warm-up relative to other endpoints; above 0.
    pub weight: f64,
    /// When the process last started, by the wall clock of the service that lists it; 0 if unknown.
    pub listed_start: Millis,
    /// When the process last started, by this gateway's clock; 0 if unknown, which counts as fully warmed up.
    pub started_at: Millis,
    /// Set while the list shows the endpoint as ready, so that it accepts new requests.
    pub is_ready: bool,
    /// Set when the endpoint is no longer on the list: its slot is reused once no attempt is in flight.
    pub is_removed: bool,
    /// Counts the processes and versions that have occupied the slot: outcomes of an earlier one do not count for
    /// this one.
    pub incarnation: u32,
    /// The number of this gateway's attempts in flight at the endpoint.
    pub in_flight: u32,
    /// Limit of this gateway's attempts in flight, at least 1; a fraction, because it moves in small steps.
    pub concurrency_limit: f64,
    /// When this gateway last received a response, or a report that an attempt of another sender succeeded; 0 if never.
    pub last_response_at: Millis,
    /// Until then, the last successful response is evidence that the endpoint is neither draining nor replaced, even
    /// if the list has expired; `None` without such a response.
    pub readiness_evidence_expires_at: Option<Millis>,
    /// Running mean of the share of responses that are errors, from 0 to 1.
    pub error_rate: f64,
    /// When the last ejection ends; in the past if the endpoint is not ejected.
    pub ejected_until: Millis,
    /// Ejections since the last success, own or reported; each one lasts longer than the one before, up to a maximum.
    pub ejection_count: u32,
    /// Outcomes of this gateway's attempts, as evidence on the endpoint's version.
    pub metrics: MetricMoments,
    /// Attempts in a row that timed out, got no connection or lost it. A rejection neither counts nor resets the count.
    pub consecutive_timeouts: u32,
    /// Running mean of the logarithm of the ratio of latencies to the usual ones; above 0, the endpoint is slow.
    pub latency_bias: f64,
    /// When `latency_bias` was last updated; the bias loses weight from then on.
    pub latency_bias_updated_at: Millis,
    /// Attempts that this gateway may send now while the endpoint warms up; refilled over time.
    pub slow_start_tokens: f64,
    /// Drawn at random from 0 to 1. Endpoints below
    /// [`EndpointRegistry::subset_share`](super::EndpointRegistry::subset_share) are the gateway's subset, which it
    /// tries first.
    pub subset_position: f64,
}

impl Endpoint {
    pub(super) fn apply(&mut self, entry: &EndpointEntry) {
        self.version = entry.version;
        self.weight = if entry.weight > 0.0 { entry.weight } else { DEFAULT_WEIGHT };
        self.zone.clone_from(&entry.zone);
        self.cell = entry.cell;
        self.is_ready = entry.status == EndpointStatus::Ready;
        self.is_removed = entry.status == EndpointStatus::Removed;
    }

    /// Returns `true` if the endpoint is not ejected at `now`.
    #[must_use]
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.ejected_until <= now
    }

    /// Records a response to an attempt; `weight`, from 0 to 1, is that of the new response in the error rate.
    pub fn record_response(&mut self, is_error: bool, weight: f64, now: Millis) {
        self.last_response_at = now;
        self.consecutive_timeouts = 0;
        self.error_rate += weight * (indicator(is_error) - self.error_rate);
    }

    /// Records attempts of other senders, of which the share `error_rate` failed; `weight` is that of each attempt in
    /// the error rate, from 0 to 1.
    pub fn record_reported_outcomes(&mut self, attempts: f64, error_rate: f64, weight: f64, now: Millis) {
        let decay = (1.0 - weight).powf(attempts);
        self.error_rate = decay * self.error_rate + (1.0 - decay) * error_rate;
        let has_success = error_rate < 1.0;
        if has_success {
            self.last_response_at = now;
        }
    }

    /// Records the speed of an attempt as the logarithm of its ratio to the usual speed. `weight`, from 0 to 1, is
    /// that of the new value in the latency bias.
    pub fn record_speed(&mut self, relative_speed: f64, weight: f64, completed_at: Millis) {
        self.metrics[Metric::Speed].add(relative_speed);
        self.latency_bias += weight * (-relative_speed - self.latency_bias);
        self.latency_bias_updated_at = completed_at;
    }

    /// Removes a completed attempt from those in flight. Returns `true` if the attempt was sent to the current
    /// incarnation; only these are counted as in flight.
    pub fn release(&mut self, incarnation: u32) -> bool {
        let is_same = self.incarnation == incarnation;
        self.in_flight = self.in_flight.saturating_sub(u32::from(is_same));
        is_same
    }

    /// Ejects the endpoint and returns the duration, which `backoff` increases with each ejection in a row.
    /// Afterwards the endpoint may have one attempt in flight.
    pub fn eject(&mut self, backoff: &ExponentialBackoff, now: Millis) -> Millis {
        let duration = backoff.upper_bound(self.ejection_count);
        self.ejected_until = now + duration;
        self.ejection_count += 1;
        self.concurrency_limit = MIN_CONCURRENCY_LIMIT;
        duration
    }

    /// Changes the concurrency limit by `step` attempts. The limit never falls below 1 and grows up to twice the number
    /// of attempts in flight plus one; a limit above that does not grow.
    pub fn adjust_concurrency_limit(&mut self, step: f64) {
        let max = MAX_CONCURRENCY_HEADROOM
            * f64::from(self.in_flight + 1).max(self.concurrency_limit / MAX_CONCURRENCY_HEADROOM);
        self.concurrency_limit = (self.concurrency_limit + step).clamp(MIN_CONCURRENCY_LIMIT, max);
    }

    /// Resets what was observed, because the process was restarted or replaced by another version.
    pub(super) fn begin_incarnation(&mut self, concurrency_limit: f64, rng: &mut Pcg64Mcg) {
        self.incarnation += 1;
        self.in_flight = 0;
        self.concurrency_limit = concurrency_limit;
        self.readiness_evidence_expires_at = None;
        self.error_rate = 0.0;
        self.ejected_until = 0.0;
        self.ejection_count = 0;
        self.metrics = MetricMoments::default();
        self.consecutive_timeouts = 0;
        self.latency_bias = 0.0;
        // A random part of one token: of hundreds of gateways only a few may send an attempt immediately.
        self.slow_start_tokens = rng.random();
        self.subset_position = rng.random();
    }
}
