//! Requests of clients, attempts at serving them, and the classes that settings divide requests into.

use crate::time::Millis;
use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a request for as long as the gateway knows of it. The adapter chooses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(RequestId)
    }
}

/// What sending a request twice may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Sending it again is harmless.
    Idempotent,
    /// Endpoints drop repeats of one key, within the class's scope and window.
    IdempotencyKey,
    /// It must not take effect twice.
    NonIdempotent,
}

/// Which endpoints recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint.
    All,
    /// Endpoints in the zone of the earlier attempt.
    Zone,
    /// Endpoints in the cell, within the zone, of the earlier attempt.
    Cell,
}

/// A class of requests, as the settings describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name by which clients and the platform refer to the class.
    pub name: String,
    /// What sending a request twice may do.
    pub idempotency: Idempotency,
    /// Which endpoints recognise a repeated idempotency key.
    pub dedup_scope: DedupScope,
    /// How long repeats are recognised, from the first attempt that may have been executed.
    pub dedup_window: Millis,
    /// The time within which an answer has its full worth.
    pub latency_objective: Millis,
    /// What the latency objective grows by for each millisecond of expected work.
    pub objective_per_work: f64,
    /// The time for which clients wait.
    pub timeout: Millis,
    /// How much a request of the class is worth beside those of others.
    pub priority_weight: f64,
    /// The share of its worth that an answer keeps after the latency objective.
    pub late_value_share: f64,
    /// Responses are streamed.
    pub streamed: bool,
}

impl RequestClass {
    /// The latency objective of one request.
    #[must_use]
    pub fn objective_for(&self, expected_work: Option<Millis>) -> Millis {
        self.latency_objective + self.objective_per_work * expected_work.unwrap_or(0.0)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served it.
    Success,
    /// The endpoint failed; it may have been executed.
    Error,
    /// The endpoint refused it unexecuted.
    Rejected,
    /// No answer came in time; it may have been executed, or may be yet.
    Timeout,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke after the attempt was written; it may have been executed.
    ConnectionLost,
    /// The gateway stopped waiting for it; it may have been executed.
    Cancelled,
    /// It was never written whole.
    NotSent,
}

impl AttemptOutcome {
    /// True if the outcome proves that the endpoint never executed the attempt.
    #[must_use]
    pub fn is_definitely_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The figures of an endpoint's own load report, by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(pub BTreeMap<String, f64>);

impl FromIterator<(String, f64)> for LoadReport {
    fn from_iter<I: IntoIterator<Item = (String, f64)>>(figures: I) -> Self {
        LoadReport(figures.into_iter().collect())
    }
}
