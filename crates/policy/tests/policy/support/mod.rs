//! A gateway on a simulated clock. A test defines the outcomes of attempts, and every action is recorded.

use latchhaven_policy::{
    Action, AttemptOutcome, CompletedAttempt, EndpointEntry, EndpointStatus, Event, IncomingRequest,
    LoadReport, Millis, OutcomeReport, Policy, RequestId, RolloutPhase, RolloutState, UpdateKind, Verdict,
    Version,
};
use std::collections::BTreeMap;

mod config;
mod scenarios;

pub(crate) use config::{TestConfig, class};
pub(crate) use scenarios::{among_300_gateways, fail_every, slowed, succeed, with_canary};

/// Time between two batches of events.
pub(crate) const STEP: Millis = 10.0;

/// When a test starts by the simulated clock: the gateway has made its first discovery call and may get endpoints.
const READY_AT: Millis = 100_000.0;
/// Time from the start of a gateway until the test starts; longer than the delay of the first discovery call.
const STARTUP_TIME: Millis = 4100.0;

/// Defines the outcome and the latency of an attempt.
pub(crate) type Behavior = Box<dyn Fn(&SentAttempt) -> (AttemptOutcome, Millis)>;

/// One attempt as its endpoint receives it.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) sent_at: Millis,
    pub(crate) id: RequestId,
    /// The position among the attempts of the request, from 0.
    pub(crate) number: u32,
    pub(crate) endpoint: String,
    pub(crate) version: Version,
    /// When the process of the endpoint started; 0 for an endpoint that is fully warmed up from the start.
    pub(crate) started_at: Millis,
    /// The number of other attempts in flight at the endpoint.
    pub(crate) in_flight: usize,
}

/// An attempt in flight, with the outcome that it gets at `completes_at` unless it is cancelled before.
struct ScheduledOutcome {
    completes_at: Millis,
    attempt: SentAttempt,
    outcome: AttemptOutcome,
    is_written: bool,
}

/// The policy of one gateway, with simulated endpoints and clients.
pub(crate) struct TestGateway {
    policy: Policy,
    pub(crate) now: Millis,
    /// How long each request is queued on its connection before the policy receives it.
    pub(crate) queued_for: Millis,
    pub(crate) behavior: Behavior,
    /// Time from the action that sends an attempt until it is written, for example behind a new connection.
    pub(crate) write_delay: Millis,
    /// When the connections to all endpoints were established; `None` if unknown.
    pub(crate) connected_at: Option<Millis>,
    listed: BTreeMap<String, EndpointEntry>,
    scheduled: Vec<ScheduledOutcome>,
    deadlines: BTreeMap<RequestId, Millis>,
    events: Vec<Event>,
    pub(crate) sent: Vec<SentAttempt>,
    /// The attempts that were written, with their time.
    pub(crate) written: Vec<(Millis, SentAttempt)>,
    /// The attempts that were cancelled before they were written: the id of the request and the number.
    pub(crate) unwritten: Vec<(RequestId, u32)>,
    /// Rejections and failures of each request with their time; a correct policy returns at most one.
    pub(crate) unserved: BTreeMap<RequestId, Vec<(Millis, Action)>>,
    /// When each request that succeeded got its result.
    pub(crate) succeeded: BTreeMap<RequestId, Millis>,
    /// All actions of the policy with their time.
    pub(crate) actions: Vec<(Millis, Action)>,
    last_id: RequestId,
}

impl TestGateway {
    /// A gateway without endpoints, at the start of a test.
    pub(crate) fn new(config: TestConfig) -> Self {
        let mut gateway = TestGateway {
            policy: Policy::new(config.into()),
            now: READY_AT - STARTUP_TIME - STEP,
            queued_for: 0.0,
            behavior: Box::new(succeed),
            write_delay: 0.0,
            connected_at: None,
            listed: BTreeMap::new(),
            scheduled: Vec::new(),
            deadlines: BTreeMap::new(),
            events: Vec::new(),
            sent: Vec::new(),
            written: Vec::new(),
            unwritten: Vec::new(),
            unserved: BTreeMap::new(),
            succeeded: BTreeMap::new(),
            actions: Vec::new(),
            last_id: RequestId(0),
        };
        gateway.deliver(Event::EndpointUpdate {
            kind: UpdateKind::CachedSnapshot,
            list_version: 0,
            entries: vec![],
        });
        gateway.step();
        gateway.now = READY_AT;
        gateway.step();
        gateway
    }

