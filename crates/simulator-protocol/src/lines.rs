//! Single messages: events in, actions out.

use crate::WireFault;
use base64::{Engine, engine::general_purpose::STANDARD};
use latchhaven_policy::api::*;
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

    fn maybe_ms(&self, name: &'static str) -> Result<Option<Ms>, WireFault> {
        Ok(self.maybe_real(name)?.map(|seconds| seconds * MS_PER_S))
    }

    pub fn ms(&self, name: &'static str) -> Result<Ms, WireFault> {
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

    fn ending(&self) -> Result<Ending, WireFault> {
        self.word("ending", |word| {
            Some(match word {
                "served" => Ending::Settled,
                "server_error" => Ending::Error,
                "turned_away" => Ending::TurnedAway,
                "no_answer" => Ending::NoAnswer,
                "no_connection" => Ending::NoConnection,
                "connection_lost" => Ending::ConnectionLost,
                "called_off" => Ending::Recalled,
                "not_sent" => Ending::NotSent,
                _ => return None,
            })
        })
    }

    fn load(&self) -> Result<Load, WireFault> {
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
        kind: ListKind,
        version: u64,
        bank: Option<usize>,
    },
    Halt,
}

/// Reads one entry of a list.
pub fn listing(fields: &Fields) -> Result<Listing, WireFault> {
    let build = fields.real("build")?;
    if build.fract() != 0.0 || !(0.0..65536.0).contains(&build) {
        return Err(WireFault::Unreadable("build", build.to_string()));
    }
    Ok(Listing {
        instance: fields.owned("instance")?,
        state: fields.word("state", |word| match word {
            "healthy" => Some(Standing::Ready),
            "cordoned" => Some(Standing::Draining),
            "deregistered" => Some(Standing::Gone),
            _ => None,
        })?,
        build: build as Build,
        zone: fields.maybe("az").unwrap_or("").to_string(),
        cell: fields.maybe_number("cluster")?.unwrap_or(0),
        kind: fields.maybe("model").unwrap_or("").to_string(),
        weight: fields.maybe_real("power-hint")?.unwrap_or(1.0),
        since: fields.maybe_ms("online-since-s")?.unwrap_or(0.0),
    })
}

/// Reads one message to an instance.
pub fn incoming(word: &str, fields: &Fields) -> Result<Incoming, WireFault> {
    let event = match word {
        "HALT" => return Ok(Incoming::Halt),
        "SYNC" => {
            let kind = fields.word("kind", |word| match word {
                "D" => Some(ListKind::Changes),
                "F" => Some(ListKind::Whole),
                "C" => Some(ListKind::Cached),
                "X" => Some(ListKind::Failed),
                _ => None,
            })?;
            let version = fields.maybe_number("index")?.unwrap_or(0);
            return Ok(Incoming::Sync { kind, version, bank: fields.maybe_number("bank")? });
        }
        "JOB_IN" => Event::Txn {
            id: fields.number("handle")?,
            product: fields.owned("profile")?,
            tenant: fields.maybe("realm").filter(|realm| *realm != "0").map(str::to_string),
            key: fields.maybe("target-key").map(str::to_string),
            waited: 0.0,
            left: fields.ms("ttl-s")?,
            work: fields.maybe_ms("work-s")?,
            repeat: fields.flag("again-by-client")?,
            write: fields.flag("mutates")?,
        },
        "STREAMING" => Event::Began {
            id: fields.number("handle")?,
            submission: fields.number("go")?,
            instance: fields.owned("instance")?,
            took: fields.ms("duration-s")?,
        },
        "RESOLVED" => Event::Ended {
            id: fields.number("handle")?,
            submission: fields.number("go")?,
            instance: fields.owned("instance")?,
            ending: fields.ending()?,
            closed: fields.flag("ended")?,
            took: fields.ms("duration-s")?,
            load: fields.load()?,
        },
        "ABORTED" => Event::ClientGone { id: fields.number("handle")? },
        "REMINDER" => Event::Timer { token: fields.owned("handle")? },
        "CHECK_RESULT" => Event::Probed {
            instance: fields.owned("instance")?,
            ending: fields.ending()?,
            took: fields.ms("duration-s")?,
            load: fields.load()?,
        },
        "PEER_DATA" => Event::Peer { from: fields.number("by")?, data: fields.bytes("payload")? },
        "SHIP_STATE" => Event::Stage(stage(fields)?),
        "DIGEST" => Event::Tally {
            build: fields.number("rel")?,
            product: fields.owned("profile")?,
            count: fields.number("count")?,
            failed: fields.maybe_number("errors")?.unwrap_or(0),
            took: fields.maybe_ms("duration-s")?,
            age: fields.maybe_ms("age-s")?.unwrap_or(0.0),
        },
        "REPORTED_WRONG" => Event::Flagged {
            instance: fields.owned("instance")?,
            product: fields.owned("profile")?,
            age: fields.ms("age-s")?,
        },
        _ => return Err(WireFault::UnknownMessage(word.to_string())),
    };
    Ok(Incoming::Event(event))
}

