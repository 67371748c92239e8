//! Makes the attempts of calls on connections of the pool. All decisions are in [`crate::call`] and [`crate::pool`].

use crate::acquired_connection::AcquiredConnection;
use crate::call::{AttemptOutcome, Call, CallOutcome, Idempotency, NextStep};
use crate::config::ClientConfig;
use crate::connection::GatewayConnection;
use crate::pool_driver::PoolDriver;
use crate::pool_messages::{AcquireRequest, ConnectionEvent};
use crate::request::{
    IdempotentRequest, KeyedRequest, NonIdempotentOutcome, NonIdempotentRequest, RequestContent,
    RequestError, Value,
};
use crate::retry_budget::RetryBudget;
use crate::rules::{ACQUIRE_QUEUE_LENGTH, bounded_wait};
use crate::time::{Millis, Timestamp, millis};
use crate::wire::Query;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Makes the random numbers of retries independent of those of the pool, which has the configured seed.
const RETRY_SEED_MASK: u64 = 0x5bd1_e995;

/// The state of retry decisions that all calls of a client share.
struct RetryState {
    budget: RetryBudget,
    rng: Pcg64Mcg,
}

struct Shared {
    config: ClientConfig,
    retry_state: Mutex<RetryState>,
    started_at: Instant,
    next_call_id: AtomicU64,
    acquire_requests: mpsc::Sender<AcquireRequest>,
    events: mpsc::UnboundedSender<ConnectionEvent>,
    written_attempts: AtomicU64,
    written_retries: AtomicU64,
}

impl Shared {
    fn now(&self) -> Timestamp {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Timestamp { monotonic: millis(self.started_at.elapsed()), wall: millis(since_epoch) }
    }

    fn retry_state(&self) -> MutexGuard<'_, RetryState> {
        self.retry_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count_written(&self, is_retry: bool) {
        self.written_attempts.fetch_add(1, Ordering::Relaxed);
        self.written_retries.fetch_add(u64::from(is_retry), Ordering::Relaxed);
    }
}

/// The number of attempts of a [`Client`] and its clones since its start. An attempt counts as soon as its query is
/// about to be written, also if the connection breaks before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCounts {
    /// First attempts and retries.
    pub written: u64,
    /// Retries only.
    pub retries: u64,
}

/// The outcome of a call, with its value if it succeeded.
enum CallResult {
    Succeeded(Value),
    Rejected,
    Failed,
    Unknown,
    /// Not sent: a name in the request is not plain.
    InvalidName,
}

impl CallResult {
    /// `value` is used only if the call succeeded.
    fn new(outcome: CallOutcome, value: Value) -> Self {
        match outcome {
            CallOutcome::Succeeded => CallResult::Succeeded(value),
            CallOutcome::Rejected => CallResult::Rejected,
            CallOutcome::Failed => CallResult::Failed,
            CallOutcome::Unknown => CallResult::Unknown,
        }
    }

    fn without_value(outcome: CallOutcome) -> Self {
        CallResult::new(outcome, Value::new())
    }

    fn into_result(self) -> Result<Value, RequestError> {
        match self {
            CallResult::Succeeded(value) => Ok(value),
            CallResult::Rejected => Err(RequestError::Rejected),
            CallResult::Failed => Err(RequestError::Failed),
            CallResult::Unknown => Err(RequestError::Unknown),
            CallResult::InvalidName => Err(RequestError::InvalidName),
        }
    }
}

/// The parameters of a call that control its retries, its deadline and its position in the queue.
#[derive(Clone, Copy)]
struct CallOptions {
    idempotency: Idempotency,
    timeout: Millis,
    priority_weight: f64,
}