    /// A gateway with `count` fully warmed-up endpoints of version 1: the first half in zone a, the others in zone b,
    /// named a0, a1, b2, b3 and so on.
    pub(crate) fn with_endpoints(
        config: TestConfig, count: usize,
        behavior: impl Fn(&SentAttempt) -> (AttemptOutcome, Millis) + 'static,
    ) -> Self {
        let mut gateway = TestGateway::new(config);
        gateway.behavior = Box::new(behavior);
        for number in 0..count {
            let zone = if number < count / 2 { "a" } else { "b" };
            gateway.update_endpoint(&format!("{zone}{number}"), Version(1), EndpointStatus::Ready, 0.0);
        }
        gateway.step();
        gateway
    }

    /// Delivers an update of one endpoint. The zone of the endpoint is the first letter of its name.
    pub(crate) fn update_endpoint(
        &mut self, name: &str, version: Version, status: EndpointStatus, started_at: Millis,
    ) -> EndpointEntry {
        let entry = EndpointEntry {
            endpoint: name.to_string(),
            status,
            version,
            zone: name[..1].to_string(),
            cell: 0,
            instance_type: "std".to_string(),
            weight: 1.0,
            started_at,
        };
        self.listed.insert(name.to_string(), entry.clone());
        self.deliver(Event::EndpointUpdate {
            kind: UpdateKind::Delta,
            list_version: 1,
            entries: vec![entry.clone()],
        });
        entry
    }

    /// Delivers an update with endpoints of a version that have just started.
    pub(crate) fn start_endpoints(&mut self, names: &[&str], version: Version) {
        for name in names {
            self.update_endpoint(name, version, EndpointStatus::Ready, self.now);
        }
    }

    /// Adds an event to the next batch.
    pub(crate) fn deliver(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(crate) fn update_rollout(
        &mut self, version: Version, stage: u32, phase: RolloutPhase, traffic_cap: f64,
    ) {
        let rollout = RolloutState { version, stage, phase, traffic_cap, age: 0.0 };
        self.deliver(Event::RolloutUpdate(rollout));
    }

    /// Receives a request with the usual timeout of 2 s.
    pub(crate) fn request(&mut self, class: &str, key: Option<&str>) -> RequestId {
        self.receive(None, class, key, false, 2000.0)
    }

    /// Receives a request without a sticky key.
    pub(crate) fn request_from(
        &mut self, tenant: Option<&str>, class: &str, is_retry: bool, time_remaining: Millis,
    ) -> RequestId {
        self.receive(tenant, class, None, is_retry, time_remaining)
    }

    fn receive(
        &mut self, tenant: Option<&str>, class: &str, key: Option<&str>, is_retry: bool,
        time_remaining: Millis,
    ) -> RequestId {
        self.last_id.0 += 1;
        let id = self.last_id;
        self.deadlines.insert(id, self.now + time_remaining);
        self.deliver(Event::RequestReceived(IncomingRequest {
            id,
            class: class.to_string(),
            tenant: tenant.map(str::to_string),
            sticky_key: key.map(str::to_string),
            time_remaining,
            queued_for: self.queued_for,
            expected_work: Some(50.0),
            is_retry,
            is_write: false,
        }));
        id
    }

    /// Delivers the platform's report on the first class.
    pub(crate) fn report_outcomes(
        &mut self, version: Version, attempts: u64, failures: u64, mean_latency: Millis,
    ) {
        self.deliver(Event::OutcomesReported(OutcomeReport {
            version,
            class: "look".to_string(),
            attempts,
            failures,
            mean_latency: Some(mean_latency),
            age: 500.0,
        }));
    }

    /// Runs one batch of events (those delivered, outcomes that are due, a timer) and performs the actions.
    pub(crate) fn step(&mut self) {
        self.write_delayed();
        let mut events = std::mem::take(&mut self.events);
        let scheduled = std::mem::take(&mut self.scheduled);
        let (due, later) = scheduled.into_iter().partition(|scheduled| scheduled.completes_at <= self.now);
        self.scheduled = later;
        for ScheduledOutcome { attempt, outcome, .. } in due {
            events.push(self.complete(attempt, outcome));
        }
        events.push(Event::TimerFired { token: "tick".to_string() });
        for action in self.policy.handle_events(self.now, events) {
            self.perform(&action);
            self.actions.push((self.now, action));
        }
        self.now += STEP;
    }

    /// Writes the attempts whose delay is over and that the policy confirms; ends the others as not sent.
    fn write_delayed(&mut self) {
        let now = self.now;
        for scheduled in self.scheduled.iter_mut().filter(|scheduled| !scheduled.is_written) {
            let attempt = &scheduled.attempt;
            if now < attempt.sent_at + self.write_delay || scheduled.outcome == AttemptOutcome::NotSent {
                continue;
            }
            scheduled.is_written = true;
            if self.policy.confirm_attempt(attempt.id, attempt.number, now) {
                self.written.push((now, attempt.clone()));
            } else {
                self.unwritten.push((attempt.id, attempt.number));
                scheduled.outcome = AttemptOutcome::NotSent;
                scheduled.completes_at = now;
            }
        }
    }

    fn complete(&mut self, attempt: SentAttempt, outcome: AttemptOutcome) -> Event {
        let id = attempt.id;
        if outcome == AttemptOutcome::Success && !self.unserved.contains_key(&id) {
            self.succeeded.entry(id).or_insert(self.now);
        }
        Event::AttemptCompleted(CompletedAttempt {
            id,
            attempt: attempt.number,
            endpoint: attempt.endpoint,
            outcome,
            is_final: self.succeeded.contains_key(&id) || self.unserved.contains_key(&id),
            elapsed: self.now - attempt.sent_at,
            load: LoadReport::default(),
            connected_at: self.connected_at,
        })
    }

    fn perform(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { id, endpoint, .. } => self.send(*id, endpoint),
            Action::CancelAttempt { id, attempt } => self.cancel(*id, *attempt, AttemptOutcome::Cancelled),
            Action::CancelUnwrittenAttempt { id, attempt } => {
                let is_unwritten = |sent: &SentAttempt| {
                    sent.id == *id && sent.number == *attempt && self.now < sent.sent_at + self.write_delay
                };
                if self.sent.iter().any(is_unwritten) {
                    self.unwritten.push((*id, *attempt));
                    self.cancel(*id, *attempt, AttemptOutcome::NotSent);
                }
            }
            Action::Reject { id, .. } | Action::Fail { id, .. } => {
                self.unserved.entry(*id).or_default().push((self.now, action.clone()));
            }
            _ => {}
        }
    }

