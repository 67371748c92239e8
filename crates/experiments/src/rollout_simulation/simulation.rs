//! One simulated day: its event loop, and the arrival and closing of requests.

use super::gateway::Gateway;
use super::model::{Attempt, Counts, Defect, Host, Request, Rollout, RoutingMode, Vote};
use super::outcomes::UnreportedOutcomes;
use super::parameters::{
    CLASS_MIX, CLASSES, MEAN_SERVICE_TIME, READ_CLASS, REQUEST_TIMEOUT, ROLLOUT_VERSIONS, TICK,
    WORKERS_PER_HOST, gateway_policies,
};
use super::proxy_group::ProxyGroup;
use super::sizes::Sizes;
use crate::event_queue::EventQueue;
use latchhaven_policy::{Event, IncomingRequest, Millis, RequestId, RolloutPhase, Verdict, Version};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// The events that advance simulated time.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimulationEvent {
    RequestArrived,
    AttemptCompleted {
        request: RequestId,
        attempt: u32,
    },
    /// Periodic: the platform, gateways and the control service act.
    Tick,
}

/// The state of one version's rollout at the end of a day.
pub(super) struct RolloutResult {
    pub(super) version: Version,
    pub(super) is_bad: bool,
    pub(super) conclusion: RolloutConclusion,
}

/// The decision on a version at the end of a day.
#[derive(Clone, Copy, Debug)]
pub(super) enum RolloutConclusion {
    /// A vote to roll back was cast, at any stage or after the promotion.
    RolledBack,
    /// No such vote was cast, and the newest rollout is promoted or has a later version.
    Promoted,
    Undecided,
}

impl RolloutConclusion {
    /// The name in the printed results.
    pub(super) fn name(self) -> &'static str {
        match self {
            RolloutConclusion::RolledBack => "back",
            RolloutConclusion::Promoted => "released",
            RolloutConclusion::Undecided => "undecided",
        }
    }
}

/// The counts of one day, and its rollouts in the order of their versions.
pub(super) struct DayResult {
    pub(super) counts: Counts,
    pub(super) rollouts: Vec<RolloutResult>,
}

/// The state of one day.
pub(super) struct Simulation {
    pub(super) mode: RoutingMode,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: Millis,
    pub(super) hosts: Vec<Host>,
    pub(super) rollout: Rollout,
    /// Requests that are not closed, or with attempts in flight. Requests that a proxy closes without an attempt are
    /// not removed.
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// Set in [`RoutingMode::Proxies`].
    pub(super) proxy_group: Option<ProxyGroup>,
    /// Empty unless the mode is [`RoutingMode::Gateways`].
    pub(super) gateways: Vec<Gateway>,
    /// All votes that were cast on this day.
    pub(super) votes: Vec<Vote>,
    /// When the requests of the last exposure window arrived.
    pub(super) recent_arrivals: VecDeque<Millis>,
    /// When the attempts at the canary of the last exposure window were sent.
    pub(super) recent_canary_attempts: VecDeque<Millis>,
    pub(super) outcomes: UnreportedOutcomes,
    pub(super) counts: Counts,
    events: EventQueue<SimulationEvent>,
    last_request_id: u32,
    /// Number of proxies or gateways.
    routers: usize,
    /// Mean number of requests per millisecond.
    request_rate: f64,
}

