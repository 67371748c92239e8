//! Requests from their arrival until their last attempt has completed, the queue, and the service level.
//!
//! `crate::admission` and `crate::retry` decide on requests; [`Policy`](crate::Policy) applies their decisions to this
//! state.

use crate::event::{CompletedAttempt, IncomingRequest};
use crate::request::{AttemptOutcome, DedupScope, Idempotency, RequestClass, RequestId};
use crate::rollout::Version;
use crate::state::endpoint::{Endpoint, EndpointIndex};
use crate::statistics::half_life_decay;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Limit of the tenants whose service level is retained: clients set tenant names, and memory is limited.
const MAX_RETAINED_TENANTS: usize = 512;

/// The least latency objective that shares are computed of: a retry may arrive with none left.
const MIN_OBJECTIVE: Millis = 1.0;

/// One attempt at a request, with the state of its endpoint when it was sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The slot of the endpoint in the table, which may be reused once the attempt has completed.
    pub endpoint: EndpointIndex,
    /// The incarnation of the endpoint when the attempt was sent: the outcome counts for no later one.
    pub incarnation: u32,
    /// The version that the endpoint ran when the attempt was sent.
    pub version: Version,
    /// The zone of the endpoint, within which a repeated idempotency key may be recognised.
    pub zone: String,
    /// The cell of the endpoint within its zone, see `zone`.
    pub cell: u32,
    /// When the policy decided to send the attempt.
    pub sent_at: Millis,
    /// The warm-up factor of the endpoint when the attempt was sent, by which latencies are scaled; at most 1.
    pub warmup_factor: f64,
    /// How the attempt ended; `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
    /// Set when the policy has cancelled the attempt, which may still complete with another outcome.
    pub is_cancelled: bool,
}

impl Attempt {
    /// An attempt that is sent to the endpoint in slot `index` at `now`.
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

    /// Returns `true` if the endpoint may have executed the attempt, or may still do so.
    #[must_use]
    pub fn is_possibly_executed(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::is_definitely_not_executed)
    }

    /// Returns `true` if `endpoint` recognises a repetition of this attempt by its idempotency key.
    #[must_use]
    pub fn is_recognised_by(&self, endpoint: &Endpoint, scope: DedupScope) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == endpoint.zone,
            DedupScope::Cell => self.cell == endpoint.cell && self.zone == endpoint.zone,
        }
    }

    /// Returns `true` if the endpoint of the attempt, in the same incarnation, has responded to any attempt since
    /// this one was sent.
    #[must_use]
    pub fn is_followed_by_response(&self, endpoint: &Endpoint) -> bool {
        endpoint.incarnation == self.incarnation && endpoint.last_response_at >= self.sent_at
    }
}

/// A request that is pending or has attempts in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The index of the class in the configuration.
    pub class: usize,
    /// The tenant that sent the request; `None` if the client names none.
    pub tenant: Option<String>,
    /// Requests with this key must not go to a version below the one that has served the key; `None` without such a
    /// rule.
    pub sticky_key: Option<String>,
    /// When the policy was notified of the request.
    pub arrived_at: Millis,
    /// When the client's timeout expires.
    pub deadline: Millis,
    /// The latest time at which a result meets the latency objective.
    pub objective_deadline: Millis,
    /// The client's estimate of the execution time that the request requires; `None` if the client gives none.
    pub expected_work: Option<Millis>,
    /// All attempts at the request in the order in which they were sent; the position is the number of an attempt.
    pub attempts: Vec<Attempt>,
    /// Set when the adapter has begun to forward a streamed response.
    pub is_streaming: bool,
    /// Set when the request has its final status, or its client has disconnected.
    pub is_closed: bool,
}

impl Request {
    /// A request that has just arrived, with `objective` left of its latency objective.
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

    /// Returns `true` if the request is pending and no response has begun: the policy may reject, fail or retry it.
    #[must_use]
    pub fn awaits_response(&self) -> bool {
        !self.is_streaming && !self.is_closed
    }

