//! Hosts, requests, the rollout, and counts.

use super::parameters::{
    INITIAL_SPEED, LATENCY_OBJECTIVE, MEAN_WORK, NON_IDEMPOTENT_CLASS, REQUEST_TIMEOUT, WARM_UP, WORKERS,
    endpoint_name,
};
use latchhaven_policy::{
    AttemptOutcome, EndpointEntry, EndpointStatus, Millis, RolloutPhase, RolloutState, Verdict, Version,
};
use std::collections::BTreeMap;

/// What routes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RoutingMode {
    /// Proxies with configurations of a control service.
    Proxies,
    /// Gateways that decide on each request.
    Gateways,
    /// All hosts get the same share; nothing analyses the canary.
    Even,
}

impl RoutingMode {
    /// All modes in the order of the results.
    pub(super) const ALL: [RoutingMode; 3] = [RoutingMode::Proxies, RoutingMode::Gateways, RoutingMode::Even];

    /// The name in the results.
    pub(super) fn name(self) -> &'static str {
        match self {
            RoutingMode::Proxies => "handout",
            RoutingMode::Gateways => "gateways",
            RoutingMode::Even => "even",
        }
    }
}

pub(super) struct Host {
    pub(super) version: Version,
    /// When it started with its version, in ms.
    pub(super) started_at: Millis,
    /// When each worker is free, in ms.
    pub(super) workers_free_at: Vec<Millis>,
}

impl Host {
    pub(super) fn new() -> Self {
        Host { version: Version(1), started_at: 0.0, workers_free_at: vec![0.0; WORKERS] }
    }

    /// Its entry in the endpoint list.
    pub(super) fn entry(&self, index: usize) -> EndpointEntry {
        EndpointEntry {
            endpoint: endpoint_name(index),
            status: EndpointStatus::Ready,
            version: self.version,
            zone: "a".to_string(),
            cell: 0,
            instance_type: String::new(),
            weight: 1.0,
            started_at: self.started_at,
        }
    }

    /// The time in ms that a request takes; `drawn` has a mean of 1.
    pub(super) fn work_time(&self, now: Millis, slowdown: f64, drawn: f64) -> Millis {
        let warmup =
            if self.started_at > 0.0 { ((now - self.started_at) / WARM_UP).clamp(0.0, 1.0) } else { 1.0 };
        MEAN_WORK * slowdown * drawn / (INITIAL_SPEED + (1.0 - INITIAL_SPEED) * warmup)
    }

    /// The worker that is free first.
    pub(super) fn first_free_worker(&mut self) -> &mut Millis {
        let workers = self.workers_free_at.iter_mut();
        workers.min_by(|left, right| left.total_cmp(right)).expect("a host has workers")
    }
}

/// The defect of a bad version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    /// Some requests of all classes fail.
    Failures,
    /// Half of the requests that are not idempotent fail.
    NonIdempotentFailures,
    /// All requests are slow.
    Slow,
}

impl Defect {
    /// All defects, in the order of the draw.
    pub(super) const ALL: [Defect; 3] = [Defect::Failures, Defect::NonIdempotentFailures, Defect::Slow];

    pub(super) fn effect_on(self, class: usize) -> DefectEffect {
        match self {
            Defect::Failures => DefectEffect { failure_share: 0.3, slowdown: 1.0 },
            Defect::NonIdempotentFailures if class == NON_IDEMPOTENT_CLASS => {
                DefectEffect { failure_share: 0.5, slowdown: 1.0 }
            }
            Defect::NonIdempotentFailures => DefectEffect::NONE,
            Defect::Slow => DefectEffect { failure_share: 0.0, slowdown: 5.0 },
        }
    }
}

/// The effect of a defect on a request class.
#[derive(Clone, Copy)]
pub(super) struct DefectEffect {
    pub(super) failure_share: f64,
    /// The factor on the mean work.
    pub(super) slowdown: f64,
}

impl DefectEffect {
    pub(super) const NONE: DefectEffect = DefectEffect { failure_share: 0.0, slowdown: 1.0 };
}

/// A change of the canary's cap.
#[derive(Clone, Copy)]
pub(super) struct CapChange {
    pub(super) at: Millis,
    pub(super) cap: f64,
}

