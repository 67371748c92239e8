//! Hosts, requests, the rollout, and counts.

use super::parameters::{
    INITIAL_VERSION, LATENCY_OBJECTIVE, MEAN_SERVICE_TIME, NON_IDEMPOTENT_CLASS, REQUEST_TIMEOUT,
    WARM_UP_INITIAL_SPEED, WARM_UP_TIME, WORKERS_PER_HOST, endpoint_name,
};
use latchhaven_policy::{
    AttemptOutcome, EndpointEntry, EndpointStatus, Millis, RolloutPhase, RolloutState, Verdict, Version,
};
use std::collections::BTreeMap;

/// The components that route requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RoutingMode {
    /// Proxies with configurations of a control service.
    Proxies,
    /// Gateways that decide on each request.
    Gateways,
    /// Each request goes to a host drawn uniformly, without retries; rollouts advance by time, without votes.
    Even,
}

impl RoutingMode {
    /// All modes in the order of the results.
    pub(super) const ALL: [RoutingMode; 3] = [RoutingMode::Proxies, RoutingMode::Gateways, RoutingMode::Even];

    /// The key of the mode in the printed results.
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
    /// When the host started with its version; `None` if it has been warm since the start of the day.
    pub(super) started_at: Option<Millis>,
    /// When each worker completes the last request assigned to it; in the past if the worker is idle.
    pub(super) workers_free_at: Vec<Millis>,
}

impl Host {
    pub(super) fn new() -> Self {
        Host { version: INITIAL_VERSION, started_at: None, workers_free_at: vec![0.0; WORKERS_PER_HOST] }
    }

    /// The entry of the host in the endpoint list.
    pub(super) fn entry(&self, index: usize) -> EndpointEntry {
        EndpointEntry {
            endpoint: endpoint_name(index),
            status: EndpointStatus::Ready,
            version: self.version,
            zone: "a".to_string(),
            cell: 0,
            instance_type: String::new(),
            weight: 1.0,
            started_at: self.started_at.unwrap_or(0.0),
        }
    }

    /// Time for which a request occupies a worker. `exponential_sample` is drawn with a mean of 1.
    pub(super) fn service_time(&self, now: Millis, slowdown: f64, exponential_sample: f64) -> Millis {
        let warmup =
            self.started_at.map_or(1.0, |started_at| ((now - started_at) / WARM_UP_TIME).clamp(0.0, 1.0));
        MEAN_SERVICE_TIME * slowdown * exponential_sample
            / (WARM_UP_INITIAL_SPEED + (1.0 - WARM_UP_INITIAL_SPEED) * warmup)
    }

    pub(super) fn first_free_worker(&mut self) -> &mut Millis {
        let workers = self.workers_free_at.iter_mut();
        workers.min_by(|left, right| left.total_cmp(right)).expect("a host has workers")
    }
}

/// A fault that all hosts of a bad version have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Defect {
    /// A share of the requests of all classes fails.
    Failures,
    /// Half of the requests that are not idempotent fail.
    NonIdempotentFailures,
    /// Requests of all classes are slow.
    Slow,
}

impl Defect {
    /// All defects. The defect of a bad version is drawn as an index into this list: another order changes the results
    /// of a seed.
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

/// How a defect changes requests of one class.
#[derive(Clone, Copy)]
pub(super) struct DefectEffect {
    /// Probability that a request fails.
    pub(super) failure_share: f64,
    /// Factor by which the service time is longer.
    pub(super) slowdown: f64,
}

impl DefectEffect {
    pub(super) const NONE: DefectEffect = DefectEffect { failure_share: 0.0, slowdown: 1.0 };
}

/// A change of the share of requests that the canary may receive.
#[derive(Clone, Copy)]
pub(super) struct CapChange {
    pub(super) at: Millis,
    pub(super) cap: f64,
}

/// The platform's state: the rollout of the newest version, and what was published.
pub(super) struct Rollout {
    pub(super) state: RolloutState,
    /// When `state` was set.
    pub(super) state_since: Millis,
    pub(super) defects: BTreeMap<Version, Defect>,
    /// Number of rollouts that have started.
    pub(super) started_rollouts: usize,
    /// Version of the next endpoint list.
    pub(super) list_version: u64,
    /// All changes of the cap, in the order of time.
    pub(super) cap_history: Vec<CapChange>,
}

impl Rollout {
    pub(super) fn new(bad_version: Version, defect: Defect) -> Self {
        let state = RolloutState {
            version: INITIAL_VERSION,
            stage: 0,
            phase: RolloutPhase::Promoted,
            traffic_cap: 1.0,
            age: 0.0,
        };
        Rollout {
            state,
            state_since: 0.0,
            defects: BTreeMap::from([(bad_version, defect)]),
            started_rollouts: 0,
            list_version: 1,
            cap_history: vec![CapChange { at: 0.0, cap: 1.0 }],
        }
    }

