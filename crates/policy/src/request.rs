//! Identifiers and classes of requests, and outcomes of attempts.

use crate::time::Millis;
use std::collections::BTreeMap;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a request; assigned by the adapter, unique among the requests that it has not completed.
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

/// Whether a request may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing the request several times has the same effect as executing it once.
    Idempotent,
    /// Endpoints recognise a repeated request by its idempotency key, within the class's `dedup_scope` and
    /// `dedup_window`.
    IdempotencyKey,
    /// The request must not be executed twice: it is sent again only if no attempt can have been executed.
    NonIdempotent,
}

/// Which endpoints recognise a repeated idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint recognises the key.
    All,
    /// Endpoints in the zone of the earlier attempt recognise the key.
    Zone,
    /// Endpoints in the zone and the cell of the earlier attempt recognise the key.
    Cell,
}

/// A class of requests with common objectives and retry rules, as the settings define it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Unique among the classes; requests of clients and reports of the platform contain it.
    pub name: String,
    /// Whether a request of the class may be sent again after an attempt that may have been executed.
    pub idempotency: Idempotency,
    /// Which endpoints recognise a repeated idempotency key; applies to [`Idempotency::IdempotencyKey`] only.
    pub dedup_scope: DedupScope,
    /// How long endpoints recognise a repeated idempotency key after the first attempt that may have been executed.
    pub dedup_window: Millis,
    /// Latency up to which a result has its full value to the client; the settings require at most `timeout`.
    pub latency_objective: Millis,
    /// Time added to the latency objective for each millisecond of expected work.
    pub objective_per_work: f64,
    /// The time after which clients of the class stop waiting, counted from the first attempt to send the request.
    pub timeout: Millis,
    /// The value of a served request relative to other classes; queued requests with the highest value are sent first.
    pub priority_weight: f64,
    /// Share of its value, from 0 to 1, that a result retains after the latency objective. Not used by the rules.
    pub late_value_share: f64,
    /// Set when clients receive a response in parts as it is produced.
    pub streamed: bool,
}

impl RequestClass {
    /// The latency objective of one request; no `expected_work` counts as 0.
    #[must_use]
    pub fn objective_for(&self, expected_work: Option<Millis>) -> Millis {
        self.latency_objective + self.objective_per_work * expected_work.unwrap_or(0.0)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint executed the attempt and sent its result.
    Success,
    /// The endpoint responded with an error; it may have executed the attempt.
    Error,
    /// The endpoint rejected the attempt without executing it.
    Rejected,
    /// No response arrived in time; the endpoint may have executed the attempt, or may still do so.
    Timeout,
    /// No connection was established, so the attempt was not sent.
    ConnectFailed,
    /// The connection was lost after the attempt was written; the endpoint may have executed it.
    ConnectionLost,
    /// The gateway cancelled the attempt; the endpoint may have executed it.
    Cancelled,
    /// The attempt was not written completely, for example because its write timeout expired.
    NotSent,
}

impl AttemptOutcome {
    /// Returns `true` if the endpoint cannot have executed the attempt.
    #[must_use]
    pub fn is_definitely_not_executed(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// What an endpoint reports about its own load: values by the names that the endpoint gives them, in its units.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport(pub BTreeMap<String, f64>);

impl FromIterator<(String, f64)> for LoadReport {
    fn from_iter<I: IntoIterator<Item = (String, f64)>>(values: I) -> Self {
        LoadReport(values.into_iter().collect())
    }
}