    /// Share of the latency objective that is left, at most 1; negative once the objective has passed.
    #[must_use]
    pub fn share_of_objective_left(&self, now: Millis) -> f64 {
        let objective = (self.objective_deadline - self.arrived_at).max(MIN_OBJECTIVE);
        (self.objective_deadline - now) / objective
    }

    /// The number of attempts that have not completed.
    #[must_use]
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// The attempts that endpoints may have executed, or may still execute.
    pub fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_possibly_executed())
    }

    /// Time for which endpoints still recognise the idempotency key, less the safety `margin`. The time starts with the
    /// first attempt that may have been executed. `None` if there is no such attempt or the class uses no key.
    #[must_use]
    pub fn dedup_window_left(&self, class: &RequestClass, margin: Millis, now: Millis) -> Option<Millis> {
        let first = self.possibly_executed().map(|attempt| attempt.sent_at).min_by(f64::total_cmp);
        let first = first.filter(|_| class.idempotency == Idempotency::IdempotencyKey);
        first.map(|sent_at| sent_at + class.dedup_window - margin - now)
    }

    /// Returns `true` if no endpoint can have executed the request.
    #[must_use]
    pub fn is_definitely_not_executed(&self) -> bool {
        self.possibly_executed().next().is_none()
    }
}

/// Counts of requests and of how well they were served; old requests lose weight.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLevel {
    requests: f64,
    served_well: f64,
    updated_at: Millis,
    half_life: Millis,
}

impl ServiceLevel {
    /// A service level without requests; the weight of a request halves within `half_life`.
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

    /// Records a number of requests, of which the share `share_served_well`, from 0 to 1, was served well.
    pub fn record(&mut self, now: Millis, requests: f64, share_served_well: f64) {
        self.decay(now);
        self.requests += requests;
        self.served_well += requests * share_served_well;
    }

    /// Share of requests served well, from 0 to 1. The prior is `assumed_requests` requests, of which the share
    /// `assumed_share` was served well.
    pub fn share_served_well(&mut self, now: Millis, assumed_requests: f64, assumed_share: f64) -> f64 {
        self.decay(now);
        (self.served_well + assumed_requests * assumed_share) / (self.requests + assumed_requests)
    }
}

/// All requests of a gateway, and what their outcomes show about its load.
pub struct RequestTable {
    /// Requests that are pending or have attempts in flight.
    pub requests: BTreeMap<RequestId, Request>,
    /// Requests for which an attempt is to be sent as soon as an endpoint is available.
    pub queue: Vec<RequestId>,
    /// Running mean of the latency of successful attempts, by the index of the class.
    pub typical_latency: Vec<Millis>,
    /// The longest time remaining of any request on its arrival, by the index of the class.
    pub longest_client_timeout: Vec<Millis>,
    /// Early retries, hedged ones included, that may be sent now; each request that arrives adds a fraction.
    pub early_retry_budget: f64,
    /// Running mean of the share of attempts that got no connection, from 0 to 1.
    pub connect_failure_rate: f64,
    /// The service level of the requests of all tenants.
    pub overall_service: ServiceLevel,
    tenant_service: BTreeMap<Option<String>, ServiceLevel>,
}

impl RequestTable {
    /// A table without requests. The arguments are the initial values of the fields; the weight of a request in a
    /// service level halves within `service_half_life`.
    #[must_use]
    pub fn new(typical_latency: Vec<Millis>, early_retry_budget: f64, service_half_life: Millis) -> Self {
        RequestTable {
            requests: BTreeMap::new(),
            queue: Vec::new(),
            longest_client_timeout: vec![0.0; typical_latency.len()],
            typical_latency,
            early_retry_budget,
            connect_failure_rate: 0.0,
            overall_service: ServiceLevel::new(service_half_life),
            tenant_service: BTreeMap::new(),
        }
    }