    pub(super) fn is_bad(&self, version: Version) -> bool {
        self.defects.contains_key(&version)
    }

    /// Returns `true` if the version is in rollout, rolling back or rolled back, and no later rollout has started.
    pub(super) fn is_canary(&self, version: Version) -> bool {
        self.state.version == version
            && self.state.phase != RolloutPhase::Promoted
            && version > INITIAL_VERSION
    }
}

/// A verdict that a gateway or the control service cast on a stage of a rollout.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Vote {
    pub(super) version: Version,
    pub(super) stage: u32,
    pub(super) verdict: Verdict,
}

/// The cluster that a proxy drew for a request, and the retries that its route allows.
pub(super) struct SelectedRoute {
    pub(super) cluster: String,
    pub(super) retries_left: u32,
    /// The retry conditions of the route, in the notation of Envoy's `retry_on`.
    pub(super) retry_on: String,
}

pub(super) struct Request {
    /// Index of the proxy or gateway that routes the request.
    pub(super) router: usize,
    /// Index in `CLASSES`.
    pub(super) class: usize,
    pub(super) arrived_at: Millis,
    /// Set when the request has its final status.
    pub(super) is_closed: bool,
    pub(super) reached_bad_version: bool,
    pub(super) attempts: Vec<Attempt>,
    /// Set when a proxy has drawn a cluster for the request.
    pub(super) route: Option<SelectedRoute>,
}

impl Request {
    pub(super) fn new(router: usize, class: usize, arrived_at: Millis) -> Self {
        Request {
            router,
            class,
            arrived_at,
            is_closed: false,
            reached_bad_version: false,
            attempts: Vec::new(),
            route: None,
        }
    }

    pub(super) fn meets_objective(&self, now: Millis) -> bool {
        now - self.arrived_at <= LATENCY_OBJECTIVE
    }

    pub(super) fn is_timed_out(&self, now: Millis) -> bool {
        now - self.arrived_at > REQUEST_TIMEOUT
    }

    /// Returns `true` if a host may have executed the request: another attempt may execute it a second time.
    pub(super) fn may_have_been_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| !attempt.is_completed || !attempt.outcome.is_definitely_not_executed())
    }
}

pub(super) struct Attempt {
    pub(super) host: usize,
    pub(super) version: Version,
    pub(super) sent_at: Millis,
    /// Drawn when the attempt is sent.
    pub(super) outcome: AttemptOutcome,
    /// Set when the attempt has completed or was cancelled.
    pub(super) is_completed: bool,
}

/// The completion of an attempt, passed to the router that sent it.
pub(super) struct AttemptCompletion {
    /// Index in the request's attempts.
    pub(super) number: u32,
    pub(super) host: usize,
    pub(super) outcome: AttemptOutcome,
    pub(super) elapsed: Millis,
    /// Set when the timeout of the request has passed.
    pub(super) is_late: bool,
}

impl AttemptCompletion {
    pub(super) fn is_success(&self) -> bool {
        self.outcome == AttemptOutcome::Success && !self.is_late
    }
}

/// Counts over one or several days.
#[derive(Default)]
pub(super) struct Counts {
    /// Sum of the values of all requests.
    pub(super) value_requested: f64,
    /// Sum of the values of the requests that succeeded within the latency objective.
    pub(super) value_within_objective: f64,
    pub(super) requests: u64,
    /// Closed requests that had an attempt at a bad version.
    pub(super) reached_bad_version: u64,
    /// Requests that were closed without success.
    pub(super) failed: u64,
    /// Number of checks of the canary's traffic against its cap.
    pub(super) exposure_samples: u64,
    pub(super) exposure_samples_over_cap: u64,
    /// Attempts that may have executed a non-idempotent request twice.
    pub(super) repeated_non_idempotent: u64,
}

impl Counts {
    pub(super) fn add(&mut self, other: &Counts) {
        self.value_requested += other.value_requested;
        self.value_within_objective += other.value_within_objective;
        self.requests += other.requests;
        self.reached_bad_version += other.reached_bad_version;
        self.failed += other.failed;
        self.exposure_samples += other.exposure_samples;
        self.exposure_samples_over_cap += other.exposure_samples_over_cap;
        self.repeated_non_idempotent += other.repeated_non_idempotent;
    }
}
