//! One endpoint, and what this gateway has learnt of it.

use crate::endpoint::{EndpointEntry, EndpointStatus};
use crate::rollout::Version;
use crate::statistics::{RunningMoments, indicator};
use crate::time::Millis;
use latchhaven_backoff::ExponentialBackoff;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::ops::{Index, IndexMut};

/// Where an endpoint stands in the table. Indices of removed endpoints are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(pub(super) usize);

/// What is measured at each endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// 1 for an answer within the latency objective, else 0.
    Success,
    /// Log of the speed of an answer, relative to what is usual for its class.
    Latency,
    /// 1 for an answer that is neither an error nor reported wrong, else 0.
    Correctness,
}

/// One value for each metric.
#[derive(Clone, Copy, Debug, Default)]
pub struct MetricMoments {
    pub(super) success: RunningMoments,
    pub(super) latency: RunningMoments,
    pub(super) correctness: RunningMoments,
}

impl Index<Metric> for MetricMoments {
    type Output = RunningMoments;

    fn index(&self, metric: Metric) -> &RunningMoments {
        match metric {
            Metric::Success => &self.success,
            Metric::Latency => &self.latency,
            Metric::Correctness => &self.correctness,
        }
    }
}

impl IndexMut<Metric> for MetricMoments {
    fn index_mut(&mut self, metric: Metric) -> &mut RunningMoments {
        match metric {
            Metric::Success => &mut self.success,
            Metric::Latency => &mut self.latency,
            Metric::Correctness => &mut self.correctness,
        }
    }
}

/// One endpoint.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// The version that it runs.
    pub version: Version,
    /// Its capacity beside others'.
    pub weight: f64,
    /// Its last start as listed; 0 for long ago.
    pub listed_start: Millis,
    /// Its last start by this gateway's clock; 0 for long ago.
    pub started_at: Millis,
    /// It takes new requests.
    pub is_ready: bool,
    /// It left the list: its index is free for another once nothing is out there.
    pub is_removed: bool,
    /// Counts the endpoints and restarts that had this index.
    pub incarnation: u32,
    /// Attempts that are out there.
    pub in_flight: u32,
    /// Attempts that may be out there.
    pub concurrency_limit: f64,
    /// When it last answered.
    pub last_answer_at: Millis,
    /// Until when its answers prove that it is neither draining nor replaced.
    pub proof_expires_at: Millis,
    /// Share of its answers that are errors, of late.
    pub error_rate: f64,
    /// It gets nothing until then.
    pub ejected_until: Millis,
    /// How often it was ejected in a row.
    pub ejection_count: u32,
    /// What its answers tell of its version.
    pub metrics: MetricMoments,
    /// Attempts in a row that got no answer.
    pub consecutive_timeouts: u32,
    /// Log of how many times its usual time it took of late.
    pub latency_bias: f64,
    /// When that was learnt.
    pub latency_bias_at: Millis,
    /// Attempts that it may still get from this gateway while it warms up.
    pub slow_start_tokens: f64,
    /// It is in this gateway's subset where this is below the subset's size.
    pub subset_position: f64,
}

impl Endpoint {
    /// Takes over what the list says of it.
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

    /// Learns that it answered; `weight`: that of the newest answer in its error rate.
    pub fn record_answer(&mut self, is_error: bool, weight: f64, now: Millis) {
        self.last_answer_at = now;
        self.consecutive_timeouts = 0;
        self.error_rate += weight * (indicator(is_error) - self.error_rate);
    }

    /// Learns how many attempts of others it answered, and which share of the answers were errors.
    pub fn record_answers(&mut self, attempts: f64, error_rate: f64, weight: f64, now: Millis) {
        let decay = (1.0 - weight).powf(attempts);
        self.error_rate = decay * self.error_rate + (1.0 - decay) * error_rate;
        if error_rate < 1.0 {
            self.last_answer_at = now;
        }
    }

    /// Learns of the speed of an answer beside the usual one; `weight`: that of the newest in its latency bias.
    pub fn record_speed(&mut self, relative_speed: f64, weight: f64, answered_at: Millis) {
        self.metrics[Metric::Latency].add(relative_speed);
        self.latency_bias += weight * (-relative_speed - self.latency_bias);
        self.latency_bias_at = answered_at;
    }

    /// Takes back an attempt in flight; false where it was sent to an earlier incarnation.
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

    /// Moves the concurrency limit; it stays from one to twice what is, or may be, in flight.
    pub fn move_concurrency_limit(&mut self, step: f64) {
        let max = 2.0 * f64::from(self.in_flight + 1).max(self.concurrency_limit / 2.0);
        self.concurrency_limit = (self.concurrency_limit + step).clamp(1.0, max);
    }

    /// Forgets all that was learnt before a restart or another version.
    pub(super) fn begin_incarnation(&mut self, concurrency_limit: f64, rng: &mut Pcg64Mcg) {
        self.incarnation += 1;
        self.in_flight = 0;
        self.concurrency_limit = concurrency_limit;
        self.proof_expires_at = f64::NEG_INFINITY;
        self.error_rate = 0.0;
        self.ejected_until = 0.0;
        self.ejection_count = 0;
        self.metrics = MetricMoments::default();
        self.consecutive_timeouts = 0;
        self.latency_bias = 0.0;
        // By chance: of hundreds of gateways few have an attempt to spare at once.
        self.slow_start_tokens = rng.random();
        self.subset_position = rng.random();
    }
}