    /// Ends an attempt in flight with `outcome` in the next batch.
    fn cancel(&mut self, id: RequestId, number: u32, outcome: AttemptOutcome) {
        let is_cancelled = |sent: &SentAttempt| sent.id == id && sent.number == number;
        if let Some(found) = self.scheduled.iter_mut().find(|scheduled| is_cancelled(&scheduled.attempt)) {
            found.completes_at = self.now + STEP;
            found.outcome = outcome;
        }
    }

    fn send(&mut self, id: RequestId, endpoint: &str) {
        let entry = &self.listed[endpoint];
        let attempt = SentAttempt {
            sent_at: self.now,
            id,
            number: self.sent.iter().filter(|sent| sent.id == id).count() as u32,
            endpoint: endpoint.to_string(),
            version: entry.version,
            started_at: entry.started_at,
            in_flight: self.scheduled.iter().filter(|other| other.attempt.endpoint == endpoint).count(),
        };
        let (mut outcome, elapsed) = (self.behavior)(&attempt);
        let mut completes_at = self.now + elapsed;
        if completes_at > self.deadlines[&id] {
            outcome = AttemptOutcome::Timeout;
            completes_at = self.deadlines[&id];
        }
        let is_written = self.write_delay == 0.0;
        if is_written {
            self.written.push((self.now, attempt.clone()));
        }
        self.scheduled.push(ScheduledOutcome { completes_at, attempt: attempt.clone(), outcome, is_written });
        self.sent.push(attempt);
    }

    /// Runs for `duration` without new requests.
    pub(crate) fn run_for(&mut self, duration: Millis) {
        for _ in 0..(duration / STEP) as usize {
            self.step();
        }
    }

    /// Runs for `duration`, with a request of the first class in every `every`-th step.
    pub(crate) fn serve_for(&mut self, duration: Millis, every: usize) {
        for step in 0..(duration / STEP) as usize {
            if step % every == 0 {
                self.request("look", None);
            }
            self.step();
        }
    }

    /// The endpoints to which attempts at a request were sent, in the order of the attempts.
    pub(crate) fn endpoints_tried(&self, id: RequestId) -> Vec<String> {
        self.sent.iter().filter(|sent| sent.id == id).map(|sent| sent.endpoint.clone()).collect()
    }

    /// The events for the operators' log with their time.
    pub(crate) fn logs(&self) -> Vec<&(Millis, Action)> {
        self.actions.iter().filter(|(_, action)| matches!(action, Action::Log(_))).collect()
    }

    /// Returns `true` if the gateway has cast this vote on a version.
    pub(crate) fn has_voted(&self, version: Version, verdict: Verdict) -> bool {
        let is_vote = |action: &Action| match action {
            Action::CastVote { version: of, verdict: cast, .. } => (*of, *cast) == (version, verdict),
            _ => false,
        };
        self.actions.iter().any(|(_, action)| is_vote(action))
    }
}
