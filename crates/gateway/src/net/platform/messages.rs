//! Parses the platform's messages: rollout states and outcome counts.

use crate::clock::millis;
use crate::limits::platform::MAX_REPORT_AGE;
use latchhaven_policy::{Millis, OutcomeReport, RolloutPhase, RolloutState, Version};
use serde::Deserialize;
use serde_json::{Map, Value};

/// Why a message is invalid. Texts of JSON errors name the invalid key.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A rollout state is not JSON, or a key is missing or has the wrong type.
    #[error(transparent)]
    State(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A line is not exactly one JSON object, a rollout state is followed by other data, or a key of outcome counts
    /// is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The traffic cap is not between 0 and 1.
    #[error("maxWeight: expected a number from 0 to 1")]
    InvalidTrafficCap,
    /// The age of a rollout state is negative or above [`MAX_REPORT_AGE`].
    #[error("observedAgoMs: expected milliseconds from 0 to {}", millis(MAX_REPORT_AGE))]
    InvalidAge,
    /// Outcome counts with more failures than attempts, an age out of range, or a negative latency.
    #[error(
        "SAMPLE: expected failures <= requests, avgMs >= 0, and observedAgoMs from 0 to {}",
        millis(MAX_REPORT_AGE)
    )]
    InvalidOutcomes,
    /// A line that is not a keepalive has no type, or one that is not a string.
    #[error("type: expected a string")]
    MissingType,
}

/// Outcomes of attempts of one request class at endpoints of one version, as the platform counted them over a period.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct OutcomeCounts {
    /// The software version of the endpoints.
    pub version: Version,
    /// The name of the request class.
    #[serde(rename = "kind")]
    pub class: String,
    /// Number of attempts that were counted.
    #[serde(rename = "requests")]
    pub attempts: u64,
    /// How many of the attempts failed; at most `attempts`.
    #[serde(default)]
    pub failures: u64,
    /// Mean latency of the successful attempts, if reported.
    #[serde(rename = "avgMs")]
    pub mean_latency: Option<Millis>,
    /// Time since the end of the period, as of when the platform sent the message.
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

fn is_valid_age(age: Millis) -> bool {
    (0.0..=millis(MAX_REPORT_AGE)).contains(&age)
}

#[derive(Deserialize)]
struct RolloutMessage {
    version: Version,
    #[serde(rename = "step")]
    stage: u32,
    #[serde(rename = "status")]
    phase: RolloutPhaseMessage,
    #[serde(rename = "maxWeight")]
    traffic_cap: f64,
    /// In milliseconds.
    #[serde(rename = "observedAgoMs", default)]
    age: Millis,
}

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

/// A valid line of the feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// The state of the newest version's rollout.
    Rollout(RolloutState),
    /// Outcomes of attempts that the platform counted, for the policy's votes.
    Outcomes(OutcomeCounts),
    /// A keepalive (an empty object), or a message of a type that this version of the gateway does not support.
    Ignored,
}

/// Parses a rollout state, which must be complete: the object of a feed line, or the body of the response to a vote.
///
/// # Errors
/// The text is not exactly one JSON object, or a value is invalid.
pub fn parse_rollout_state(text: &[u8]) -> Result<RolloutState, MessageError> {
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

/// Parses one complete line of the feed, without its terminator.
///
/// # Errors
/// The line is not exactly one JSON object, or a value is invalid. Later lines are not reliable: close the feed.
pub fn parse_feed_line(line: &[u8]) -> Result<FeedMessage, MessageError> {
    let mut line: Map<String, Value> = serde_json::from_slice(line)?;
    let kind = line.remove("type");
    let object = line.remove("object").unwrap_or_default();
    match kind.as_ref().and_then(Value::as_str) {
        Some("ROLLOUT") => parse_rollout_state(object.to_string().as_bytes()).map(FeedMessage::Rollout),
        Some("SAMPLE") => {
            let counts: OutcomeCounts = serde_json::from_value(object)?;
            if counts.is_valid() {
                Ok(FeedMessage::Outcomes(counts))
            } else {
                Err(MessageError::InvalidOutcomes)
            }
        }
        None if !line.is_empty() || !object.is_null() || kind.is_some() => Err(MessageError::MissingType),
        _ => Ok(FeedMessage::Ignored),
    }
}
