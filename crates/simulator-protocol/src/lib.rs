//! The bench's line protocol. [`Host`] serves many instances, [`lines`] reads and prints messages,
//! [`terms`] reads the settings object.

// Until its turn: docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines, clippy::wildcard_imports, missing_docs)]

pub mod lines;
pub mod terms;

use latchhaven_policy::Policy;
use latchhaven_policy::{EndpointEntry, Event, Millis, UpdateKind};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use lines::{Fields, Incoming};

/// How many numbered lists a process keeps.
const BANKS: usize = 16;

/// What ends a run.
#[derive(Debug, thiserror::Error)]
pub enum HostFault {
    #[error("line {line}: {fault}")]
    Input { line: usize, fault: WireFault },
    #[error("reading or writing: {0}")]
    Io(#[from] io::Error),
}

/// What is wrong with one line.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum WireFault {
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    #[error("field '{0}' is missing")]
    Missing(&'static str),
    #[error("field '{0}' cannot be read: '{1}'")]
    Unreadable(&'static str, String),
    #[error("'{0}' is no name=value pair")]
    NoPair(String),
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    #[error("{0} inside a list of entries")]
    InsideList(String),
    #[error("ENTRY outside a list")]
    EntryOutsideList,
    #[error("{0} before any ON")]
    NobodyOn(String),
    #[error("ON for instance '{0}', which is not enlisted")]
    NotEnlisted(String),
    #[error("list {0} has not been sent")]
    NoSuchList(usize),
    #[error("settings: {0}")]
    Settings(String),
    #[error("input ends inside a batch")]
    CutOff,
    #[error("not UTF-8")]
    NotText,
}

/// One instance's part in the present batch.
struct Turn {
    name: String,
    news: Vec<Event>,
}

/// Many instances that share nothing, fed from one stream of batches.
#[derive(Default)]
pub struct Host {
    /// An instance that was stopped stays known, without its decisions.
    instances: BTreeMap<String, Option<Policy>>,
    banks: [Option<Vec<EndpointEntry>>; BANKS],
    now: Option<Millis>,
    turns: Vec<Turn>,
    on: Option<usize>,
    filling: Option<(usize, usize, Vec<EndpointEntry>)>,
}

impl Host {
    /// Serves until the end of input.
    pub fn serve(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), HostFault> {
        let quiet = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| ()));
        let ended = self.serve_lines(&mut input, &mut output);
        std::panic::set_hook(quiet);
        ended
    }

    fn serve_lines(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostFault> {
        let mut bytes = Vec::new();
        let mut number = 0;
        loop {
            bytes.clear();
            number += 1;
            let at = |fault| HostFault::Input { line: number, fault };
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return if self.now.is_some() { Err(at(WireFault::CutOff)) } else { Ok(()) };
            }
            let line = std::str::from_utf8(&bytes).map_err(|_| at(WireFault::NotText))?;
            let line = line.trim_end_matches(['\n', '\r']);
            if !line.is_empty() && self.take(line).map_err(at)? {
                self.reply(output)?;
                output.flush()?;
            }
        }
    }

