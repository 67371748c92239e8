//! Identifiers, classes and outcomes of requests. Times are in ms.

use crate::time::Millis;
use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a request among those of a gateway that are not finished. The adapter assigns it.
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

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Endpoints recognise repeats by an idempotency key, within the class's scope and window.
    IdempotencyKey,
    /// It must not be executed twice.
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
    /// Whether a request may be sent again.
    pub idempotency: Idempotency,
    /// Which endpoints recognise a repeated idempotency key.
    pub dedup_scope: DedupScope,
    /// The time for which repeats are recognised, from the first attempt that may have been executed.
    pub dedup_window: Millis,
    /// The latency within which an answer has its full value.
    pub latency_objective: Millis,
    /// Growth of the latency objective per ms of expected work.
    pub objective_per_work: f64,
    /// The clients' timeout.
    pub timeout: Millis,
    /// The value of a request of the class relative to others.
    pub priority_weight: f64,
    /// The share of its value that an answer has after the latency objective.
    pub late_value_share: f64,
    /// Responses are streamed.
    pub streamed: bool,
}

impl RequestClass {
    /// The latency objective of one request in ms; `expected_work` in ms.
    #[must_use]
    pub fn objective_for(&self, expected_work: Option<Millis>) -> Millis {
        self.latency_objective + self.objective_per_work * expected_work.unwrap_or(0.0)
    }
}

/// The outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served it.
    Success,
    /// The endpoint failed; it may have been executed.
    Error,
    /// The endpoint rejected it without executing it.
    Rejected,
    /// Timeout; it may have been executed, or may still be.
    Timeout,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke after the attempt was written; it may have been executed.
    ConnectionLost,
    /// The gateway cancelled it; it may have been executed.
    Cancelled,
    /// It was not written completely.
    NotSent,
}

impl AttemptOutcome {
    /// True if the outcome proves that the endpoint never executed the attempt.
    #[must_use]
    pub fn is_definitely_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// An endpoint's own load report: values by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(pub BTreeMap<String, f64>);

impl FromIterator<(String, f64)> for LoadReport {
    fn from_iter<I: IntoIterator<Item = (String, f64)>>(values: I) -> Self {
        LoadReport(values.into_iter().collect())
    }
}
