//! The platform's messages: rollout states, and counted outcomes.

use crate::clock::millis;
use crate::limits::platform::MAX_REPORT_AGE;
use latchhaven_policy::{Millis, OutcomeReport, RolloutPhase, RolloutState, Version};
use serde::Deserialize;
use serde_json::{Map, Value};

/// Why a message cannot be read; the text names the faulty key.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A rollout state is not JSON, or a key is missing or invalid.
    #[error(transparent)]
    State(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A line is not a JSON object, or there is data after it.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The traffic cap is not between 0 and 1.
    #[error("maxWeight: not between 0 and 1")]
    InvalidTrafficCap,
    /// An age is negative or above [`MAX_REPORT_AGE`].
    #[error("observedAgoMs: out of range")]
    InvalidAge,
    /// Counted outcomes contradict each other, or a value is out of range.
    #[error("SAMPLE: inconsistent counts, or a value out of range")]
    InvalidOutcomes,
    /// A line has no type.
    #[error("no type")]
    MissingType,
}

/// Outcomes that the platform counted over a period.
#[derive(Clone, Debug, PartialEq, Deserialize)]
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
    /// Mean latency of the others, in ms.
    #[serde(rename = "avgMs")]
    pub mean_latency: Option<Millis>,
    /// Age in ms of the end of the period.
    #[serde(rename = "observedAgoMs", default)]
    pub age: Millis,
}

impl OutcomeCounts {
    fn is_valid(&self) -> bool {
        self.failures <= self.attempts
            && is_valid_age(self.age)
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

/// `age` in ms.
fn is_valid_age(age: Millis) -> bool {
    (0.0..=millis(MAX_REPORT_AGE)).contains(&age)
}

/// A rollout state as it is sent.
#[derive(Deserialize)]
struct RolloutMessage {
    version: Version,
    #[serde(rename = "step")]
    stage: u32,
    #[serde(rename = "status")]
    phase: RolloutPhaseMessage,
    #[serde(rename = "maxWeight")]
    traffic_cap: f64,
    /// Age in ms.
    #[serde(rename = "observedAgoMs", default)]
    age: Millis,
}

/// A phase of a rollout as it is sent.
#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum RolloutPhaseMessage {
    #[serde(rename = "IN_PROGRESS")]
    Canary,
    RollingBack,
    #[serde(rename = "COMPLETE")]
    Promoted,
    RolledBack,
}

/// One line of the feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// The state of the newest version's rollout.
    Rollout(RolloutState),
    /// Counted outcomes.
    Outcomes(OutcomeCounts),
    /// A keepalive, or a message of an unknown type.
    Nothing,
}

/// Reads a rollout state.
///
/// # Errors
/// The text is malformed or has invalid values.
pub fn read_rollout_state(text: &[u8]) -> Result<RolloutState, MessageError> {
    let mut reader = serde_json::Deserializer::from_slice(text);
    let message: RolloutMessage = serde_path_to_error::deserialize(&mut reader)?;
    reader.end()?;
    if !(0.0..=1.0).contains(&message.traffic_cap) {
        return Err(MessageError::InvalidTrafficCap);
    }
    if !is_valid_age(message.age) {
        return Err(MessageError::InvalidAge);
    }
    let phase = match message.phase {
        RolloutPhaseMessage::Canary => RolloutPhase::Canary,
        RolloutPhaseMessage::RollingBack => RolloutPhase::RollingBack,
        RolloutPhaseMessage::Promoted => RolloutPhase::Promoted,
        RolloutPhaseMessage::RolledBack => RolloutPhase::RolledBack,
    };
    Ok(RolloutState {
        version: message.version,
        stage: message.stage,
        phase,
        traffic_cap: message.traffic_cap,
        age: message.age,
    })
}

/// Reads a line of the feed.
///
/// # Errors
/// The line is malformed or has invalid values.
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
        _ => Ok(FeedMessage::Nothing),
    }
}