fn stage(fields: &Fields) -> Result<StageNews, WireFault> {
    let ending = fields.ending()?;
    let mut news = StageNews {
        valid: ending == Ending::Settled,
        unsure: ending == Ending::NoAnswer,
        answer: fields.maybe_number::<u32>("how")?.unwrap_or(0) == 1,
        build: 0,
        stage: 0,
        phase: Phase::OnTrial,
        cap: 0.0,
        age: 0.0,
    };
    if news.valid {
        news.build = fields.number("rel")?;
        news.stage = fields.maybe_number("wave")?.unwrap_or(0);
        news.phase = fields.word("where-at", |word| match word {
            "0" => Some(Phase::OnTrial),
            "1" => Some(Phase::GoingBack),
            "2" => Some(Phase::Released),
            "3" => Some(Phase::Withdrawn),
            _ => None,
        })?;
        news.cap = fields.real("allowed")?;
        news.age = fields.maybe_ms("age-s")?.unwrap_or(0.0);
    }
    Ok(news)
}

/// Prints one action.
pub fn outgoing(action: &Action, out: &mut impl Write) -> io::Result<()> {
    let seconds = |ms: Ms| ms / MS_PER_S;
    match action {
        Action::Submit { id, instance, limit, .. } => {
            write!(out, "PASS_ON handle={id} instance={instance}")?;
            if let Some(limit) = limit {
                write!(out, " max-wait-s={}", seconds(*limit))?;
            }
            writeln!(out)
        }
        Action::Decline { id, come_back: Some(after) } => {
            writeln!(out, "DENY handle={id} retry-after-s={}", seconds(*after))
        }
        Action::Decline { id, come_back: None } => writeln!(out, "DENY handle={id}"),
        Action::Void { id } => writeln!(out, "FAIL handle={id}"),
        Action::Recall { id, submission } => writeln!(out, "ABANDON handle={id} go={submission}"),
        Action::Wake { after, token } => writeln!(out, "WAKE_ME delay-s={} handle={token}", seconds(*after)),
        Action::Probe { instance } => writeln!(out, "SOUND_OUT instance={instance}"),
        Action::CloseIdle { instance } => writeln!(out, "CLOSE_IDLE instance={instance}"),
        Action::Tell { to, data } => {
            let to = to.map_or("*".to_string(), |peer| peer.to_string());
            let data = if data.is_empty() { "-".to_string() } else { STANDARD.encode(data) };
            writeln!(out, "WRITE_PEER target={to} payload={data}")
        }
        Action::Watch { on } => writeln!(out, "SUBSCRIBE active={}", u8::from(*on)),
        Action::Fetch => writeln!(out, "PULL"),
        Action::Vote { build, stage, verdict } => {
            let how = match verdict {
                Verdict::None => 0,
                Verdict::On => 1,
                Verdict::Hold => 2,
                Verdict::Back => 3,
            };
            writeln!(out, "BALLOT rel={build} wave={stage} how={how}")
        }
        Action::Log(what) => writeln!(out, "EMIT what={what}"),
    }
}
