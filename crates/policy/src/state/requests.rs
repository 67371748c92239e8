//! The requests that a gateway has taken, and how they are served.

use crate::event::{CompletedAttempt, IncomingRequest};
use crate::request::{AttemptOutcome, DedupScope, Idempotency, RequestClass, RequestId};
use crate::rollout::Version;
use crate::state::endpoint::{Endpoint, EndpointIndex};
use crate::statistics::half_life_decay;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Tenants that are remembered at most: a bound of memory, far above those that matter at once.
const MAX_RETAINED_TENANTS: usize = 512;

/// One attempt at a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The endpoint that it was sent to.
    pub endpoint: EndpointIndex,
    /// The endpoint's incarnation then.
    pub incarnation: u32,
    /// The endpoint's version then.
    pub version: Version,
    /// The endpoint's zone.
    pub zone: String,
    /// The endpoint's cell.
    pub cell: u32,
    /// When it was sent.
    pub sent_at: Millis,
    /// The least share of its capacity that the endpoint had reached then.
    pub warmup_factor: f64,
    /// How it ended, if it has.
    pub outcome: Option<AttemptOutcome>,
    /// It was cancelled.
    pub is_cancelled: bool,
}

impl Attempt {
    /// An attempt that is sent to an endpoint now.
    #[must_use]
    pub fn new(index: EndpointIndex, endpoint: &Endpoint, warmup_factor: f64, now: Millis) -> Self {
        Attempt {
            endpoint: index,
            incarnation: endpoint.incarnation,
            version: endpoint.version,
            zone: endpoint.zone.clone(),
            cell: endpoint.cell,
            sent_at: now,
            warmup_factor,
            outcome: None,
            is_cancelled: false,
        }
    }

    /// It may have been executed, or may be yet.
    #[must_use]
    pub fn is_possibly_executed(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::is_definitely_not_executed)
    }

    /// An endpoint recognises the idempotency key of this earlier attempt.
    #[must_use]
    pub fn is_recognised_by(&self, endpoint: &Endpoint, scope: DedupScope) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == endpoint.zone,
            DedupScope::Cell => self.cell == endpoint.cell && self.zone == endpoint.zone,
        }
    }

    /// Its endpoint has answered something, in the same incarnation, since it was sent.
    #[must_use]
    pub fn is_followed_by_answer(&self, endpoint: &Endpoint) -> bool {
        endpoint.incarnation == self.incarnation && endpoint.last_answer_at >= self.sent_at
    }
}

/// A request that was taken and is not yet forgotten.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its class, by number.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<String>,
    /// The key that may not return to an earlier version.
    pub sticky_key: Option<String>,
    /// When it was told.
    pub arrived_at: Millis,
    /// When the client gives up.
    pub deadline: Millis,
    /// When an answer stops being in time.
    pub objective_deadline: Millis,
    /// The client's guess at its work.
    pub expected_work: Option<Millis>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its answer is being streamed.
    pub is_streaming: bool,
    /// It has its final answer.
    pub is_answered: bool,
}

impl Request {
    /// A request that has just come; `objective`: time left for an answer in time.
    #[must_use]
    pub fn new(incoming: IncomingRequest, class: usize, objective: Millis, now: Millis) -> Self {
        Request {
            class,
            tenant: incoming.tenant,
            sticky_key: incoming.sticky_key,
            arrived_at: now,
            deadline: now + incoming.time_remaining,
            objective_deadline: now + objective.min(incoming.time_remaining),
            expected_work: incoming.expected_work,
            attempts: Vec::new(),
            is_streaming: false,
            is_answered: false,
        }
    }

    /// It may get its final answer from the gateway itself.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.is_streaming && !self.is_answered
    }

    /// The share of the time for an answer in time that is left; below 0 afterwards.
    #[must_use]
    pub fn share_of_objective_left(&self, now: Millis) -> f64 {
        let objective = (self.objective_deadline - self.arrived_at).max(1.0);
        (self.objective_deadline - now) / objective
    }

    /// Attempts that have not ended.
    #[must_use]
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Attempts that may have been executed, or may be yet.
    pub fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_possibly_executed())
    }

    /// How long endpoints still recognise a repeat, from the first attempt on that may have been executed; none where
    /// that does not matter.
    #[must_use]
    pub fn dedup_window_left(&self, class: &RequestClass, margin: Millis, now: Millis) -> Option<Millis> {
        let first = self.possibly_executed().map(|attempt| attempt.sent_at).min_by(f64::total_cmp);
        let first = first.filter(|_| class.idempotency == Idempotency::IdempotencyKey);
        first.map(|sent_at| sent_at + class.dedup_window - margin - now)
    }

    /// No attempt can have been executed.
    #[must_use]
    pub fn is_definitely_not_executed(&self) -> bool {
        self.possibly_executed().next().is_none()
    }
}

/// How requests were served of late, older ones weighing less.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLevel {
    requests: f64,
    served_well: f64,
    updated_at: Millis,
    half_life: Millis,
}

impl ServiceLevel {
    /// Nothing was served yet; `half_life`: the time in which the weight of a request halves.
    #[must_use]
    pub fn new(half_life: Millis) -> Self {
        ServiceLevel { requests: 0.0, served_well: 0.0, updated_at: 0.0, half_life }
    }

