//! The events of one day, and the arrival of requests.

use super::gateway::Gateway;
use super::model::{Attempt, Counts, Defect, Host, Request, Rollout, RoutingMode, Vote};
use super::outcomes::UnreportedOutcomes;
use super::parameters::{
    CLASS_MIX, CLASSES, MEAN_WORK, READ_CLASS, REQUEST_TIMEOUT, TICK, WORKERS, gateway_policies,
};
use super::proxy_group::ProxyGroup;
use super::sizes::Sizes;
use crate::event_queue::EventQueue;
use latchhaven_policy::{Event, IncomingRequest, Millis, RequestId, RolloutPhase, Verdict, Version};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// An event in simulated time.
#[derive(Clone, Copy, Debug)]
pub(super) enum DayEvent {
    /// A request arrives.
    RequestArrives,
    /// An attempt ends.
    AttemptEnds { request: RequestId, attempt: u32 },
    /// The platform, gateways and the control service act.
    Tick,
}

/// How the rollout of one version ended.
pub(super) struct RolloutEnd {
    pub(super) version: Version,
    pub(super) is_bad: bool,
    /// The end in the results: `back`, `released` or `undecided`.
    pub(super) end: &'static str,
}

/// The result of one day.
pub(super) struct DayResult {
    pub(super) counts: Counts,
    pub(super) rollouts: Vec<RolloutEnd>,
}

/// One day.
pub(super) struct Simulation {
    pub(super) mode: RoutingMode,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: Millis,
    pub(super) hosts: Vec<Host>,
    pub(super) rollout: Rollout,
    pub(super) requests: BTreeMap<RequestId, Request>,
    /// In the mode [`RoutingMode::Proxies`] only.
    pub(super) proxy_group: Option<ProxyGroup>,
    /// In the mode [`RoutingMode::Gateways`] only.
    pub(super) gateways: Vec<Gateway>,
    pub(super) votes: Vec<Vote>,
    /// Requests within the window of the cap.
    pub(super) arrivals: VecDeque<Millis>,
    /// Attempts at the canary within the window of the cap.
    pub(super) canary_attempts: VecDeque<Millis>,
    pub(super) outcomes: UnreportedOutcomes,
    pub(super) counts: Counts,
    events: EventQueue<DayEvent>,
    last_request: u32,
    routers: usize,
    /// Requests per ms.
    request_rate: f64,
}

impl Simulation {
    pub(super) fn new(mode: RoutingMode, seed: u64, sizes: &Sizes) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // One of the two versions is bad, in one of three ways.
        let bad_rollout = rng.random_range(0..2u32);
        let defect = rng.random_range(1..=3u8);
        let defect = Defect::ALL[usize::from(defect) - 1];
        let policies = match mode {
            RoutingMode::Gateways => gateway_policies(sizes.fronts, seed),
            _ => Vec::new(),
        };
        let mut simulation = Simulation {
            mode,
            rng,
            now: 0.0,
            hosts: (0..sizes.hosts).map(|_| Host::new()).collect(),
            rollout: Rollout::new(Version(2 + bad_rollout), defect),
            requests: BTreeMap::new(),
            proxy_group: (mode == RoutingMode::Proxies).then(|| ProxyGroup::new(seed, sizes)),
            gateways: policies.into_iter().map(Gateway::new).collect(),
            votes: Vec::new(),
            arrivals: VecDeque::new(),
            canary_attempts: VecDeque::new(),
            outcomes: UnreportedOutcomes::default(),
            counts: Counts::default(),
            events: EventQueue::new(),
            last_request: 0,
            routers: sizes.fronts,
            request_rate: sizes.load * sizes.hosts as f64 * WORKERS as f64 / MEAN_WORK,
        };
        simulation.publish_endpoints();
        simulation.publish_rollout();
        simulation.schedule(0.0, DayEvent::RequestArrives);
        simulation.schedule(0.0, DayEvent::Tick);
        simulation
    }

    pub(super) fn schedule(&mut self, at: Millis, event: DayEvent) {
        self.events.push(at, event);
    }

    /// Runs until a time in ms. Requests that are pending then count neither as failed nor as in time.
    pub(super) fn run(mut self, until: Millis) -> DayResult {
        while let Some((at, event)) = self.events.pop(until) {
            self.now = at;
            match event {
                DayEvent::RequestArrives => self.on_request(),
                DayEvent::AttemptEnds { request, attempt } => self.on_attempt_ended(request, attempt),
                DayEvent::Tick => self.on_tick(),
            }
        }
        let rollouts = [Version(2), Version(3)].map(|version| self.rollout_end(version));
        DayResult { counts: self.counts, rollouts: rollouts.into() }
    }

    fn rollout_end(&self, version: Version) -> RolloutEnd {
        let is_rolled_back =
            self.votes.iter().any(|vote| vote.version == version && vote.verdict == Verdict::RollBack);
        let is_superseded = self.rollout.state.version > version;
        let end = if is_rolled_back {
            "back"
        } else if is_superseded || self.rollout.state.phase == RolloutPhase::Promoted {
            "released"
        } else {
            "undecided"
        };
        RolloutEnd { version, is_bad: self.rollout.is_bad(version), end }
    }

    fn on_request(&mut self) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.schedule(self.now + gap / self.request_rate, DayEvent::RequestArrives);
        let class = CLASS_MIX[self.rng.random_range(0..CLASS_MIX.len())];
        let router = self.rng.random_range(0..self.routers);
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.arrivals.push_back(self.now);
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
        self.schedule(self.now + TICK, DayEvent::Tick);
        self.advance_rollout();
        self.report_outcomes();
        match self.mode {
            RoutingMode::Gateways => self.run_due_gateways(),
            RoutingMode::Proxies => self.run_control_plane(),
            RoutingMode::Even => {}
        }
        self.sample_exposure();
    }

    /// The client of a request gets its answer.
    pub(super) fn close_request(&mut self, id: RequestId, is_success: bool) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.is_closed) else { return };
        request.is_closed = true;
        let is_in_time = is_success && request.is_in_time(self.now);
        self.counts.value_in_time += if is_in_time { CLASSES[request.class].value } else { 0.0 };
        self.counts.failed += u64::from(!is_success);
        self.counts.met_bad_version += u64::from(request.met_bad_version);
    }

    /// Removes a request that is closed and whose attempts have ended.
    pub(super) fn remove_finished(&mut self, id: RequestId) {
        let is_finished = |request: &Request| {
            request.is_closed && request.attempts.iter().all(|attempt: &Attempt| attempt.has_ended)
        };
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }
}