/// A client of a set of gateways. Clones share connections and the retry budget: a process needs a single client.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// Starts a client on the current tokio runtime. The client stops when its last clone is dropped.
    ///
    /// # Panics
    /// Panics outside of a tokio runtime.
    #[must_use]
    pub fn start(config: ClientConfig) -> Self {
        let (acquire_requests, received_requests) = mpsc::channel(ACQUIRE_QUEUE_LENGTH);
        let (events, received_events) = mpsc::unbounded_channel();
        let driver = PoolDriver::new(&config, events.clone());
        tokio::spawn(driver.run(received_requests, received_events));
        let rng = Pcg64Mcg::seed_from_u64(config.seed ^ RETRY_SEED_MASK);
        let retry_state = Mutex::new(RetryState { budget: RetryBudget::default(), rng });
        let shared = Shared {
            config,
            retry_state,
            started_at: Instant::now(),
            next_call_id: AtomicU64::new(0),
            acquire_requests,
            events,
            written_attempts: AtomicU64::new(0),
            written_retries: AtomicU64::new(0),
        };
        Client { shared: Arc::new(shared) }
    }

    /// The number of attempts that were made so far.
    #[must_use]
    pub fn attempt_counts(&self) -> AttemptCounts {
        AttemptCounts {
            written: self.shared.written_attempts.load(Ordering::Relaxed),
            retries: self.shared.written_retries.load(Ordering::Relaxed),
        }
    }

    /// Sends a request that may be executed any number of times, with retries until its deadline.
    ///
    /// # Errors
    /// [`RequestError::Rejected`], [`RequestError::Failed`] or [`RequestError::InvalidName`].
    pub async fn send_idempotent(&self, request: &IdempotentRequest) -> Result<Value, RequestError> {
        let content =
            RequestContent { class: &request.class, item: &request.item, document: None, key: None };
        let options = CallOptions {
            idempotency: Idempotency::Idempotent,
            timeout: request.timeout,
            priority_weight: request.priority_weight,
        };
        self.run(content, options).await.into_result()
    }

    /// Sends a request with an idempotency key, with retries until its deadline or the end of its deduplication window.
    ///
    /// # Errors
    /// [`RequestError::Rejected`], [`RequestError::Unknown`] or [`RequestError::InvalidName`].
    pub async fn send_keyed(&self, request: &KeyedRequest) -> Result<Value, RequestError> {
        let content = RequestContent {
            class: &request.class,
            item: &request.item,
            document: Some(&request.document),
            key: Some(&request.key),
        };
        let options = CallOptions {
            idempotency: Idempotency::IdempotencyKey { dedup_window: request.dedup_window },
            timeout: request.timeout,
            priority_weight: request.priority_weight,
        };
        self.run(content, options).await.into_result()
    }

    /// Sends a request that must be executed at most once. Retries only attempts that were definitely not executed.
    pub async fn send_non_idempotent(&self, request: NonIdempotentRequest) -> NonIdempotentOutcome {
        let content = RequestContent {
            class: &request.class,
            item: &request.item,
            document: Some(&request.document),
            key: None,
        };
        let options = CallOptions {
            idempotency: Idempotency::NonIdempotent,
            timeout: request.timeout,
            priority_weight: request.priority_weight,
        };
        match self.run(content, options).await {
            CallResult::Succeeded(value) => NonIdempotentOutcome::Succeeded(value),
            CallResult::Rejected => NonIdempotentOutcome::Rejected(request),
            CallResult::Failed | CallResult::Unknown => NonIdempotentOutcome::Unknown,
            CallResult::InvalidName => NonIdempotentOutcome::InvalidName(request),
        }
    }

    /// Makes the attempts of a call until it has an outcome. Dropping the future closes the connection of the call.
    async fn run(&self, content: RequestContent<'_>, options: CallOptions) -> CallResult {
        let shared = &self.shared;
        let query = content.to_query(shared.config.tenant.as_deref());
        if !query.has_plain_names() {
            return CallResult::InvalidName;
        }
        let now = shared.now();
        let mut call = Call::new(options.idempotency, options.timeout, shared.config.min_request_time, now);
        let mut next_step = call.start(&mut shared.retry_state().budget, &now);
        loop {
            let (backoff, is_retry) = match next_step {
                NextStep::Finish(outcome) => return CallResult::without_value(outcome),
                NextStep::Attempt { backoff, is_retry } => (backoff, is_retry),
            };
            if backoff > 0.0 {
                sleep(bounded_wait(backoff)).await;
            }
            let time_remaining = bounded_wait(call.time_remaining(&shared.now()));
            let acquired = timeout(time_remaining, self.acquire(options.priority_weight)).await;
            let Ok(Some(mut connection)) = acquired else {
                return CallResult::without_value(call.abandon());
            };
            let sent_at = shared.now();
            let Some(time_remaining) = call.begin_attempt(&sent_at) else {
                connection.release();
                return CallResult::without_value(call.abandon());
            };
            let attempt = Query { time_remaining: time_remaining as u64, is_retry, ..query.clone() };
            let result = self.attempt(&mut connection, &attempt, time_remaining).await;
            let Some(result) = result else { return CallResult::InvalidName };
            let (outcome, value) = match result {
                Ok(value) => (AttemptOutcome::Success, value),
                Err(outcome) => (outcome, Value::new()),
            };
            let now = shared.now();
            let RetryState { budget, rng } = &mut *shared.retry_state();
            next_step = call.on_attempt_ended(outcome, sent_at, budget, rng, &now);
            if let NextStep::Finish(CallOutcome::Succeeded) = next_step {
                return CallResult::Succeeded(value);
            }
        }
    }

    /// Makes one attempt with a new random id; `None` if a name is not plain.
    async fn attempt(
        &self, connection: &mut AcquiredConnection, query: &Query<'_>, time_limit: Millis,
    ) -> Option<Result<Value, AttemptOutcome>> {
        let id = format!("{:016x}", self.shared.retry_state().rng.random::<u64>());
        let message = Query { id: &id, ..query.clone() }.encode()?;
        self.shared.count_written(query.is_retry);
        Some(connection.attempt(&message, bounded_wait(time_limit)).await)
    }

    /// Waits for a connection; `None` if the call was rejected because the queue is full.
    async fn acquire(&self, priority_weight: f64) -> Option<AcquiredConnection> {
        let call = self.shared.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (reply, assigned) = oneshot::channel();
        let mut pending = PendingAcquire { call, events: Some(self.shared.events.clone()) };
        let request = AcquireRequest { call, priority_weight, reply };
        self.shared.acquire_requests.send(request).await.ok()?;
        let connection: Option<Box<GatewayConnection>> = assigned.await.ok();
        pending.events = None;
        Some(AcquiredConnection::new(connection?, self.shared.events.clone()))
    }
}

/// A request for a connection. Dropping it cancels the request.
struct PendingAcquire {
    call: u64,
    /// `None` once the pool driver has assigned a connection or rejected the call.
    events: Option<mpsc::UnboundedSender<ConnectionEvent>>,
}

impl Drop for PendingAcquire {
    fn drop(&mut self) {
        if let Some(events) = &self.events {
            let _ = events.send(ConnectionEvent::AcquireCancelled(self.call));
        }
    }
}
