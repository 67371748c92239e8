//! Admission of new streams.
//!
//! Problem: when many proxies reconnect simultaneously, each is sent all its resources, which delays the responses on
//! established streams. Method: a token bucket limits the rate at which discovery streams are admitted. The number of
//! streams, open or pending, is limited as well. Streams of a proxy that reconnects frequently have low priority.

use crate::limits::{self, MAX_ADMISSION_BURST, MAX_RETAINED_REQUEST_TIMES};
use latchhaven_policy::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Whether a new stream gets one of the slots, whose number limits the streams that are open or pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The stream has a slot: a discovery stream is pending until [`Admission::admit_pending`] returns it, a load
    /// report stream is admitted.
    SlotReserved,
    /// All slots are occupied. The caller rejects the stream, and the proxy may retry later.
    StreamLimitReached,
}

/// The streams that are open or pending admission. The caller assigns a unique number to each stream.
#[derive(Clone, Debug)]
pub struct Admission {
    max_streams: usize,
    open: BTreeSet<u64>,
    /// Tokens of the rate limiter. The admission of a discovery stream consumes one.
    tokens: f64,
    /// When `tokens` was last refilled. `None` before the first refill.
    refilled_at: Option<Millis>,
    pending: VecDeque<u64>,
    /// Pending streams of proxies that reconnect frequently. Admitted while `pending` is empty.
    low_priority: VecDeque<u64>,
    /// When each proxy last requested a slot, by node id. Limited to [`MAX_RETAINED_REQUEST_TIMES`] entries.
    last_request_times: BTreeMap<String, Millis>,
}

impl Admission {
    /// Creates `max_streams` slots, all free. The rate limiter starts with a full burst.
    #[must_use]
    pub fn new(max_streams: usize) -> Self {
        Admission {
            max_streams,
            open: BTreeSet::new(),
            tokens: MAX_ADMISSION_BURST,
            refilled_at: None,
            pending: VecDeque::new(),
            low_priority: VecDeque::new(),
            last_request_times: BTreeMap::new(),
        }
    }

    /// Reserves a slot for a discovery stream of the proxy with this node id. The stream is then pending admission,
    /// with low priority if the proxy reconnects frequently.
    pub fn request_slot(&mut self, stream: u64, node_id: &str, now: Millis) -> AdmissionResult {
        if self.is_full() {
            return AdmissionResult::StreamLimitReached;
        }
        let is_frequent =
            self.last_request_times.get(node_id).is_some_and(|last| limits::is_frequent_request(now, *last));
        let queue = if is_frequent { &mut self.low_priority } else { &mut self.pending };
        queue.push_back(stream);
        self.record_request(node_id, now);
        AdmissionResult::SlotReserved
    }

    fn record_request(&mut self, node_id: &str, now: Millis) {
        let is_known = self.last_request_times.contains_key(node_id);
        if !is_known && self.last_request_times.len() >= MAX_RETAINED_REQUEST_TIMES {
            self.last_request_times.retain(|_, last| limits::is_frequent_request(now, *last));
        }
        // Without space the request is not recorded, and the next one has normal priority.
        if is_known || self.last_request_times.len() < MAX_RETAINED_REQUEST_TIMES {
            self.last_request_times.insert(node_id.to_string(), now);
        }
    }

    /// Reserves a slot for a load report stream and admits the stream immediately: its only response is short, so
    /// that the rate is not limited.
    pub fn admit_load_report_stream(&mut self, stream: u64) -> AdmissionResult {
        if self.is_full() {
            return AdmissionResult::StreamLimitReached;
        }
        self.open.insert(stream);
        AdmissionResult::SlotReserved
    }

    fn is_full(&self) -> bool {
        self.open.len() + self.pending.len() + self.low_priority.len() >= self.max_streams
    }

    /// Admits as many pending streams as the rate allows, in the order of their requests, those with low priority last.
    /// Returns the numbers of the admitted streams.
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

    /// Returns `true` if streams are pending, so that [`Self::admit_pending`] has to be called again.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.low_priority.is_empty()
    }

    /// Frees the slot of a closed stream, admitted or not. Has no effect if the stream has no slot: it was rejected, or
    /// closed before.
    pub fn on_stream_closed(&mut self, stream: u64) {
        if !self.open.remove(&stream) {
            self.pending.retain(|pending| *pending != stream);
            self.low_priority.retain(|pending| *pending != stream);
        }
    }
}
