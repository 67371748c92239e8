//! Parses messages to an instance from the line format of the simulator.

use crate::error::ProtocolError;
use crate::fields::Fields;
use latchhaven_policy::{
    AttemptOutcome, CompletedAttempt, EndpointEntry, EndpointStatus, Event, IncomingRequest, OutcomeReport,
    RolloutPhase, RolloutState, UpdateFailure, UpdateKind, Version, VoteOutcome,
};

/// Versions are less than this.
const VERSION_LIMIT: f64 = 65536.0;
/// The value of `how` in a rollout's state that answers a vote.
const ANSWERS_VOTE: u32 = 1;

/// One message to an instance.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// An event for the policy.
    Event(Event),
    /// An endpoint list whose entries were sent before.
    EndpointList {
        /// How it relates to the current list.
        kind: UpdateKind,
        /// The list's version.
        list_version: u64,
        /// The number under which its entries were sent.
        bank: Option<usize>,
    },
    /// The instance stops.
    Halt,
}

/// Parses one entry of a list.
///
/// # Errors
/// The field that is missing or cannot be read.
pub fn parse_endpoint_entry(fields: &Fields) -> Result<EndpointEntry, ProtocolError> {
    let version = fields.real("build")?;
    if version.fract() != 0.0 || !(0.0..VERSION_LIMIT).contains(&version) {
        return Err(ProtocolError::Unreadable("build", version.to_string()));
    }
    Ok(EndpointEntry {
        endpoint: fields.owned("instance")?,
        status: fields.word("state", |word| match word {
            "healthy" => Some(EndpointStatus::Ready),
            "cordoned" => Some(EndpointStatus::Draining),
            "deregistered" => Some(EndpointStatus::Removed),
            _ => None,
        })?,
        version: Version(version as u32),
        zone: fields.optional("az").unwrap_or("").to_string(),
        cell: fields.optional_number("cluster")?.unwrap_or(0),
        instance_type: fields.optional("model").unwrap_or("").to_string(),
        weight: fields.optional_real("power-hint")?.unwrap_or(1.0),
        started_at: fields.optional_ms("online-since-s")?.unwrap_or(0.0),
    })
}

/// Parses one message to an instance.
///
/// # Errors
/// An unknown message, or the field that is missing or invalid.
pub fn parse_message(word: &str, fields: &Fields) -> Result<Message, ProtocolError> {
    let event = match word {
        "HALT" => return Ok(Message::Halt),
        "SYNC" => return endpoint_list(fields),
        "JOB_IN" => Event::RequestReceived(incoming_request(fields)?),
        "STREAMING" => Event::ResponseStarted {
            id: fields.number("handle")?,
            attempt: fields.number("go")?,
            endpoint: fields.owned("instance")?,
            elapsed: fields.ms("duration-s")?,
        },
        "RESOLVED" => Event::AttemptCompleted(completed_attempt(fields)?),
        "ABORTED" => Event::ClientDisconnected { id: fields.number("handle")? },
        "REMINDER" => Event::TimerFired { token: fields.owned("handle")? },
        "CHECK_RESULT" => Event::HealthCheckCompleted {
            endpoint: fields.owned("instance")?,
            outcome: fields.outcome()?,
            elapsed: fields.ms("duration-s")?,
            load: fields.load()?,
        },
        "PEER_DATA" => Event::PeerMessage { from: fields.number("by")?, data: fields.bytes("payload")? },
        "SHIP_STATE" => rollout_event(fields)?,
        "DIGEST" => Event::OutcomesReported(outcome_report(fields)?),
        "REPORTED_WRONG" => Event::WrongResponseReported {
            endpoint: fields.owned("instance")?,
            class: fields.owned("profile")?,
            age: fields.ms("age-s")?,
        },
        _ => return Err(ProtocolError::UnknownMessage(word.to_string())),
    };
    Ok(Message::Event(event))
}

fn endpoint_list(fields: &Fields) -> Result<Message, ProtocolError> {
    let kind = fields.word("kind", |word| match word {
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
    Ok(Message::EndpointList { kind, list_version, bank: fields.optional_number("bank")? })
}

fn incoming_request(fields: &Fields) -> Result<IncomingRequest, ProtocolError> {
    Ok(IncomingRequest {
        id: fields.number("handle")?,
        class: fields.owned("profile")?,
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
        endpoint: fields.owned("instance")?,
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
        class: fields.owned("profile")?,
        attempts: fields.number("count")?,
        failures: fields.optional_number("errors")?.unwrap_or(0),
        mean_latency: fields.optional_ms("duration-s")?,
        age: fields.optional_ms("age-s")?.unwrap_or(0.0),
    })
}

/// The state of the newest version: an update, or the answer to a vote.
fn rollout_event(fields: &Fields) -> Result<Event, ProtocolError> {
    let outcome = fields.outcome()?;
    let answers_vote = fields.optional_number::<u32>("how")?.unwrap_or(0) == ANSWERS_VOTE;
    Ok(match (answers_vote, outcome) {
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
        phase: fields.word("where-at", |word| match word {
            "0" => Some(RolloutPhase::Canary),
            "1" => Some(RolloutPhase::RollingBack),
            "2" => Some(RolloutPhase::Promoted),
            "3" => Some(RolloutPhase::RolledBack),
            _ => None,
        })?,
        traffic_cap: fields.real("allowed")?,
        age: fields.optional_ms("age-s")?.unwrap_or(0.0),
    })
}
