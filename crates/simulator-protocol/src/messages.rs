//! Parses the simulator's messages to an instance.

use crate::error::ProtocolError;
use crate::fields::Fields;
use latchhaven_policy::{
    AttemptOutcome, CompletedAttempt, EndpointEntry, EndpointStatus, Event, IncomingRequest, OutcomeReport,
    RolloutPhase, RolloutState, UpdateFailure, UpdateKind, Version, VoteOutcome,
};

/// Versions in endpoint lists are integers below this number.
const VERSION_LIMIT: f64 = 65536.0;
/// Value of the field `how` if a message with a rollout state is the reply to a vote.
const VOTE_REPLY: u32 = 1;

/// A message to an instance, parsed from one line.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// An event that the policy handles at the end of the batch.
    Event(Event),
    /// An endpoint list whose entries were sent before and stored in a slot.
    EndpointList {
        /// Whether the list replaces the current one or changes it.
        kind: UpdateKind,
        /// Version of the list; 0 if the message has none.
        list_version: u64,
        /// The slot of the entries; `None`, which is an error, if the message has none.
        slot: Option<usize>,
    },
    /// Stops the instance and discards its state and its events of the current batch.
    Halt,
}

/// Parses one entry of an endpoint list.
///
/// # Errors
/// A field is missing or has an invalid value.
pub fn parse_endpoint_entry(fields: &Fields) -> Result<EndpointEntry, ProtocolError> {
    let version = fields.finite("build")?;
    if version.fract() != 0.0 || !(0.0..VERSION_LIMIT).contains(&version) {
        return Err(ProtocolError::InvalidValue("build", version.to_string()));
    }
    Ok(EndpointEntry {
        endpoint: fields.owned_text("instance")?,
        status: fields.keyword("state", |keyword| match keyword {
            "healthy" => Some(EndpointStatus::Ready),
            "cordoned" => Some(EndpointStatus::Draining),
            "deregistered" => Some(EndpointStatus::Removed),
            _ => None,
        })?,
        version: Version(version as u32),
        zone: fields.optional("az").unwrap_or("").to_string(),
        cell: fields.optional_number("cluster")?.unwrap_or(0),
        instance_type: fields.optional("model").unwrap_or("").to_string(),
        weight: fields.optional_finite("power-hint")?.unwrap_or(1.0),
        started_at: fields.optional_ms("online-since-s")?.unwrap_or(0.0),
    })
}

/// Parses a message to an instance; `name` is the first word of its line.
///
/// # Errors
/// The message is unknown, or a field is missing or has an invalid value.
pub fn parse_message(name: &str, fields: &Fields) -> Result<Message, ProtocolError> {
    let event = match name {
        "HALT" => return Ok(Message::Halt),
        "SYNC" => return endpoint_list(fields),
        "JOB_IN" => Event::RequestReceived(incoming_request(fields)?),
        "STREAMING" => Event::ResponseStarted {
            id: fields.number("handle")?,
            attempt: fields.number("go")?,
            endpoint: fields.owned_text("instance")?,
            elapsed: fields.ms("duration-s")?,
        },
        "RESOLVED" => Event::AttemptCompleted(completed_attempt(fields)?),
        "ABORTED" => Event::ClientDisconnected { id: fields.number("handle")? },
        "REMINDER" => Event::TimerFired { token: fields.owned_text("handle")? },
        "CHECK_RESULT" => Event::HealthCheckCompleted {
            endpoint: fields.owned_text("instance")?,
            outcome: fields.outcome()?,
            elapsed: fields.ms("duration-s")?,
            load: fields.load()?,
        },
        "PEER_DATA" => Event::PeerMessage { from: fields.number("by")?, data: fields.bytes("payload")? },
        "SHIP_STATE" => rollout_event(fields)?,
        "DIGEST" => Event::OutcomesReported(outcome_report(fields)?),
        "REPORTED_WRONG" => Event::WrongResponseReported {
            endpoint: fields.owned_text("instance")?,
            class: fields.owned_text("profile")?,
            age: fields.ms("age-s")?,
        },
        _ => return Err(ProtocolError::UnknownMessage(name.to_string())),
    };
    Ok(Message::Event(event))
}