    /// Takes one line; true at the end of a batch.
    fn take(&mut self, line: &str) -> Result<bool, WireFault> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::parse(rest)?;
        if self.filling.is_some() && word != "ENTRY" {
            return Err(WireFault::InsideList(word.to_string()));
        }
        if word == "MARK" {
            if self.now.is_some() {
                return Err(WireFault::CutOff);
            }
            self.now = Some(fields.ms("sim-time-s")?);
            return Ok(false);
        }
        if self.now.is_none() {
            return Err(WireFault::OutsideBatch(word.to_string()));
        }
        match word {
            "FLUSH" => {
                self.check_enlisted()?;
                return Ok(true);
            }
            "ON" => {
                let name = fields.text("i")?;
                let turn = self.turns.iter().position(|turn| turn.name == name);
                self.on = Some(turn.unwrap_or_else(|| {
                    self.turns.push(Turn { name: name.to_string(), news: Vec::new() });
                    self.turns.len() - 1
                }));
            }
            "DIRECTORY" => {
                let bank = fields.number::<usize>("bank")?;
                if bank >= BANKS {
                    return Err(WireFault::Unreadable("bank", bank.to_string()));
                }
                self.filling = Some((bank, fields.number("records")?, Vec::new()));
                self.close_list();
            }
            "ENTRY" => {
                let (_, _, entries) = self.filling.as_mut().ok_or(WireFault::EntryOutsideList)?;
                entries.push(lines::listing(&fields)?);
                self.close_list();
            }
            "ENLIST" => self.enlist(&fields)?,
            _ => self.event(word, &fields)?,
        }
        Ok(false)
    }

    fn close_list(&mut self) {
        if let Some((bank, _, entries)) =
            self.filling.take_if(|(_, records, entries)| *records == entries.len())
        {
            self.banks[bank] = Some(entries);
        }
    }

    fn check_enlisted(&self) -> Result<(), WireFault> {
        match self.turns.iter().find(|turn| !self.instances.contains_key(&turn.name)) {
            Some(turn) => Err(WireFault::NotEnlisted(turn.name.clone())),
            None => Ok(()),
        }
    }

    fn enlist(&mut self, fields: &Fields) -> Result<(), WireFault> {
        let on = self.on.ok_or(WireFault::NobodyOn("ENLIST".to_string()))?;
        let seed = fields.number("rng-seed")?;
        let terms = terms::read(fields.text("params")?)?;
        let turn = &mut self.turns[on];
        turn.news.clear();
        self.instances.insert(turn.name.clone(), Some(terms.start(seed)));
        Ok(())
    }

    fn event(&mut self, word: &str, fields: &Fields) -> Result<(), WireFault> {
        let incoming = lines::incoming(word, fields)?;
        let on = self.on.ok_or(WireFault::NobodyOn(word.to_string()))?;
        let turn = &mut self.turns[on];
        let known = self.instances.get_mut(&turn.name);
        let Some(decisions) = known else { return Err(WireFault::NotEnlisted(turn.name.clone())) };
        match incoming {
            Incoming::Halt => {
                *decisions = None;
                turn.news.clear();
                return Ok(());
            }
            _ if decisions.is_none() => return Err(WireFault::NotEnlisted(turn.name.clone())),
            Incoming::Event(event) => turn.news.push(event),
            Incoming::Sync { kind, version, bank } => {
                let failed = kind == UpdateKind::Failed;
                let entries = if failed {
                    Vec::new()
                } else {
                    let bank = bank.ok_or(WireFault::Missing("bank"))?;
                    let held = self.banks.get(bank).and_then(Option::as_ref);
                    held.ok_or(WireFault::NoSuchList(bank))?.clone()
                };
                turn.news.push(Event::EndpointUpdate { kind, list_version: version, entries });
            }
        }
        Ok(())
    }

    fn reply(&mut self, output: &mut impl Write) -> io::Result<()> {
        let now = self.now.take().unwrap_or_default();
        self.on = None;
        for turn in std::mem::take(&mut self.turns) {
            let Some(Some(decisions)) = self.instances.get_mut(&turn.name) else { continue };
            if turn.news.is_empty() {
                continue;
            }
            let decided = catch_unwind(AssertUnwindSafe(|| decisions.handle_events(now, turn.news)));
            let actions = match decided {
                Ok(actions) if actions.is_empty() => continue,
                Ok(actions) => actions,
                Err(panic) => {
                    let what = panic.downcast_ref::<String>().map(String::as_str);
                    let what = what.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                    writeln!(output, "CONTEXT i={}", turn.name)?;
                    writeln!(output, "BROKEN what={}", what.replace(['\n', '\r'], " "))?;
                    continue;
                }
            };
            writeln!(output, "CONTEXT i={}", turn.name)?;
            for action in &actions {
                lines::outgoing(action, output)?;
            }
        }
        writeln!(output, "YIELD")
    }
}
