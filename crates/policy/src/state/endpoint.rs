//! One endpoint: what the list says of it, and what this gateway's attempts show.
//!
//! `crate::outlier`, `crate::canary` and the registry update it; `crate::routing` reads it.

use crate::endpoint::{EndpointEntry, EndpointStatus};
use crate::rollout::Version;
use crate::statistics::{RunningMoments, indicator};
use crate::time::Millis;
use latchhaven_backoff::ExponentialBackoff;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::{Index, IndexMut};

/// An endpoint's place in the table. Places of removed endpoints are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(pub(super) usize);

/// The metrics by which versions are compared, recorded at each endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// 1 for an answer within the latency objective, else 0.
    Success,
    /// Log of the speed of an answer (expected work by latency), relative to what is usual for its class: higher is faster.
    Speed,
    /// 1 for an answer that is neither an error nor reported wrong, else 0.
    Correctness,
}

/// The moments of each metric.
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

/// One endpoint.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Its id, the same at every gateway.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// The version that it runs.
    pub version: Version,
    /// Its capacity relative to other endpoints.
    pub weight: f64,
    /// Clock time of its last start as listed, in ms; 0 where unknown.
    pub listed_start: Millis,
    /// Its last start by this gateway's clock, in ms; 0 where unknown.
    pub started_at: Millis,
    /// It accepts new requests.
    pub is_ready: bool,
    /// It left the list: its place is reused once no attempt is in flight.
    pub is_removed: bool,
    /// Counts the endpoints and restarts that had this place in the table.
    pub incarnation: u32,
    /// This gateway's attempts in flight there.
    pub in_flight: u32,
    /// Attempts that may be in flight there.
    pub concurrency_limit: f64,
    /// When it last answered this gateway, or another sender by its report, in ms.
    pub last_response_at: Millis,
    /// Until when, in ms, its answers prove that it is neither draining nor replaced.
    pub readiness_evidence_expires_at: Millis,
    /// Running mean of the share of its answers that are errors.
    pub error_rate: f64,
    /// Until when it is ejected, in ms.
    pub ejected_until: Millis,
    /// Ejections in a row.
    pub ejection_count: u32,
    /// Its outcomes, as evidence on its version.
    pub metrics: MetricMoments,
    /// Attempts in a row that timed out, got no connection or lost it; a rejection neither counts nor resets.
    pub consecutive_timeouts: u32,
    /// Running mean of the log of the ratio of its latencies to the usual ones: the negative of its speed.
    pub latency_bias: f64,
    /// When that was updated, in ms.
    pub latency_bias_updated_at: Millis,
    /// Attempts that this gateway may still send while it warms up.
    pub slow_start_tokens: f64,
    /// A random position from 0 to 1; the gateway's subset consists of those below the subset's share.
    pub subset_position: f64,
}

impl Endpoint {
    /// Applies its entry of the list.
    pub(super) fn apply(&mut self, entry: &EndpointEntry) {
        self.version = entry.version;
        self.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        self.zone.clone_from(&entry.zone);
        self.cell = entry.cell;
        self.is_ready = entry.status == EndpointStatus::Ready;
        self.is_removed = entry.status == EndpointStatus::Removed;
    }

    /// It is not ejected.
    #[must_use]
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.ejected_until <= now
    }

    /// Records an answer; `weight`: that of the newest answer in its error rate.
    pub fn record_response(&mut self, is_error: bool, weight: f64, now: Millis) {
        self.last_response_at = now;
        self.consecutive_timeouts = 0;
        self.error_rate += weight * (indicator(is_error) - self.error_rate);
    }

    /// Records answers to other senders, and the share of them that were errors; `weight` as in
    /// [`Endpoint::record_response`].
    pub fn record_reported_outcomes(&mut self, attempts: f64, error_rate: f64, weight: f64, now: Millis) {
        let decay = (1.0 - weight).powf(attempts);
        self.error_rate = decay * self.error_rate + (1.0 - decay) * error_rate;
        if error_rate < 1.0 {
            self.last_response_at = now;
        }
    }

    /// Records the log of the speed of an answer relative to the usual one; `weight`: that of the newest in its latency
    /// bias.
    pub fn record_speed(&mut self, relative_speed: f64, weight: f64, answered_at: Millis) {
        self.metrics[Metric::Speed].add(relative_speed);
        self.latency_bias += weight * (-relative_speed - self.latency_bias);
        self.latency_bias_updated_at = answered_at;
    }

    /// Counts an attempt as ended; false where it was sent to an earlier incarnation.
    pub fn release(&mut self, incarnation: u32) -> bool {
        let is_same = self.incarnation == incarnation;
        self.in_flight = self.in_flight.saturating_sub(u32::from(is_same));
        is_same
    }

    /// Ejects it, leaving it one attempt in flight afterwards; returns for how long in ms.
    pub fn eject(&mut self, backoff: &ExponentialBackoff, now: Millis) -> Millis {
        let duration = backoff.upper_bound(self.ejection_count);
        self.ejected_until = now + duration;
        self.ejection_count += 1;
        self.concurrency_limit = 1.0;
        duration
    }

    /// Moves the concurrency limit by `step` attempts. It never falls below 1, and grows only up to twice (attempts in flight
    /// plus one); a limit already above that does not grow.
    pub fn adjust_concurrency_limit(&mut self, step: f64) {
        let max = 2.0 * f64::from(self.in_flight + 1).max(self.concurrency_limit / 2.0);
        self.concurrency_limit = (self.concurrency_limit + step).clamp(1.0, max);
    }

    /// Resets the state after a restart or a change of version.
    pub(super) fn begin_incarnation(&mut self, concurrency_limit: f64, rng: &mut Pcg64Mcg) {
        self.incarnation += 1;
        self.in_flight = 0;
        self.concurrency_limit = concurrency_limit;
        self.readiness_evidence_expires_at = f64::NEG_INFINITY;
        self.error_rate = 0.0;
        self.ejected_until = 0.0;
        self.ejection_count = 0;
        self.metrics = MetricMoments::default();
        self.consecutive_timeouts = 0;
        self.latency_bias = 0.0;
        // A random part of one token: of hundreds of gateways only a few may send an attempt right away.
        self.slow_start_tokens = rng.random();
        self.subset_position = rng.random();
    }
}
