//! What the platform says: states of rollouts, and outcomes that it counted.

use latchhaven_policy::{Millis, OutcomeReport, RolloutPhase, RolloutState, Version};
use serde::Deserialize;
use serde_json::{Map, Value};

/// The highest age in ms that is believed: a year.
const MAX_AGE: Millis = 365.0 * 86_400_000.0;

/// Why a message cannot be read; the text names the faulty key.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A rollout's state is no JSON, or lacks keys.
    #[error(transparent)]
    State(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A line is no JSON object, or something stands behind it.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The cap of a stage is no share.
    #[error("maxWeight: not from 0 to 1")]
    InvalidTrafficCap,
    /// An age is negative or beyond belief.
    #[error("observedAgoMs: no sensible age")]
    InvalidAge,
    /// Counted outcomes contradict each other.
    #[error("SAMPLE: figures that cannot be")]
    InvalidOutcomes,
    /// A line has no type.
    #[error("no type")]
    MissingType,
}

/// What the platform counted over a period.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OutcomeCounts {
    /// The version.
    pub version: Version,
    /// The name of the class.
    #[serde(rename = "kind")]
    pub class: String,
    /// Attempts in the sample.
    #[serde(rename = "requests")]
    pub attempts: u64,
    /// Those of them that failed.
    #[serde(default)]
    pub failures: u64,
    /// Mean time of the others, in ms.
    #[serde(rename = "avgMs")]
    pub mean_latency: Option<Millis>,
    /// Age in ms of the end of the period.
    #[serde(rename = "observedAgoMs", default)]
    pub age: Millis,
}

impl OutcomeCounts {
    fn is_valid(&self) -> bool {
        self.failures <= self.attempts
            && (0.0..=MAX_AGE).contains(&self.age)
            && self.mean_latency.is_none_or(|latency| latency >= 0.0)
    }
}

impl From<OutcomeCounts> for OutcomeReport {
    fn from(counts: OutcomeCounts) -> Self {
        OutcomeReport {
            version: counts.version,
            class: counts.class,
            attempts: counts.attempts,
            failures: counts.failures,
            mean_latency: counts.mean_latency,
            age: counts.age,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RolloutMessage {
    version: Version,
    step: u32,
    status: RolloutMessageStatus,
    max_weight: f64,
    #[serde(default)]
    observed_ago_ms: Millis,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum RolloutMessageStatus {
    InProgress,
    RollingBack,
    Complete,
    RolledBack,
}

/// What one line of the feed says.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// The state of the newest version's rollout.
    Rollout(RolloutState),
    /// Counted outcomes.
    Outcomes(OutcomeCounts),
    /// A sign of life, or something that is not known here.
    Nothing,
}

/// Reads the state of the newest version's rollout.
///
/// # Errors
/// What is wrong with it.
pub fn read_rollout_state(text: &[u8]) -> Result<RolloutState, MessageError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let message: RolloutMessage = serde_path_to_error::deserialize(&mut reader)?;
    reader.end()?;
    if !(0.0..=1.0).contains(&message.max_weight) {
        return Err(MessageError::InvalidTrafficCap);
    }
    if !(0.0..=MAX_AGE).contains(&message.observed_ago_ms) {
        return Err(MessageError::InvalidAge);
    }
    let phase = match message.status {
        RolloutMessageStatus::InProgress => RolloutPhase::Canary,
        RolloutMessageStatus::RollingBack => RolloutPhase::RollingBack,
        RolloutMessageStatus::Complete => RolloutPhase::Promoted,
        RolloutMessageStatus::RolledBack => RolloutPhase::RolledBack,
    };
    Ok(RolloutState {
        version: message.version,
        stage: message.step,
        phase,
        traffic_cap: message.max_weight,
        age: message.observed_ago_ms,
    })
}

/// Reads a line of the feed.
///
/// # Errors
/// What is wrong with it.
pub fn read_feed_line(line: &[u8]) -> Result<FeedMessage, MessageError> {
    let mut line: Map<String, Value> = serde_json::from_slice(line)?;
    let kind = line.remove("type");
    let object = line.remove("object").unwrap_or_default();
    match kind.as_ref().and_then(Value::as_str) {
        Some("ROLLOUT") => read_rollout_state(object.to_string().as_bytes()).map(FeedMessage::Rollout),
        Some("SAMPLE") => {
            let counts: OutcomeCounts = serde_json::from_value(object)?;
            if counts.is_valid() {
                Ok(FeedMessage::Outcomes(counts))
            } else {
                Err(MessageError::InvalidOutcomes)
            }
        }
        None if !line.is_empty() || !object.is_null() || kind.is_some() => Err(MessageError::MissingType),
        // A sign of life, or a kind that is not known here yet.
        _ => Ok(FeedMessage::Nothing),
    }
}
