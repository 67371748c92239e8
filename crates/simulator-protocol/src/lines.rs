//! Single messages: events in, actions out.

use crate::WireFault;
use base64::{Engine, engine::general_purpose::STANDARD};
use latchhaven_policy::*;
use std::io::{self, Write};
use std::str::FromStr;

const MS_PER_S: f64 = 1000.0;
/// Fields whose text runs to the end of the line.
const TO_END: [&str; 2] = ["params", "what"];

/// The name=value pairs of one line.
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    pub fn parse(rest: &'a str) -> Result<Self, WireFault> {
        let mut pairs = Vec::new();
        let mut rest = rest;
        while !rest.is_empty() {
            let part = rest.split(' ').next().unwrap_or(rest);
            let (name, value) = part.split_once('=').ok_or_else(|| WireFault::NoPair(part.to_string()))?;
            if TO_END.contains(&name) {
                pairs.push((name, &rest[name.len() + 1..]));
                break;
            }
            pairs.push((name, value));
            rest = rest.get(part.len() + 1..).unwrap_or("");
        }
        Ok(Fields(pairs))
    }

    pub fn maybe(&self, name: &'static str) -> Option<&'a str> {
        self.0.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    pub fn text(&self, name: &'static str) -> Result<&'a str, WireFault> {
        self.maybe(name).filter(|value| !value.is_empty()).ok_or(WireFault::Missing(name))
    }

    pub fn maybe_number<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, WireFault> {
        let unreadable = |value: &str| WireFault::Unreadable(name, value.to_string());
        self.maybe(name).map(|value| value.parse().map_err(|_| unreadable(value))).transpose()
    }

    pub fn number<T: FromStr>(&self, name: &'static str) -> Result<T, WireFault> {
        self.maybe_number(name)?.ok_or(WireFault::Missing(name))
    }

    fn maybe_real(&self, name: &'static str) -> Result<Option<f64>, WireFault> {
        match self.maybe_number::<f64>(name)? {
            Some(value) if !value.is_finite() => Err(WireFault::Unreadable(name, value.to_string())),
            value => Ok(value),
        }
    }

    fn real(&self, name: &'static str) -> Result<f64, WireFault> {
        self.maybe_real(name)?.ok_or(WireFault::Missing(name))
    }

    fn maybe_ms(&self, name: &'static str) -> Result<Option<Millis>, WireFault> {
        Ok(self.maybe_real(name)?.map(|seconds| seconds * MS_PER_S))
    }

    pub fn ms(&self, name: &'static str) -> Result<Millis, WireFault> {
        Ok(self.real(name)? * MS_PER_S)
    }

    fn flag(&self, name: &'static str) -> Result<bool, WireFault> {
        match self.maybe(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(value) => Err(WireFault::Unreadable(name, value.to_string())),
        }
    }

    /// A field that holds one of a few words.
    fn word<T>(&self, name: &'static str, read: impl Fn(&str) -> Option<T>) -> Result<T, WireFault> {
        let value = self.text(name)?;
        read(value).ok_or_else(|| WireFault::Unreadable(name, value.to_string()))
    }

    fn owned(&self, name: &'static str) -> Result<String, WireFault> {
        self.text(name).map(str::to_string)
    }

    fn ending(&self) -> Result<AttemptOutcome, WireFault> {
        self.word("ending", |word| {
            Some(match word {
                "served" => AttemptOutcome::Success,
                "server_error" => AttemptOutcome::Error,
                "turned_away" => AttemptOutcome::Rejected,
                "no_answer" => AttemptOutcome::Timeout,
                "no_connection" => AttemptOutcome::ConnectFailed,
                "connection_lost" => AttemptOutcome::ConnectionLost,
                "called_off" => AttemptOutcome::Cancelled,
                "not_sent" => AttemptOutcome::NotSent,
                _ => return None,
            })
        })
    }

    fn load(&self) -> Result<LoadReport, WireFault> {
        let text = self.maybe("metrics").unwrap_or("");
        let unreadable = || WireFault::Unreadable("metrics", text.to_string());
        let pairs = text.split(',').filter(|pair| !pair.is_empty());
        pairs
            .map(|pair| {
                let (name, value) = pair.split_once(':').ok_or_else(unreadable)?;
                let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
                Ok((name.to_string(), value.ok_or_else(unreadable)?))
            })
            .collect()
    }

    fn bytes(&self, name: &'static str) -> Result<Vec<u8>, WireFault> {
        let text = self.text(name)?;
        let text = if text == "-" { "" } else { text };
        STANDARD.decode(text).map_err(|_| WireFault::Unreadable(name, text.to_string()))
    }
}

/// One message to an instance.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    Event(Event),
    /// A list whose entries stand in a numbered list.
    Sync {
        kind: UpdateKind,
        version: u64,
        bank: Option<usize>,
    },
    Halt,
}

/// Reads one entry of a list.
pub fn listing(fields: &Fields) -> Result<EndpointEntry, WireFault> {
    let build = fields.real("build")?;
    if build.fract() != 0.0 || !(0.0..65536.0).contains(&build) {
        return Err(WireFault::Unreadable("build", build.to_string()));
    }
    Ok(EndpointEntry {
        endpoint: fields.owned("instance")?,
        status: fields.word("state", |word| match word {
            "healthy" => Some(EndpointStatus::Ready),
            "cordoned" => Some(EndpointStatus::Draining),
            "deregistered" => Some(EndpointStatus::Removed),
            _ => None,
        })?,
        version: Version(build as u32),
        zone: fields.maybe("az").unwrap_or("").to_string(),
        cell: fields.maybe_number("cluster")?.unwrap_or(0),
        machine_type: fields.maybe("model").unwrap_or("").to_string(),
        weight: fields.maybe_real("power-hint")?.unwrap_or(1.0),
        started_at: fields.maybe_ms("online-since-s")?.unwrap_or(0.0),
    })
}

/// Reads one message to an instance.
pub fn incoming(word: &str, fields: &Fields) -> Result<Incoming, WireFault> {
    let event = match word {
        "HALT" => return Ok(Incoming::Halt),
        "SYNC" => {
            let kind = fields.word("kind", |word| match word {
                "D" => Some(UpdateKind::Delta),
                "F" => Some(UpdateKind::Snapshot),
                "C" => Some(UpdateKind::CachedSnapshot),
                "X" => Some(UpdateKind::Failed),
                _ => None,
            })?;
            let version = fields.maybe_number("index")?.unwrap_or(0);
            return Ok(Incoming::Sync { kind, version, bank: fields.maybe_number("bank")? });
        }
        "JOB_IN" => Event::RequestReceived(IncomingRequest {
            id: fields.number("handle")?,
            class: fields.owned("profile")?,
            tenant: fields.maybe("realm").filter(|realm| *realm != "0").map(str::to_string),
            sticky_key: fields.maybe("target-key").map(str::to_string),
            queued_for: 0.0,
            time_remaining: fields.ms("ttl-s")?,
            expected_work: fields.maybe_ms("work-s")?,
            is_retry: fields.flag("again-by-client")?,
            is_write: fields.flag("mutates")?,
        }),
        "STREAMING" => Event::ResponseStarted {
            id: fields.number("handle")?,
            attempt: fields.number("go")?,
            endpoint: fields.owned("instance")?,
            elapsed: fields.ms("duration-s")?,
        },
        "RESOLVED" => Event::AttemptCompleted(CompletedAttempt {
            id: fields.number("handle")?,
            attempt: fields.number("go")?,
            endpoint: fields.owned("instance")?,
            outcome: fields.ending()?,
            is_final: fields.flag("ended")?,
            elapsed: fields.ms("duration-s")?,
            load: fields.load()?,
        }),
        "ABORTED" => Event::ClientDisconnected { id: fields.number("handle")? },
        "REMINDER" => Event::TimerFired { token: fields.owned("handle")? },
        "CHECK_RESULT" => Event::HealthCheckCompleted {
            endpoint: fields.owned("instance")?,
            outcome: fields.ending()?,
            elapsed: fields.ms("duration-s")?,
            load: fields.load()?,
        },
        "PEER_DATA" => Event::PeerMessage { from: fields.number("by")?, data: fields.bytes("payload")? },
        "SHIP_STATE" => rollout_event(fields)?,
        "DIGEST" => Event::OutcomesReported(OutcomeReport {
            version: fields.number("rel")?,
            class: fields.owned("profile")?,
            attempts: fields.number("count")?,
            failures: fields.maybe_number("errors")?.unwrap_or(0),
            mean_latency: fields.maybe_ms("duration-s")?,
            age: fields.maybe_ms("age-s")?.unwrap_or(0.0),
        }),
        "REPORTED_WRONG" => Event::WrongAnswerReported {
            endpoint: fields.owned("instance")?,
            class: fields.owned("profile")?,
            age: fields.ms("age-s")?,
        },
        _ => return Err(WireFault::UnknownMessage(word.to_string())),
    };
    Ok(Incoming::Event(event))
}

/// Reads the state of the newest version, told unasked or in answer to a vote.
fn rollout_event(fields: &Fields) -> Result<Event, WireFault> {
    let outcome = fields.ending()?;
    let is_vote = fields.maybe_number::<u32>("how")?.unwrap_or(0) == 1;
    Ok(match (is_vote, outcome) {
        (true, AttemptOutcome::Success) => Event::VoteCompleted(VoteOutcome::Counted(rollout_state(fields)?)),
        (true, AttemptOutcome::Timeout) => Event::VoteCompleted(VoteOutcome::Unknown),
        (true, _) => Event::VoteCompleted(VoteOutcome::NotCounted),
        (false, AttemptOutcome::Success) => Event::RolloutUpdate(rollout_state(fields)?),
        (false, _) => Event::RolloutUnavailable,
    })
}

fn rollout_state(fields: &Fields) -> Result<RolloutState, WireFault> {
    Ok(RolloutState {
        version: fields.number("rel")?,
        stage: fields.maybe_number("wave")?.unwrap_or(0),
        phase: fields.word("where-at", |word| match word {
            "0" => Some(RolloutPhase::Canary),
            "1" => Some(RolloutPhase::RollingBack),
            "2" => Some(RolloutPhase::Promoted),
            "3" => Some(RolloutPhase::RolledBack),
            _ => None,
        })?,
        traffic_cap: fields.real("allowed")?,
        age: fields.maybe_ms("age-s")?.unwrap_or(0.0),
    })
}

/// Prints one action.
pub fn outgoing(action: &Action, out: &mut impl Write) -> io::Result<()> {
    let seconds = |ms: Millis| ms / MS_PER_S;
    match action {
        Action::SendAttempt { id, endpoint: instance, timeout: limit, .. } => {
            write!(out, "PASS_ON handle={id} instance={instance}")?;
            if let Some(limit) = limit {
                write!(out, " max-wait-s={}", seconds(*limit))?;
            }
            writeln!(out)
        }
        Action::Reject { id, retry_after: Some(after) } => {
            writeln!(out, "DENY handle={id} retry-after-s={}", seconds(*after))
        }
        Action::Reject { id, retry_after: None } => writeln!(out, "DENY handle={id}"),
        Action::Fail { id } => writeln!(out, "FAIL handle={id}"),
        Action::CancelAttempt { id, attempt: submission } => {
            writeln!(out, "ABANDON handle={id} go={submission}")
        }
        Action::SetTimer { after, token } => {
            writeln!(out, "WAKE_ME delay-s={} handle={token}", seconds(*after))
        }
        Action::HealthCheck { endpoint: instance } => writeln!(out, "SOUND_OUT instance={instance}"),
        Action::CloseIdleConnections { endpoint: instance } => {
            writeln!(out, "CLOSE_IDLE instance={instance}")
        }
        Action::SendPeerMessage { to, data } => {
            let to = to.map_or("*".to_string(), |peer| peer.to_string());
            let data = if data.is_empty() { "-".to_string() } else { STANDARD.encode(data) };
            writeln!(out, "WRITE_PEER target={to} payload={data}")
        }
        Action::WatchEndpoints { enabled: on } => writeln!(out, "SUBSCRIBE active={}", u8::from(*on)),
        Action::FetchEndpoints => writeln!(out, "PULL"),
        Action::CastVote { version: build, stage, verdict } => {
            let how = match verdict {
                Verdict::Abstain => 0,
                Verdict::Promote => 1,
                Verdict::Pause => 2,
                Verdict::RollBack => 3,
            };
            writeln!(out, "BALLOT rel={build} wave={stage} how={how}")
        }
        Action::Log(what) => writeln!(out, "EMIT what={what}"),
    }
}