    /// Requests that still await a response although their deadline has passed.
    #[must_use]
    pub fn overdue(&self, now: Millis) -> Vec<RequestId> {
        let is_overdue = |request: &Request| request.awaits_response() && now >= request.deadline;
        let overdue = self.requests.iter().filter(|(_, request)| is_overdue(request));
        overdue.map(|(id, _)| *id).collect()
    }

    /// Records the outcome of an attempt and returns the attempt, or `None` if the attempt is unknown or already
    /// completed.
    pub fn complete_attempt(&mut self, completed: &CompletedAttempt) -> Option<Attempt> {
        let request = self.requests.get_mut(&completed.id)?;
        let attempt = request.attempts.get_mut(completed.attempt as usize)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(completed.outcome);
        Some(attempt.clone())
    }

    /// Records the time remaining of a request on its arrival, and returns the longest of the class so far.
    pub fn record_client_timeout(&mut self, class: usize, time_remaining: Millis) -> Millis {
        let longest = &mut self.longest_client_timeout[class];
        *longest = longest.max(time_remaining);
        *longest
    }

    /// Adds a number of early retries, usually a fraction, to the budget, which does not exceed `max`.
    pub fn add_early_retry_budget(&mut self, retries: f64, max: f64) {
        self.early_retry_budget = (self.early_retry_budget + retries).min(max);
    }

    /// The request with this id, or `None` if it is unknown or has its final status.
    #[must_use]
    pub fn pending(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id).filter(|request| !request.is_closed)
    }

    /// Removes and returns all queued requests that are still pending, highest rank first; equal ranks are in order
    /// of id.
    pub fn take_queue(&mut self, rank: impl Fn(&Request) -> (f64, Millis)) -> Vec<RequestId> {
        let requests = &self.requests;
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|id| requests.get(id).is_some_and(|request| !request.is_closed));
        let rank = |id: &RequestId| rank(&requests[id]);
        queue.sort_by(|a, b| rank(b).partial_cmp(&rank(a)).unwrap_or(a.cmp(b)).then(a.cmp(b)));
        queue
    }

    /// The attempt at position `attempt` of a request, or `None` if there is none.
    pub fn attempt_mut(&mut self, id: RequestId, attempt: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(attempt)
    }

    /// The attempts in flight at versions below `version`, at requests with this sticky key: each as the id of its request
    /// and its number.
    #[must_use]
    pub fn in_flight_below(&self, key: &str, version: Version) -> Vec<(RequestId, usize)> {
        let has_key = |request: &Request| request.sticky_key.as_deref() == Some(key);
        let is_below = |attempt: &Attempt| attempt.outcome.is_none() && attempt.version < version;
        let with_key = self.requests.iter().filter(|(_, request)| has_key(request));
        with_key
            .flat_map(|(id, request)| {
                let attempts = request.attempts.iter().enumerate();
                attempts.filter(|(_, attempt)| is_below(attempt)).map(|(number, _)| (*id, number))
            })
            .collect()
    }

    /// Removes a request, unless it is pending or has attempts in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &Request| request.is_closed && request.attempts_in_flight() == 0;
        if self.requests.get(&id).is_some_and(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// The number of tenants whose service level is retained, which is limited.
    #[must_use]
    pub fn retained_tenants(&self) -> usize {
        self.tenant_service.len()
    }

    /// The service level of all requests, followed by that of one tenant, or of the requests without a tenant. A new
    /// tenant may replace the least recently updated one.
    pub fn service_levels(&mut self, tenant: Option<&str>) -> [&mut ServiceLevel; 2] {
        let tenant = tenant.map(str::to_string);
        if !self.tenant_service.contains_key(&tenant) {
            self.evict_tenant_if_full();
        }
        let half_life = self.overall_service.half_life;
        let tenant = self.tenant_service.entry(tenant).or_insert(ServiceLevel::new(half_life));
        [&mut self.overall_service, tenant]
    }

    /// Removes the least recently updated tenant if [`MAX_RETAINED_TENANTS`] is reached.
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