    fn decay(&mut self, now: Millis) {
        let decay = half_life_decay(now - self.updated_at, self.half_life);
        self.requests *= decay;
        self.served_well *= decay;
        self.updated_at = now;
    }

    /// Records so many requests, of which this share was served well.
    pub fn record(&mut self, now: Millis, requests: f64, share_served_well: f64) {
        self.decay(now);
        self.requests += requests;
        self.served_well += requests * share_served_well;
    }

    /// The share of requests served well, together with so many that are assumed to have been served as `assumed_share`
    /// says.
    pub fn share_served_well(&mut self, now: Millis, assumed_requests: f64, assumed_share: f64) -> f64 {
        self.decay(now);
        (self.served_well + assumed_requests * assumed_share) / (self.requests + assumed_requests)
    }
}

/// All requests that a gateway knows of.
pub struct RequestTable {
    /// The requests, by id.
    pub requests: BTreeMap<RequestId, Request>,
    /// Those that wait to be sent.
    pub queue: Vec<RequestId>,
    /// Usual time of an answer, by class.
    pub typical_latency: Vec<Millis>,
    /// The longest time that clients left to a request, by class.
    pub longest_timeout: Vec<Millis>,
    /// Retries that may be sent.
    pub retry_budget: f64,
    /// Share of attempts of late that got no connection.
    pub connect_failure_rate: f64,
    /// How all requests are served.
    pub overall_service: ServiceLevel,
    tenant_service: BTreeMap<Option<String>, ServiceLevel>,
}

impl RequestTable {
    /// No request came yet.
    #[must_use]
    pub fn new(typical_latency: Vec<Millis>, retry_budget: f64, service_half_life: Millis) -> Self {
        RequestTable {
            requests: BTreeMap::new(),
            queue: Vec::new(),
            longest_timeout: vec![0.0; typical_latency.len()],
            typical_latency,
            retry_budget,
            connect_failure_rate: 0.0,
            overall_service: ServiceLevel::new(service_half_life),
            tenant_service: BTreeMap::new(),
        }
    }

    /// Open requests whose client has given up by now.
    #[must_use]
    pub fn overdue(&self, now: Millis) -> Vec<RequestId> {
        let is_overdue = |request: &Request| request.is_open() && now >= request.deadline;
        let overdue = self.requests.iter().filter(|(_, request)| is_overdue(request));
        overdue.map(|(id, _)| *id).collect()
    }

    /// Marks an attempt as ended; returns it, unless it had ended before or is not known.
    pub fn complete_attempt(&mut self, completed: &CompletedAttempt) -> Option<Attempt> {
        let request = self.requests.get_mut(&completed.id)?;
        let attempt = request.attempts.get_mut(completed.attempt as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(completed.outcome);
        Some(attempt.clone())
    }

    /// Records the time in ms that a client left to a request of a class; returns the longest so far.
    pub fn record_timeout(&mut self, class: usize, time_remaining: Millis) -> Millis {
        let longest = &mut self.longest_timeout[class];
        *longest = longest.max(time_remaining);
        *longest
    }

    /// Allows more retries, up to a bound.
    pub fn add_retry_budget(&mut self, retries: f64, max: f64) {
        self.retry_budget = (self.retry_budget + retries).min(max);
    }

    /// A request that has no final answer yet.
    #[must_use]
    pub fn unanswered(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id).filter(|request| !request.is_answered)
    }

    /// Takes the queue of what is still open, highest rank first.
    pub fn take_queue(&mut self, rank: impl Fn(&Request) -> (f64, Millis)) -> Vec<RequestId> {
        let requests = &self.requests;
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|id| requests.get(id).is_some_and(|request| !request.is_answered));
        let rank = |id: &RequestId| rank(&requests[id]);
        queue.sort_by(|a, b| rank(b).partial_cmp(&rank(a)).unwrap_or(a.cmp(b)).then(a.cmp(b)));
        queue
    }

    /// An attempt, by its number.
    pub fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(attempt)
    }

    /// Forgets a request that is answered and has nothing in flight.
    pub fn forget_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &Request| request.is_answered && request.attempts_in_flight() == 0;
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Tenants that are remembered.
    #[must_use]
    pub fn retained_tenants(&self) -> usize {
        self.tenant_service.len()
    }

    /// How all requests are served, then those of one tenant.
    pub fn service_levels(&mut self, tenant: &Option<String>) -> [&mut ServiceLevel; 2] {
        self.make_room_for_tenant(tenant);
        let half_life = self.overall_service.half_life;
        let tenant = self.tenant_service.entry(tenant.clone()).or_insert(ServiceLevel::new(half_life));
        [&mut self.overall_service, tenant]
    }

    /// Names come from clients: those that came longest ago are forgotten.
    fn make_room_for_tenant(&mut self, tenant: &Option<String>) {
        if self.tenant_service.len() < MAX_RETAINED_TENANTS || self.tenant_service.contains_key(tenant) {
            return;
        }
        let by_age =
            |a: &(_, &ServiceLevel), b: &(_, &ServiceLevel)| a.1.updated_at.total_cmp(&b.1.updated_at);
        let oldest = self.tenant_service.iter().min_by(by_age).map(|(name, _)| name.clone());
        if let Some(oldest) = oldest {
            self.tenant_service.remove(&oldest);
        }
    }
}