/// The platform's rollout of the newest version.
pub(super) struct Rollout {
    pub(super) state: RolloutState,
    /// When the state began, in ms.
    pub(super) state_since: Millis,
    pub(super) defects: BTreeMap<Version, Defect>,
    /// Rollouts that have begun.
    pub(super) begun: usize,
    pub(super) list_version: u64,
    pub(super) caps: Vec<CapChange>,
}

impl Rollout {
    pub(super) fn new(bad_version: Version, defect: Defect) -> Self {
        let state = RolloutState {
            version: Version(1),
            stage: 0,
            phase: RolloutPhase::Promoted,
            traffic_cap: 1.0,
            age: 0.0,
        };
        Rollout {
            state,
            state_since: 0.0,
            defects: BTreeMap::from([(bad_version, defect)]),
            begun: 0,
            list_version: 1,
            caps: vec![CapChange { at: 0.0, cap: 1.0 }],
        }
    }

    pub(super) fn is_bad(&self, version: Version) -> bool {
        self.defects.contains_key(&version)
    }

    /// True if the version is a canary or was rolled back.
    pub(super) fn is_canary(&self, version: Version) -> bool {
        self.state.version == version && self.state.phase != RolloutPhase::Promoted && version > Version(1)
    }
}

/// A vote that was cast.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Vote {
    pub(super) version: Version,
    pub(super) stage: u32,
    pub(super) verdict: Verdict,
}

pub(super) struct Request {
    /// The proxy or gateway that routes it.
    pub(super) router: usize,
    pub(super) class: usize,
    pub(super) arrived_at: Millis,
    pub(super) is_closed: bool,
    pub(super) met_bad_version: bool,
    pub(super) attempts: Vec<Attempt>,
    /// Proxies: the cluster of the request.
    pub(super) cluster: String,
    /// Proxies: the remaining retries.
    pub(super) retries_left: u32,
    /// Proxies: conditions for a retry.
    pub(super) retry_on: String,
}

impl Request {
    pub(super) fn new(router: usize, class: usize, arrived_at: Millis) -> Self {
        Request {
            router,
            class,
            arrived_at,
            is_closed: false,
            met_bad_version: false,
            attempts: Vec::new(),
            cluster: String::new(),
            retries_left: 0,
            retry_on: String::new(),
        }
    }

    pub(super) fn is_in_time(&self, now: Millis) -> bool {
        now - self.arrived_at <= LATENCY_OBJECTIVE
    }

    pub(super) fn is_timed_out(&self, now: Millis) -> bool {
        now - self.arrived_at > REQUEST_TIMEOUT
    }

    /// True if another attempt may execute it a second time.
    pub(super) fn may_be_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| !attempt.has_ended || !attempt.outcome.is_definitely_not_executed())
    }
}

pub(super) struct Attempt {
    pub(super) host: usize,
    pub(super) version: Version,
    pub(super) sent_at: Millis,
    /// The outcome, drawn when it was sent.
    pub(super) outcome: AttemptOutcome,
    pub(super) has_ended: bool,
}

/// An attempt that ended just now.
pub(super) struct EndedAttempt {
    pub(super) number: u32,
    pub(super) host: usize,
    pub(super) outcome: AttemptOutcome,
    pub(super) elapsed: Millis,
    /// The request's timeout has passed.
    pub(super) is_late: bool,
}

impl EndedAttempt {
    pub(super) fn is_success(&self) -> bool {
        self.outcome == AttemptOutcome::Success && !self.is_late
    }
}

/// The counts of one or several days.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) value_requested: f64,
    pub(super) value_in_time: f64,
    pub(super) requests: u64,
    /// Closed requests with an attempt at a bad version.
    pub(super) met_bad_version: u64,
    pub(super) failed: u64,
    /// Samples of the canary's share.
    pub(super) samples: u64,
    pub(super) samples_over_cap: u64,
    /// Attempts that may have executed a non-idempotent request twice.
    pub(super) repeated_non_idempotent: u64,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Counts) {
        self.value_requested += other.value_requested;
        self.value_in_time += other.value_in_time;
        self.requests += other.requests;
        self.met_bad_version += other.met_bad_version;
        self.failed += other.failed;
        self.samples += other.samples;
        self.samples_over_cap += other.samples_over_cap;
        self.repeated_non_idempotent += other.repeated_non_idempotent;
    }
}