impl Simulation {
    pub(super) fn new(mode: RoutingMode, seed: u64, sizes: &Sizes) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // One of the two rollouts has a bad version with one of the defects.
        let bad_rollout = rng.random_range(0..2u32);
        let defect = rng.random_range(1..=3u8);
        let defect = Defect::ALL[usize::from(defect) - 1];
        let policies = match mode {
            RoutingMode::Gateways => gateway_policies(sizes.routers, seed),
            _ => Vec::new(),
        };
        let mut simulation = Simulation {
            mode,
            rng,
            now: 0.0,
            hosts: (0..sizes.hosts).map(|_| Host::new()).collect(),
            rollout: Rollout::new(ROLLOUT_VERSIONS[bad_rollout as usize], defect),
            requests: BTreeMap::new(),
            proxy_group: (mode == RoutingMode::Proxies).then(|| ProxyGroup::new(seed, sizes)),
            gateways: policies.into_iter().map(Gateway::new).collect(),
            votes: Vec::new(),
            recent_arrivals: VecDeque::new(),
            recent_canary_attempts: VecDeque::new(),
            outcomes: UnreportedOutcomes::default(),
            counts: Counts::default(),
            events: EventQueue::new(),
            last_request_id: 0,
            routers: sizes.routers,
            request_rate: sizes.load * sizes.hosts as f64 * WORKERS_PER_HOST as f64 / MEAN_SERVICE_TIME,
        };
        simulation.publish_endpoints();
        simulation.publish_rollout();
        simulation.schedule(0.0, SimulationEvent::RequestArrived);
        simulation.schedule(0.0, SimulationEvent::Tick);
        simulation
    }

    pub(super) fn schedule(&mut self, at: Millis, event: SimulationEvent) {
        self.events.push(at, event);
    }

    /// Runs until a simulated time. Requests that are pending then count neither as failed nor as served in time.
    pub(super) fn run(mut self, until: Millis) -> DayResult {
        while let Some((at, event)) = self.events.pop(until) {
            self.now = at;
            match event {
                SimulationEvent::RequestArrived => self.on_request_arrived(),
                SimulationEvent::AttemptCompleted { request, attempt } => {
                    self.on_attempt_completed(request, attempt);
                }
                SimulationEvent::Tick => self.on_tick(),
            }
        }
        let rollouts = ROLLOUT_VERSIONS.map(|version| self.rollout_result(version));
        DayResult { counts: self.counts, rollouts: rollouts.into() }
    }

    fn rollout_result(&self, version: Version) -> RolloutResult {
        let is_rolled_back =
            self.votes.iter().any(|vote| vote.version == version && vote.verdict == Verdict::RollBack);
        let is_superseded = self.rollout.state.version > version;
        let conclusion = if is_rolled_back {
            RolloutConclusion::RolledBack
        } else if is_superseded || self.rollout.state.phase == RolloutPhase::Promoted {
            RolloutConclusion::Promoted
        } else {
            RolloutConclusion::Undecided
        };
        RolloutResult { version, is_bad: self.rollout.is_bad(version), conclusion }
    }

    fn on_request_arrived(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.schedule(self.now + gap / self.request_rate, SimulationEvent::RequestArrived);
        let class = CLASS_MIX[self.rng.random_range(0..CLASS_MIX.len())];
        let router = self.rng.random_range(0..self.routers);
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        self.recent_arrivals.push_back(self.now);
        self.counts.requests += 1;
        self.counts.value_requested += CLASSES[class].value;
        self.requests.insert(id, Request::new(router, class, self.now));
        match self.mode {
            RoutingMode::Even => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.send_attempt(id, host);
            }
            RoutingMode::Proxies => self.route_by_proxy(id),
            RoutingMode::Gateways => {
                let request = IncomingRequest {
                    id,
                    class: CLASSES[class].name.to_string(),
                    tenant: None,
                    sticky_key: None,
                    queued_for: 0.0,
                    time_remaining: REQUEST_TIMEOUT,
                    expected_work: None,
                    is_retry: false,
                    is_write: class != READ_CLASS,
                };
                self.gateways[router].events.push(Event::RequestReceived(request));
                self.run_gateway(router);
            }
        }
    }

    fn on_tick(&mut self) {
        self.schedule(self.now + TICK, SimulationEvent::Tick);
        self.advance_rollout();
        self.report_outcomes();
        match self.mode {
            RoutingMode::Gateways => self.run_due_gateways(),
            RoutingMode::Proxies => self.run_control_plane(),
            RoutingMode::Even => {}
        }
        self.check_exposure();
    }

    /// Gives a request its final status and counts the request; without effect if the request is closed already.
    pub(super) fn close_request(&mut self, id: RequestId, is_success: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_closed) else { return };
        request.is_closed = true;
        let meets_objective = is_success && request.meets_objective(self.now);
        self.counts.value_within_objective +=
            if meets_objective { CLASSES[request.class].value } else { 0.0 };
        self.counts.failed += u64::from(!is_success);
        self.counts.reached_bad_version += u64::from(request.reached_bad_version);
    }

    /// Removes a request that is closed and whose attempts have completed or were cancelled.
    pub(super) fn remove_finished(&mut self, id: RequestId) {
        let is_finished = |request: &Request| {
            request.is_closed && request.attempts.iter().all(|attempt: &Attempt| attempt.is_completed)
        };
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }
}
