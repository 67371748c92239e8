//! Requests from their arrival until their last attempt has ended, the queue, and how well requests are served.
//!
//! `crate::admission` and `crate::retry` decide on them; [`Policy`](crate::Policy) applies the results here.

use crate::event::{CompletedAttempt, IncomingRequest};
use crate::request::{AttemptOutcome, DedupScope, Idempotency, RequestClass, RequestId};
use crate::rollout::Version;
use crate::state::endpoint::{Endpoint, EndpointIndex};
use crate::statistics::half_life_decay;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Tenants whose service level is retained at most: a bound on memory.
const MAX_RETAINED_TENANTS: usize = 512;

/// One attempt at a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The endpoint's place in the table.
    pub endpoint: EndpointIndex,
    /// The endpoint's incarnation when it was sent.
    pub incarnation: u32,
    /// The endpoint's version when it was sent.
    pub version: Version,
    /// The endpoint's zone.
    pub zone: String,
    /// The endpoint's cell.
    pub cell: u32,
    /// When it was sent, in ms.
    pub sent_at: Millis,
    /// The endpoint's warm-up factor when it was sent.
    pub warmup_factor: f64,
    /// Its outcome; none while it is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// It was cancelled.
    pub is_cancelled: bool,
}

impl Attempt {
    /// An attempt that is sent to an endpoint at `now`.
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

    /// It may have been executed, or may still be.
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
    pub fn is_followed_by_response(&self, endpoint: &Endpoint) -> bool {
        endpoint.incarnation == self.incarnation && endpoint.last_response_at >= self.sent_at
    }
}

/// A request that is open or has attempts in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The index of its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: Option<String>,
    /// Its sticky key, which must not go to a version below the one that has answered it.
    pub sticky_key: Option<String>,
    /// When the policy was notified of it, in ms.
    pub arrived_at: Millis,
    /// When the client's timeout ends, in ms.
    pub deadline: Millis,
    /// When its latency objective ends, in ms.
    pub objective_deadline: Millis,
    /// The client's estimate of its work, in ms.
    pub expected_work: Option<Millis>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its response is being streamed.
    pub is_streaming: bool,
    /// It needs no further answer: it has its final one, or its client has disconnected.
    pub is_closed: bool,
}

impl Request {
    /// A request that has just arrived; `objective`: ms left of its latency objective.
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
            is_closed: false,
        }
    }

    /// The gateway may give its final answer.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        !self.is_streaming && !self.is_closed
    }

    /// The share of its latency objective that is left; below 0 after it.
    #[must_use]
    pub fn share_of_objective_left(&self, now: Millis) -> f64 {
        let objective = (self.objective_deadline - self.arrived_at).max(1.0);
        (self.objective_deadline - now) / objective
    }

    /// The number of attempts that have not ended.
    #[must_use]
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Attempts that may have been executed, or may still be.
    pub fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_possibly_executed())
    }

    /// ms for which endpoints still recognise the idempotency key, from the first attempt that may have been executed;
    /// none without a key or without such an attempt.
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

/// The share of requests served well, weighted by age.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLevel {
    requests: f64,
    served_well: f64,
    updated_at: Millis,
    half_life: Millis,
}

impl ServiceLevel {
    /// No requests yet; `half_life`: ms in which the weight of a request halves.
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

    /// Records some requests, and the share of them that was served well.
    pub fn record(&mut self, now: Millis, requests: f64, share_served_well: f64) {
        self.decay(now);
        self.requests += requests;
        self.served_well += requests * share_served_well;
    }

    /// The share of requests served well; the prior is `assumed_requests` requests of which `assumed_share` was served
    /// well.
    pub fn share_served_well(&mut self, now: Millis, assumed_requests: f64, assumed_share: f64) -> f64 {
        self.decay(now);
        (self.served_well + assumed_requests * assumed_share) / (self.requests + assumed_requests)
    }
}

/// All requests of a gateway.
pub struct RequestTable {
    /// The requests, by id.
    pub requests: BTreeMap<RequestId, Request>,
    /// Requests to be sent.
    pub queue: Vec<RequestId>,
    /// Running mean of the latencies of answers in ms, by class.
    pub typical_latency: Vec<Millis>,
    /// The longest time in ms that clients have left to a request, by class.
    pub longest_timeout: Vec<Millis>,
    /// Retries that may be sent.
    pub early_retry_budget: f64,
    /// Running mean of the share of attempts that got no connection.
    pub connect_failure_rate: f64,
    /// The service level of all requests.
    pub overall_service: ServiceLevel,
    tenant_service: BTreeMap<Option<String>, ServiceLevel>,
}

impl RequestTable {
    /// No requests yet; `service_half_life` in ms.
    #[must_use]
    pub fn new(typical_latency: Vec<Millis>, early_retry_budget: f64, service_half_life: Millis) -> Self {
        RequestTable {
            requests: BTreeMap::new(),
            queue: Vec::new(),
            longest_timeout: vec![0.0; typical_latency.len()],
            typical_latency,
            early_retry_budget,
            connect_failure_rate: 0.0,
            overall_service: ServiceLevel::new(service_half_life),
            tenant_service: BTreeMap::new(),
        }
    }

    /// Open requests whose deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: Millis) -> Vec<RequestId> {
        let is_overdue = |request: &Request| request.awaits_response() && now >= request.deadline;
        let overdue = self.requests.iter().filter(|(_, request)| is_overdue(request));
        overdue.map(|(id, _)| *id).collect()
    }

    /// Records the outcome of an attempt and returns it; none if it had one already or is unknown.
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
    pub fn record_client_timeout(&mut self, class: usize, time_remaining: Millis) -> Millis {
        let longest = &mut self.longest_timeout[class];
        *longest = longest.max(time_remaining);
        *longest
    }

    /// Adds retries to the budget, up to a maximum.
    pub fn add_early_retry_budget(&mut self, retries: f64, max: f64) {
        self.early_retry_budget = (self.early_retry_budget + retries).min(max);
    }

    /// A request, if it has no final answer yet.
    #[must_use]
    pub fn pending(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id).filter(|request| !request.is_closed)
    }

    /// Removes and returns the queue without answered requests, highest rank first.
    pub fn take_queue(&mut self, rank: impl Fn(&Request) -> (f64, Millis)) -> Vec<RequestId> {
        let requests = &self.requests;
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|id| requests.get(id).is_some_and(|request| !request.is_closed));
        let rank = |id: &RequestId| rank(&requests[id]);
        queue.sort_by(|a, b| rank(b).partial_cmp(&rank(a)).unwrap_or(a.cmp(b)).then(a.cmp(b)));
        queue
    }

    /// An attempt, by its number.
    pub fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(attempt)
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &Request| request.is_closed && request.attempts_in_flight() == 0;
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// The number of tenants whose service level is retained.
    #[must_use]
    pub fn retained_tenants(&self) -> usize {
        self.tenant_service.len()
    }

    /// The service level of all requests, then that of one tenant's.
    pub fn service_levels(&mut self, tenant: Option<&str>) -> [&mut ServiceLevel; 2] {
        let tenant = tenant.map(str::to_string);
        if !self.tenant_service.contains_key(&tenant) {
            self.evict_tenant_if_full();
        }
        let half_life = self.overall_service.half_life;
        let tenant = self.tenant_service.entry(tenant).or_insert(ServiceLevel::new(half_life));
        [&mut self.overall_service, tenant]
    }

    /// Clients set tenant names, so their number is bounded: the least recently updated is removed.
    fn evict_tenant_if_full(&mut self) {
        if self.tenant_service.len() < MAX_RETAINED_TENANTS {
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
