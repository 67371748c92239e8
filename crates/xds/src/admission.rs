//! Admission of new streams.
//!
//! When many proxies reconnect at once, their streams begin at a bounded rate, so that established streams continue to
//! be served. The number of streams, open or pending, is bounded as well. A proxy that reconnects in quick succession
//! waits behind all others.

use latchhaven_policy::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Streams admitted per ms at most. Each costs a complete state of some tens of KiB, so this is 100 MiB per second.
const ADMISSION_RATE: f64 = 2.0;
/// Streams admitted at once at most.
const MAX_BURST: f64 = 50.0;
/// A proxy whose last request is more recent than this, in ms, is reconnecting in quick succession.
const FREQUENT_INTERVAL: Millis = 1_000.0;
/// Proxies whose last request is remembered.
const MAX_REMEMBERED_PROXIES: usize = 10_000;

/// The answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The stream is admitted, or waits for [`Admission::poll`] to admit it.
    Queued,
    /// There are too many streams: the proxy should retry later.
    Full,
}

/// The streams that are open or pending.
#[derive(Clone, Debug)]
pub struct Admission {
    max_streams: usize,
    open: BTreeSet<u64>,
    /// Tokens of the bucket that limits the rate; each stream takes one.
    tokens: f64,
    refilled_at: Option<Millis>,
    pending: VecDeque<u64>,
    /// Streams of proxies that reconnect in quick succession; admitted while no others are pending.
    low_priority: VecDeque<u64>,
    last_requests: BTreeMap<String, Millis>,
}

impl Admission {
    /// Allows so many streams at most, open or pending.
    pub fn new(max_streams: usize) -> Self {
        Admission {
            max_streams,
            open: BTreeSet::new(),
            tokens: MAX_BURST,
            refilled_at: None,
            pending: VecDeque::new(),
            low_priority: VecDeque::new(),
            last_requests: BTreeMap::new(),
        }
    }

    /// A proxy asks for a stream at `now`, in ms.
    pub fn request_slot(&mut self, stream: u64, proxy: &str, now: Millis) -> AdmissionResult {
        if self.is_full() {
            return AdmissionResult::Full;
        }
        let is_frequent = self.last_requests.get(proxy).is_some_and(|last| now - last < FREQUENT_INTERVAL);
        let queue = if is_frequent { &mut self.low_priority } else { &mut self.pending };
        queue.push_back(stream);
        self.remember_request(proxy, now);
        AdmissionResult::Queued
    }

    fn remember_request(&mut self, proxy: &str, now: Millis) {
        let is_known = self.last_requests.contains_key(proxy);
        if !is_known && self.last_requests.len() >= MAX_REMEMBERED_PROXIES {
            self.last_requests.retain(|_, last| now - *last < FREQUENT_INTERVAL);
        }
        if is_known || self.last_requests.len() < MAX_REMEMBERED_PROXIES {
            self.last_requests.insert(proxy.to_string(), now);
        }
    }

    /// Admits a stream of load reports at once if there is room: next to nothing is sent on it.
    pub fn admit_load_reports(&mut self, stream: u64) -> AdmissionResult {
        if self.is_full() {
            return AdmissionResult::Full;
        }
        self.open.insert(stream);
        AdmissionResult::Queued
    }

    fn is_full(&self) -> bool {
        self.open.len() + self.pending.len() + self.low_priority.len() >= self.max_streams
    }

    /// Admits pending streams at `now`, in ms, and returns them.
    pub fn poll(&mut self, now: Millis) -> Vec<u64> {
        let elapsed = now - self.refilled_at.replace(now).unwrap_or(now);
        self.tokens = (self.tokens + ADMISSION_RATE * elapsed.max(0.0)).min(MAX_BURST);
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
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty() || !self.low_priority.is_empty()
    }

    /// A stream ended, admitted or not. One without a slot, or whose end was reported before, changes nothing.
    pub fn on_stream_closed(&mut self, stream: u64) {
        if !self.open.remove(&stream) {
            self.pending.retain(|pending| *pending != stream);
            self.low_priority.retain(|pending| *pending != stream);
        }
    }
}