fn endpoint_list(fields: &Fields) -> Result<Message, ProtocolError> {
    let kind = fields.keyword("kind", |keyword| match keyword {
        "D" => Some(Some(UpdateKind::Delta)),
        "F" => Some(Some(UpdateKind::Snapshot)),
        "C" => Some(Some(UpdateKind::CachedSnapshot)),
        "X" => Some(None),
        _ => None,
    })?;
    let Some(kind) = kind else {
        return Ok(Message::Event(Event::EndpointUpdateFailed(UpdateFailure::default())));
    };
    let list_version = fields.optional_number("index")?.unwrap_or(0);
    Ok(Message::EndpointList { kind, list_version, slot: fields.optional_number("bank")? })
}

fn incoming_request(fields: &Fields) -> Result<IncomingRequest, ProtocolError> {
    Ok(IncomingRequest {
        id: fields.number("handle")?,
        class: fields.owned_text("profile")?,
        tenant: fields.optional("realm").filter(|realm| *realm != "0").map(str::to_string),
        sticky_key: fields.optional("target-key").map(str::to_string),
        queued_for: 0.0,
        time_remaining: fields.ms("ttl-s")?,
        expected_work: fields.optional_ms("work-s")?,
        is_retry: fields.flag("again-by-client")?,
        is_write: fields.flag("mutates")?,
    })
}

fn completed_attempt(fields: &Fields) -> Result<CompletedAttempt, ProtocolError> {
    Ok(CompletedAttempt {
        id: fields.number("handle")?,
        attempt: fields.number("go")?,
        endpoint: fields.owned_text("instance")?,
        outcome: fields.outcome()?,
        is_final: fields.flag("ended")?,
        elapsed: fields.ms("duration-s")?,
        load: fields.load()?,
        connected_at: None,
    })
}

fn outcome_report(fields: &Fields) -> Result<OutcomeReport, ProtocolError> {
    Ok(OutcomeReport {
        version: fields.number("rel")?,
        class: fields.owned_text("profile")?,
        attempts: fields.number("count")?,
        failures: fields.optional_number("errors")?.unwrap_or(0),
        mean_latency: fields.optional_ms("duration-s")?,
        age: fields.optional_ms("age-s")?.unwrap_or(0.0),
    })
}

/// Parses the state of the newest version's rollout: an update, or the reply to a vote.
fn rollout_event(fields: &Fields) -> Result<Event, ProtocolError> {
    let outcome = fields.outcome()?;
    let is_vote_reply = fields.optional_number::<u32>("how")?.unwrap_or(0) == VOTE_REPLY;
    Ok(match (is_vote_reply, outcome) {
        (true, AttemptOutcome::Success) => Event::VoteCompleted(VoteOutcome::Counted(rollout_state(fields)?)),
        (true, AttemptOutcome::Timeout) => Event::VoteCompleted(VoteOutcome::Unknown),
        (true, _) => Event::VoteCompleted(VoteOutcome::NotCounted),
        (false, AttemptOutcome::Success) => Event::RolloutUpdate(rollout_state(fields)?),
        (false, _) => Event::RolloutUnavailable,
    })
}

fn rollout_state(fields: &Fields) -> Result<RolloutState, ProtocolError> {
    Ok(RolloutState {
        version: fields.number("rel")?,
        stage: fields.optional_number("wave")?.unwrap_or(0),
        phase: fields.keyword("where-at", |keyword| match keyword {
            "0" => Some(RolloutPhase::Canary),
            "1" => Some(RolloutPhase::RollingBack),
            "2" => Some(RolloutPhase::Promoted),
            "3" => Some(RolloutPhase::RolledBack),
            _ => None,
        })?,
        traffic_cap: fields.finite("allowed")?,
        age: fields.optional_ms("age-s")?.unwrap_or(0.0),
    })
}
