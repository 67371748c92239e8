//! Admission of new streams.
//!
//! Problem: when many proxies reconnect simultaneously, their complete states delay the responses on established streams.
//! Method: a token bucket bounds the rate of new streams. The number of streams, open or pending, is bounded as well. A
//! proxy that reconnects frequently has lower priority.

use crate::limits::{self, MAX_ADMISSION_BURST, MAX_RETAINED_REQUEST_TIMES};
use latchhaven_policy::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The result of a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The stream is admitted, or pending until [`Admission::admit_pending`] admits it.
    SlotReserved,
    /// There are too many streams: the proxy should retry later.
    StreamLimitReached,
}

/// The streams that are open or pending.
#[derive(Clone, Debug)]
pub struct Admission {
    max_streams: usize,
    open: BTreeSet<u64>,
    /// Tokens of the rate limiter; each admission takes one.
    tokens: f64,
    refilled_at: Option<Millis>,
    pending: VecDeque<u64>,
    /// Streams of proxies that reconnect frequently; admitted while no others are pending.
    low_priority: VecDeque<u64>,
    last_requests: BTreeMap<String, Millis>,
}

impl Admission {
    /// Allows `max_streams` streams, open or pending.
    #[must_use]
    pub fn new(max_streams: usize) -> Self {
        Admission {
            max_streams,
            open: BTreeSet::new(),
            tokens: MAX_ADMISSION_BURST,
            refilled_at: None,
            pending: VecDeque::new(),
            low_priority: VecDeque::new(),
            last_requests: BTreeMap::new(),
        }
    }

    /// A proxy requests admission of a stream at `now`, in ms.
    pub fn request_slot(&mut self, stream: u64, proxy: &str, now: Millis) -> AdmissionResult {
        if self.is_full() {
            return AdmissionResult::StreamLimitReached;
        }
        let is_frequent =
            self.last_requests.get(proxy).is_some_and(|last| limits::is_frequent_request(now, *last));
        let queue = if is_frequent { &mut self.low_priority } else { &mut self.pending };
        queue.push_back(stream);
        self.record_request(proxy, now);
        AdmissionResult::SlotReserved
    }

    fn record_request(&mut self, proxy: &str, now: Millis) {
        let is_known = self.last_requests.contains_key(proxy);
        if !is_known && self.last_requests.len() >= MAX_RETAINED_REQUEST_TIMES {
            self.last_requests.retain(|_, last| limits::is_frequent_request(now, *last));
        }
        if is_known || self.last_requests.len() < MAX_RETAINED_REQUEST_TIMES {
            self.last_requests.insert(proxy.to_string(), now);
        }
    }

    /// Admits a stream of load reports immediately, unless there are too many streams. It gets one short response.
    pub fn admit_load_reports(&mut self, stream: u64) -> AdmissionResult {
        if self.is_full() {
            return AdmissionResult::StreamLimitReached;
        }
        self.open.insert(stream);
        AdmissionResult::SlotReserved
    }

    fn is_full(&self) -> bool {
        self.open.len() + self.pending.len() + self.low_priority.len() >= self.max_streams
    }

    /// Admits pending streams at `now`, in ms, and returns them.
    pub fn admit_pending(&mut self, now: Millis) -> Vec<u64> {
        let elapsed = now - self.refilled_at.replace(now).unwrap_or(now);
        self.tokens = limits::refilled_tokens(self.tokens, elapsed);
        let mut admitted = Vec::new();
        while self.tokens >= 1.0 {
            let next = self.pending.pop_front().or_else(|| self.low_priority.pop_front());
            let Some(stream) = next else { break };
            self.tokens -= 1.0;
            self.open.insert(stream);
            admitted.push(stream);
        }
        admitted
    }

    /// True where streams are pending.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.low_priority.is_empty()
    }

    /// A stream was closed, admitted or not. No effect for a stream that was rejected or closed before.
    pub fn on_stream_closed(&mut self, stream: u64) {
        if !self.open.remove(&stream) {
            self.pending.retain(|pending| *pending != stream);
            self.low_priority.retain(|pending| *pending != stream);
        }
    }
}
